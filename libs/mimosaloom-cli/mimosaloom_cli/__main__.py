"""Entry point of the `mimosaloom` command."""

from .cli.definition import build_app

__all__ = ["main"]


def main() -> None:
    """Run the command line."""
    build_app()()


if __name__ == "__main__":
    main()
