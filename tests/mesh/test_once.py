"""Guards at-most-once runs when connections close while a call waits."""

import asyncio

from mesh.fakes import run_with_timeout

from mimosaloom_mesh.at_most_once import AtMostOnceRunner
from mimosaloom_model import ERROR_ANSWERS, Answered, Ran, Refused, SystemClock
from mimosaloom_policy import RetentionRule, RunTable


def test_call_is_withdrawn_only_when_nobody_waits():
    """Closing one connection must not withdraw a call that a copy still waits for."""

    async def body():
        runner = AtMostOnceRunner(RunTable(), SystemClock())
        release = asyncio.Event()
        withdrawn = []

        async def start():
            await release.wait()
            return Answered(200)

        def ask():
            call = runner.run(
                "key",
                "digest",
                start,
                lambda: withdrawn.append(True),
                stamp=None,
                attempt=1,
            )
            return asyncio.ensure_future(call)

        first, copy = ask(), ask()
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait({first})
        assert withdrawn == []
        last = ask()
        await asyncio.sleep(0)
        copy.cancel()
        await asyncio.wait({copy})
        assert withdrawn == []
        last.cancel()
        await asyncio.wait({last})
        assert withdrawn == [True]
        release.set()
        assert await ask() == Answered(200)

    run_with_timeout(body)


def test_call_without_a_stamp_is_refused_as_not_run():
    """Guards against an attempt without a stamp that ends as an internal failure."""

    async def body():
        rule = RetentionRule("incarnation", 0.0)
        runner = AtMostOnceRunner(RunTable(rule), SystemClock())
        starts = []

        async def start():
            starts.append(True)
            return Answered(200)

        outcome = await runner.run(
            "key", "digest", start, lambda: None, stamp=None, attempt=1
        )
        assert isinstance(outcome, Refused)
        assert ERROR_ANSWERS[outcome.kind].ran is Ran.NO
        assert ERROR_ANSWERS[outcome.kind].is_retryable
        assert starts == []

    run_with_timeout(body)
