"""Collects the log lines of a cluster."""

import json

from eliot import add_destinations, remove_destination
from platform_adapter.cluster import run_cluster


def collect_lines(scenario):
    """Run a scenario and return the log lines of all nodes."""
    lines = []

    def discard(message):
        pass

    def destination(message):
        lines.append(json.dumps(message, default=str))

    # Eliot delivers the messages that it has buffered to the first destination. They
    # belong to earlier tests, which use the same request ids.
    add_destinations(discard)
    remove_destination(discard)
    add_destinations(destination)
    try:
        run_cluster(scenario)
    finally:
        remove_destination(destination)
    return lines
