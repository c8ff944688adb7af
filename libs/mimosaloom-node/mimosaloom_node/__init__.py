"""The mimosaloom node daemon."""

from .daemon import Node, run_until_stopped
from .membership import FixedMembership, Membership, NodeDirectory, Self

__all__ = [
    "FixedMembership",
    "Membership",
    "Node",
    "NodeDirectory",
    "Self",
    "run_until_stopped",
]
