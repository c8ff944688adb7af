"""Control bench: cost of the control plane per node, and speed of config replay."""

from .command import control, replay
from .replay_speed import replay_naively

__all__ = ["control", "replay", "replay_naively"]
