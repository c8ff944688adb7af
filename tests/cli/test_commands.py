"""Guards against errors and help texts that don't tell operators what to do."""

import json
import sys
from pathlib import Path

import pytest
import typer
from command_line import list_commands, run_command

import mimosaloom_node
from mimosaloom_cli import ExitCode
from mimosaloom_cli.__main__ import main
from mimosaloom_cli.exit_codes import EXIT_CODE_MEANINGS

EXAMPLES = Path(__file__).parents[2] / "examples"
NODE_SETTINGS = EXAMPLES / "water" / "node-billing-1.json"


def test_every_command_shows_an_example():
    """Without a current example, operators must read the code to use a command."""
    commands = list_commands("mimosaloom_cli")
    assert {"node", "check"} <= {words[0] for words in commands}
    for words in commands:
        help_text = run_command(*words, "--help").stdout
        example = f"mimosaloom {' '.join(words)} "
        assert f"  {example}" in help_text
        assert "Exit codes:" in help_text


def test_help_lists_every_exit_code():
    """A script can't handle an exit code that is not documented."""
    help_text = run_command("--help").stdout
    for code in ExitCode:
        assert f"{code:d}  {EXIT_CODE_MEANINGS[code]}" in help_text


@pytest.mark.parametrize("mesh", ["water", "cooperative"])
def test_check_accepts_the_examples(mesh):
    """A valid directory that fails the check can't be deployed."""
    result = run_command("check", EXAMPLES / mesh)
    assert (result.exit_code, result.stdout) == (ExitCode.OK, "2 files are valid\n")


def test_check_prints_one_line_per_fault_of_all_files(tmp_path):
    """One run must report the faults of all files, not only those of the first."""
    settings = json.loads(NODE_SETTINGS.read_text("utf-8"))
    settings["log_service"]["timeout_ms"] = settings["limits"].pop("queue_capacity")
    (tmp_path / "a.json").write_text(json.dumps(settings))
    (tmp_path / "b.json").write_bytes(b"\xff")
    (tmp_path / "c.json").write_text('{"resources": [{"kind": "Service"}]}')
    (tmp_path / "d.json").write_text('{"colour": "red"}')
    result = run_command("check", tmp_path, tmp_path / "e.json")
    assert result.exit_code == ExitCode.INVALID
    assert result.stdout == ""
    lines = result.stderr.splitlines()
    expected = [
        ("a.json: $.log_service.timeout_ms: ", 'did you mean "timeout_s"?'),
        ("b.json: $: ", "expected UTF-8 text"),
        ("d.json: $: ", "expected a resource file with the field resources"),
        ("e.json: $: ", "it does not exist"),
        ("c.json: $.resources[0]: ", 'expected the field "name"'),
        ("c.json: $.resources[0]: ", 'expected the field "spec"'),
    ]
    assert len(lines) == len(expected)
    for line, (prefix, message) in zip(lines, expected, strict=True):
        assert line.startswith(f"{tmp_path}/{prefix}")
        assert message in line


def test_file_name_with_a_newline_stays_on_one_line(tmp_path):
    """Otherwise, the second line looks like a fault of another file."""
    (tmp_path / "a\nb.json").write_text("{")
    result = run_command("check", tmp_path)
    (line,) = result.stderr.splitlines()
    assert 'a\\nb.json": $: expected JSON' in line


def test_failed_output_is_an_error_without_a_traceback(monkeypatch, capsys):
    """A full disk behind a redirected stdout caused a traceback."""

    def fail(*_arguments, **_options):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(sys, "argv", ["mimosaloom", "check", str(EXAMPLES / "water")])
    monkeypatch.setattr(typer, "echo", fail)
    with pytest.raises(SystemExit) as exit_info:
        main()
    assert exit_info.value.code == ExitCode.ERROR
    assert "mimosaloom: [Errno 28] No space left" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("part", "field", "value", "message"),
    [
        ("target", "upstream", "billing-9", "expected an Upstream of"),
        ("target", "service", "intake", 'expected "billing", the service of'),
        ("node", "failure_domain", "x", 'expected "quetzaltenango-1", the failure'),
    ],
)
def test_settings_are_checked_against_their_resources(
    tmp_path, part, field, value, message
):
    """A node configured for the wrong service would accept calls that it can't run."""
    settings = json.loads(NODE_SETTINGS.read_text("utf-8"))
    settings[part][field] = value
    settings["resources_file"] = str(EXAMPLES / "water" / "resources.json")
    (tmp_path / "node.json").write_text(json.dumps(settings))
    for command in (("check",), ("node", "--settings")):
        result = run_command(*command, tmp_path / "node.json")
        assert result.exit_code == ExitCode.INVALID
        assert f"node.json: $.{part}.{field}: {message}" in result.stderr


def test_node_exits_with_the_exit_code_of_the_daemon(monkeypatch):
    """A supervisor doesn't restart a failed node that exits with code 0."""
    monkeypatch.setattr(mimosaloom_node, "run_node", lambda settings: 7, raising=False)
    assert run_command("node", "--settings", NODE_SETTINGS).exit_code == 7


def test_node_names_the_fix_when_an_address_is_in_use(monkeypatch):
    """A traceback for a port in use doesn't say which file to correct."""

    def fail(settings):
        raise OSError(98, "Address already in use")

    monkeypatch.setattr(mimosaloom_node, "run_node", fail, raising=False)
    result = run_command("node", "--settings", NODE_SETTINGS)
    assert result.exit_code == ExitCode.ERROR
    assert f"Correct the addresses under listen in {NODE_SETTINGS}" in result.stderr
