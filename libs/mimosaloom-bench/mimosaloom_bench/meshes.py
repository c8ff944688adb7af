"""The two example meshes, scaled down to fit on one machine."""

from enum import StrEnum
from typing import NamedTuple

from mimosaloom_model import ResourceDocument

__all__ = [
    "MESHES",
    "AllowancePlan",
    "ClassPlan",
    "MeshName",
    "MeshPlan",
    "ServicePlan",
    "UpstreamPlan",
]

RETRIES_PER_REQUEST = 3


class AllowancePlan(NamedTuple):
    """Retry allowance of all classes, with the fields of the `RetryAllowance` resource.

    Attributes:
        retries_per_request: Number of retries that one request may cause.
        budget_ratio: Retries per success, for each service and class.
        min_retries_per_s: Retries per second that are allowed without successes.
    """

    retries_per_request: int = RETRIES_PER_REQUEST
    budget_ratio: float = 0.1
    min_retries_per_s: float = 1.0


class MeshName(StrEnum):
    """Names of the meshes."""

    WATER = "water"
    COOPERATIVE = "cooperative"


class ServicePlan(NamedTuple):
    """A service and the size of its upstreams.

    Attributes:
        name: Name of the service.
        upstream_count: Number of upstreams.
        slots: Number of calls that each upstream runs concurrently.
        max_connections: Number of connections that each upstream accepts.
        service_time_s: Mean time that a target spends on a call, without the time of
            the calls that it makes.
    """

    name: str
    upstream_count: int
    slots: int
    max_connections: int
    service_time_s: float


class ClassPlan(NamedTuple):
    """A request class and its share of the requests.

    Attributes:
        name: Name of the class.
        priority: Rank from 0; requests of the class with priority 0 are refused last.
        is_idempotent: Whether a request may run more than once.
        is_protected: Whether a share of the slots is reserved for the class.
        path: Services in call order, the entry service first.
        share: Share of all requests, between 0 and 1.
        timeout_s: Time from the arrival of a request to its deadline.
    """

    name: str
    priority: int
    is_idempotent: bool
    is_protected: bool
    path: tuple[str, ...]
    share: float
    timeout_s: float = 1.5


class UpstreamPlan(NamedTuple):
    """One upstream of a service."""

    name: str
    service: ServicePlan
    failure_domain: str


class MeshPlan(NamedTuple):
    """Services, request classes and normal load of one mesh.

    Attributes:
        name: Name of the mesh.
        region: Region of all nodes.
        failure_domains: Failure domains over which the upstreams are spread.
        services: Services of the mesh.
        classes: Request classes of the mesh.
        deep_service: Last service of the longest paths; it slows down in the overload.
        normal_per_s: Requests per second at normal load.
        allowance: Retry allowance of all classes.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    classes: tuple[ClassPlan, ...]
    deep_service: str
    normal_per_s: float
    allowance: AllowancePlan = AllowancePlan()

    def service(self, name: str) -> ServicePlan:
        """Return the service with a name."""
        return next(service for service in self.services if service.name == name)

    def upstreams(self) -> list[UpstreamPlan]:
        """Return all upstreams.

        The upstreams of a service are assigned to the failure domains in turn.
        """
        domains = self.failure_domains
        return [
            UpstreamPlan(
                f"{service.name}-{index + 1}", service, domains[index % len(domains)]
            )
            for service in self.services
            for index in range(service.upstream_count)
        ]

    def capacity_per_s(self, service_name: str, slow_factor: float = 1.0) -> float:
        """Return the number of calls per second that a service can run."""
        service_time_s = self.service(service_name).service_time_s
        return self.slots(service_name) / (service_time_s * slow_factor)

    def slots(self, service_name: str) -> int:
        """Return the number of slots of a service over all its upstreams."""
        service = self.service(service_name)
        return service.upstream_count * service.slots

    def build_documents(self) -> list[ResourceDocument]:
        """Return the mesh as resource documents."""
        return [
            *(self._service_document(service) for service in self.services),
            *(_upstream_document(upstream) for upstream in self.upstreams()),
            *(_class_document(request_class) for request_class in self.classes),
            _document("RetryAllowance", "default", **self.allowance._asdict()),
        ]

    def _service_document(self, service: ServicePlan) -> ResourceDocument:
        callees = {
            callee
            for request_class in self.classes
            for caller, callee in zip(
                request_class.path, request_class.path[1:], strict=False
            )
            if caller == service.name
        }
        return _document("Service", service.name, calls=sorted(callees))


def _upstream_document(upstream: UpstreamPlan) -> ResourceDocument:
    return _document(
        "Upstream",
        upstream.name,
        service=upstream.service.name,
        failure_domain=upstream.failure_domain,
        slots=upstream.service.slots,
        max_connections=upstream.service.max_connections,
    )


def _class_document(request_class: ClassPlan) -> ResourceDocument:
    return _document(
        "RequestClass",
        request_class.name,
        entry_service=request_class.path[0],
        priority=request_class.priority,
        is_idempotent=request_class.is_idempotent,
        is_protected=request_class.is_protected,
        timeout_s=request_class.timeout_s,
        retry_allowance="default",
        path=list(request_class.path),
    )


def _document(kind: str, name: str, **spec) -> ResourceDocument:
    return ResourceDocument(kind=kind, name=name, spec=spec)


# The number of slots is about a thirteenth of that in the full-size meshes, which
# `overload.meshes` defines. That leaves eight slots to the deep service and keeps the
# proportions between the services.
_WATER = MeshPlan(
    name=MeshName.WATER,
    region="quetzaltenango",
    failure_domains=("quetzaltenango-a", "quetzaltenango-b", "quetzaltenango-c"),
    services=(
        ServicePlan("status", 2, 13, 500, 0.002),
        ServicePlan("intake", 2, 12, 570, 0.004),
        ServicePlan("inspections", 2, 11, 700, 0.004),
        ServicePlan("billing", 2, 4, 300, 0.040),
    ),
    classes=(
        ClassPlan(
            "register-application",
            0,
            False,
            True,
            ("intake", "inspections", "billing"),
            0.15,
        ),
        ClassPlan(
            "issue-fee", 1, False, False, ("intake", "inspections", "billing"), 0.20
        ),
        ClassPlan(
            "assign-inspection", 2, False, False, ("intake", "inspections"), 0.20
        ),
        ClassPlan(
            "status-inquiry",
            4,
            True,
            False,
            ("status", "intake", "inspections", "billing"),
            0.45,
        ),
    ),
    deep_service="billing",
    normal_per_s=150.0,
)

_COOPERATIVE = MeshPlan(
    name=MeshName.COOPERATIVE,
    region="gyeongnam",
    failure_domains=("gyeongnam-a", "gyeongnam-b", "gyeongnam-c"),
    services=(
        ServicePlan("catalogue", 2, 14, 450, 0.002),
        ServicePlan("lending", 2, 13, 600, 0.004),
        ServicePlan("regrind", 2, 13, 800, 0.004),
        ServicePlan("returns", 2, 4, 300, 0.040),
    ),
    classes=(
        ClassPlan("log-return", 0, False, True, ("lending", "returns"), 0.15),
        ClassPlan(
            "confirm-regrind",
            1,
            False,
            False,
            ("lending", "regrind", "returns"),
            0.15,
        ),
        ClassPlan(
            "reserve-tooling",
            2,
            False,
            False,
            ("catalogue", "lending", "regrind", "returns"),
            0.20,
        ),
        ClassPlan(
            "look-up-die",
            4,
            True,
            False,
            ("catalogue", "lending", "regrind", "returns"),
            0.50,
        ),
    ),
    deep_service="returns",
    normal_per_s=120.0,
)

MESHES: dict[MeshName, MeshPlan] = {
    MeshName.WATER: _WATER,
    MeshName.COOPERATIVE: _COOPERATIVE,
}
