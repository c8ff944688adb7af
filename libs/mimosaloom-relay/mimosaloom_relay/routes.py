"""Configuration in force: routes by host and path, and services."""

from typing import NamedTuple

from mimosaloom_model import RequestClass

from .limits import Limits
from .organisations import OrganisationDirectory

__all__ = [
    "Configuration",
    "Route",
    "ServiceProfile",
    "ShareRotation",
    "match_route",
]


class ServiceProfile(NamedTuple):
    """Service as declared by its operator.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check of its targets.
        max_connections: Connections that one target accepts.
    """

    name: str
    health_path: str
    max_connections: int


class Route(NamedTuple):
    """Route of the requests for one host and path prefix.

    Attributes:
        host: Host in lower case, without port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        request_class: Class of the requests; its timeout is that of the route.
        shares: Services and their weights.
        max_targets: Largest number of targets that one request is sent to.
        objective_s: Latency objective in seconds; a later answer is of less use.
        is_public: Whether its requests need no key where organisations are declared.
    """

    host: str
    path_prefix: str
    request_class: RequestClass
    shares: tuple[tuple[str, int], ...]
    max_targets: int
    objective_s: float
    is_public: bool = False


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Number of the version; higher is newer.
        routes: Routes by host, those with the longest prefix first.
        services: Services by name.
        limits: Limits on requests and connections of clients.
        document: The configuration as published, for nodes that do not have it yet.
        organisations: Organisations by their keys; None if the operator declares none,
            and requests need no key then.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceProfile]
    limits: Limits
    document: bytes
    organisations: OrganisationDirectory | None = None


def match_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of the path; None if none matches.

    Args:
        configuration: The configuration in force.
        host: Value of the Host header.
        path: Path, including the query.
    """
    name = host.rpartition(":")[0] if host.rpartition(":")[2].isdecimal() else host
    bare_path = path.partition("?")[0]
    for route in configuration.routes.get(name.lower(), ()):
        if bare_path.startswith(route.path_prefix):
            return route
    return None


class ShareRotation:
    """Distributes the requests of a route over its services by their weights.

    Smooth weighted round-robin keeps the shares exact even over few requests. They stay
    exact under overload as well: a request that its service can't take is refused and
    not moved to another service.
    """

    def __init__(self):
        self._credits: dict[tuple, list[float]] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0][0]
        key = (route.request_class.name, route.shares)
        credits = self._credits.setdefault(key, [0.0] * len(route.shares))
        for index, (_, weight) in enumerate(route.shares):
            credits[index] += weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= sum(weight for _, weight in route.shares)
        return route.shares[best][0]

    def drop_unused(self, configuration: Configuration) -> None:
        """Remove the state of routes that are no longer in force."""
        current = {
            (route.request_class.name, route.shares)
            for routes in configuration.routes.values()
            for route in routes
        }
        self._credits = {k: v for k, v in self._credits.items() if k in current}
