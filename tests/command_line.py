"""Runs the command line in the test's process, and lists its commands."""

import typer
from typer.testing import CliRunner

from mimosaloom_cli.cli.definition import build_app


def run(*arguments):
    """Run the command line in this process."""
    return CliRunner().invoke(build_app(), [str(argument) for argument in arguments])


def list_commands(package):
    """Return the words of each command that a package defines."""
    return _list_below(typer.main.get_command(build_app()), package, ())


def _list_below(group, package, above):
    commands = []
    for name, command in group.commands.items():
        words = (*above, name)
        if hasattr(command, "commands"):
            commands += _list_below(command, package, words)
        elif command.callback.__module__.startswith(package):
            commands.append(words)
    return commands
