"""Simulated workers with slots, a queue, slow start and faults."""

from __future__ import annotations

import random
import socket
import struct
from contextlib import suppress

import h11
import trio
import ujson

from yewrill.lab.soak.events import Attempt, AttemptEnd, History, SlowStart
from yewrill.lab.soak.http import DISCONNECTED, next_event, reset
from yewrill.lab.soak.late_listener import LateListener
from yewrill.lab.soak.oracle import Terms
from yewrill.lab.soak.plan import Kind

RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)
KERNEL_TICK_SECONDS = 0.01  # longest tick of a kernel's clock
LAST_CHUNK = b"0\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"


def chunk(text: str) -> bytes:
    """Encodes one chunk of a chunked body."""
    data = text.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


def progress_line(id: str, state: str, **more: str) -> bytes:
    """Encodes a line of the response that tells the progress of a request."""
    return chunk(ujson.dumps({"id": id, "from": "w", "state": state, **more}) + "\n")


def is_closed(stream: trio.SocketStream) -> bool:
    """Returns whether the other side has closed the connection. Nothing else may be waiting to be read."""
    try:
        return not stream.socket._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


def since_last_data(stream: trio.SocketStream) -> float:
    """Returns the seconds since data last arrived on a stream (tcp_info.tcpi_last_data_recv of Linux).

    A time that may be due to the ticks of the kernel's clock counts as 0."""
    info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
    seconds = struct.unpack_from("=I", info, 52)[0] / 1000.0
    return seconds if seconds > KERNEL_TICK_SECONDS else 0.0


class Worker:
    """A simulated worker. `active_faults` are the kinds of faults that affect it now."""

    def __init__(
        self,
        name: str,
        terms: Terms,
        history: History,
        seed: int,
        first_run_factor: float = 1.0,
        cell: int = 0,
    ):
        self.name, self._terms, self._history = name, terms, history
        self.cell = cell
        self.listener = LateListener(self.handle)
        # Connections that break under their next byte.
        self._forgotten: set[trio.SocketStream] = set()
        self._rng = random.Random(f"{seed}/{name}")
        self.active_faults: list[Kind] = []
        self.state = "SERVING"
        self.slow_factor = 1.0  # factor on run times while the fault WORKER_SLOW is active
        self._first_run_factor = first_run_factor
        self.started_ms = 0.0
        self._started_at: float | None = None
        self._streams: set[trio.SocketStream] = set()
        self._free_slots = trio.Semaphore(terms.slots)
        self._readable = trio.Event()  # set unless the fault WORKER_UNREAD is active

    def restart(self, wall_ms: float) -> None:
        """Simulates a restart: the worker is cold, and its connections are reset."""
        self._started_at = self._history.now()
        self._history.slow_starts.append(SlowStart(self.name, self._started_at))
        self.started_ms = wall_ms
        for stream in list(self._streams):
            reset(stream)

    def begin_fault(self, fault: Kind) -> None:
        """Starts a fault."""
        self.active_faults.append(fault)
        if fault is Kind.WORKER_UNREAD:
            self._readable = trio.Event()
        if fault is Kind.WORKER_FORGETS:
            self._forgotten |= self._streams

    def end_fault(self, fault: Kind) -> None:
        """Ends a fault."""
        self.active_faults.remove(fault)
        if Kind.WORKER_UNREAD not in self.active_faults:
            self._readable.set()

    def endpoint_entry(self) -> dict[str, object]:
        """Returns the entry of the worker in the endpoint list."""
        return {
            "id": self.name,
            "addr": "{}:{}".format(*self.listener.address),
            "zone": "room",
            "kind": "std",
            "cell": self.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    def _warm_up_progress(self) -> float:
        if self._started_at is None:
            return 1.0
        age = (self._history.now() - self._started_at) / self._terms.warm_after
        start = self._terms.start_capacity
        return min(1.0, start + (1.0 - start) * age)

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serves a connection."""
        self._streams.add(stream)
        parser = h11.Connection(h11.SERVER)
        with suppress(*DISCONNECTED):
            while await self._exchange(stream, parser):
                parser = h11.Connection(h11.SERVER)
        self._streams.discard(stream)
        self._forgotten.discard(stream)
        reset(stream)

    async def _exchange(self, stream: trio.SocketStream, parser: h11.Connection) -> bool:
        """Serves one request; returns whether the connection may carry another."""
        while Kind.WORKER_UNREAD in self.active_faults:
            await self._readable.wait()
        data = b""
        idle = 0.03 if Kind.WORKER_CLOSES_IDLE in self.active_faults else 1e9
        with trio.move_on_after(idle):
            data = await stream.receive_some(65536)
        if not data or stream in self._forgotten:
            return False
        # The attempt began when its data arrived. It may have been read, or its connection accepted, later.
        begun_at = self._history.now() - since_last_data(stream)
        parser.receive_data(data)
        found = await self._read_request(stream, parser, begun_at)
        if found is None:
            return False
        attempt, body = found
        if attempt is None:
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        attempt.received_at = self._history.now()
        attempt.arrived_at = attempt.received_at - since_last_data(stream)
        attempt.send_number = ujson.loads(body)["sending"]
        attempt.stale = is_closed(stream)
        try:
            attempt.end = await self._serve_job(stream, attempt)
        except DISCONNECTED:
            attempt.end = AttemptEnd.CLOSED
        finally:
            attempt.finished = self._history.now()
        return attempt.end in (AttemptEnd.ANSWERED, AttemptEnd.REJECTED)

    async def _read_request(
        self, stream: trio.SocketStream, parser: h11.Connection, begun_at: float
    ) -> tuple[Attempt | None, bytes] | None:
        """Returns the attempt (None: a health check) and the body; None if the connection was closed."""
        body = b""
        attempt: Attempt | None = None
        while not isinstance(event := await next_event(stream, parser), h11.EndOfMessage):
            if isinstance(event, h11.Request):
                headers = {k.decode(): v.decode() for k, v in event.headers}
                if "x-request-id" in headers:
                    attempt = self._record_attempt(event.target.decode(), headers, begun_at)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.ConnectionClosed):
                return None
        return attempt, body

    def _record_attempt(self, target: str, headers: dict[str, str], begun_at: float) -> Attempt:
        attempt = Attempt(
            headers["x-request-id"],
            headers.get("idempotency-key", headers["x-request-id"]),
            target[1:],
            self.name,
            float(headers.get("x-timeout-ms", "0")) / 1000.0,
            begun_at,
            cell=self.cell,
        )
        self._history.attempts.append(attempt)
        return attempt

    async def _serve_job(self, stream: trio.SocketStream, attempt: Attempt) -> AttemptEnd:
        """Runs a request; returns how the run ended.

        Raises one of DISCONNECTED if the dispatcher closes the connection.
        """
        if Kind.WORKER_BUSY in self.active_faults and self._rng.random() < 0.7:
            await stream.send_all(REJECTION)
            return AttemptEnd.REJECTED
        if Kind.WORKER_ERRS in self.active_faults and self._rng.random() < 0.5:
            await stream.send_all(SERVER_ERROR)
            if Kind.WORKER_TWICE in self.active_faults:
                await stream.send_all(SERVER_ERROR)
            return AttemptEnd.ANSWERED
        found = AttemptEnd.CLOSED
        async with trio.open_nursery() as nursery:

            async def work() -> None:
                nonlocal found
                found = await self._run_job(stream, attempt)
                nursery.cancel_scope.cancel()

            nursery.start_soon(_cancel_when_closed, stream, nursery.cancel_scope)
            nursery.start_soon(work)
        if found is AttemptEnd.CLOSED:
            raise trio.BrokenResourceError
        return found

    async def _run_job(self, stream: trio.SocketStream, attempt: Attempt) -> AttemptEnd:
        try:
            async with self._free_slots:
                await stream.send_all(RESPONSE_HEAD + progress_line(attempt.id, "started"))
                if Kind.WORKER_HANGS in self.active_faults:
                    await trio.sleep_forever()
                duration = self._run_time()
                if Kind.WORKER_RESETS in self.active_faults and self._rng.random() < 0.6:
                    await trio.sleep(duration * self._rng.random())
                    reset(stream)
                    return AttemptEnd.BROKEN
                await trio.sleep(duration)
            await self._answer(stream, attempt.id)
            return AttemptEnd.ANSWERED
        except DISCONNECTED:
            return AttemptEnd.CLOSED

    def _run_time(self) -> float:
        duration = self._terms.run * self._rng.uniform(0.6, 1.4) / self._warm_up_progress()
        first, self._first_run_factor = self._first_run_factor, 1.0
        if Kind.WORKER_SLOW in self.active_faults:
            duration *= self.slow_factor
        return duration * first

    async def _answer(self, stream: trio.SocketStream, id: str) -> None:
        last = progress_line(id, "done", result=id)
        if Kind.WORKER_HALF in self.active_faults and self._rng.random() < 0.6:
            await stream.send_all(last[: self._rng.randrange(len(last))])
            raise trio.BrokenResourceError
        if Kind.WORKER_TWICE in self.active_faults:
            last += last
        data = last + LAST_CHUNK
        if Kind.WORKER_PIECES in self.active_faults:
            for at in range(0, len(data), 9):
                await stream.send_all(data[at : at + 9])
                await trio.sleep(0.001)
        else:
            await stream.send_all(data)


async def _cancel_when_closed(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    """Cancels a run when the dispatcher closes the connection.

    The dispatcher must send nothing on the connection during the run: any byte cancels the run too.
    """
    with suppress(*DISCONNECTED):
        await stream.receive_some(1)
    scope.cancel()
