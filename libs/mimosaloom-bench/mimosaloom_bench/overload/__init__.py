"""Overload bench: the decision code on a virtual clock, beside a naive mesh."""

from .command import overload
from .runner import run_overload

__all__ = ["overload", "run_overload"]
