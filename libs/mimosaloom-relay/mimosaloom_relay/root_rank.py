"""Rank of a request at its origin, by the fair share of its organisation.

Answers the load of organisations that compete for less room than they ask for. See
docs/design/fair-shares.md.
"""

from mimosaloom_model import Clock
from mimosaloom_policy import FairRank, rank_request

from .calls import Call
from .hop_messages import NO_RANK
from .metrics import RelayMetrics
from .organisations import OrganisationDirectory

__all__ = ["RootRank", "effective_rank"]


class RootRank:
    """Ranks the requests that enter at this node.

    Args:
        clock: Source of time.
        metrics: Exports the largest demand of an organisation over the mean.
    """

    def __init__(self, clock: Clock, metrics: RelayMetrics):
        self._fair_rank = FairRank(clock.monotonic_s())
        metrics.fair_share_ratio.set_function(
            lambda: self._fair_rank.demand_ratio(clock.monotonic_s())
        )

    def apply_organisations(self, directory: OrganisationDirectory | None) -> None:
        """Use the quotas of the organisations as their weights.

        Args:
            directory: Organisations of the configuration in force; None if it declares
                none.
        """
        quotas = {} if directory is None else directory.quotas
        self._fair_rank.set_weights(
            {name: q.rate_per_s for name, q in quotas.items() if q.rate_per_s > 0}
        )

    def record_and_rank(self, call: Call) -> float:
        """Count a request and return its rank by fair share; `NO_RANK` if it has none.

        To be called once for each request that competes for room, so after the check of
        the quota: an organisation is ranked by what its quota lets through. A call has
        the rank of its parent.
        """
        if call.parent is not None:
            return call.parent.rank
        if call.organisation is None:
            return NO_RANK
        name, priority = call.organisation.name, call.priority
        rank = self._fair_rank.rank(name, call.request_id, priority, call.start_s)
        self._fair_rank.record_request(name, priority, call.start_s)
        return rank


def effective_rank(rank: float, root_id: str, priority: int) -> float:
    """Return the rank by which a request is admitted.

    Args:
        rank: Rank by fair share; any number outside [0, 1) for none.
        root_id: Id of the root request.
        priority: Priority of the request.
    """
    return rank if 0 <= rank < 1 else rank_request(root_id, priority)
