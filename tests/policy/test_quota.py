"""Tests of quotas over all nodes: who keeps the tokens, and that none is made."""

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosaloom_policy import (
    CLAIM_MEMORY_S,
    SLOTS,
    Balance,
    ClaimAnswer,
    HeardClaims,
    HolderBucket,
    Quota,
    QuotaBounds,
    QuotaLimits,
    RecentMaximum,
    Rival,
    SlotRole,
    TokenBucket,
    choose_limits,
    choose_majority,
    choose_members,
    find_slot,
)

BOUNDS = QuotaBounds()
LEND_S = 0.5


def allowed(quota, bounds=BOUNDS):
    """Return how many requests may run in a window."""
    within = quota.rate_per_s * bounds.window_s + quota.burst
    return within * (1 + bounds.overage_ratio) + bounds.slack


def largest_window(times_s, window_s=BOUNDS.window_s):
    """Return the largest number of times in any window."""
    times_s, first, largest = sorted(times_s), 0, 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - window_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


@given(
    st.floats(0, 1e5),
    st.floats(0, 1e5),
    st.floats(0.5, 60),
    st.floats(0, 1),
    st.floats(0, 1000),
)
def test_limits_leave_room_for_what_lies_in_balances_at_the_start_of_a_window(
    rate_per_s, burst, window_s, overage_ratio, slack
):
    """Guards against buckets and balances that together exceed the bounds."""
    quota, bounds = (
        Quota(rate_per_s, burst),
        QuotaBounds(window_s, overage_ratio, slack),
    )
    limits = choose_limits(quota, bounds)
    used = limits.capacity + rate_per_s * (window_s + limits.max_age_s)
    assert used <= allowed(quota, bounds) * (1 + 1e-9)
    assert limits.capacity >= 0
    assert limits.max_age_s >= 0


def test_two_majorities_have_a_member_in_common():
    """Guards against two holders of one slot."""
    for count in range(1, 8):
        majority = choose_majority(count)
        assert majority <= count < 2 * majority
        # Both claimants know all members but one.
        assert count < 4 or count + 1 < 2 * majority


def test_departure_of_a_node_changes_few_members():
    """Guards against an order that is new with each node that comes or goes."""
    names = [f"n-{i}" for i in range(28)]
    for slot in range(SLOTS):
        members = choose_members("d", slot, names)
        assert len(members) == 7
        for gone in names:
            left = choose_members("d", slot, [n for n in names if n != gone])
            assert len(set(members) - set(left)) == (gone in members)
    assert len({choose_members("d", slot, names)[0] for slot in range(SLOTS)}) > 3
    assert len({find_slot(f"o-{i}") for i in range(100)}) == SLOTS


def test_node_goes_by_the_number_of_nodes_that_others_know():
    """Guards against a node that takes itself for the only one after a start."""
    known = RecentMaximum()
    known.add(1, 0.0)
    known.add(28, 0.1)
    known.add(1, 5.0)
    assert known.find(9.0) == 28
    known.add(2, 25.0)
    assert known.find(26.0) == 2
    role = SlotRole("a")
    role.set_members(("a", "b"), 28)
    role.record_answer("a", ClaimAnswer(), 0.0, 0.0)
    role.record_answer("b", ClaimAnswer(), 0.0, 0.0)
    assert role.find_end_s() == 0.0


class ClaimModel:
    """Claimants and members of one slot that exchange messages on a virtual clock."""

    def __init__(self, members):
        self.now_s = 0.0
        self.members = members
        self.roles = {}
        self.claims = {}
        self.in_flight = []
        self.informed_s = {}
        for name in members:
            self.restart(name)
        self.now_s = CLAIM_MEMORY_S

    def restart(self, name):
        """Replace the process of a member."""
        self.claims[name] = HeardClaims()
        role = self.roles[name] = SlotRole(name)
        role.set_members(self.members, len(self.members))
        self.informed_s[name] = self.now_s + CLAIM_MEMORY_S

    def is_holder(self, name):
        """Return whether a node takes itself for the holder."""
        return self.now_s < self.roles[name].find_end_s()

    def ask(self, claimant, member):
        """Send a claim."""
        role = self.roles[claimant]
        if role.may_ask(self.now_s):
            role.record_trial(self.now_s)
            claim = Rival(claimant, self.is_holder(claimant))
            self.in_flight.append((claim, claimant, member, self.now_s, role))

    def give_up(self, claimant):
        """Drop the answers and tell the members."""
        role = self.roles[claimant]
        role.drop(self.now_s)
        for member in self.members:
            self.in_flight.append((None, claimant, member, self.now_s, role))

    def deliver(self, index, is_kept=False):
        """Deliver a message; a kept one is delivered again later."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        content, claimant, member, sent_s, role = self.in_flight[index]
        if not is_kept:
            del self.in_flight[index]
        claims = self.claims[member]
        if content is None:
            claims.forget(claimant, 0, sent_s)
        elif isinstance(content, Rival):
            rivals = claims.hear(content, 0, sent_s, self.now_s)
            is_informed = self.now_s >= self.informed_s[member]
            answer = ClaimAnswer(tuple(rivals), is_informed)
            self.in_flight.append((answer, claimant, member, sent_s, role))
        elif role is self.roles[claimant] and role.record_answer(
            member, content, sent_s, self.now_s
        ):
            self.give_up(claimant)

    def exchange(self, claimant, member):
        """Send a claim, and deliver it and its answer."""
        self.ask(claimant, member)
        self.deliver(-1)
        self.deliver(-1)

    def check(self):
        """Assert that there is at most one holder."""
        assert sum(map(self.is_holder, self.members)) <= 1


def play_schedule(count, seed):
    """Play random messages, faults and restarts; return how often one had the role."""
    rng = random.Random(seed)
    members = tuple(f"m{i}" for i in range(count))
    model = ClaimModel(members)
    held = 0
    for _ in range(300):
        claimant, member = rng.choice(members), rng.choice(members)
        match rng.choice("aaaaddddddklrgt"):
            case "a":
                model.ask(claimant, member)
            case "d":
                model.deliver(rng.randrange(1000), is_kept=rng.random() < 0.1)
            case "l" if model.in_flight:
                del model.in_flight[rng.randrange(len(model.in_flight))]
            case "r" if rng.random() < 0.2:
                model.restart(member)
            case "g" if rng.random() < 0.2:
                model.give_up(claimant)
            case "t":
                model.now_s += rng.choice(
                    [0.01, 0.3, CLAIM_MEMORY_S / 2, CLAIM_MEMORY_S]
                )
        model.check()
        held += any(map(model.is_holder, members))
    return held


@settings(max_examples=300, deadline=None)
@given(st.integers(1, 7), st.integers(0, 2**32))
def test_no_schedule_of_messages_makes_two_holders(count, seed):
    """Guards against two holders after lost, late or repeated claims, or restarts."""
    play_schedule(count, seed)


def test_schedules_of_messages_make_holders():
    """Guards against schedules that find no two holders as none finds any."""
    assert sum(play_schedule(3, seed) > 0 for seed in range(50)) >= 10


def test_answer_that_names_a_claimant_does_not_count_anew_for_a_holder():
    """Guards against a member whose answers count for two claimants at a time."""
    model = ClaimModel(("a", "b", "c"))
    model.exchange("a", "a")
    model.exchange("a", "b")
    assert model.is_holder("a")
    model.now_s += 0.8
    model.exchange("a", "a")
    model.exchange("b", "c")
    model.now_s += 0.1
    model.exchange("a", "c")
    model.now_s += 0.35
    model.exchange("b", "b")
    assert model.is_holder("b")
    model.check()


def test_answer_that_arrives_after_the_previous_one_has_ended_does_not_prolong_it():
    """Guards against a late claim at a member that now answers another claimant."""
    model = ClaimModel(("a", "b", "c"))
    model.exchange("a", "a")
    model.exchange("a", "c")
    model.now_s += CLAIM_MEMORY_S - 0.1
    model.exchange("a", "a")
    model.ask("a", "c")
    model.now_s += 0.15
    model.exchange("b", "b")
    model.exchange("b", "c")
    assert model.is_holder("b")
    while model.in_flight:
        model.deliver(0)
        model.check()


def test_claims_at_a_restarted_member_do_not_count_for_two():
    """Guards against a claimant that waits while a holder is not heard of."""
    model = ClaimModel(("a", "b", "c"))
    model.exchange("a", "a")
    model.exchange("a", "c")
    assert model.is_holder("a")
    model.restart("c")
    for _ in range(3):
        model.now_s += 0.38
        model.exchange("a", "a")
        model.exchange("b", "b")
        model.exchange("b", "c")
        model.check()
    model.exchange("a", "c")
    for _ in range(20):
        model.now_s += 0.05
        model.check()


def test_withdrawal_that_arrives_late_does_not_forget_a_newer_claim():
    """Guards against a member that names no rival as two messages changed order."""
    claims = HeardClaims()
    a, b = Rival("a", False), Rival("b", False)
    assert claims.hear(a, 0, 1.0, 1.0) == []
    assert claims.hear(a, 0, 3.0, 3.0) == []
    claims.forget("a", 0, 2.0)
    assert claims.hear(b, 0, 3.1, 3.1) == [a]
    # Nor does an old question that is repeated make the claim older.
    claims.hear(a, 0, 1.0, 3.2)
    claims.forget("a", 0, 2.0)
    assert claims.hear(b, 0, 3.3, 3.3) == [a]
    claims.forget("b", 0, 3.2)
    assert claims.hear(a, 0, 3.35, 3.35) == [b]
    claims.forget("a", 0, 3.5)
    assert claims.hear(b, 0, 3.6, 3.6) == []


def test_new_process_of_a_member_is_not_informed_until_its_last_claim_has_ended():
    """Guards against a second holder as a member has forgotten the first one."""
    model = ClaimModel(("a", "b"))
    for member in ("a", "b"):
        model.exchange("a", member)
    assert model.is_holder("a")
    end_s = model.roles["a"].find_end_s()
    model.restart("b")
    became_s = None
    model.exchange("b", "b")
    assert not model.is_holder("b")
    role = SlotRole("b")
    role.set_members(("b",), 1)
    while became_s is None:
        model.now_s += 0.05
        rivals = model.claims["b"].hear(Rival("b", False), 0, model.now_s, model.now_s)
        is_informed = model.now_s >= model.informed_s["b"]
        answer = ClaimAnswer(tuple(rivals), is_informed)
        role.record_answer("b", answer, model.now_s, model.now_s)
        if model.now_s < role.find_end_s():
            became_s = model.now_s
    assert became_s >= end_s


def test_claimant_that_hears_no_answer_steps_back():
    """Guards against a node that keeps the role from others and never gets it."""
    role, now_s, asked = SlotRole("a"), 0.0, 0
    role.set_members(("a", "b", "c"), 3)
    while role.may_ask(now_s) and asked < 100:
        role.record_trial(now_s)
        role.record_answer("a", ClaimAnswer(), now_s, now_s)
        asked += 1
        now_s += 0.4
    assert asked < 10
    # Long enough for one that yields to it to get the role.
    assert not role.may_ask(now_s + 2 * 2 * CLAIM_MEMORY_S)
    assert role.may_ask(now_s + 20 * CLAIM_MEMORY_S)


def test_later_of_two_claimants_yields():
    """Guards against two claimants that keep each other from the role."""
    earlier, later = SlotRole("a"), SlotRole("b")
    for role in (earlier, later):
        role.set_members(("a", "b", "c"), 3)
    named_b = ClaimAnswer((Rival("b", False),))
    named_a = ClaimAnswer((Rival("a", False),))
    assert not earlier.record_answer("c", named_b, 1.0, 1.0)
    assert earlier.may_ask(1.0)
    assert later.record_answer("c", named_a, 1.0, 1.0)
    assert not later.may_ask(1.0 + CLAIM_MEMORY_S)
    assert later.may_ask(1.0 + 3 * CLAIM_MEMORY_S)


def test_holder_yields_to_no_claimant_that_is_no_holder():
    """Guards against a role that moves whenever an earlier member returns."""
    holder, other = SlotRole("b"), SlotRole("a")
    for role in (holder, other):
        role.set_members(("a", "b", "c"), 3)
    for member in ("b", "c"):
        holder.record_answer(member, ClaimAnswer(), 1.0, 1.0)
    named = ClaimAnswer((Rival("a", False),))
    for member in ("b", "c"):
        assert not holder.record_answer(member, named, 1.5, 1.5)
    assert holder.find_end_s() == 1.5 + CLAIM_MEMORY_S
    assert other.record_answer("c", ClaimAnswer((Rival("b", True),)), 1.5, 1.5)


def test_all_short_schedules_make_at_most_one_holder():
    """Guards against the same, in every order of some steps of a small model."""
    members = ("a", "b", "c")
    steps = {
        "ask a": lambda m: [m.ask("a", member) for member in members],
        "ask b": lambda m: [m.ask("b", member) for member in members],
        "deliver first": lambda m: m.deliver(0),
        "deliver last": lambda m: m.deliver(-1),
        "repeat first": lambda m: m.deliver(0, is_kept=True),
        "give up": lambda m: m.give_up("a"),
        "restart b": lambda m: m.restart("b"),
        "wait": lambda m: setattr(m, "now_s", m.now_s + CLAIM_MEMORY_S / 2),
    }
    for schedule in itertools.product(steps.values(), repeat=5):
        model = ClaimModel(members)
        # The first claimant has the answers of two; the third has not been asked.
        model.exchange("a", "a")
        model.exchange("a", "b")
        assert model.is_holder("a")
        for step in schedule:
            step(model)
            model.check()
        while model.in_flight:
            model.deliver(0)
            model.check()


class TokenModel:
    """Holders of failure domains and origins that exchange tokens."""

    def __init__(self, quota, domains, origins, rng):
        self.limits = choose_limits(quota, BOUNDS)
        self.rng = rng
        self.now_s = 0.0
        self.in_flight = []
        self.used_s = []
        self.domains = range(domains)
        self.since_s = [0.0] * domains
        self.end_s = [CLAIM_MEMORY_S] * domains
        self.buckets = [HolderBucket(self.limits, 0.0) for _ in self.domains]
        self.balances = [Balance(self.limits, 0.0) for _ in range(origins)]
        self.taken = []

    def bucket(self, domain):
        """Return the bucket of the present holder of a failure domain."""
        share = 1 / len(self.domains)
        since_s, end_s = self.since_s[domain], self.end_s[domain]
        bucket = self.buckets[domain]
        bucket.set_own_share(share, since_s, end_s, self.now_s)
        return bucket

    def renew(self, domain):
        """Prolong the role, or give it to the next holder if it has ended."""
        if self.now_s >= self.end_s[domain]:
            self.since_s[domain] = self.now_s
            if self.rng.random() < 0.5:
                self.buckets[domain] = HolderBucket(self.limits, self.now_s)
        self.end_s[domain] = self.now_s + CLAIM_MEMORY_S

    def ask(self, origin):
        """Ask a holder for tokens; the answer is on its way or lost."""
        bucket = self.bucket(self.rng.choice(self.domains))
        asked_s = self.now_s - self.rng.choice([0, 0, 0.01, 0.2])
        bucket.demand.add(1, self.now_s)
        tokens = bucket.take(self.rng.choice([1, 5, 100, 1000]), self.now_s)
        if self.rng.random() < 0.9:
            self.in_flight.append((self.balances[origin].add, (tokens, asked_s)))

    def transfer(self):
        """Let a holder ask that of another failure domain."""
        to, by = self.rng.choice(self.domains), self.rng.choice(self.domains)
        if to == by:
            return
        borrower, lender = self.bucket(to), self.bucket(by)
        asked_s = self.now_s - self.rng.choice([0, 0, 0.01, 0.2])
        lender.return_loans(f"{to}", self.now_s)
        wanted = self.rng.choice([0.1, 5, 1000])
        share = self.rng.random()
        move = lender.lend(f"{to}", share, wanted, LEND_S, self.now_s)
        if self.rng.random() < 0.9:
            move = move._replace(has_returned=True)
            self.in_flight.append((borrower.receive, (f"{by}", move, asked_s)))

    def deliver(self):
        """Deliver an answer."""
        if self.in_flight:
            index = self.rng.randrange(len(self.in_flight))
            receive, arguments = self.in_flight.pop(index)
            receive(*arguments, self.now_s)

    def use(self, origin, count):
        """Use up to a number of tokens for requests."""
        balance = self.balances[origin]
        for _ in range(count):
            if not balance.try_take(self.now_s):
                return
            self.taken.append((balance, balance.taken_expires_s))
            self.used_s.append(self.now_s)

    def refuse(self):
        """Put back the token of a request that did not run."""
        if self.taken:
            index = self.rng.randrange(len(self.taken))
            balance, expires_s = self.taken.pop(index)
            del self.used_s[index]
            balance.put_back(expires_s, self.now_s)

    def check(self):
        """Assert that no part of the quota accrues twice or exceeds the capacity."""
        buckets = [self.bucket(domain) for domain in self.domains]
        shares = sum(bucket.share(self.now_s) for bucket in buckets)
        assert shares <= 1 + 1e-9
        tokens = sum(bucket.tokens(self.now_s) for bucket in buckets)
        assert tokens <= self.limits.capacity * (1 + 1e-9)


@settings(max_examples=100, deadline=None)
@given(
    st.sampled_from([Quota(5), Quota(100, 30), Quota(900), Quota(20, 500)]),
    st.integers(1, 4),
    st.integers(0, 2**32),
)
def test_no_schedule_uses_more_tokens_than_a_window_allows(quota, domains, seed):
    """Guards against tokens that are copied, kept too long or lent twice."""
    rng = random.Random(seed)
    model = TokenModel(quota, domains, 4, rng)
    while model.now_s < 25.0:
        match rng.choice("rraaaaaxxdddddduuuubtt"):
            case "r":
                model.renew(rng.choice(model.domains))
            case "a":
                model.ask(rng.randrange(4))
            case "x":
                model.transfer()
            case "d":
                model.deliver()
            case "u":
                model.use(rng.randrange(4), rng.choice([1, 10, 1000]))
            case "b":
                model.refuse()
            case "t":
                model.now_s += rng.choice([0.01, 0.05, 0.2])
                if rng.random() < 0.02:
                    model.now_s += rng.choice([1.0, 6.0])
        model.check()
    assert largest_window(model.used_s) <= allowed(quota)


def test_tokens_that_wait_for_a_paused_process_are_not_used():
    """Guards against a process that uses old tokens when it runs again."""
    limits = choose_limits(Quota(100), BOUNDS)
    balance = Balance(limits, 0.0)
    balance.add(10, 0.0, 0.01)
    assert balance.try_take(0.02)
    assert not balance.try_take(5.0)
    balance.add(10, 0.0, 5.0)
    assert not balance.try_take(5.0)
    bucket = HolderBucket(limits, 0.0)
    bucket.set_own_share(1.0, 0.0, CLAIM_MEMORY_S, 1.0)
    assert bucket.tokens(1.0) > 0
    assert bucket.tokens(5.0) == 0
    bucket.set_own_share(1.0, 5.0, 5.0 + CLAIM_MEMORY_S, 5.0)
    assert bucket.take(100, 5.0) == 0


def test_tokens_given_away_count_until_they_have_expired():
    """Guards against a lender that is full again while the tokens are still in use."""
    limits = choose_limits(Quota(900), BOUNDS)
    lender, borrower = HolderBucket(limits, 0.0), HolderBucket(limits, 0.0)
    for bucket in (lender, borrower):
        bucket.set_own_share(0.5, 0.0, 20.0, 10.0)
    move = lender.lend("b", 0.0, 1e9, LEND_S, 10.0)
    assert move.tokens > 0
    borrower.receive("a", move, 10.0, 10.1)
    for now_s in (10.1, 10.3, 10.49):
        assert lender.tokens(now_s) + borrower.tokens(now_s) <= limits.capacity + 1e-9
    assert borrower.tokens(10.5) == pytest.approx(limits.capacity / 2)


def test_loan_that_arrives_after_it_was_given_back_has_no_effect():
    """Guards against a share that two holders use, as its answer was late."""
    limits = choose_limits(Quota(90), BOUNDS)
    one, other = HolderBucket(limits, 0.0), HolderBucket(limits, 0.0)
    for bucket in (one, other):
        bucket.set_own_share(0.5, 0.0, 20.0, 10.0)
    late = one.lend("other", 0.4, 0.0, LEND_S, 10.1)
    # Now the lender asks, and gets back what the other one has not yet received.
    other.return_loans("one", 10.2)
    back = other.lend("one", 0.0, 0.0, LEND_S, 10.2)
    one.receive("other", back._replace(has_returned=True), 10.15, 10.25)
    assert one.share(10.25) == 0.5
    other.receive("one", late, 10.0, 10.3)
    assert other.share(10.3) == 0.5
    # A loan that was given after the question is not given back by its answer.
    one.lend("other", 0.4, 0.0, LEND_S, 10.4)
    one.receive("other", back._replace(has_returned=True), 10.35, 10.45)
    assert one.share(10.45) == pytest.approx(0.1)


def test_lower_limits_cut_a_bucket_at_once():
    """Guards against tokens of a higher quota that outlast it."""
    bucket = HolderBucket(QuotaLimits(100, 100, 1.0), 0.0)
    bucket.set_own_share(1.0, 0.0, 10.0, 5.0)
    assert bucket.tokens(5.0) == 100
    bucket.set_limits(QuotaLimits(10, 7, 1.0), 5.0)
    assert bucket.tokens(5.0) == 7


def test_token_that_was_put_back_keeps_its_age():
    """Guards against tokens that live on with each request that is refused."""
    balance = Balance(QuotaLimits(10, 10, 1.0), 0.0)
    balance.add(1, 0.0, 0.0)
    for now_s in (0.2, 0.4, 0.6, 0.8):
        assert balance.try_take(now_s)
        balance.put_back(balance.taken_expires_s, now_s)
    assert not balance.try_take(1.0)


def test_holder_keeps_what_its_own_domain_needs():
    """Guards against a failure domain that loses its share to another one."""
    bucket = HolderBucket(choose_limits(Quota(90), BOUNDS), 0.0)
    now_s = 0.0
    for step in range(200):
        now_s = 0.05 * step
        bucket.set_own_share(1 / 3, 0.0, now_s + CLAIM_MEMORY_S, now_s)
        bucket.demand.add(1, now_s)
        bucket.take(1, now_s)
    move = bucket.lend("other", 1.0, 1000.0, LEND_S, now_s)
    assert bucket.share(now_s) * 90 >= 20
    assert move.share > 0.03
    assert bucket.tokens(now_s) >= 1


def test_batch_follows_the_demand_and_is_one_for_a_rare_organisation():
    """Guards against a question for each request, and against tokens that expire."""
    balance = Balance(choose_limits(Quota(900), BOUNDS), 0.0)
    assert balance.choose_batch(1, 0.0) == 1
    assert not balance.should_prefetch(0.0)
    for step in range(300):
        balance.count_request(0.01 * step)
    assert 5 <= balance.choose_batch(1, 3.0) <= 12
    assert balance.should_prefetch(3.0)


def test_equal_shares_would_refuse_what_is_within_the_quota():
    """Guards against a claim in the design note on the alternative of equal shares."""
    rng = random.Random(4)
    nodes, quota = 84, Quota(5)
    share_per_s = quota.rate_per_s / nodes
    buckets = [TokenBucket(share_per_s, 1.0, 0.0, 0.0) for _ in range(nodes)]
    now_s, ran, sent, at_one = 0.0, 0, 0, 0
    only = TokenBucket(share_per_s, 1.0, 0.0, 0.0)
    while now_s < 600:
        now_s += rng.expovariate(quota.rate_per_s / 1.6)
        sent += 1
        ran += rng.choice(buckets).try_take(now_s)
        at_one += only.try_take(now_s)
    # Not nearly all, but far from the tokens that are moved.
    assert 0.4 < ran / sent < 0.75
    assert at_one / sent < 0.03
    # A token lies at each node after an idle time, and all may be used at once.
    at_once = sum(bucket.try_take(now_s + 1000) for bucket in buckets)
    assert at_once == nodes > allowed(quota)
