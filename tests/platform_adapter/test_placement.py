"""Targets that tell in their answers how long work takes on their machine now."""

import pytest
from platform_adapter.cluster import run_cluster

pytestmark = pytest.mark.sockets

BACK_ROUTE = {"pathPrefix": "/b/", "service": "back"}
REQUESTS = 24


async def send_requests(cluster, signal):
    """Send requests to two targets of one service; return the expected times there.

    Args:
        cluster: The cluster.
        signal: Load header of both targets.
    """
    front = await cluster.add_member("front-1", "front")
    names = ("back-1", "back-2")
    for name in names:
        await cluster.add_member(name, "back")
    await cluster.configure(1, [BACK_ROUTE])
    await cluster.announce_all()
    for name in names:
        cluster.members[name].target.signals = [f"Mimosaloom-Server-Load: {signal}"]
    for number in range(REQUESTS):
        response = await front.send_request("/b/x", f"id-{number}")
        assert response.status == 200
    routes = front.node.origin.configuration.routes.values()
    class_name = next(iter(routes))[0].request_class.name
    upstreams = front.node.upstreams
    return [upstreams.expected_s("back", name, class_name) for name in names]


def test_origin_hears_what_a_request_takes_at_targets_that_tell_their_pace():
    """Guards against measurements that don't reach the origin."""

    async def scenario(cluster):
        expected_s = await send_requests(cluster, "1,0,8,100")
        assert all(value is not None and value > 0 for value in expected_s)

    run_cluster(scenario)


@pytest.mark.parametrize("signal", ["1,0,8", "1,0,8,0", "1,0,8,quick"])
def test_targets_that_tell_no_pace_have_no_estimates(signal):
    """Guards against another choice, and longer messages, for other targets."""

    async def scenario(cluster):
        assert await send_requests(cluster, signal) == [None, None]

    run_cluster(scenario)
