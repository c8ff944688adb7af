"""Judges answers from the caller's point of view, and counts violations.

Nothing here trusts what a node reports about itself: answers are judged by what the
first caller sent, and runs by what the targets recorded.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypedDict

from .meshes import ClassPlan

__all__ = [
    "Attempt",
    "Judgement",
    "RunFact",
    "TargetRecord",
    "Verdict",
    "Violations",
    "count_violations",
    "judge_answer",
]


class Verdict(StrEnum):
    """What an answer means to its caller."""

    WHOLE = "whole"
    REFUSED_NOT_RUN = "refused_not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    WRONG = "wrong"


class Judgement(NamedTuple):
    """Verdict on one answer.

    Attributes:
        verdict: What the answer means.
        request_id: Request that the answer names; empty if it names none.
        kind: Error kind that the answer names; empty for a target's own answer.
    """

    verdict: Verdict
    request_id: str = ""
    kind: str = ""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call of a caller.

    Attributes:
        token: The caller's own text for the order; the same on client retries.
        class_name: Request class.
        phase: Phase of the load in which the order arrived.
        number: 1 for the first call of the order.
        ordered_s: Arrival of the order, on the monotonic clock.
        start_s: Start of this call.
        end_s: End of this call.
        judgement: Verdict on its answer.
    """

    token: str
    class_name: str
    phase: str
    number: int
    ordered_s: float
    start_s: float
    end_s: float
    judgement: Judgement


class RunFact(TypedDict):
    """A run as recorded by a target; see `mimosaloom_standins.Run`."""

    request_id: str
    call_id: str
    attempt: int
    class_name: str
    token: str
    service: str
    upstream: str
    start_s: float
    end_s: float | None
    end: str
    is_whole: bool


class TargetRecord(NamedTuple):
    """What the targets recorded.

    Attributes:
        runs: All runs.
        refused: Calls that the targets themselves refused; objects with
            `request_id`, `call_id` and `attempt`.
    """

    runs: list[RunFact]
    refused: list[dict]


class Violations(NamedTuple):
    """Counts that have to be 0.

    Attributes:
        duplicate_runs: Runs of a non-idempotent order on a service beyond the first.
        wrong_answers: Answers with status 200 that are not the whole answer to the
            caller's own order.
        not_run_violations: Orders or requests that were said not to have run, of
            which a run is recorded.
        retry_violations: Requests with more retries than their bound.
        max_retries_per_request: Most retries that one request caused.
    """

    duplicate_runs: int
    wrong_answers: int
    not_run_violations: int
    retry_violations: int
    max_retries_per_request: int

    @property
    def total(self) -> int:
        """Sum of the counts that have to be 0."""
        return (
            self.duplicate_runs
            + self.wrong_answers
            + self.not_run_violations
            + self.retry_violations
        )


def judge_answer(
    token: str, path: Iterable[str], status: int, body: bytes
) -> Judgement:
    """Judge one answer.

    Args:
        token: What the caller put into its order.
        path: Services that a whole answer comes from, in call order.
        status: HTTP status; 599 if there was no answer.
        body: Body of the answer.
    """
    answer = _read_object(body)
    if status == 200:
        is_own = answer is not None and _is_whole(answer, token, list(path))
        verdict = Verdict.WHOLE if is_own else Verdict.WRONG
        return Judgement(verdict, _text(answer, "request_id"))
    if answer is None:
        return Judgement(Verdict.UNKNOWN)
    request_id, kind = _text(answer, "request_id"), _text(answer, "kind")
    # Only a refusal of mimosaloom has a kind; an error of a target means that it ran.
    ran = answer.get("ran") if kind else "yes"
    verdict = {"no": Verdict.REFUSED_NOT_RUN, "yes": Verdict.FAILED}.get(
        ran, Verdict.UNKNOWN
    )
    return Judgement(verdict, request_id, kind)


def _read_object(body: bytes) -> dict | None:
    try:
        answer = json.loads(body)
    except ValueError:
        return None
    return answer if isinstance(answer, dict) else None


def _text(answer: dict | None, name: str) -> str:
    value = (answer or {}).get(name, "")
    return value if isinstance(value, str) else ""


def _is_whole(answer: dict, token: str, path: list[str]) -> bool:
    request_id = answer.get("request_id")
    nested: object = answer
    for service in path:
        if not isinstance(nested, dict):
            return False
        found = (nested.get("token"), nested.get("request_id"), nested.get("service"))
        if found != (token, request_id, service) or "error" in nested:
            return False
        nested = nested.get("next")
    return bool(request_id) and nested is None


def count_violations(
    attempts: Iterable[Attempt],
    record: TargetRecord,
    classes: Mapping[str, ClassPlan],
    retry_bound: int,
) -> Violations:
    """Count what must not happen.

    Args:
        attempts: All calls of the callers.
        record: What the targets recorded.
        classes: Request classes by name.
        retry_bound: Retries that one request may cause over all hops.
    """
    attempts = list(attempts)
    retries = _retries_by_request(record)
    return Violations(
        duplicate_runs=_count_duplicate_runs(record.runs, classes),
        wrong_answers=sum(a.judgement.verdict is Verdict.WRONG for a in attempts),
        not_run_violations=_count_not_run_violations(attempts, record.runs),
        retry_violations=sum(count > retry_bound for count in retries.values()),
        max_retries_per_request=max(retries.values(), default=0),
    )


def _count_duplicate_runs(runs: list[RunFact], classes: Mapping[str, ClassPlan]) -> int:
    counts = Counter(
        (run["token"], run["service"])
        for run in runs
        # A run without a known class counts as one that may not be repeated.
        if run["class_name"] not in classes
        or not classes[run["class_name"]].is_idempotent
    )
    return sum(count - 1 for count in counts.values())


def _count_not_run_violations(attempts: list[Attempt], runs: list[RunFact]) -> int:
    ran_requests = {run["request_id"] for run in runs}
    ran_tokens = {run["token"] for run in runs}
    verdicts = defaultdict(set)
    violating = set()
    for attempt in attempts:
        verdicts[attempt.token].add(attempt.judgement.verdict)
        is_refused = attempt.judgement.verdict is Verdict.REFUSED_NOT_RUN
        if is_refused and attempt.judgement.request_id in ran_requests:
            violating.add(attempt.token)
    # An order whose calls were all refused must not have run under any request id.
    for token, seen in verdicts.items():
        if seen == {Verdict.REFUSED_NOT_RUN} and token in ran_tokens:
            violating.add(token)
    return len(violating)


def _retries_by_request(record: TargetRecord) -> Counter:
    highest: dict[tuple[str, str], int] = defaultdict(int)
    for seen in (*record.runs, *record.refused):
        key = (seen["request_id"], seen["call_id"])
        highest[key] = max(highest[key], seen["attempt"])
    retries: Counter = Counter()
    for (request_id, _), attempt in highest.items():
        retries[request_id] += attempt - 1
    return retries
