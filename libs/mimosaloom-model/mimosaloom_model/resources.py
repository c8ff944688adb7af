"""Resources that operators declare, as typed values."""

from typing import NamedTuple, NotRequired, TypedDict

__all__ = [
    "Catalog",
    "RequestClass",
    "ResourceDocument",
    "RetryAllowance",
    "Service",
    "Upstream",
    "build_catalog",
]

DEFAULT_MAX_BODY_BYTES = 1_048_576


class ResourceDocument(TypedDict):
    """One resource as written in a file.

    Attributes:
        kind: Kind of the resource.
        name: Name, unique within the kind.
        spec: Fields of the kind.
        revision: Revision that the author saw, 0 for a resource that must be new;
            the system sets it in what it returns.
    """

    kind: str
    name: str
    spec: dict
    revision: NotRequired[int]


class Service(NamedTuple):
    """A service of the call graph.

    Attributes:
        name: Name of the service.
        calls: Services that it calls.
        max_body_bytes: Limit for request and answer bodies.
    """

    name: str
    calls: tuple[str, ...] = ()
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class Upstream(NamedTuple):
    """A target of a service as declared.

    Attributes:
        name: Name of the upstream.
        service: Service that it belongs to.
        failure_domain: Failure domain in which it runs.
        slots: Calls that it can run at once.
        max_connections: Connections that it accepts.
    """

    name: str
    service: str
    failure_domain: str
    slots: int
    max_connections: int


class RetryAllowance(NamedTuple):
    """How many retries requests may cause.

    Attributes:
        name: Name of the allowance.
        retries_per_request: Retries of one request over all hops.
        budget_ratio: Retries per success, for each service and class.
        min_retries_per_s: Retries a second that are allowed without successes.
    """

    name: str
    retries_per_request: int = 3
    budget_ratio: float = 0.1
    min_retries_per_s: float = 1.0


class RequestClass(NamedTuple):
    """A kind of request; it holds at every hop.

    Attributes:
        name: Name of the class.
        entry_service: Service that callers address.
        priority: 0 (refused last) to 7.
        is_idempotent: Whether it may run more than once.
        is_protected: Whether it has a reserved share of the slots.
        timeout_s: Deadline of a request that brings none.
        retry_allowance: Name of its retry allowance.
        path: Services in the order of calls.
    """

    name: str
    entry_service: str
    priority: int
    is_idempotent: bool
    is_protected: bool = False
    timeout_s: float = 2.0
    retry_allowance: str = "default"
    path: tuple[str, ...] = ()


class Catalog(NamedTuple):
    """All declared resources by name."""

    services: dict[str, Service]
    upstreams: dict[str, Upstream]
    classes: dict[str, RequestClass]
    allowances: dict[str, RetryAllowance]

    def allowance_of(self, class_name: str) -> RetryAllowance:
        """Return the retry allowance of a class; the default one if undeclared."""
        name = self.classes[class_name].retry_allowance
        return self.allowances.get(name, RetryAllowance(name))


_TYPES = {
    "Service": Service,
    "Upstream": Upstream,
    "RequestClass": RequestClass,
    "RetryAllowance": RetryAllowance,
}


def build_catalog(documents: list[ResourceDocument]) -> Catalog:
    """Turn checked documents into typed resources.

    Args:
        documents: Documents without faults. Fields of a newer version that are not
            known here are left out.

    Returns:
        The catalog of all resources.
    """
    catalog = Catalog({}, {}, {}, {})
    by_kind = {
        "Service": catalog.services,
        "Upstream": catalog.upstreams,
        "RequestClass": catalog.classes,
        "RetryAllowance": catalog.allowances,
    }
    for document in documents:
        resource_type = _TYPES[document["kind"]]
        known = {
            field: tuple(value) if isinstance(value, list) else value
            for field, value in document["spec"].items()
            if field in resource_type._fields
        }
        name = document["name"]
        by_kind[document["kind"]][name] = resource_type(name=name, **known)
    return catalog
