"""Typed resources of the configuration, which operators declare in JSON files."""

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
    """Resource as it is written in a file, not yet typed.

    Attributes:
        kind: Name of the resource type, such as `Service`.
        name: Name of the resource, unique within its kind.
        spec: The fields that the kind defines, without the name.
        revision: In a change, the revision that the change is based on; 0 if the
            resource must not exist yet. In a resource that mimosaloom returns, the
            current revision.
    """

    kind: str
    name: str
    spec: dict
    revision: NotRequired[int]


class Service(NamedTuple):
    """Service in the call graph.

    Attributes:
        name: Name of the service.
        calls: Names of the services that it calls.
        max_body_bytes: Maximum size of a request or answer body, in bytes.
    """

    name: str
    calls: tuple[str, ...] = ()
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class Upstream(NamedTuple):
    """Declaration of one target of a service.

    Attributes:
        name: Name of the upstream.
        service: Name of the service that the target belongs to.
        failure_domain: Failure domain in which the target runs.
        slots: Maximum number of calls that the target runs concurrently.
        max_connections: Maximum number of connections that the target accepts.
    """

    name: str
    service: str
    failure_domain: str
    slots: int
    max_connections: int


class RetryAllowance(NamedTuple):
    """Limits on the number of retries.

    Attributes:
        name: Name of the retry allowance.
        retries_per_request: Maximum number of retries of one request, counted over all
            hops.
        budget_ratio: Number of retries that each successful call allows, counted
            separately for each service and request class.
        min_retries_per_s: Retries per second that are allowed even without successful
            calls.
    """

    name: str
    retries_per_request: int = 3
    budget_ratio: float = 0.1
    min_retries_per_s: float = 1.0


class RequestClass(NamedTuple):
    """Class of requests that are treated alike at every hop of their path.

    Attributes:
        name: Name of the request class.
        entry_service: Name of the service that receives the request from the caller.
        priority: 0 to 7; under overload, 7 is refused first and 0 last.
        is_idempotent: Whether a request may run more than once without harm.
        is_protected: Whether the class has a reserved share of the slots.
        timeout_s: Timeout, in seconds, of a request that doesn't set its own.
        retry_allowance: Name of the retry allowance of the class.
        path: Names of the services on the path of the request, in the order of calls.
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
    """All declared resources of a configuration.

    Attributes:
        services: Services by name.
        upstreams: Upstreams by name.
        classes: Request classes by name.
        allowances: Retry allowances by name.
    """

    services: dict[str, Service]
    upstreams: dict[str, Upstream]
    classes: dict[str, RequestClass]
    allowances: dict[str, RetryAllowance]

    def get_retry_allowance(self, class_name: str) -> RetryAllowance:
        """Return the retry allowance of a request class.

        An allowance that is not declared has the default values.
        """
        name = self.classes[class_name].retry_allowance
        return self.allowances.get(name, RetryAllowance(name))


_RESOURCE_TYPES = {
    "Service": Service,
    "Upstream": Upstream,
    "RequestClass": RequestClass,
    "RetryAllowance": RetryAllowance,
}


def build_catalog(documents: list[ResourceDocument]) -> Catalog:
    """Convert checked documents to typed resources.

    Args:
        documents: Documents without faults. Unknown fields, which a newer version may
            have written, are ignored.

    Returns:
        A catalog of all resources.
    """
    catalog = Catalog({}, {}, {}, {})
    by_kind = {
        "Service": catalog.services,
        "Upstream": catalog.upstreams,
        "RequestClass": catalog.classes,
        "RetryAllowance": catalog.allowances,
    }
    for document in documents:
        resource_type = _RESOURCE_TYPES[document["kind"]]
        known_fields = {
            field: tuple(value) if isinstance(value, list) else value
            for field, value in document["spec"].items()
            if field in resource_type._fields
        }
        name = document["name"]
        by_kind[document["kind"]][name] = resource_type(name=name, **known_fields)
    return catalog
