"""The program of a node as a process."""

import os
import signal
import subprocess
import sys

import pytest

from mimosaloom_platform.node_code import read_node_code
from mimosaloom_platform.program import EXIT_BAD_SETTINGS, SETTINGS_VARIABLE

pytestmark = pytest.mark.sockets

EXIT_TIMEOUT_S = 30


def test_settings_signal_during_the_start_does_not_end_the_process(tmp_path):
    """Guards against a node that a signal for changed settings ends while it starts.

    The process is held in its start, as its settings are a pipe without a writer.
    """
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "mimosaloom_platform"],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    # Returns when the process has opened the pipe to read it.
    with path.open("w", encoding="utf-8") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("nodeName = 1")
    _, errors = process.communicate(timeout=EXIT_TIMEOUT_S)
    assert process.returncode == EXIT_BAD_SETTINGS
    assert b"nodeName" in errors


def test_version_names_the_code_that_a_node_would_run():
    """Guards against reports of failures that don't tell which code was running."""
    command = [sys.executable, "-m", "mimosaloom_platform", "--version"]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    version = read_node_code()
    assert f"code {version.digest} from {version.folders[0]}" in done.stdout


def test_unknown_option_is_refused():
    """Guards against a node that starts although its command was mistyped."""
    command = [sys.executable, "-m", "mimosaloom_platform", "--versoin"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stdout) == (EXIT_BAD_SETTINGS, "")
    assert "--version" in done.stderr
