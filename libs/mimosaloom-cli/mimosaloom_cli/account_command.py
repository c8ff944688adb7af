"""Command that shows an account over many requests."""

import math
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import typer

from .account import Account, AccountKey, TimeRange, read_lines, sum_lines
from .account_tables import build_document, draw_plot, format_account
from .errors import exit_with_error
from .exit_codes import ExitCode

__all__ = ["show_account"]

# Shorter logs are read within about a second.
MIN_PROGRESS_BYTES = 32 * 1024 * 1024
# The progress is shown anew after this many bytes.
PROGRESS_STEP_BYTES = 1024 * 1024


def show_account(
    paths: list[Path],
    keys: tuple[AccountKey, ...],
    from_s: float | None,
    to_s: float | None,
    plot: Path | None,
    *,
    is_json: bool,
) -> None:
    """Print the account of log lines, then exit with an error if no line has counts.

    Args:
        paths: Log files of nodes; empty for standard input.
        keys: What requests and hops are grouped by.
        from_s: Earliest time of the lines after the first one, in seconds; None for
            all.
        to_s: Time after the first line before which lines were written, in seconds;
            None for all.
        plot: File for a plot; None for none.
        is_json: Print a JSON document instead of tables.
    """
    time_range = TimeRange(
        -math.inf if from_s is None else from_s, math.inf if to_s is None else to_s
    )
    try:
        account = _sum_files(paths, keys, time_range)
    except OSError as error:
        exit_with_error(
            f"can't read {error.filename or 'the log'}: {error.strerror}",
            "Name log files of nodes that can be read",
            ExitCode.ERROR,
        )
    if is_json:
        typer.echo(msgspec.json.encode(build_document(account)))
    else:
        for line in format_account(account):
            typer.echo(line)
    if plot is not None:
        _write_plot(account, plot)
    if not account.lines.counted:
        exit_with_error(
            "no line has counts",
            "Name logs of nodes on the users' platform, and a time within them",
            ExitCode.ERROR,
        )


def _sum_files(
    paths: list[Path], keys: tuple[AccountKey, ...], time_range: TimeRange
) -> Account:
    if not paths:
        lines = read_lines(sys.stdin.buffer, lambda count: None)
        return sum_lines(lines, keys, time_range)
    size_bytes = sum(path.stat().st_size for path in paths)
    if size_bytes < MIN_PROGRESS_BYTES:
        lines = _read_files(paths, lambda count: None)
        return sum_lines(lines, keys, time_range)
    with typer.progressbar(
        length=size_bytes,
        label="reading",
        file=sys.stderr,
        update_min_steps=PROGRESS_STEP_BYTES,
    ) as progress:
        return sum_lines(_read_files(paths, progress.update), keys, time_range)


def _read_files(
    paths: list[Path], show_progress: Callable[[int], None]
) -> Iterator[bytes]:
    for path in paths:
        with path.open("rb") as stream:
            yield from read_lines(stream, show_progress)


def _write_plot(account: Account, path: Path) -> None:
    try:
        draw_plot(account, path)
    except (OSError, ValueError) as error:
        exit_with_error(
            f"can't write {path}: {error}",
            "Name a file with an ending such as .png in an existing directory",
            ExitCode.ERROR,
        )
