"""Tests of tasks that run in the background."""

import asyncio

from mimosaloom_relay.task_set import TaskSet


class Lines:
    """Log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def change(self, message_type, **fields):
        """Keep a line."""
        self.lines.append((message_type, fields))


def test_task_that_fails_is_logged_and_ends_alone():
    """Guards against an unexpected error that nobody sees, or that ends other tasks."""

    async def fail():
        raise OverflowError("port must be 0-65535")

    async def run():
        log, done = Lines(), []
        tasks = TaskSet(log)
        tasks.spawn(fail())
        tasks.spawn(asyncio.sleep(0.01, done.append(1)))
        await asyncio.sleep(0.02)
        return log.lines, done

    lines, done = asyncio.run(run())
    assert [message_type for message_type, _ in lines] == ["task_failed"]
    assert "port must be 0-65535" in lines[0][1]["error"]
    assert done == [1]
