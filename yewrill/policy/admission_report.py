"""Snapshots of the admission control for metrics and logs. Times are milliseconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from yewrill.policy.controller import LoadLevel
from yewrill.policy.interface import RejectionReason


@dataclass(frozen=True, slots=True)
class ClassReport:
    """Estimates of one request class, and its requests that were not served, counted by reason."""

    name: str
    mean_run_time: float
    time_constraint: float
    not_served: Mapping[RejectionReason, int]


@dataclass(frozen=True, slots=True)
class AdmissionReport:
    """State of the controller, the fleet estimates that it depends on, and the request classes."""

    load_level: LoadLevel
    gapped_levels: int
    level_changes: int  # number of level changes since the process started
    drain_time: float  # run time quantile divided by the available slots (x in the paper)
    available_slots: float
    idle_slots: float
    classes: Sequence[ClassReport]


@dataclass(frozen=True, slots=True)
class ConstraintTest:
    """One time constraint at the time of a test, and the number of requests that must start within it."""

    request_class: str
    time_constraint: float
    mean_run_time: float
    due: int

    def __str__(self) -> str:
        return (
            f"{self.request_class}:constraint={self.time_constraint:.0f}"
            f":run_time={self.mean_run_time:.0f}:due={self.due}"
        )


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A change of the load level or of the number of gapped levels, with the values of the test."""

    load_level: LoadLevel
    gapped_levels: int
    drain_time: float
    run_time_quantile: float
    available_slots: float
    tests: Sequence[ConstraintTest]
