"""Scripted scenarios: run a mesh on loopback under faults and check its guarantees.

Scenarios are written in Gherkin and parsed by the official Gherkin parser; this package
implements the steps. It exports nothing, so that the command line loads the parsers
only when a scenario is run.
"""

__all__: list[str] = []
