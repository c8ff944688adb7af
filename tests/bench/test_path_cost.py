"""Guards against a bench whose nodes do not serve the calls that it counts."""

import json

import pytest
from command_line import run_command

ROOTS = 100


@pytest.mark.sockets
def test_all_calls_are_served_and_measured():
    """Guards against figures that include calls which the nodes refused."""
    result = run_command("bench", "path", "--roots", ROOTS, "--json")
    assert result.exit_code == 0, result.output
    plain, rejects = json.loads(result.output.splitlines()[-1])
    assert plain["calls"] == rejects["calls"] == 5 * ROOTS
    assert plain["failed"] == 0
    assert rejects["failed"] < ROOTS / 2
    assert plain["user_us"] > 0
