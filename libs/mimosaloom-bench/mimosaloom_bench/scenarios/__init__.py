"""Scripted scenarios: a mesh on loopback under faults, checked by counts.

The language is Gherkin, read by its own parser; this package adds the steps. The
modules are imported on their own, so that the command line loads no parser at start.
"""

__all__: list[str] = []
