"""Stand-in for a target, which runs calls in slots and calls the next service."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, fields, replace
from typing import NamedTuple

from .record import CallIdentity, RunRecord

__all__ = ["CallResult", "NextAnswer", "Target", "TargetOptions"]

LOAD_SAMPLE_S = 0.1
MAX_LOAD_SAMPLES = 600


@dataclass(frozen=True)
class TargetOptions:
    """Behaviour of a target; `POST /.target/control` can change each field.

    Attributes:
        service: Service of the target.
        upstream: Name of the target.
        slots: Maximum number of calls that run at the same time.
        service_time_s: Mean service time in seconds: the time that the target itself
            works on a call, without its sub-call.
        class_times_s: Mean service time by request class, which replaces
            `service_time_s` for these classes.
        jitter_ratio: Half-width of the uniform distribution of the service time, as a
            share of its mean.
        slow_factor: Factor on the service time.
        cold_start_s: Seconds from the start of the process until the target has its
            full speed.
        cold_factor: Factor on the service time at the start of the process. It falls
            linearly to 1 within `cold_start_s`.
        max_waiting: Maximum number of calls that wait for a slot. Further calls are
            shed with status 503.
        shed_ratio: Share of the calls, chosen at random, that is shed with status 503
            at any load.
        is_draining: Whether new calls are refused.
        egress_url: Base URL for calls of other services.
        paths: Services in the order of the calls, by request class.
        health_mode: "true" to report the actual health; "healthy" or "unhealthy" to
            always report this.
        load_mode: "true" to report the actual load; "idle" to always report no load.
        load_lag_s: Age of the load that `/load` reports, in seconds.
        cut_answers: Number of the next answers that are cut off in the middle.
        seed: Seed for the service times and for the choice of calls to shed.
        journal: File to which the record of runs is also written; empty for no file.
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


class CallResult(NamedTuple):
    """Answer of a target to a call.

    Attributes:
        status: HTTP status.
        ran: "no" if no part of the call ran, else "yes".
        body: JSON object.
    """

    status: int
    ran: str
    body: dict


class NextAnswer(NamedTuple):
    """Answer of the next hop to a sub-call.

    Attributes:
        status: HTTP status; 599 if there was no answer.
        body: JSON value.
    """

    status: int
    body: object


CallNext = Callable[[str], Awaitable[NextAnswer]]


@dataclass
class _Call:
    identity: CallIdentity
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

    Attributes:
        options: Current behaviour.
        record: Record of the runs and the refused calls.
    """

    def __init__(self, options: TargetOptions):
        self.options = options
        self.record = RunRecord(options.service, options.upstream, options.journal)
        self._rng = random.Random(options.seed)
        self._started_s = time.monotonic()
        self._running = 0
        self._waiting: deque[asyncio.Future] = deque()
        self._calls: dict[str, list[_Call]] = {}
        self._samples: deque[_LoadSample] = deque(maxlen=MAX_LOAD_SAMPLES)

    @property
    def in_flight(self) -> int:
        """Number of calls that run or wait for a slot."""
        return sum(len(calls) for calls in self._calls.values())

    def update_options(self, changes: dict) -> None:
        """Change the behaviour.

        Args:
            changes: New values of options, by name.

        Raises:
            TypeError: If a name is not a field of `TargetOptions`.
        """
        self.options = replace(self.options, **changes)
        self._grant_slots()

    def options_as_dict(self) -> dict:
        """Return the current options as a JSON object."""
        names = [option.name for option in fields(TargetOptions)]
        return {name: getattr(self.options, name) for name in names}

    async def run(self, identity: CallIdentity, call_next: CallNext) -> CallResult:
        """Run a call.

        Args:
            identity: Identity and deadline of the call.
            call_next: Calls the service with the given name and returns its answer.

        Returns:
            The answer to the call, also for one that is refused or fails.
        """
        if self._must_shed():
            return self._refuse(identity, 503, "the target sheds load")
        call = _Call(
            identity, asyncio.ensure_future(self._run_in_slot(identity, call_next))
        )
        self._calls.setdefault(identity.call_id, []).append(call)
        try:
            return await asyncio.shield(call.task)
        except asyncio.CancelledError:
            if not call.task.cancelled():
                raise
            if call.is_running:
                return self._build_result(identity, 499, "yes", error="cancelled")
            return self._refuse(identity, 499, "cancelled")
        finally:
            self._remove_call(call)

    def cancel(self, call_id: str) -> str:
        """Cancel a call.

        Returns:
            State of the call before: "running", "waiting" or "unknown".
        """
        calls = self._calls.get(call_id, [])
        for call in calls:
            call.task.cancel()
        if not calls:
            return "unknown"
        return "running" if any(call.is_running for call in calls) else "waiting"

    def health(self) -> dict:
        """Return the answer of `/health`."""
        options = self.options
        actual_health = not options.is_draining
        is_healthy = {"healthy": True, "unhealthy": False}.get(
            options.health_mode, actual_health
        )
        return {"is_healthy": is_healthy, "is_draining": options.is_draining}

    def load(self) -> dict:
        """Return the answer of `/load`: running calls, waiting calls and slots."""
        sample = self._find_load_sample(time.monotonic() - self.options.load_lag_s)
        if self.options.load_mode == "idle":
            sample = _LoadSample(sample.at_s, 0, 0)
        return {
            "in_flight": sample.in_flight,
            "waiting": sample.waiting,
            "slots": self.options.slots,
        }

    def sample_load(self) -> None:
        """Store the current load, for reports with a lag.

        Call it every `LOAD_SAMPLE_S` seconds.
        """
        self._samples.append(self._measure_load())

    def _measure_load(self) -> _LoadSample:
        return _LoadSample(time.monotonic(), self._running, len(self._waiting))

    def _find_load_sample(self, at_s: float) -> _LoadSample:
        if self.options.load_lag_s <= 0:
            return self._measure_load()
        samples = [sample for sample in self._samples if sample.at_s <= at_s]
        return samples[-1] if samples else _LoadSample(at_s, 0, 0)

    def _must_shed(self) -> bool:
        options = self.options
        if options.is_draining or len(self._waiting) >= options.max_waiting:
            return True
        return options.shed_ratio > 0 and self._rng.random() < options.shed_ratio

    def _remove_call(self, call: _Call) -> None:
        calls = self._calls[call.identity.call_id]
        calls.remove(call)
        if not calls:
            del self._calls[call.identity.call_id]

    async def _run_in_slot(
        self, identity: CallIdentity, call_next: CallNext
    ) -> CallResult:
        started_s = time.monotonic()
        await self._acquire_slot()
        try:
            remaining_s = self._get_remaining_s(identity, started_s)
            if remaining_s is not None and remaining_s <= 0:
                return self._refuse(identity, 504, "the deadline passed in the queue")
            return await self._run_recorded(identity, call_next, remaining_s)
        finally:
            self._running -= 1
            self._grant_slots()

    async def _run_recorded(
        self, identity: CallIdentity, call_next: CallNext, remaining_s: float | None
    ) -> CallResult:
        self._set_running(identity)
        run = self.record.start_run(identity)
        end = "crashed"
        try:
            async with asyncio.timeout(remaining_s):
                result = await self._run_work(identity, call_next)
            end = "whole" if result.status == 200 else "failed_downstream"
            return result
        except TimeoutError:
            end = "deadline"
            return self._build_result(identity, 504, "yes", error="the deadline passed")
        except asyncio.CancelledError:
            end = "cancelled"
            raise
        finally:
            self.record.finish_run(run, end)

    def _set_running(self, identity: CallIdentity) -> None:
        current_task = asyncio.current_task()
        for call in self._calls[identity.call_id]:
            if call.task is current_task:
                call.is_running = True

    async def _run_work(
        self, identity: CallIdentity, call_next: CallNext
    ) -> CallResult:
        service_time_s = self._draw_service_time_s(identity.class_name)
        # Half of the work is done before the sub-call and half after it, so that the
        # refusal of a sub-call leaves a partial run.
        await _simulate_work(service_time_s / 2)
        next_service = self._find_next_service(identity.class_name)
        if next_service is None:
            await _simulate_work(service_time_s / 2)
            return self._build_result(identity, 200, "yes")
        answer = await call_next(next_service)
        if answer.status != 200:
            return self._build_result(
                identity, 502, "yes", error=f"{next_service} failed", next=answer.body
            )
        await _simulate_work(service_time_s / 2)
        return self._build_result(identity, 200, "yes", next=answer.body)

    def _find_next_service(self, class_name: str) -> str | None:
        path = self.options.paths.get(class_name, [])
        if self.options.service not in path:
            return None
        next_services = path[path.index(self.options.service) + 1 :]
        return next_services[0] if next_services else None

    def _draw_service_time_s(self, class_name: str) -> float:
        options = self.options
        mean_s = options.class_times_s.get(class_name, options.service_time_s)
        spread = 1 + options.jitter_ratio * self._rng.uniform(-1, 1)
        return mean_s * spread * options.slow_factor * self._cold_factor()

    def _cold_factor(self) -> float:
        options = self.options
        age_s = time.monotonic() - self._started_s
        if age_s >= options.cold_start_s:
            return 1.0
        cold_share = 1 - age_s / options.cold_start_s
        return 1 + (options.cold_factor - 1) * cold_share

    def _get_remaining_s(
        self, identity: CallIdentity, started_s: float
    ) -> float | None:
        if identity.remaining_ms is None:
            return None
        return identity.remaining_ms / 1000 - (time.monotonic() - started_s)

    async def _acquire_slot(self) -> None:
        if self._running < self.options.slots and not self._waiting:
            self._running += 1
            return
        slot_granted = asyncio.get_running_loop().create_future()
        self._waiting.append(slot_granted)
        try:
            await slot_granted
        except asyncio.CancelledError:
            if slot_granted.done() and not slot_granted.cancelled():
                self._running -= 1
                self._grant_slots()
            elif slot_granted in self._waiting:
                self._waiting.remove(slot_granted)
            raise

    def _grant_slots(self) -> None:
        while self._waiting and self._running < self.options.slots:
            slot_granted = self._waiting.popleft()
            if not slot_granted.done():
                self._running += 1
                slot_granted.set_result(None)

    def _refuse(self, identity: CallIdentity, status: int, error: str) -> CallResult:
        self.record.add_refused(identity)
        return self._build_result(identity, status, "no", error=error)

    def _build_result(
        self, identity: CallIdentity, status: int, ran: str, **fields
    ) -> CallResult:
        body = {
            "request_id": identity.request_id,
            "token": identity.token,
            "service": self.options.service,
            "upstream": self.options.upstream,
            **fields,
        }
        return CallResult(status, ran, body)


async def _simulate_work(duration_s: float) -> None:
    if duration_s > 0:
        await asyncio.sleep(duration_s)
