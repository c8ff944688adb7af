"""Guards the number of connections that the nodes of a mesh open to one upstream."""

import random

from mimosaloom_mesh import FixedDirectory
from mimosaloom_mesh.routes import RouterTable
from mimosaloom_model import Catalog, ManualClock, Service
from mimosaloom_policy import Candidate, LevelTable

MAX_CONNECTIONS = 300


def _upstreams(service, count):
    return [
        Candidate(
            f"{service}-{number}", "127.0.0.1", 1, "z1", 8, MAX_CONNECTIONS, "1", False
        )
        for number in range(count)
    ]


def test_all_callers_together_stay_within_max_connections():
    """The nodes of two services must share the connections to a service both call."""
    services = {
        "a": Service("a", ("c",)),
        "b": Service("b", ("c",)),
        "c": Service("c"),
    }
    members = {name: _upstreams(name, 400) for name in ("a", "b")}
    members["c"] = _upstreams("c", 30)
    directory = FixedDirectory(Catalog(services, {}, {}, {}), members)
    held = dict.fromkeys((c.name for c in members["c"]), 0)
    for caller in (*members["a"], *members["b"], *members["c"]):
        rng = random.Random(caller.name)
        routes = RouterTable(
            caller.name, "z1", directory, LevelTable(rng), clock=ManualClock(), rng=rng
        )
        connections = routes.max_connections_per_upstream("c")
        for name in routes.router("c").subset:
            held[name] += connections
    assert min(held.values()) > 0
    assert max(held.values()) <= MAX_CONNECTIONS
