"""Classifies answers from the caller's point of view and counts violations.

Reports of the nodes are not used as evidence. Answers are compared with what the
first caller sent, and runs are taken from the records of the targets.

Terms:

- An order is one piece of work that a caller wants done. Its token is unique and stays
  the same when the caller retries. The mesh handles a call of the caller as a request
  and gives it a request id.
- A run is one execution of a call by a target.
- An answer is whole if it holds the caller's own token and the answer of every service
  on the path of the request class.
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
    "ClassifiedAnswer",
    "RunRecord",
    "TargetRecord",
    "Verdict",
    "Violations",
    "classify_answer",
    "count_violations",
]


class Verdict(StrEnum):
    """What an answer means to its caller.

    Attributes:
        WHOLE: The answer is the whole answer to the order.
        REFUSED_NOT_RUN: The answer says that no target ran any part of the request.
        FAILED: The request failed after a target ran at least a part of it.
        UNKNOWN: The answer leaves open whether the request ran, or there is no answer.
        WRONG: The status is 200, but the answer is not the whole answer to the order.
    """

    WHOLE = "whole"
    REFUSED_NOT_RUN = "refused_not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    WRONG = "wrong"


class ClassifiedAnswer(NamedTuple):
    """Verdict on an answer, with the fields of the answer that checks need.

    Attributes:
        verdict: What the answer means to the caller.
        request_id: Request id in the answer; empty if there is none.
        kind: Error kind in the answer; empty if a target wrote the answer itself.
    """

    verdict: Verdict
    request_id: str = ""
    kind: str = ""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call of a caller; times in seconds on the monotonic clock.

    Attributes:
        token: Token of the order; the same on all client retries of the order.
        class_name: Request class.
        phase: Phase of the load in which the order arrived.
        number: Number of the call among the calls of its order, from 1.
        arrived_s: Arrival time of the order.
        start_s: Start of this call.
        end_s: End of this call.
        answer: Answer to this call, with its verdict.
    """

    token: str
    class_name: str
    phase: str
    number: int
    arrived_s: float
    start_s: float
    end_s: float
    answer: ClassifiedAnswer


class RunRecord(TypedDict):
    """One run as a target recorded it; see `mimosaloom_standins.Run`."""

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
    """Records of all targets.

    Attributes:
        runs: All runs.
        refused: Calls that the targets themselves refused, as objects with
            `request_id`, `call_id` and `attempt`.
    """

    runs: list[RunRecord]
    refused: list[dict]


class Violations(NamedTuple):
    """Number of violations of each guarantee, and the highest number of retries.

    Attributes:
        duplicate_runs: Runs of a non-idempotent order on a service beyond the first.
        wrong_answers: Answers with status 200 that are not the whole answer to the
            caller's own order.
        not_run_violations: Orders that were refused as not run although a target
            recorded a run of them.
        retry_violations: Requests that caused more retries than the bound.
        max_retries_per_request: Highest number of retries that one request caused;
            not a violation itself.
    """

    duplicate_runs: int
    wrong_answers: int
    not_run_violations: int
    retry_violations: int
    max_retries_per_request: int

    @property
    def total(self) -> int:
        """Number of violations of all guarantees."""
        return (
            self.duplicate_runs
            + self.wrong_answers
            + self.not_run_violations
            + self.retry_violations
        )


def classify_answer(
    token: str, path: Iterable[str], status: int, body: bytes
) -> ClassifiedAnswer:
    """Return the verdict on an answer, with the fields that checks need.

    Args:
        token: Token that the caller put into the order.
        path: Services that contribute to a whole answer, in call order.
        status: HTTP status; 599 if there was no answer.
        body: Body of the answer.
    """
    answer = _parse_object(body)
    if status == 200:
        is_whole = answer is not None and _is_whole(answer, token, list(path))
        verdict = Verdict.WHOLE if is_whole else Verdict.WRONG
        return ClassifiedAnswer(verdict, _get_text(answer, "request_id"))
    if answer is None:
        return ClassifiedAnswer(Verdict.UNKNOWN)
    request_id, kind = _get_text(answer, "request_id"), _get_text(answer, "kind")
    # Only refusals of mimosaloom carry a kind. An answer without one was written by a
    # target, which means that the target ran the call.
    ran = answer.get("ran") if kind else "yes"
    verdict = {"no": Verdict.REFUSED_NOT_RUN, "yes": Verdict.FAILED}.get(
        ran, Verdict.UNKNOWN
    )
    return ClassifiedAnswer(verdict, request_id, kind)


def _parse_object(body: bytes) -> dict | None:
    try:
        answer = json.loads(body)
    except ValueError:
        return None
    return answer if isinstance(answer, dict) else None


def _get_text(answer: dict | None, name: str) -> str:
    value = (answer or {}).get(name, "")
    return value if isinstance(value, str) else ""


def _is_whole(answer: dict, token: str, path: list[str]) -> bool:
    request_id = answer.get("request_id")
    part: object = answer
    for service in path:
        if not isinstance(part, dict):
            return False
        fields = (part.get("token"), part.get("request_id"), part.get("service"))
        if fields != (token, request_id, service) or "error" in part:
            return False
        part = part.get("next")
    return bool(request_id) and part is None


def count_violations(
    attempts: Iterable[Attempt],
    record: TargetRecord,
    classes: Mapping[str, ClassPlan],
    retry_bound: int,
) -> Violations:
    """Count the violations of each guarantee.

    Args:
        attempts: All calls of the callers.
        record: Records of all targets.
        classes: Request classes by name.
        retry_bound: Number of retries that one request may cause over all hops.
    """
    attempts = list(attempts)
    retries = _count_retries_by_request(record)
    return Violations(
        duplicate_runs=_count_duplicate_runs(record.runs, classes),
        wrong_answers=sum(a.answer.verdict is Verdict.WRONG for a in attempts),
        not_run_violations=_count_not_run_violations(attempts, record.runs),
        retry_violations=sum(count > retry_bound for count in retries.values()),
        max_retries_per_request=max(retries.values(), default=0),
    )


def _count_duplicate_runs(
    runs: list[RunRecord], classes: Mapping[str, ClassPlan]
) -> int:
    counts = Counter(
        (run["token"], run["service"])
        for run in runs
        # A run of an unknown class counts as non-idempotent.
        if run["class_name"] not in classes
        or not classes[run["class_name"]].is_idempotent
    )
    return sum(count - 1 for count in counts.values())


def _count_not_run_violations(attempts: list[Attempt], runs: list[RunRecord]) -> int:
    ran_requests = {run["request_id"] for run in runs}
    ran_tokens = {run["token"] for run in runs}
    verdicts_by_token = defaultdict(set)
    violating_tokens = set()
    for attempt in attempts:
        verdicts_by_token[attempt.token].add(attempt.answer.verdict)
        is_refused = attempt.answer.verdict is Verdict.REFUSED_NOT_RUN
        if is_refused and attempt.answer.request_id in ran_requests:
            violating_tokens.add(attempt.token)
    # An order whose calls were all refused must not have run under any request id.
    for token, verdicts in verdicts_by_token.items():
        if verdicts == {Verdict.REFUSED_NOT_RUN} and token in ran_tokens:
            violating_tokens.add(token)
    return len(violating_tokens)


def _count_retries_by_request(record: TargetRecord) -> Counter:
    # The attempts of a call are numbered from 1, so the highest recorded number minus 1
    # is the number of retries of the call.
    last_attempts: dict[tuple[str, str], int] = defaultdict(int)
    for entry in (*record.runs, *record.refused):
        key = (entry["request_id"], entry["call_id"])
        last_attempts[key] = max(last_attempts[key], entry["attempt"])
    retries: Counter = Counter()
    for (request_id, _), attempt in last_attempts.items():
        retries[request_id] += attempt - 1
    return retries
