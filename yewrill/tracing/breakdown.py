"""Breaks a request's time down into parts. Pure; all times in nanoseconds of one clock.

The time from start to end is divided at the record's timestamps into adjacent segments, so the parts always
add up to the whole, also if timestamps are missing or out of order.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

PARTS = ("receiving", "held", "connecting", "queued", "running", "lost", "answering")


def segments(record: Mapping[str, Any]) -> Iterator[tuple[str, int, int]]:
    """The segments of a record: part, begin, end."""
    at, last = record["start"], record["end"]
    for part, mark in _marks(record):
        until = min(last, max(at, mark))
        if until > at:
            yield part, at, until
            at = until
    if last > at:
        yield "answering", at, last


def _marks(record: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    """Each part's end, in order."""
    taken = record.get("taken") or record["start"]
    yield "receiving", taken
    attempts: Sequence[Mapping[str, Any]] = record["attempts"]
    for attempt in attempts:
        yield "held", attempt["begin"]
        end = attempt.get("end") or record["end"]
        if attempt.get("ending") != "served":
            yield "lost", end
            continue
        written = attempt.get("written") or end
        yield "connecting", written
        if attempt.get("started"):
            yield "queued", attempt["started"]
        yield "running", end
    if record.get("decided"):
        yield "held", record["decided"]


def parts(record: Mapping[str, Any]) -> dict[str, int]:
    """Nanoseconds by part, for every part; their sum is the record's duration."""
    found = dict.fromkeys(PARTS, 0)
    for part, begin, end in segments(record):
        found[part] += end - begin
    return found


def percentiles(values: Iterable[float], at: Sequence[float]) -> list[float]:
    """Percentiles by nearest rank; 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return [0.0] * len(at)
    return [
        ordered[min(len(ordered) - 1, max(0, round(p / 100.0 * len(ordered) + 0.5) - 1))]
        for p in at
    ]
