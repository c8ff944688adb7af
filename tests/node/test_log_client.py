"""Tests of the client of the log service, and of announcements through it."""

import asyncio
import random
import time
from datetime import timedelta

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from mimosaloom_control import MemberUpdate
from mimosaloom_model import (
    Address,
    LogServiceSettings,
    ManualClock,
    NodeIdentity,
    NodeSettings,
    TargetSettings,
)
from mimosaloom_node.control_plane import MEMBERS_STREAM, ControlPlane
from mimosaloom_node.log_client import (
    Appended,
    AppendUnknown,
    LogClient,
    NotAppended,
    OffsetExpired,
    Page,
    ReadFailed,
    follow_stream,
)
from mimosaloom_node.member_index import MemberIndex
from mimosaloom_node.membership import LocalNode
from mimosaloom_standins import LogOptions, LogStore, build_log_application

pytestmark = pytest.mark.sockets
GIVE_UP_AFTER = timedelta(seconds=60)


def run_with_log(scenario, **options):
    """Run `scenario(store, client, delays)` against a log service on loopback."""

    async def run():
        store = LogStore(LogOptions(**options), time.monotonic())
        server = HTTPServer(build_log_application(store))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        clock = ManualClock()
        delays = []

        async def sleep(delay_s):
            delays.append(delay_s)
            clock.advance(timedelta(seconds=delay_s))
            if len(delays) > 2:
                store.update_options({"is_down": False, "appends_per_s": 1e6})
            await asyncio.sleep(0)

        url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        settings = LogServiceSettings(url, timeout_s=20.0)
        client = LogClient(settings, clock, random.Random(7), sleep=sleep)
        try:
            await scenario(store, client, delays)
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def test_append_with_lost_answer_is_retried_with_the_same_id():
    """A retry after a lost answer must not append a record with another id."""

    async def scenario(store, client, delays):
        outcome = await client.append("s", {"a": 1}, timeout=GIVE_UP_AFTER)
        assert outcome == Appended(1)
        page = await client.read("s", 0)
        ids = [record.value["id"] for record in page.records]
        assert len(ids) == 2
        assert len(set(ids)) == 1

    run_with_log(scenario, lose_answers=1)


def test_giving_up_after_a_lost_answer_is_unknown_not_refused():
    """A record that may be in the log must not be reported as not appended."""

    async def scenario(store, client, delays):
        outcome = await client.append("s", {}, timeout=timedelta(0))
        assert isinstance(outcome, AppendUnknown)
        store.update_options({"is_down": True})
        outcome = await client.append("s", {}, timeout=timedelta(0))
        assert isinstance(outcome, NotAppended)
        assert isinstance(await client.read("s", 0), ReadFailed)

    run_with_log(scenario, lose_answers=1)


def test_append_over_the_rate_limit_is_retried_with_backoff():
    """A 429 must not lose the append, and retries must be delayed."""

    async def scenario(store, client, delays):
        first = await client.append("s", {}, timeout=GIVE_UP_AFTER)
        second = await client.append("s", {}, timeout=GIVE_UP_AFTER)
        assert (first, second) == (Appended(0), Appended(1))
        assert store.rate_refusals == len(delays) == 3
        assert all(delay_s > 0 for delay_s in delays)

    run_with_log(scenario, appends_per_s=1e-6)


def test_follow_continues_after_expired_records():
    """A reader below the oldest retained offset must not be stuck there."""

    async def scenario(store, client, delays):
        for number in range(9):
            await client.append("s", {"n": number}, timeout=GIVE_UP_AFTER)
        assert await client.read("s", 0) == OffsetExpired(5)
        seen = []
        done = asyncio.Event()

        def apply(page: Page):
            seen.extend(record.value["n"] for record in page.records)
            if seen[-1] == 9:
                done.set()

        task = asyncio.create_task(follow_stream(client, "s", apply))
        await client.append("s", {"n": 9}, timeout=GIVE_UP_AFTER)
        await done.wait()
        task.cancel()
        assert seen[-4:] == [6, 7, 8, 9]

    run_with_log(scenario, retention_records=4)


def test_member_is_announced_once_the_outage_is_over():
    """A node that starts during an outage of the log must be announced afterwards."""

    async def scenario(store, client, delays):
        settings = NodeSettings(
            NodeIdentity("n1", "r", "d1"),
            TargetSettings("billing", "b1", "http://127.0.0.1:9"),
            LogServiceSettings("http://127.0.0.1:9"),
        )
        plane = ControlPlane(
            settings, client, [], clock=ManualClock(), rng=random.Random(1)
        )
        own = LocalNode(
            "0123456789abc-01234567", Address("127.0.0.1", 1), Address(), 4, 5
        )
        plane.open_listener()
        await plane.join(own)
        page = await client.read(MEMBERS_STREAM, 0)
        while not (isinstance(page, Page) and page.records):
            await asyncio.sleep(0)
            page = await client.read(MEMBERS_STREAM, 0)
        await plane.close()
        index = MemberIndex("other", "d1")
        update = msgspec.convert(page.records[0].value, MemberUpdate)
        assert index.apply(update, 0.0)
        assert [c.name for c in index.candidates("billing")] == ["b1"]

    run_with_log(scenario, is_down=True)
