"""Logging: plain text lines, or structured ones by structlog, written by a thread so that no caller waits.

Log calls use the standard library: `log.info("ready name=%s listen=%s:%d", ...)`. The first word of the
template is the event, and `key=` words are its keys. `parse_event` reads them from the template rather than
from the formatted line, so that a value with spaces stays one value. Lines go through a bounded queue to a
thread: if the reader of standard error stops reading, lines are dropped instead of requests being delayed,
and the next line that is written carries the number of dropped lines (`lost`). Lines of one event above a
rate limit are suppressed, and the next line of that event carries their number (`thinned`).
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

MAX_QUEUED_LINES = 4096
MAX_LINES_PER_SECOND = 50  # maximum number of lines of each event
_PLACEHOLDER = re.compile(r"%(?:\.\d+)?[a-z]")
_KEY_VALUE = re.compile(r"([A-Za-z_][\w-]*)=(.*)")
# Id and trace of the request that the current task handles.
_current_request: contextvars.ContextVar[tuple[str, str] | None] = contextvars.ContextVar(
    "request", default=None
)


def bind_request(id: str, trace: str) -> None:
    """Adds a request's id and trace to all lines that the current task logs from now on."""
    _current_request.set((id, trace))


def parse_event(record: logging.LogRecord) -> tuple[str, dict[str, Any], str]:
    """Splits a record into the event's name, its keys and the remaining text."""
    if not isinstance(record.msg, str):
        return str(record.msg), {}, ""
    args = record.args if isinstance(record.args, tuple) else (record.args,) if record.args else ()
    name, _, rest = record.msg.partition(" ")
    if "%" in name or len(_PLACEHOLDER.findall(record.msg)) != len(args):
        return record.getMessage(), {}, ""
    keys: dict[str, Any] = {}
    text_words: list[str] = []
    remaining_args = iter(args)
    for word in rest.split(" "):
        values = [next(remaining_args) for _ in _PLACEHOLDER.findall(word)]
        key_value = _KEY_VALUE.fullmatch(word)
        if key_value is None:
            text_words.append(word % tuple(values) if values else word)
            continue
        value = key_value[2].rstrip(":")
        if (
            len(values) == 1
            and _PLACEHOLDER.fullmatch(value)
            and isinstance(values[0], (int, float))
        ):
            keys[key_value[1]] = values[0]
        else:
            keys[key_value[1]] = value % tuple(values) if values else value
    return name.rstrip(":"), keys, " ".join(text_words).strip()


class RateLimitFilter(logging.Filter):
    """Limits the lines of each event per second; the next line that passes carries the suppressed count."""

    def __init__(
        self,
        max_per_second: int = MAX_LINES_PER_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self._max_per_second, self._clock = max_per_second, clock
        # State by event: start of the current second, number of lines in that second, number of lines
        # suppressed since the last line that passed.
        self._seen: dict[str, tuple[float, int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a record is logged."""
        name = str(record.msg).partition(" ")[0]
        now = self._clock()
        second_start, count, thinned = self._seen.get(name, (now, 0, 0))
        if now - second_start >= 1.0:
            second_start, count = now, 0
        if count >= self._max_per_second:
            self._seen[name] = second_start, count, thinned + 1
            return False
        if len(self._seen) > 1000:
            self._seen.clear()
        self._seen[name] = second_start, count + 1, 0
        if thinned:
            record.thinned = thinned
        return True


class _NonBlockingQueueHandler(logging.handlers.QueueHandler):
    """Puts records in the queue with their request's id and trace; drops and counts them if it is full."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self.lost = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        if (request_ids := _current_request.get()) is not None:
            record.request, record.trace = request_ids
        if self.lost:
            record.lost, self.lost = self.lost, 0
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.lost += 1 + getattr(record, "lost", 0)


def _add_event_fields(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Adds the event, its keys and the record's own attributes. A structlog processor."""
    record: logging.LogRecord = event["_record"]
    name, keys, rest = record.parsed
    for key in ("request", "trace", "thinned", "lost"):
        if (value := getattr(record, key, None)) is not None:
            keys.setdefault(key, value)
    found = {"event": name, **keys}
    if rest:
        found["text"] = rest
    return {**event, **found}


class _PlainFormatter(logging.Formatter):
    """Formats a line as text, followed by the trace and the counts of suppressed and dropped lines."""

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
    """Returns the formatter for `plain`, `console` or `json`; only `plain` works without structlog."""
    if form == "plain":
        return _PlainFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    import structlog

    remove_meta = structlog.stdlib.ProcessorFormatter.remove_processors_meta
    processors: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _add_event_fields,
    ]
    if form == "json":
        processors += [
            structlog.processors.format_exc_info,
            remove_meta,
            structlog.processors.JSONRenderer(),
        ]
    else:
        processors += [remove_meta, structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())]

    class StructuredFormatter(structlog.stdlib.ProcessorFormatter):
        def format(self, record: logging.LogRecord) -> str:
            # The event is parsed before structlog, which passes only the formatted text, without the
            # arguments, to the processors.
            record.parsed = parse_event(record)
            return super().format(record)

    return StructuredFormatter(processors=processors)


@contextmanager
def logging_to(stream: Any, level: str, form: str) -> Iterator[_NonBlockingQueueHandler]:
    """Configures the root logger until the end of the block, then writes queued lines for up to a second."""
    lines: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
    stream_handler = logging.StreamHandler(stream)
    stream_handler.setFormatter(formatter(form))
    queue_handler = _NonBlockingQueueHandler(lines)
    queue_handler.addFilter(RateLimitFilter())
    root = logging.getLogger()
    root.setLevel(level)
    root.addHandler(queue_handler)
    listener = logging.handlers.QueueListener(lines, stream_handler)
    listener.start()

    def stop_listener() -> None:
        with suppress(queue.Full):
            listener.stop()

    try:
        yield queue_handler
    finally:
        root.removeHandler(queue_handler)
        # A reader that never reads again must not delay the exit of the process.
        stopper = threading.Thread(target=stop_listener, daemon=True)
        stopper.start()
        stopper.join(1.0)
