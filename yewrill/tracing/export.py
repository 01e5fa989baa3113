"""Exports finished records in batches, to rotated files of JSON lines and to a collector by OTLP over HTTP.

One task takes records from the tracer's queue. Files are written and batches encoded in a worker thread. A
batch that the collector does not accept is retried as `retry.py` decides; meanwhile finished records wait in
the bounded queue and, if there is a spool, in the store. Spooled batches are older and are sent first.
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

BATCH_DELAY_SECONDS = 0.5  # how long finished records are collected before a batch is exported
MAX_BATCH_RECORDS = 512
MAX_RESPONSE_BYTES = 64 * 1024  # size limit of the body of a collector's response
FLUSH_TIMEOUT_SECONDS = 1.0  # time limit for exporting the last batches at shutdown


@dataclass(frozen=True, slots=True)
class ExportTarget:
    """Where records go: a collector (`url`, http://IPV4-ADDRESS:PORT/v1/traces), a file, or both.

    `file` is rotated at `file_mb` MiB, and `files` rotated files are kept.
    """

    url: str = ""
    file: str = ""
    file_mb: float = 64.0
    files: int = 4
    timeout: float = 10.0  # time limit for a collector's response, in seconds
    headers: tuple[tuple[str, str], ...] = ()
    retry_policy: retry.RetryPolicy = field(default_factory=retry.RetryPolicy)


class Spool(Protocol):
    """A persistent FIFO of batches, which survives an outage of the collector and a restart."""

    async def put(self, batch: bytes) -> bool:
        """Appends a batch. Returns False if the spool is full or the write failed."""

    async def first(self) -> tuple[Any, bytes] | None:
        """Returns the oldest batch with its name, None if there is none."""

    async def drop(self, name: Any) -> None:
        """Removes a batch."""


class JsonLinesFiles:
    """Writes JSON lines with the standard library's rotating handler. For use in a worker thread only."""

    def __init__(self, target: ExportTarget):
        Path(target.file).parent.mkdir(parents=True, exist_ok=True)
        self._handler = logging.handlers.RotatingFileHandler(
            target.file,
            maxBytes=int(target.file_mb * 2**20),
            backupCount=target.files,
            encoding="utf-8",
        )
        self._handler.setFormatter(logging.Formatter("%(message)s"))
        self._handler.handleError = self._record_error
        self.error: BaseException | None = None

    def _record_error(self, record: logging.LogRecord) -> None:
        self.error = sys.exc_info()[1]

    def write(self, lines: Sequence[str]) -> None:
        """Appends lines. Raises OSError."""
        self.error = None
        for line in lines:
            self._handler.emit(logging.LogRecord("", 0, "", 0, line, None, None))
        if self.error is not None:
            raise OSError(str(self.error))

    def close(self) -> None:
        """Closes the file."""
        self._handler.close()


def json_lines(records: Sequence[Mapping[str, Any]]) -> list[str]:
    """Encodes each record as one line of JSON."""
    return [ujson.dumps(record, escape_forward_slashes=False) for record in records]


class OtlpCollector:
    """An OTLP client over HTTP/1.1 with one persistent connection."""

    def __init__(self, target: ExportTarget):
        parts = urlsplit(target.url)
        self._address = (parts.hostname or "", parts.port or 4318)
        self._path = parts.path or "/v1/traces"
        self._target = target
        self._stream: trio.SocketStream | None = None
        self._parser: h11.Connection | None = None

    async def post(self, body: bytes) -> tuple[int, float | None, bytes]:
        """Sends a batch. Returns status (or NO_RESPONSE), Retry-After in seconds, and the body."""
        with trio.move_on_after(self._target.timeout):
            try:
                return await self._exchange(body)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                pass
        await self.close()
        return retry.NO_RESPONSE, None, b""

    async def _exchange(self, body: bytes) -> tuple[int, float | None, bytes]:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(*self._address)
            self._parser = h11.Connection(h11.CLIENT)
        parser, stream = self._parser, self._stream
        request = h11.Request(
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
            parser.send(request)
            + parser.send(h11.Data(data=body))
            + parser.send(h11.EndOfMessage())
        )
        status, retry_after, response_body = retry.NO_RESPONSE, None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Response):
                status = event.status_code
                retry_after = _parse_retry_after(dict(event.headers).get(b"retry-after"))
            elif isinstance(event, h11.Data):
                response_body += bytes(event.data)
                if len(response_body) > MAX_RESPONSE_BYTES:
                    raise trio.BrokenResourceError
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise trio.BrokenResourceError
        if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
            parser.start_next_cycle()
        else:
            await self.close()
        return status, retry_after, response_body

    async def close(self) -> None:
        """Closes the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)


def _parse_retry_after(text: bytes | None) -> float | None:
    """Returns Retry-After in seconds; None for a date, which is not supported, since clocks differ."""
    try:
        value = float(text) if text is not None else -1.0
    except ValueError:
        return None
    return value if 0.0 <= value < 1e6 else None


class Exporter:
    """Exports the records that the tracer queues.

    `resource` are the attributes of all records, named by OpenTelemetry's semantic conventions.
    """

    def __init__(
        self,
        tracer: Tracer,
        target: ExportTarget,
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
        self._files: JsonLinesFiles | None = None
        self._collector = OtlpCollector(target) if target.url else None
        self._wake = trio.Event()
        self._failing_targets: set[str] = set()
        # Records taken from the queue that the collector has not yet accepted.
        self._undelivered: list[Mapping[str, Any]] = []
        self.counts = dict.fromkeys(("exported", "rejected", "spooled", "retries"), 0)
        tracer.on_record_queued = self._wake_up

    def _wake_up(self) -> None:
        self._wake.set()

    async def run(self) -> None:
        """Exports records until cancelled; `flush` exports those left then."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await trio.sleep(BATCH_DELAY_SECONDS)
            while await self._export_oldest():
                pass

    async def _export_oldest(self) -> bool:
        """Exports the oldest batch. Returns whether there may be more batches."""
        if (
            self._collector is not None
            and self.spool is not None
            and (spooled := await self.spool.first())
        ):
            name, batch = spooled
            records = await trio.to_thread.run_sync(_decode_batch, batch)
            if not await self._deliver(records, with_retries=False):
                # The collector is still down, so newer records are spooled too.
                return await self._spool_waiting()
            await self.spool.drop(name)
            return True
        records = self._tracer.queue.take(MAX_BATCH_RECORDS)
        if not records:
            return False
        self._undelivered = records
        await self._write(records)
        if (
            self._collector is not None
            and not await self._deliver(records, with_retries=self.spool is None)
            and self.spool is not None
        ):
            await self._spool(records)
            self._undelivered = []
            await trio.sleep(self._target.retry_policy.initial_pause)
            self._wake.set()
            return False
        self._undelivered = []
        return True

    async def _spool_waiting(self) -> bool:
        records = self._tracer.queue.take(MAX_BATCH_RECORDS)
        if records:
            self._undelivered = records
            await self._write(records)
            await self._spool(records)
            self._undelivered = []
        await trio.sleep(self._target.retry_policy.initial_pause)
        self._wake.set()
        return False

    async def _spool(self, records: Sequence[Mapping[str, Any]]) -> None:
        batch = await trio.to_thread.run_sync(
            lambda: gzip.compress("\n".join(json_lines(records)).encode(), 1)
        )
        if await self.spool.put(batch):
            self.counts["spooled"] += len(records)
        else:
            self._tracer.queue.count("spool_full", len(records))

    async def _write(self, records: Sequence[Mapping[str, Any]]) -> None:
        if not self._target.file:
            return
        try:
            await trio.to_thread.run_sync(self._write_blocking, records)
            if self._collector is None:
                self.counts["exported"] += len(records)
            self._report_recovery("file")
        except OSError as error:
            self._tracer.queue.count("file_failed", len(records))
            self._report_failure("file", f"{self._target.file}: {error}")

    def _write_blocking(self, records: Sequence[Mapping[str, Any]]) -> None:
        if self._files is None:
            self._files = JsonLinesFiles(self._target)
        self._files.write(json_lines(records))

    async def _deliver(self, records: Sequence[Mapping[str, Any]], with_retries: bool) -> bool:
        """Sends a batch. Returns whether it needs no further try, being accepted or dropped.

        Without `with_retries` it tries only once.
        """
        from yewrill.tracing import otlp  # this imports protobuf, which only a collector needs

        body = await trio.to_thread.run_sync(
            lambda: gzip.compress(otlp.request(records, self._resource, self._version), 1)
        )
        tries = 0
        while True:
            tries += 1
            status, retry_after, response_body = await self._collector.post(body)
            rejected = otlp.rejected(response_body) if 200 <= status < 300 else 0
            decision = retry.decide(
                status, tries, retry_after, rejected, self._target.retry_policy, self._rng.random
            )
            if isinstance(decision, retry.Delivered):
                self.counts["exported"] += len(records)
                self.counts["rejected"] += decision.rejected
                if decision.rejected:
                    self._report_failure(
                        "rejected", f"{decision.rejected} spans rejected by the collector"
                    )
                self._report_recovery("collector")
                return True
            if isinstance(decision, retry.Dropped):
                self._tracer.queue.count(decision.cause, len(records))
                self._report_failure("collector", decision.cause)
                return True
            self.counts["retries"] += 1
            self._report_failure("collector", f"status {status}" if status else "no response")
            if not with_retries:
                return False
            await trio.sleep(decision.after)

    def _report_failure(self, target: str, text: str) -> None:
        if target not in self._failing_targets:
            self._failing_targets.add(target)
            log.warning("trace_export_failed target=%s: %s", target, text)

    def _report_recovery(self, target: str) -> None:
        if target in self._failing_targets:
            self._failing_targets.discard(target)
            log.info("trace_export_recovered target=%s", target)

    async def flush(self) -> None:
        """Exports the remaining records, with one try for each batch, and closes file and connection.

        Takes at most FLUSH_TIMEOUT_SECONDS, shielded from cancellation; records still left are counted as
        dropped.
        """
        waiting, self._undelivered = list(self._undelivered), []
        with trio.move_on_after(FLUSH_TIMEOUT_SECONDS, shield=True):
            while waiting or len(self._tracer.queue):
                from_queue = not waiting
                records, waiting = waiting or self._tracer.queue.take(MAX_BATCH_RECORDS), []
                self._undelivered = records
                if from_queue:
                    await self._write(records)
                if self._collector is not None and not await self._deliver(
                    records, with_retries=False
                ):
                    if self.spool is not None:
                        await self._spool(records)
                    else:
                        self._tracer.queue.count("ended", len(records))
                self._undelivered = []
        if left := len(self._undelivered) + len(self._tracer.queue):
            self._tracer.queue.count("ended", left)
        if self._collector is not None:
            await self._collector.close()
        if self._files is not None:
            self._files.close()

    def metrics(self) -> dict[str, int]:
        """Returns counts by name, for the management listener."""
        counts = {
            f"trace_{name}": count for name, count in (self._tracer.counts | self.counts).items()
        }
        counts.update(
            {f"trace_dropped_{cause}": count for cause, count in self._tracer.queue.dropped.items()}
        )
        return counts


def _decode_batch(batch: bytes) -> list[Mapping[str, Any]]:
    try:
        return [ujson.loads(line) for line in gzip.decompress(batch).splitlines()]
    except (OSError, EOFError, ValueError):
        return []


class StoreSpool:
    """A spool of at most `max_bytes` under a key prefix of a store, whose operations are passed as functions.

    `used_bytes` and `number` are the size of the batches already there and the number in the last key.
    """

    def __init__(
        self,
        put: Callable[[bytes, bytes], Awaitable[bool]],
        first: Callable[[bytes], tuple[bytes, bytes] | None],
        drop: Callable[[bytes], Awaitable[bool]],
        *,
        max_bytes: int,
        used_bytes: int = 0,
        number: int = 0,
        prefix: bytes = b"trace/",
    ):
        self._put, self._first, self._drop = put, first, drop
        self._max_bytes, self._used_bytes, self._number, self._prefix = (
            max_bytes,
            used_bytes,
            number,
            prefix,
        )

    async def put(self, batch: bytes) -> bool:
        """Appends a batch. Returns False if the spool is full or the write failed."""
        if self._used_bytes + len(batch) > self._max_bytes:
            return False
        self._number += 1
        if not await self._put(self._prefix + f"{self._number:016x}".encode(), batch):
            return False
        self._used_bytes += len(batch)
        return True

    async def first(self) -> tuple[Any, bytes] | None:
        """Returns the oldest batch with its key, None if there is none."""
        return await trio.to_thread.run_sync(self._first, self._prefix)

    async def drop(self, name: Any) -> None:
        """Removes a batch."""
        oldest = await self.first()
        if oldest is not None and oldest[0] == name:
            self._used_bytes = max(0, self._used_bytes - len(oldest[1]))
        await self._drop(name)
