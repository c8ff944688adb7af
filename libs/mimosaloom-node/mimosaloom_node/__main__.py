"""Runs a node: `python -m mimosaloom_node SETTINGS`."""

import sys
from pathlib import Path

from mimosaloom_model import Invalid, read_settings

from .startup import report_faults, run_node


def main() -> int:
    """Run the node with the settings file given as the first argument."""
    settings = read_settings(Path(sys.argv[1]))
    if isinstance(settings, Invalid):
        return report_faults(settings)
    return run_node(settings)


if __name__ == "__main__":
    sys.exit(main())
