"""Public cluster traces in CSV, read for what a configuration needs: classes, rates and run times.

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

SAMPLE = 50_000  # run times kept a class, drawn evenly from all of them: the full trace has millions of rows
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
STATES = ("Ready", "Waiting", "Running", "Terminated", "Failed", "Cancelled", "Interrupted")


class TraceError(Exception):
    """A trace that nothing can be derived from."""


@dataclass(frozen=True, slots=True)
class BadRow:
    line: int
    text: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.text}"


@dataclass(slots=True)
class TraceClass:
    """What a trace tells of one class of jobs; times in milliseconds."""

    name: str
    arrivals: int = 0
    finished: int = 0
    runs: list[float] = field(default_factory=list)  # a sample
    slots: float = 0.0  # a sum over arrivals

    def quantile(self, q: float) -> float:
        ordered = sorted(self.runs)
        return ordered[min(len(ordered) - 1, math.ceil(q * len(ordered)) - 1 if q > 0 else 0)]

    @property
    def mean(self) -> float:
        return sum(self.runs) / len(self.runs)


@dataclass(slots=True)
class Trace:
    classes: dict[str, TraceClass] = field(default_factory=dict)
    first: float = math.inf  # start times, seconds
    last: float = -math.inf
    rows: int = 0
    bad: int = 0

    @property
    def span(self) -> float:
        """Seconds that the arrivals cover; one at least, the trace's own resolution."""
        return max(1.0, self.last - self.first + 1.0)


def _figure(row: list[str], column: str, *, absent: float | None = None) -> float:
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
    if status not in STATES:
        raise ValueError(f"status: {status!r} is not one of {', '.join(STATES)}")
    start, end = _figure(row, "start_time"), _figure(row, "end_time", absent=0.0)
    run = None
    if status == "Terminated":
        if end < start:
            raise ValueError(f"end_time: {end:g} is before start_time {start:g}")
        run = (end - start) * 1000.0
    instances = _figure(row, "instance_num", absent=1.0)
    return (
        f"type-{kind}",
        start,
        run,
        max(1.0, _figure(row, "plan_cpu", absent=100.0) / 100.0),
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
    """Read `batch_task.csv`, plain or as .gz. Bad rows are told by line and left out."""
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
                _take(trace, rng, *_batch_task(row))
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


def _take(
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
    trace.first, trace.last = min(trace.first, start), max(trace.last, start)
    if run is None:
        return
    found.finished += 1
    if len(found.runs) < SAMPLE:
        found.runs.append(run)
    else:
        at = rng.randrange(found.finished)
        if at < SAMPLE:
            found.runs[at] = run


FORMATS: dict[str, Callable[[str | Path, Callable[[BadRow], None]], Trace]] = {
    "alibaba-2018-batch-task": read_batch_task,
}


def formats() -> Iterable[str]:
    return FORMATS
