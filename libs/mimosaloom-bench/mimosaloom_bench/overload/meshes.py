"""Sizes, latencies and request classes of both meshes (design page, section 2.5)."""

from typing import NamedTuple

__all__ = ["MESHES", "ClassSpec", "MeshSpec", "ServiceSpec", "class_rates"]

NORMAL_LOAD_RATIO = 0.65
DOMAINS = ("domain-a", "domain-b", "domain-c")


class ServiceSpec(NamedTuple):
    """A simulated service.

    Attributes:
        name: Name of the service.
        targets: Number of targets.
        slots: Slots of each target.
        connections: Connections each target accepts.
        work_s: Mean time for the own work of a call, without its sub-call.
    """

    name: str
    targets: int
    slots: int
    connections: int
    work_s: float


class ClassSpec(NamedTuple):
    """A request class.

    Attributes:
        name: Name of the class.
        priority: Priority from 0, which is refused last.
        is_idempotent: Whether a call may run twice.
        is_protected: Whether the class has a reserved share of the capacity.
        path: Services in the order in which they call each other.
        share: Share of all arriving requests.
    """

    name: str
    priority: int
    is_idempotent: bool
    is_protected: bool
    path: tuple[str, ...]
    share: float


class MeshSpec(NamedTuple):
    """Services, request classes and latencies of a simulated mesh.

    Attributes:
        name: Name of the mesh.
        services: Services by name.
        classes: Request classes by name.
        bottleneck: Name of the service that limits the mesh when no target is slow.
        cross_domain_latency_s: One-way latency between failure domains.
        client_latency_s: One-way latency between clients and the mesh.
        timeout_s: Time after which the client gives up an attempt.
    """

    name: str
    services: dict[str, ServiceSpec]
    classes: dict[str, ClassSpec]
    bottleneck: str
    cross_domain_latency_s: float
    client_latency_s: float
    timeout_s: float = 2.0


def class_rates(mesh: MeshSpec) -> dict[str, float]:
    """Return the normal arrivals per second of each class.

    They load the bottleneck to `NORMAL_LOAD_RATIO` of the capacity of its slots.
    """
    service = mesh.services[mesh.bottleneck]
    capacity_per_s = service.targets * service.slots / service.work_s
    classes = mesh.classes.values()
    share = sum(c.share for c in classes if mesh.bottleneck in c.path)
    total_per_s = NORMAL_LOAD_RATIO * capacity_per_s / share
    return {c.name: c.share * total_per_s for c in classes}


def _build_mesh(
    name, services, classes, bottleneck, cross_domain_latency_s, client_latency_s
):
    return MeshSpec(
        name,
        {service.name: service for service in services},
        {request_class.name: request_class for request_class in classes},
        bottleneck,
        cross_domain_latency_s,
        client_latency_s,
    )


WATER = _build_mesh(
    "water",
    [
        ServiceSpec("status", 5, 70, 500, 0.040),
        ServiceSpec("intake", 4, 80, 570, 0.060),
        ServiceSpec("inspections", 3, 100, 700, 0.080),
        ServiceSpec("billing", 3, 35, 300, 0.150),
    ],
    [
        ClassSpec(
            "register-application",
            0,
            False,
            True,
            ("intake", "inspections", "billing"),
            0.05,
        ),
        ClassSpec(
            "issue-fee", 1, False, False, ("intake", "inspections", "billing"), 0.10
        ),
        ClassSpec(
            "assign-inspection", 2, False, False, ("intake", "inspections"), 0.10
        ),
        ClassSpec(
            "status-inquiry",
            4,
            True,
            False,
            ("status", "intake", "inspections", "billing"),
            0.75,
        ),
    ],
    "billing",
    0.001,
    0.008,
)

_ALL_SERVICES = ("catalogue", "lending", "regrind", "returns")

COOPERATIVE = _build_mesh(
    "cooperative",
    [
        ServiceSpec("catalogue", 6, 60, 450, 0.040),
        ServiceSpec("lending", 4, 85, 600, 0.060),
        ServiceSpec("regrind", 3, 110, 800, 0.080),
        ServiceSpec("returns", 3, 35, 300, 0.150),
    ],
    [
        ClassSpec("log-return", 0, False, True, ("lending", "returns"), 0.05),
        ClassSpec(
            "confirm-regrind", 1, False, False, ("lending", "regrind", "returns"), 0.10
        ),
        ClassSpec("reserve-tooling", 2, False, False, _ALL_SERVICES, 0.10),
        ClassSpec("look-up-die", 4, True, False, _ALL_SERVICES, 0.75),
    ],
    "returns",
    0.0005,
    0.003,
)

MESHES = {mesh.name: mesh for mesh in (WATER, COOPERATIVE)}
