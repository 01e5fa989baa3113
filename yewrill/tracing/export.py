"""Finished records on their way out: in batches, to rotated files of JSON lines and to a collector by OTLP
over HTTP.

One task takes from the tracer's queue. Files are written, and bytes made, by a worker thread. A collector
that does not take a batch is asked again by retry.py's rules; meanwhile finished records wait in the queue,
which is bounded, and, where there is a spool, in the store, which is too. Order: the spool first, since it
is older.
"""

from __future__ import annotations

import gzip
import logging
import logging.handlers
import random
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import urlsplit

import h11
import trio
import ujson

from yewrill.tracing import retry
from yewrill.tracing.tracer import Tracer

log = logging.getLogger("yewrill.tracing")

GATHER = 0.5  # seconds in which finished records are gathered to a batch
MOST_BATCH = 512  # records
MOST_ANSWER = 64 * 1024  # bytes of a collector's answer that are read
FLUSH = 1.0  # seconds for the last batch when the program ends


@dataclass(frozen=True, slots=True)
class Target:
    """Where records go. `url` after http://HOST:PORT/v1/traces, HOST an IPv4 address; `file` rotated by
    size."""

    url: str = ""
    file: str = ""
    file_mb: float = 64.0
    files: int = 4
    timeout: float = 10.0  # seconds for a collector's answer
    headers: tuple[tuple[str, str], ...] = ()
    rules: retry.Rules = field(default_factory=retry.Rules)


class Spool(Protocol):
    """What outlives an outage, and this process: batches by name, in order."""

    async def put(self, batch: bytes) -> bool: ...

    async def first(self) -> tuple[Any, bytes] | None: ...

    async def drop(self, name: Any) -> None: ...


class Files:
    """JSON lines, by the standard library's rotating handler. Called in a worker thread only."""

    def __init__(self, target: Target):
        Path(target.file).parent.mkdir(parents=True, exist_ok=True)
        self._handler = logging.handlers.RotatingFileHandler(
            target.file,
            maxBytes=int(target.file_mb * 2**20),
            backupCount=target.files,
            encoding="utf-8",
        )
        self._handler.setFormatter(logging.Formatter("%(message)s"))
        self._handler.handleError = self._failed
        self.error: BaseException | None = None

    def _failed(self, record: logging.LogRecord) -> None:
        self.error = sys.exc_info()[1]

    def write(self, lines: Sequence[str]) -> None:
        """Raises OSError."""
        self.error = None
        for line in lines:
            self._handler.emit(logging.LogRecord("", 0, "", 0, line, None, None))
        if self.error is not None:
            raise OSError(str(self.error))

    def close(self) -> None:
        self._handler.close()


def text_of(records: Sequence[Mapping[str, Any]]) -> list[str]:
    return [ujson.dumps(record, escape_forward_slashes=False) for record in records]


class Collector:
    """Speaks OTLP over HTTP/1.1, one connection kept while it holds."""

    def __init__(self, target: Target):
        parts = urlsplit(target.url)
        self._address = (parts.hostname or "", parts.port or 4318)
        self._path = parts.path or "/v1/traces"
        self._target = target
        self._stream: trio.SocketStream | None = None
        self._parser: h11.Connection | None = None

    async def post(self, body: bytes) -> tuple[int, float | None, bytes]:
        """Status (0: no answer), Retry-After in seconds, and the answer's body."""
        with trio.move_on_after(self._target.timeout):
            try:
                return await self._exchange(body)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                pass
        await self.close()
        return retry.LOST, None, b""

    async def _exchange(self, body: bytes) -> tuple[int, float | None, bytes]:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(*self._address)
            self._parser = h11.Connection(h11.CLIENT)
        parser, stream = self._parser, self._stream
        head = h11.Request(
            method="POST",
            target=self._path,
            headers=[
                ("Host", f"{self._address[0]}:{self._address[1]}"),
                ("Content-Type", "application/x-protobuf"),
                ("Content-Encoding", "gzip"),
                ("Content-Length", str(len(body))),
                *self._target.headers,
            ],
        )
        await stream.send_all(
            parser.send(head) + parser.send(h11.Data(data=body)) + parser.send(h11.EndOfMessage())
        )
        status, asked, answer = retry.LOST, None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Response):
                status = event.status_code
                asked = _seconds(dict(event.headers).get(b"retry-after"))
            elif isinstance(event, h11.Data):
                answer += bytes(event.data)
                if len(answer) > MOST_ANSWER:
                    raise trio.BrokenResourceError
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise trio.BrokenResourceError
        if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
            parser.start_next_cycle()
        else:
            await self.close()
        return status, asked, answer

    async def close(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)


def _seconds(text: bytes | None) -> float | None:
    """Retry-After as seconds; its other form, a date, is not honoured, since clocks differ."""
    try:
        value = float(text) if text is not None else -1.0
    except ValueError:
        return None
    return value if 0.0 <= value < 1e6 else None


class Exporter:
    """`resource`: what all records have in common, after OpenTelemetry's conventions."""

    def __init__(
        self,
        tracer: Tracer,
        target: Target,
        resource: Mapping[str, Any],
        version: str,
        *,
        spool: Spool | None = None,
        rng: random.Random | None = None,
    ):
        self._tracer = tracer
        self._target = target
        self._resource = dict(resource)
        self._version = version
        self.spool = spool
        self._rng = rng or random.Random()
        self._files: Files | None = None
        self._collector = Collector(target) if target.url else None
        self._wake = trio.Event()
        self._told: set[str] = set()
        self._unsent: list[Mapping[str, Any]] = []  # taken from the queue, not yet with a collector
        self.counts = dict.fromkeys(("exported", "rejected", "spooled", "retries"), 0)
        tracer.on_kept = self._wake_up

    def _wake_up(self) -> None:
        self._wake.set()

    async def run(self) -> None:
        """Export for good. Cancelled, it leaves what is not out to `flush`."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(GATHER)
            while await self._step():
                pass

    async def _step(self) -> bool:
        """Bring out what is oldest. Whether there may be more."""
        if (
            self._collector is not None
            and self.spool is not None
            and (kept := await self.spool.first())
        ):
            name, batch = kept
            records = await trio.to_thread.run_sync(_records, batch)
            if not await self._deliver(records, patient=False):
                # Out for longer: what came since joins it, so that it outlives us too.
                return await self._spool_waiting()
            await self.spool.drop(name)
            return True
        records = self._tracer.queue.take(MOST_BATCH)
        if not records:
            return False
        self._unsent = records
        await self._write(records)
        if (
            self._collector is not None
            and not await self._deliver(records, patient=self.spool is None)
            and self.spool is not None
        ):
            await self._spool(records)
            self._unsent = []
            await trio.sleep(self._target.rules.first)
            self._wake.set()
            return False
        self._unsent = []
        return True

    async def _spool_waiting(self) -> bool:
        records = self._tracer.queue.take(MOST_BATCH)
        if records:
            self._unsent = records
            await self._write(records)
            await self._spool(records)
            self._unsent = []
        await trio.sleep(self._target.rules.first)
        self._wake.set()
        return False

    async def _spool(self, records: Sequence[Mapping[str, Any]]) -> None:
        batch = await trio.to_thread.run_sync(
            lambda: gzip.compress("\n".join(text_of(records)).encode(), 1)
        )
        if await self.spool.put(batch):
            self.counts["spooled"] += len(records)
        else:
            self._tracer.queue.count("spool_full", len(records))

    async def _write(self, records: Sequence[Mapping[str, Any]]) -> None:
        if not self._target.file:
            return
        try:
            await trio.to_thread.run_sync(self._write_now, records)
            if self._collector is None:
                self.counts["exported"] += len(records)
            self._back("file")
        except OSError as error:
            self._tracer.queue.count("file_failed", len(records))
            self._tell("file", f"{self._target.file}: {error}")

    def _write_now(self, records: Sequence[Mapping[str, Any]]) -> None:
        if self._files is None:
            self._files = Files(self._target)
        self._files.write(text_of(records))

    async def _deliver(self, records: Sequence[Mapping[str, Any]], patient: bool) -> bool:
        """Whether the collector has them, or never will. Not `patient`: one try."""
        from yewrill.tracing import otlp  # protobuf is imported with the first batch

        body = await trio.to_thread.run_sync(
            lambda: gzip.compress(otlp.request(records, self._resource, self._version), 1)
        )
        tries = 0
        while True:
            tries += 1
            status, asked, answer = await self._collector.post(body)
            rejected = otlp.rejected(answer) if 200 <= status < 300 else 0
            step = retry.decide(
                status, tries, asked, rejected, self._target.rules, self._rng.random
            )
            if isinstance(step, retry.Sent):
                self.counts["exported"] += len(records)
                self.counts["rejected"] += step.rejected
                if step.rejected:
                    self._tell("rejected", f"{step.rejected} spans by the collector's word")
                self._back("collector")
                return True
            if isinstance(step, retry.GivenUp):
                self._tracer.queue.count(step.cause, len(records))
                self._tell("collector", step.cause)
                return True
            self.counts["retries"] += 1
            self._tell("collector", f"status {status}" if status else "no answer")
            if not patient:
                return False
            await trio.sleep(step.after)

    def _tell(self, what: str, text: str) -> None:
        if what not in self._told:
            self._told.add(what)
            log.warning("export-failed what=%s: %s", what, text)

    def _back(self, what: str) -> None:
        if what in self._told:
            self._told.discard(what)
            log.info("export-back what=%s", what)

    async def flush(self) -> None:
        """The program ends: a last try, within its time, for what is not out."""
        waiting, self._unsent = list(self._unsent), []
        with trio.move_on_after(FLUSH, shield=True):
            while waiting or len(self._tracer.queue):
                fresh = not waiting
                records, waiting = waiting or self._tracer.queue.take(MOST_BATCH), []
                self._unsent = records
                if fresh:
                    await self._write(records)
                if self._collector is not None and not await self._deliver(records, patient=False):
                    if self.spool is not None:
                        await self._spool(records)
                    else:
                        self._tracer.queue.count("ended", len(records))
                self._unsent = []
        if left := len(self._unsent) + len(self._tracer.queue):
            self._tracer.queue.count("ended", left)
        if self._collector is not None:
            await self._collector.close()
        if self._files is not None:
            self._files.close()

    def metrics(self) -> dict[str, int]:
        """Counts by name, for the management listener."""
        found = {
            f"trace_{name}": count for name, count in (self._tracer.counts | self.counts).items()
        }
        found.update(
            {f"trace_dropped_{cause}": count for cause, count in self._tracer.queue.dropped.items()}
        )
        return found


def _records(batch: bytes) -> list[Mapping[str, Any]]:
    try:
        return [ujson.loads(line) for line in gzip.decompress(batch).splitlines()]
    except (OSError, EOFError, ValueError):
        return []


class StoreSpool:
    """Batches under a prefix of a store that is handed in as three functions; at most so many bytes."""

    def __init__(
        self,
        put: Callable[[bytes, bytes], Awaitable[bool]],
        first: Callable[[bytes], tuple[bytes, bytes] | None],
        drop: Callable[[bytes], Awaitable[bool]],
        *,
        most: int,
        held: int = 0,
        number: int = 0,
        prefix: bytes = b"trace/",
    ):
        self._put, self._first, self._drop = put, first, drop
        self._most, self._held, self._number, self._prefix = most, held, number, prefix

    async def put(self, batch: bytes) -> bool:
        if self._held + len(batch) > self._most:
            return False
        self._number += 1
        if not await self._put(self._prefix + f"{self._number:016x}".encode(), batch):
            return False
        self._held += len(batch)
        return True

    async def first(self) -> tuple[Any, bytes] | None:
        return await trio.to_thread.run_sync(self._first, self._prefix)

    async def drop(self, name: Any) -> None:
        found = await self.first()
        if found is not None and found[0] == name:
            self._held = max(0, self._held - len(found[1]))
        await self._drop(name)
