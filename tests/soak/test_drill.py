"""Single faults of the store with real processes, without other faults."""

import asyncio
from pathlib import Path

import pytest
from soak.checks import STABLE_S
from soak.run import END_TIMEOUT_S, Soak, SoakOptions
from soak.stores import StoreFault

pytestmark = pytest.mark.sockets

ROOT = Path(__file__).parents[2]
# A version has to be in force 2 s after it is published. The rest is for the processes
# of a busy machine; a node that waits for a lost answer takes longer still.
IN_FORCE_TIMEOUT_S = 6.0


@pytest.mark.parametrize("has_paused_node", [False, True])
def test_nodes_apply_the_version_at_an_offset_that_was_given_out_again(
    has_paused_node, tmp_path
):
    """Guards against processes that wait above the record of the newest version.

    The store is back before the nodes can tell that it was away, with as many records
    as they have read. A paused node finds the cut connection only later.
    """

    async def play():
        options = SoakOptions(7, 0.0, 1, 0, 0, ROOT, tmp_path)
        soak = Soak(options)
        try:
            await soak.start()
            copy = soak.store.take_copy()
            soak.operations.publish()
            await wait_for_newest(soak)
            paused = soak.members[0].node
            if has_paused_node:
                paused.pause()
            soak.store.restore(copy)
            soak.operations.publish()
            soak.store.cut_reads()
            if has_paused_node:
                paused.resume()
            await wait_for_newest(soak)
        finally:
            await soak.close()

    asyncio.run(play())


@pytest.mark.parametrize("silence_s", [0.3, 2.0])
def test_version_published_after_a_silence_of_the_store_is_put_in_force(
    silence_s, tmp_path
):
    """Guards against nodes that wait for a poll whose answer is lost.

    The store answers all calls that it receives after the silence.
    """

    async def play():
        options = SoakOptions(8, 0.0, 1, 0, 0, ROOT, tmp_path)
        soak = Soak(options)
        try:
            await soak.start()
            stores = [member.store for member in soak.members]
            for store in stores:
                store.start_fault(StoreFault.SILENT)
            await asyncio.sleep(silence_s)
            for store in stores:
                store.fault = StoreFault.NONE
            await asyncio.sleep(STABLE_S)
            soak.operations.publish()
            await wait_for_newest(soak, IN_FORCE_TIMEOUT_S)
        finally:
            await soak.close()

    asyncio.run(play())


async def wait_for_newest(soak, timeout_s=END_TIMEOUT_S):
    """Wait until the newest version is in force at all nodes."""
    newest = soak.operations.newest.number
    for member in soak.members:
        assert await soak.wait_for_version(member, newest, timeout_s) == newest
