"""Guards the help of the demo, the benches and the scenarios."""

import typer
from typer.testing import CliRunner

from mimosaloom_cli.cli.definition import build_app


def list_own_commands(group, above=()):
    """Return the words of each command that the bench package adds."""
    words = []
    for name, command in group.commands.items():
        path = (*above, name)
        if hasattr(command, "commands"):
            words += list_own_commands(command, path)
        elif command.callback.__module__.startswith("mimosaloom_bench"):
            words.append(path)
    return words


def test_every_command_shows_an_example():
    """Help without an example sends its reader to the code."""
    commands = list_own_commands(typer.main.get_command(build_app()))
    assert {"demo", "bench", "scenario"} == {words[0] for words in commands}
    for words in commands:
        help_text = CliRunner().invoke(build_app(), [*words, "--help"]).stdout
        assert f"  mimosaloom {' '.join(words)} " in help_text
