"""Simulated mesh with mimosaloom: a node beside each target, real decision code."""

import random
from collections import defaultdict
from collections.abc import Callable

from mimosaloom_model import ERROR_ANSWERS, Answered, ErrorKind, Failed, Ran
from mimosaloom_policy import (
    Admission,
    Arrival,
    Candidate,
    Done,
    LevelTable,
    NotRun,
    RetryBudget,
    Router,
    Run,
    Start,
    rank_request,
)

from .client import Result
from .loop import Loop
from .meshes import MeshSpec
from .record import Record
from .scenarios import Request
from .simulated_targets import Links, Target, list_connection_pairs, one_way_latency_s
from .state import Attempt, Call, Node

__all__ = ["RETRIES_PER_REQUEST", "SHEDDING_MODES", "ControlledMesh"]

RETRIES_PER_REQUEST = 3
BUDGET_RATIO = 0.1
MIN_RETRIES_PER_S = 1.0
ADMISSION_TICK_S = 0.05
LOAD_POLL_INTERVAL_S = 1.0
PING_INTERVAL_S = 0.25
PING_TIMEOUT_S = 0.1
RESOLVE_RETRY_INTERVAL_S = 0.05
MAX_CONFIG_DELAY_S = 0.2

SHEDDING_MODES = ("rank", "random", "priority")


class ControlledMesh:
    """Routes, admits and retries calls with the decision code of the real nodes.

    Args:
        loop: The virtual clock.
        mesh: Sizes and latencies.
        targets: Targets by service.
        links: Connections between callers and targets.
        record: Records runs and retries.
        seed: Seed of the nodes' random generators.
        shedding: One of `SHEDDING_MODES`: "rank" sheds by the rank of the request,
            "random" by a random rank within the priority and without admission levels
            on answers, "priority" by the priority alone.
    """

    def __init__(
        self,
        loop: Loop,
        mesh: MeshSpec,
        targets: dict[str, list[Target]],
        links: Links,
        record: Record,
        seed: int,
        shedding: str = "rank",
    ):
        self._loop = loop
        self._mesh = mesh
        self._links = links
        self._record = record
        self._seed = seed
        self._shedding = shedding
        self._services = {name: list(own) for name, own in targets.items()}
        self._nodes: dict[str, Node] = {}
        self._in_flight: dict[tuple[str, str], dict[str, Attempt]] = defaultdict(dict)
        for target in (t for own in targets.values() for t in own):
            self._add_node(target)
        for node in list(self._nodes.values()):
            self._add_routers(node)
        loop.call_later(ADMISSION_TICK_S, self._tick_admission)
        loop.call_later(LOAD_POLL_INTERVAL_S, self._poll_load)

    def _add_node(self, target: Target) -> Node:
        rng = random.Random(f"{self._seed}/{target.name}")
        node = Node(
            target,
            Admission(target.slots, self._loop.now_s),
            LevelTable(rng, target.service.name),
            rng,
        )
        self._nodes[target.name] = node
        return node

    def _add_routers(self, node: Node) -> None:
        target = node.target
        for service in self._services:
            router = Router(service, target.name, target.domain, node.rng)
            router.set_candidates(self._candidates(service), self._loop.now_s)
            node.routers[service] = router

    def _candidates(self, service: str) -> list[Candidate]:
        return [
            Candidate(
                target.name,
                "127.0.0.1",
                1,
                target.domain,
                target.slots,
                target.service.connections,
                "1",
                self._nodes[target.name].is_draining,
            )
            for target in self._services[service]
        ]

    def _tick_admission(self) -> None:
        for node in list(self._nodes.values()):
            self._apply_decisions(node, node.admission.tick(self._loop.now_s))
        self._loop.call_later(ADMISSION_TICK_S, self._tick_admission)

    def _poll_load(self) -> None:
        for target in (t for own in self._services.values() for t in own):
            load_ratio = target.reported_load()
            for node in self._nodes.values():
                router = node.routers[target.service.name]
                router.record_load(target.name, load_ratio, self._loop.now_s)
        self._loop.call_later(LOAD_POLL_INTERVAL_S, self._poll_load)

    # Events that a scenario schedules.

    def connection_pairs(self) -> list[tuple[str, str]]:
        """Return the pairs of caller and target that hold connections."""
        return list_connection_pairs(self._services)

    def silence_connections(self, pairs: list[tuple[str, str]]) -> None:
        """Make open connections silent until a ping detects and closes them."""
        self._links.silence(pairs)
        rng = random.Random(f"{self._seed}/pings")
        for pair in pairs:
            detection_s = rng.uniform(0.0, PING_INTERVAL_S) + PING_TIMEOUT_S
            self._loop.call_later(detection_s, self._close_silent, pair)

    def _close_silent(self, pair: tuple[str, str]) -> None:
        self._links.close_all(pair)
        for attempt in list(self._in_flight[pair].values()):
            self._loop.call_later(2 * attempt.delay_s, self._resolve, attempt)

    def _resolve(self, attempt: Attempt) -> None:
        """Poll the target's node for the result after the connection was closed."""
        node = self._nodes[attempt.upstream]
        state = node.runs.resolve(attempt.key, self._loop.now_s)
        if isinstance(state, Done):
            kind = None if isinstance(state.result, Answered) else state.result.kind
            self._receive_answer(attempt, kind, 0, 1.0)
        elif isinstance(state, NotRun):
            self._receive_answer(attempt, ErrorKind.CONNECT_FAILED, attempt.lent, 1.0)
        else:
            self._loop.call_later(RESOLVE_RETRY_INTERVAL_S, self._resolve, attempt)

    def replace_targets(self, service: str, new: list[Target]) -> None:
        """Drain the first targets of a service and start new ones in their place.

        Each node learns the new candidates after a random delay.
        """
        old = self._services[service][: len(new)]
        for target in old:
            self._nodes[target.name].is_draining = True
            self._nodes[target.name].admission.start_draining()
        self._services[service] = new + self._services[service][len(new) :]
        for node in [self._add_node(target) for target in new]:
            self._add_routers(node)
        rng = random.Random(f"{self._seed}/config")
        for node in list(self._nodes.values()):
            delay_s = rng.uniform(0.0, MAX_CONFIG_DELAY_S)
            self._loop.call_later(delay_s, self._update_candidates, node, service)

    def _update_candidates(self, node: Node, service: str) -> None:
        candidates = self._candidates(service)
        node.routers[service].set_candidates(candidates, self._loop.now_s)
        names = frozenset(candidate.name for candidate in candidates)
        node.levels.remove_other_upstreams(service, names)

    # The node of the caller.

    def receive_request(
        self, request: Request, client_attempt: int, on_result: Callable[[Result], None]
    ) -> None:
        """Receive an attempt of a client at a node of the entry service."""
        spec = self._mesh.classes[request.class_name]
        entry = self._services[spec.path[0]]
        node = self._nodes[
            entry[(request.entry_index + client_attempt) % len(entry)].name
        ]
        key = f"{request.request_id}.{client_attempt}"
        node.ledger.open(key, RETRIES_PER_REQUEST)
        deadline_s = (
            self._loop.now_s + self._mesh.timeout_s - 2 * self._mesh.client_latency_s
        )

        def end(kind: ErrorKind | None) -> None:
            node.ledger.close(key)
            on_result(self._client_result(kind, spec.is_idempotent))

        self._start_call(
            Call(
                node,
                key,
                key,
                request,
                client_attempt,
                0,
                spec.path[0],
                deadline_s,
                end,
            )
        )

    def timeout_result(self, request: Request) -> Result:
        """Return a timeout, after which only idempotent requests may be retried."""
        is_idempotent = self._mesh.classes[request.class_name].is_idempotent
        return Result("timeout", may_retry=is_idempotent)

    def _client_result(self, kind: ErrorKind | None, is_idempotent: bool) -> Result:
        if kind is None:
            return Result()
        answer = ERROR_ANSWERS[kind]
        is_not_run = answer.ran is Ran.NO
        may_retry = answer.is_retryable and (is_not_run or is_idempotent)
        return Result(str(kind), is_not_run, may_retry)

    def _shedding_rank(self, call: Call) -> float:
        """Return the rank of a call in [0, 1); high ranks are refused first.

        The divisor is the number of priorities.
        """
        priority = self._mesh.classes[call.request.class_name].priority
        if self._shedding == "random":
            return (priority + call.node.rng.random()) / 8
        if self._shedding == "priority":
            return (priority + 0.5) / 8
        return rank_request(call.request.request_id, priority)

    def _hop_depth(self, call: Call) -> int:
        # In "random" mode answers carry no level, so each hop refuses independently.
        return 0 if self._shedding == "random" else call.hop

    def _start_call(self, call: Call) -> None:
        now_s = self._loop.now_s
        node = call.node
        class_name = call.request.class_name
        if call.deadline_s <= now_s:
            self._end_call(call, ErrorKind.DEADLINE_TOO_SHORT)
            return
        rank = self._shedding_rank(call)
        if not node.levels.admits(
            call.service, class_name, rank, now_s, depth=self._hop_depth(call)
        ):
            self._end_call(call, ErrorKind.OVERLOADED)
            return
        refusing = node.levels.refusing_upstreams(call.service, class_name, rank, now_s)
        router = node.routers[call.service]
        candidate = router.pick(now_s, call.tried_upstreams | refusing)
        if candidate is None:
            candidate = router.pick(now_s, call.tried_upstreams)
        if candidate is None:
            self._end_call(call, ErrorKind.NO_UPSTREAM)
            return
        self._send_attempt(call, candidate.name)

    def _send_attempt(self, call: Call, upstream: str) -> None:
        node = call.node
        now_s = self._loop.now_s
        pair = (node.target.name, upstream)
        remote = self._nodes[upstream]
        delay_s = one_way_latency_s(
            self._mesh, node.target.domain, remote.target.domain
        )
        call.attempt += 1
        lent = node.ledger.lend(call.parent_key)
        key = f"{call.key}.{call.attempt}"
        attempt = Attempt(call, key, upstream, lent, now_s, delay_s)
        node.routers[call.service].start(upstream, now_s)
        self._in_flight[pair][key] = attempt
        if not self._links.is_silent(pair):
            self._loop.call_later(delay_s, self._receive_call, remote, attempt)

    def _receive_answer(
        self, attempt: Attempt, kind: ErrorKind | None, unused: int, level: float
    ) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        call = attempt.call
        node = call.node
        now_s = self._loop.now_s
        class_name = call.request.class_name
        del self._in_flight[(node.target.name, attempt.upstream)][attempt.key]
        node.ledger.give_back(call.parent_key, attempt.lent, unused)
        node.routers[call.service].finish(
            attempt.upstream, now_s, elapsed_s=now_s - attempt.sent_s, kind=kind
        )
        node.levels.record_levels(
            call.service, class_name, attempt.upstream, level, now_s
        )
        if kind is None:
            self._retry_budget(node, call).record_success(now_s)
        elif self._may_retry(call, kind):
            if ERROR_ANSWERS[kind].ran is not Ran.NO:
                call.may_have_run_kind = kind
            call.tried_upstreams |= {attempt.upstream}
            self._record.count_retry(call.request, call.client_attempt)
            self._start_call(call)
            return
        self._end_call(call, kind)

    def _end_call(self, call: Call, kind: ErrorKind | None) -> None:
        """End a call with its outcome.

        A refusal that states "not run" must not replace the result of an earlier
        attempt that may have run.
        """
        if (
            kind is not None
            and ERROR_ANSWERS[kind].ran is Ran.NO
            and call.may_have_run_kind
        ):
            kind = call.may_have_run_kind
        call.on_end(kind)

    def _may_retry(self, call: Call, kind: ErrorKind) -> bool:
        is_idempotent = self._mesh.classes[call.request.class_name].is_idempotent
        if kind is ErrorKind.FAILED_DOWNSTREAM:
            # The hop next to the failure has already retried. A retry here would
            # repeat the work of all hops in between.
            return False
        if not self._client_result(kind, is_idempotent).may_retry:
            return False
        if not self._retry_budget(call.node, call).try_spend(self._loop.now_s):
            return False
        return call.node.ledger.spend(call.parent_key)

    def _retry_budget(self, node: Node, call: Call) -> RetryBudget:
        key = (call.service, call.request.class_name)
        budget = node.budgets.get(key)
        if budget is None:
            budget = RetryBudget(BUDGET_RATIO, MIN_RETRIES_PER_S, self._loop.now_s)
            node.budgets[key] = budget
        return budget

    # The node beside the called target.

    def _receive_call(self, node: Node, attempt: Attempt) -> None:
        call = attempt.call
        now_s = self._loop.now_s
        if not isinstance(node.runs.begin(attempt.key, "", now_s), Run):
            return
        node.ledger.open(attempt.key, attempt.lent)
        node.waiting[attempt.key] = attempt
        spec = self._mesh.classes[call.request.class_name]
        arrival = Arrival(
            attempt.key,
            spec.name,
            spec.priority,
            spec.is_protected,
            self._shedding_rank(call),
            call.deadline_s - attempt.delay_s,
            self._hop_depth(call),
        )
        self._apply_decisions(node, node.admission.offer(arrival, now_s))

    def _apply_decisions(self, node: Node, decisions: list) -> None:
        for decision in decisions:
            attempt = node.waiting.pop(decision.call_key)
            if isinstance(decision, Start):
                self._start_work(node, attempt)
            else:
                node.runs.abandon(attempt.key)
                self._send_answer(node, attempt, decision.kind)

    def _start_work(self, node: Node, attempt: Attempt) -> None:
        call = attempt.call
        target = node.target
        target.running += 1
        attempt.start_s = self._loop.now_s
        attempt.is_repeated = self._record.record_run_start(
            call.request, call.client_attempt, call.service
        )
        work_s = (
            target.mean_work_s(attempt.start_s) * call.request.work_factors[call.hop]
        )
        if call.hop + 1 == len(call.request.work_factors):
            self._schedule_work(node, attempt, work_s, self._finish_work, None)
        else:
            self._schedule_work(
                node, attempt, work_s / 2, self._call_downstream, work_s / 2
            )

    def _schedule_work(self, node, attempt, work_s, next_step, argument) -> None:
        """Schedule `next_step` after some work; the target stops at the deadline."""
        deadline_s = attempt.call.deadline_s
        if self._loop.now_s + work_s > deadline_s:
            kind = ErrorKind.DEADLINE_EXCEEDED
            self._loop.call_at(deadline_s, self._finish_work, node, attempt, kind)
        else:
            self._loop.call_later(work_s, next_step, node, attempt, argument)

    def _call_downstream(
        self, node: Node, attempt: Attempt, remaining_s: float
    ) -> None:
        call = attempt.call

        def resume(kind: ErrorKind | None) -> None:
            if kind is None:
                self._schedule_work(node, attempt, remaining_s, self._finish_work, None)
            else:
                self._finish_work(node, attempt, ErrorKind.FAILED_DOWNSTREAM)

        hop = call.hop + 1
        path = self._mesh.classes[call.request.class_name].path
        downstream_call = Call(
            node,
            attempt.key,
            f"{attempt.key}/{hop}",
            call.request,
            call.client_attempt,
            hop,
            path[hop],
            call.deadline_s - attempt.delay_s,
            resume,
        )
        self._start_call(downstream_call)

    def _finish_work(
        self, node: Node, attempt: Attempt, kind: ErrorKind | None
    ) -> None:
        now_s = self._loop.now_s
        node.target.running -= 1
        held_s = now_s - attempt.start_s
        self._record.record_run_end(attempt.call.request, held_s, attempt.is_repeated)
        result = Answered(200) if kind is None else Failed(kind)
        node.runs.finish(attempt.key, result, now_s)
        decisions = node.admission.finish(attempt.key, now_s, is_success=kind is None)
        self._send_answer(node, attempt, kind)
        self._apply_decisions(node, decisions)

    def _send_answer(
        self, node: Node, attempt: Attempt, kind: ErrorKind | None
    ) -> None:
        call = attempt.call
        unused = node.ledger.close(attempt.key)
        level = 1.0
        if self._shedding != "random":
            lowest = node.levels.lowest_level(call.request.class_name, self._loop.now_s)
            level = min(node.admission.level, lowest)
        pair = (call.node.target.name, attempt.upstream)
        if not self._links.is_silent(pair):
            self._loop.call_later(
                attempt.delay_s, self._receive_answer, attempt, kind, unused, level
            )
