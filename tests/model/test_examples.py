"""Guards against example files that mimosaloom itself rejects."""

from pathlib import Path

import pytest

from mimosaloom_model import Invalid, build_catalog, read_resources, read_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
# Number of upstreams, slots per upstream and connections per upstream of each service,
# as in section 2.5 of the design.
DESIGNED_SIZES = {
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


@pytest.mark.parametrize("mesh", sorted(DESIGNED_SIZES))
def test_resources_have_the_designed_sizes(mesh):
    """Guards against examples with faults or other sizes, which operators may copy."""
    documents = read_resources([EXAMPLES / mesh / "resources.json"])
    assert not isinstance(documents, Invalid), documents
    catalog = build_catalog(documents)
    sizes = {}
    for upstream in catalog.upstreams.values():
        count = sizes.get(upstream.service, (0,))[0] + 1
        sizes[upstream.service] = (count, upstream.slots, upstream.max_connections)
    assert sizes == DESIGNED_SIZES[mesh]
    assert len({u.failure_domain for u in catalog.upstreams.values()}) == 3


@pytest.mark.parametrize("mesh", sorted(DESIGNED_SIZES))
def test_settings_name_a_declared_target(mesh):
    """Guards against a node whose upstream is not declared, and so has no slots."""
    (path,) = (EXAMPLES / mesh).glob("node-*.json")
    settings = read_settings(path)
    assert not isinstance(settings, Invalid), settings
    catalog = build_catalog(read_resources([settings.resources_file]))
    declared = catalog.upstreams[settings.target.upstream]
    assert declared.service == settings.target.service
    assert declared.failure_domain == settings.node.failure_domain
