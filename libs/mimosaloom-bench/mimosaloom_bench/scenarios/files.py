"""Reads scenario files and binds their steps."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from gherkin.errors import CompositeParserException, ParserError
from gherkin.parser import Parser
from gherkin.pickles.compiler import Compiler

# The modules of steps register what they hold when they are imported.
from . import steps_checks, steps_faults, steps_load, steps_operators  # noqa: F401
from .registry import BoundStep, bind

__all__ = ["Line", "Scenario", "ScenarioFault", "read_scenarios"]


class ScenarioFault(NamedTuple):
    """Something wrong in a file.

    Attributes:
        file: The file.
        line: Line from 1; 0 for the whole file.
        message: What was expected.
    """

    file: Path
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


class Line(NamedTuple):
    """One step of a scenario.

    Attributes:
        number: Its line in the file, from 1.
        text: Its text without the keyword.
        step: What it does.
    """

    number: int
    text: str
    step: BoundStep


class Scenario(NamedTuple):
    """One scenario.

    Attributes:
        file: Where it is written.
        name: Its name.
        tags: Its tags, with `@`.
        lines: Its steps, those of the background first.
    """

    file: Path
    name: str
    tags: tuple[str, ...]
    lines: tuple[Line, ...]


def read_scenarios(
    files: Iterable[Path],
) -> tuple[list[Scenario], list[ScenarioFault]]:
    """Read scenario files.

    Returns:
        The scenarios in order, and all faults of all files.
    """
    scenarios: list[Scenario] = []
    faults: list[ScenarioFault] = []
    for file in files:
        found, wrong = _read_file(file)
        scenarios += found
        faults += wrong
    return scenarios, faults


def _read_file(file: Path) -> tuple[list[Scenario], list[ScenarioFault]]:
    try:
        document = Parser().parse(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeError) as error:
        return [], [ScenarioFault(file, 0, f"can't be read: {error}")]
    except CompositeParserException as error:
        return [], [_fault_of(file, one) for one in error.errors]
    except ParserError as error:
        return [], [_fault_of(file, error)]
    faults = list(_find_loose_text(file, document))
    numbers = _number_steps(document)
    pickles = Compiler().compile({**document, "uri": str(file)})
    if not pickles:
        faults.append(ScenarioFault(file, 0, "the file holds no scenario"))
    scenarios = [_bind_pickle(file, pickle, numbers, faults) for pickle in pickles]
    return scenarios, faults


def _fault_of(file: Path, error: ParserError) -> ScenarioFault:
    line = error.location["line"]
    return ScenarioFault(file, line, str(error).partition(": ")[2] or str(error))


def _parts(document: dict) -> Iterator[dict]:
    feature = document.get("feature")
    if feature:
        yield feature
        for child in feature["children"]:
            yield from child.values()


def _find_loose_text(file: Path, document: dict) -> Iterator[ScenarioFault]:
    # The parser takes a misspelt keyword for the start of a description, and the
    # step would silently not run.
    for part in _parts(document):
        text = part.get("description", "").strip()
        if text:
            first = text.splitlines()[0]
            message = f"expected a step or a # comment, not {first!r}"
            yield ScenarioFault(file, part["location"]["line"] + 1, message)


def _number_steps(document: dict) -> dict[str, int]:
    return {
        step["id"]: step["location"]["line"]
        for part in _parts(document)
        for step in part.get("steps", [])
    }


def _bind_pickle(
    file: Path, pickle: dict, numbers: dict[str, int], faults: list[ScenarioFault]
) -> Scenario:
    lines = []
    for step in pickle["steps"]:
        number = numbers[step["astNodeIds"][0]]
        bound = bind(step["text"])
        if bound is None:
            faults.append(ScenarioFault(file, number, f"unknown step {step['text']!r}"))
        else:
            lines.append(Line(number, step["text"], bound))
    if not any(line.step.is_check for line in lines):
        message = f"scenario {pickle['name']!r} checks nothing"
        faults.append(ScenarioFault(file, pickle["location"]["line"], message))
    tags = tuple(tag["name"] for tag in pickle["tags"])
    return Scenario(file, pickle["name"], tags, tuple(lines))
