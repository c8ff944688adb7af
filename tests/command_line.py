"""Helpers that run the command line in the test process and list its commands."""

import typer
from typer.testing import CliRunner

from mimosaloom_cli.cli.definition import build_app


def run_command(*arguments):
    """Run the command line in this process and return its result."""
    return CliRunner().invoke(build_app(), [str(argument) for argument in arguments])


def list_commands(package):
    """Return the name of each command that a package defines, as a tuple of words."""
    return _list_subcommands(typer.main.get_command(build_app()), package, ())


def _list_subcommands(group, package, parent_words):
    commands = []
    for name, command in group.commands.items():
        words = (*parent_words, name)
        if hasattr(command, "commands"):
            commands += _list_subcommands(command, package, words)
        elif command.callback.__module__.startswith(package):
            commands.append(words)
    return commands
