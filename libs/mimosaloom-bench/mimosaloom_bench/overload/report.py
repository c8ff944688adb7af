"""Compares measures with their required bounds and formats the report."""

from typing import NamedTuple

__all__ = ["REQUIRED_BOUNDS", "Check", "check_measures", "format_report"]

MAX_RETRIES = 3


class Check(NamedTuple):
    """A measure and whether it meets its required bound.

    Attributes:
        measure: Name of the measure.
        value: Measured value, or None if nothing could be measured.
        target: The required bound as text, with its comparison sign.
        is_met: Whether the value meets the bound.
    """

    measure: str
    value: float | None
    target: str
    is_met: bool


# Each entry holds the measure, whether the bound is a lower bound, and the bound.
REQUIRED_BOUNDS: tuple[tuple[str, bool, float], ...] = (
    ("goodput_ratio", True, 0.90),
    ("protected_ratio", True, 0.99),
    ("recovery_s", False, 3.0),
    ("wasted_work_ratio", False, 0.05),
    ("duplicate_runs", False, 0),
    ("not_run_violations", False, 0),
    ("max_retries_per_request", False, MAX_RETRIES),
    ("priority_inversions", False, 0),
)


def check_measures(measures: dict) -> list[Check]:
    """Compare the measures of a run with the required bounds."""
    checks = []
    for name, is_lower_bound, bound in REQUIRED_BOUNDS:
        value = measures[name]
        if value is None:
            is_met = False
        else:
            is_met = value >= bound if is_lower_bound else value <= bound
        sign = ">=" if is_lower_bound else "<="
        checks.append(Check(name, value, f"{sign} {bound}", is_met))
    return checks


def format_report(report: dict) -> str:
    """Return the report of all scenarios as text for a terminal."""
    lines = []
    for result in report["scenarios"]:
        lines.append(
            f"{report['mesh']} / {result['scenario']}, seed {report['seed']}, "
            f"shedding {report['shedding']}, best {result['best_per_s']} answers/s"
        )
        lines.append(f"  {'measure':<26}{'naive':>10}{'mimosaloom':>12}  target")
        for check in check_measures(result["mimosaloom"]):
            naive = _format(result["naive"][check.measure])
            verdict = "met" if check.is_met else "NOT MET"
            lines.append(
                f"  {check.measure:<26}{naive:>10}{_format(check.value):>12}"
                f"  {check.target:<8} {verdict}"
            )
        for name, ratio in result["mimosaloom"]["goodput_by_class"].items():
            naive = _format(result["naive"]["goodput_by_class"][name])
            lines.append(f"  {name:<26}{naive:>10}{_format(ratio):>12}")
        lines.append("")
    return "\n".join(lines)


def _format(value: float | None) -> str:
    return "none" if value is None else f"{value:g}"
