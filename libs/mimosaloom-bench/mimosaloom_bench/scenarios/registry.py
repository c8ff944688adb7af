"""The table of steps: texts with fields, and the functions that do them."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

import parse

from .world import World

__all__ = ["BoundStep", "bind", "check", "list_steps", "step"]

Action = Callable[..., Awaitable[None]]


class Step(NamedTuple):
    """A known step.

    Attributes:
        text: Its text with fields in braces.
        action: Does it; receives the world and the fields by name.
        is_check: Whether it can only find a guarantee unmet and changes nothing.
    """

    text: str
    action: Action
    is_check: bool


class BoundStep(NamedTuple):
    """A step of a file.

    Attributes:
        action: Does it; receives the world.
        is_check: See `Step`.
    """

    action: Callable[[World], Awaitable[None]]
    is_check: bool


class _Known(NamedTuple):
    step: Step
    parser: parse.Parser


_known: list[_Known] = []


@parse.with_pattern(r"[a-z][a-z0-9_-]*")
def _read_name(text: str) -> str:
    return text


@parse.with_pattern(r"node|target")
def _read_part(text: str) -> str:
    return text


_TYPES = {"name": _read_name, "part": _read_part}


def step(text: str) -> Callable[[Action], Action]:
    """Register a function as a step that acts."""
    return partial(_register, text, False)


def check(text: str) -> Callable[[Action], Action]:
    """Register a function as a step that checks; it raises `NotMet`."""
    return partial(_register, text, True)


def _register(text: str, is_check: bool, action: Action) -> Action:
    parser = parse.compile(text, extra_types=_TYPES, case_sensitive=True)
    _known.append(_Known(Step(text, action, is_check), parser))
    return action


def bind(text: str) -> BoundStep | None:
    """Return the step that a text stands for; None if there is none."""
    for known in _known:
        found = known.parser.parse(text)
        if found is not None:
            action = partial(known.step.action, **found.named)
            return BoundStep(action, known.step.is_check)
    return None


def list_steps() -> list[str]:
    """Return the texts of all steps."""
    return sorted(known.step.text for known in _known)
