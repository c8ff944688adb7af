"""Choice among upstreams by the expected finish of a request.

Answers uneven targets and requests: see docs/design/placement.md.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .work_cost import FinishEstimate

__all__ = ["NEAR_RATIO", "FinishTable", "choose_near"]

# Upstreams whose expected finish is at most this many times the best are chosen from.
NEAR_RATIO = 1.5
# The weight of an upstream falls with this power of its expected finish.
WEIGHT_EXPONENT = 1
# Share of the calls that goes to any upstream, so that one that has become faster is
# noticed.
EXPLORE_RATIO = 0.01
# What a target still has to do changes within the time of a few requests, and machines
# are slow for moments. The speed of a target remains.
NEWS_FADE_S = 0.06
NEWS_MAX_AGE_S = 2.0
# Slots that random arrivals fill for moments are about the square root of all. A target
# that has fewer left free costs up to this much more, as requests may have to wait.
CROWDED_COST = 0.7
BASE_SMOOTHING = 0.1
WAIT_SMOOTHING = 0.05


@dataclass(slots=True)
class _Service:
    """Own work of a class at an upstream.

    Attributes:
        last_s: Last estimate.
        at_s: Time at which it was heard.
        log_base: Smoothed logarithm of all estimates.
        base_s: Its exponential.
    """

    last_s: float
    at_s: float
    log_base: float
    base_s: float


@dataclass(slots=True)
class _Upstream:
    """What was heard of an upstream.

    Attributes:
        incarnation: Incarnation of its node.
        services: Own work by class.
        wait_s: Wait that was heard last.
        at_s: Time at which it was heard.
        free_slots: Slots that were free then.
        slots: Slots of the target.
        sent: Own requests sent there since then.
    """

    incarnation: str
    services: dict[str, _Service] = field(default_factory=dict)
    wait_s: float = 0.0
    at_s: float = -math.inf
    free_slots: float = 0.0
    slots: int = 1
    sent: int = 0


@dataclass(slots=True)
class _ClassMean:
    """Sum and count over upstreams of the smoothed logarithms of own work."""

    log_sum: float = 0.0
    count: int = 0


class FinishTable:
    """Expected finish of requests at the upstreams of one service, for one caller."""

    def __init__(self):
        self._upstreams: dict[str, _Upstream] = {}
        self._means: dict[str, _ClassMean] = {}
        self._mean_wait_s = 0.0

    def knows_class(self, class_name: str) -> bool:
        """Return whether there is an estimate of a class at any upstream."""
        return class_name in self._means

    def record(
        self,
        name: str,
        incarnation: str,
        class_name: str,
        estimate: FinishEstimate,
        now_s: float,
        *,
        slots: int = 1,
        load_ratio: float = 1.0,
    ) -> None:
        """Record the estimate that came with an answer of an upstream's node.

        Args:
            name: Name of the upstream.
            incarnation: Incarnation of its node; a new one drops what was known.
            class_name: Class of the request that was answered.
            estimate: Its estimate. One without own work drops what was known of the
                class: another start of the target has measured none yet.
            now_s: Current time on the monotonic clock.
            slots: Slots of the target.
            load_ratio: Load of the target, 1 for all slots in use.
        """
        known = self._upstreams.get(name)
        if known is not None and known.incarnation != incarnation:
            self.remove(name)
            known = None
        if estimate.service_s <= 0:
            if known is not None:
                self._drop_class(known, class_name)
            return
        if known is None:
            known = self._upstreams[name] = _Upstream(incarnation)
        known.wait_s, known.at_s, known.sent = estimate.wait_s, now_s, 0
        known.slots = max(1, slots)
        known.free_slots = max(0.0, 1.0 - load_ratio) * known.slots
        self._mean_wait_s += WAIT_SMOOTHING * (estimate.wait_s - self._mean_wait_s)
        self._record_service(known, class_name, estimate.service_s, now_s)

    def record_sent(self, name: str) -> None:
        """Record that a request was sent to an upstream."""
        known = self._upstreams.get(name)
        if known is not None:
            known.sent += 1

    def remove(self, name: str) -> None:
        """Drop what was heard of an upstream."""
        known = self._upstreams.get(name)
        if known is not None:
            for class_name in list(known.services):
                self._drop_class(known, class_name)
            del self._upstreams[name]

    def keep_only(self, names: set[str]) -> None:
        """Drop what was heard of all other upstreams."""
        for name in self._upstreams.keys() - names:
            self.remove(name)

    def expected_s(
        self, name: str, class_name: str, in_flight: int, now_s: float
    ) -> float | None:
        """Return the time until one more request would be done; None if not known.

        Args:
            name: Name of the upstream.
            class_name: Class of the request.
            in_flight: Own requests in progress there.
            now_s: Current time on the monotonic clock.
        """
        parts = self.expected_parts(name, class_name, in_flight, now_s)
        return None if parts is None else parts.wait_s + parts.service_s

    def load_ratio(self, name: str) -> float:
        """Return the load of an upstream, own requests since its report included."""
        known = self._upstreams.get(name)
        if known is None:
            return 0.0
        return 1.0 + (known.sent - known.free_slots) / known.slots

    def crowded_factor(self, name: str) -> float:
        """Return the factor by which few free slots raise the cost of an upstream."""
        known = self._upstreams.get(name)
        if known is None:
            return 1.0
        free_ratio = (known.free_slots - known.sent) / math.sqrt(known.slots)
        return 1.0 + CROWDED_COST * min(1.0, max(0.0, 1.0 - free_ratio))

    def expected_parts(
        self, name: str, class_name: str, in_flight: int, now_s: float
    ) -> FinishEstimate | None:
        """Return the expected wait and own work; None if not known.

        Args:
            name: Name of the upstream.
            class_name: Class of the request.
            in_flight: Own requests in progress there.
            now_s: Current time on the monotonic clock.
        """
        known = self._upstreams.get(name)
        if known is None:
            return None
        service_s = self._expected_service_s(known, class_name, now_s)
        if service_s is None:
            return None
        wait_s = self._mean_wait_s
        wait_s += (known.wait_s - wait_s) * _news_weight(known.at_s, now_s)
        # Requests above the free slots wait for those before them.
        over = max(known.sent - known.free_slots, in_flight - known.slots)
        if over > 0:
            wait_s += over * service_s / known.slots
        return FinishEstimate(wait_s, service_s)

    def _expected_service_s(
        self, known: _Upstream, class_name: str, now_s: float
    ) -> float | None:
        service = known.services.get(class_name)
        if service is None:
            return self._derive_service_s(known, class_name)
        base_s = service.base_s
        return base_s + (service.last_s - base_s) * _news_weight(service.at_s, now_s)

    def _derive_service_s(self, known: _Upstream, class_name: str) -> float | None:
        """Return the own work of a class by the relative speed in other classes."""
        mean = self._means.get(class_name)
        if mean is None or not known.services:
            return None
        deviation = 0.0
        for other_name, service in known.services.items():
            other = self._means[other_name]
            deviation += service.log_base - other.log_sum / other.count
        log_mean = mean.log_sum / mean.count
        return math.exp(log_mean + deviation / len(known.services))

    def _record_service(
        self, known: _Upstream, class_name: str, service_s: float, now_s: float
    ) -> None:
        log_service = math.log(service_s)
        mean = self._means.setdefault(class_name, _ClassMean())
        service = known.services.get(class_name)
        if service is None:
            service = _Service(service_s, now_s, log_service, service_s)
            known.services[class_name] = service
            mean.log_sum += log_service
            mean.count += 1
            return
        change = BASE_SMOOTHING * (log_service - service.log_base)
        service.last_s, service.at_s = service_s, now_s
        service.log_base += change
        service.base_s = math.exp(service.log_base)
        mean.log_sum += change

    def _drop_class(self, known: _Upstream, class_name: str) -> None:
        service = known.services.pop(class_name, None)
        if service is None:
            return
        mean = self._means[class_name]
        mean.log_sum -= service.log_base
        mean.count -= 1
        if not mean.count:
            del self._means[class_name]


def _news_weight(at_s: float, now_s: float) -> float:
    """Return the weight of what was heard last beside what is usual."""
    age_s = now_s - at_s
    return math.exp(-age_s / NEWS_FADE_S) if 0 < age_s < NEWS_MAX_AGE_S else age_s <= 0


def choose_near(
    costs: dict[str, float], in_flight: Callable[[str], int], rng: random.Random
) -> str:
    """Return one of the upstreams whose cost is near the lowest, at random by weight.

    Callers with the same news would otherwise all choose the same upstream.

    Args:
        costs: Cost of each upstream.
        in_flight: Returns the own requests in progress at an upstream.
        rng: Source of the random choice.
    """
    if rng.random() < EXPLORE_RATIO:
        return rng.choice(list(costs))
    best = min(costs.values())
    limit = NEAR_RATIO * best
    names, weights = [], []
    for name, cost in costs.items():
        if cost <= limit:
            names.append(name)
            weights.append((best / cost) ** WEIGHT_EXPONENT)
    if len(names) == 1:
        return names[0]
    pair = rng.choices(names, weights, k=2)
    return min(pair, key=lambda name: (in_flight(name) + 1) * costs[name])
