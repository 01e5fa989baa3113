"""The log: structlog over the standard library's, lines as they always were or as JSON, never waited for.

Every call in the program stays a plain one, `log.info("ready name=%s listen=%s:%d", ...)`: the first word
names the event and what follows it is keys. `event_of` reads both from the line's own template, so a value
with spaces in it stays one value. Lines go through a bounded queue to a thread; a reader of standard error
that has stopped reading costs lines, not jobs, and how many is told by the next line that goes out. More
than so many lines a second of one event are thinned, with a count.
"""

from __future__ import annotations

import contextvars
import logging
import logging.handlers
import queue
import re
import sys
import threading
import time
from collections.abc import Callable, Iterator, MutableMapping
from contextlib import contextmanager, suppress
from typing import Any

MOST_LINES = 4096  # that wait for the reader
MOST_A_SECOND = 50  # of one event
_PIECES = re.compile(r"%(?:\.\d+)?[a-z]")
_KEYED = re.compile(r"([A-Za-z_][\w-]*)=(.*)")
# What a line says of the operation it belongs to.
_request: contextvars.ContextVar[tuple[str, str] | None] = contextvars.ContextVar(
    "request", default=None
)


def bind_request(id: str, trace: str) -> None:
    """Lines that this task writes from now on carry this operation's id and trace."""
    _request.set((id, trace))


def event_of(record: logging.LogRecord) -> tuple[str, dict[str, Any], str]:
    """The event's name, its keys and the rest of a line."""
    if not isinstance(record.msg, str):
        return str(record.msg), {}, ""
    args = record.args if isinstance(record.args, tuple) else (record.args,) if record.args else ()
    name, _, rest = record.msg.partition(" ")
    if "%" in name or len(_PIECES.findall(record.msg)) != len(args):
        return record.getMessage(), {}, ""
    keys: dict[str, Any] = {}
    words: list[str] = []
    given = iter(args)
    for piece in rest.split(" "):
        held = [next(given) for _ in _PIECES.findall(piece)]
        keyed = _KEYED.fullmatch(piece)
        if keyed is None:
            words.append(piece % tuple(held) if held else piece)
            continue
        value = keyed[2].rstrip(":")
        if len(held) == 1 and _PIECES.fullmatch(value) and isinstance(held[0], (int, float)):
            keys[keyed[1]] = held[0]
        else:
            keys[keyed[1]] = value % tuple(held) if held else value
    return name.rstrip(":"), keys, " ".join(words).strip()


class Thinner(logging.Filter):
    """Lets so many lines a second of one event pass; the next one that passes says how many did not."""

    def __init__(self, most: int = MOST_A_SECOND, clock: Callable[[], float] = time.monotonic):
        super().__init__()
        self._most, self._clock = most, clock
        # By event: when its second began, lines in that, thinned since the last that passed.
        self._seen: dict[str, tuple[float, int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line passes."""
        name = str(record.msg).partition(" ")[0]
        now = self._clock()
        began, count, thinned = self._seen.get(name, (now, 0, 0))
        if now - began >= 1.0:
            began, count = now, 0
        if count >= self._most:
            self._seen[name] = began, count, thinned + 1
            return False
        if len(self._seen) > 1000:
            self._seen.clear()
        self._seen[name] = began, count + 1, 0
        if thinned:
            record.thinned = thinned
        return True


class _Queued(logging.handlers.QueueHandler):
    """Puts lines in the queue with what belongs to them, and never waits."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self.lost = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        if (belongs := _request.get()) is not None:
            record.request, record.trace = belongs
        if self.lost:
            record.lost, self.lost = self.lost, 0
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.lost += 1 + getattr(record, "lost", 0)


def _fields(logger: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Turn a standard record, as a processor of structlog, into an event and its keys."""
    record: logging.LogRecord = event["_record"]
    name, keys, rest = record.parsed
    for key in ("request", "trace", "thinned", "lost"):
        if (value := getattr(record, key, None)) is not None:
            keys.setdefault(key, value)
    found = {"event": name, **keys}
    if rest:
        found["text"] = rest
    return {**event, **found}


class _Plain(logging.Formatter):
    """As the lines always were, with what belongs to them at the end."""

    def format(self, record: logging.LogRecord) -> str:
        text = super().format(record)
        more = "".join(
            f" {key}={value}"
            for key in ("trace", "thinned", "lost")
            if (value := getattr(record, key, None)) is not None
        )
        head, newline, traceback = text.partition("\n")
        return head + more + newline + traceback


def formatter(form: str) -> logging.Formatter:
    """`plain`: no library needed; `console` and `json` by structlog."""
    if form == "plain":
        return _Plain("%(asctime)s %(levelname)s %(name)s %(message)s")
    import structlog

    clean = structlog.stdlib.ProcessorFormatter.remove_processors_meta
    processors: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _fields,
    ]
    if form == "json":
        processors += [
            structlog.processors.format_exc_info,
            clean,
            structlog.processors.JSONRenderer(),
        ]
    else:
        processors += [clean, structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())]

    class Structured(structlog.stdlib.ProcessorFormatter):
        def format(self, record: logging.LogRecord) -> str:
            record.parsed = event_of(
                record
            )  # now: the processors get the line's text, without its arguments
            return super().format(record)

    return Structured(processors=processors)


@contextmanager
def logging_to(stream: Any, level: str, form: str) -> Iterator[_Queued]:
    """The whole program's log, until the end of the block; what waits then is written, within a second."""
    lines: queue.Queue = queue.Queue(MOST_LINES)
    out = logging.StreamHandler(stream)
    out.setFormatter(formatter(form))
    queued = _Queued(lines)
    queued.addFilter(Thinner())
    root = logging.getLogger()
    root.setLevel(level)
    root.addHandler(queued)
    listener = logging.handlers.QueueListener(lines, out)
    listener.start()

    def end() -> None:
        with suppress(queue.Full):
            listener.stop()

    try:
        yield queued
    finally:
        root.removeHandler(queued)
        # A reader that has stopped for good must not hold the program.
        ending = threading.Thread(target=end, daemon=True)
        ending.start()
        ending.join(1.0)
