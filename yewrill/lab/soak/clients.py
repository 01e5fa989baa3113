"""Simulated clients with reused connections, timeouts of all lengths and faulty behaviour."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

import h11
import trio
import ujson

from yewrill.lab.soak.events import Effect, History, ProcessState, Request, RequestEnd
from yewrill.lab.soak.http import DISCONNECTED, next_event, reset
from yewrill.lab.soak.oracle import ANSWER_SLACK_SECONDS, CLOCK_SLACK_SECONDS, STALL_LIMIT_SECONDS
from yewrill.lab.soak.plan import Plan

CLIENT_TIMEOUTS_SECONDS = (0.05, 0.15, 0.4, 1.0, 2.0, 2.5, 10.0, 60.0)
CLIENT_TIMEOUT_WEIGHTS = (1, 1, 3, 6, 10, 10, 2, 1)
KINDS = ("tour", "save", "once")
KIND_WEIGHTS = (5, 2, 3)
# Probability that a client that has left sends its request again, and the longest time until then.
REPEAT_AFTER_LEAVING = 0.5
MAX_ABSENCE_SECONDS = 1.5
MAX_IDLE_CONNECTIONS = 12  # limit on the idle connections that are kept to one dispatcher


class Style(Enum):
    """The ways in which a client sends a request."""

    WHOLE = "whole"
    PIECES = "in pieces"
    LEAVE = "disconnects at any byte or while it waits"
    HALF_CLOSE = "half-closes the connection while it waits"
    PIPELINE = "sends two at once"
    STOP = "stops sending in the middle and keeps the connection"


STYLES = tuple(Style)
CALM_STYLE_WEIGHTS = (12, 2, 1, 0, 0, 0)
USUAL_STYLE_WEIGHTS = (12, 2, 2, 1, 1, 1)
LEAVING_STYLE_WEIGHTS = (4, 1, 8, 2, 0, 0)


class Connection:
    """A connection of a client."""

    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self.parser = h11.Connection(h11.CLIENT)
        self.reused = False

    async def answer(self) -> tuple[int, bool]:
        """Returns the status of the next answer, and whether the connection may carry another request."""
        status, close = 0, False
        while not isinstance(event := await next_event(self.stream, self.parser), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
                close = (b"connection", b"close") in event.headers
            elif isinstance(event, h11.ConnectionClosed):
                raise trio.BrokenResourceError
        return status, not close

    def next_cycle(self) -> None:
        """Prepares the connection for another request."""
        self.parser = h11.Connection(h11.CLIENT)
        self.reused = True


class ClientTraffic:
    """Sends requests to one dispatcher, open-loop: at a rate that doesn't depend on its answers."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        plan: Plan,
        history: History,
        ready_event_of: Callable[[str], trio.Event],
    ):
        self.name, self._address, self._plan, self._history = name, address, plan, history
        self._rng = random.Random(f"{plan.seed}/{name}")
        self._idle: list[Connection] = []
        self._count = itertools.count()
        self._ready_event_of = ready_event_of
        self.style_weights = CALM_STYLE_WEIGHTS
        self.burst = 1.0
        self.in_flight = 0
        # Time, in seconds of the run, after which the simulated load balancer opens no new connections.
        self.new_connections_until = math.inf

    async def run(self, nursery: trio.Nursery) -> None:
        """Sends requests until cancelled; each request runs as a task of the nursery."""
        while True:
            await trio.sleep(self._rng.expovariate(self._plan.rate * self.burst))
            kind = self._rng.choices(KINDS, KIND_WEIGHTS)[0]
            id = f"{self.name}-{next(self._count)}"
            nursery.start_soon(self._run_request, id, kind, f"k-{id}")

    async def _run_request(self, id: str, kind: str, key: str) -> None:
        self.in_flight += 1
        try:
            await self._send_with_repeats(id, kind, key)
        finally:
            self.in_flight -= 1

    async def _send_with_repeats(self, id: str, kind: str, key: str) -> None:
        style = self._rng.choices(STYLES, self.style_weights)[0]
        client_timeout = self._rng.choices(CLIENT_TIMEOUTS_SECONDS, CLIENT_TIMEOUT_WEIGHTS)[0]
        request = first = await self._send_once(
            id, kind, key, client_timeout, style, on_new_connection=False
        )
        if request.end is RequestEnd.CLOSED and request.reused_connection and request.well_formed:
            # The close and the request crossed: the request was already on its way when the dispatcher closed
            # the idle connection, so it was not read and is sent again.
            request = await self._send_once(
                id, kind, key, client_timeout, Style.WHOLE, on_new_connection=True, send_number=2
            )
        if self._plan.terms.effects[kind] is Effect.IDEMPOTENT:
            return
        repeat_id = f"{id}-again"
        if request.status in (429, 503) and self._rng.random() < 0.5:
            await trio.sleep(self._rng.uniform(0.0, 0.3))
            await self._send_once(repeat_id, kind, key, 2.0, Style.WHOLE, on_new_connection=True)
        elif request.end is RequestEnd.LEFT and self._rng.random() < REPEAT_AFTER_LEAVING:
            await trio.sleep(self._rng.uniform(0.0, MAX_ABSENCE_SECONDS))
            if self._plan.terms.persistent_state or not self._process_ended(request.begun_at):
                await self._send_once(
                    repeat_id, kind, key, 2.0, Style.WHOLE, on_new_connection=True
                )
        elif (
            first.end is RequestEnd.CLOSED
            and request.end in (RequestEnd.CLOSED, RequestEnd.NOT_TAKEN)
            and self._plan.terms.persistent_state
        ):
            # The process was killed. The new process knows the attempts in flight, so repeating is safe.
            await self._ready_event_of(self.name).wait()
            await self._send_once(repeat_id, kind, key, 2.0, Style.WHOLE, on_new_connection=True)

    def _process_ended(self, since: float) -> bool:
        """Whether a process of the dispatcher has ended, and with it what it kept in memory only.

        A process that another one replaced has told that one what it knew.
        """
        return not self._plan.inherited_sockets and any(
            event.dispatcher == self.name
            and event.at >= since
            and event.state in (ProcessState.TERMINATED, ProcessState.KILLED, ProcessState.EXITED)
            for event in self._history.process_events
        )

    async def _send_once(
        self,
        id: str,
        kind: str,
        key: str,
        client_timeout: float,
        style: Style,
        on_new_connection: bool,
        send_number: int = 1,
    ) -> Request:
        request = Request(id, key, kind, self.name, client_timeout, self._history.now())
        request.send_number = send_number
        self._history.requests.append(request)
        connection: Connection | None = None
        try:
            connection = self._idle.pop() if self._idle and not on_new_connection else None
            if connection is None and self._history.now() >= self.new_connections_until:
                request.end, request.finished = RequestEnd.NOT_TAKEN, self._history.now()
                return request
            if connection is None:
                connection = Connection(await trio.open_tcp_stream(*self._address))
        except DISCONNECTED:
            request.end, request.finished = RequestEnd.NOT_TAKEN, self._history.now()
            return request
        request.reused_connection = connection.reused
        limit = (
            min(client_timeout, self._plan.seconds)
            + ANSWER_SLACK_SECONDS
            + CLOCK_SLACK_SECONDS
            + 0.2
        )
        try:
            with trio.fail_after(max(limit, STALL_LIMIT_SECONDS + 0.5) + 4.0):
                await self._exchange(connection, request, style)
        except trio.TooSlowError:
            request.end = RequestEnd.TIMED_OUT
        except DISCONNECTED:
            request.end = RequestEnd.CLOSED
        request.finished = request.finished or self._history.now()
        if (
            request.end is RequestEnd.ANSWERED
            and connection.reused
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        ):
            self._idle.append(connection)
        else:
            reset(connection.stream)
        return request

    async def _exchange(self, connection: Connection, request: Request, style: Style) -> None:
        data = self._encode(request)
        request.well_formed = style not in (Style.PIPELINE, Style.STOP)
        stream = connection.stream
        if style is Style.LEAVE and self._rng.random() < 0.4:
            await stream.send_all(data[: self._rng.randrange(1, len(data))])
            await self._disconnect(stream, request)
            return
        if style is Style.STOP:
            await stream.send_all(data[: self._rng.randrange(1, len(data) - 1)])
            request.stalls = True
        elif style is Style.PIECES:
            await self._send_pieces(stream, data)
            request.sent = self._history.now()
        else:
            await stream.send_all(data * 2 if style is Style.PIPELINE else data)
            request.sent = self._history.now()
        if style is Style.LEAVE:
            await trio.sleep(self._rng.choice((0.0, 0.01, 0.1)) * self._rng.random())
            await self._disconnect(stream, request)
            return
        if style is Style.HALF_CLOSE:
            await trio.sleep(0.05 * self._rng.random())
            request.end, request.finished = RequestEnd.LEFT, self._history.now()
            await stream.send_eof()
            with trio.move_on_after(0.5), suppress(*DISCONNECTED):
                await connection.answer()
            return
        request.status, may_be_reused = await connection.answer()
        request.end, request.finished = RequestEnd.ANSWERED, self._history.now()
        request.answers = 1
        if connection.parser.trailing_data[0]:
            request.answers = 2
        if may_be_reused and request.well_formed:
            connection.next_cycle()
        else:
            connection.reused = False

    async def _send_pieces(self, stream: trio.SocketStream, data: bytes) -> None:
        cuts = sorted(self._rng.sample(range(1, len(data)), 3))
        for begin, end in itertools.pairwise((0, *cuts, len(data))):
            await stream.send_all(data[begin:end])
            await trio.sleep(self._rng.uniform(0.0, 0.02))

    async def _disconnect(self, stream: trio.SocketStream, request: Request) -> None:
        request.end, request.finished = RequestEnd.LEFT, self._history.now()
        if self._rng.random() < 0.5:
            reset(stream)
        else:
            stream.socket.close()

    def _encode(self, request: Request) -> bytes:
        body = ujson.dumps({"sending": request.send_number})
        lines = [
            f"POST /{request.kind} HTTP/1.1",
            "Host: app",
            f"X-Request-ID: {request.id}",
            "X-Tenant-Id: acme",
            f"X-Timeout-Ms: {int(request.client_timeout * 1000)}",
            f"Idempotency-Key: {request.key}",
            f"Content-Length: {len(body)}",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
