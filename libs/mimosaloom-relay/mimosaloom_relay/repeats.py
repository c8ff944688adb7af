"""Decides whether a request that was not answered goes to another upstream."""

from collections.abc import Callable

from mimosaloom_model import ANSWERS, Clock, Kind, Ran

from .calls import Call, Progress
from .hop_messages import HopResult, read_kind
from .metrics import RelayMetrics
from .retry_share import RepeatBound, RepeatShare
from .target_side import HopReply

__all__ = ["Repeats"]

# Upstreams that may refuse a request unsent before it is given up here.
MAX_REFUSED_HOPS = 3
# Times that targets may reject one request before it is given up.
MAX_ARRIVALS = 4


class Repeats:
    """Keeps the bound on repeats and decides on each of them.

    Args:
        bound: Bound on repeated sends over all nodes.
        count_nodes: Returns the nodes that share it.
        calls_done_of: Returns the calls that a request on the own target has completed.
        clock: Source of time.
        metrics: Counts repeats.
    """

    def __init__(
        self,
        bound: RepeatBound,
        count_nodes: Callable[[], int],
        calls_done_of: Callable[[str], int],
        *,
        clock: Clock,
        metrics: RelayMetrics,
    ):
        self._bound = bound
        self._count_nodes = count_nodes
        self._calls_done_of = calls_done_of
        self._clock = clock
        self._metrics = metrics
        self._shares: dict[str, RepeatShare] = {}

    def record(self, call: Call) -> None:
        """Count a request that began here."""
        share = self._share(call.service)
        if call.is_repeat:
            share.record_repeat(call.start_s)
        else:
            share.record_request(call.start_s)

    def may_try_again(self, call: Call, progress: Progress, result: HopResult) -> bool:
        """Decide whether another upstream gets the request.

        A request that no target has seen moves on freely, a few times. One that has
        arrived at a target counts against the bound on repeats, and a class that must
        not run twice moves on only if it has not run.
        """
        if progress.attempts - progress.arrivals > MAX_REFUSED_HOPS:
            return False
        if not call.can_be_sent_again:
            return False
        if not result.was_sent:
            return True
        has_run = ANSWERS[read_kind(result)].ran is not Ran.NO
        if has_run and not call.route.request_class.is_idempotent:
            return False
        if has_run and len(progress.reached) >= call.route.max_targets:
            return False
        if progress.arrivals >= MAX_ARRIVALS:
            return False
        return self._spend_repeat(call, result.kind)

    def may_repeat_failure(
        self, call: Call, progress: Progress, reply: HopReply
    ) -> bool:
        """Decide whether a request that a target failed on its own goes to another.

        This answers targets that fail part of their requests. A failure that comes from
        a failed call is not repeated, as it would repeat all work below as well.
        """
        if not reply.result.is_own_failure:
            return False
        progress.arrivals += 1
        elapsed_s = self._clock.monotonic_s() - call.start_s
        return (
            call.route.request_class.is_idempotent
            and reply.answer.rest is None
            and call.can_be_sent_again
            and len(progress.reached) < call.route.max_targets
            and 2 * elapsed_s < call.deadline_s - call.start_s
            and self._spend_repeat(call, Kind.TARGET_FAILED.value)
        )

    def _spend_repeat(self, call: Call, reason: str) -> bool:
        is_allowed = self._share(call.service).try_spend(
            self._clock.monotonic_s(),
            nodes=self._count_nodes(),
            is_important=call.priority == 0,
            calls_done=self._count_calls_done(call),
        )
        if is_allowed:
            self._metrics.count_retry(reason)
        else:
            self._metrics.count_stopped_retry("budget")
        return is_allowed

    def _count_calls_done(self, call: Call) -> int:
        if call.parent is None:
            return 0
        return self._calls_done_of(call.parent.request_id)

    def _share(self, service: str) -> RepeatShare:
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = RepeatShare(self._bound)
        return share
