"""The pool of connections to workers: opening, reuse, retirement, and the bound on their number."""

from __future__ import annotations

import logging
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

import h11
import trio

from yewrill.dispatch.endpoint import Endpoint
from yewrill.net.connection import Connection, Quiet
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import ClientSide

log = logging.getLogger("yewrill.destinations")

IDLE_LIMIT_SHARE = 0.7  # connections are retired after this share of the workers' idle limit
# After a stale connection, a worker gets only new ones for this long, longer each time.
MIN_REUSE_PAUSE_SECONDS, MAX_REUSE_PAUSE_SECONDS = 5.0, 60.0
MESSAGE_END_TIMEOUT_SECONDS = 0.25  # from an answer's last line to the end of its HTTP message
SWEEP_INTERVAL_SECONDS = 0.1


@dataclass(slots=True)
class WorkerConnection:
    """A connection to a worker. Times are the event loop's, in seconds."""

    http: ClientSide
    address: tuple[str, int]
    idle_since: float = 0.0
    reused: bool = False  # it has carried an exchange before
    reusable_from: float = 0.0


class _ReusePause(NamedTuple):
    """While it lasts, no connection to a worker is kept."""

    until: float
    duration: float


class _EndingMessage(NamedTuple):
    """An answered exchange whose HTTP message has not ended yet."""

    worker: str
    connection: WorkerConnection
    deadline: float


class WorkerConnectionPool:
    """Idle connections by worker, and the count of all open ones."""

    def __init__(
        self,
        endpoints: EndpointList,
        *,
        max_open: int,
        connect_timeout: float,
        idle_limit: float,
    ):
        """`connect_timeout` and `idle_limit` in seconds."""
        self._endpoints = endpoints
        self._max_open = max_open
        self.reconfigure(connect_timeout, idle_limit)
        self._idle: dict[str, list[WorkerConnection]] = {}
        self.open = 0
        self._ending: list[_EndingMessage] = []
        self._reuse_pauses: dict[str, _ReusePause] = {}
        endpoints.subscribe_to_changes(self._endpoint_changed)

    def reconfigure(self, connect_timeout: float, idle_limit: float) -> None:
        """In seconds: how long a connection may take to come up, and how long workers let it stay idle."""
        self._connect_timeout = connect_timeout
        self._max_idle = idle_limit * IDLE_LIMIT_SHARE

    async def connect(self, endpoint: Endpoint) -> WorkerConnection:
        """Open a connection; `make_room` comes first. Raises OSError or trio.TooSlowError."""
        self.open += 1
        try:
            with trio.fail_after(self._connect_timeout):
                connection = await Connection.open(endpoint.address)
        except BaseException:
            self.open -= 1
            raise
        return WorkerConnection(ClientSide(connection), endpoint.address)

    def take_idle(self, endpoint: Endpoint) -> WorkerConnection | None:
        """An idle connection that is young, quiet and leads to the present address; the latest used first."""
        if self._ending and not self._idle.get(endpoint.id):
            self._collect_ended()
        now, not_yet_reusable = trio.current_time(), []
        idle = self._idle.get(endpoint.id, [])
        while idle:
            connection = idle.pop()
            fresh = now - connection.idle_since < self._max_idle
            usable = fresh and connection.address == endpoint.address
            if not usable or connection.http.connection.quiet() is not Quiet.IDLE:
                self.discard(connection)
            elif connection.reusable_from > now:
                not_yet_reusable.append(connection)
            else:
                idle += reversed(not_yet_reusable)
                return connection
        idle += reversed(not_yet_reusable)
        return None

    def pause_reuse(self, worker: str) -> None:
        """A kept connection to this worker was stale, so the others may be too: close them all."""
        now = trio.current_time()
        until, duration = self._reuse_pauses.get(worker, (0.0, 0.0))
        if now >= until:
            duration = min(max(2.0 * duration, MIN_REUSE_PAUSE_SECONDS), MAX_REUSE_PAUSE_SECONDS)
            self._reuse_pauses[worker] = _ReusePause(now + duration, duration)
            log.info("worker_connection_stale worker=%s reuse_pause_s=%g", worker, duration)
        for connection in self._idle.pop(worker, ()):
            self.discard(connection)

    def _reuse_paused(self, worker: str) -> bool:
        return (
            worker in self._reuse_pauses and trio.current_time() < self._reuse_pauses[worker].until
        )

    def give_back(self, worker: str, connection: WorkerConnection) -> None:
        """Keep a connection whose exchange is over, or close it if it can't carry another."""
        try:
            settled = connection.http.settled()
        except (OSError, h11.RemoteProtocolError):
            self.discard(connection)
            return
        if settled or connection.http.parser.our_state is h11.IDLE:
            if not self._endpoints.may_send(worker) or self._reuse_paused(worker):
                self.discard(connection)
                return
            connection.idle_since, connection.reused = trio.current_time(), True
            self._idle.setdefault(worker, []).append(connection)
        elif (
            connection.http.parser.their_state is h11.SEND_BODY
            and not connection.http.connection.closed
        ):
            # The last line came without the end of the message: most often that is one read away.
            deadline = trio.current_time() + MESSAGE_END_TIMEOUT_SECONDS
            self._ending.append(_EndingMessage(worker, connection, deadline))
        else:
            self.discard(connection)

    def discard(self, connection: WorkerConnection) -> None:
        """Close a connection; nothing happens if it is closed already."""
        if not connection.http.connection.closed:
            connection.http.connection.close()
            self.open -= 1

    def limit(self, max_open: int) -> None:
        """Set another bound; idle connections beyond it are closed."""
        self._max_open = max_open
        while self.open > max_open and self.make_room():
            pass

    def make_room(self) -> bool:
        """Whether one more connection may be opened; an idle one is closed for it if need be."""
        if self.open < self._max_open:
            return True
        oldest = min(
            (idle for idle in self._idle.values() if idle),
            key=lambda idle: idle[0].idle_since,
            default=None,
        )
        if oldest is None:
            return False
        self.discard(oldest.pop(0))
        return True

    def _endpoint_changed(self, endpoint: Endpoint | None, worker: str) -> None:
        """Close idle connections to a worker that is gone, drains or has moved."""
        if endpoint is None:
            self._reuse_pauses.pop(worker, None)
        for connection in self._idle.get(worker, ()):
            if (
                endpoint is None
                or connection.address != endpoint.address
                or not self._endpoints.may_send(worker)
            ):
                self.discard(connection)
        if worker in self._idle:
            self._idle[worker] = [
                connection
                for connection in self._idle[worker]
                if not connection.http.connection.closed
            ]
            if not self._idle[worker]:
                del self._idle[worker]

    def sweep(self) -> None:
        """Retire idle connections before the other side does, and collect those whose message has ended."""
        self._collect_ended()
        now = trio.current_time()
        for worker, connections in list(self._idle.items()):
            fresh = []
            for connection in connections:
                if (
                    now - connection.idle_since < self._max_idle
                    and connection.http.connection.quiet() is Quiet.IDLE
                ):
                    fresh.append(connection)
                else:
                    self.discard(connection)
            if fresh:
                self._idle[worker] = fresh
            else:
                del self._idle[worker]

    def _collect_ended(self) -> None:
        """Look whether answered exchanges have ended by now."""
        now = trio.current_time()
        ending, self._ending = self._ending, []
        for message in ending:
            if now >= message.deadline:
                self.discard(message.connection)
                continue
            with suppress(OSError, h11.RemoteProtocolError):
                if message.connection.http.settled():
                    self.give_back(message.worker, message.connection)
                    continue
                self._ending.append(message)
                continue
            self.discard(message.connection)

    async def keep_tidy(self, interval_seconds: float = SWEEP_INTERVAL_SECONDS) -> None:
        """Sweep until cancelled."""
        while True:
            await trio.sleep(interval_seconds)
            self.sweep()

    def close(self) -> None:
        """Close every connection that carries no exchange."""
        for connections in self._idle.values():
            for connection in connections:
                self.discard(connection)
        for message in self._ending:
            self.discard(message.connection)
        self._idle, self._ending = {}, []
