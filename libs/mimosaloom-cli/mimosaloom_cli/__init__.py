"""The mimosaloom command line."""

from .exit_codes import ExitCode

__all__ = ["ExitCode"]
