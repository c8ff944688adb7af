"""Guards against packages whose public names drift from what they define."""

import importlib

import pytest

PACKAGES = ["model", "policy", "control", "mesh", "node", "cli", "standins", "bench"]
PACKAGES += ["relay", "platform"]


@pytest.mark.parametrize("name", PACKAGES)
def test_every_exported_name_exists(name):
    """A name in `__all__` that is missing would break `import *` of embedders."""
    package = importlib.import_module(f"mimosaloom_{name}")
    for exported in getattr(package, "__all__", []):
        assert hasattr(package, exported)
