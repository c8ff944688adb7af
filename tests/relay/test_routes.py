"""Tests of routes, shares of services, the call graph, and near upstreams."""

import random

import pytest
from platform_adapter.standins import build_document

from mimosaloom_model import ErrorKind, RequestClass
from mimosaloom_platform.configuration import decode_configuration
from mimosaloom_policy import Candidate, LevelTable, Router
from mimosaloom_relay import Route, ShareRotation, match_route
from mimosaloom_relay.call_graph import CallGraph


def build_configuration(*prefixes):
    """Return a configuration with routes of one host."""
    routes = [{"pathPrefix": prefix, "service": "s"} for prefix in prefixes]
    return decode_configuration(build_document(1, routes, ["s"]))


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("h.example", "/a/b/c?x=/a/b/c/", "/a/b/"),
        ("H.Example:80", "/a/x", "/a/"),
        ("h.example", "/a", None),
        ("h.example", "/?/a/", "/"),
        ("other", "/a/x", None),
    ],
)
def test_longest_prefix_is_selected(host, path, prefix):
    """Guards against a request that is matched to the wrong route."""
    prefixes = ["/a/", "/a/b/"] + (["/"] if prefix == "/" else [])
    route = match_route(build_configuration(*prefixes), host, path)
    assert (route.path_prefix if route else None) == prefix


def test_shares_follow_the_weights_over_few_requests():
    """Guards against shares that are only exact over many requests."""
    request_class = RequestClass("c", "a", 2, True)
    route = Route("h", "/", request_class, (("a", 90), ("b", 10)), 2, 1.0)
    rotation = ShareRotation()
    picked = [rotation.pick(route) for _ in range(40)]
    for start in range(0, 40, 10):
        assert picked[start : start + 10].count("b") == 1


def test_level_below_is_the_lowest_level_of_the_calls():
    """Guards against requests that are admitted at the root and fail half-way."""
    levels = LevelTable(random.Random(1))
    graph = CallGraph(levels, lambda service: True)
    graph.record_call("root", "middle", "call", 0.0)
    levels.record_levels("middle", "call", "m-1", 0.3, 0.0)
    levels.record_levels("other", "call", "o-1", 0.1, 0.0)
    assert graph.level_below("root", 0.1) == 0.3
    assert graph.level_below("unrelated", 0.1) == 1.0
    assert graph.level_below("root", 10.0) == 1.0


def test_missing_service_is_reported_while_its_calls_are_recent():
    """Guards against a node that is cut off and runs requests that fail half-way."""
    reachable = {"middle"}
    graph = CallGraph(LevelTable(random.Random(1)), lambda name: name in reachable)
    graph.record_call("root", "middle", "call", 0.0)
    graph.record_call("root", "deep", "call", 0.0)
    assert graph.find_missing_service("root", 0.1) == "deep"
    assert graph.find_missing_service("unrelated", 0.1) is None
    assert graph.find_missing_service("root", 10.0) is None
    reachable.add("deep")
    assert graph.find_missing_service("root", 0.1) is None
    reachable.clear()
    graph.clear()
    assert graph.find_missing_service("root", 0.1) is None


def build_router():
    """Return a router in failure domain `near`, with an upstream there and in `far`."""
    router = Router("s", "me", "near", random.Random(1), local_load_limit=0.7)
    candidates = [
        Candidate(name, "10.0.0.1", 1, name, 10, 100, "i") for name in ("near", "far")
    ]
    router.set_candidates(candidates, 0.0)
    return router


def test_near_upstream_is_preferred_while_its_load_is_low():
    """Guards against needless traffic between failure domains."""
    router = build_router()
    assert {router.pick(0.0).name for _ in range(20)} == {"near"}
    router.record_load("near", 0.9, 0.0)
    for _ in range(5):
        router.start("near", 0.0)
    assert router.pick(0.1).name == "far"


def test_failing_near_upstream_is_avoided():
    """Guards against a preference for a near upstream that refuses requests."""
    router = build_router()
    for _ in range(4):
        router.start("near", 0.0)
        router.finish("near", 0.0, elapsed_s=0.01, kind=ErrorKind.TARGET_REJECTED)
    assert router.pick(0.0).name == "far"
