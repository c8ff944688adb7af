"""Builds the data path of a target from its parts."""

import random
from typing import NamedTuple

from mimosaloom_model import MAX_CONTEXT_BYTES, Clock
from mimosaloom_policy import Admission

from .caller import Caller, LocalTarget
from .directory import Directory
from .egress import Egress
from .gate import AdmissionGate
from .hop import Execute, TargetHop
from .ingress import Ingress
from .metrics import MeshMetrics
from .owners import Claims, OwnerForwarder
from .roots import RootRequestHandler
from .transport import Transport

__all__ = ["DataPath", "Place", "build_caller", "build_data_path"]


class Place(NamedTuple):
    """Identity and limits of a node and its target.

    Attributes:
        name: Name of the node.
        failure_domain: Failure domain of the node.
        service: Service of the target.
        upstream: Upstream name of the target.
        incarnation: Incarnation of this process.
        slots: Declared concurrency of the target.
        queue_capacity: Largest number of calls that wait for the target.
        max_context_bytes: Largest context header.
    """

    name: str
    failure_domain: str
    service: str
    upstream: str
    incarnation: str
    slots: int
    queue_capacity: int = 256
    max_context_bytes: int = MAX_CONTEXT_BYTES


class DataPath(NamedTuple):
    """The parts of the data path of one target."""

    caller: Caller
    gate: AdmissionGate
    hop: TargetHop
    ingress: Ingress
    egress: Egress


def build_caller(
    name: str,
    failure_domain: str,
    directory: Directory,
    *,
    own_service: str = "",
    clock: Clock,
    rng: random.Random,
    transport: Transport | None = None,
    metrics: MeshMetrics | None = None,
) -> Caller:
    """Return a caller for a program that calls services.

    Args:
        name: Name of the caller; selects its subset of upstreams.
        failure_domain: Failure domain of the caller.
        directory: Provides the resources in force and the upstreams.
        own_service: Service of the target that makes the calls; empty if the calling
            program is not a target.
        clock: Source of time.
        rng: Source of ids and of random choices.
        transport: Sends requests; a new one if None.
        metrics: Counts outcomes; new metrics in a new registry if None.
    """
    return Caller(
        name,
        failure_domain,
        directory,
        own_service=own_service,
        clock=clock,
        rng=rng,
        transport=transport or Transport(),
        metrics=metrics or MeshMetrics(),
    )


def build_data_path(
    place: Place,
    caller: Caller,
    transport: Transport,
    execute: Execute,
    claims: Claims | None = None,
) -> DataPath:
    """Return the data path of a target.

    Args:
        place: Identity and limits of the node and its target.
        caller: Makes the calls of the target.
        transport: Sends requests.
        execute: Runs an admitted call on the target.
        claims: Claims on caller keys; such keys are refused if None.
    """
    clock, metrics = caller.clock, caller.metrics
    admission = Admission(
        place.slots, clock.monotonic_s(), queue_capacity=place.queue_capacity
    )
    gate = AdmissionGate(admission, clock, metrics)
    hop = TargetHop(place.service, place.incarnation, caller, gate, execute)
    caller.local = LocalTarget(
        place.upstream, place.service, hop.run_local, lambda: gate.is_draining
    )
    owners = OwnerForwarder(place.service, caller.directory, clock, transport)
    roots = RootRequestHandler(place.upstream, caller, hop, owners, claims)
    ingress = Ingress(caller, hop, roots, place.max_context_bytes)
    egress = Egress(caller, place.incarnation, place.max_context_bytes)
    return DataPath(caller, gate, hop, ingress, egress)
