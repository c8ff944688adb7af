"""Errors of the command line: what went wrong and how to correct it, on stderr."""

from collections.abc import Iterable
from typing import NoReturn

import typer

from mimosaloom_model import Fault

from .exit_codes import ExitCode

__all__ = ["exit_with_error", "exit_with_faults"]


def exit_with_error(problem: str, fix: str, code: ExitCode) -> NoReturn:
    """Print an error with its fix and end the command.

    Args:
        problem: What went wrong, without a full stop.
        fix: What the operator can do, as an imperative sentence.
        code: Exit code.
    """
    end = "" if problem.endswith("?") else "."
    typer.echo(f"mimosaloom: {problem}{end} {fix}", err=True)
    raise typer.Exit(code)


def exit_with_faults(faults: Iterable[Fault]) -> NoReturn:
    """Print each fault on a line of its own and end the command."""
    for fault in faults:
        typer.echo(str(fault), err=True)
    raise typer.Exit(ExitCode.INVALID)
