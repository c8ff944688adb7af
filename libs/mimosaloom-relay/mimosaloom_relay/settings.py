"""Settings of a node on the platform, as typed values."""

from typing import NamedTuple

from mimosaloom_model import Address

from .retry_share import RepeatBound

__all__ = ["Listeners", "RelaySettings"]


class Listeners(NamedTuple):
    """Addresses of a node.

    Attributes:
        outbound: Takes requests that begin on this instance.
        inbound: Takes hops of other nodes.
        ready: Answers whether clients may be sent here.
        announcements: Takes what the own target says of itself.
        metrics: Serves metrics.
    """

    outbound: Address
    inbound: Address
    ready: Address
    announcements: Address
    metrics: Address


class RelaySettings(NamedTuple):
    """Settings of a node on the platform.

    Attributes:
        name: Name of the node.
        failure_domain: Where it runs.
        service: Service of its target.
        target: Where the target listens.
        listen: Addresses of the node.
        repeat_bound: Bound on repeated sends over all nodes.
        grace_s: Time between the signal to stop and the kill.
    """

    name: str
    failure_domain: str
    service: str
    target: Address
    listen: Listeners
    repeat_bound: RepeatBound
    grace_s: float
