"""Starts a mesh as separate processes on loopback.

The log service and the targets are the stand-ins of `mimosaloom_standins`.
"""

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
    "start_upstreams",
    "wait_for_url",
]

CONTROL_TIMEOUT_S = 10.0
LOG_POLL_INTERVAL_S = 0.2
NODE_DRAIN_TIMEOUT_S = 2.0


class Deployment(NamedTuple):
    """A running mesh.

    Attributes:
        plan: Definition of the mesh.
        log_url: Base URL of the log service.
        target_urls: Base URL of each target by upstream.
        ingress_urls: Base URL of each node's ingress by upstream.
        admin_urls: Base URL of each node's admin listener by upstream.
        targets: Process of each target by upstream.
        nodes: Process of each node by upstream.
    """

    plan: MeshPlan
    log_url: str
    target_urls: dict[str, str]
    ingress_urls: dict[str, str]
    admin_urls: dict[str, str]
    targets: dict[str, ChildProcess]
    nodes: dict[str, ChildProcess]

    def entry_urls(self, service: str) -> list[str]:
        """Return the ingress URLs of a service's nodes to which callers send orders."""
        names = [u.name for u in self.plan.upstreams() if u.service.name == service]
        urls = self.ingress_urls
        return [urls[name] for name in names if name in urls]

    def deep_target_urls(self) -> list[str]:
        """Return the base URLs of the targets of the deep service."""
        deep = self.plan.deep_service
        names = [u.name for u in self.plan.upstreams() if u.service.name == deep]
        return [self.target_urls[name] for name in names]


def start_deployment(
    plan: MeshPlan, group: ProcessGroup, directory: Path, *, seed: int
) -> Deployment:
    """Start the log service, and a target and a node for each upstream.

    Args:
        plan: Definition of the mesh.
        group: Group that stops the processes at the end of its `with` block.
        directory: Directory for the settings and the journals of the targets.
        seed: Seed of the targets' service times.

    Raises:
        StartFailed: If a process does not start.
    """
    log_url = wait_for_url(start_standin(group, "log", "log", {}))
    resources = {"resources": plan.build_documents()}
    (directory / "resources.json").write_text(json.dumps(resources))
    deployment = Deployment(plan, log_url, {}, {}, {}, {}, {})
    start_upstreams(deployment, plan.upstreams(), group, directory, seed=seed)
    return deployment


def start_upstreams(
    deployment: Deployment,
    upstreams: list[UpstreamPlan],
    group: ProcessGroup,
    directory: Path,
    *,
    seed: int,
    suffix: str = "",
) -> None:
    """Start a target and a node for each upstream, and add them to a deployment.

    Args:
        deployment: The running mesh; earlier entries of the upstreams are replaced.
        upstreams: Upstreams to start.
        group: Group that stops the processes at the end of its `with` block.
        directory: Directory for the settings and the journals of the targets.
        seed: Seed of the targets' service times.
        suffix: Suffix of the process names, which distinguishes the processes from
            earlier ones of the same upstreams.

    Raises:
        StartFailed: If a process does not start.
    """
    plan = deployment.plan
    for number, upstream in enumerate(upstreams):
        name = f"target-{upstream.name}{suffix}"
        options = _target_options(plan, upstream, seed + number)
        options["journal"] = str(directory / f"{name}.journal")
        deployment.targets[upstream.name] = start_standin(
            group, name, "target", options
        )
    for upstream in upstreams:
        target_url = wait_for_url(deployment.targets[upstream.name])
        deployment.target_urls[upstream.name] = target_url
        settings = _node_settings(plan, upstream, deployment.log_url, target_url)
        name = f"node-{upstream.name}{suffix}"
        path = directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        deployment.nodes[upstream.name] = group.start(
            name, "mimosaloom_node", str(path)
        )
    for upstream in upstreams:
        name = upstream.name
        ports = _wait_for_ports(deployment.nodes[name])
        deployment.ingress_urls[name] = f"http://127.0.0.1:{ports['ingress']}"
        deployment.admin_urls[name] = f"http://127.0.0.1:{ports['admin']}"
        egress_url = f"http://127.0.0.1:{ports['egress']}"
        control_url = f"{deployment.target_urls[name]}/.target/control"
        post_json(control_url, {"egress_url": egress_url})


def start_standin(
    group: ProcessGroup, name: str, kind: str, options: dict
) -> ChildProcess:
    """Start a stand-in.

    Args:
        group: Group that stops the stand-in at the end of its `with` block.
        name: Name of the process.
        kind: "log" for a log service, "target" for a target.
        options: Options of the stand-in.
    """
    return group.start(name, "mimosaloom_standins", kind, json.dumps(options))


def wait_for_url(child: ChildProcess) -> str:
    """Return the base URL that a stand-in prints as soon as it listens."""
    line = child.wait_for_line(lambda entry: "port" in entry and "pid" in entry)
    return f"http://{line['host']}:{line['port']}"


def post_json(url: str, body: object) -> dict:
    """Post a JSON object and return the JSON object of the answer; blocks."""
    data = json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout=CONTROL_TIMEOUT_S) as response:
        return json.load(response)


def get_json(url: str) -> dict:
    """Return the JSON object at a URL; blocks."""
    with urllib.request.urlopen(url, timeout=CONTROL_TIMEOUT_S) as response:
        return json.load(response)


def _wait_for_ports(child: ChildProcess) -> dict[str, int]:
    line = child.wait_for_line(lambda entry: entry.get("message_type") == "listening")
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
