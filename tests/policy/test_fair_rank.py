"""Tests of ranks by fair share: bounds, order, estimates and cost."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mimosaloom_policy import PRIORITY_COUNT, FairRank, fair_rank, rank_request

NAMES = st.sampled_from(["", "ash", "birch", "cedar", "not-configured"])
REQUESTS = st.lists(
    st.tuples(
        NAMES,
        st.integers(0, PRIORITY_COUNT - 1),
        st.floats(0.0, 0.5),
        st.integers(1, 30),
    ),
    max_size=40,
)
WEIGHTS = st.dictionaries(
    st.sampled_from(["ash", "birch", "cedar"]), st.floats(1e-3, 1e6)
)


def record_all(requests, weights):
    """Return a fair rank that has counted requests, and the time of the last one."""
    fair, now_s = FairRank(0.0), 0.0
    fair.set_weights(weights)
    for name, priority, step_s, count in requests:
        now_s += step_s
        for _ in range(count):
            fair.record_request(name, priority, now_s)
    return fair, now_s


def record_steady(fair, rates_per_s, start_s, end_s, priority=2):
    """Count the requests of organisations that ask at even intervals."""
    times = sorted(
        (start_s + (number + 0.5) / rate, name)
        for name, rate in rates_per_s.items()
        for number in range(int(rate * (end_s - start_s)))
    )
    for now_s, name in times:
        fair.record_request(name, priority, now_s)


def mean_rank(fair, name, now_s, priority=2, count=300):
    """Return the mean position of requests of an organisation within the band."""
    ranks = [fair.rank(name, f"m{n}", priority, now_s) for n in range(count)]
    return sum(ranks) / count * PRIORITY_COUNT - priority


@given(REQUESTS, WEIGHTS, NAMES, st.text(max_size=5), st.integers(0, 7))
def test_rank_stays_in_the_band_of_its_priority(
    requests, weights, name, request_id, priority
):
    """Guards against a greedy organisation that goes behind less urgent requests."""
    fair, now_s = record_all(requests, weights)
    rank = fair.rank(name, request_id, priority, now_s + 0.2)
    assert priority / PRIORITY_COUNT <= rank < (priority + 1) / PRIORITY_COUNT
    assert fair.rank(name, request_id, priority, now_s + 0.2) == rank


@given(REQUESTS, WEIGHTS, NAMES, st.integers(0, 7))
def test_rank_rises_with_the_hash_of_the_request(requests, weights, name, priority):
    """Guards against requests of one organisation that change places."""
    fair, now_s = record_all(requests, weights)
    ids = sorted(map(str, range(50)), key=lambda key: rank_request(key, priority))
    ranks = [fair.rank(name, key, priority, now_s + 0.2) for key in ids]
    assert ranks == sorted(ranks)


@given(REQUESTS, WEIGHTS)
def test_same_requests_give_the_same_ranks(requests, weights):
    """Guards against ranks that follow from the process or from chance."""
    first, now_s = record_all(requests, weights)
    second, _ = record_all(requests, weights)
    for name in ("", "ash", "birch"):
        assert first.rank(name, "x", 3, now_s) == second.rank(name, "x", 3, now_s)


def test_rank_without_competitors_follows_from_the_request_alone():
    """Guards against other decisions in a deployment without organisations."""
    fair = FairRank(0.0)
    for number in range(500):
        now_s, key = number / 50, f"r{number}"
        for name in ("", "ash"):
            assert fair.rank(name, key, 4, now_s) == rank_request(key, 4)
            fair.record_request(name, 4, now_s)
    assert fair.demand_ratio(10.0) == 1.0


def test_rank_of_a_priority_out_of_range_is_an_error():
    """Guards against a wrong priority that is taken for another one."""
    for priority in (-1, PRIORITY_COUNT):
        with pytest.raises(ValueError, match="out of range"):
            FairRank(0.0).rank("ash", "x", priority, 0.0)


def zipf_rates(count, total_per_s):
    """Return rates that fall with the rank to the power of 1.2."""
    shares = [(number + 1) ** -1.2 for number in range(count)]
    return {
        f"o{number}": total_per_s * share / sum(shares)
        for number, share in enumerate(shares)
    }


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [84, 5000])
def test_equal_demands_per_weight_give_nearly_the_ranks_without_shares(seed, count):
    """Guards against small organisations that look greedy after one request."""
    fair = FairRank(0.0)
    rates = zipf_rates(count, 25.0)
    fair.set_weights(rates)
    changes, positions = [], []
    rng = random.Random(seed)
    now_s = 0.0
    for number in range(1500):
        now_s += rng.expovariate(25.0)
        (name,) = rng.choices(list(rates), rates.values())
        key = f"r{seed}-{number}"
        position = fair.rank(name, key, 0, now_s) * PRIORITY_COUNT
        changes.append(position - rank_request(key, 0) * PRIORITY_COUNT)
        positions.append(position)
        fair.record_request(name, 0, now_s)
    mean_change = sum(map(abs, changes)) / len(changes)
    assert mean_change < 0.1
    # A level admits its share of the requests, up to a twentieth of the band: the
    # counts of few requests differ by chance although the demands are equal.
    for level in (0.2, 0.5, 0.8):
        admitted = sum(position < level for position in positions) / len(positions)
        assert admitted == pytest.approx(level, abs=0.05)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_levels_admit_the_same_share_beside_a_greedy_organisation(seed):
    """Guards against ranks that change what a level admits when one turns greedy."""
    fair, rng, now_s = FairRank(0.0), random.Random(seed), 0.0
    rates = dict.fromkeys(("ash", "birch", "cedar", "elm"), 50.0)
    positions = []
    for number in range(6000):
        if number == 1000:
            rates["elm"] = 350.0
        now_s += rng.expovariate(sum(rates.values()))
        (name,) = rng.choices(list(rates), rates.values())
        rank = fair.rank(name, f"r{seed}-{number}", 0, now_s)
        positions.append((number, rank * PRIORITY_COUNT))
        fair.record_request(name, 0, now_s)
    for level in (0.2, 0.5, 0.8):
        chosen = [position for number, position in positions if number > 1000]
        admitted = sum(position < level for position in chosen) / len(chosen)
        assert admitted == pytest.approx(level, abs=0.05)


def test_greedy_organisation_is_recognised_within_a_second():
    """Guards against polite organisations that pay for a greedy one for seconds."""
    fair = FairRank(0.0)
    names = [f"o{number}" for number in range(10)]
    record_steady(fair, dict.fromkeys(names, 10.0), 0.0, 10.0)
    for name in names:
        assert mean_rank(fair, name, 10.1) == pytest.approx(0.5, abs=0.1)
    record_steady(fair, dict.fromkeys(names, 10.0) | {"o3": 50.0}, 10.0, 11.0)
    assert fair.demand_ratio(11.2) > 1.8
    others = max(mean_rank(fair, name, 11.2) for name in names if name != "o3")
    assert mean_rank(fair, "o3", 11.2) > others + 0.2


def test_weights_decide_what_is_greedy():
    """Guards against large organisations that are refused for what they pay for."""
    rates = {"large": 90.0, "small": 9.0, "greedy": 45.0}
    fair = FairRank(0.0)
    fair.set_weights({"large": 100.0, "small": 10.0, "greedy": 10.0})
    record_steady(fair, rates, 0.0, 10.0)
    ranks = {name: mean_rank(fair, name, 10.1) for name in rates}
    assert ranks["large"] == pytest.approx(ranks["small"], abs=0.08)
    assert ranks["greedy"] > ranks["large"] + 0.25
    fair.set_weights({})
    assert mean_rank(fair, "large", 10.3) > mean_rank(fair, "small", 10.3) + 0.2


def test_organisation_without_a_weight_has_the_mean_weight():
    """Guards against organisations without a quota that are always refused first."""
    fair = FairRank(0.0)
    fair.set_weights({"ash": 40.0, "birch": 60.0})
    record_steady(fair, {"ash": 40.0, "birch": 60.0, "free": 50.0}, 0.0, 10.0)
    ranks = [mean_rank(fair, name, 10.1) for name in ("ash", "birch", "free")]
    assert max(ranks) - min(ranks) < 0.1


def test_demand_is_forgotten():
    """Guards against an organisation that is refused for what it asked long ago."""
    fair = FairRank(0.0)
    record_steady(fair, {"ash": 10.0, "birch": 100.0}, 0.0, 5.0)
    assert fair.demand_ratio(5.1) > 1.5
    record_steady(fair, {"ash": 50.0, "birch": 50.0}, 5.0, 15.0)
    assert fair.demand_ratio(15.1) < 1.25
    assert fair.demand_ratio(60.0) == 1.0
    assert fair.rank("birch", "x", 2, 60.0) == rank_request("x", 2)


def test_priorities_are_counted_apart():
    """Guards against ranks that depend on requests of other priorities."""
    fair = FairRank(0.0)
    record_steady(fair, {"ash": 10.0, "birch": 100.0}, 0.0, 5.0, priority=0)
    assert fair.rank("birch", "x", 1, 5.1) == rank_request("x", 1)


def test_memory_is_bounded_and_the_rest_counts_as_usual(monkeypatch):
    """Guards against state that grows with the number of organisations."""
    monkeypatch.setattr(fair_rank, "MAX_TRACKED", 50)
    fair = FairRank(0.0)
    rates = {f"o{number}": 1.0 for number in range(500)}
    record_steady(fair, rates | {"greedy": 100.0}, 0.0, 5.0)
    band = fair._bands[2]
    assert len(band._counts) <= 50
    assert len(band._demands) <= 50
    rest = [name for name in rates if name not in band._counts]
    assert len(rest) >= 450
    assert mean_rank(fair, rest[0], 5.2) == pytest.approx(0.5, abs=0.15)


def test_demands_are_computed_rarely(monkeypatch):
    """Guards against a scan of all organisations at each request."""
    calls = Counter()
    compute = fair_rank._compute_usual_demand

    def count_and_compute(items):
        calls["scans"] += 1
        calls["items"] = max(calls["items"], len(items))
        return compute(items)

    monkeypatch.setattr(fair_rank, "_compute_usual_demand", count_and_compute)
    fair = FairRank(0.0)
    for number in range(20_000):
        name, now_s = f"o{number % 5000}", number / 5000
        fair.rank(name, str(number), 2, now_s)
        fair.record_request(name, 2, now_s)
    assert calls["items"] == fair_rank.MAX_TRACKED
    # The run lasts 4 s; with 4,096 organisations a refresh follows after 0.8 s.
    assert calls["scans"] <= 10
