"""Tests of the help of the demo, the benches and the scenarios."""

from command_line import list_commands, run_command


def test_every_command_shows_an_example():
    """Guards against help without an example, which forces a user to read the code."""
    commands = list_commands("mimosaloom_bench")
    assert {"demo", "bench", "scenario"} == {words[0] for words in commands}
    for words in commands:
        help_text = run_command(*words, "--help").stdout
        assert f"  mimosaloom {' '.join(words)} " in help_text
