"""The drill of the store with real processes, without other faults."""

import asyncio
from pathlib import Path

import pytest
from soak.run import Soak, SoakOptions

pytestmark = pytest.mark.sockets

ROOT = Path(__file__).parents[2]


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


async def wait_for_newest(soak):
    """Wait until the newest version is in force at all nodes."""
    newest = soak.operations.newest.number
    for member in soak.members:
        assert await soak.wait_for_version(member, newest) == newest
