"""Tests of ranks by fair share at the origin and on the way to the targets."""

from types import SimpleNamespace

from mimosaloom_policy import Quota, rank_request
from mimosaloom_relay import RelayMetrics
from mimosaloom_relay.calls import Call, Progress
from mimosaloom_relay.hop_messages import (
    NO_RANK,
    HopContext,
    decode_header,
    encode_header,
)
from mimosaloom_relay.organisations import (
    Organisation,
    OrganisationDirectory,
    digest_key,
)
from mimosaloom_relay.root_rank import RootRank, effective_rank
from mimosaloom_relay.target_side import _build_arrival

ASH = Organisation("ash", quota=Quota(10.0))
BIRCH = Organisation("birch", quota=Quota(100.0))
FREE = Organisation("free")
CLOSED = Organisation("closed", quota=Quota(0.0))
PRIORITY = 2


class FakeClock:
    """A clock that tests move."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic_s(self):
        """Return the time that the test has set."""
        return self.now_s


def make_call(request_id, start_s, organisation=None, parent=None):
    """Return a call with the fields that ranks depend on."""
    request_class = SimpleNamespace(priority=PRIORITY)
    route = SimpleNamespace(request_class=request_class)
    return Call(
        None, request_id, "", route, "s", parent, start_s, 9.0, 9.0, organisation
    )


def make_context(rank, root_id="root"):
    """Return the context of a hop."""
    return HopContext(
        request_id="a",
        service="s",
        route="r",
        priority=PRIORITY,
        is_idempotent=True,
        remaining_ms=1000,
        caller_service="",
        root_id=root_id,
        rank=rank,
    )


def make_directory(*organisations):
    """Return a directory of organisations with a key each."""
    return OrganisationDirectory(
        {digest_key(found.name): found for found in organisations}
    )


def record_equal_rates(root_rank, clock, organisations, per_s=50, run_s=6):
    """Record requests of organisations that ask equally often."""
    for number in range(run_s * per_s):
        clock.now_s = number / per_s
        for found in organisations:
            call = make_call(f"{found.name}{number}", clock.now_s, found)
            root_rank.record_and_rank(call)


def mean_rank(root_rank, clock, organisation):
    """Return the mean rank of further requests of an organisation."""
    clock.now_s += 0.2
    ranks = [
        root_rank.record_and_rank(make_call(f"x{n}", clock.now_s, organisation))
        for n in range(100)
    ]
    return sum(ranks) / len(ranks)


def test_request_without_organisation_is_ranked_as_before():
    """Guards against other decisions in a deployment without organisations."""
    clock, metrics = FakeClock(), RelayMetrics()
    root_rank = RootRank(clock, metrics)
    root_rank.apply_organisations(None)
    assert root_rank.record_and_rank(make_call("a", 0.0)) == NO_RANK
    for rank in (NO_RANK, 1.0, 7.5):
        assert effective_rank(rank, "a", 5) == rank_request("a", 5)
    value = metrics.registry.get_sample_value("mimosaloom_fair_share_ratio")
    assert value == 1.0


def test_quotas_are_the_weights():
    """Guards against weights that are lost between configuration and ranks."""
    clock, metrics = FakeClock(), RelayMetrics()
    root_rank = RootRank(clock, metrics)
    root_rank.apply_organisations(make_directory(ASH, BIRCH, FREE, CLOSED))
    record_equal_rates(root_rank, clock, [ASH, BIRCH, FREE])
    value = metrics.registry.get_sample_value("mimosaloom_fair_share_ratio")
    assert value > 2
    ash, birch, free = (
        mean_rank(root_rank, clock, found) for found in (ASH, BIRCH, FREE)
    )
    assert ash > free > birch
    root_rank.apply_organisations(None)
    clock.now_s += 0.2
    value = metrics.registry.get_sample_value("mimosaloom_fair_share_ratio")
    assert value < 2


def test_call_has_the_rank_of_its_parent():
    """Guards against requests that one service admits and the next one refuses."""
    root_rank = RootRank(FakeClock(), RelayMetrics())
    for rank in (NO_RANK, 0.27):
        call = make_call("b", 0.0, parent=make_context(rank))
        assert root_rank.record_and_rank(call) == rank


def test_rank_reaches_the_admission_of_the_target():
    """Guards against a target that refuses by another rank than the origin."""
    for rank, expected in (
        (0.27, 0.27),
        (NO_RANK, rank_request("root", PRIORITY)),
        (1.0, rank_request("root", PRIORITY)),
    ):
        header = encode_header(make_context(rank))
        received = decode_header(header, HopContext)
        assert _build_arrival("key", received, 1.0).rank == expected


def test_header_without_a_rank_does_not_grow():
    """Guards against bytes on each hop of a deployment without organisations."""
    header = encode_header(make_context(NO_RANK))
    assert "rank" not in header
    parent = decode_header(header, HopContext)
    root_rank = RootRank(FakeClock(), RelayMetrics())
    rank = root_rank.record_and_rank(make_call("b", 0.0, parent=parent))
    assert "rank" not in encode_header(make_context(rank))
    assert "rank" not in encode_header(make_context(Progress().rank))
