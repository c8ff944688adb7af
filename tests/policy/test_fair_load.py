"""Tests of fair shares with the admission of targets, on a virtual clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from policy.fair_load import Demand, FairLoad, Room, compute_fair_shares

from mimosaloom_policy import FairRank

SEEDS = [1, 2, 3]
# Shares of fewer requests than this vary by chance by more than the bound allows.
MIN_SHARE = 200
WARM_UP_S = 2
GREEDY = "greedy"


def run_load(demands, room, run_s, **options):
    """Return the finished simulation of a load, and the fair shares by second."""
    load = FairLoad(demands, room, **options)
    load.run(run_s)
    weights = {demand.name: demand.weight for demand in demands}
    shares = {
        second: compute_fair_shares(load.offered[second], weights, room.capacity_per_s)
        for second in range(run_s - 1)
    }
    return load, shares


def worst_polite_ratio(load, shares, from_s=WARM_UP_S):
    """Return the least that a polite organisation got of its share in a second."""
    return min(
        load.served[second][name] / share
        for second, by_name in shares.items()
        for name, share in by_name.items()
        if second >= from_s and name != GREEDY and share >= MIN_SHARE
    )


def total_ratios(load, shares, from_s=WARM_UP_S):
    """Return what the greedy one, the others and all got, as a share of what is due."""
    due = {GREEDY: 0.0, "others": 0.0}
    served = {GREEDY: 0.0, "others": 0.0}
    for second, by_name in shares.items():
        for name, share in by_name.items():
            if second >= from_s:
                key = GREEDY if name == GREEDY else "others"
                due[key] += share
                served[key] += load.served[second][name]
    ratios = {key: served[key] / due[key] for key in due if due[key]}
    return ratios | {"all": sum(served.values()) / sum(due.values())}


@given(
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.tuples(st.floats(0.0, 100.0), st.floats(0.1, 10.0)),
        min_size=1,
    ),
    st.floats(1.0, 300.0),
)
def test_fair_shares_are_weighted_max_min_fair(demands, room):
    """Guards against a wrong measure in the other tests of this module."""
    wanted = {name: most for name, (most, _) in demands.items()}
    weights = {name: weight for name, (_, weight) in demands.items()}
    shares = compute_fair_shares(wanted, weights, room)
    assert sum(shares.values()) == pytest.approx(
        min(room, sum(wanted.values())), rel=1e-6, abs=1e-6
    )
    short = [name for name in wanted if shares[name] < wanted[name] - 1e-6]
    for name in short:
        # Nobody has more for its weight than one that is short of its demand.
        for other in wanted:
            limit = shares[name] / weights[name] * weights[other]
            assert shares[other] <= limit * (1 + 1e-6) + 1e-6


def greedy_load(overload, greediness=7):
    """Return three polite organisations and a greedy one that ask for a lot."""
    polite_per_s = overload * Room().capacity_per_s / (3 + greediness)
    polite = [Demand(f"polite-{number}", polite_per_s) for number in range(3)]
    return [*polite, Demand(GREEDY, greediness * polite_per_s)]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("overload", [2, 4, 10])
def test_polite_organisations_get_their_share_beside_a_greedy_one(overload, seed):
    """Guards against organisations that lose to one that asks for more."""
    demands = greedy_load(overload)
    load, shares = run_load(demands, Room(), 8, seed=seed)
    before, shares_before = run_load(demands, Room(), 8, seed=seed, is_fair=False)
    assert worst_polite_ratio(load, shares) >= 0.75
    ratios, ratios_before = (
        total_ratios(load, shares),
        total_ratios(before, shares_before),
    )
    assert ratios["all"] >= ratios_before["all"] - 0.02
    assert ratios["others"] >= 0.9
    assert ratios[GREEDY] <= 1.15
    assert load.demand_ratio() > 1.8


def test_polite_check_finds_ranks_without_shares():
    """Verifies that the checks reject the decision by the hash alone."""
    demands = greedy_load(4)
    load, shares = run_load(demands, Room(), 8, seed=1, is_fair=False)
    assert worst_polite_ratio(load, shares) < 0.5
    assert total_ratios(load, shares)[GREEDY] > 2


@pytest.mark.parametrize("seed", SEEDS)
def test_organisation_that_turns_greedy_takes_nothing_for_long(seed):
    """Guards against seconds of refusals after the ranks have changed."""
    polite = [Demand(name, 250.0) for name in ("ash", "birch", "cedar")]
    demands = [*polite, Demand(GREEDY, 250.0, end_s=3.0)]
    demands.append(Demand(GREEDY, 1750.0, start_s=3.0))
    load, shares = run_load(demands, Room(), 9, seed=seed)
    before, shares_before = run_load(demands, Room(), 9, seed=seed, is_fair=False)
    for second in range(3, 7):
        assert sum(load.served[second].values()) >= 0.9 * Room().capacity_per_s
    assert worst_polite_ratio(load, shares, from_s=5) >= 0.75
    change = total_ratios(load, shares)["all"]
    assert change >= total_ratios(before, shares_before)["all"] - 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_callers_who_repeat_faster_pay_with_their_own_share(seed):
    """Guards against callers that gain by coming back at once and often."""
    demands = [Demand(f"polite-{n}", 400.0, repeats=1) for n in range(3)]
    demands.append(Demand(GREEDY, 400.0, repeats=8, repeat_s=0.05))
    load, shares = run_load(demands, Room(), 8, seed=seed)
    before, shares_before = run_load(demands, Room(), 8, seed=seed, is_fair=False)
    assert before.repeats[GREEDY] > 2 * before.repeats["polite-0"]
    assert worst_polite_ratio(load, shares) >= 0.75
    assert total_ratios(load, shares)[GREEDY] <= 1.15
    assert total_ratios(before, shares_before)[GREEDY] > 1.3
    change = total_ratios(load, shares)["all"]
    assert change >= total_ratios(before, shares_before)["all"] - 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_greedy_organisation_stays_before_less_urgent_requests(seed):
    """Guards against requests that are refused before less urgent ones."""
    demands = [
        Demand(GREEDY, 600.0, priority=0),
        Demand("ash", 100.0, priority=0),
        Demand("birch", 1000.0, priority=1),
        Demand("cedar", 1000.0, priority=1),
    ]
    load = FairLoad(demands, Room(), seed=seed)
    load.run(8.0)
    seconds = range(WARM_UP_S, 7)
    for name in (GREEDY, "ash"):
        offered = sum(load.offered[second][name] for second in seconds)
        served = sum(load.served[second][name] for second in seconds)
        assert served >= 0.99 * offered
    served = [sum(load.served[s][name] for s in seconds) for name in ("birch", "cedar")]
    assert min(served) >= 0.75 * max(served)
    assert sum(served) >= 0.85 * 300 * len(seconds)


def zipf_demands(count, total_per_s):
    """Return demands that fall with the rank, with weights in proportion to them."""
    shares = [(number + 1) ** -1.2 for number in range(count)]
    rates = [total_per_s * share / sum(shares) for share in shares]
    return [Demand(f"o{n}", rate, weight=rate) for n, rate in enumerate(rates)]


WIDE_ROOM = Room(origins=84, targets=4, slots=20, work_s=0.04)


@pytest.mark.parametrize("seed", SEEDS)
def test_many_origins_with_few_samples_find_the_greedy_organisation(seed):
    """Guards against origins that each see too little to tell who is greedy."""
    demands = zipf_demands(84, 2100.0)
    usual_per_s = demands[2].requests_per_s
    demands[2] = demands[2]._replace(name=GREEDY)
    demands.append(
        Demand(GREEDY, 5 * usual_per_s, weight=demands[2].weight, start_s=2.0)
    )
    load, shares = run_load(demands, WIDE_ROOM, 9, seed=seed)
    before, shares_before = run_load(demands, WIDE_ROOM, 9, seed=seed, is_fair=False)
    assert worst_polite_ratio(load, shares, from_s=4) >= 0.75
    ratios = total_ratios(load, shares, from_s=4)
    ratios_before = total_ratios(before, shares_before, from_s=4)
    assert ratios["others"] >= 0.88
    assert ratios_before["others"] <= 0.75
    assert ratios["all"] >= ratios_before["all"] - 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_many_origins_admit_as_much_when_demands_are_equal(seed):
    """Guards against estimates from few samples that cost room or small callers."""
    demands = zipf_demands(84, 4200.0)
    load, shares = run_load(demands, WIDE_ROOM, 8, seed=seed)
    before, shares_before = run_load(demands, WIDE_ROOM, 8, seed=seed, is_fair=False)
    change = total_ratios(load, shares)["all"]
    assert change >= total_ratios(before, shares_before)["all"] - 0.02
    assert worst_polite_ratio(load, shares) >= 0.75
    seconds = range(WARM_UP_S, 7)
    small = [demand.name for demand in demands[42:]]
    served = sum(load.served[s][name] for s in seconds for name in small)
    due = sum(shares[s][name] for s in seconds for name in small)
    assert served >= 0.75 * due


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_origin_ranks_as_others_do_again(seed):
    """Guards against an origin that favours a greedy organisation after a restart."""
    room = Room(origins=2)
    load, shares = run_load(greedy_load(4), room, 10, seed=seed, restart_s=5.0)
    assert worst_polite_ratio(load, shares) >= 0.75


@pytest.mark.parametrize("seed", SEEDS)
def test_five_thousand_organisations_compete(seed):
    """Guards against estimates that fail, or cost room, with many organisations."""
    demands = [Demand(f"o{n}", 0.4) for n in range(5000)]
    demands.append(Demand(GREEDY, 400.0))
    load, shares = run_load(demands, Room(), 7, seed=seed)
    before, shares_before = run_load(demands, Room(), 7, seed=seed, is_fair=False)
    ratios = total_ratios(load, shares)
    ratios_before = total_ratios(before, shares_before)
    assert ratios["all"] >= ratios_before["all"] - 0.02
    assert ratios["others"] >= 0.95
    assert ratios["others"] > ratios_before["others"]
    assert load.served[5][GREEDY] < 0.1 * before.served[5][GREEDY]


def test_single_organisation_is_served_as_before():
    """Guards against other decisions where organisations do not compete."""
    demands = [Demand("ash", 3000.0)]
    load, _ = run_load(demands, Room(), 5, seed=1)
    before, _ = run_load(demands, Room(), 5, seed=1, is_fair=False)
    assert load.served == before.served
    assert FairRank(0.0).demand_ratio(0.0) == 1.0
