"""Keys of organisations on the whole path of a request over real sockets."""

import asyncio
import itertools
import json

import pytest
from platform_adapter.cluster import run_cluster, wait_until
from platform_adapter.standins import build_document

from mimosaloom_platform.configuration import decode_configuration
from mimosaloom_relay import digest_key
from mimosaloom_relay.hop_messages import HopContext

pytestmark = pytest.mark.sockets

CLINIC = {"name": "clinic", "apiKeys": ["key-1", "key-2"], "priority": 0}
SCHOOL = {"name": "school", "apiKeys": ["key-3"]}
ROUTES = [
    {"pathPrefix": "/b/", "service": "back", "priority": 2},
    {"pathPrefix": "/open/", "service": "back", "public": True},
]


def with_key(key, *more):
    """Return the headers of a request with a key."""
    return (("Authorization", f"Bearer {key}"), *more)


async def start(cluster, tenants=(CLINIC, SCHOOL)):
    """Start a caller's node and one of a service; organisations are declared."""
    front = await cluster.add_member("front-1", "front")
    back = await cluster.add_member("back-1", "back")
    await cluster.configure(1, ROUTES, tenants=list(tenants))
    await cluster.announce_all()
    return front, back


def read_last(back):
    """Return the headers of the last request at a target, names in lower case."""
    return {name.lower(): value for name, value in back.target.requests[-1][1].items()}


def test_target_gets_the_organisation_and_never_the_key():
    """Guards against a key that is passed on, and against a forged organisation."""

    async def scenario(cluster):
        front, back = await start(cluster)
        forged = ("mimosaloom-tenant", "school")
        headers = with_key("key-2", forged, ("X-More", "kept"))
        response = await front.send_request("/b/x", headers=headers)
        assert response.status == 200
        received = read_last(back)
        assert received["mimosaloom-tenant"] == "clinic"
        assert received["x-more"] == "kept"
        assert "authorization" not in received

    run_cluster(scenario)


def test_own_target_gets_the_same():
    """Guards against a key that is passed on where no other node is involved."""

    async def scenario(cluster):
        _, back = await start(cluster)
        response = await back.send_request("/b/x", headers=with_key("key-3"))
        assert response.status == 200
        received = read_last(back)
        assert received["mimosaloom-tenant"] == "school"
        assert "authorization" not in received

    run_cluster(scenario)


@pytest.mark.parametrize(
    "headers", [(), with_key("other"), with_key("key-1", *with_key("key-1"))]
)
def test_request_without_a_known_key_is_not_run(headers):
    """Guards against a request that runs for nobody."""

    async def scenario(cluster):
        front, back = await start(cluster)
        response = await front.send_request("/b/x", headers=headers)
        assert response.status == 401
        assert response.header("WWW-Authenticate") == "Bearer"
        assert b"key" not in response.body.replace(b"no key", b"")
        assert not back.target.runs

    run_cluster(scenario)


def test_public_route_needs_no_key_and_passes_none_on():
    """Guards against 401 on a public route, and against a forged organisation there."""

    async def scenario(cluster):
        front, back = await start(cluster)
        forged = (("Mimosaloom-Tenant", "school"),)
        for headers, name in (
            (forged, None),
            (with_key("other", *forged), None),
            (with_key("key-1", *forged), "clinic"),
        ):
            response = await front.send_request("/open/x", headers=headers)
            assert response.status == 200
            received = read_last(back)
            assert received.get("mimosaloom-tenant") == name
            assert "authorization" not in received

    run_cluster(scenario)


def test_without_organisations_headers_pass_as_they_are():
    """Guards against a changed request where the operator declares no organisations."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        back = await cluster.add_member("back-1", "back")
        await cluster.configure(1, ROUTES)
        await cluster.announce_all()
        response = await front.send_request("/b/x", headers=with_key("other"))
        assert response.status == 200
        assert read_last(back)["authorization"] == "Bearer other"

    run_cluster(scenario)


def test_withdrawn_key_is_out_of_use_on_an_open_connection():
    """Guards against a key that is checked once for a connection."""

    async def scenario(cluster):
        front, back = await start(cluster)
        first = await front.send_request("/b/x", "id-1", headers=with_key("key-1"))
        only_second = {**CLINIC, "apiKeys": ["key-2"]}
        await cluster.configure(2, ROUTES, tenants=[only_second, SCHOOL])
        connections = front.node._servers["outbound"].connections
        assert len(connections) == 1
        gone = await front.send_request("/b/x", "id-2", headers=with_key("key-1"))
        kept = await front.send_request("/b/x", "id-3", headers=with_key("key-2"))
        assert [r.status for r in (first, gone, kept)] == [200, 401, 200]
        assert back.target.runs == ["id-1", "id-3"]
        assert len(connections) == 1

    run_cluster(scenario)


def test_withdrawn_key_stays_out_of_use_after_restarts():
    """Guards against a restarted node that serves a key of an older version."""

    async def scenario(cluster):
        front, back = await start(cluster)
        await cluster.configure(2, ROUTES, tenants=[SCHOOL])
        front = await cluster.restart("front-1")
        await wait_until(lambda: front.node.version == 2)
        await front.announce()
        response = await front.send_request("/b/x", headers=with_key("key-1"))
        assert response.status == 401
        document = build_document(1, ROUTES, ["back"], tenants=[CLINIC])
        front.node.put_configuration(document, "a late copy")
        response = await front.send_request("/b/x", headers=with_key("key-1"))
        assert response.status == 401
        assert not back.target.runs

    run_cluster(scenario)


def test_node_without_a_configuration_refuses_with_a_way_back():
    """Guards against a final 401 by a node that does not know the keys yet."""

    async def scenario(cluster):
        front = await cluster.add_member("front-1", "front")
        response = await front.send_request("/b/x", headers=with_key("key-1"))
        assert response.status == 503

    run_cluster(scenario)


def test_calls_of_a_running_target_need_no_key():
    """Guards against calls that are refused, or that get the organisation's name."""

    async def scenario(cluster):
        front, back = await start(cluster)
        back.target.modes = ["hold"]
        cluster.members["back-1"].node.target_side._running["id-1"] = HopContext(
            "id-1", "back", "r-b", 0, True, 1000, "front", "id-1"
        )
        back.target.modes = []
        response = await back.send_request("/b/x", "id-1.1")
        assert response.status == 200
        assert "mimosaloom-tenant" not in read_last(back)
        late = await front.send_request("/b/x", "id-9.1")
        assert late.status == 503
        assert back.target.runs == ["id-1.1"]

    run_cluster(scenario)


def test_priority_of_the_organisation_goes_before_that_of_the_route():
    """Guards against an organisation's priority that only the first hop knows."""

    async def scenario(cluster):
        front, back = await start(cluster)
        seen = []
        run = back.node.target_side.run

        async def record(context, incoming):
            seen.append(context.priority)
            return await run(context, incoming)

        back.node.target_side.run = record
        await front.send_request("/b/x", "id-1", headers=with_key("key-1"))
        await front.send_request("/b/x", "id-2", headers=with_key("key-3"))
        assert seen == [0, 2]

    run_cluster(scenario)


def test_status_shows_organisations_without_keys():
    """Guards against keys in what operators see."""

    async def scenario(cluster):
        front, _ = await start(cluster)
        response = await front.call(front.node.addresses.metrics, "GET", "/status")
        shown = json.loads(response.body)["in_force"]["Organisation"]
        assert shown["clinic"] == {"priority": 0, "quota": None}
        assert b"key-1" not in response.body

    run_cluster(scenario)


def test_organisation_beyond_its_quota_is_refused_and_others_are_served():
    """Guards against a quota that is not kept, or that others pay for."""

    async def scenario(cluster):
        limited = {**SCHOOL, "ratePerS": 2, "burst": 2}
        front, back = await start(cluster, (CLINIC, limited))
        statuses = []
        # Until the nodes keep tokens, requests with a quota are refused.
        await wait_until_served(front, statuses)
        for number in range(60):
            response = await front.send_request(
                "/b/x", f"id-{number}", headers=with_key("key-3")
            )
            statuses.append(response.status)
        assert statuses.count(200) <= (2 * 5 + 2) * 1.1 + 20
        assert set(statuses) == {200, 429}
        assert response.status == 429
        assert 0 < float(response.header("Retry-After")) <= 6
        other = await front.send_request("/b/x", "id-x", headers=with_key("key-1"))
        assert other.status == 200
        assert len(back.target.runs) == statuses.count(200) + 1

    run_cluster(scenario)


async def wait_until_served(front, statuses):
    """Send requests of the limited organisation until one is served."""
    for number in itertools.count():
        response = await front.send_request(
            "/b/x", f"first-{number}", headers=with_key("key-3")
        )
        statuses.append(response.status)
        if response.status == 200:
            return
        await asyncio.sleep(0.05)


def test_request_that_was_refused_before_it_ran_returns_its_token():
    """Guards against a quota that is used up by requests that no target has run."""

    async def scenario(cluster):
        limited = {**SCHOOL, "ratePerS": 100, "burst": 100}
        front, back = await start(cluster, (CLINIC, limited))
        await wait_until_served(front, [])
        returned = []
        front.node.quotas.put_back = lambda name, expires_s: returned.append(name)
        await front.send_request("/b/x", "id-1", headers=with_key("key-3"))
        assert not returned
        back.node.target_side.is_stopping = True
        refused = await front.send_request("/b/x", "id-2", headers=with_key("key-3"))
        assert refused.status == 503
        assert returned == ["school"]

    run_cluster(scenario)


def test_organisations_are_decoded():
    """Guards against a quota, priority or key that ends up in the wrong place."""
    limited = {**SCHOOL, "ratePerS": 40, "burst": 30, "priority": 99}
    document = build_document(1, ROUTES, ["back"], tenants=[CLINIC, limited])
    configuration = decode_configuration(document)
    found = configuration.organisations.organisations
    assert found["clinic"].quota is None
    assert found["school"].quota == (40, 30)
    assert found["school"].priority == 7
    held = configuration.organisations.find(with_key("key-3"))
    assert held.organisation.name == "school"
    assert [route.is_public for route in configuration.routes["h.example"]] == [
        True,
        False,
    ]


@pytest.mark.parametrize(
    "tenants",
    [
        [CLINIC, {**SCHOOL, "apiKeys": ["key-1"]}],
        [CLINIC, {**SCHOOL, "name": "clinic"}],
        [{**SCHOOL, "name": "a\r\nb: c"}],
        [{**SCHOOL, "name": ""}],
        [{**SCHOOL, "apiKeys": [1]}],
        [{**SCHOOL, "ratePerS": "many"}],
        [{"apiKeys": ["key-3"]}],
        {"clinic": ["key-1"]},
    ],
)
def test_ambiguous_organisations_are_no_configuration(tenants):
    """Guards against a key of two organisations, and a name that is no header value."""
    document = build_document(1, ROUTES, ["back"], tenants=tenants)
    assert decode_configuration(document) is None


def test_declared_but_empty_organisations_admit_nobody():
    """Guards against open access after the last organisation has left."""
    document = build_document(1, ROUTES, ["back"], tenants=[])
    configuration = decode_configuration(document)
    assert configuration.organisations.find(with_key("key-1")).organisation is None
    digests = vars(configuration.organisations)["_by_digest"]
    assert digest_key("key-1") not in digests


def test_downloads_may_be_repeated():
    """Guards against downloads that get no second attempt after a doubt."""
    route = {"pathPrefix": "/d/", "service": "back", "routeType": "download"}
    configuration = decode_configuration(build_document(1, [route], ["back"]))
    (found,) = configuration.routes["h.example"]
    assert found.request_class.is_idempotent
