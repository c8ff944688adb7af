"""Guards the guarantees for each request while connections fail at random."""

import asyncio
import json
import random

import pytest
from mesh.fakes import FEE, LOOKUP, Chain, run_with_timeout
from mesh.relay import Fault, Relay

pytestmark = pytest.mark.sockets

REQUESTS = 96
MAX_CONCURRENT = 8
FAULT_RATIO = 0.3
FAULTS = [fault for fault in Fault if fault is not Fault.NONE]


class _RandomFaults:
    """An endless list of faults for a relay."""

    def __init__(self, seed):
        self._rng = random.Random(seed)

    def __bool__(self):
        return True

    def pop(self, _):
        if self._rng.random() >= FAULT_RATIO:
            return Fault.NONE
        return self._rng.choice(FAULTS)


def _count_runs(chain, service, body):
    names = [name for name in chain.targets if name.startswith(service)]
    return sum(chain.targets[name].runs[body] for name in names)


def _find_violations(chain, class_name, body, response):
    """Return the guarantees that were violated for one request."""
    runs = {service: _count_runs(chain, service, body) for service in chain.services}
    if class_name == FEE and max(runs.values()) > 1:
        yield f"at most once: {body} ran {runs}"
    if response.status == 200:
        if response.body.rpartition(b":")[2] != body:
            yield f"complete answer: {body} got {response.body}"
        if min(runs.values()) < 1:
            yield f"complete answer: {body} ran {runs}"
    elif json.loads(response.body)["ran"] == "no" and any(runs.values()):
        yield f"reported as not run: {body} ran {runs}"


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_while_connections_fail(seed):
    """Faults must not cause a second run, a partial answer or a false "not run"."""

    async def body():
        async with Chain(["a", "b"], upstreams_each=2) as chain:
            relays = []
            relayed = []
            for number, candidate in enumerate(chain.membership.candidates("b")):
                relay = Relay(candidate.port)
                relayed.append(candidate._replace(port=await relay.start()))
                relay.faults = _RandomFaults(10 * seed + number)
                relays.append(relay)
            chain.membership.set_candidates("b", relayed)
            free_slots = asyncio.Semaphore(MAX_CONCURRENT)

            async def ask(number):
                class_name = (LOOKUP, FEE)[number % 2]
                sent = str(number).encode()
                async with free_slots:
                    response = await chain.send_request("a-0", class_name, sent)
                return list(_find_violations(chain, class_name, sent, response))

            found = await asyncio.gather(*[ask(n) for n in range(REQUESTS)])
            for relay in relays:
                await relay.stop()
            assert [violation for each in found for violation in each] == []
            recovered = chain.nodes["a-0"].metrics.registry.get_sample_value(
                "mimosaloom_resolutions_total", {"state": "done"}
            )
            assert recovered, "no answer was recovered, so no fault took effect"

    run_with_timeout(body)
