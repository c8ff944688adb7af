"""Builds a consistent configuration from resources that were accepted one by one.

Each record of the log changes one resource, so the changes of two operators can
together leave a dangling reference. A node then keeps the last good value of the
resources involved. It neither stops nor serves with a partial configuration.
"""

import re
from typing import NamedTuple

from mimosaloom_control import Resource
from mimosaloom_model.checks import (
    RESOURCE_KINDS,
    CollectedResources,
    LocatedResource,
    find_reference_faults,
)
from mimosaloom_model.schema_faults import find_schema_faults

__all__ = ["ConsistentResources", "Key", "Resources", "revert_inconsistent_resources"]

Key = tuple[str, str]
Resources = dict[Key, Resource]

_SOURCE = "configuration"
_INDEX = re.compile(r"^\$\.resources\[(\d+)\]")


class ConsistentResources(NamedTuple):
    """A consistent configuration.

    Attributes:
        in_force: Resources to use, by kind and name.
        held_back: Resources whose value in the log is not used, with the reason.
    """

    in_force: Resources
    held_back: dict[Key, str]


def revert_inconsistent_resources(
    wanted: Resources, last_good: Resources
) -> ConsistentResources:
    """Return the wanted resources, with inconsistent changes reverted.

    A deleted resource that is still referred to is kept. A changed resource that is
    faulty, or that makes an unchanged one faulty, keeps its last good value; if it is
    new, it is left out. If the cause is neither in the faulty resource nor in one that
    it refers to, as in a call cycle, the whole last good configuration is kept.

    Args:
        wanted: Resources as recorded in the log.
        last_good: Last consistent configuration.
    """
    chosen = {key: value for key, value in wanted.items() if key[0] in RESOURCE_KINDS}
    held_back = {key: "unknown kind" for key in wanted if key[0] not in RESOURCE_KINDS}
    _revert_malformed(chosen, last_good, held_back)
    _restore_referenced(chosen, last_good, held_back)
    while faults := _find_faults(chosen):
        held_back.update(faults)
        if not all(
            [_revert_change(key, chosen, last_good, held_back) for key in faults]
        ):
            for key in chosen.keys() | last_good.keys():
                if chosen.get(key) != last_good.get(key):
                    held_back.setdefault(key, "the last good configuration stays")
            return ConsistentResources(dict(last_good), held_back)
        _restore_referenced(chosen, last_good, held_back)
    return ConsistentResources(chosen, held_back)


def _revert_malformed(
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


def _restore_referenced(
    chosen: Resources, last_good: Resources, held_back: dict[Key, str]
) -> None:
    """Restore deleted resources that other resources still refer to."""
    waiting = list(chosen.items())
    while waiting:
        _, resource = waiting.pop()
        for reference in _list_references(resource.spec):
            if reference not in chosen and reference in last_good:
                chosen[reference] = last_good[reference]
                held_back[reference] = "deleted but still referred to"
                waiting.append((reference, last_good[reference]))


def _revert_change(
    key: Key, chosen: Resources, last_good: Resources, held_back: dict[Key, str]
) -> bool:
    """Revert the changes that make a resource faulty; return whether any were found."""
    if key not in chosen:
        return True
    if key not in last_good:
        del chosen[key]
        return True
    involved = [key, *_list_references(chosen[key].spec)]
    changed = [k for k in involved if k in last_good and chosen.get(k) != last_good[k]]
    for other in changed:
        chosen[other] = last_good[other]
        held_back.setdefault(other, f"does not fit {key[0]}/{key[1]}")
    return bool(changed)


def _find_faults(chosen: Resources) -> dict[Key, str]:
    keys = list(chosen)
    placed = [
        LocatedResource(_SOURCE, index, key[0], key[1], chosen[key].spec)
        for index, key in enumerate(keys)
    ]
    found: dict[Key, str] = {}
    for fault in find_reference_faults(CollectedResources(placed, set())):
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
