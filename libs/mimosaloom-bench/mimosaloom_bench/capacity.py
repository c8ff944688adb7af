"""Generates the table in docs/CAPACITY.md for the size expected in two years."""

import json
import sys
from pathlib import Path
from typing import NamedTuple

__all__ = ["Row", "build_rows", "format_rows", "replace_table", "update_page"]

START_MARKER = "<!-- figures: written by make capacity -->"
END_MARKER = "<!-- end of figures -->"
CALLS_PER_S = 1_300_000
NODES = 5_200
CALLS_PER_S_PER_NODE = CALLS_PER_S / NODES
ADDED_P99_LIMIT_MS = 0.49
CONTROL_BYTES_LIMIT_PER_S = 4_096.0
CONTROL_CPU_LIMIT_RATIO = 0.043
CONFIG_CHANGES_PER_DAY = 3_300
FAILURE_DOMAINS = 17
# Nodes of a failure domain that read the log by long polling. The other nodes receive
# the records from them.
READERS_PER_DOMAIN = 2
DAY_S = 86_400
US_PER_S = 1e6
# The log service accepts several hundred appends a second. This is the lower end.
LOG_APPENDS_PER_S = 300
# A replacement appends two records to the members stream: the leave of the old node
# and the announcement of the new one.
RECORDS_PER_REPLACEMENT = 2
# 790 replacements and 8 failures a day. A failure counts as a replacement.
REPLACEMENTS_PER_DAY = 790 + 8
# Maximum number of neighbours of a node in the overlay. A node sends one heartbeat a
# second to each neighbour and receives one from it.
NEIGHBOURS = 6
HEARTBEATS_PER_S = 2 * NEIGHBOURS
# Each node forwards the member records that are new to it. A record is therefore sent
# and received once on the link to every neighbour.
MEMBER_RECORD_COPIES = 2 * NEIGHBOURS
# On average, a node receives a configuration record once and forwards it once.
CONFIG_RECORD_COPIES = 2
CONFIG_RECORD_BYTES = 600
MEMBER_RECORD_BYTES = 300
MS_PER_S = 1e3


class Row(NamedTuple):
    """One figure at the size that the system is expected to reach in two years.

    Attributes:
        figure: Name of the figure.
        target: Limit of the figure.
        value: Measured or calculated value.
        unit: Unit of limit and value.
        source: Command or calculation that produced the value.
    """

    figure: str
    target: float
    value: float
    unit: str
    source: str


def build_rows(control: dict, latency: dict) -> list[Row]:
    """Return the rows of the table from the JSON output of two benchmarks.

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
                f"added latency at p99, {path} path",
                ADDED_P99_LIMIT_MS,
                report["added_p99_ms"],
                "ms",
                "bench latency",
            )
        )
    return [*rows, *_build_neighbour_rows(control), *_build_log_rows()]


def _build_neighbour_rows(control: dict) -> list[Row]:
    """Return rows on control traffic and processor time for `NEIGHBOURS` neighbours.

    The cost of a message is the one measured at the largest fleet size.
    """
    largest = control["sizes"][-1]
    tables = control["tables"]
    changes_per_s = CONFIG_CHANGES_PER_DAY / DAY_S
    member_records_per_s = RECORDS_PER_REPLACEMENT * REPLACEMENTS_PER_DAY / DAY_S
    message_bytes = largest["bytes_per_s"] / largest["messages_per_s"]
    bytes_per_s = (
        HEARTBEATS_PER_S * message_bytes
        + member_records_per_s * MEMBER_RECORD_COPIES * MEMBER_RECORD_BYTES
        + changes_per_s * CONFIG_RECORD_COPIES * CONFIG_RECORD_BYTES
    )
    cores = (
        HEARTBEATS_PER_S * largest["cpu_ratio"] / largest["messages_per_s"]
        + member_records_per_s
        * MEMBER_RECORD_COPIES
        * tables["member_change_us"]
        / US_PER_S
        + changes_per_s * tables["settle_ms"] / MS_PER_S
    )
    source = (
        f"{HEARTBEATS_PER_S} heartbeats a second, "
        f"cost per message measured at {largest['nodes']} nodes"
    )
    return [
        Row(
            "control: bytes_per_s, by the bound of six neighbours",
            CONTROL_BYTES_LIMIT_PER_S,
            bytes_per_s,
            "B/s",
            f"{source}; plus configuration changes and member records averaged over "
            "a day",
        ),
        Row(
            "control: cpu_ratio, by the bound of six neighbours",
            CONTROL_CPU_LIMIT_RATIO,
            cores,
            "cores",
            f"{source}; plus configuration changes and member records averaged over "
            "a day",
        ),
    ]


def _build_log_rows() -> list[Row]:
    """Return rows on the appends to the log service and on its long-poll readers."""
    member_records = RECORDS_PER_REPLACEMENT * REPLACEMENTS_PER_DAY
    appends_per_s = (CONFIG_CHANGES_PER_DAY + member_records) / DAY_S
    readers = FAILURE_DOMAINS * READERS_PER_DOMAIN
    return [
        Row(
            "appends to the log: configuration changes and member records",
            LOG_APPENDS_PER_S,
            appends_per_s,
            "1/s",
            "changes and member records a day, divided by the seconds of a day: "
            f"({CONFIG_CHANGES_PER_DAY} + {member_records}) / {DAY_S}",
        ),
        Row(
            "readers of the log by long polling",
            NODES,
            readers,
            "readers",
            f"{FAILURE_DOMAINS} failure domains x {READERS_PER_DOMAIN} readers; "
            "the limit is the number of nodes",
        ),
    ]


def format_rows(rows: list[Row], latency: dict) -> str:
    """Return a Markdown table of the rows and the processor time of the data path."""
    lines = [
        "| figure | limit | value | margin | source |",
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
        cores = report["added_cpu_us"] / US_PER_S * CALLS_PER_S_PER_NODE
        lines.append(
            f"| processor time of the data path, {path} path | none stated "
            f"| {cores:.2f} cores | | bench latency, {report['added_cpu_us']:.0f} us "
            f"per call x {CALLS_PER_S_PER_NODE:.0f} calls a second |"
        )
    return "\n".join(lines)


def replace_table(page: str, table: str) -> str:
    """Return a page in which the table between the two markers is replaced.

    Raises:
        ValueError: If a marker is missing.
    """
    before, start_marker, rest = page.partition(START_MARKER)
    _, end_marker, after = rest.partition(END_MARKER)
    if not start_marker or not end_marker:
        raise ValueError(f"the page needs the markers {START_MARKER} and {END_MARKER}")
    return f"{before}{start_marker}\n\n{table}\n\n{end_marker}{after}"


def update_page(page: Path, measured: Path) -> None:
    """Rewrite the table of a page from the benchmark reports in a directory.

    Args:
        page: Path of the Markdown page.
        measured: Directory with `control.json` and `latency.json`.
    """
    control = json.loads((measured / "control.json").read_text(encoding="utf-8"))
    latency = json.loads((measured / "latency.json").read_text(encoding="utf-8"))
    table = format_rows(build_rows(control, latency), latency)
    text = page.read_text(encoding="utf-8")
    page.write_text(replace_table(text, table), encoding="utf-8")


if __name__ == "__main__":
    update_page(Path(sys.argv[1]), Path(sys.argv[2]))
