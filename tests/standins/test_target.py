import asyncio

from mimosaloom_standins import Target, TargetOptions
from mimosaloom_standins.record import CallIdentity
from mimosaloom_standins.target import NextAnswer


async def fail_on_call(service):
    """Fail: the service of the target is the last one on the path."""
    raise AssertionError(f"unexpected call of {service}")


def build_identity(call_id, remaining_ms=None):
    """Build the identity of a call."""
    return CallIdentity("r" + call_id, call_id, 1, "fee", remaining_ms, "t" + call_id)


def test_cancelled_run_is_recorded_as_not_whole_and_frees_its_slot():
    """Guards against slots that leak, and against cancelled runs counted as whole."""

    async def scenario():
        target = Target(TargetOptions(slots=1, service_time_s=3600.0))
        first = asyncio.create_task(target.run(build_identity("1"), fail_on_call))
        waiting = asyncio.create_task(target.run(build_identity("2"), fail_on_call))
        for _ in range(5):
            await asyncio.sleep(0)
        assert target.cancel("2") == "waiting"
        assert target.cancel("1") == "running"
        assert target.cancel("3") == "unknown"
        assert (await first)[:2] == (499, "yes")
        assert (await waiting)[:2] == (499, "no")
        target.update_options({"service_time_s": 0.0})
        assert (await target.run(build_identity("4"), fail_on_call)).status == 200
        runs = target.record.read_runs()
        assert [(run["call_id"], run["end"], run["is_whole"]) for run in runs] == [
            ("1", "cancelled", False),
            ("4", "whole", True),
        ]
        assert target.in_flight == 0

    asyncio.run(scenario())


def test_refused_calls_leave_no_run():
    """Guards against refused calls that are recorded as runs.

    Each would count as a not-run violation, although nothing ran.
    """

    async def scenario():
        target = Target(TargetOptions(slots=1, max_waiting=1, service_time_s=3600.0))
        first = asyncio.create_task(target.run(build_identity("1"), fail_on_call))
        waiting = asyncio.create_task(
            target.run(build_identity("2", remaining_ms=0), fail_on_call)
        )
        for _ in range(5):
            await asyncio.sleep(0)
        assert (await target.run(build_identity("3"), fail_on_call))[:2] == (503, "no")
        target.cancel("1")
        await first
        assert (await waiting)[:2] == (504, "no")
        target.update_options({"is_draining": True})
        assert (await target.run(build_identity("4"), fail_on_call))[:2] == (503, "no")
        assert [run["call_id"] for run in target.record.read_runs()] == ["1"]

    asyncio.run(scenario())


def test_answer_nests_the_next_hop_and_a_failure_below_is_not_whole():
    """Guards against answers from which the client can't see which services ran."""

    async def scenario():
        answers = [NextAnswer(200, {"service": "b"}), NextAnswer(503, {"kind": "x"})]

        async def call_next(service):
            assert service == "b"
            return answers.pop(0)

        options = TargetOptions(
            service="a", service_time_s=0.0, paths={"fee": ["a", "b"]}
        )
        target = Target(options)
        whole = await target.run(build_identity("1"), call_next)
        assert whole.status == 200
        assert whole.body["request_id"] == "r1"
        assert whole.body["next"] == {"service": "b"}
        failed = await target.run(build_identity("2"), call_next)
        assert (failed.status, failed.ran) == (502, "yes")
        ends = [run["end"] for run in target.record.read_runs()]
        assert ends == ["whole", "failed_downstream"]

    asyncio.run(scenario())
