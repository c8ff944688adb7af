"""The command that reports on the journal of the users' bench."""

import json

import pytest
from command_line import list_commands, run_command

ENTRY = {
    "id": "65bcbdeb",
    "at": ["2026-12-03T23:00:49Z", "2026-12-03T23:04:39Z"],
    "ok": True,
    "site": "aguas-altiplano",
    "days": [
        {"name": "quiet-1", "G": 0.862, "score": 0.77, "served": 0.99, "rules": {}},
        {"name": "scale-1", "G": 0.43, "score": 0.0, "rules": {"TWICE": 2}},
        {"name": "mix", "G": 0.9, "score": None, "fault": "too slow"},
    ],
}


@pytest.fixture
def journal(tmp_path):
    """Return a directory with two finished runs, an unfinished one and a bad file."""
    later = {**ENTRY, "id": "aaaa", "at": ["2026-12-03T23:30:00Z", ""], "ok": True}
    unfinished = {**ENTRY, "id": "bbbb", "ok": False, "days": []}
    for name, entry in [("1", ENTRY), ("2", later), ("3", unfinished)]:
        (tmp_path / f"{name}.json").write_text(json.dumps(entry))
    (tmp_path / "4.json").write_text("{")
    (tmp_path / "notes.txt").write_text("not an entry")
    return tmp_path


def test_report_shows_each_day_and_its_broken_rules(journal):
    """Guards against a report that hides a broken rule or an unfinished run."""
    result = run_command("report", journal)
    assert result.exit_code == 0
    lines = result.stdout.splitlines()
    assert len(lines) == 1 + 6 + 2
    assert "0.862   0.77  quiet-1" in lines[1]
    assert lines[2].endswith("scale-1  BROKEN: TWICE")
    assert lines[3].endswith("mix  BROKEN: too slow")
    assert "run bbbb did not finish" in lines
    assert "4.json holds no entry of the bench" in lines


def test_report_draws_a_plot(journal, tmp_path):
    """Guards against a plot that is not written."""
    path = tmp_path / "worth.png"
    result = run_command("report", journal, "--site", "aguas-altiplano", "--plot", path)
    assert result.exit_code == 0
    assert path.read_bytes().startswith(b"\x89PNG")


def test_errors_of_the_report_name_a_fix(tmp_path):
    """Guards against a traceback if the journal or the directory does not exist."""
    result = run_command("report", tmp_path / "none")
    assert result.exit_code == 1
    assert "Name the directory" in result.stderr
    result = run_command("report", tmp_path, "--plot", tmp_path / "none" / "worth.png")
    assert result.exit_code == 1
    assert "Name a file" in result.stderr


def test_help_shows_an_example():
    """Guards against help without an example, which sends operators to the code."""
    for words in list_commands("mimosaloom_platform"):
        help_text = run_command(*words, "--help").stdout
        assert f"  mimosaloom {' '.join(words)} " in help_text
        assert "Exit codes:" in help_text
