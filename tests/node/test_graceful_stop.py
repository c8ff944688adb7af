"""Tests of the graceful stop of a node process."""

import asyncio
import json
import os
import random
import signal
import sys
from datetime import timedelta
from pathlib import Path

import pytest
from mesh.fakes import (
    ANY_PORT,
    FEE,
    LOOKUP,
    FakeTarget,
    build_chain_catalog,
    run_with_timeout,
)

from mimosaloom_mesh import (
    Endpoint,
    FixedDirectory,
    Request,
    Response,
    Transport,
    WholeRequestServer,
    build_caller,
)
from mimosaloom_model import Answered, SystemClock
from mimosaloom_policy import Candidate

pytestmark = pytest.mark.sockets

TESTS = str(Path(__file__).parent.parent)
CALLERS = 16


class _NodeProcess:
    """A node as a child process, with its `listening` log line."""

    def __init__(self, process, listening):
        self.process = process
        self.listening = listening

    def url(self, listener):
        address = self.listening[listener]
        return f"http://{address['host']}:{address['port']}"

    def candidate(self, name):
        address = self.listening["ingress"]
        incarnation = self.listening["incarnation"]
        host, port = address["host"], address["port"]
        return Candidate(name, host, port, "z1", 16, 200, incarnation)


async def _start_node(upstream, target):
    options = {"service": "a", "upstream": upstream, "target_url": target.url}
    path = os.pathsep.join([TESTS, os.environ.get("PYTHONPATH", "")])
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "node.node_process",
        json.dumps(options),
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": path},
    )
    line = json.loads(await process.stderr.readline())
    assert line["message_type"] == "listening"
    return _NodeProcess(process, line)


@pytest.mark.parametrize("how", ["sigterm", "drain"])
def test_graceful_stop_completes_all_requests(how):
    """A stop under load must complete every call, each exactly once."""

    async def body():
        targets = [FakeTarget(f"a-{n}") for n in range(2)]
        nodes = [await _start_node(t.name, t) for t in targets]
        candidates = [
            node.candidate(t.name) for node, t in zip(nodes, targets, strict=True)
        ]
        directory = FixedDirectory(
            build_chain_catalog(["a"], upstreams_each=2), {"a": candidates}
        )
        transport = Transport()
        caller = build_caller(
            "client",
            "z1",
            directory,
            clock=SystemClock(),
            rng=random.Random(7),
            transport=transport,
        )
        outcomes = []
        is_load_over = asyncio.Event()

        async def load(number):
            while not is_load_over.is_set():
                name = FEE if number % 2 else LOOKUP
                request = Request("POST", "/x", body=f"{number}".encode())
                outcome = await caller.call(
                    "a", request, class_name=name, timeout=timedelta(seconds=5)
                )
                outcomes.append((number, outcome))
                await asyncio.sleep(0.002)

        loads = [asyncio.ensure_future(load(number)) for number in range(CALLERS)]
        await targets[0].started.wait()
        if how == "sigterm":
            nodes[0].process.send_signal(signal.SIGTERM)
        else:
            drain = Endpoint("admin", nodes[0].url("admin"), 4)
            answer = await transport.send(
                drain, Request("POST", "/drain"), timeout_s=5.0
            )
            assert answer.status == 202
        assert await nodes[0].process.wait() == 0
        is_load_over.set()
        await asyncio.gather(*loads)
        wrong = [
            (number, outcome)
            for number, outcome in outcomes
            if not isinstance(outcome, Answered)
            or outcome.body.rpartition(b":")[2] != f"{number}".encode()
        ]
        assert wrong == []
        assert sum(targets[1].runs.values()) > 0
        total = sum(sum(t.runs.values()) for t in targets)
        assert total == len(outcomes)
        nodes[1].process.send_signal(signal.SIGTERM)
        assert await nodes[1].process.wait() == 0
        transport.close()

    run_with_timeout(body)


def test_answer_in_progress_at_the_stop_is_written_completely():
    """A stop must wait for an answer that exceeds the socket buffers."""

    async def body():
        size = 8_000_000
        is_asked = asyncio.Event()

        async def answer(request):
            is_asked.set()
            return Response(200, (), b"x" * size)

        server = WholeRequestServer(
            answer,
            clock=SystemClock(),
            max_body_bytes=10,
            count_refusal=lambda kind: None,
        )
        address = server.listen(ANY_PORT)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await is_asked.wait()
        stopping = asyncio.ensure_future(server.stop())
        head = await reader.readuntil(b"\r\n\r\n")
        assert f"Content-Length: {size}".encode() in head
        assert len(await reader.readexactly(size)) == size
        await stopping
        writer.close()

    run_with_timeout(body)
