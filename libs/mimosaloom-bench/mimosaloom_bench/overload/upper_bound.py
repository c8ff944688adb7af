"""Upper bound on the goodput that the capacity of the targets allows."""

from .meshes import MeshSpec, class_rates
from .scenarios import Request, Scenario
from .simulated_targets import SAME_DOMAIN_LATENCY_S, Target

__all__ = [
    "WINDOW_S",
    "bottleneck_capacity",
    "bottleneck_targets_at",
    "max_whole_answers",
]

WINDOW_S = 1.0
SAMPLES_PER_WINDOW = 10


def bottleneck_targets_at(
    targets: list[Target], replacements: list[Target], at_s: float, scenario: Scenario
) -> list[Target]:
    """Return the bottleneck's targets that accept calls at a given time.

    Replacements take the place of the first targets when the overload starts.
    """
    if at_s < scenario.start_s:
        return targets
    return replacements + targets[len(replacements) :]


def bottleneck_capacity(targets: list[Target], at_s: float) -> float:
    """Return the calls per second that the targets complete with all slots in use."""
    return sum(target.slots / target.mean_work_s(at_s) for target in targets)


def max_whole_answers(
    mesh: MeshSpec,
    scenario: Scenario,
    targets: dict[str, list[Target]],
    replacements: list[Target],
    requests: list[Request],
) -> float:
    """Return an upper bound on the whole answers of any mesh during the overload.

    The function computes one bound per service and returns the lowest, because each
    call needs a slot at every service on its path.

    The bound of a service assumes that every call of a class that doesn't use the
    service completes. It fills the service's slots with the classes that hold a slot
    for the shortest time. It assumes no queueing, no failures and no probes, and that
    every downstream call goes to a target in the same failure domain.

    Capacity and offered load are computed in windows of 1 s; calls that don't fit
    into a window may be served in the next one. All calls in progress at the start
    of the overload may end during it, so their mean number is added to each bound.
    """
    bounds = []
    for service in mesh.services:
        service_targets = targets[service]
        is_bottleneck = service == mesh.bottleneck
        total = _mean_calls_in_progress(mesh, service)
        backlog: dict[str, float] = {}
        window_s = scenario.start_s
        while window_s < scenario.end_s:
            targets_now = service_targets
            if is_bottleneck:
                targets_now = bottleneck_targets_at(
                    service_targets, replacements, window_s, scenario
                )
            offered = _count_offered(requests, window_s)
            served = _fit_into_window(
                mesh, service, targets_now, offered, backlog, window_s
            )
            total += sum(served.values())
            backlog = {
                name: min(count, count + backlog.get(name, 0.0) - served[name])
                for name, count in offered.items()
            }
            window_s += WINDOW_S
        bounds.append(total)
    return min(bounds)


def _mean_calls_in_progress(mesh: MeshSpec, service: str) -> float:
    """Return the mean number of calls in progress at a service under normal load."""
    rates = class_rates(mesh)
    return sum(
        rate * _min_slot_time_s(mesh, service, name) for name, rate in rates.items()
    )


def _count_offered(requests: list[Request], window_s: float) -> dict[str, float]:
    offered: dict[str, float] = {}
    for request in requests:
        if window_s <= request.at_s < window_s + WINDOW_S:
            offered[request.class_name] = offered.get(request.class_name, 0.0) + 1
    return offered


def _fit_into_window(
    mesh, service, targets_now, offered, backlog, window_s
) -> dict[str, float]:
    """Return the calls per class that a service can complete in one window.

    Classes with the shortest slot time come first.
    """
    demand = {name: count + backlog.get(name, 0.0) for name, count in offered.items()}
    remaining_s = _available_slot_time_s(targets_now, window_s)
    served = {}
    slot_times_s = {name: _min_slot_time_s(mesh, service, name) for name in demand}
    for name in sorted(demand, key=lambda name: (slot_times_s[name], name)):
        fitting = (
            remaining_s / slot_times_s[name] if slot_times_s[name] else demand[name]
        )
        served[name] = min(demand[name], max(0.0, fitting))
        remaining_s -= served[name] * slot_times_s[name]
    return served


def _available_slot_time_s(targets_now: list[Target], window_s: float) -> float:
    """Return the slot time available in a window, as seconds of work at normal speed.

    A target's speed may change within a window, so it is sampled several times.
    """
    total_s = 0.0
    for sample in range(SAMPLES_PER_WINDOW):
        at_s = window_s + (sample + 0.5) * WINDOW_S / SAMPLES_PER_WINDOW
        for target in targets_now:
            speed = target.service.work_s / target.mean_work_s(at_s)
            total_s += target.slots * speed * WINDOW_S / SAMPLES_PER_WINDOW
    return total_s


def _min_slot_time_s(mesh: MeshSpec, service: str, class_name: str) -> float:
    """Return the shortest time for which a call of a class holds a slot of a service.

    A call holds its slot while it waits for the services downstream.
    """
    path = mesh.classes[class_name].path
    if service not in path:
        return 0.0
    downstream_path = path[path.index(service) :]
    work_s = sum(mesh.services[name].work_s for name in downstream_path)
    return work_s + 2 * SAME_DOMAIN_LATENCY_S * (len(downstream_path) - 1)
