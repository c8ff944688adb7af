"""Reads scenario files and finds the functions of their steps."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from gherkin.errors import CompositeParserException, ParserError
from gherkin.parser import Parser
from gherkin.pickles.compiler import Compiler

# The step modules register their functions when they are imported.
from . import steps_checks, steps_faults, steps_load, steps_operators  # noqa: F401
from .registry import BoundStep, bind_step

__all__ = ["Scenario", "ScenarioFault", "ScenarioStep", "read_scenarios"]


class ScenarioFault(NamedTuple):
    """A fault in a scenario file.

    Attributes:
        file: Path of the file.
        line: Line number from 1; 0 for the whole file.
        message: Description of the fault.
    """

    file: Path
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


class ScenarioStep(NamedTuple):
    """One step of a scenario.

    Attributes:
        number: Line number in the file, from 1.
        text: Text of the step without the keyword.
        bound_step: Action or check of the step.
    """

    number: int
    text: str
    bound_step: BoundStep


class Scenario(NamedTuple):
    """One scenario.

    Attributes:
        file: Path of the file.
        name: Name of the scenario.
        tags: Tags of the scenario, each with its `@`.
        steps: Steps of the scenario, those of the background first.
    """

    file: Path
    name: str
    tags: tuple[str, ...]
    steps: tuple[ScenarioStep, ...]


def read_scenarios(
    files: Iterable[Path],
) -> tuple[list[Scenario], list[ScenarioFault]]:
    """Read scenario files.

    Returns:
        The scenarios in the order of the files, and the faults of all files.
    """
    scenarios: list[Scenario] = []
    faults: list[ScenarioFault] = []
    for file in files:
        file_scenarios, file_faults = _read_file(file)
        scenarios += file_scenarios
        faults += file_faults
    return scenarios, faults


def _read_file(file: Path) -> tuple[list[Scenario], list[ScenarioFault]]:
    try:
        document = Parser().parse(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeError) as error:
        return [], [ScenarioFault(file, 0, f"cannot be read: {error}")]
    except CompositeParserException as error:
        return [], [_make_fault(file, one_error) for one_error in error.errors]
    except ParserError as error:
        return [], [_make_fault(file, error)]
    faults = list(_find_descriptions(file, document))
    line_numbers = _map_step_lines(document)
    pickles = Compiler().compile({**document, "uri": str(file)})
    if not pickles:
        faults.append(ScenarioFault(file, 0, "the file holds no scenario"))
    scenarios = [_bind_pickle(file, pickle, line_numbers, faults) for pickle in pickles]
    return scenarios, faults


def _make_fault(file: Path, error: ParserError) -> ScenarioFault:
    line = error.location["line"]
    return ScenarioFault(file, line, str(error).partition(": ")[2] or str(error))


def _iterate_sections(document: dict) -> Iterator[dict]:
    """Yield the feature, and each background and scenario in it."""
    feature = document.get("feature")
    if feature:
        yield feature
        for child in feature["children"]:
            yield from child.values()


def _find_descriptions(file: Path, document: dict) -> Iterator[ScenarioFault]:
    # The Gherkin parser reads a line with a misspelt keyword as the start of a
    # description, so that its step would silently not run.
    for section in _iterate_sections(document):
        text = section.get("description", "").strip()
        if text:
            first = text.splitlines()[0]
            message = f"expected a step or a # comment, not {first!r}"
            yield ScenarioFault(file, section["location"]["line"] + 1, message)


def _map_step_lines(document: dict) -> dict[str, int]:
    return {
        step["id"]: step["location"]["line"]
        for section in _iterate_sections(document)
        for step in section.get("steps", [])
    }


def _bind_pickle(
    file: Path, pickle: dict, line_numbers: dict[str, int], faults: list[ScenarioFault]
) -> Scenario:
    steps = []
    for pickle_step in pickle["steps"]:
        number = line_numbers[pickle_step["astNodeIds"][0]]
        bound_step = bind_step(pickle_step["text"])
        if bound_step is None:
            faults.append(
                ScenarioFault(file, number, f"unknown step {pickle_step['text']!r}")
            )
        else:
            steps.append(ScenarioStep(number, pickle_step["text"], bound_step))
    if not any(step.bound_step.is_check for step in steps):
        message = f"scenario {pickle['name']!r} checks nothing"
        faults.append(ScenarioFault(file, pickle["location"]["line"], message))
    tags = tuple(tag["name"] for tag in pickle["tags"])
    return Scenario(file, pickle["name"], tags, tuple(steps))
