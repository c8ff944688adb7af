"""Tests of keys supplied by callers: one run over all nodes, decided by the log."""

import asyncio
import json
import time

import pytest
from mesh.fakes import FEE, Chain, run_with_timeout
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mimosaloom_model import LogServiceSettings, SystemClock
from mimosaloom_node.claims_log import LogClaims
from mimosaloom_node.log_client import LogClient
from mimosaloom_policy import format_caller_key
from mimosaloom_standins import LogOptions, LogStore, build_log_application

pytestmark = pytest.mark.sockets


class _ClaimingChain(Chain):
    """A chain of services whose nodes claim keys in a stand-in of the log service."""

    async def __aenter__(self):
        self.store = LogStore(LogOptions(), time.monotonic())
        sockets = bind_sockets(0, "127.0.0.1")
        self.log = HTTPServer(build_log_application(self.store))
        self.log.add_sockets(sockets)
        url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        self.log_settings = LogServiceSettings(url, timeout_s=0.5)
        return await super().__aenter__()

    async def __aexit__(self, *exception):
        await super().__aexit__(*exception)
        self.log.stop()
        await self.log.close_all_connections()

    def node_options(self, upstream):
        clock = SystemClock()

        def build(claimant):
            client = LogClient(self.log_settings, clock, self.rng(upstream))
            return LogClaims(upstream.service, claimant, client, clock)

        return {"build_claims": build}


def _caller_key():
    return format_caller_key(time.time(), "abcdefgh")


def test_caller_key_runs_once_over_two_nodes():
    """Two nodes that receive the same key concurrently must not both run it."""

    async def body():
        async with _ClaimingChain(["a"], upstreams_each=2) as chain:
            headers = (("Idempotency-Key", _caller_key()),)
            requests = [
                chain.send_request(f"a-{n % 2}", FEE, b"1", headers) for n in range(6)
            ]
            responses = await asyncio.gather(*requests)
            assert {r.status for r in responses} == {200}
            assert len({r.body for r in responses}) == 1
            runs = [chain.targets[f"a-{n}"].runs[b"1"] for n in range(2)]
            assert sorted(runs) == [0, 1]

    run_with_timeout(body)


def test_caller_key_is_refused_as_not_run_while_the_log_is_down():
    """A key that cannot be claimed must not run, and the answer must say so."""

    async def body():
        async with _ClaimingChain(["a"]) as chain:
            chain.store.update_options({"is_down": True})
            headers = (("Idempotency-Key", _caller_key()),)
            response = await chain.send_request("a-0", FEE, b"1", headers)
            refusal = json.loads(response.body)
            assert (refusal["kind"], refusal["ran"]) == ("no_upstream", "no")
            assert not chain.targets["a-0"].runs

    run_with_timeout(body)
