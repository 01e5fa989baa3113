"""Reads public cluster traces in CSV for request classes, rates and run times.

Alibaba's cluster-trace-v2018 `batch_task.csv` has no header and these columns: task_name, instance_num,
job_name, task_type, status, start_time, end_time, plan_cpu (100 is one core), plan_mem (normalised).
Times are whole seconds from the trace's start.
"""

from __future__ import annotations

import csv
import gzip
import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

MAX_RUN_TIMES_PER_CLASS = 50_000  # a uniform sample: the full trace has millions of rows
COLUMNS = (
    "task_name",
    "instance_num",
    "job_name",
    "task_type",
    "status",
    "start_time",
    "end_time",
    "plan_cpu",
    "plan_mem",
)
TASK_STATES = ("Ready", "Waiting", "Running", "Terminated", "Failed", "Cancelled", "Interrupted")


class TraceError(Exception):
    """A file from which no request class can be derived."""


@dataclass(frozen=True, slots=True)
class BadRow:
    """A row that was skipped, and why."""

    line: int
    text: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.text}"


@dataclass(slots=True)
class TraceClass:
    """What a trace says about one request class; times in milliseconds."""

    name: str
    arrivals: int = 0
    finished: int = 0
    runs: list[float] = field(default_factory=list)  # a sample
    slots: float = 0.0  # a sum over arrivals

    def quantile(self, q: float) -> float:
        """A quantile of the run times, `q` from 0 to 1, by nearest rank."""
        ordered = sorted(self.runs)
        return ordered[min(len(ordered) - 1, math.ceil(q * len(ordered)) - 1 if q > 0 else 0)]

    @property
    def mean(self) -> float:
        """The mean run time."""
        return sum(self.runs) / len(self.runs)


@dataclass(slots=True)
class Trace:
    """The request classes of a trace, and counts of its rows."""

    classes: dict[str, TraceClass] = field(default_factory=dict)
    first_start: float = math.inf  # start times, seconds
    last_start: float = -math.inf
    rows: int = 0
    bad: int = 0

    @property
    def duration_s(self) -> float:
        """Time from the first start to the last, at least 1 s, the resolution of the trace."""
        return max(1.0, self.last_start - self.first_start + 1.0)


def _number(row: list[str], column: str, *, absent: float | None = None) -> float:
    text = row[COLUMNS.index(column)].strip()
    if not text and absent is not None:
        return absent
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{column}: {text!r} is not a number") from None
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{column}: {text} is not zero or above")
    return value


def _batch_task(row: list[str]) -> tuple[str, float, float | None, float, int]:
    """Class, start, run time if it ran to its end, slots and instances of one row."""
    if len(row) != len(COLUMNS):
        raise ValueError(f"{len(row)} columns, {len(COLUMNS)} are needed")
    kind = row[3].strip()
    if not kind.isalnum():
        raise ValueError(f"task_type: {kind!r} is not a type")
    status = row[4].strip()
    if status not in TASK_STATES:
        raise ValueError(f"status: {status!r} is not one of {', '.join(TASK_STATES)}")
    start, end = _number(row, "start_time"), _number(row, "end_time", absent=0.0)
    run = None
    if status == "Terminated":
        if end < start:
            raise ValueError(f"end_time: {end:g} is before start_time {start:g}")
        run = (end - start) * 1000.0
    instances = _number(row, "instance_num", absent=1.0)
    return (
        f"type-{kind}",
        start,
        run,
        max(1.0, _number(row, "plan_cpu", absent=100.0) / 100.0),
        int(instances),
    )


def _lines(path: Path) -> Iterator[tuple[int, list[str]]]:
    opened = gzip.open if path.suffix == ".gz" else open
    with opened(path, "rt", encoding="utf-8", errors="replace", newline="") as file:
        reader = csv.reader(file)
        while True:
            try:
                row = next(reader)
            except StopIteration:
                return
            except csv.Error as error:
                yield reader.line_num, [f"\0{error}"]
                continue
            if row:
                yield reader.line_num, row


def read_batch_task(path: str | Path, on_bad: Callable[[BadRow], None]) -> Trace:
    """Read `batch_task.csv`, plain or as .gz.

    Bad rows are passed to `on_bad` and skipped. Raises TraceError if no class is left, or on an I/O error.
    """
    trace = Trace()
    rng = random.Random(0)  # the same file gives the same configuration
    try:
        for line, row in _lines(Path(path)):
            if line == 1 and row[0].strip() == COLUMNS[0]:
                continue
            trace.rows += 1
            try:
                if row[0].startswith("\0"):
                    raise ValueError(row[0][1:])
                _add_task(trace, rng, *_batch_task(row))
            except ValueError as error:
                trace.bad += 1
                on_bad(BadRow(line, str(error)))
    except (OSError, EOFError) as error:
        raise TraceError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    trace.classes = {name: c for name, c in sorted(trace.classes.items()) if c.runs}
    if not trace.classes:
        raise TraceError(
            f"{path}: no task that ran to its end, in {trace.rows} rows ({trace.bad} bad)"
        )
    return trace


def _add_task(
    trace: Trace,
    rng: random.Random,
    name: str,
    start: float,
    run: float | None,
    slots: float,
    instances: int,
) -> None:
    if start <= 0 and run is None:
        return  # it never started
    found = trace.classes.setdefault(name, TraceClass(name))
    count = max(1, instances)
    found.arrivals += count
    found.slots += slots * count
    trace.first_start, trace.last_start = (
        min(trace.first_start, start),
        max(trace.last_start, start),
    )
    if run is None:
        return
    found.finished += 1
    if len(found.runs) < MAX_RUN_TIMES_PER_CLASS:
        found.runs.append(run)
    else:
        at = rng.randrange(found.finished)
        if at < MAX_RUN_TIMES_PER_CLASS:
            found.runs[at] = run


FORMATS: dict[str, Callable[[str | Path, Callable[[BadRow], None]], Trace]] = {
    "alibaba-2018-batch-task": read_batch_task,
}


def formats() -> Iterable[str]:
    """The names of the formats that can be read."""
    return FORMATS
