"""Stand-ins for what is around the dispatchers: profilers, discovery, clients, by the published protocol."""

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

CHUNK = 65536
GONE = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


class Http:
    """One side of a connection."""

    def __init__(self, stream: trio.SocketStream, role: type = h11.SERVER):
        self.stream, self.parser, self._role = stream, h11.Connection(role), role

    async def event(self) -> h11.Event | type:
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            self.parser.receive_data(await self.stream.receive_some(CHUNK))
        return event

    async def request(self) -> tuple[str, dict[str, str]] | None:
        """The next request's target and headers; None where the other side has ended."""
        event = await self.event()
        if not isinstance(event, h11.Request):
            return None
        while not isinstance(await self.event(), h11.EndOfMessage):
            pass
        return event.target.decode(), {k.decode(): v.decode() for k, v in event.headers}

    async def send(self, *events: h11.Event) -> None:
        await self.stream.send_all(b"".join(self.parser.send(event) or b"" for event in events))

    async def answer(self, status: int, body: bytes = b"") -> None:
        head = h11.Response(status_code=status, headers=[("Content-Length", str(len(body)))])
        await self.send(head, h11.Data(body), h11.EndOfMessage())


@asynccontextmanager
async def listening(nursery: trio.Nursery, handle, port: int = 0) -> AsyncIterator[Address]:
    """A listener, and its address."""
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
class Profiler:
    """A worker with slots and a queue, first in, first out. `mode`: well, mute (takes work, does none),
    failing (says that every job failed), gone (breaks every connection)."""

    name: str
    zone: str
    history: History
    slots: int = 4
    run: float = 0.04  # seconds a job
    start_capacity: float = 0.3
    warm_after: float = 2.0
    mode: str = "well"
    state: str = "SERVING"
    cold_from: float = -1e9
    started_ms: float = 0.0
    served: int = 0
    address: Address = ("", 0)
    _streams: set[trio.SocketStream] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._room = trio.Semaphore(self.slots)

    def warmth(self) -> float:
        age = trio.current_time() - self.cold_from
        return min(1.0, self.start_capacity + (1.0 - self.start_capacity) * age / self.warm_after)

    def restart(self) -> None:
        """It begins anew, cold, its connections broken."""
        self.mode, self.cold_from, self.started_ms = (
            "well",
            trio.current_time(),
            pace.clock().wall() * 1e3,
        )
        self.history.note(
            self.name, "cold", slots=self.slots, start=self.start_capacity, warm=self.warm_after
        )
        self.drop()

    def drop(self) -> None:
        for stream in list(self._streams):
            reset(stream)

    async def handle(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        http = Http(stream)
        with suppress(*GONE):
            while self.mode != "gone" and (request := await http.request()) is not None:
                target, headers = request
                if target.startswith("/_") or target == "/up":
                    await http.answer(200, b"{}")
                else:
                    await self._job(http, target[1:], headers["x-request-id"])
                http.parser.start_next_cycle()
        self._streams.discard(stream)
        reset(stream)

    async def _job(self, http: Http, kind: str, job: str) -> None:
        note = self.history.note
        note(self.name, "begin", job=job, kind=kind, run=self.run, zone=self.zone)
        how = "broken"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, http.stream, nursery.cancel_scope)
                with suppress(*GONE):
                    how = await self._work(http, job)
                nursery.cancel_scope.cancel()
        finally:
            note(self.name, "end", job=job, how=how)
        if how == "broken":
            raise trio.BrokenResourceError

    @staticmethod
    async def _watch(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """The dispatcher sends nothing more on this connection: it ends, or breaks."""
        with suppress(*GONE):
            await stream.receive_some(1)
        scope.cancel()

    async def _work(self, http: Http, job: str) -> str:
        await http.send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        if self.mode == "mute":
            await trio.sleep_forever()
        async with self._room:
            await self._say(http, job, "started")
            await trio.sleep(self.run / self.warmth())
            if self.mode == "mute":
                await trio.sleep_forever()
            self.served += self.mode == "well"
            await self._say(
                http, job, "failed" if self.mode == "failing" else "done", result=self.name
            )
        await http.send(h11.EndOfMessage())
        return "done"

    @staticmethod
    async def _say(http: Http, job: str, state: str, **more: str) -> None:
        line = ujson.dumps({"id": job, "from": "p", "state": state, **more}) + "\n"
        await http.send(h11.Data(line.encode()))

    def entry(self, address: Address) -> dict:
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
    """One dispatcher's view of the list: each profiler at the address of its relay; `lag` seconds late."""

    def __init__(self, profilers: Mapping[str, tuple[Profiler, Address]]):
        self._profilers = profilers
        self.version, self.lag = 1, 0.0
        self.hidden: set[str] = set()  # zones that it leaves out
        self._changed = trio.Event()

    def tell(self) -> None:
        """The list has changed."""
        self.version += 1
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, stream: trio.SocketStream) -> None:
        http = Http(stream)
        with suppress(*GONE):
            while (request := await http.request()) is not None:
                if "from=" in request[0]:
                    known = int(request[0].partition("from=")[2].partition("&")[0])
                    with trio.move_on_after(4.0):
                        while known >= self.version:
                            await self._changed.wait()
                    await trio.sleep(self.lag)
                servers = [
                    profiler.entry(address)
                    for profiler, address in self._profilers.values()
                    if profiler.zone not in self.hidden
                ]
                body = {"version": self.version, "full": True, "servers": servers}
                await http.answer(200, ujson.dumps(body).encode())
                http.parser.start_next_cycle()
        reset(stream)


class Clients:
    """Open-loop traffic for one dispatcher: each request on a connection of its own, tried once."""

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
        while True:
            await trio.sleep(self._rng.expovariate(self.rate))
            self._count += 1
            kind = self._rng.choices(list(self._kinds), list(self._kinds.values()))[0]
            nursery.start_soon(self._ask, f"{self.name}-{self._count}", kind)

    async def _ask(self, job: str, kind: str) -> None:
        note = self._history.note
        try:
            with trio.fail_after(self._timeout + 3.0):
                stream = await trio.open_tcp_stream(*self.address)
                http = Http(stream, h11.CLIENT)
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
                    with trio.move_on_after(0.05):  # an answer after the answer
                        if extra := http.parser.trailing_data[0] or await stream.receive_some(
                            CHUNK
                        ):
                            note("client", "answer", job=job, status=-len(extra))
                finally:
                    reset(stream)
        except (*GONE, trio.TooSlowError) as error:
            note("client", "lost", job=job, why=type(error).__name__)
