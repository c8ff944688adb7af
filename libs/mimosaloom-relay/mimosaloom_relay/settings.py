"""Typed settings of a node on the platform."""

from typing import NamedTuple

from mimosaloom_model import Address
from mimosaloom_policy import QuotaBounds

from .retry_share import SharedRetryBudget

__all__ = ["Listeners", "RelaySettings"]


class Listeners(NamedTuple):
    """Addresses where a node listens.

    Attributes:
        outbound: Accepts requests of clients and of the target on this instance.
        inbound: Accepts hops of other nodes.
        ready: Answers readiness checks of clients.
        announcements: Accepts heartbeats of the target on this instance.
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
        failure_domain: Failure domain of the instance.
        service: Service of its target.
        target: Address where the target listens.
        listen: Addresses where the node listens.
        retry_budget: Retry budget over all nodes.
        grace_s: Time between the stop signal and the kill of the process.
        recovery_s: Time after a disturbance within which the node follows the store
            again.
        memory_bytes: Memory that the process may take.
        max_sockets: Sockets that the process may have.
        quota_bounds: How far the requests that run may exceed the quota of their
            organisation.
    """

    name: str
    failure_domain: str
    service: str
    target: Address
    listen: Listeners
    retry_budget: SharedRetryBudget
    grace_s: float
    recovery_s: float = 3.0
    memory_bytes: int = 200 * 10**6
    max_sockets: int = 3900
    quota_bounds: QuotaBounds = QuotaBounds()
