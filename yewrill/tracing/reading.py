"""Reads records from files, filters them, and prints them as lines, a waterfall or sentences."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import ujson

from yewrill.tracing import breakdown

Record = Mapping[str, Any]
_GLYPHS = {
    "receiving": "r",
    "held": ".",
    "connecting": "c",
    "queued": "q",
    "running": "#",
    "lost": "x",
    "answering": "a",
}
_SINCE = re.compile(r"(\d+)(s|m|h|d)")
_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class BadLine(Exception):
    """A line that is not a record; the message names file and line."""


@dataclass(frozen=True, slots=True)
class Filter:
    """A selection of records; "" and 0 select all. Times in nanoseconds."""

    request_class: str = ""
    tenant: str = ""
    worker: str = ""
    cause: str = ""
    since: int = 0
    until: int = 0

    def passes(self, record: Record) -> bool:
        """Whether a record is selected."""
        return (
            (not self.request_class or record["class"] == self.request_class)
            and (not self.tenant or record["tenant"] == self.tenant)
            and (not self.worker or any(a["to"] == self.worker for a in record["attempts"]))
            and (not self.cause or self.cause in record["kept"])
            and record["end"] >= self.since
            and (not self.until or record["start"] <= self.until)
        )


def time_of(text: str, now: float) -> int:
    """`30m` ago, or an ISO time, in nanoseconds. Raises ValueError."""
    if match := _SINCE.fullmatch(text):
        return int((now - int(match[1]) * _SECONDS[match[2]]) * 1e9)
    return int(datetime.fromisoformat(text).timestamp() * 1e9)


def files_of(path: str) -> list[Path]:
    """A file and what was rotated from it, the oldest first."""
    base = Path(path)
    rotated = [found for found in base.parent.glob(base.name + ".*") if found.suffix[1:].isdigit()]
    rotated.sort(key=lambda found: -int(found.suffix[1:]))
    return [*rotated, *([base] if base.exists() else [])]


def read(paths: Iterable[str], on_bad: Any = None) -> Iterator[Record]:
    """Read every record of these files and of the ones rotated from them.

    Passes a BadLine to `on_bad` for each bad line; raises it if there is no `on_bad`, or no such file.
    """
    for path in paths:
        found = files_of(path)
        if not found:
            raise BadLine(f"{path}: no such file")
        for file in found:
            with open(file, "rb") as lines:
                for number, line in enumerate(lines, 1):
                    try:
                        record = ujson.loads(line)
                        (
                            record["trace"],
                            record["start"],
                            record["end"],
                            record["attempts"],
                            record["parts"],
                        )
                    except (ValueError, KeyError, TypeError):
                        error = BadLine(f"{file}:{number}: no record")
                        if on_bad is None:
                            raise error from None
                        on_bad(error)
                        continue
                    yield record


def ms(ns: float) -> str:
    """Nanoseconds as text in milliseconds."""
    return f"{ns / 1e6:.1f} ms"


def moment(ns: int) -> str:
    """Nanoseconds since the epoch as ISO 8601 in UTC."""
    return datetime.fromtimestamp(ns / 1e9, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def line(record: Record) -> str:
    """One line of a list."""
    return (
        f"{moment(record['start'])} {record['trace']} {record['class']:<12} {record['answer']:<8}"
        f"{ms(record['end'] - record['start']):>12}  {len(record['attempts'])} attempts  "
        f"{','.join(record['kept']):<16} {record['id']}"
    )


def waterfall(record: Record, width: int = 72) -> list[str]:
    """A request's time drawn to scale, one row for the whole and one for each attempt."""
    start, whole = record["start"], max(1, record["end"] - record["start"])

    def column(at: int) -> int:
        return min(width, max(0, round((at - start) * width / whole)))

    def draw(parts: Iterable[tuple[str, int, int]]) -> str:
        row = [" "] * width
        for part, begin, end in parts:
            for at in range(column(begin), max(column(end), min(width, column(begin) + 1))):
                row[at] = _GLYPHS[part]
        return "".join(row)

    rows = [f"{'operation':<14}|{draw(breakdown.segments(record))}| {ms(whole)}"]
    for attempt in record["attempts"]:
        rows.append(
            f"{attempt['number']}: {attempt['to'][:11]:<11}|{draw(_of(attempt))}| "
            f"{ms(attempt['end'] - attempt['begin'])} {attempt['ending']}"
        )
    for event in record["events"]:
        rows.append(
            f"{'':<14}|{'':<{column(event['at'])}}^ {event['name']} {event['text']}".rstrip()
        )
    rows.append("  ".join(f"{glyph} {part}" for part, glyph in _GLYPHS.items()))
    return rows


def _of(attempt: Mapping[str, Any]) -> Iterator[tuple[str, int, int]]:
    if attempt["ending"] != "served":
        yield "lost", attempt["begin"], attempt["end"]
        return
    written = attempt["written"] or attempt["end"]
    started = attempt["started"] or written
    yield "connecting", attempt["begin"], written
    yield "queued", written, started
    yield "running", started, attempt["end"]


_ANSWERS = {
    "served": "was served",
    "refused": "was refused (a busy reply)",
    "failed": "failed",
    "left": "had no answer: its client left",
}
_OUTCOMES = {
    "failed": "the destination said that it failed",
    "garbled": "its answer was not the protocol's",
    "turned away": "the destination sent it back unstarted",
    "unreached": "the destination could not be reached",
    "reset": "the connection broke after the request was out, so it may have run",
    "worn, unreached": "a kept connection was dead before the request was out",
    "worn, reset": "a kept connection broke under it, so it may have run",
    "timed out": "nothing came in time, so it may have run",
    "called off": "the module withdrew it",
    "not sent": "client, deadline or destination did not stand the last look before the send",
    "broken": "a fault of our own",
    "unknown": "its end was not seen",
}


def why(record: Record) -> list[str]:
    """Sentences that say how the request ended, where its time went, and why it was retried or rejected."""
    whole = record["end"] - record["start"]
    said = [
        f"{record['class']} {record['id']} of {record['tenant'] or 'no tenant'} "
        f"{_ANSWERS[record['answer']]} after {ms(whole)}."
    ]
    if record["late"]:
        said.append(
            f"It was late: wanted within {record['aim_ms']:g} ms plus {record['stretch']:g} times "
            "its own running time."
        )
    if record["why"]:
        said.append(f"The module's ground: {record['why']}.")
    parts = sorted(record["parts"].items(), key=lambda item: -item[1])
    said.append(
        "Its time went to "
        + ", ".join(
            f"{part} {ms(spent)} ({100 * spent / max(1, whole):.0f}%)"
            for part, spent in parts
            if spent > 0
        )
        + "."
    )
    before = record["taken"]
    for attempt in record["attempts"]:
        wait = attempt["begin"] - before
        reason = f" ({attempt['held']})" if attempt["held"] else ""
        said.append(
            f"Attempt {attempt['number']} went to {attempt['to']}, one of {attempt['among']}, "
            f"after being held for {ms(wait)}{reason}."
        )
        if attempt["ending"] == "served":
            if attempt["started"]:
                said.append(
                    f"  It waited there for {ms(attempt['started'] - attempt['written'])} and ran "
                    f"for {ms(attempt['end'] - attempt['started'])}."
                )
        else:
            began = (
                "it had started there"
                if attempt["started"]
                else "it had not started, as far as was told"
            )
            said.append(
                f"  It came to nothing after {ms(attempt['end'] - attempt['begin'])}: "
                f"{_OUTCOMES.get(attempt['ending'], attempt['ending'])}; {began}; "
                f"then: {attempt['then']}."
            )
        before = attempt["end"]
    for event in record["events"]:
        said.append(
            f"{ms(event['at'] - record['start'])} in: {event['name']} {event['text']}".rstrip()
            + "."
        )
    return said
