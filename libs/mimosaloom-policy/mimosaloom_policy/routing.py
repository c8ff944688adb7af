"""Choice of an upstream for a call.

By the expected finish at each upstream where their nodes tell it, else the cheaper one
of two random candidates.
"""

import math
import random
from dataclasses import dataclass
from typing import NamedTuple

from mimosaloom_model import ERROR_ANSWERS, ErrorKind, Ran, hash_to_unit_interval

from .placement import FinishTable, choose_near
from .subset import CONNECTIONS_PER_UPSTREAM, choose_subset, plan_subset
from .work_cost import FinishEstimate

__all__ = ["Candidate", "Router"]

INITIAL_LATENCY_S = 0.01
LATENCY_SMOOTHING = 0.2
ERROR_SMOOTHING = 0.2
ERROR_DECAY_S = 0.5
# An error ratio of 1 multiplies the cost of an upstream by 1 plus this factor. A
# refusal is answered at once, so without this an upstream that refuses calls would
# look the fastest.
ERROR_COST = 10.0
OTHER_DOMAIN_COST = 1.1
RAMP_S = 1.0
MAX_RAMP_DELAY_S = 0.3
RAMP_START_RATIO = 0.4
# The load that an upstream reports is only a hint; see `Router.record_load`.
HINT_MAX_AGE_S = 3.0
HINT_COST = 0.2
# An upstream of the caller's failure domain is preferred only below this error ratio.
# One error among the last few calls stays below it; two in direct succession do not.
MAX_LOCAL_ERROR_RATIO = 0.3
# An upstream of the caller's failure domain is preferred only if its mean latency is at
# most this share of the call's objective. The times of single calls spread widely, and
# above it many calls would miss the objective that a faster upstream meets.
MAX_LOCAL_LATENCY_RATIO = 0.6
# A latency that was measured longer ago does not count against an upstream, which may
# have become faster since.
LATENCY_MAX_AGE_S = 3.0
# Answers without an estimate after which the measured latency of an upstream counts.
MAX_UNESTIMATED_ANSWERS = 5


class Candidate(NamedTuple):
    """An upstream that a caller may send calls to.

    Attributes:
        name: Name of the upstream.
        host: IP address of its node's ingress.
        port: Port of its node's ingress.
        failure_domain: Failure domain of the upstream.
        slots: Declared concurrency of the target.
        max_connections: Maximum number of connections that the target accepts.
        incarnation: Incarnation of its node.
        is_draining: Whether the upstream is draining; it then gets no new calls.
    """

    name: str
    host: str
    port: int
    failure_domain: str
    slots: int
    max_connections: int
    incarnation: str
    is_draining: bool = False


@dataclass
class _UpstreamStats:
    """What the caller has measured of an upstream, and the load that it reports.

    Attributes:
        in_flight: Calls of this caller that are in progress.
        latency_s: Smoothed latency; None before the first answer.
        latency_at_s: Time of the last update of the latency.
        error_ratio: Smoothed share of errors at `error_ratio_at_s`; it decays.
        error_ratio_at_s: Time of the last update of the error ratio.
        ramp_start_s: Time from which the share of calls grows.
        load_ratio: Last reported load, 1 for all slots in use.
        load_at_s: Time of that report.
        paused_until_s: Time until which the upstream asks for no calls.
        unestimated_answers: Answers without an estimate since the last one with it.
    """

    in_flight: int = 0
    latency_s: float | None = None
    latency_at_s: float = -math.inf
    error_ratio: float = 0.0
    error_ratio_at_s: float = 0.0
    ramp_start_s: float = -math.inf
    load_ratio: float = 0.0
    load_at_s: float = -math.inf
    paused_until_s: float = -math.inf
    unestimated_answers: int = 0


class Router:
    """Chooses among the upstreams of one service for one caller.

    Args:
        service: Service that is called.
        own_name: Name of the caller's node, which determines its subset.
        own_domain: Failure domain of the caller.
        rng: Chooses the two candidates that are compared.
        local_load_limit: Reported load below which upstreams of the caller's failure
            domain are preferred to all others; 0 disables the preference. Traffic
            between failure domains costs more than it gains while there is spare
            capacity in the caller's own.
    """

    def __init__(
        self,
        service: str,
        own_name: str,
        own_domain: str,
        rng: random.Random,
        *,
        local_load_limit: float = 0.0,
    ):
        self.service = service
        self._own_name = own_name
        self._own_domain = own_domain
        self._rng = rng
        self._candidates: dict[str, Candidate] = {}
        self._names: list[str] = []
        self._stats: dict[str, _UpstreamStats] = {}
        self._connections = CONNECTIONS_PER_UPSTREAM
        self._local_load_limit = local_load_limit
        self._finishes = FinishTable()

    @property
    def connections_per_upstream(self) -> int:
        """Number of connections that this caller may hold to each upstream it uses."""
        return self._connections

    @property
    def subset(self) -> list[str]:
        """Names of the upstreams that this caller uses."""
        return list(self._names)

    @property
    def has_upstreams(self) -> bool:
        """Whether there is an upstream that this caller uses."""
        return bool(self._names)

    def set_candidates(
        self, candidates: list[Candidate], now_s: float, *, callers: int = 0
    ) -> None:
        """Replace the list of upstreams; statistics of those that remain are kept.

        Upstreams that join after the first list get a share of the calls that grows
        over `RAMP_S`. The start of the ramp differs between callers.

        Args:
            candidates: All upstreams of the service.
            now_s: Current time on the monotonic clock.
            callers: Number of nodes that call the service; 0 if not known. It bounds
                the size of the subset, so that no upstream exceeds `max_connections`.
        """
        usable = [c for c in candidates if not c.is_draining]
        is_first = not self._candidates
        self._names = self._choose_subset_names(usable, callers)
        self._candidates = {candidate.name: candidate for candidate in candidates}
        stats = {}
        for name in self._candidates:
            known = self._stats.get(name)
            if known is None:
                known = _UpstreamStats()
                if not is_first:
                    known.ramp_start_s = now_s + self._ramp_delay_s(name)
            stats[name] = known
        self._stats = stats
        self._finishes.keep_only(set(stats))

    def pick(
        self,
        now_s: float,
        exclude: frozenset[str] = frozenset(),
        objective_s: float = math.inf,
        *,
        class_name: str = "",
    ) -> Candidate | None:
        """Return the upstream for a call; None if there is none to try.

        Args:
            now_s: Current time on the monotonic clock.
            exclude: Names of upstreams that were tried for this call or would refuse
                it.
            objective_s: Latency objective of the call in seconds. An upstream of the
                caller's failure domain that is slow for it is not preferred.
            class_name: Class of the call. If estimates of it were heard, the expected
                finish decides.
        """
        names = self._names
        if exclude:
            names = [name for name in names if name not in exclude]
        names = [n for n in names if self._stats[n].paused_until_s <= now_s] or names
        if len(names) > 1 and self._finishes.knows_class(class_name):
            name = self._choose_by_finish(names, class_name, now_s, objective_s)
            return self._candidates[name]
        if self._local_load_limit:
            max_latency_s = MAX_LOCAL_LATENCY_RATIO * objective_s
            preferred = [
                name for name in names if self._is_preferred(name, now_s, max_latency_s)
            ]
            names = preferred or names
        if not names:
            return None
        if len(names) == 1:
            return self._candidates[names[0]]
        first = self._rng.randrange(len(names))
        second = self._rng.randrange(len(names) - 1)
        second += second >= first
        pair = (names[first], names[second])
        return self._candidates[min(pair, key=lambda name: self.cost(name, now_s))]

    def start(self, name: str, now_s: float) -> None:
        """Record that a call was sent to an upstream."""
        if name in self._stats:
            self._stats[name].in_flight += 1
            self._finishes.record_sent(name)

    def finish(
        self, name: str, now_s: float, *, elapsed_s: float, kind: ErrorKind | None
    ) -> None:
        """Record the end of a call to an upstream.

        Args:
            name: Name of the upstream.
            now_s: Current time on the monotonic clock.
            elapsed_s: Duration of the call.
            kind: Error kind; None if the target answered. Failures of services below
                the upstream are no errors of the upstream.
        """
        stats = self._stats.get(name)
        if stats is None:
            return
        stats.in_flight = max(0, stats.in_flight - 1)
        is_error = kind is not None and kind is not ErrorKind.FAILED_DOWNSTREAM
        error_ratio = self._decayed_error_ratio(stats, now_s)
        stats.error_ratio = error_ratio + ERROR_SMOOTHING * (is_error - error_ratio)
        stats.error_ratio_at_s = now_s
        if kind is None or ERROR_ANSWERS[kind].ran is not Ran.NO:
            smoothed_s = elapsed_s if stats.latency_s is None else stats.latency_s
            stats.latency_s = smoothed_s + LATENCY_SMOOTHING * (elapsed_s - smoothed_s)
            stats.latency_at_s = now_s

    def record_load(self, name: str, load_ratio: float, now_s: float) -> None:
        """Record the load that an upstream reports, as a hint: it may lag or be wrong.

        A high load raises the cost of the upstream slightly for `HINT_MAX_AGE_S`. A
        low load does not lower it, so that an upstream that reports to be idle while
        it is saturated attracts no calls.

        Args:
            name: Name of the upstream.
            load_ratio: Reported load, 1 for all slots in use.
            now_s: Current time on the monotonic clock.
        """
        stats = self._stats.get(name)
        if stats is not None:
            stats.load_ratio = min(1.0, max(0.0, load_ratio))
            stats.load_at_s = now_s

    def record_estimate(
        self,
        name: str,
        incarnation: str,
        class_name: str,
        estimate: FinishEstimate,
        now_s: float,
    ) -> None:
        """Record the estimate that came with an answer, after the load that came too.

        Args:
            name: Name of the upstream.
            incarnation: Incarnation of its node.
            class_name: Class of the call that was answered.
            estimate: What one more call of the class would take there.
            now_s: Current time on the monotonic clock.
        """
        stats = self._stats.get(name)
        if stats is not None:
            is_estimated = estimate.service_s > 0
            stats.unestimated_answers = (
                0 if is_estimated else stats.unestimated_answers + 1
            )
            self._finishes.record(
                name,
                incarnation,
                class_name,
                estimate,
                now_s,
                slots=self._candidates[name].slots,
                load_ratio=stats.load_ratio,
            )

    def expected_s(self, name: str, class_name: str, now_s: float) -> float | None:
        """Return the expected time to the end of a call; None if not known."""
        in_flight = self._stats[name].in_flight
        return self._finishes.expected_s(name, class_name, in_flight, now_s)

    def pause(self, name: str, until_s: float) -> None:
        """Prefer other upstreams for a time, as an upstream has asked for.

        Args:
            name: Name of the upstream.
            until_s: End of that time, on the monotonic clock.
        """
        stats = self._stats.get(name)
        if stats is not None:
            stats.paused_until_s = until_s

    def cost(self, name: str, now_s: float) -> float:
        """Return the cost of sending a call to an upstream: expected latency in s.

        Errors, another failure domain, reported load and the ramp of a new upstream
        increase it.
        """
        stats = self._stats[name]
        latency_s = (stats.in_flight + 1) * self._expected_latency_s(stats)
        return self._add_penalties(latency_s, name, now_s)

    def _add_penalties(self, cost: float, name: str, now_s: float) -> float:
        """Return a cost, increased by all that makes a call there less desirable."""
        stats = self._stats[name]
        cost *= 1 + ERROR_COST * self._decayed_error_ratio(stats, now_s)
        if self._candidates[name].failure_domain != self._own_domain:
            cost *= OTHER_DOMAIN_COST
        if now_s - stats.load_at_s < HINT_MAX_AGE_S:
            cost *= 1 + HINT_COST * stats.load_ratio
        return cost / self._ramp_factor(stats, now_s)

    def _choose_by_finish(
        self, names: list[str], class_name: str, now_s: float, objective_s: float
    ) -> str:
        """Return the name of an upstream whose expected finish is near the best."""
        if self._local_load_limit:
            candidates, own_domain = self._candidates, self._own_domain
            local = [n for n in names if candidates[n].failure_domain == own_domain]
            expected_s = self._expect_finishes(local, class_name, now_s)
            max_s = MAX_LOCAL_LATENCY_RATIO * objective_s
            preferred = {
                name: value
                for name, value in expected_s.items()
                if value <= max_s
                and self._finishes.load_ratio(name) < self._local_load_limit
                and self._is_calm_and_local(name, now_s)
            }
            if preferred:
                return self._choose_near(preferred, now_s)
        expected_s = self._expect_finishes(names, class_name, now_s)
        return self._choose_near(expected_s, now_s)

    def _choose_near(self, expected_s: dict[str, float], now_s: float) -> str:
        costs = {}
        for name, value in expected_s.items():
            cost = value * self._finishes.crowded_factor(name)
            costs[name] = self._add_penalties(cost, name, now_s)
        return choose_near(costs, lambda n: self._stats[n].in_flight, self._rng)

    def _expect_finishes(
        self, names: list[str], class_name: str, now_s: float
    ) -> dict[str, float]:
        """Return the expected finish at each upstream.

        One that nothing is known of is tried as if it were the best; the ramp and the
        random choice keep the calls of all callers from it. If its node answers without
        estimates, its measured latency counts.
        """
        expected_s = {n: self.expected_s(n, class_name, now_s) for n in names}
        known = [value for value in expected_s.values() if value is not None]
        best_s = min(known, default=INITIAL_LATENCY_S)
        for name, value in expected_s.items():
            if value is None:
                stats = self._stats[name]
                is_silent = stats.unestimated_answers >= MAX_UNESTIMATED_ANSWERS
                latency_s = stats.latency_s if is_silent else None
                expected_s[name] = best_s if latency_s is None else latency_s
        return expected_s

    def _is_preferred(self, name: str, now_s: float, max_latency_s: float) -> bool:
        """Return whether an upstream is local and not busy, slow or failing."""
        return self._is_calm_and_local(name, now_s) and not self._is_slow(
            self._stats[name], now_s, max_latency_s
        )

    def _is_calm_and_local(self, name: str, now_s: float) -> bool:
        """Return whether an upstream is local and neither busy nor failing."""
        if self._candidates[name].failure_domain != self._own_domain:
            return False
        stats = self._stats[name]
        is_fresh = now_s - stats.load_at_s < HINT_MAX_AGE_S
        load_ratio = stats.load_ratio if is_fresh else 0.0
        return (
            load_ratio < self._local_load_limit
            and self._decayed_error_ratio(stats, now_s) < MAX_LOCAL_ERROR_RATIO
        )

    def _is_slow(
        self, stats: _UpstreamStats, now_s: float, max_latency_s: float
    ) -> bool:
        is_fresh = now_s - stats.latency_at_s < LATENCY_MAX_AGE_S
        return is_fresh and stats.latency_s > max_latency_s

    def _choose_subset_names(self, usable: list[Candidate], callers: int) -> list[str]:
        if not usable:
            return []
        max_connections = min(candidate.max_connections for candidate in usable)
        plan = plan_subset(len(usable), callers, max_connections)
        self._connections = plan.connections
        return choose_subset(self._own_name, [c.name for c in usable], plan.size)

    def _ramp_delay_s(self, name: str) -> float:
        return MAX_RAMP_DELAY_S * hash_to_unit_interval(f"{self._own_name}|{name}|ramp")

    def _expected_latency_s(self, stats: _UpstreamStats) -> float:
        if stats.latency_s is not None:
            return stats.latency_s
        known = [s.latency_s for s in self._stats.values() if s.latency_s is not None]
        # An upstream without answers gets the mean latency of the others. A lower
        # estimate would attract the calls of all callers at once.
        return sum(known) / len(known) if known else INITIAL_LATENCY_S

    def _decayed_error_ratio(self, stats: _UpstreamStats, now_s: float) -> float:
        if stats.error_ratio < 0.001:
            return 0.0
        age_s = now_s - stats.error_ratio_at_s
        return stats.error_ratio * math.exp(-age_s / ERROR_DECAY_S)

    def _ramp_factor(self, stats: _UpstreamStats, now_s: float) -> float:
        progress = (now_s - stats.ramp_start_s) / RAMP_S
        return min(1.0, max(RAMP_START_RATIO, progress))
