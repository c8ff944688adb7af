"""Stand-in for a target: a service with slots that calls the next service."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, fields, replace
from typing import NamedTuple

from .record import CallMark, RunRecord

__all__ = ["NextAnswer", "Result", "Target", "TargetOptions"]

LOAD_SAMPLE_S = 0.1
LOAD_SAMPLES = 600


@dataclass(frozen=True)
class TargetOptions:
    """Behaviour of a target; `POST /.target/control` changes each field.

    Attributes:
        service: Service of the target.
        upstream: Name of the target.
        slots: Calls that run at once.
        service_time_s: Mean time of the target's own work on a call.
        class_times_s: Mean time for single request classes, in its place.
        jitter_ratio: Spread of the service time: uniform within this share of the
            mean on both sides.
        slow_factor: Factor on the service time.
        cold_start_s: Time from the start of the process until it has full speed.
        cold_factor: Factor on the service time at the start; it falls linearly to 1.
        max_waiting: Calls that may wait for a slot; more are shed with 503.
        shed_ratio: Share of the calls that is shed whatever the load.
        is_draining: Whether new calls are refused.
        egress_url: Base URL under which other services are called.
        paths: Services in call order per request class.
        health_mode: "true", "healthy" (always) or "unhealthy" (always).
        load_mode: "true" or "idle" (always reports no load).
        load_lag_s: Age of the load that `/load` reports.
        cut_answers: Number of coming answers that are cut off half-way.
        seed: Seed of the service times.
        journal: File to which the record is written as well; empty for none.
    """

    service: str = "service"
    upstream: str = "upstream"
    slots: int = 8
    service_time_s: float = 0.01
    class_times_s: dict = field(default_factory=dict)
    jitter_ratio: float = 0.5
    slow_factor: float = 1.0
    cold_start_s: float = 0.0
    cold_factor: float = 1.0
    max_waiting: int = 1_000
    shed_ratio: float = 0.0
    is_draining: bool = False
    egress_url: str = ""
    paths: dict = field(default_factory=dict)
    health_mode: str = "true"
    load_mode: str = "true"
    load_lag_s: float = 0.0
    cut_answers: int = 0
    seed: int = 0
    journal: str = ""


class Result(NamedTuple):
    """What a target answers.

    Attributes:
        status: HTTP status.
        ran: "no" if no part of the call ran, else "yes".
        body: JSON object.
    """

    status: int
    ran: str
    body: dict


class NextAnswer(NamedTuple):
    """Answer of the next hop: HTTP status (599 without an answer) and JSON body."""

    status: int
    body: object


CallNext = Callable[[str], Awaitable[NextAnswer]]


@dataclass
class _Call:
    mark: CallMark
    task: asyncio.Task
    is_running: bool = False


class _LoadSample(NamedTuple):
    at_s: float
    in_flight: int
    waiting: int


class Target:
    """State of a target: slots, calls in flight and the record of runs.

    Args:
        options: Initial behaviour.
    """

    def __init__(self, options: TargetOptions):
        self.options = options
        self.record = RunRecord(options.service, options.upstream, options.journal)
        self._rng = random.Random(options.seed)
        self._started_s = time.monotonic()
        self._running = 0
        self._waiting: deque[asyncio.Future] = deque()
        self._calls: dict[str, list[_Call]] = {}
        self._samples: deque[_LoadSample] = deque(maxlen=LOAD_SAMPLES)

    @property
    def in_flight(self) -> int:
        """Calls that run or wait now."""
        return sum(len(calls) for calls in self._calls.values())

    def change(self, changes: dict) -> None:
        """Change the behaviour.

        Raises:
            TypeError: If a name is not a field of `TargetOptions`.
        """
        self.options = replace(self.options, **changes)
        self._grant_slots()

    def controls(self) -> dict:
        """Return the present behaviour as an object."""
        names = [option.name for option in fields(TargetOptions)]
        return {name: getattr(self.options, name) for name in names}

    async def run(self, mark: CallMark, call_next: CallNext) -> Result:
        """Run one call; all errors come back as a `Result`.

        Args:
            mark: What identifies the call.
            call_next: Calls the service that it is given.
        """
        if self._must_shed():
            return self._refusal(mark, 503, "the target sheds load")
        call = _Call(mark, asyncio.ensure_future(self._run_in_slot(mark, call_next)))
        self._calls.setdefault(mark.call_id, []).append(call)
        try:
            return await asyncio.shield(call.task)
        except asyncio.CancelledError:
            if not call.task.cancelled():
                raise
            if call.is_running:
                return self._answer(mark, 499, "yes", error="cancelled")
            return self._refusal(mark, 499, "cancelled")
        finally:
            self._forget(call)

    def cancel(self, call_id: str) -> str:
        """Cancel a call and return what it was: "running", "waiting" or "unknown"."""
        calls = self._calls.get(call_id, [])
        for call in calls:
            call.task.cancel()
        if not calls:
            return "unknown"
        return "running" if any(call.is_running for call in calls) else "waiting"

    def health(self) -> dict:
        """Return what `/health` reports."""
        options = self.options
        truth = not options.is_draining
        is_healthy = {"healthy": True, "unhealthy": False}.get(
            options.health_mode, truth
        )
        return {"is_healthy": is_healthy, "is_draining": options.is_draining}

    def load(self) -> dict:
        """Return what `/load` reports: calls that run and wait, and the slots."""
        sample = self._load_sample(time.monotonic() - self.options.load_lag_s)
        if self.options.load_mode == "idle":
            sample = _LoadSample(sample.at_s, 0, 0)
        return {
            "in_flight": sample.in_flight,
            "waiting": sample.waiting,
            "slots": self.options.slots,
        }

    def sample_load(self) -> None:
        """Keep the present load for the lagging report; see `LOAD_SAMPLE_S`."""
        self._samples.append(self._load_now())

    def _load_now(self) -> _LoadSample:
        return _LoadSample(time.monotonic(), self._running, len(self._waiting))

    def _load_sample(self, at_s: float) -> _LoadSample:
        if self.options.load_lag_s <= 0:
            return self._load_now()
        older = [sample for sample in self._samples if sample.at_s <= at_s]
        return older[-1] if older else _LoadSample(at_s, 0, 0)

    def _must_shed(self) -> bool:
        options = self.options
        if options.is_draining or len(self._waiting) >= options.max_waiting:
            return True
        return options.shed_ratio > 0 and self._rng.random() < options.shed_ratio

    def _forget(self, call: _Call) -> None:
        calls = self._calls[call.mark.call_id]
        calls.remove(call)
        if not calls:
            del self._calls[call.mark.call_id]

    async def _run_in_slot(self, mark: CallMark, call_next: CallNext) -> Result:
        started_s = time.monotonic()
        await self._take_slot()
        try:
            left_s = self._time_left_s(mark, started_s)
            if left_s is not None and left_s <= 0:
                return self._refusal(mark, 504, "the deadline passed in the queue")
            return await self._run_recorded(mark, call_next, left_s)
        finally:
            self._running -= 1
            self._grant_slots()

    async def _run_recorded(
        self, mark: CallMark, call_next: CallNext, left_s: float | None
    ) -> Result:
        self._mark_running(mark)
        run = self.record.start(mark)
        end = "crashed"
        try:
            async with asyncio.timeout(left_s):
                result = await self._work(mark, call_next)
            end = "whole" if result.status == 200 else "failed_downstream"
            return result
        except TimeoutError:
            end = "deadline"
            return self._answer(mark, 504, "yes", error="the deadline passed")
        except asyncio.CancelledError:
            end = "cancelled"
            raise
        finally:
            self.record.finish(run, end)

    def _mark_running(self, mark: CallMark) -> None:
        this = asyncio.current_task()
        for call in self._calls[mark.call_id]:
            if call.task is this:
                call.is_running = True

    async def _work(self, mark: CallMark, call_next: CallNext) -> Result:
        own_time_s = self._own_time_s(mark.class_name)
        # Half of the work comes before the sub-call and half after it, so that a
        # refusal further down leaves a partial run behind.
        await _pause(own_time_s / 2)
        next_service = self._next_service(mark.class_name)
        if next_service is None:
            await _pause(own_time_s / 2)
            return self._answer(mark, 200, "yes")
        answer = await call_next(next_service)
        if answer.status != 200:
            return self._answer(
                mark, 502, "yes", error=f"{next_service} failed", next=answer.body
            )
        await _pause(own_time_s / 2)
        return self._answer(mark, 200, "yes", next=answer.body)

    def _next_service(self, class_name: str) -> str | None:
        path = self.options.paths.get(class_name, [])
        if self.options.service not in path:
            return None
        following = path[path.index(self.options.service) + 1 :]
        return following[0] if following else None

    def _own_time_s(self, class_name: str) -> float:
        options = self.options
        mean_s = options.class_times_s.get(class_name, options.service_time_s)
        spread = 1 + options.jitter_ratio * self._rng.uniform(-1, 1)
        return mean_s * spread * options.slow_factor * self._cold_factor()

    def _cold_factor(self) -> float:
        options = self.options
        age_s = time.monotonic() - self._started_s
        if age_s >= options.cold_start_s:
            return 1.0
        share = 1 - age_s / options.cold_start_s
        return 1 + (options.cold_factor - 1) * share

    def _time_left_s(self, mark: CallMark, started_s: float) -> float | None:
        if mark.remaining_ms is None:
            return None
        return mark.remaining_ms / 1000 - (time.monotonic() - started_s)

    async def _take_slot(self) -> None:
        if self._running < self.options.slots and not self._waiting:
            self._running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._running -= 1
                self._grant_slots()
            elif turn in self._waiting:
                self._waiting.remove(turn)
            raise

    def _grant_slots(self) -> None:
        while self._waiting and self._running < self.options.slots:
            turn = self._waiting.popleft()
            if not turn.done():
                self._running += 1
                turn.set_result(None)

    def _refusal(self, mark: CallMark, status: int, error: str) -> Result:
        self.record.refuse(mark)
        return self._answer(mark, status, "no", error=error)

    def _answer(self, mark: CallMark, status: int, ran: str, **more) -> Result:
        body = {
            "request_id": mark.request_id,
            "token": mark.token,
            "service": self.options.service,
            "upstream": self.options.upstream,
            **more,
        }
        return Result(status, ran, body)


async def _pause(duration_s: float) -> None:
    if duration_s > 0:
        await asyncio.sleep(duration_s)
