"""Tests of the scenario files, their error messages and their exit codes."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from mimosaloom_bench.scenarios.files import read_scenarios
from mimosaloom_cli.cli.definition import build_app

ROOT = Path(__file__).parent.parent.parent / "scenarios"
PASSING = sorted(ROOT.glob("*.feature"))
FAILING = sorted((ROOT / "broken").glob("*.feature"))
GUARANTEES = [f"P{number} " for number in range(1, 9)]


def run_command(*files):
    """Run `mimosaloom scenario run` and return its result."""
    return CliRunner().invoke(build_app(), ["scenario", "run", *map(str, files)])


def write_scenario(path, *lines):
    """Write a file with one scenario."""
    path.write_text("\n".join(["Feature: one", "  Scenario: first", *lines]))
    return path


def test_all_files_can_be_read_and_cover_each_guarantee():
    """Guards against a guarantee without scenarios and against renamed steps."""
    scenarios, faults = read_scenarios([*PASSING, *FAILING])
    assert faults == []
    for guarantee in GUARANTEES:
        prefix = guarantee.strip().lower() + "-"
        assert sum(s.file.name.startswith(prefix) for s in scenarios) >= 2
    assert len(FAILING) >= 8


def test_unknown_step_names_file_line_and_the_known_steps(tmp_path):
    """Guards against a check that silently does not run because it is misspelt."""
    path = write_scenario(
        tmp_path / "x.feature", "    Given the water mesh runs", "    Then no ordr ran"
    )
    result = run_command(path)
    assert result.exit_code == 3
    assert f"{path}:4: unknown step 'no ordr ran'" in result.stderr
    assert "  no order ran twice" in result.stderr


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["    Gven the water mesh runs"], ":3: expected a step"),
        (["    Given the water mesh runs"], ":2: scenario 'first' checks nothing"),
        (["    Given 1 s pass", "  what is this"], ":4: expected: "),
    ],
    ids=["keyword", "no-check", "syntax"],
)
def test_fault_in_a_file_is_reported_with_its_line(tmp_path, lines, message):
    """Guards against a scenario that passes although one of its lines did not run."""
    result = run_command(write_scenario(tmp_path / "x.feature", *lines))
    assert result.exit_code == 3
    assert message in result.stderr


@pytest.mark.sockets
def test_passing_scenario_ends_with_exit_code_0(tmp_path):
    """Guards against a runner that cannot run a scenario with a fault."""
    path = write_scenario(
        tmp_path / "x.feature",
        "    Given the water mesh runs",
        "    When 30 issue-fee a second arrive for 1 s",
        "    And 1 calls run on target billing-1",
        "    And node billing-1 is drained",
        "    And all orders have their last answer",
        "    And node billing-1 has ended",
        "    Then at least 1 answers are whole",
        "    And no order ran twice",
        "    And no answer is wrong",
    )
    result = run_command(path)
    assert result.exit_code == 0, result.output
    assert "1 scenarios, 0 not met" in result.stdout


@pytest.mark.sockets
def test_failing_scenario_ends_with_exit_code_7():
    """Guards against checks that cannot fail."""
    path = ROOT / "broken" / "killed-in-place-of-drain.feature"
    result = run_command(path)
    assert result.exit_code == 7, result.output
    assert "runs were cut" in result.stdout
