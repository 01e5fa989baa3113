"""Simulated workers, discovery and clients, which speak the published protocol with real dispatchers."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

import h11
import trio
import ujson

from yewrill.lab.cluster import pace
from yewrill.lab.cluster.history import History
from yewrill.lab.cluster.links import Address, reset

CHUNK_BYTES = 65536
DISCONNECTED = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


class HttpConnection:
    """One side of an HTTP/1.1 connection."""

    def __init__(self, stream: trio.SocketStream, role: type = h11.SERVER):
        self.stream, self.parser, self._role = stream, h11.Connection(role), role

    async def event(self) -> h11.Event | type:
        """Returns the next event, reading as much as it takes. Raises one of DISCONNECTED."""
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            self.parser.receive_data(await self.stream.receive_some(CHUNK_BYTES))
        return event

    async def request(self) -> tuple[str, dict[str, str]] | None:
        """Reads the next request; returns its target and headers, or None if the connection was closed."""
        event = await self.event()
        if not isinstance(event, h11.Request):
            return None
        while not isinstance(await self.event(), h11.EndOfMessage):
            pass
        return event.target.decode(), {k.decode(): v.decode() for k, v in event.headers}

    async def send(self, *events: h11.Event) -> None:
        """Sends events in one piece."""
        await self.stream.send_all(b"".join(self.parser.send(event) or b"" for event in events))

    async def answer(self, status: int, body: bytes = b"") -> None:
        """Sends a whole response."""
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
        await self.send(head, h11.Data(body), h11.EndOfMessage())


@asynccontextmanager
async def open_listener(nursery: trio.Nursery, handle, port: int = 0) -> AsyncIterator[Address]:
    """Opens a listener on loopback and yields its address; closes it afterwards."""
    scope = trio.CancelScope()

    async def serve(*, task_status: trio.TaskStatus) -> None:
        with scope:
            await trio.serve_tcp(handle, port, host="127.0.0.1", task_status=task_status)

    listeners = await nursery.start(serve)
    try:
        yield listeners[0].socket.getsockname()[:2]
    finally:
        scope.cancel()


@dataclass(eq=False)
class SimulatedWorker:
    """A worker with slots and a FIFO queue, slow while it warms up.

    `mode` is `well`, `mute` (accepts requests and does not run them), `failing` (reports that every request
    failed) or `gone` (resets every connection).
    """

    name: str
    zone: str
    history: History
    slots: int = 4
    run: float = 0.04  # run time of a request in seconds when the worker is warm
    start_capacity: float = 0.3
    warm_after: float = 2.0
    mode: str = "well"
    state: str = "SERVING"
    restarted_at: float = -1e9
    started_ms: float = 0.0
    jobs_done: int = 0
    address: Address = ("", 0)
    _streams: set[trio.SocketStream] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._free_slots = trio.Semaphore(self.slots)

    def capacity_fraction(self) -> float:
        """Returns the speed of the worker as a fraction of its speed when warm."""
        age = trio.current_time() - self.restarted_at
        return min(1.0, self.start_capacity + (1.0 - self.start_capacity) * age / self.warm_after)

    def restart(self) -> None:
        """Simulates a restart: the worker is cold and works again, and its connections are reset."""
        self.mode, self.restarted_at, self.started_ms = (
            "well",
            trio.current_time(),
            pace.current_clock().wall() * 1e3,
        )
        self.history.note(
            self.name, "cold", slots=self.slots, start=self.start_capacity, warm=self.warm_after
        )
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for stream in list(self._streams):
            reset(stream)

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        self._streams.add(stream)
        http = HttpConnection(stream)
        with suppress(*DISCONNECTED):
            while self.mode != "gone" and (request := await http.request()) is not None:
                target, headers = request
                if target.startswith("/_") or target == "/up":
                    await http.answer(200, b"{}")
                else:
                    await self._serve_job(http, target[1:], headers["x-request-id"])
                http.parser.start_next_cycle()
        self._streams.discard(stream)
        reset(stream)

    async def _serve_job(self, http: HttpConnection, kind: str, job: str) -> None:
        note = self.history.note
        note(self.name, "begin", job=job, kind=kind, run=self.run, zone=self.zone)
        outcome = "broken"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_closed, http.stream, nursery.cancel_scope)
                with suppress(*DISCONNECTED):
                    outcome = await self._run_job(http, job)
                nursery.cancel_scope.cancel()
        finally:
            note(self.name, "end", job=job, how=outcome)
        if outcome == "broken":
            raise trio.BrokenResourceError

    @staticmethod
    async def _cancel_when_closed(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Cancels a run when the dispatcher closes the connection.

        The dispatcher must send nothing on the connection during the run: any byte cancels the run too.
        """
        with suppress(*DISCONNECTED):
            await stream.receive_some(1)
        scope.cancel()

    async def _run_job(self, http: HttpConnection, job: str) -> str:
        await http.send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        if self.mode == "mute":
            await trio.sleep_forever()
        async with self._free_slots:
            await self._send_progress(http, job, "started")
            await trio.sleep(self.run / self.capacity_fraction())
            if self.mode == "mute":
                await trio.sleep_forever()
            self.jobs_done += self.mode == "well"
            await self._send_progress(
                http, job, "failed" if self.mode == "failing" else "done", result=self.name
            )
        await http.send(h11.EndOfMessage())
        return "done"

    @staticmethod
    async def _send_progress(http: HttpConnection, job: str, state: str, **more: str) -> None:
        line = ujson.dumps({"id": job, "from": "p", "state": state, **more}) + "\n"
        await http.send(h11.Data(line.encode()))

    def entry(self, address: Address) -> dict:
        """Returns the worker's entry in the endpoint list, reachable at `address`."""
        return {
            "id": self.name,
            "addr": f"{address[0]}:{address[1]}",
            "zone": self.zone,
            "kind": "std",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class Discovery:
    """Discovery as one dispatcher sees it: its list has the workers at the addresses of their relays.

    A new version of the list is published `delay_seconds` late.
    """

    def __init__(self, workers: Mapping[str, tuple[SimulatedWorker, Address]]):
        self._workers = workers
        self.version, self.delay_seconds = 1, 0.0
        self.hidden_zones: set[str] = set()  # zones that are left out of the list
        self._changed = trio.Event()

    def publish(self) -> None:
        """Publishes a new version of the list."""
        self.version += 1
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        http = HttpConnection(stream)
        with suppress(*DISCONNECTED):
            while (request := await http.request()) is not None:
                if "from=" in request[0]:
                    known = int(request[0].partition("from=")[2].partition("&")[0])
                    with trio.move_on_after(4.0):
                        while known >= self.version:
                            await self._changed.wait()
                    await trio.sleep(self.delay_seconds)
                servers = [
                    worker.entry(address)
                    for worker, address in self._workers.values()
                    if worker.zone not in self.hidden_zones
                ]
                body = {"version": self.version, "full": True, "servers": servers}
                await http.answer(200, ujson.dumps(body).encode())
                http.parser.start_next_cycle()
        reset(stream)


class Clients:
    """Open-loop traffic for one dispatcher: each request is sent once, on a connection of its own."""

    def __init__(
        self,
        name: str,
        address: Address,
        history: History,
        seed: int,
        rate: float,
        kinds: Mapping[str, float],
        timeout: float,
    ):
        self.name, self.address, self.rate = name, address, rate
        self._history, self._rng = history, random.Random(seed)
        self._kinds, self._timeout, self._count = kinds, timeout, 0

    async def run(self, nursery: trio.Nursery) -> None:
        """Sends requests until cancelled; each is awaited in the nursery."""
        while True:
            await trio.sleep(self._rng.expovariate(self.rate))
            self._count += 1
            kind = self._rng.choices(list(self._kinds), list(self._kinds.values()))[0]
            nursery.start_soon(self._send_request, f"{self.name}-{self._count}", kind)

    async def _send_request(self, job: str, kind: str) -> None:
        note = self._history.note
        try:
            with trio.fail_after(self._timeout + 3.0):
                stream = await trio.open_tcp_stream(*self.address)
                http = HttpConnection(stream, h11.CLIENT)
                try:
                    note("client", "sent", job=job, kind=kind, to=self.name, timeout=self._timeout)
                    headers = {
                        "Host": "x",
                        "X-Request-ID": job,
                        "X-Tenant-Id": "acme",
                        "Content-Length": "2",
                        "X-Timeout-Ms": str(int(self._timeout * 1000)),
                        "Connection": "close",
                    }
                    await http.send(
                        h11.Request(
                            method="POST", target=f"/{kind}", headers=list(headers.items())
                        ),
                        h11.Data(b"{}"),
                        h11.EndOfMessage(),
                    )
                    status, answers = 0, 0
                    while not isinstance(event := await http.event(), h11.ConnectionClosed | type):
                        if isinstance(event, h11.Response):
                            status, answers = event.status_code, answers + 1
                        if isinstance(event, h11.EndOfMessage):
                            note("client", "answer", job=job, status=status)
                            break
                    # A second answer would be a fault of the dispatcher; it is recorded.
                    with trio.move_on_after(0.05):
                        if extra := http.parser.trailing_data[0] or await stream.receive_some(
                            CHUNK_BYTES
                        ):
                            note("client", "answer", job=job, status=-len(extra))
                finally:
                    reset(stream)
        except (*DISCONNECTED, trio.TooSlowError) as error:
            note("client", "lost", job=job, why=type(error).__name__)
