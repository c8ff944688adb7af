"""Guards against examples that the product itself would refuse."""

from pathlib import Path

import pytest

from mimosaloom_model import Invalid, build_catalog, read_resources, read_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
# Upstreams, slots of each and connections of each, as in section 2.5 of the design.
SIZES = {
    "water": {
        "status": (5, 70, 500),
        "intake": (4, 80, 570),
        "inspections": (3, 100, 700),
        "billing": (3, 35, 300),
    },
    "cooperative": {
        "catalogue": (6, 60, 450),
        "lending": (4, 85, 600),
        "regrind": (3, 110, 800),
        "returns": (3, 35, 300),
    },
}


@pytest.mark.parametrize("mesh", sorted(SIZES))
def test_resources_hold_the_current_sizes(mesh):
    """An example with faults or other sizes would mislead whoever copies it."""
    documents = read_resources([EXAMPLES / mesh / "resources.json"])
    assert not isinstance(documents, Invalid), documents
    catalog = build_catalog(documents)
    sizes = {}
    for upstream in catalog.upstreams.values():
        count = sizes.get(upstream.service, (0,))[0] + 1
        sizes[upstream.service] = (count, upstream.slots, upstream.max_connections)
    assert sizes == SIZES[mesh]
    assert len({u.failure_domain for u in catalog.upstreams.values()}) == 3


@pytest.mark.parametrize("mesh", sorted(SIZES))
def test_settings_name_a_declared_target(mesh):
    """A node of an undeclared upstream would have no slots to work with."""
    (path,) = (EXAMPLES / mesh).glob("node-*.json")
    settings = read_settings(path)
    assert not isinstance(settings, Invalid), settings
    catalog = build_catalog(read_resources([settings.resources_file]))
    declared = catalog.upstreams[settings.target.upstream]
    assert declared.service == settings.target.service
    assert declared.failure_domain == settings.node.failure_domain
