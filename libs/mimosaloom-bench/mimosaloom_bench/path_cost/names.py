"""Services, routes and header names of the bench, shared by its processes."""

from mimosaloom_model import RequestClass
from mimosaloom_relay import Configuration, HeaderNames, Limits, Route, ServiceProfile

__all__ = [
    "CALLS_PER_ROOT",
    "CONFIGURATION",
    "HEADER_NAMES",
    "HOST",
    "LEAF_PATH",
    "LEAF_SERVICE",
    "ROOT_PATH",
    "ROOT_SERVICE",
]

HOST = "bench.example"
ROOT_SERVICE, ROOT_PATH = "root", "/root/"
LEAF_SERVICE, LEAF_PATH = "leaf", "/leaf/"
CALLS_PER_ROOT = 4
MAX_CONNECTIONS = 500
HEADER_NAMES = HeaderNames(
    request_id="Bench-Request-Id",
    timeout_ms="Bench-Timeout-Ms",
    expected_target="Bench-Expected-Target",
    caller_service="Bench-Caller-Service",
    not_executed="Bench-Not-Executed",
    signature="Bench-Signature",
    target_id="Bench-Target-Id",
    rate_limit="Bench-Rate-Limit",
    load="Bench-Load",
    organisation="Bench-Organisation",
    leaving="Bench-Leaving",
)


def _build_route(path_prefix: str, service: str) -> Route:
    request_class = RequestClass(
        service, service, priority=2, is_idempotent=True, timeout_s=2.0
    )
    return Route(HOST, path_prefix, request_class, ((service, 1),), 3, 1.0)


CONFIGURATION = Configuration(
    version=1,
    routes={
        HOST: (
            _build_route(ROOT_PATH, ROOT_SERVICE),
            _build_route(LEAF_PATH, LEAF_SERVICE),
        )
    },
    services={
        name: ServiceProfile(name, "/healthz", MAX_CONNECTIONS)
        for name in (ROOT_SERVICE, LEAF_SERVICE)
    },
    limits=Limits(),
    document=b"",
)
