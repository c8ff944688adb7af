"""Runs the naive mesh and the mesh with mimosaloom on the same arrivals."""

import random

from .client import Client
from .controlled import ControlledMesh
from .loop import Loop
from .measures import BenchRun, measure_run
from .meshes import MESHES, MeshSpec
from .naive import NaiveMesh
from .record import Record
from .scenarios import SCENARIOS, Request, Scenario, make_requests
from .simulated_targets import Links, build_targets
from .upper_bound import max_whole_answers

__all__ = ["run_mesh", "run_overload"]


def run_overload(
    mesh_name: str, scenario_names: list[str], seed: int, shedding: str = "rank"
) -> dict:
    """Run scenarios on both meshes and return the measures of each.

    Args:
        mesh_name: Name of the mesh.
        scenario_names: Names of the scenarios.
        seed: Seed of the arrivals, service times and random choices.
        shedding: How mimosaloom sheds load; one of `SHEDDING_MODES`.
    """
    mesh = MESHES[mesh_name]
    results = []
    for name in scenario_names:
        scenario = SCENARIOS[name]
        requests = make_requests(mesh, scenario, seed)
        naive = run_mesh("naive", mesh, scenario, requests, seed, shedding)
        controlled = run_mesh("mimosaloom", mesh, scenario, requests, seed, shedding)
        results.append(
            {
                "scenario": name,
                "best_per_s": round(naive.max_answers / scenario.overload_s, 1),
                "naive": measure_run(naive),
                "mimosaloom": measure_run(controlled),
            }
        )
    return {
        "mesh": mesh_name,
        "seed": seed,
        "shedding": shedding,
        "scenarios": results,
    }


def run_mesh(
    kind: str,
    mesh: MeshSpec,
    scenario: Scenario,
    requests: list[Request],
    seed: int,
    shedding: str = "rank",
) -> BenchRun:
    """Run one scenario on one mesh.

    Args:
        kind: "naive" or "mimosaloom".
        mesh: The mesh.
        scenario: The scenario.
        requests: The arrivals, sorted by time.
        seed: Seed of the random choices of nodes and clients.
        shedding: How mimosaloom sheds load; one of `SHEDDING_MODES`.
    """
    loop = Loop()
    record = Record()
    links = Links()
    plan = build_targets(mesh, scenario)
    initial_targets = {name: list(targets) for name, targets in plan.targets.items()}
    if kind == "naive":
        simulated_mesh = NaiveMesh(loop, mesh, plan.targets, links, record)
    else:
        simulated_mesh = ControlledMesh(
            loop, mesh, plan.targets, links, record, seed, shedding
        )
    client = Client(loop, mesh, simulated_mesh, record, random.Random(f"{seed}/client"))
    client.send_all(requests)
    _schedule_events(loop, mesh, scenario, simulated_mesh, plan.replacements, seed)
    loop.run(scenario.run_end_s)
    max_answers = max_whole_answers(
        mesh, scenario, initial_targets, plan.replacements, requests
    )
    bottleneck_targets = initial_targets[mesh.bottleneck]
    return BenchRun(
        mesh,
        scenario,
        bottleneck_targets,
        plan.replacements,
        requests,
        record,
        max_answers,
    )


def _schedule_events(loop, mesh, scenario, simulated_mesh, replacements, seed) -> None:
    if replacements:
        loop.call_at(
            scenario.start_s,
            simulated_mesh.replace_targets,
            mesh.bottleneck,
            replacements,
        )
    if scenario.silence is not None:
        pairs = simulated_mesh.connection_pairs()
        count = round(len(pairs) * scenario.silence.pair_ratio)
        chosen = random.Random(f"{seed}/silence").sample(pairs, count)
        loop.call_at(scenario.silence.at_s, simulated_mesh.silence_connections, chosen)
