"""Explains the outcome of one request from the logs of several nodes."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

__all__ = ["Explanation", "explain_request", "format_explanation"]

# Separates the id of a request from the suffix that a target adds to it for each call
# that it makes for the request.
CALL_SEPARATOR = "."
_HIDDEN_FIELDS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "node", "request_id"}
)
# Cause of a failed request, by the field `kind` of the line that names the cause.
_CAUSES = {
    "overloaded": "the path had no room for a request of this rank",
    "quarantined": "it is held back, as targets have ended while they ran it",
    "queue_timeout": "it waited too long in the queue for a slot of the target",
    "deadline_too_short": "the time left was too short for the target",
    "deadline_exceeded": "no answer came within its time",
    "connection_lost": "a connection was lost after the request had been sent",
    "answer_truncated": "the answer was truncated",
    "answer_mismatch": "the answer could not be matched to this request",
    "connect_failed": "no connection could be opened",
    "target_rejected": "the target rejected it before it began to run",
    "target_unavailable": "the target had not announced itself or was not reachable",
    "draining": "the target was draining",
    "no_upstream": "no upstream of the service was known to be available",
    "unknown_route": "no route in force matched its host and path",
    "not_configured": "the node had no configuration yet",
    "cancelled": "its client closed the connection before the answer",
}


class LogLine(NamedTuple):
    """One log line about the request.

    Attributes:
        at_s: Wall-clock time in Unix seconds; the clocks of nodes may differ.
        node: Name of the node that logged the line.
        message_type: Type of the log message.
        request_id: Id of the request, or of a call made for it.
        fields: The other fields of the line: inputs and outcome of a decision.
    """

    at_s: float
    node: str
    message_type: str
    request_id: str
    fields: dict[str, object]


class Explanation(NamedTuple):
    """Timeline of a request and the cause of its failure.

    Attributes:
        lines: Log lines about the request, in order of their times.
        cause: Cause of the failure in one sentence; empty if the logs name none.
        skipped_count: Number of lines that could not be read.
    """

    lines: tuple[LogLine, ...]
    cause: str
    skipped_count: int


def explain_request(request_id: str, log_lines: Iterable[str]) -> Explanation:
    """Build the explanation of a request from log lines.

    Args:
        request_id: Id of the request, as its caller sent or received it.
        log_lines: Log lines of any nodes, in any order. Text before the first brace of
            a line is ignored. Lines without a JSON object are skipped and counted.
    """
    lines, skipped = [], 0
    for text in log_lines:
        message = _read_message(text)
        if message is None:
            skipped += bool(text.strip())
            continue
        line_request_id = str(message.get("request_id", ""))
        if line_request_id == request_id or line_request_id.startswith(
            request_id + CALL_SEPARATOR
        ):
            lines.append(_build_log_line(message, line_request_id))
    lines.sort(key=lambda line: line.at_s)
    return Explanation(tuple(lines), _find_cause(lines), skipped)


def format_explanation(request_id: str, explanation: Explanation) -> Iterator[str]:
    """Yield the lines of the report for the operator."""
    if not explanation.lines:
        yield (
            f"no line names {request_id}; only a sample of answered requests is logged"
        )
    start_s = explanation.lines[0].at_s if explanation.lines else 0.0
    for line in explanation.lines:
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if v not in ("",))
        call = line.request_id.removeprefix(request_id)
        name = f"{line.message_type} (call {call[1:]})" if call else line.message_type
        yield f"{1000 * (line.at_s - start_s):8.0f} ms  {line.node:24} {name}  {fields}"
    if explanation.cause:
        yield f"cause: {explanation.cause}"
    if explanation.skipped_count:
        yield f"{explanation.skipped_count} lines could not be read"


def _read_message(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        return msgspec.json.decode(text[start:], type=dict)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def _build_log_line(message: dict, request_id: str) -> LogLine:
    at_s = message.get("timestamp")
    if not isinstance(at_s, int | float):
        # A line without a time comes first, so that the operator sees it.
        at_s = 0.0
    fields = {k: v for k, v in message.items() if k not in _HIDDEN_FIELDS}
    return LogLine(
        float(at_s),
        str(message.get("node", "?")),
        str(message.get("message_type", "?")),
        request_id,
        fields,
    )


def _find_cause(lines: list[LogLine]) -> str:
    """Return the cause named by the deepest line that names one.

    Depth is the number of calls between the request and the line. Among lines of the
    same depth, the last one counts; see `_cause_precedence`.
    """
    failed_lines = [line for line in lines if line.fields.get("kind") in _CAUSES]
    if not failed_lines:
        return ""
    line = max(failed_lines, key=_cause_precedence)
    place = f"at {line.node}"
    if line.fields.get("upstream"):
        place += f", sending to {line.fields['upstream']}"
    detail = f" ({line.fields['detail']})" if line.fields.get("detail") else ""
    return f"{_CAUSES[str(line.fields['kind'])]}, {place}{detail}"


def _cause_precedence(line: LogLine) -> tuple[int, bool, float]:
    # The line `request_finished` of the origin only repeats the cause that a hop has
    # returned, so any other line of the same depth takes precedence.
    depth = line.request_id.count(CALL_SEPARATOR)
    return depth, line.message_type != "request_finished", line.at_s
