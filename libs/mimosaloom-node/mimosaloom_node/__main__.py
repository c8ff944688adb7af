"""Runs a node: `python -m mimosaloom_node SETTINGS`."""

import sys

from mimosaloom_model import Invalid, read_settings

from .running import EXIT_INVALID, run_node

__all__ = ["main"]

EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run the node of a settings file.

    Args:
        arguments: The path of the settings file.

    Returns:
        The exit code.
    """
    if len(arguments) != 1:
        print("usage: python -m mimosaloom_node SETTINGS", file=sys.stderr)
        return EXIT_USAGE
    settings = read_settings(arguments[0])
    if isinstance(settings, Invalid):
        for fault in settings.faults:
            print(f"{fault.file}: {fault.path}: {fault.message}", file=sys.stderr)
        return EXIT_INVALID
    return run_node(settings)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
