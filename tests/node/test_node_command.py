"""Tests of `python -m mimosaloom_node`: settings, members and stop."""

import asyncio
import json
import signal
import sys
import time

import pytest
from mesh.fakes import FakeTarget, run_with_timeout
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mimosaloom_mesh import Endpoint, Request, Transport
from mimosaloom_standins import LogOptions, LogStore, build_log_application

pytestmark = pytest.mark.sockets


async def start_node(path):
    """Start a node process; return it and its first log line."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mimosaloom_node",
        str(path),
        stderr=asyncio.subprocess.PIPE,
    )
    return process, json.loads(await process.stderr.readline())


def write_settings(directory, name, service, target_url, log_url):
    """Write the settings file of a node and return its path."""
    settings = {
        "node": {"name": f"node-{name}", "region": "r", "failure_domain": "z1"},
        "target": {"service": service, "upstream": name, "url": target_url},
        "log_service": {"url": log_url, "poll_interval_s": 0.2},
        "resources_file": "resources.json",
    }
    path = directory / f"{name}.json"
    path.write_text(json.dumps(settings))
    return path


def write_resources(directory):
    """Write the resource file to which the settings refer."""
    resources = [
        {"kind": "Service", "name": "a", "spec": {"calls": ["b"]}},
        {"kind": "Service", "name": "b", "spec": {}},
        {
            "kind": "RequestClass",
            "name": "lookup",
            "spec": {
                "entry_service": "a",
                "priority": 4,
                "is_idempotent": True,
                "retry_allowance": "default",
                "path": ["a", "b"],
            },
        },
        {"kind": "RetryAllowance", "name": "default", "spec": {}},
    ]
    path = directory / "resources.json"
    path.write_text(json.dumps({"resources": resources}))


async def _wait_for_upstreams(transport, listening, service, names):
    endpoint = Endpoint("admin", f"http://127.0.0.1:{listening['admin']['port']}", 4)
    while True:
        response = await transport.send(endpoint, Request(path="/status"), timeout_s=5)
        found = json.loads(response.body)["upstreams"][service]
        if [c["name"] for c in found] == names:
            return
        await asyncio.sleep(0.02)


def test_nodes_find_each_other_and_leave(tmp_path):
    """A node must reach members announced in the log, and remove one that left."""

    async def body():
        store = LogStore(LogOptions(), time.monotonic())
        sockets = bind_sockets(0, "127.0.0.1")
        log = HTTPServer(build_log_application(store))
        log.add_sockets(sockets)
        log_url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        write_resources(tmp_path)
        targets = [FakeTarget("a-0"), FakeTarget("b-0")]
        started = [
            await start_node(
                write_settings(tmp_path, t.name, t.name[0], t.url, log_url)
            )
            for t in targets
        ]
        (first, first_line), (second, _) = started
        targets[0].egress = f"http://127.0.0.1:{first_line['egress']['port']}"
        targets[0].next_service = "b"
        transport = Transport()
        await _wait_for_upstreams(transport, first_line, "a", ["a-0"])
        await _wait_for_upstreams(transport, first_line, "b", ["b-0"])
        ingress = f"http://127.0.0.1:{first_line['ingress']['port']}"
        response = await transport.send(
            Endpoint("ingress", ingress, 4),
            Request("POST", "/x", (("Mimosaloom-Class", "lookup"),), b"1"),
            timeout_s=5.0,
        )
        assert (response.status, response.body) == (200, b"a-0>b-0:1")
        second.send_signal(signal.SIGTERM)
        assert await second.wait() == 0
        await _wait_for_upstreams(transport, first_line, "b", [])
        first.send_signal(signal.SIGTERM)
        assert await first.wait() == 0
        transport.close()
        log.stop()

    run_with_timeout(body)


def test_invalid_settings_are_reported(tmp_path):
    """An invalid settings file must be reported before any listener is opened."""

    async def body():
        path = tmp_path / "settings.json"
        path.write_text("{}")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mimosaloom_node",
            str(path),
            stderr=asyncio.subprocess.PIPE,
        )
        _, stderr = await process.communicate()
        assert process.returncode == 3
        assert b"target" in stderr

    run_with_timeout(body)
