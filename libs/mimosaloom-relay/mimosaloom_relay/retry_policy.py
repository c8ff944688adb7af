"""Decides whether a request without a usable answer gets another attempt."""

from collections.abc import Callable

from mimosaloom_model import ERROR_ANSWERS, Clock, ErrorKind, Ran

from .calls import Call, Progress
from .hop_messages import HopContext, HopResult, read_kind
from .metrics import RelayMetrics
from .retry_share import RetryBudgetShare, SharedRetryBudget
from .target_side import HopReply

__all__ = ["RetryPolicy"]

# A request is given up after more than this many attempts that reached no target.
MAX_UNDELIVERED_ATTEMPTS = 3
# A request is given up after this many attempts that reached a target.
MAX_ARRIVALS = 10
# A request under which a target has ended goes to another one. One under which more
# targets have ended is left to its caller, as it may be what ends them.
MAX_RETRIED_ENDS = 1


class RetryPolicy:
    """Decides on further attempts and keeps the node's share of the retry budget.

    A retry is an attempt for a request that has already reached a target. The retry
    budget bounds the retries of all nodes to one service.

    Args:
        budget: Retry budget over all nodes.
        count_nodes: Returns the number of nodes that share the budget.
        estimate_remaining_calls: Returns how many calls a request on this node's target
            is expected to make still.
        count_ends: Returns under how many ended targets a request has been, by its key.
        clock: Source of time.
        metrics: Counts retries.
    """

    def __init__(
        self,
        budget: SharedRetryBudget,
        count_nodes: Callable[[], int],
        estimate_remaining_calls: Callable[[HopContext], int],
        count_ends: Callable[[str], int],
        *,
        clock: Clock,
        metrics: RelayMetrics,
    ):
        self._budget = budget
        self._count_nodes = count_nodes
        self._estimate_remaining = estimate_remaining_calls
        self._count_ends = count_ends
        self._clock = clock
        self._metrics = metrics
        self._shares: dict[str, RetryBudgetShare] = {}

    def record_request(self, call: Call) -> None:
        """Count a request that entered at this node; a call of a retry is a retry."""
        share = self._share(call.service)
        if call.is_repeat:
            share.record_retry(call.start_s)
        else:
            share.record_request(call.start_s)

    def may_try_another_upstream(
        self, call: Call, progress: Progress, result: HopResult
    ) -> bool:
        """Return whether the request may be sent to another upstream.

        After an attempt that did not reach a target, the request may be sent to a few
        more upstreams without spending retry budget. After one that did, the next
        attempt spends retry budget, and a request of a class that is not idempotent is
        sent again only if it is certain that it has not run.
        """
        if progress.attempts - progress.arrivals > MAX_UNDELIVERED_ATTEMPTS:
            return False
        if not call.can_be_sent_again:
            return False
        if not result.was_sent:
            return read_kind(result) is not ErrorKind.QUARANTINED
        if result.ended_start and self._count_ends(call.request_key) > MAX_RETRIED_ENDS:
            return False
        may_have_run = ERROR_ANSWERS[read_kind(result)].ran is not Ran.NO
        if may_have_run and not call.route.request_class.is_idempotent:
            return False
        if may_have_run and len(progress.reached) >= call.route.max_targets:
            return False
        if progress.arrivals >= MAX_ARRIVALS:
            return False
        return self._spend_retry(call, result.kind)

    def may_retry_failure(
        self, call: Call, progress: Progress, reply: HopReply
    ) -> bool:
        """Return whether a request may be retried after the target's own failure.

        This protects against targets that fail part of their requests. A failure caused
        by a failed call is not retried, since a retry would repeat all work further
        down the call graph as well.
        """
        if not reply.result.is_own_failure:
            return False
        progress.arrivals += 1
        elapsed_s = self._clock.monotonic_s() - call.start_s
        return (
            call.route.request_class.is_idempotent
            and reply.answer.streamed_body is None
            and call.can_be_sent_again
            and len(progress.reached) < call.route.max_targets
            and 2 * elapsed_s < call.deadline_s - call.start_s
            and self._spend_retry(call, ErrorKind.TARGET_FAILED.value)
        )

    def _spend_retry(self, call: Call, reason: str) -> bool:
        is_allowed = self._share(call.service).try_spend(
            self._clock.monotonic_s(),
            nodes=self._count_nodes(),
            priority=call.priority,
            remaining_calls=self._count_remaining_calls(call),
        )
        if is_allowed:
            self._metrics.count_retry(reason)
        else:
            self._metrics.count_stopped_retry("budget")
        return is_allowed

    def _count_remaining_calls(self, call: Call) -> int:
        """Return how many calls, with this one, the parent request still needs."""
        return 1 if call.parent is None else self._estimate_remaining(call.parent)

    def _share(self, service: str) -> RetryBudgetShare:
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = RetryBudgetShare(self._budget)
        return share
