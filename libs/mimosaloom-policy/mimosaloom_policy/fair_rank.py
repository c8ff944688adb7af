"""Rank by fair share: under overload, who asks beyond its share is refused first.

Answers the load of organisations that compete for less room than they ask for. See
docs/design/fair-shares.md.
"""

import math
from bisect import bisect_left

from mimosaloom_model import hash_to_unit_interval

from .rank import PRIORITY_COUNT, rank_request

__all__ = ["FairRank"]

# Time constant of the counts.
MEMORY_S = 2.0
# Requests that the usual demand counts for in the estimate of each organisation.
PRIOR_COUNT = 2.0
# Organisations that ask for more than this multiple of the usual demand don't raise it
# further.
MAX_USUAL_RATIO = 2.0
USUAL_ROUNDS = 3
# An organisation with a lower count is not tracked any longer.
MIN_COUNT = 0.02
# Organisations that are tracked within a priority.
MAX_TRACKED = 4096
REFRESH_S = 0.1
# With more organisations than this, refreshes are rarer in proportion, so that they
# take the same share of the processor.
REFRESH_TRACKED = 512
# Largest position within the band of a priority. Sums with a priority are exact.
MAX_POSITION = 1 - 2**-40


class FairRank:
    """Ranks the requests of one origin by the demand of their organisations.

    The position of a request within the band of its priority follows from the product
    of its hash and the demand of its organisation per unit of weight. It is the share
    of the recent requests of that priority whose product is lower, so that positions
    are uniform whatever the demands are: a level admits the same share of requests as
    without organisations, and changes of the demands don't change that share.

    Args:
        now_s: Current time on the monotonic clock.
    """

    def __init__(self, now_s: float):
        self._weights: dict[str, float] = {}
        self._default_weight = 1.0
        self._bands = [_Band(now_s) for _ in range(PRIORITY_COUNT)]

    def demand_ratio(self, now_s: float) -> float:
        """Return the largest demand per weight over the mean; 1 if none is known.

        It is the largest one of all priorities.
        """
        for band in self._bands:
            band.refresh_if_due(now_s, self._weights, self._default_weight)
        return max(band.demand_ratio for band in self._bands)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the weights of the organisations.

        Organisations without a weight get the mean of the others, or 1 if none has a
        weight.

        Args:
            weights: Weight by the name of the organisation, above 0.
        """
        self._weights = dict(weights)
        self._default_weight = (
            math.fsum(weights.values()) / len(weights) if weights else 1.0
        )

    def record_request(self, organisation: str, priority: int, now_s: float) -> None:
        """Count a request of an organisation, whether it is admitted or not.

        Args:
            organisation: Name of the organisation; nothing is counted if empty.
            priority: Priority, 0 to `PRIORITY_COUNT - 1`.
            now_s: Current time on the monotonic clock.
        """
        if organisation:
            band = self._bands[priority]
            band.refresh_if_due(now_s, self._weights, self._default_weight)
            band.count(organisation)

    def rank(
        self, organisation: str, request_id: str, priority: int, now_s: float
    ) -> float:
        """Return the rank of a request, in the band of its priority.

        Args:
            organisation: Name of its organisation; empty for none.
            request_id: Id of the root request.
            priority: Priority, 0 (most important) to `PRIORITY_COUNT - 1`.
            now_s: Current time on the monotonic clock.

        Returns:
            A number in [0, 1), see `rank_request`.
        """
        if not organisation or not 0 <= priority < PRIORITY_COUNT:
            return rank_request(request_id, priority)
        band = self._bands[priority]
        band.refresh_if_due(now_s, self._weights, self._default_weight)
        if not band.is_shared:
            return rank_request(request_id, priority)
        weight = self._weights.get(organisation, self._default_weight)
        unit_hash = hash_to_unit_interval(request_id)
        position = band.position(organisation, weight, unit_hash)
        return (priority + position) / PRIORITY_COUNT


class _Band:
    """Demands of the organisations within one priority.

    Demands are multiples of the usual demand per unit of weight.

    Attributes:
        is_shared: Whether several organisations have asked recently.
        demand_ratio: Largest demand as a multiple of the mean.
    """

    def __init__(self, now_s: float):
        self.is_shared = False
        self.demand_ratio = 1.0
        self._refreshed_s = now_s
        self._counts: dict[str, float] = {}
        # Requests of organisations that are not tracked.
        self._other_count = 0.0
        self._demands: dict[str, float] = {}
        self._usual = 1.0
        # Share of the requests whose product of hash and demand is below a point.
        self._points: list[float] = []
        self._shares: list[float] = []

    def count(self, organisation: str) -> None:
        count = self._counts.get(organisation)
        if count is not None:
            self._counts[organisation] = count + 1
        elif len(self._counts) < MAX_TRACKED:
            self._counts[organisation] = 1.0
        else:
            self._other_count += 1

    def position(self, organisation: str, weight: float, unit_hash: float) -> float:
        """Return the share of the requests that are to be admitted before this one.

        Args:
            organisation: Name of the organisation.
            weight: Weight of the organisation.
            unit_hash: Hash of the request in [0, 1).
        """
        demand = self._demands.get(organisation)
        if demand is None:
            demand = self._estimate_untracked(weight)
        point = unit_hash * demand
        index = bisect_left(self._points, point)
        if index == len(self._points):
            return MAX_POSITION
        low, low_share = 0.0, 0.0
        if index:
            low, low_share = self._points[index - 1], self._shares[index - 1]
        high, high_share = self._points[index], self._shares[index]
        share = low_share + (high_share - low_share) * (point - low) / (high - low)
        return min(MAX_POSITION, share)

    def refresh_if_due(
        self, now_s: float, weights: dict[str, float], default_weight: float
    ) -> None:
        """Compute the demands from the counts, at most every `REFRESH_S`.

        A request is ranked by the requests before it. If it counted itself, a rare
        organisation would look greedy at each of its requests.
        """
        elapsed_s = now_s - self._refreshed_s
        if elapsed_s < REFRESH_S * max(1.0, len(self._counts) / REFRESH_TRACKED):
            return
        self._refreshed_s = now_s
        self._decay(math.exp(-elapsed_s / MEMORY_S))
        self.is_shared = len(self._counts) > 1
        self.demand_ratio, self._demands = 1.0, {}
        if self.is_shared:
            items = [
                (weights.get(name, default_weight), count)
                for name, count in self._counts.items()
            ]
            self._usual = _compute_usual_demand(items)
            self._set_demands(items, self._usual)

    def _estimate_untracked(self, weight: float) -> float:
        if self._other_count >= MIN_COUNT:
            # There is no room to track all organisations, so its count is not known.
            return 1.0
        return _estimate((weight, 0.0), self._usual) / self._usual

    def _decay(self, factor: float) -> None:
        self._counts = {
            name: count * factor
            for name, count in self._counts.items()
            if count * factor >= MIN_COUNT
        }
        self._other_count *= factor

    def _set_demands(self, items: list[tuple[float, float]], usual: float) -> None:
        demands = [_estimate(item, usual) / usual for item in items]
        self._demands = dict(zip(self._counts, demands, strict=True))
        total_weight = math.fsum(weight for weight, _ in items)
        weighted = [(d, w) for d, (w, _) in zip(demands, items, strict=True)]
        total = math.fsum(demand * weight for demand, weight in weighted)
        self.demand_ratio = max(demands) * total_weight / total
        other_weight = self._other_count / usual
        weighted.append((1.0, other_weight))
        weighted.sort()
        self._points, self._shares = [], []
        total += other_weight
        below, weight_above = 0.0, total_weight + other_weight
        for demand, weight in weighted:
            if not self._points or demand > self._points[-1]:
                self._points.append(demand)
                self._shares.append((below + demand * weight_above) / total)
            below += demand * weight
            weight_above -= weight


def _compute_usual_demand(items: list[tuple[float, float]]) -> float:
    """Return the mean demand per unit of weight, without what is far above it.

    Few samples are completed by this demand. With the plain mean, rare organisations
    would seem to ask for more as soon as another one is greedy.

    Args:
        items: Weight and count of each organisation.
    """
    total_weight = math.fsum(weight for weight, _ in items)
    usual = math.fsum(count for _, count in items) / total_weight
    for _ in range(USUAL_ROUNDS):
        limit = MAX_USUAL_RATIO * usual
        usual = (
            math.fsum(item[0] * min(_estimate(item, usual), limit) for item in items)
            / total_weight
        )
    return usual


def _estimate(item: tuple[float, float], usual: float) -> float:
    """Return the demand per unit of weight that a weight and a count suggest."""
    weight, count = item
    return (count + PRIOR_COUNT) / (weight + PRIOR_COUNT / usual)
