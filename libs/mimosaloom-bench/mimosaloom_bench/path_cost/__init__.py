"""Bench of the processor time that nodes spend on a call, by part of the code."""

from .command import path_cost

__all__ = ["path_cost"]
