"""Starts a mesh as separate processes on loopback."""

import json
import urllib.request
from pathlib import Path
from typing import NamedTuple

from .meshes import MeshPlan, UpstreamPlan
from .processes import ChildProcess, ProcessGroup

__all__ = [
    "Deployment",
    "get_json",
    "post_json",
    "start_deployment",
    "start_standin",
    "wait_for_url",
]

CONTROL_TIMEOUT_S = 10.0
LOG_POLL_INTERVAL_S = 0.2
NODE_DRAIN_TIMEOUT_S = 2.0


class Deployment(NamedTuple):
    """A running mesh.

    Attributes:
        plan: What runs.
        log_url: Base URL of the log service.
        target_urls: Base URL of each target by upstream.
        ingress_urls: Base URL of each node's ingress by upstream.
        admin_urls: Base URL of each node's admin listener by upstream.
    """

    plan: MeshPlan
    log_url: str
    target_urls: dict[str, str]
    ingress_urls: dict[str, str]
    admin_urls: dict[str, str]

    def entries(self, service: str) -> list[str]:
        """Return the ingress URLs of a service's nodes."""
        names = [u.name for u in self.plan.upstreams() if u.service.name == service]
        return [self.ingress_urls[name] for name in names]

    def deep_targets(self) -> list[str]:
        """Return the URLs of the targets of the deep service."""
        deep = self.plan.deep_service
        names = [u.name for u in self.plan.upstreams() if u.service.name == deep]
        return [self.target_urls[name] for name in names]


def start_deployment(
    plan: MeshPlan, group: ProcessGroup, directory: Path, *, seed: int
) -> Deployment:
    """Start the log service, and a target and a node for each upstream.

    Args:
        plan: What to start.
        group: Owner of the processes.
        directory: Where settings are written.
        seed: Seed of the targets' service times.

    Raises:
        StartFailed: If a process does not come up.
    """
    log = start_standin(group, "log", "log", {})
    upstreams = plan.upstreams()
    targets = {
        upstream.name: start_standin(
            group,
            f"target-{upstream.name}",
            "target",
            _target_options(plan, upstream, seed + number),
        )
        for number, upstream in enumerate(upstreams)
    }
    log_url = wait_for_url(log)
    target_urls = {name: wait_for_url(child) for name, child in targets.items()}
    resources_file = directory / "resources.json"
    resources_file.write_text(json.dumps({"resources": plan.documents()}))
    nodes = {}
    for upstream in upstreams:
        settings = _node_settings(plan, upstream, log_url, target_urls[upstream.name])
        path = directory / f"node-{upstream.name}.json"
        path.write_text(json.dumps(settings))
        name = f"node-{upstream.name}"
        nodes[upstream.name] = group.start(name, "mimosaloom_node", str(path))
    ports = {name: _wait_for_ports(child) for name, child in nodes.items()}
    for name, url in target_urls.items():
        egress_url = f"http://127.0.0.1:{ports[name]['egress']}"
        post_json(f"{url}/.target/control", {"egress_url": egress_url})
    return Deployment(
        plan,
        log_url,
        target_urls,
        {name: f"http://127.0.0.1:{found['ingress']}" for name, found in ports.items()},
        {name: f"http://127.0.0.1:{found['admin']}" for name, found in ports.items()},
    )


def start_standin(
    group: ProcessGroup, name: str, kind: str, options: dict
) -> ChildProcess:
    """Start a stand-in of the kind "log" or "target"."""
    return group.start(name, "mimosaloom_standins", kind, json.dumps(options))


def wait_for_url(child: ChildProcess) -> str:
    """Return the base URL that a stand-in prints when it listens."""
    found = child.wait_for_line(lambda line: "port" in line and "pid" in line)
    return f"http://{found['host']}:{found['port']}"


def post_json(url: str, body: object) -> dict:
    """Send a JSON object and return the one that is answered; blocks."""
    data = json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout=CONTROL_TIMEOUT_S) as response:
        return json.load(response)


def get_json(url: str) -> dict:
    """Return the JSON object at a URL; blocks."""
    with urllib.request.urlopen(url, timeout=CONTROL_TIMEOUT_S) as response:
        return json.load(response)


def _wait_for_ports(child: ChildProcess) -> dict[str, int]:
    line = child.wait_for_line(lambda found: found.get("message_type") == "listening")
    return {name: line[name]["port"] for name in ("ingress", "egress", "admin")}


def _target_options(plan: MeshPlan, upstream: UpstreamPlan, seed: int) -> dict:
    return {
        "service": upstream.service.name,
        "upstream": upstream.name,
        "slots": upstream.service.slots,
        "service_time_s": upstream.service.service_time_s,
        "paths": {c.name: list(c.path) for c in plan.classes},
        "seed": seed,
    }


def _node_settings(
    plan: MeshPlan, upstream: UpstreamPlan, log_url: str, target_url: str
) -> dict:
    return {
        "node": {
            "name": f"node-{upstream.name}",
            "region": plan.region,
            "failure_domain": upstream.failure_domain,
        },
        "target": {
            "service": upstream.service.name,
            "upstream": upstream.name,
            "url": target_url,
        },
        "log_service": {"url": log_url, "poll_interval_s": LOG_POLL_INTERVAL_S},
        "resources_file": "resources.json",
        "limits": {"drain_timeout_s": NODE_DRAIN_TIMEOUT_S},
    }
