"""The registry of steps: texts with fields, and the functions that run them."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

import parse

from .world import World

__all__ = ["BoundStep", "bind_step", "check", "list_steps", "step"]

Action = Callable[..., Awaitable[None]]


class Step(NamedTuple):
    """A registered step.

    Attributes:
        text: Text of the step with fields in braces.
        action: Function that runs the step. It receives the world, and the fields as
            keyword arguments.
        is_check: Whether the step only checks a guarantee and changes nothing.
    """

    text: str
    action: Action
    is_check: bool


class BoundStep(NamedTuple):
    """A registered step with the values of its fields from a scenario file.

    Attributes:
        action: Function that runs the step. It receives the world.
        is_check: Whether the step only checks a guarantee and changes nothing.
    """

    action: Callable[[World], Awaitable[None]]
    is_check: bool


class _Entry(NamedTuple):
    step: Step
    parser: parse.Parser


_registry: list[_Entry] = []


@parse.with_pattern(r"[a-z][a-z0-9_-]*")
def _parse_name(text: str) -> str:
    return text


@parse.with_pattern(r"node|target")
def _parse_part(text: str) -> str:
    return text


# Types of fields in step texts. A part is one of the two processes of an upstream.
_FIELD_TYPES = {"name": _parse_name, "part": _parse_part}


def step(text: str) -> Callable[[Action], Action]:
    """Return a decorator that registers a function as a step that acts."""
    return partial(_register, text, False)


def check(text: str) -> Callable[[Action], Action]:
    """Return a decorator that registers a function as a step that checks.

    The function raises `StepFailed` if the check fails.
    """
    return partial(_register, text, True)


def _register(text: str, is_check: bool, action: Action) -> Action:
    parser = parse.compile(text, extra_types=_FIELD_TYPES, case_sensitive=True)
    _registry.append(_Entry(Step(text, action, is_check), parser))
    return action


def bind_step(text: str) -> BoundStep | None:
    """Return the step whose text matches; None if there is none."""
    for entry in _registry:
        match = entry.parser.parse(text)
        if match is not None:
            action = partial(entry.step.action, **match.named)
            return BoundStep(action, entry.step.is_check)
    return None


def list_steps() -> list[str]:
    """Return the texts of all steps."""
    return sorted(entry.step.text for entry in _registry)
