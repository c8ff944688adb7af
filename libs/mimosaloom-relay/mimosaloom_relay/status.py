"""State that a node reports to operators, as JSON-compatible values."""

from mimosaloom_policy import Admission

from .own_target import OwnTarget
from .peers import PeerTable
from .routes import Configuration, Route

__all__ = ["describe_admission", "describe_configuration", "describe_peers"]


def describe_configuration(configuration: Configuration | None) -> dict:
    """Return the version of the configuration and its resources by kind and name."""
    if configuration is None:
        return {
            "version": 0,
            "RequestClass": {},
            "Service": {},
            "Organisation": {},
            "limits": {},
        }
    routes = [r for found in configuration.routes.values() for r in found]
    return {
        "version": configuration.version,
        "RequestClass": {r.request_class.name: _describe_route(r) for r in routes},
        "Service": {
            profile.name: profile._asdict()
            for profile in configuration.services.values()
        },
        "Organisation": _describe_organisations(configuration),
        "limits": configuration.limits._asdict(),
    }


def describe_peers(peers: PeerTable) -> dict:
    """Return the known upstreams by the name of their node."""
    return {
        record.name: {
            "service": record.service,
            "target_id": record.target_id,
            "failure_domain": record.failure_domain,
            "slots": record.slots,
            "is_available": record.is_available,
            "is_reachable": not peers.is_unreachable(record.name),
        }
        for record in peers.records()
    }


def describe_admission(target: OwnTarget, admission: Admission | None) -> dict:
    """Return the state of the target beside the node and of its admission."""
    state = {
        "target_id": target.target_id,
        "is_available": target.is_available,
        "is_leaving": target.is_leaving,
        "is_reachable": target.is_reachable,
    }
    if admission is not None:
        state |= {
            "limit": admission.limit,
            "in_flight": admission.in_flight,
            "queued": admission.queued,
            "level": admission.level,
            "rate_limit_per_s": admission.rate_limit.named_per_s,
        }
    return state


def _describe_organisations(configuration: Configuration) -> dict:
    """Return the organisations by name; their keys are never shown."""
    directory = configuration.organisations
    if directory is None:
        return {}
    return {
        found.name: {
            "priority": found.priority,
            "quota": None if found.quota is None else found.quota._asdict(),
        }
        for found in directory.organisations.values()
    }


def _describe_route(route: Route) -> dict:
    request_class = route.request_class
    return {
        "host": route.host,
        "path_prefix": route.path_prefix,
        "shares": dict(route.shares),
        "priority": request_class.priority,
        "is_idempotent": request_class.is_idempotent,
        "timeout_s": request_class.timeout_s,
        "objective_s": route.objective_s,
        "max_targets": route.max_targets,
        "is_public": route.is_public,
    }
