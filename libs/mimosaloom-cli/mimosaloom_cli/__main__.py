"""Entry point of the `mimosaloom` command."""

import sys

from .cli.definition import build_app
from .exit_codes import ExitCode

__all__ = ["main"]


def main() -> None:
    """Run the command line."""
    try:
        build_app()()
    except OSError as error:
        # For example, stdout is redirected to a file on a full disk. The commands
        # themselves handle all other errors.
        print(f"mimosaloom: {error}", file=sys.stderr)
        sys.exit(ExitCode.ERROR)


if __name__ == "__main__":
    main()
