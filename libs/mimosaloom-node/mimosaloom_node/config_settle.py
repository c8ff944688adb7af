"""Makes a consistent configuration of resources that were accepted one by one.

Each record of the log changes one resource, so two operators can together accept a set
with a dangling reference. A node then keeps the last good value of what is concerned
instead of stopping or serving with half of a configuration.
"""

import re
from typing import NamedTuple

from mimosaloom_control import Resource
from mimosaloom_model.checks import (
    KINDS,
    PlacedResource,
    Placement,
    find_reference_faults,
)
from mimosaloom_model.schema_faults import find_schema_faults

__all__ = ["Key", "Resources", "Settled", "settle_resources"]

Key = tuple[str, str]
Resources = dict[Key, Resource]

_SOURCE = "configuration"
_INDEX = re.compile(r"^\$\.resources\[(\d+)\]")


class Settled(NamedTuple):
    """A consistent configuration.

    Attributes:
        in_force: Resources by kind and name.
        held_back: What is not as the log has it, with the reason.
    """

    in_force: Resources
    held_back: dict[Key, str]


def settle_resources(wanted: Resources, last_good: Resources) -> Settled:
    """Return the wanted resources with the last good value of what doesn't fit.

    A resource that is deleted but still referred to stays. A changed resource that is
    faulty, or that makes an unchanged one faulty, keeps its last good value; a new one
    is left out. Where the cause is not next to the fault, as in a call cycle, all of
    the last good configuration stays.

    Args:
        wanted: Resources as the log has them.
        last_good: A consistent configuration.
    """
    chosen = {key: value for key, value in wanted.items() if key[0] in KINDS}
    held_back = {key: "unknown kind" for key in wanted if key[0] not in KINDS}
    _drop_malformed(chosen, last_good, held_back)
    _keep_referenced(chosen, last_good, held_back)
    while faults := _find_faults(chosen):
        held_back.update(faults)
        if not all([_hold_back(key, chosen, last_good, held_back) for key in faults]):
            for key in chosen.keys() | last_good.keys():
                if chosen.get(key) != last_good.get(key):
                    held_back.setdefault(key, "the last good configuration stays")
            return Settled(dict(last_good), held_back)
        _keep_referenced(chosen, last_good, held_back)
    return Settled(chosen, held_back)


def _drop_malformed(
    chosen: Resources, last_good: Resources, held_back: dict[Key, str]
) -> None:
    for key, resource in list(chosen.items()):
        if last_good.get(key) == resource:
            continue
        document = {"kind": key[0], "name": key[1], "spec": resource.spec}
        faults = find_schema_faults("resources", {"resources": [document]}, _SOURCE)
        if not faults:
            continue
        held_back[key] = faults[0].message
        if key in last_good:
            chosen[key] = last_good[key]
        else:
            del chosen[key]


def _keep_referenced(
    chosen: Resources, last_good: Resources, held_back: dict[Key, str]
) -> None:
    """Put back deleted resources that are referred to."""
    waiting = list(chosen.items())
    while waiting:
        _, resource = waiting.pop()
        for reference in _list_references(resource.spec):
            if reference not in chosen and reference in last_good:
                chosen[reference] = last_good[reference]
                held_back[reference] = "deleted but still referred to"
                waiting.append((reference, last_good[reference]))


def _hold_back(
    key: Key, chosen: Resources, last_good: Resources, held_back: dict[Key, str]
) -> bool:
    """Undo the change that makes a resource faulty; return whether one was found."""
    if key not in chosen:
        return True
    if key not in last_good:
        del chosen[key]
        return True
    concerned = [key, *_list_references(chosen[key].spec)]
    changed = [k for k in concerned if k in last_good and chosen.get(k) != last_good[k]]
    for other in changed:
        chosen[other] = last_good[other]
        held_back.setdefault(other, f"does not fit {key[0]}/{key[1]}")
    return bool(changed)


def _find_faults(chosen: Resources) -> dict[Key, str]:
    keys = list(chosen)
    placed = [
        PlacedResource(_SOURCE, index, key[0], key[1], chosen[key].spec)
        for index, key in enumerate(keys)
    ]
    found: dict[Key, str] = {}
    for fault in find_reference_faults(Placement(placed, set())):
        match = _INDEX.match(fault.path)
        if match is not None:
            found.setdefault(keys[int(match[1])], fault.message)
    return found


def _list_references(spec: dict) -> list[Key]:
    services = [*spec.get("calls", ()), *spec.get("path", ())]
    services += [spec[f] for f in ("service", "entry_service") if f in spec]
    found = [("Service", name) for name in services]
    if "retry_allowance" in spec:
        found.append(("RetryAllowance", spec["retry_allowance"]))
    return found
