"""Node daemon: the process beside a target that admits and routes its calls."""

from .control_plane import ControlPlane
from .daemon import Node, run_until_stopped
from .membership import FixedMembership, LocalNode, Membership, NodeDirectory
from .peers import LinkTiming
from .startup import run_node

__all__ = [
    "ControlPlane",
    "FixedMembership",
    "LinkTiming",
    "LocalNode",
    "Membership",
    "Node",
    "NodeDirectory",
    "run_node",
    "run_until_stopped",
]
