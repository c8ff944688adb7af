"""Settings shared by all tests."""

from pathlib import Path

from hypothesis import settings

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

# Derandomized examples make CI results reproducible. There is no deadline because
# the speed of the machine must not decide whether a test passes.
settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=60
)
settings.register_profile("long", deadline=None, max_examples=5000)
settings.load_profile("ci")


def read_known_red():
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split(" | ")[0].strip() for entry in entries}


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    known_red = read_known_red()
    deselected = [item for item in items if item.nodeid in known_red]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in known_red]
        config.hook.pytest_deselected(items=deselected)
    config.deselected_known_red = sorted(item.nodeid for item in deselected)


def pytest_terminal_summary(terminalreporter, config):
    """Print each test that was deselected because KNOWN-RED.txt lists it."""
    for node_id in getattr(config, "deselected_known_red", []):
        terminalreporter.write_line(f"KNOWN-RED, not run: {node_id}")
