"""Derives request classes, arrival rates and run times from public cluster traces in CSV.

Alibaba's cluster-trace-v2018 `batch_task.csv` has no header and these columns: task_name, instance_num,
job_name, task_type, status, start_time, end_time, plan_cpu (100 is one core), plan_mem (normalised).
Times are whole seconds since the start of the trace.
"""

from __future__ import annotations

import csv
import gzip
import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

# Number of run times kept of each class, as a uniform sample, since the full trace has millions of rows.
MAX_RUN_TIMES_PER_CLASS = 50_000
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
    """A trace file that cannot be read, or from which no request class can be derived."""


@dataclass(frozen=True, slots=True)
class BadRow:
    """A skipped row: its line number and the reason."""

    line: int
    text: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.text}"


@dataclass(slots=True)
class TraceClass:
    """Statistics of one request class of a trace; times in milliseconds."""

    name: str
    arrivals: int = 0
    finished: int = 0
    # Uniform sample of the run times of its tasks.
    run_times: list[float] = field(default_factory=list)
    slots: float = 0.0  # sum of the slots of all arrivals

    def quantile(self, q: float) -> float:
        """Returns a quantile of the run times by nearest rank. `q` is from 0 to 1."""
        ordered = sorted(self.run_times)
        return ordered[min(len(ordered) - 1, math.ceil(q * len(ordered)) - 1 if q > 0 else 0)]

    @property
    def mean(self) -> float:
        """Mean run time."""
        return sum(self.run_times) / len(self.run_times)


@dataclass(slots=True)
class Trace:
    """Request classes of a trace, and counts of its rows."""

    classes: dict[str, TraceClass] = field(default_factory=dict)
    first_start: float = math.inf  # earliest start, in seconds since the start of the trace
    last_start: float = -math.inf
    rows: int = 0
    bad: int = 0

    @property
    def duration_s(self) -> float:
        """Seconds from the first start to the last; at least 1 s, the resolution of the trace."""
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
        raise ValueError(f"{column}: {text} is negative or not finite")
    return value


def _parse_batch_task(row: list[str]) -> tuple[str, float, float | None, float, int]:
    """Returns class, start time, run time in ms (None unless terminated), slots and instances of a row."""
    if len(row) != len(COLUMNS):
        raise ValueError(f"{len(row)} columns, but {len(COLUMNS)} are expected")
    task_type = row[3].strip()
    if not task_type.isalnum():
        raise ValueError(f"task_type: {task_type!r} is not alphanumeric")
    status = row[4].strip()
    if status not in TASK_STATES:
        raise ValueError(f"status: {status!r} is not one of {', '.join(TASK_STATES)}")
    start, end = _number(row, "start_time"), _number(row, "end_time", absent=0.0)
    run_time = None
    if status == "Terminated":
        if end < start:
            raise ValueError(f"end_time: {end:g} is before start_time {start:g}")
        run_time = (end - start) * 1000.0
    instances = _number(row, "instance_num", absent=1.0)
    return (
        f"type-{task_type}",
        start,
        run_time,
        max(1.0, _number(row, "plan_cpu", absent=100.0) / 100.0),
        int(instances),
    )


def _read_rows(path: Path) -> Iterator[tuple[int, list[str]]]:
    """Yields line numbers and rows. A row that is not CSV is yielded as NUL and the parser's message."""
    open_text = gzip.open if path.suffix == ".gz" else open
    with open_text(path, "rt", encoding="utf-8", errors="replace", newline="") as file:
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
    """Reads `batch_task.csv`, plain or compressed as .gz.

    Bad rows are passed to `on_bad` and skipped. Raises TraceError on an I/O error, or if no class remains.
    """
    trace = Trace()
    rng = random.Random(0)  # a fixed seed, so that the same file gives the same configuration
    try:
        for line, row in _read_rows(Path(path)):
            if line == 1 and row[0].strip() == COLUMNS[0]:
                continue
            trace.rows += 1
            try:
                if row[0].startswith("\0"):
                    raise ValueError(row[0][1:])
                _add_task(trace, rng, *_parse_batch_task(row))
            except ValueError as error:
                trace.bad += 1
                on_bad(BadRow(line, str(error)))
    except (OSError, EOFError) as error:
        raise TraceError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    trace.classes = {name: c for name, c in sorted(trace.classes.items()) if c.run_times}
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
    run_time: float | None,
    slots: float,
    instances: int,
) -> None:
    if start <= 0 and run_time is None:
        return  # the task never started
    trace_class = trace.classes.setdefault(name, TraceClass(name))
    count = max(1, instances)
    trace_class.arrivals += count
    trace_class.slots += slots * count
    trace.first_start, trace.last_start = (
        min(trace.first_start, start),
        max(trace.last_start, start),
    )
    if run_time is None:
        return
    trace_class.finished += 1
    if len(trace_class.run_times) < MAX_RUN_TIMES_PER_CLASS:
        trace_class.run_times.append(run_time)
    else:
        index = rng.randrange(trace_class.finished)  # reservoir sampling keeps the sample uniform
        if index < MAX_RUN_TIMES_PER_CLASS:
            trace_class.run_times[index] = run_time


FORMATS: dict[str, Callable[[str | Path, Callable[[BadRow], None]], Trace]] = {
    "alibaba-2018-batch-task": read_batch_task,
}


def formats() -> Iterable[str]:
    """Returns the names of the supported trace formats."""
    return FORMATS
