"""Tests of membership over the links between nodes, with real sockets."""

import random
import time

import msgspec
import pynng
import pytest
from hypothesis import given
from hypothesis import strategies as st
from mesh.fakes import run_with_timeout
from node.control_mesh import ControlMesh, until

from mimosaloom_control import Announce, Leave, Member, Suspect
from mimosaloom_node.link_messages import (
    MAX_MESSAGE_BYTES,
    ConfigRecords,
    Envelope,
    Heartbeat,
    MemberUpdates,
    RejectReason,
    decode_envelope,
    encode_envelope,
)

pytestmark = pytest.mark.sockets

OLD = "0000000000001-00000000"
FUTURE = "fffffffffffff-00000000"
NAMES = [f"n-{number}" for number in range(4)]


def _statuses(planes, name):
    return [plane.network.index.table.find(name).status.value for plane in planes]


def _member(name, incarnation, *, port=9):
    return Member(
        name=name,
        region="r1",
        service="a",
        upstream=f"up-{name}",
        failure_domain="z1",
        host="127.0.0.1",
        ingress_port=port,
        admin_port=port,
        control_port=port,
        slots=1,
        max_connections=1,
        incarnation=incarnation,
    )


@given(st.binary(max_size=200))
@pytest.mark.fuzz
def test_any_bytes_are_decoded_or_rejected(data):
    """No sequence of bytes from an unknown sender may crash a node."""
    assert isinstance(decode_envelope(data), Envelope | RejectReason)


def test_drain_and_leave_reach_all_nodes_without_the_log():
    """A leaving node must stop receiving calls even while the log is down."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many(NAMES)
        mesh.store.update_options({"is_down": True})
        others = planes[1:]
        planes[0].network.publish(planes[0].network.announcer.drain())
        await until(
            lambda: all(
                {c.name for c in p.candidates("a") if c.is_draining} == {"up-n-0"}
                for p in others
            )
        )
        await mesh.planes.pop("n-0").close()
        await until(lambda: set(_statuses(others, "n-0")) <= {"left", "dead"})
        assert all(len(p.candidates("a")) == 3 for p in others)
        await mesh.close()

    run_with_timeout(body)


def test_silent_link_is_replaced():
    """A connection that no longer delivers messages must not isolate a live node."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many(NAMES[:3])
        network = planes[0].network
        # A socket without a connection simulates a link that has gone silent.
        url, push = network.links._push_sockets["n-1"]
        dead_end = pynng.Push0(send_buffer_size=1000)
        network.links._push_sockets["n-1"] = url, dead_end
        await until(lambda: network.links._push_sockets["n-1"][1] is not dead_end)
        push.close()
        before = planes[1].network.links.traffic.received_messages
        await until(
            lambda: planes[1].network.links.traffic.received_messages > before + 20
        )
        await until(lambda: _statuses(planes, "n-0") == ["alive"] * 3)
        assert len(planes[1].candidates("a")) == 3
        await mesh.close()

    run_with_timeout(body)


def test_late_update_of_an_old_incarnation_is_rejected():
    """A delayed leave of an old incarnation must not remove the new one."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many(NAMES[:3])
        first = planes[0].network.announcer.current_update().member
        await mesh.planes["n-0"].close()
        await until(lambda: set(_statuses(planes[1:], "n-0")) <= {"left", "dead"})
        restarted = await mesh.start("n-0")
        live = [restarted, *planes[1:]]
        await until(lambda: _statuses(live, "n-0") == ["alive"] * 3)
        late = MemberUpdates([Leave(id="late", member=first, sequence=99)])
        links = planes[1].network.links
        links.send("n-2", late)
        rejected = planes[2].network.links.rejected
        await until(lambda: rejected[RejectReason.OLD_UPDATE] >= 1)
        assert _statuses(live, "n-0") == ["alive"] * 3
        incarnation = restarted.network.announcer.current_update().member.incarnation
        assert planes[2].network.index.live["n-0"].incarnation == incarnation
        await mesh.close()

    run_with_timeout(body)


def test_falsely_suspected_node_becomes_alive_again():
    """The false suspicions of two monitors must not remove a node permanently."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many(NAMES)
        network = planes[0].network
        for monitor in ("n-1", "n-2"):
            view = network.index.table.find("n-3")
            network.publish(
                Suspect(
                    name="n-3",
                    incarnation=view.incarnation,
                    sequence=view.sequence,
                    monitor=monitor,
                )
            )
        await until(lambda: planes[3].network.announcer.current_update().sequence > 0)
        await until(lambda: _statuses(planes, "n-3") == ["alive"] * 4)
        await mesh.close()

    run_with_timeout(body)


def test_partitions_that_consider_each_other_dead_merge():
    """After a network partition between regions, all nodes must find each other."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many(NAMES)
        halves = (planes[:2], planes[2:])
        for half, other in (halves, halves[::-1]):
            for plane in half:
                for lost in other:
                    view = plane.network.index.table.find(lost.network.name)
                    for monitor in ("x-1", "x-2"):
                        plane.network.index.apply(
                            Suspect(
                                name=lost.network.name,
                                incarnation=view.incarnation,
                                sequence=view.sequence,
                                monitor=monitor,
                            ),
                            time.monotonic(),
                        )
                    plane.network.links.close_link(lost.network.name)
                assert len(plane.network.index.live) == 2
        await until(lambda: all(len(p.network.index.live) == 4 for p in planes))
        await until(lambda: len({p.network.index.digest for p in planes}) == 1)
        await mesh.close()

    run_with_timeout(body)


def test_forged_and_malformed_messages_are_counted_and_dropped():
    """A forged or malformed message must neither change state nor crash the node."""

    async def body():
        mesh = ControlMesh()
        planes = await mesh.start_many(NAMES[:3])
        network = planes[0].network
        known = network.index.live["n-1"].incarnation
        # Later than the start of all nodes, but not in the future.
        later = f"{int(time.time() * 1000):013x}-00000000"
        heartbeat = Heartbeat(1, 0, 0, 10**9, "")
        suspicion = Suspect(name="n-2", incarnation=later, sequence=0, monitor="n-1")
        foreign = Announce(id="x", member=_member("n-1", later))
        future = Announce(id="x", member=_member("n-2", FUTURE))
        messages = {
            RejectReason.MALFORMED: b"\xc1" + random.Random(3).randbytes(64),
            RejectReason.OVERSIZED: b"x" * (MAX_MESSAGE_BYTES + 1),
            RejectReason.UNKNOWN_VERSION: msgspec.msgpack.encode([9, {}]),
            RejectReason.OWN_NAME: encode_envelope("n-0", known, heartbeat),
            RejectReason.OLD_INCARNATION: encode_envelope("n-1", OLD, heartbeat),
            RejectReason.UNKNOWN_SENDER: encode_envelope("n-7", known, heartbeat),
            RejectReason.FORGED_INCARNATION: encode_envelope(
                "n-1", known, MemberUpdates([foreign])
            ),
            RejectReason.FUTURE_INCARNATION: encode_envelope(
                "n-1", known, MemberUpdates([future])
            ),
            RejectReason.UNSOLICITED: encode_envelope(
                "n-2", network.index.live["n-2"].incarnation, ConfigRecords(0, [b"{}"])
            ),
        }
        before = {name: network.index.table.find(name).member for name in NAMES[:3]}
        counted = network.links.rejected
        with pynng.Push0(dial=f"tcp://127.0.0.1:{planes[0].address.port}") as sender:
            for reason, data in messages.items():
                await sender.asend(data)
                await until(lambda reason=reason: counted[reason] == 1)
            forged = encode_envelope("n-1", known, MemberUpdates([suspicion]))
            await sender.asend(forged)
            await until(lambda: counted[RejectReason.FORGED_INCARNATION] == 2)
            # Above the receive limit: the connection is closed, the node keeps running.
            await sender.asend(b"x" * (8 * MAX_MESSAGE_BYTES))
        received = network.links.traffic.received_messages
        await until(lambda: network.links.traffic.received_messages > received + 20)
        after = {name: network.index.table.find(name).member for name in NAMES[:3]}
        assert after == before
        assert planes[0].config.next_offset == 0
        await mesh.close()

    run_with_timeout(body)
