"""Guards against packages that export names which they do not define."""

import importlib

import pytest

PACKAGES = ["model", "policy", "control", "mesh", "node", "cli", "standins", "bench"]
PACKAGES += ["relay", "platform"]


@pytest.mark.parametrize("name", PACKAGES)
def test_every_exported_name_exists(name):
    """An undefined name in `__all__` breaks `import *` in embedding applications."""
    package = importlib.import_module(f"mimosaloom_{name}")
    for exported in getattr(package, "__all__", []):
        assert hasattr(package, exported)
