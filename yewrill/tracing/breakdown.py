"""Where an operation's time went. Pure; all times in nanoseconds of one clock.

A life is cut at its marks into stretches that follow one another: each begins where the one before it
ended, none ends before it began, and the last one ends with the life. So the parts add up to the whole,
whatever marks are missing or, by a fault of ours, out of order.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

PARTS = ("receiving", "held", "connecting", "queued", "running", "lost", "answering")


def stretches(record: Mapping[str, Any]) -> Iterator[tuple[str, int, int]]:
    """The stretches of a record's life: part, begin, end."""
    at, last = record["start"], record["end"]
    for part, until in _marks(record):
        until = min(last, max(at, until))
        if until > at:
            yield part, at, until
            at = until
    if last > at:
        yield "answering", at, last


def _marks(record: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    """Each part's end, in the order of the operation's steps."""
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
    """Nanoseconds by part, every part there; their sum is the record's length."""
    found = dict.fromkeys(PARTS, 0)
    for part, begin, end in stretches(record):
        found[part] += end - begin
    return found


def percentiles(values: Iterable[float], at: Sequence[float]) -> list[float]:
    """By nearest rank; 0 where there is nothing."""
    ordered = sorted(values)
    if not ordered:
        return [0.0] * len(at)
    return [
        ordered[min(len(ordered) - 1, max(0, round(p / 100.0 * len(ordered) + 0.5) - 1))]
        for p in at
    ]
