"""Tests of the configuration that a node has in force."""

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mesh.fakes import FakeTarget, run_with_timeout
from node.control_mesh import FAST, ControlMesh, until

from mimosaloom_control import Resource
from mimosaloom_mesh import Endpoint, Request, Transport
from mimosaloom_model import SystemClock, build_catalog, check_documents
from mimosaloom_node import Node
from mimosaloom_node.config_consistency import revert_inconsistent_resources
from mimosaloom_node.config_follower import SnapshotPlan

LOOKUP = {
    "entry_service": "a",
    "priority": 4,
    "is_idempotent": True,
    "retry_allowance": "default",
    "path": ["a"],
}


def _services(names):
    return st.lists(st.sampled_from(names), max_size=2, unique=True)


_SPECS = st.one_of(
    st.tuples(
        st.just("Service"),
        st.sampled_from("abc"),
        st.builds(lambda calls: {"calls": calls}, _services("abc")),
    ),
    st.tuples(
        st.just("RequestClass"),
        st.sampled_from("xy"),
        st.builds(
            lambda path, priority: {**LOOKUP, "path": path, "priority": priority},
            _services("ab"),
            st.integers(-1, 4),
        ),
    ),
    st.tuples(st.just("Service"), st.sampled_from("abc"), st.none()),
    st.tuples(st.just("Gadget"), st.just("g"), st.just({})),
)


@given(st.lists(_SPECS, max_size=12))
def test_any_accepted_resources_give_a_consistent_configuration(changes):
    """Inconsistent resources must neither take effect nor stop the node.

    Each change is accepted on its own, so several can leave an inconsistent set.
    """
    wanted, in_force = {}, {}
    for revision, (kind, name, spec) in enumerate(changes, 1):
        wanted.pop((kind, name), None)
        if spec is not None:
            wanted[kind, name] = Resource(revision, spec)
        consistent = revert_inconsistent_resources(wanted, in_force)
        in_force = consistent.in_force
        documents = [
            {"kind": k, "name": n, "spec": r.spec} for (k, n), r in in_force.items()
        ]
        assert check_documents(documents, "in force") is None
        build_catalog(documents)
        assert {k for k in wanted if in_force.get(k) != wanted[k]} <= set(
            consistent.held_back
        )


def test_deleted_service_stays_while_a_class_needs_it():
    """A class must not keep a dangling reference to a service deleted meanwhile.

    This happens when one operator deletes a service while another one uses it.
    """

    async def body():
        mesh = ControlMesh()
        plane = await mesh.start("n-0")
        mesh.append("Service", "a", {"calls": []})
        mesh.append("RequestClass", "lookup", LOOKUP)
        await until(lambda: plane.config.next_offset == 2)
        mesh.append("Service", "a", None, expected_revision=1)
        mesh.append("Service", "b", {"calls": []}, expected_revision=7)
        mesh.append("Service", "not a name", {})
        await until(lambda: plane.config.next_offset == 5)
        assert set(mesh.catalogs["n-0"].services) == {"a"}
        status = plane.describe()["config"]
        assert status["resources"] == {"RequestClass/lookup": 2, "Service/a": 1}
        assert list(status["held_back"]) == ["Service/a"]
        assert (status["conflicts"], status["bad_records"]) == (1, {"bad_field": 1})
        await mesh.close()

    run_with_timeout(body)


@pytest.mark.sockets
def test_change_is_in_force_on_all_nodes_and_only_readers_read():
    """A change must reach nodes that do not read the log, and outlast its outage."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many([f"n-{i}" for i in range(5)])
        readers = [p for p in planes if p.network.index.is_reader()]
        assert len(readers) == 2
        await until(
            lambda: sum(p.follower.is_log_reachable is not None for p in planes) == 2
        )
        mesh.append("Service", "a", {"calls": []})
        await until(lambda: all(p.config.next_offset == 1 for p in planes))
        mesh.store.update_options({"is_down": True})
        await until(lambda: all(r.follower.is_log_reachable is False for r in readers))
        assert all("a" in mesh.catalogs[f"n-{i}"].services for i in range(5))
        assert len({p.config.position for p in planes}) == 1
        # A node that has neither log nor members gets the state from a contact.
        late = await mesh.start("n-9", contacts=[planes[0].address])
        await until(lambda: late.config.next_offset == 1)
        assert "a" in mesh.catalogs["n-9"].services
        await mesh.close()

    run_with_timeout(body)


@pytest.mark.sockets
def test_expired_records_are_replaced_by_a_snapshot():
    """A node that starts after the first records expired must get all resources."""

    async def body():
        mesh = ControlMesh()
        plan = SnapshotPlan(max_records=4)
        first = await mesh.start("n-0", plan=plan)
        for number in range(6):
            mesh.append("Service", f"s-{number}", {"calls": []})
        await until(lambda: first.config.next_offset == 6)
        await until(lambda: mesh.store.read("config-snapshots", 0, 9, 0).records)
        await first.close()
        snapshots = mesh.store.read("config-snapshots", 0, 9, 0).records
        mesh.store.update_options({"retention_records": 2})
        mesh.append("Service", "s-6", {"calls": []})
        assert mesh.store.read("config", 0, 1, 0).is_gone
        mesh.planes.clear()
        late = await mesh.start("n-1")
        await until(lambda: late.config.next_offset == 7)
        assert len(snapshots) >= 1
        assert set(mesh.catalogs["n-1"].services) == {f"s-{n}" for n in range(7)}
        await mesh.close()

    run_with_timeout(body)


@pytest.mark.sockets
def test_state_of_a_lagging_peer_is_not_adopted():
    """A node must not adopt the older state of a peer that has missed records."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many(["n-0", "n-1"])
        mesh.append("Service", "a", {"calls": []})
        mesh.append("Service", "b", {"calls": []})
        await until(lambda: all(p.config.next_offset == 2 for p in planes))
        mesh.store.update_options({"is_down": True})
        lagging_mesh = ControlMesh()
        lagging_mesh.append("Service", "old", {"calls": []})
        lagging = await lagging_mesh.start("n-2")
        await until(lambda: lagging.config.next_offset == 1)
        lagging_mesh.store.update_options({"is_down": True})
        advances = []
        planes[0].config.add_listener(
            lambda: advances.append(planes[0].config.next_offset)
        )
        late = await mesh.start(
            "n-3", contacts=[lagging.address, planes[0].address, planes[1].address]
        )
        offsets = []
        late.config.add_listener(lambda: offsets.append(late.config.next_offset))
        await until(
            lambda: late.config.next_offset == 2 and len(late.network.index.live) == 4
        )
        await until(lambda: lagging.config.next_offset == 2)
        assert offsets == sorted(offsets)
        assert advances == []
        await asyncio.gather(lagging_mesh.close(), mesh.close())

    run_with_timeout(body)


@pytest.mark.sockets
def test_calls_are_served_during_an_outage_of_the_log():
    """A node must continue to serve with its last configuration."""

    async def body():
        mesh = ControlMesh()
        target = FakeTarget("a-0")
        plane = mesh.build("n-0", timing=FAST)
        settings = plane._settings._replace(
            target=plane._settings.target._replace(url=target.url)
        )
        node = Node(
            settings,
            build_catalog([]),
            plane,
            clock=SystemClock(),
            rng=random.Random(1),
        )
        plane.on_catalog_changed = node.directory.set_catalog
        await node.start()
        mesh.append("Service", "a", {"calls": []})
        mesh.append("RequestClass", "lookup", LOOKUP)
        await until(lambda: "lookup" in node.directory.catalog().classes)
        mesh.store.update_options({"is_down": True})
        await until(lambda: plane.follower.is_log_reachable is False)
        transport = Transport()
        ingress = f"http://127.0.0.1:{node.addresses['ingress'].port}"
        response = await transport.send(
            Endpoint("ingress", ingress, 4),
            Request("POST", "/x", (("Mimosaloom-Class", "lookup"),), b"1"),
            timeout_s=5.0,
        )
        assert (response.status, response.body) == (200, b"a-0:1")
        admin = f"http://127.0.0.1:{node.addresses['admin'].port}"
        response = await transport.send(
            Endpoint("admin", admin, 4), Request(path="/status"), timeout_s=5.0
        )
        status = json.loads(response.body)
        assert status["config"]["is_log_reachable"] is False
        assert status["config"]["resources"]["RequestClass/lookup"] == 2
        await node.close()
        transport.close()
        mesh.log.stop()

    run_with_timeout(body)
