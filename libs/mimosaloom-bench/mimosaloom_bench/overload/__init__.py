"""Overload bench: runs the decision code on a virtual clock, against a naive mesh."""

from .command import overload
from .runner import run_overload

__all__ = ["overload", "run_overload"]
