"""Steps of operators: changes of the configuration by the command line."""

import asyncio
import json
import os
import sys
from pathlib import Path

from mimosaloom_cli import ExitCode

from ..deployment import get_json
from .registry import check, step
from .world import CommandResult, NotMet, World, wait_until

__all__: list[str] = []

COMMAND_TIMEOUT_S = 30.0
ALLOWANCE = ("RetryAllowance", "default")


@step("the resources of the mesh are applied")
async def apply_mesh(world: World) -> None:
    """Append the declared resources to the configuration."""
    result = await _apply(world, world.directory / "resources.json", "setup")
    if result.code != ExitCode.OK:
        raise NotMet(f"apply ended with {result.code}: {result.text}")


@step("an operator changes the budget ratio to {ratio:g}")
async def change_ratio(world: World, ratio: float) -> None:
    """Apply one change of the retry allowance, without a stated revision."""
    path = _write_change(world, ratio, "one", None)
    world.commands = [await _apply(world, path, "one")]


@step("an operator begins to change the budget ratio to {ratio:g}")
async def begin_change(world: World, ratio: float) -> None:
    """Apply one change in the background; the next checks wait for it."""
    path = _write_change(world, ratio, "one", None)

    async def change() -> None:
        world.commands = [await _apply(world, path, "one")]

    world.loads.append(asyncio.create_task(change()))


@step("two operators change the budget ratio at once")
async def change_at_once(world: World) -> None:
    """Apply two different changes of the revision in force at the same time."""
    revision = (await _read_allowance(world))["revision"]
    world.commands = await asyncio.gather(
        *(
            _apply(world, _write_change(world, ratio, author, revision), author)
            for ratio, author in ((0.2, "first"), (0.3, "second"))
        )
    )


@step("two operators change the budget ratio without the revision that they saw")
async def change_unseen(world: World) -> None:
    """Apply two changes one after the other; the second one overwrites the first."""
    world.commands = [
        await _apply(world, _write_change(world, ratio, author, None), author)
        for ratio, author in ((0.2, "first"), (0.3, "second"))
    ]


def _write_change(
    world: World, ratio: float, author: str, revision: int | None
) -> Path:
    documents = world.deployment.plan.documents()
    change = next(d for d in documents if (d["kind"], d["name"]) == ALLOWANCE)
    change["spec"] = {**change["spec"], "budget_ratio": ratio}
    if revision is not None:
        change["revision"] = revision
    path = world.directory / f"change-{author}-{ratio:g}.json"
    path.write_text(json.dumps({"resources": [change]}))
    return path


async def _apply(world: World, path: Path, author: str) -> CommandResult:
    return await _run(world, "apply", "-f", str(path), "--author", author)


async def _run(world: World, *arguments: str) -> CommandResult:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mimosaloom_cli",
        *arguments,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env=os.environ | {"MIMOSALOOM_LOG_URL": world.deployment.log_url},
    )
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            output, _ = await process.communicate()
    except BaseException:
        process.kill()
        await process.wait()
        raise
    return CommandResult(process.returncode, output.decode())


async def _read_allowance(world: World) -> dict:
    result = await _run(world, "get", *ALLOWANCE, "-o", "json")
    if result.code != ExitCode.OK:
        raise NotMet(f"get ended with {result.code}: {result.text}")
    return json.loads(result.text)["resources"][0]


def _expect_codes(world: World, wanted: list[ExitCode]) -> None:
    found = sorted(result.code for result in world.commands)
    if found != sorted(wanted):
        texts = "; ".join(result.text.strip() for result in world.commands)
        raise NotMet(f"the commands ended with {found}: {texts}")


@check("one change is accepted and the other conflicts")
async def check_conflict(world: World) -> None:
    """Exactly one of two changes is accepted."""
    await world.settle()
    _expect_codes(world, [ExitCode.OK, ExitCode.CONFLICT])


@check("the change is accepted")
async def check_accepted(world: World) -> None:
    """The one change was accepted."""
    await world.settle()
    _expect_codes(world, [ExitCode.OK])


@check("the change is refused because the log service is down")
async def check_unavailable(world: World) -> None:
    """The one change was not accepted and the command says so."""
    await world.settle()
    _expect_codes(world, [ExitCode.UNAVAILABLE])


@check("the budget ratio in force is {ratio:g}")
async def check_ratio(world: World, ratio: float) -> None:
    """What operators read is what was accepted."""
    found = await _read_allowance(world)
    if found["spec"]["budget_ratio"] != ratio:
        raise NotMet(f"in force is {found}")
    if found["revision"] <= world.revision:
        raise NotMet(f"revision {found['revision']} is not after {world.revision}")
    world.note(f"revision {found['revision']}, before {world.revision}")


@step("operators note the revision in force")
async def note_revision(world: World) -> None:
    """Keep the revision for the next check of what is in force."""
    world.revision = (await _read_allowance(world))["revision"]


@check("the budget ratio in force is that of the accepted change")
async def check_winner(world: World) -> None:
    """The change whose command was told of success is the one in force."""
    found = await _read_allowance(world)
    ratios = [
        ratio
        for result, ratio in zip(world.commands, (0.2, 0.3), strict=True)
        if result.code == ExitCode.OK
    ]
    if ratios != [found["spec"]["budget_ratio"]]:
        raise NotMet(f"accepted were {ratios}, in force is {found['spec']}")


@check("every node has that revision in force within seconds")
async def check_everywhere(world: World) -> None:
    """Each node that runs puts the noted revision in force; its status says so."""

    def is_everywhere() -> bool:
        return set(_read_revisions(world).values()) == {world.revision}

    await wait_until(f"revision {world.revision} is in force", is_everywhere)
    world.note(f"revision {world.revision} at {len(_read_revisions(world))} nodes")


@check("every node still has that revision in force")
async def check_no_way_back(world: World) -> None:
    """No node has gone back to an earlier revision."""
    revisions = _read_revisions(world)
    if set(revisions.values()) != {world.revision}:
        raise NotMet(f"in force are {revisions}, not {world.revision}")


def _read_revisions(world: World) -> dict[str, int]:
    """Return the revision of the allowance at each node that runs."""
    name = "/".join(ALLOWANCE)
    urls = world.deployment.admin_urls
    return {
        upstream: get_json(f"{urls[upstream]}/status")["config"]["resources"][name]
        for upstream, node in world.deployment.nodes.items()
        if node.is_running
    }


@check("the log holds the change {count:d} times at least")
async def check_appended(world: World, count: int) -> None:
    """The lost append answer made the command append its change again."""
    url = f"{world.deployment.log_url}/streams/config/records?from=0&limit=1000"
    page = await asyncio.to_thread(get_json, url)
    ids = [record["value"]["id"] for record in page["records"]]
    most = max(ids.count(one) for one in ids)
    if most < count:
        raise NotMet(f"no record was appended more than {most} times")
