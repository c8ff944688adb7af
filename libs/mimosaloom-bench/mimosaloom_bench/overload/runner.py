"""Runs the naive mesh and the mesh with mimosaloom on the same arrivals."""

import random

from .best import count_best
from .client import Client
from .controlled import ControlledMesh
from .fakes import Links, build_targets
from .loop import Loop
from .measures import Run, measure
from .meshes import MESHES, MeshSpec
from .naive import NaiveMesh
from .record import Record
from .scenarios import SCENARIOS, Request, Scenario, make_requests

__all__ = ["run_mesh", "run_overload"]


def run_overload(
    mesh_name: str, scenario_names: list[str], seed: int, shedding: str = "rank"
) -> dict:
    """Run scenarios and return their measures.

    Args:
        mesh_name: Name of the mesh.
        scenario_names: Names of the scenarios.
        seed: Seed of arrivals, service times and choices.
        shedding: How mimosaloom sheds load, see `SHEDDING`.
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
                "best_per_s": round(naive.best / scenario.overload_s, 1),
                "naive": measure(naive),
                "mimosaloom": measure(controlled),
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
) -> Run:
    """Run one scenario on one mesh.

    Args:
        kind: "naive" or "mimosaloom".
        mesh: The mesh.
        scenario: The scenario.
        requests: The arrivals.
        seed: Seed of the choices of nodes and clients.
        shedding: How mimosaloom sheds load.
    """
    loop = Loop()
    record = Record()
    links = Links()
    plan = build_targets(mesh, scenario)
    first = {name: list(targets) for name, targets in plan.targets.items()}
    if kind == "naive":
        system = NaiveMesh(loop, mesh, plan.targets, links, record)
    else:
        system = ControlledMesh(loop, mesh, plan.targets, links, record, seed, shedding)
    client = Client(loop, mesh, system, record, random.Random(f"{seed}/client"))
    client.send_all(requests)
    _schedule_events(loop, mesh, scenario, system, plan.replacements, seed)
    loop.run(scenario.run_s)
    best = count_best(mesh, scenario, first, plan.replacements, requests)
    own = first[mesh.bottleneck]
    return Run(mesh, scenario, own, plan.replacements, requests, record, best)


def _schedule_events(loop, mesh, scenario, system, replacements, seed) -> None:
    if replacements:
        loop.call_at(
            scenario.start_s, system.replace_targets, mesh.bottleneck, replacements
        )
    if scenario.silence is not None:
        pairs = system.pairs()
        count = round(len(pairs) * scenario.silence.pair_ratio)
        chosen = random.Random(f"{seed}/silence").sample(pairs, count)
        loop.call_at(scenario.silence.at_s, system.silence, chosen)
