"""The mimosaloom node daemon."""

from .daemon import Node, run_until_stopped
from .log_membership import LogMembership
from .membership import FixedMembership, Membership, NodeDirectory, Self
from .startup import run_node

__all__ = [
    "FixedMembership",
    "LogMembership",
    "Membership",
    "Node",
    "NodeDirectory",
    "Self",
    "run_node",
    "run_until_stopped",
]
