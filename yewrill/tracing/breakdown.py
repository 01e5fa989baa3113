"""Breaks a request's time down into parts. Pure functions; all times in nanoseconds of one clock.

The time from start to end is divided at the record's timestamps into adjacent segments, so the parts always
add up to the whole, even if timestamps are missing or out of order.

Parts: `receiving` the request from the client; `held` by the dispatcher before an attempt or final answer;
`connecting` to the worker and writing the request; `queued` at the worker, if it reports the start;
`running` at the worker; `lost` to attempts that were not served; `answering`, sending the response.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

PARTS = ("receiving", "held", "connecting", "queued", "running", "lost", "answering")


def segments(record: Mapping[str, Any]) -> Iterator[tuple[str, int, int]]:
    """Yields the segments of a record: part, begin, end."""
    begin, record_end = record["start"], record["end"]
    for part, part_end in _part_ends(record):
        end = min(record_end, max(begin, part_end))
        if end > begin:
            yield part, begin, end
            begin = end
    if record_end > begin:
        yield "answering", begin, record_end


def _part_ends(record: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    """Yields each part with the timestamp of its end, in the order in which a request passes them."""
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
    """Returns the nanoseconds of every part; their sum is the record's duration."""
    totals = dict.fromkeys(PARTS, 0)
    for part, begin, end in segments(record):
        totals[part] += end - begin
    return totals


def percentiles(values: Iterable[float], at: Sequence[float]) -> list[float]:
    """Returns the percentiles `at` of the values by nearest rank; zeros if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return [0.0] * len(at)
    return [
        ordered[min(len(ordered) - 1, max(0, round(p / 100.0 * len(ordered) + 0.5) - 1))]
        for p in at
    ]
