"""Settings of a node as typed values."""

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
    """Where to listen; port 0 takes a free one.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str = "127.0.0.1"
    port: int = 0


class NodeIdentity(NamedTuple):
    """Who the node is and where it runs."""

    name: str
    region: str
    failure_domain: str


class TargetSettings(NamedTuple):
    """The target beside the node.

    Attributes:
        service: Service of the target.
        upstream: Name of the target as declared.
        url: Base URL at which the node reaches the target.
    """

    service: str
    upstream: str
    url: str


class ListenSettings(NamedTuple):
    """The four listeners of a node."""

    ingress: Address = Address()
    egress: Address = Address()
    admin: Address = Address()
    control: Address = Address()


class LogServiceSettings(NamedTuple):
    """The platform's log service.

    Attributes:
        url: Base URL.
        poll_interval_s: Time between reads.
        timeout_s: Limit for one read or append.
    """

    url: str
    poll_interval_s: float = 1.0
    timeout_s: float = 2.0


class LimitSettings(NamedTuple):
    """Bounds on what the node takes in.

    Attributes:
        max_body_bytes: Largest request or answer body.
        max_context_bytes: Largest context header.
        queue_capacity: Calls that may wait for the target.
        drain_timeout_s: Longest wait for calls in flight at a stop.
    """

    max_body_bytes: int = 1_048_576
    max_context_bytes: int = 1024
    queue_capacity: int = 256
    drain_timeout_s: float = 30.0


class NodeSettings(NamedTuple):
    """All settings of a node."""

    node: NodeIdentity
    target: TargetSettings
    log_service: LogServiceSettings
    listen: ListenSettings = ListenSettings()
    limits: LimitSettings = LimitSettings()
    resources_file: str = ""
