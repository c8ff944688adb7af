"""Finds in the logs of several nodes what became of one request, and why."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

__all__ = ["Explanation", "explain_request", "format_explanation"]

# A target extends the id of a request for each call that it makes for it.
CALL_SEPARATOR = "."
_NOT_SHOWN = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "node", "request_id"}
)
# Why requests fail, by the kind of the deepest line that names one.
_CAUSES = {
    "overloaded": "the path had no room for a request of this rank",
    "queue_timeout": "it waited too long for a slot of the target",
    "deadline_too_short": "too little time was left for the target",
    "deadline_exceeded": "no answer came within its time",
    "connection_lost": "a connection was lost after the request had been sent",
    "answer_truncated": "the answer broke off",
    "answer_mismatch": "the answer could not be told to be its own",
    "connect_failed": "no connection could be opened",
    "target_rejected": "the target rejected it before it began",
    "target_unavailable": "the target had not announced itself or was not reachable",
    "draining": "the target was leaving",
    "no_upstream": "no upstream of the service was known to be available",
    "unknown_route": "no route in force matched its host and path",
    "not_configured": "the node had no configuration yet",
    "cancelled": "its client left before the answer",
}


class Line(NamedTuple):
    """One log line that concerns the request.

    Attributes:
        at_s: Wall-clock time in Unix seconds; clocks of nodes differ.
        node: Node that wrote it.
        message_type: What it tells.
        request_id: The request, or a call made for it.
        fields: The inputs of the decision, and its outcome.
    """

    at_s: float
    node: str
    message_type: str
    request_id: str
    fields: dict[str, object]


class Explanation(NamedTuple):
    """What the logs tell of a request.

    Attributes:
        lines: Its lines in the order of their times.
        cause: One sentence; empty if the logs name none.
        skipped: Lines that could not be read.
    """

    lines: tuple[Line, ...]
    cause: str
    skipped: int


def explain_request(request_id: str, texts: Iterable[str]) -> Explanation:
    """Return what log lines tell of a request.

    Args:
        request_id: Id of the request, as its caller knows it.
        texts: Log lines of any nodes in any order. Text before the first brace of a
            line is left out; lines of another form are counted and skipped.
    """
    lines, skipped = [], 0
    for text in texts:
        message = _read_message(text)
        if message is None:
            skipped += bool(text.strip())
            continue
        found = str(message.get("request_id", ""))
        if found == request_id or found.startswith(request_id + CALL_SEPARATOR):
            lines.append(_build_line(message, found))
    lines.sort(key=lambda line: line.at_s)
    return Explanation(tuple(lines), _find_cause(lines), skipped)


def format_explanation(request_id: str, explanation: Explanation) -> Iterator[str]:
    """Yield the lines of a report for the operator."""
    if not explanation.lines:
        yield f"no line names {request_id}; lines of answered requests are a sample"
    start_s = explanation.lines[0].at_s if explanation.lines else 0.0
    for line in explanation.lines:
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if v not in ("",))
        call = line.request_id.removeprefix(request_id)
        name = f"{line.message_type} (call {call[1:]})" if call else line.message_type
        yield f"{1000 * (line.at_s - start_s):8.0f} ms  {line.node:24} {name}  {fields}"
    if explanation.cause:
        yield f"cause: {explanation.cause}"
    if explanation.skipped:
        yield f"{explanation.skipped} lines could not be read"


def _read_message(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        return msgspec.json.decode(text[start:], type=dict)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def _build_line(message: dict, request_id: str) -> Line:
    at_s = message.get("timestamp")
    if not isinstance(at_s, int | float):
        # Sorts before all others, so that it is seen.
        at_s = 0.0
    fields = {k: v for k, v in message.items() if k not in _NOT_SHOWN}
    return Line(
        float(at_s),
        str(message.get("node", "?")),
        str(message.get("message_type", "?")),
        request_id,
        fields,
    )


def _find_cause(lines: list[Line]) -> str:
    """Return the cause that the deepest and latest failing line names."""
    failing = [line for line in lines if line.fields.get("kind") in _CAUSES]
    if not failing:
        return ""
    line = max(failing, key=_rank_line)
    place = f"at {line.node}"
    if line.fields.get("upstream"):
        place += f", sending to {line.fields['upstream']}"
    detail = f" ({line.fields['detail']})" if line.fields.get("detail") else ""
    return f"{_CAUSES[str(line.fields['kind'])]}, {place}{detail}"


def _rank_line(line: Line) -> tuple[int, bool, float]:
    # The final line of the origin repeats what a hop has told it.
    depth = line.request_id.count(CALL_SEPARATOR)
    return depth, line.message_type != "request_finished", line.at_s
