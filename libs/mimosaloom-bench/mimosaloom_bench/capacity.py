"""Table of the two-year size against measured figures, for docs/CAPACITY.md."""

import json
import sys
from pathlib import Path
from typing import NamedTuple

__all__ = ["Row", "build_rows", "format_rows", "replace_table", "update_page"]

START_MARK = "<!-- figures: written by make capacity -->"
END_MARK = "<!-- end of figures -->"
CALLS_PER_S = 1_300_000
NODES = 5_200
MAX_CALLS_PER_S_OF_NODE = CALLS_PER_S / NODES
ADDED_P99_LIMIT_MS = 0.49
CONTROL_BYTES_LIMIT_PER_S = 4_096.0
CONTROL_CPU_LIMIT_RATIO = 0.043
CHANGES_PER_DAY = 3_300
FAILURE_DOMAINS = 17
READERS_PER_DOMAIN = 2
DAY_S = 86_400
US_PER_S = 1e6
# Lower end of the several hundred appends a second that the log service takes.
LOG_APPENDS_PER_S = 300
# Each announcement and each leave is one record of the members stream.
RECORDS_PER_REPLACEMENT = 2
REPLACED_PER_DAY = 790 + 8
# Bound of the overlay; each neighbour is sent one beat a second and sends one.
NEIGHBOURS = 6
BEATS_PER_S = 2 * NEIGHBOURS
# Each neighbour passes on what is new to it, so news come and go on every link.
NEWS_COPIES = 2 * NEIGHBOURS
# A configuration record is received once and passed on about once.
RECORD_COPIES = 2
RECORD_BYTES = 600
NEWS_BYTES = 300
MS_PER_S = 1e3


class Row(NamedTuple):
    """One figure of the two-year size.

    Attributes:
        figure: What is limited.
        target: The limit.
        value: What was worked out.
        unit: Unit of both.
        source: Command or sum that it comes from.
    """

    figure: str
    target: float
    value: float
    unit: str
    source: str


def build_rows(control: dict, latency: dict) -> list[Row]:
    """Return the rows from the JSON of two benches.

    Args:
        control: Output of `mimosaloom bench control --json`.
        latency: Output of `mimosaloom bench latency --json`.
    """
    rows = [
        Row(
            f"control: {verdict['figure']}",
            verdict["limit"],
            verdict["value"],
            verdict["unit"],
            "bench control, line through the sizes",
        )
        for verdict in control["verdicts"]
    ]
    for path, report in (("node", latency), ("embedded", latency["embedded"])):
        rows.append(
            Row(
                f"added to a call at p99, {path} path",
                ADDED_P99_LIMIT_MS,
                report["added_p99_ms"],
                "ms",
                "bench latency",
            )
        )
    return [*rows, *_neighbour_rows(control), *_log_rows()]


def _neighbour_rows(control: dict) -> list[Row]:
    """Return what the bound on neighbours gives, with the largest measured size."""
    largest = control["sizes"][-1]
    tables = control["tables"]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    news_per_s = RECORDS_PER_REPLACEMENT * REPLACED_PER_DAY / DAY_S
    message_bytes = largest["bytes_per_s"] / largest["messages_per_s"]
    bytes_per_s = (
        BEATS_PER_S * message_bytes
        + news_per_s * NEWS_COPIES * NEWS_BYTES
        + changes_per_s * RECORD_COPIES * RECORD_BYTES
    )
    cores = (
        BEATS_PER_S * largest["cpu_ratio"] / largest["messages_per_s"]
        + news_per_s * NEWS_COPIES * tables["member_change_us"] / US_PER_S
        + changes_per_s * tables["settle_ms"] / MS_PER_S
    )
    source = f"{BEATS_PER_S} beats a second as measured at {largest['nodes']} nodes"
    return [
        Row(
            "control: bytes_per_s, by the bound of six neighbours",
            CONTROL_BYTES_LIMIT_PER_S,
            bytes_per_s,
            "B/s",
            f"{source}, and the day's changes",
        ),
        Row(
            "control: cpu_ratio, by the bound of six neighbours",
            CONTROL_CPU_LIMIT_RATIO,
            cores,
            "cores",
            f"{source}, and the day's changes",
        ),
    ]


def _log_rows() -> list[Row]:
    member_records = RECORDS_PER_REPLACEMENT * REPLACED_PER_DAY
    appends_per_s = (CHANGES_PER_DAY + member_records) / DAY_S
    readers = FAILURE_DOMAINS * READERS_PER_DOMAIN
    return [
        Row(
            "appends to the log, changes and members",
            LOG_APPENDS_PER_S,
            appends_per_s,
            "1/s",
            f"({CHANGES_PER_DAY} + {member_records}) / {DAY_S}",
        ),
        Row(
            "long polls at the log",
            NODES,
            readers,
            "readers",
            f"{FAILURE_DOMAINS} x {READERS_PER_DOMAIN}; the target is all nodes",
        ),
    ]


def format_rows(rows: list[Row], latency: dict) -> str:
    """Return the rows as a Markdown table, with the data path's processor time."""
    lines = [
        "| figure | target | worked out | margin | from |",
        "|---|---|---|---|---|",
    ]
    for row in rows:
        is_met = row.value <= row.target
        margin = f"{1 - row.value / row.target:.0%}" if is_met else "**not met**"
        lines.append(
            f"| {row.figure} | {row.target:,.4g} {row.unit} "
            f"| {row.value:,.4g} {row.unit} | {margin} | {row.source} |"
        )
    for path, report in (("node", latency), ("embedded", latency["embedded"])):
        cores = report["added_cpu_us"] / US_PER_S * MAX_CALLS_PER_S_OF_NODE
        lines.append(
            f"| processor time of the data path, {path} path | none stated "
            f"| {cores:.2f} cores | | bench latency, {report['added_cpu_us']:.0f} us "
            f"x {MAX_CALLS_PER_S_OF_NODE:.0f} calls a second |"
        )
    return "\n".join(lines)


def replace_table(page: str, table: str) -> str:
    """Return a page with the table between the marks replaced.

    Raises:
        ValueError: If the page lacks a mark.
    """
    before, start, rest = page.partition(START_MARK)
    _, end, after = rest.partition(END_MARK)
    if not start or not end:
        raise ValueError(f"the page needs {START_MARK} and {END_MARK}")
    return f"{before}{start}\n\n{table}\n\n{end}{after}"


def update_page(page: Path, measured: Path) -> None:
    """Write the table of a page from the figures in a directory.

    Args:
        page: The page.
        measured: Directory with `control.json` and `latency.json`.
    """
    control = json.loads((measured / "control.json").read_text(encoding="utf-8"))
    latency = json.loads((measured / "latency.json").read_text(encoding="utf-8"))
    table = format_rows(build_rows(control, latency), latency)
    text = page.read_text(encoding="utf-8")
    page.write_text(replace_table(text, table), encoding="utf-8")


if __name__ == "__main__":
    update_page(Path(sys.argv[1]), Path(sys.argv[2]))
