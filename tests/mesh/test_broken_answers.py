"""Guards against answers that are truncated, swapped or lost between two nodes."""

import asyncio

import pytest
from mesh.fakes import FEE, LOOKUP, Chain, build_node, run_with_timeout
from mesh.relay import Fault, Relay

from mimosaloom_mesh import Response
from mimosaloom_mesh.transport import FailedSend
from mimosaloom_model import ANSWER_HEADER

pytestmark = pytest.mark.sockets


class _RelayedChain(Chain):
    """A chain whose calls to the first upstream of service b pass a relay."""

    async def __aenter__(self):
        await super().__aenter__()
        candidates = self.membership.candidates("b")
        self.relay = Relay(candidates[0].port)
        port = await self.relay.start()
        first = candidates[0]._replace(port=port)
        self.membership.set_candidates("b", [first])
        self.others = candidates[1:]
        return self

    async def __aexit__(self, *exception):
        await self.relay.stop()
        await super().__aexit__(*exception)


@pytest.mark.parametrize("class_name", [LOOKUP, FEE])
@pytest.mark.parametrize(
    "fault", [Fault.CUT_ANSWER, Fault.CLOSE_BEFORE_ANSWER, Fault.DROP_ANSWER]
)
def test_lost_answer_is_recovered_and_a_fee_runs_once(class_name, fault):
    """A truncated or lost answer must be recovered without a second run of a fee."""

    async def body():
        async with _RelayedChain(["a", "b"]) as chain:
            warm = await chain.send_request("a-0", class_name, b"warm")
            assert warm.status == 200
            chain.relay.faults.append(fault)
            response = await chain.send_request("a-0", class_name, b"1")
            assert response.status == 200, response.body
            assert response.body == b"a-0>b-0:1"
            if class_name == FEE:
                assert chain.targets["b-0"].runs[b"1"] == 1
                assert chain.targets["a-0"].runs[b"1"] == 1

    run_with_timeout(body)


@pytest.mark.parametrize("class_name", [LOOKUP, FEE])
def test_silent_connection_loses_no_call(class_name):
    """A connection that drops a request must not block the call until its deadline."""

    async def body():
        async with _RelayedChain(["a", "b"], upstreams_each=2) as chain:
            warm = await chain.send_request("a-0", class_name, b"warm")
            assert warm.status == 200
            chain.relay.faults.append(Fault.DROP_REQUEST)
            pending = asyncio.ensure_future(chain.send_request("a-0", class_name, b"1"))
            while chain.relay.faults:
                await asyncio.sleep(0.01)
            relayed = chain.membership.candidates("b")
            chain.membership.set_candidates("b", relayed + chain.others)
            response = await pending
            assert response.status == 200, response.body
            runs = [chain.targets[f"b-{n}"].runs[b"1"] for n in range(2)]
            assert sum(runs) == 1

    run_with_timeout(body)


def test_connection_closed_after_the_request_was_sent_is_not_a_refusal():
    """A call whose connection closed must be reported as possibly run.

    libcurl resends the request by itself and reports only that the second copy could
    not be sent, although the first copy reached the node.
    """

    async def body():
        async with _RelayedChain(["a", "b"], retries=0) as chain:
            assert (await chain.send_request("a-0", FEE, b"warm")).status == 200
            chain.targets["b-0"].release.clear()
            pending = asyncio.ensure_future(chain.send_request("a-0", FEE, b"1"))
            while not chain.targets["b-0"].runs[b"1"]:
                await asyncio.sleep(0.01)
            await chain.relay.stop()
            response = await pending
            assert not isinstance(response, FailedSend), response
            assert response.status == 502
            assert b'"kind":"outcome_unknown"' in response.body
            assert b'"ran":"maybe"' in response.body

    run_with_timeout(body)


def test_swapped_answers_reach_no_caller():
    """An answer that the target gave to another call must not reach the caller."""

    async def body():
        async with Chain(["a"], retries=0) as chain:
            target = chain.targets["a-0"]
            first = await chain.send_request("a-0", LOOKUP, b"1")
            metadata = dict(first.headers)[ANSWER_HEADER]
            target.reply = Response(200, ((ANSWER_HEADER, metadata),), first.body)
            second = await chain.send_request("a-0", LOOKUP, b"2")
            assert second.status == 502
            assert b'"kind":"answer_mismatch"' in second.body

    run_with_timeout(body)


def test_call_to_an_earlier_incarnation_does_not_run_in_the_next():
    """A call with a stamp of a replaced node must not run on its replacement.

    A new node at the same address has an empty run table, so it can't detect a copy of
    a call that its predecessor ran.
    """

    async def body():
        async with Chain(["a", "b"]) as chain:
            assert (await chain.send_request("a-0", FEE, b"warm")).status == 200
            old, target = chain.nodes["b-0"], chain.targets["b-0"]
            await old.close()
            chain.nodes["b-0"] = build_node(
                "b",
                "b-0",
                target.url,
                chain.catalog,
                chain.membership,
                old.addresses["ingress"],
            )
            await chain.nodes["b-0"].start()
            fee = await chain.send_request("a-0", FEE, b"1")
            assert b'"kind":"outcome_unknown"' in fee.body
            lookup = await chain.send_request("a-0", LOOKUP, b"2")
            assert lookup.status == 200
            assert target.runs[b"1"] == 0

    run_with_timeout(body)
