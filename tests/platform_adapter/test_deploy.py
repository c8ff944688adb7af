"""The command by which the platform starts a node."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

from mimosaloom_platform.node_code import read_node_code

ROOT = Path(__file__).parents[2]


def read_command():
    """Return the words of the command of the deploy file, with this interpreter."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
    program, *arguments = deploy["roles"]["node"]["run"].split()
    assert program == "python3"
    return [sys.executable, *arguments]


def test_node_runs_the_sources_of_its_checkout(tmp_path):
    """Guards against nodes that run a copy of the sources of an earlier build."""
    package = tmp_path / "mimosaloom_platform"
    package.mkdir()
    for name in ("__init__.py", "__main__.py"):
        (package / name).write_text("print('an earlier build')\n")
    done = subprocess.run(
        [*read_command(), "--version"],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], "PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    version = read_node_code()
    assert f"code {version.digest} from {version.folders[0]}" in done.stdout
    assert "earlier build" not in done.stdout
