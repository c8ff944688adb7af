"""Puts the parts of the data path beside one target together."""

import random
from typing import NamedTuple

from mimosaloom_model import MAX_CONTEXT_BYTES, Clock
from mimosaloom_policy import Admission

from .caller import Caller, LocalHop
from .directory import Directory
from .egress import Egress
from .gate import AdmissionGate
from .hop import Execute, TargetHop
from .ingress import Ingress
from .metrics import MeshMetrics
from .owners import Claims, OwnerLink
from .roots import RootCalls
from .transport import Transport

__all__ = ["DataPath", "Place", "build_caller", "build_data_path"]


class Place(NamedTuple):
    """Who runs the data path, and beside what.

    Attributes:
        name: Name of the node.
        failure_domain: Its failure domain.
        service: Service of the target.
        upstream: Name of the target.
        incarnation: Incarnation of this process.
        slots: Declared concurrency of the target.
        queue_capacity: Calls that may wait for the target.
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
    """The parts of the data path beside one target."""

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
        name: Name of the caller, for the choice of its subset of upstreams.
        failure_domain: Its failure domain.
        directory: Resources in force and upstreams.
        own_service: Service of the target that makes the calls; empty for a program
            that is no target.
        clock: Source of time.
        rng: Source of ids and of choices.
        transport: Sends requests; a new one if None.
        metrics: Counts outcomes; a new registry if None.
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
        place: Who runs it, and beside what.
        caller: Makes the calls of the target.
        transport: Sends requests.
        execute: Runs an admitted call on the target.
        claims: Claims on keys that clients bring; such keys are refused if None.
    """
    clock, metrics = caller.clock, caller.metrics
    admission = Admission(
        place.slots, clock.monotonic_s(), queue_capacity=place.queue_capacity
    )
    gate = AdmissionGate(admission, clock, metrics)
    hop = TargetHop(place.service, place.incarnation, caller, gate, execute)
    caller.local = LocalHop(
        place.upstream, place.service, hop.run_local, lambda: gate.is_draining
    )
    owners = OwnerLink(place.service, caller.directory, clock, transport)
    roots = RootCalls(place.upstream, caller, hop, owners, claims)
    ingress = Ingress(caller, hop, roots, place.max_context_bytes)
    egress = Egress(caller, place.incarnation, place.max_context_bytes)
    return DataPath(caller, gate, hop, ingress, egress)
