"""Reads records from files, filters them, and formats them as lines, a waterfall chart or sentences."""

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
_AGE = re.compile(r"(\d+)(s|m|h|d)")
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class BadLine(Exception):
    """A line that is not a record, or a missing file; the message names the file and the line."""


@dataclass(frozen=True, slots=True)
class Filter:
    """A selection of records; "" and 0 select all. `since` and `until` are nanoseconds since the epoch."""

    request_class: str = ""
    tenant: str = ""
    worker: str = ""
    cause: str = ""
    since: int = 0
    until: int = 0

    def passes(self, record: Record) -> bool:
        """Returns whether a record is selected."""
        return (
            (not self.request_class or record["class"] == self.request_class)
            and (not self.tenant or record["tenant"] == self.tenant)
            and (not self.worker or any(a["to"] == self.worker for a in record["attempts"]))
            and (not self.cause or self.cause in record["kept"])
            and record["end"] >= self.since
            and (not self.until or record["start"] <= self.until)
        )


def parse_time(text: str, now: float) -> int:
    """Parses an age such as `30m` or an ISO 8601 time to nanoseconds since the epoch. Raises ValueError.

    `now` is in seconds since the epoch.
    """
    if match := _AGE.fullmatch(text):
        return int((now - int(match[1]) * _SECONDS_BY_UNIT[match[2]]) * 1e9)
    return int(datetime.fromisoformat(text).timestamp() * 1e9)


def with_rotated_files(path: str) -> list[Path]:
    """Returns a file and those rotated from it, the oldest first."""
    base = Path(path)
    rotated = [file for file in base.parent.glob(base.name + ".*") if file.suffix[1:].isdigit()]
    rotated.sort(key=lambda file: -int(file.suffix[1:]))
    return [*rotated, *([base] if base.exists() else [])]


def read(paths: Iterable[str], on_bad: Any = None) -> Iterator[Record]:
    """Yields every record of these files and of those rotated from them.

    Passes a BadLine to `on_bad` for each bad line, or raises it without `on_bad`. Raises BadLine for a
    missing file.
    """
    for path in paths:
        files = with_rotated_files(path)
        if not files:
            raise BadLine(f"{path}: no such file")
        for file in files:
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
                        error = BadLine(f"{file}:{number}: not a trace record")
                        if on_bad is None:
                            raise error from None
                        on_bad(error)
                        continue
                    yield record


def format_ms(ns: float) -> str:
    """Formats nanoseconds as milliseconds."""
    return f"{ns / 1e6:.1f} ms"


def format_time(ns: int) -> str:
    """Formats nanoseconds since the epoch as ISO 8601 in UTC."""
    return datetime.fromtimestamp(ns / 1e9, UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def line(record: Record) -> str:
    """Formats a record as one line of a list."""
    return (
        f"{format_time(record['start'])} {record['trace']} {record['class']:<12} {record['answer']:<8}"
        f"{format_ms(record['end'] - record['start']):>12}  {len(record['attempts'])} attempts  "
        f"{','.join(record['kept']):<16} {record['id']}"
    )


def waterfall(record: Record, width: int = 72) -> list[str]:
    """Draws a request's time to scale: a row for the whole request, and one for each attempt and event."""
    start, duration = record["start"], max(1, record["end"] - record["start"])

    def column(at: int) -> int:
        return min(width, max(0, round((at - start) * width / duration)))

    def draw(parts: Iterable[tuple[str, int, int]]) -> str:
        row = [" "] * width
        for part, begin, end in parts:
            for at in range(column(begin), max(column(end), min(width, column(begin) + 1))):
                row[at] = _GLYPHS[part]
        return "".join(row)

    rows = [f"{'operation':<14}|{draw(breakdown.segments(record))}| {format_ms(duration)}"]
    for attempt in record["attempts"]:
        rows.append(
            f"{attempt['number']}: {attempt['to'][:11]:<11}|{draw(_attempt_segments(attempt))}| "
            f"{format_ms(attempt['end'] - attempt['begin'])} {attempt['ending']}"
        )
    for event in record["events"]:
        rows.append(
            f"{'':<14}|{'':<{column(event['at'])}}^ {event['name']} {event['text']}".rstrip()
        )
    rows.append("  ".join(f"{glyph} {part}" for part, glyph in _GLYPHS.items()))
    return rows


def _attempt_segments(attempt: Mapping[str, Any]) -> Iterator[tuple[str, int, int]]:
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
    """Returns sentences that explain how a request ended, where its time went, and why it was retried."""
    duration = record["end"] - record["start"]
    sentences = [
        f"{record['class']} {record['id']} of {record['tenant'] or 'no tenant'} "
        f"{_ANSWERS[record['answer']]} after {format_ms(duration)}."
    ]
    if record["late"]:
        sentences.append(
            f"It was late: wanted within {record['aim_ms']:g} ms plus {record['stretch']:g} times "
            "its own running time."
        )
    if record["why"]:
        sentences.append(f"The module's ground: {record['why']}.")
    parts = sorted(record["parts"].items(), key=lambda item: -item[1])
    sentences.append(
        "Its time went to "
        + ", ".join(
            f"{part} {format_ms(spent)} ({100 * spent / max(1, duration):.0f}%)"
            for part, spent in parts
            if spent > 0
        )
        + "."
    )
    held_since = record["taken"]
    for attempt in record["attempts"]:
        wait = attempt["begin"] - held_since
        reason = f" ({attempt['held']})" if attempt["held"] else ""
        sentences.append(
            f"Attempt {attempt['number']} went to {attempt['to']}, one of {attempt['among']}, "
            f"after being held for {format_ms(wait)}{reason}."
        )
        if attempt["ending"] == "served":
            if attempt["started"]:
                sentences.append(
                    f"  It waited there for {format_ms(attempt['started'] - attempt['written'])} and ran "
                    f"for {format_ms(attempt['end'] - attempt['started'])}."
                )
        else:
            start_report = (
                "it had started there"
                if attempt["started"]
                else "it had not started, as far as was told"
            )
            sentences.append(
                f"  It came to nothing after {format_ms(attempt['end'] - attempt['begin'])}: "
                f"{_OUTCOMES.get(attempt['ending'], attempt['ending'])}; {start_report}; "
                f"then: {attempt['then']}."
            )
        held_since = attempt["end"]
    for event in record["events"]:
        sentences.append(
            f"{format_ms(event['at'] - record['start'])} in: {event['name']} {event['text']}".rstrip()
            + "."
        )
    return sentences
