"""Compares the account over many requests with what their callers have seen."""

import asyncio
from collections import Counter

import msgspec
import pytest
from platform_adapter.cluster import wait_until
from platform_adapter.log_lines import collect_lines

from mimosaloom_cli.account import Account, AccountKey, TimeRange, sum_lines
from mimosaloom_cli.account_tables import build_document
from mimosaloom_model import EndKind

pytestmark = pytest.mark.sockets
ROUTES = [
    {"pathPrefix": "/b/", "service": "back", "routeType": "non_idempotent"},
    {"pathPrefix": "/slow/", "service": "back", "timeoutMs": 400, "sloMs": 1},
    {"pathPrefix": "/q/", "service": "back"},
    {"pathPrefix": "/held/", "service": "back", "timeoutMs": 1500},
    {"pathPrefix": "/f/", "service": "front"},
]
NOT_RUN = "no"


class Callers:
    """What callers have seen.

    Attributes:
        seen: Number of requests by end and, without an answer of a target, kind.
    """

    def __init__(self):
        self.seen: Counter[tuple[str, str]] = Counter()

    async def send(self, member, path, request_id, **options):
        """Send a request and note how it has ended."""
        response = await member.send_request(path, request_id, **options)
        self.seen[self._classify(response)] += 1
        return response

    @staticmethod
    def _classify(response):
        if response.header("Mimosaloom-Response-Signature") is not None:
            is_failure = response.status >= 500
            return ("own_failure", str(response.status)) if is_failure else ("", "")
        body = msgspec.json.decode(response.body)
        return ("refused" if body["ran"] == NOT_RUN else "failed"), body["kind"]


def read_account(lines, *keys) -> Account:
    """Return the account of log lines."""
    return sum_lines([line.encode() for line in lines], keys, TimeRange())


def count_ends(account: Account) -> Counter[tuple[str, str]]:
    """Return the requests by end and kind, answers in time and late as one."""
    found = Counter()
    for (kind, _), sums in account.requests.items():
        for end, count in sums.ends.items():
            is_served = end in (EndKind.IN_TIME, EndKind.LATE)
            found["" if is_served else end, kind] += count
    return found


def test_account_adds_up_to_what_callers_saw():
    """Guards against requests or hops that are counted twice, wrongly or not at all."""
    callers = Callers()
    targets = []

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        targets.extend([front.target, back.target])
        await cluster.configure(1, ROUTES)
        await cluster.announce_all()
        send = callers.send
        back.target.modes = ["ok"] * 20 + ["error", "lose", "reject", "ok"]
        for number in range(23):
            await send(front, "/b/x", f"id-{number}", method="POST")
        for number in range(3):
            await send(back, "/none/x", f"none-{number}")
        # A call that the target of the front node makes while it holds a request.
        front.target.modes = ["hold"]
        parent = asyncio.ensure_future(send(front, "/f/x", "parent"))
        await wait_until(lambda: "parent" in front.target.runs)
        await send(front, "/b/x", "parent.1")
        # A caller that leaves while its request runs.
        back.target.modes = ["hold"]
        leaving = asyncio.ensure_future(front.send_request("/q/x", "left"))
        await wait_until(lambda: "left" in back.target.runs)
        leaving.cancel()
        await wait_until(lambda: "left" in back.target.disconnected)
        front.target.released.set()
        await parent
        await send(back, "/slow/x", "slow-1")
        # Held at the target until their deadline, or refused in the queue before it.
        back.target.modes = ["hold"] * 30
        pending = [send(front, "/slow/x", f"held-{n}") for n in range(30)]
        await asyncio.gather(*pending)
        members = (front, back)
        await wait_until(lambda: not any(m.node.count_open_requests() for m in members))

    lines = collect_lines(scenario)
    account = read_account(lines, AccountKey.KIND)
    callers.seen["cancelled", ""] += 1
    assert count_ends(account) == callers.seen
    seen_ends = Counter()
    for (end, _), count in callers.seen.items():
        seen_ends[end] += count
    assert min(seen_ends[end] for end in ("", "refused", "failed", "own_failure")) > 0
    # Each request that was not answered is listed with the place of the decision.
    without_answer = Counter()
    for (end, kind, _), count in account.unanswered.items():
        without_answer[end, kind] += count
    expected = {
        key: count
        for key, count in callers.seen.items()
        if key[0] in ("refused", "failed", "own_failure")
    }
    assert without_answer == expected
    by_class = read_account(lines, AccountKey.CLASS)
    assert by_class.requests["r-b", "target"].ends == {EndKind.IN_TIME: 1}
    assert by_class.requests["", "client"].ends == {EndKind.REFUSED: 3}
    ends = Counter()
    for sums in account.hops.values():
        ends.update(sums.ends)
    assert ends[EndKind.REJECTED] == 1
    assert ends[EndKind.OWN_FAILURE] == 1
    has_run = (EndKind.ANSWERED, EndKind.OWN_FAILURE, EndKind.FAILED, EndKind.CANCELLED)
    runs = sum(len(target.runs) for target in targets)
    assert sum(ends[end] for end in has_run) == runs
    assert account.lines.missing == account.lines.unreadable == 0


def test_slot_time_and_waits_of_a_full_target():
    """Guards against waits that are counted as work, or work that is not counted."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, ROUTES)
        await cluster.announce_all()
        back.target.modes = ["hold"] * 30
        pending = [
            front.send_request("/held/x", f"held-{number}") for number in range(30)
        ]
        await asyncio.gather(*pending)

    document = build_document(read_account(collect_lines(scenario), AccountKey.SERVICE))
    (hops,) = document["hops"]
    (target,) = document["targets"]
    (requests,) = document["requests"]
    assert {row["service"] for row in (hops, target, requests)} == {"back"}
    assert requests["offered"] == requests["refused"] + requests["failed"] == 30
    assert hops["refused"] >= requests["refused"] > 0
    assert hops["max_wait_ms"] > 0
    # Each of the held requests has kept a slot up to its deadline, for nothing.
    assert hops["busy_for_nothing_s"] == hops["busy_s"] == target["busy_s"]
    assert hops["busy_s"] > 0
    assert requests["hops_for_nothing"] >= requests["failed"]
