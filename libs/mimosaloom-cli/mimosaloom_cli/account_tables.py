"""Tables, JSON document and plot of an account over many requests."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from mimosaloom_model import BegunBy, EndKind

from .account import MAX_SECONDS, Account, HopSums, RequestSums

__all__ = ["build_document", "draw_plot", "format_account"]

Row = dict[str, Any]

PLOT_INCHES = (9.0, 5.0)
PLOT_DPI = 120
_REQUEST_ENDS = (
    EndKind.IN_TIME,
    EndKind.LATE,
    EndKind.OWN_FAILURE,
    EndKind.REFUSED,
    EndKind.FAILED,
    EndKind.CANCELLED,
)
_HOP_ENDS = (
    EndKind.ANSWERED,
    EndKind.OWN_FAILURE,
    EndKind.REJECTED,
    EndKind.REFUSED,
    EndKind.FAILED,
    EndKind.CANCELLED,
)
_RATIO_DIGITS = 3
_DIGITS_BY_UNIT = {"ms": 1, "s": 2, "ratio": _RATIO_DIGITS}
_EMPTY_CELL = "-"


def build_document(account: Account) -> dict[str, Any]:
    """Return the tables of an account by name, each as a list of rows.

    `lines` says what was read, and what is missing.
    """
    return {
        "requests": _build_requests(account),
        "unanswered": _build_unanswered(account),
        "hops": _build_hops(account),
        "targets": _build_targets(account),
        "lines": msgspec.structs.asdict(account.lines),
    }


def format_account(account: Account) -> Iterator[str]:
    """Yield the lines of the tables for the operator."""
    document = build_document(account)
    titles = {
        "requests": "Requests at their origin",
        "unanswered": "Requests without a good answer, by where that was decided",
        "hops": "Hops at their targets",
        "targets": "Targets",
    }
    for name, title in titles.items():
        rows = document[name]
        if rows:
            yield f"{title}:"
            yield from _format_rows(rows)
            yield ""
    lines = account.lines
    yield (
        f"{lines.counted} lines with counts of {lines.read} lines, "
        f"up to {lines.last_s:.0f} s after the first"
    )
    if lines.missing:
        yield f"{lines.missing} lines with counts are missing; the sums lack them"
    if lines.repeated:
        yield f"{lines.repeated} lines with counts were given again, and left out"
    if lines.dropped:
        yield (
            f"{lines.dropped} lines on single requests were left out by nodes at the "
            "rate limits of their logs; the sums include these requests"
        )
    if lines.unreadable:
        yield f"{lines.unreadable} lines could not be read"


def _build_requests(account: Account) -> list[Row]:
    """Return the rows of the requests, and a total for each of who has sent them."""
    names = [*account.keys, "begun_by"]
    rows = [
        {**dict(zip(names, key, strict=True)), **_describe_requests(sums)}
        for key, sums in _sort(account.requests)
    ]
    for begun_by in BegunBy:
        totals = [sums for key, sums in account.requests.items() if key[-1] == begun_by]
        if len(totals) > 1:
            names_of_total = dict.fromkeys(account.keys, "all")
            total = _describe_requests(_add_requests(totals))
            rows.append({**names_of_total, "begun_by": begun_by, **total})
    return rows


def _describe_requests(sums: RequestSums) -> Row:
    offered = sums.ends.total()
    served = sums.ends[EndKind.IN_TIME] + sums.ends[EndKind.LATE]
    return {
        "offered": offered,
        **{end.value: sums.ends[end] for end in _REQUEST_ENDS},
        "mean_ms": _divide(sums.elapsed_ms, offered, 1),
        "max_ms": round(sums.max_elapsed_ms),
        "mean_before_target_ms": _divide(sums.before_target_ms, sums.reached, 1),
        "hops_for_nothing": max(0, sums.hops - served),
    }


def _add_requests(parts: list[RequestSums]) -> RequestSums:
    total = RequestSums()
    for sums in parts:
        total.ends.update(sums.ends)
        total.elapsed_ms += sums.elapsed_ms
        total.max_elapsed_ms = max(total.max_elapsed_ms, sums.max_elapsed_ms)
        total.reached += sums.reached
        total.before_target_ms += sums.before_target_ms
        total.hops += sums.hops
    return total


def _build_unanswered(account: Account) -> list[Row]:
    by_count = sorted(account.unanswered.items(), key=lambda item: (-item[1], item[0]))
    return [
        {"end": end, "kind": kind, "decided_at": place, "requests": count}
        for (end, kind, place), count in by_count
    ]


def _build_hops(account: Account) -> list[Row]:
    busy_ms = sum(sums.busy_ms for sums in account.hops.values())
    return [
        {**dict(zip(account.keys, key, strict=True)), **_describe_hops(sums, busy_ms)}
        for key, sums in _sort(account.hops)
    ]


def _describe_hops(sums: HopSums, total_busy_ms: float) -> Row:
    hops = sums.ends.total()
    return {
        "hops": hops,
        **{end.value: sums.ends[end] for end in _HOP_ENDS},
        "mean_wait_ms": _divide(sums.wait_ms, hops, 1),
        "max_wait_ms": round(sums.max_wait_ms),
        "busy_s": round(sums.busy_ms / 1000, 2),
        "busy_for_nothing_s": round(sums.unanswered_busy_ms / 1000, 2),
        "busy_ratio": _divide(sums.busy_ms, total_busy_ms, _RATIO_DIGITS),
    }


def _build_targets(account: Account) -> list[Row]:
    """Return the rows of the targets that have had hops."""
    hops_of_service: dict[Any, int] = {}
    for (_, service), sums in account.targets.items():
        hops_of_service[service] = hops_of_service.get(service, 0) + sums.hops
    return [
        {
            "node": node,
            "service": service,
            "hops": sums.hops,
            "share_of_hops_ratio": _divide(
                sums.hops, hops_of_service[service], _RATIO_DIGITS
            ),
            "slots": sums.slots,
            "busy_s": round(sums.busy_ms / 1000, 2),
            "slot_use_ratio": _divide(sums.busy_ms, sums.slot_ms, _RATIO_DIGITS),
        }
        for (node, service), sums in _sort(account.targets)
        if sums.hops
    ]


def _divide(total: float, count: float, digits: int) -> float | None:
    """Return a rounded quotient; None if there is nothing to divide by."""
    return round(total / count, digits) if count else None


def _sort(groups: dict[tuple, Any]) -> list[tuple[tuple, Any]]:
    """Return groups in the order of their keys, numbers before names."""

    def order(item: tuple[tuple, Any]) -> list[tuple]:
        return [
            (1, 0, part) if isinstance(part, str) else (0, part, "") for part in item[0]
        ]

    return sorted(groups.items(), key=order)


def _format_rows(rows: list[Row]) -> Iterator[str]:
    """Yield the lines of a table; columns of names are aligned to the left."""
    header = list(rows[0])
    cells = [[_format_cell(name, row[name]) for name in header] for row in rows]
    is_name = [isinstance(rows[0][name], str) for name in header]
    widths = [max(map(len, column)) for column in zip(header, *cells, strict=True)]
    for line in [header, *cells]:
        padded = (
            text.ljust(width) if is_left else text.rjust(width)
            for text, width, is_left in zip(line, widths, is_name, strict=True)
        )
        yield f"  {'  '.join(padded)}".rstrip()


def _format_cell(name: str, value: Any) -> str:
    if value is None or value == "":
        return _EMPTY_CELL
    if isinstance(value, float):
        return f"{value:.{_DIGITS_BY_UNIT[name.rpartition('_')[2]]}f}"
    # A name from a log must not move the cursor of a terminal.
    text = str(value)
    return text if text.isprintable() else ascii(text)


def draw_plot(account: Account, path: Path) -> None:
    """Write a plot of the requests of clients by second and by how they have ended.

    Raises:
        OSError: If the file can't be written.
        ValueError: If the ending of its name is not a known image format.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    axes = figure.subplots()
    seconds = sorted(account.seconds)
    if seconds and seconds[-1] - seconds[0] < MAX_SECONDS:
        # A second without a line had no requests.
        seconds = range(seconds[0], seconds[-1] + 1)
    counts = [account.seconds.get(second, {}) for second in seconds]
    # The last second needs an end, too.
    edges_s = [*seconds, *(second + 1 for second in seconds[-1:])]
    counts += counts[-1:]
    axes.stackplot(
        edges_s,
        [[count.get(end, 0) for count in counts] for end in _REQUEST_ENDS],
        labels=[end.value for end in _REQUEST_ENDS],
        step="post",
    )
    axes.set_xlabel("time after the first line (s)")
    axes.set_ylabel("requests of clients (1/s)")
    # Beside the plot, as the counts may fill all of it.
    axes.legend(fontsize="small", loc="center left", bbox_to_anchor=(1, 0.5))
    figure.savefig(path, dpi=PLOT_DPI)
