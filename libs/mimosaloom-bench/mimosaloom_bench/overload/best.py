"""The best goodput that the capacity allows, as an upper bound."""

from .fakes import SAME_DOMAIN_S, Target
from .meshes import MeshSpec, class_rates
from .scenarios import Request, Scenario

__all__ = ["WINDOW_S", "bottleneck_capacity", "count_best", "live_targets"]

WINDOW_S = 1.0
STEPS_PER_WINDOW = 10


def live_targets(
    targets: list[Target], replacements: list[Target], at_s: float, scenario: Scenario
) -> list[Target]:
    """Return the targets of the bottleneck that take calls at a time."""
    if at_s < scenario.start_s:
        return targets
    return replacements + targets[len(replacements) :]


def bottleneck_capacity(targets: list[Target], at_s: float) -> float:
    """Return the calls per second that targets can run with all slots in use."""
    return sum(target.slots / target.mean_work_s(at_s) for target in targets)


def count_best(
    mesh: MeshSpec,
    scenario: Scenario,
    targets: dict[str, list[Target]],
    replacements: list[Target],
    requests: list[Request],
) -> float:
    """Return the most whole answers that any mesh could give during the overload.

    For each service on its own, the bound lets every class that avoids the service
    complete, and fills the slots of the service with the classes that hold a slot
    for the shortest time, without queueing, failures or probes, and with the nearest
    target downstream. The least of these sums over the services holds, because every
    service must have its slots for every call that passes it. Capacity and offered
    load are taken in windows of 1 s; what doesn't fit into one window may be served
    in the next one. Calls in progress at the start of the overload may all end in
    it, so their mean number is added to the bound of each service.
    """
    bounds = []
    for service in mesh.services:
        own = targets[service]
        is_bottleneck = service == mesh.bottleneck
        total = _in_progress(mesh, service)
        leftover: dict[str, float] = {}
        window_s = scenario.start_s
        while window_s < scenario.end_s:
            live = own
            if is_bottleneck:
                live = live_targets(own, replacements, window_s, scenario)
            offered = _count_offered(requests, window_s)
            served = _fill(mesh, service, live, offered, leftover, window_s)
            total += sum(served.values())
            leftover = {
                name: min(count, count + leftover.get(name, 0.0) - served[name])
                for name, count in offered.items()
            }
            window_s += WINDOW_S
        bounds.append(total)
    return min(bounds)


def _in_progress(mesh: MeshSpec, service: str) -> float:
    """Return the mean number of calls that hold a slot of a service at normal load."""
    rates = class_rates(mesh)
    return sum(rate * _cost_s(mesh, service, name) for name, rate in rates.items())


def _count_offered(requests: list[Request], window_s: float) -> dict[str, float]:
    offered: dict[str, float] = {}
    for request in requests:
        if window_s <= request.at_s < window_s + WINDOW_S:
            offered[request.class_name] = offered.get(request.class_name, 0.0) + 1
    return offered


def _fill(mesh, service, live, offered, leftover, window_s) -> dict[str, float]:
    """Return the calls per class that fit into one window of one service."""
    demand = {name: count + leftover.get(name, 0.0) for name, count in offered.items()}
    left_s = _slot_seconds(live, window_s)
    served = {}
    costs = {name: _cost_s(mesh, service, name) for name in demand}
    for name in sorted(demand, key=lambda name: (costs[name], name)):
        fitting = left_s / costs[name] if costs[name] else demand[name]
        served[name] = min(demand[name], max(0.0, fitting))
        left_s -= served[name] * costs[name]
    return served


def _slot_seconds(live: list[Target], window_s: float) -> float:
    """Return the slot time of a window, in seconds of work at normal speed."""
    total_s = 0.0
    for step in range(STEPS_PER_WINDOW):
        at_s = window_s + (step + 0.5) * WINDOW_S / STEPS_PER_WINDOW
        for target in live:
            speed = target.service.work_s / target.mean_work_s(at_s)
            total_s += target.slots * speed * WINDOW_S / STEPS_PER_WINDOW
    return total_s


def _cost_s(mesh: MeshSpec, service: str, class_name: str) -> float:
    """Return how long a call of a class holds a slot of a service, at least."""
    path = mesh.classes[class_name].path
    if service not in path:
        return 0.0
    below = path[path.index(service) :]
    own_s = sum(mesh.services[name].work_s for name in below)
    return own_s + 2 * SAME_DOMAIN_S * (len(below) - 1)
