"""Tests of paused node processes, and of a drain while the log is down."""

import asyncio
import json
import signal

import pytest
from mesh.fakes import FakeTarget, run_with_timeout
from node.control_mesh import ControlMesh
from node.test_node_command import start_node, write_resources, write_settings

from mimosaloom_mesh import Endpoint, Request, Transport

pytestmark = pytest.mark.sockets


class _Nodes:
    """Node processes that share a log service."""

    def __init__(self, directory):
        self.mesh = ControlMesh()
        self.transport = Transport()
        self.processes, self.lines = [], []
        self._directory = directory
        write_resources(directory)

    async def start(self, count):
        """Start nodes of one service and wait until they know each other."""
        for number in range(count):
            target = FakeTarget(f"a-{number}")
            path = write_settings(
                self._directory, target.name, "a", target.url, self.mesh.log_url
            )
            process, line = await start_node(path)
            self.processes.append(process)
            self.lines.append(line)
        all_upstreams = {f"a-{number}" for number in range(count)}
        for number in range(count):
            await self.wait(number, lambda s: set(list_upstreams(s)) == all_upstreams)
            await self.wait(number, lambda s: len(s["control"]["heard_from"]) > 0)

    async def wait(self, number, condition):
        """Wait until the status of a node satisfies a condition."""
        while True:
            response = await self.send_request(number, Request(path="/status"))
            if condition(json.loads(response.body)):
                return
            await asyncio.sleep(0.05)

    async def send_request(self, number, request):
        """Send a request to the admin listener of a node."""
        url = f"http://127.0.0.1:{self.lines[number]['admin']['port']}"
        return await self.transport.send(
            Endpoint("admin", url, 4), request, timeout_s=10.0
        )

    async def stop(self):
        """Stop all nodes."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        codes = [await process.wait() for process in self.processes]
        assert codes == [0] * len(codes)
        self.transport.close()
        self.mesh.log.stop()


def list_upstreams(status):
    """Return whether each upstream of the service is draining, by name."""
    return {c["name"]: c["is_draining"] for c in status["upstreams"]["a"]}


def test_paused_node_is_considered_dead_until_it_resumes(tmp_path):
    """A node paused beyond the timeout must be removed, and added on resuming."""

    async def body():
        nodes = _Nodes(tmp_path)
        await nodes.start(4)
        nodes.processes[0].send_signal(signal.SIGSTOP)
        for number in (1, 2, 3):
            await nodes.wait(number, lambda s: s["control"]["dead"] == ["node-a-0"])
        nodes.processes[0].send_signal(signal.SIGCONT)
        for number in range(4):
            await nodes.wait(
                number,
                lambda s: s["control"]["dead"] == [] and len(list_upstreams(s)) == 4,
            )
        await nodes.stop()

    run_with_timeout(body)


def test_drain_reaches_callers_while_the_log_is_down(tmp_path):
    """A drain must reach callers through links alone, without calls or log."""

    async def body():
        nodes = _Nodes(tmp_path)
        await nodes.start(3)
        nodes.mesh.store.update_options({"is_down": True})
        assert (await nodes.send_request(0, Request("POST", "/drain"))).status == 202
        for number in (1, 2):
            await nodes.wait(
                number, lambda s: list_upstreams(s).get("a-0", True) is True
            )
        assert await nodes.processes[0].wait() == 0
        for number in (1, 2):
            await nodes.wait(number, lambda s: "a-0" not in list_upstreams(s))
        await nodes.stop()

    run_with_timeout(body)
