"""Typed settings of a node, with their defaults."""

from typing import NamedTuple

__all__ = [
    "Address",
    "LimitSettings",
    "ListenSettings",
    "LogServiceSettings",
    "NodeIdentity",
    "NodeSettings",
    "TargetSettings",
]


class Address(NamedTuple):
    """Address of a listener.

    Attributes:
        host: IP address.
        port: TCP port; 0 lets the operating system choose a free port.
    """

    host: str = "127.0.0.1"
    port: int = 0


class NodeIdentity(NamedTuple):
    """Name and location of the node.

    Attributes:
        name: Name of the node.
        region: Region in which the node runs.
        failure_domain: Failure domain in which the node runs.
    """

    name: str
    region: str
    failure_domain: str


class TargetSettings(NamedTuple):
    """Target that runs beside the node.

    Attributes:
        service: Name of the service that the target belongs to.
        upstream: Name of the Upstream resource that declares the target.
        url: Base URL of the target.
    """

    service: str
    upstream: str
    url: str


class ListenSettings(NamedTuple):
    """Addresses of the four listeners of a node.

    Attributes:
        ingress: For requests of clients and calls from other nodes to the target of
            this node.
        egress: For calls from the target to other services; on a loopback address.
        admin: For operators.
        control: For control messages between nodes.
    """

    ingress: Address = Address()
    egress: Address = Address()
    admin: Address = Address()
    control: Address = Address()


class LogServiceSettings(NamedTuple):
    """Access to the log service of the platform.

    Attributes:
        url: Base URL of the log service.
        poll_interval_s: Time between two reads, in seconds.
        timeout_s: Timeout of one read or append, in seconds.
    """

    url: str
    poll_interval_s: float = 1.0
    timeout_s: float = 2.0


class LimitSettings(NamedTuple):
    """Limits of a node on sizes, on its queue and on the duration of a drain.

    Attributes:
        max_body_bytes: Maximum size of a request or answer body, in bytes.
        max_context_bytes: Maximum size of a context header, in bytes.
        queue_capacity: Maximum number of calls that wait for a slot of the target.
        drain_timeout_s: Maximum time for which a stopping node waits for the calls in
            flight, in seconds.
    """

    max_body_bytes: int = 1_048_576
    max_context_bytes: int = 1024
    queue_capacity: int = 256
    drain_timeout_s: float = 30.0


class NodeSettings(NamedTuple):
    """All settings of a node.

    Attributes:
        node: Name and location of the node.
        target: Target beside the node.
        log_service: Access to the log service.
        listen: Addresses of the listeners.
        limits: Limits on sizes, queue and drain time.
        resources_file: Path of a resource file; empty if there is none.
    """

    node: NodeIdentity
    target: TargetSettings
    log_service: LogServiceSettings
    listen: ListenSettings = ListenSettings()
    limits: LimitSettings = LimitSettings()
    resources_file: str = ""
