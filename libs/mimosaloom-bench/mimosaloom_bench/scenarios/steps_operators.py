"""Steps of operators, who change the configuration with the command line."""

import asyncio
import json
import os
import sys
from pathlib import Path

from mimosaloom_cli import ExitCode

from ..deployment import get_json
from .registry import check, step
from .world import CommandResult, StepFailed, World, wait_until

__all__: list[str] = []

COMMAND_TIMEOUT_S = 30.0
ALLOWANCE = ("RetryAllowance", "default")


@step("the resources of the mesh are applied")
async def apply_mesh(world: World) -> None:
    """Apply the resources of the mesh to the configuration."""
    result = await _apply(world, world.directory / "resources.json", "setup")
    if result.code != ExitCode.OK:
        raise StepFailed(f"`apply` ended with exit code {result.code}: {result.text}")


@step("an operator changes the budget ratio to {ratio:g}")
async def change_ratio(world: World, ratio: float) -> None:
    """Apply a change of the retry allowance without an expected revision."""
    path = _write_change(world, ratio, "one", None)
    world.command_results = [await _apply(world, path, "one")]


@step("an operator begins to change the budget ratio to {ratio:g}")
async def begin_change(world: World, ratio: float) -> None:
    """Apply a change in the background; checks of its result wait for it."""
    path = _write_change(world, ratio, "one", None)

    async def change() -> None:
        world.command_results = [await _apply(world, path, "one")]

    world.load_tasks.append(asyncio.create_task(change()))


@step("two operators change the budget ratio at once")
async def change_concurrently(world: World) -> None:
    """Apply two different changes concurrently, both to the revision in force."""
    revision = (await _read_allowance(world))["revision"]
    world.command_results = await asyncio.gather(
        *(
            _apply(world, _write_change(world, ratio, author, revision), author)
            for ratio, author in ((0.2, "first"), (0.3, "second"))
        )
    )


@step("two operators change the budget ratio without the revision that they saw")
async def change_without_revision(world: World) -> None:
    """Apply two changes one after the other without an expected revision.

    The second change overwrites the first one.
    """
    world.command_results = [
        await _apply(world, _write_change(world, ratio, author, None), author)
        for ratio, author in ((0.2, "first"), (0.3, "second"))
    ]


def _write_change(
    world: World, ratio: float, author: str, revision: int | None
) -> Path:
    """Write a resource file with a changed budget ratio and return its path."""
    documents = world.deployment.plan.build_documents()
    change = next(d for d in documents if (d["kind"], d["name"]) == ALLOWANCE)
    change["spec"] = {**change["spec"], "budget_ratio": ratio}
    if revision is not None:
        change["revision"] = revision
    path = world.directory / f"change-{author}-{ratio:g}.json"
    path.write_text(json.dumps({"resources": [change]}))
    return path


async def _apply(world: World, path: Path, author: str) -> CommandResult:
    """Run `mimosaloom apply` on a resource file."""
    return await _run_command(world, "apply", "-f", str(path), "--author", author)


async def _run_command(world: World, *arguments: str) -> CommandResult:
    """Run the command line in a process and return its result."""
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
    result = await _run_command(world, "get", *ALLOWANCE, "-o", "json")
    if result.code != ExitCode.OK:
        raise StepFailed(f"`get` ended with exit code {result.code}: {result.text}")
    return json.loads(result.text)["resources"][0]


def _require_codes(world: World, expected: list[ExitCode]) -> None:
    codes = sorted(result.code for result in world.command_results)
    if codes != sorted(expected):
        texts = "; ".join(result.text.strip() for result in world.command_results)
        raise StepFailed(f"the commands ended with exit codes {codes}: {texts}")


@check("one change is accepted and the other conflicts")
async def check_conflict(world: World) -> None:
    """Check that exactly one of two changes was accepted and the other conflicted."""
    await world.finish_loads()
    _require_codes(world, [ExitCode.OK, ExitCode.CONFLICT])


@check("the change is accepted")
async def check_accepted(world: World) -> None:
    """Check that the last change was accepted."""
    await world.finish_loads()
    _require_codes(world, [ExitCode.OK])


@check("the change is refused because the log service is down")
async def check_unavailable(world: World) -> None:
    """Check that the last command reported that the log service is unavailable."""
    await world.finish_loads()
    _require_codes(world, [ExitCode.UNAVAILABLE])


@check("the budget ratio in force is {ratio:g}")
async def check_ratio(world: World, ratio: float) -> None:
    """Check the budget ratio that operators read and that its revision is new."""
    document = await _read_allowance(world)
    if document["spec"]["budget_ratio"] != ratio:
        raise StepFailed(f"the retry allowance in force is {document}")
    if document["revision"] <= world.noted_revision:
        raise StepFailed(
            f"revision {document['revision']} is not above {world.noted_revision}"
        )
    world.note(f"revision {document['revision']}, previously {world.noted_revision}")


@step("operators note the revision in force")
async def note_revision(world: World) -> None:
    """Note the revision in force for later checks."""
    world.noted_revision = (await _read_allowance(world))["revision"]


@check("the budget ratio in force is that of the accepted change")
async def check_accepted_in_force(world: World) -> None:
    """Check that the change whose command succeeded is the one in force."""
    document = await _read_allowance(world)
    ratios = [
        ratio
        for result, ratio in zip(world.command_results, (0.2, 0.3), strict=True)
        if result.code == ExitCode.OK
    ]
    if ratios != [document["spec"]["budget_ratio"]]:
        raise StepFailed(f"accepted ratios: {ratios}; in force: {document['spec']}")


@check("every node has that revision in force within seconds")
async def check_revision_on_all_nodes(world: World) -> None:
    """Check that each running node puts the noted revision in force.

    The revision is read from the status of the nodes.
    """

    def is_in_force() -> bool:
        return set(_read_revisions(world).values()) == {world.noted_revision}

    await wait_until(f"revision {world.noted_revision} is in force", is_in_force)
    world.note(
        f"revision {world.noted_revision} on {len(_read_revisions(world))} nodes"
    )


@check("every node still has that revision in force")
async def check_revision_kept(world: World) -> None:
    """Check that no node has returned to an earlier revision."""
    revisions = _read_revisions(world)
    if set(revisions.values()) != {world.noted_revision}:
        raise StepFailed(
            f"revisions in force are {revisions}, not {world.noted_revision}"
        )


def _read_revisions(world: World) -> dict[str, int]:
    """Return the revision of the retry allowance on each running node."""
    name = "/".join(ALLOWANCE)
    urls = world.deployment.admin_urls
    return {
        upstream: get_json(f"{urls[upstream]}/status")["config"]["resources"][name]
        for upstream, node in world.deployment.nodes.items()
        if node.is_running
    }


@check("the log holds the change {count:d} times at least")
async def check_appended(world: World, count: int) -> None:
    """Check that a lost append answer made the command append its change again."""
    url = f"{world.deployment.log_url}/streams/config/records?from=0&limit=1000"
    page = await asyncio.to_thread(get_json, url)
    ids = [record["value"]["id"] for record in page["records"]]
    max_appends = max(ids.count(record_id) for record_id in ids)
    if max_appends < count:
        raise StepFailed(f"no record was appended more than {max_appends} times")
