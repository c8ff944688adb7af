"""Output of errors on stderr: what went wrong and how to correct it."""

from collections.abc import Iterable
from typing import NoReturn

import typer

from mimosaloom_model import Fault

from .exit_codes import ExitCode

__all__ = ["exit_with_error", "exit_with_faults"]


def exit_with_error(problem: str, fix: str, code: ExitCode) -> NoReturn:
    """Print an error with its fix, then exit.

    Args:
        problem: What went wrong, without a full stop at the end. It may end with a
            question mark, for example after a suggested name.
        fix: What the operator can do, as an imperative sentence.
        code: Exit code of the command.
    """
    punctuation = "" if problem.endswith("?") else "."
    typer.echo(f"mimosaloom: {problem}{punctuation} {fix}", err=True)
    raise typer.Exit(code)


def exit_with_faults(faults: Iterable[Fault]) -> NoReturn:
    """Print each fault on its own line, then exit with `INVALID`."""
    for fault in faults:
        typer.echo(str(fault), err=True)
    raise typer.Exit(ExitCode.INVALID)
