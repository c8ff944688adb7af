"""Answers of targets whose status is no status of HTTP."""

import pytest
from platform_adapter.cluster import run_cluster

pytestmark = pytest.mark.sockets

INVALID_STATUSES = ["000", "001", "099", "0", "20", "2000", "-01"]
FORMS = ["ok", "chunked", "large", "no-length"]
ROUTES = [
    {"pathPrefix": f"/{service}/", "service": service, "routeType": "non_idempotent"}
    for service in ("front", "back")
]


async def start_nodes(cluster):
    """Start a node that clients call, and one with another target behind it."""
    for service in ("front", "back"):
        await cluster.add_member(f"{service}-1", service)
    await cluster.configure(1, ROUTES)
    await cluster.announce_all()
    return cluster.members["front-1"], cluster.members["back-1"]


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_answer_with_an_invalid_status_never_reaches_the_caller(status, form):
    """Guards against a caller that takes bytes without a valid status for an answer.

    The request has run, so the answer in its place promises nothing.
    """

    async def scenario(cluster):
        front, back = await start_nodes(cluster)
        for member, path in ((front, "/front/x"), (back, "/back/x")):
            member.target.modes = [form]
            member.target.status = status
            request_id = f"id-{path}"
            answer = await front.send_request(path, request_id, method="POST")
            assert answer.status == 502
            assert member.target.runs == [request_id]
            member.target.status = "200"
            answer = await front.send_request(path, f"later-{path}", method="POST")
            assert answer.status == 200

    run_cluster(scenario)


@pytest.mark.parametrize("status", ["000", "099"])
def test_answer_that_follows_an_invalid_status_is_not_passed_on(status):
    """Guards against a connection on which a target corrects itself."""

    async def scenario(cluster):
        front, back = await start_nodes(cluster)
        for member, path in ((front, "/front/x"), (back, "/back/x")):
            member.target.modes = ["ok"]
            member.target.invalid_head = f"HTTP/1.1 {status} Odd\r\n\r\n".encode()
            answer = await front.send_request(path, f"id-{path}", method="POST")
            assert answer.status == 502

    run_cluster(scenario)
