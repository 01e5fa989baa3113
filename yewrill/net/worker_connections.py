"""The pool of connections to workers: opens, reuses, retires and limits them."""

from __future__ import annotations

import logging
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

import h11
import trio

from yewrill.dispatch.endpoint import Endpoint
from yewrill.net.connection import Connection, IdleCheck
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import ClientSide

log = logging.getLogger("yewrill.destinations")

# Idle connections are closed after this fraction of the idle time after which workers close them.
IDLE_LIMIT_SHARE = 0.7
# After a stale connection, only new connections to the worker are used for this time, which doubles with each
# further stale one up to the maximum.
MIN_REUSE_PAUSE_SECONDS = 5.0
MAX_REUSE_PAUSE_SECONDS = 60.0
# Time limit from the last line of an answer to the end of its HTTP message.
MESSAGE_END_TIMEOUT_SECONDS = 0.25
SWEEP_INTERVAL_SECONDS = 0.1
# A response without a request id may be sent twice, some milliseconds apart, and the second one would be
# taken for the answer to the next request: so its connection is not reused for this time.
UNNAMED_ANSWER_PAUSE_SECONDS = 0.05


@dataclass(slots=True)
class WorkerConnection:
    """A connection to a worker. Times are the event loop's, in seconds."""

    http: ClientSide
    address: tuple[str, int]
    idle_since: float = 0.0
    reused: bool = False  # whether the connection has been in the pool before
    reusable_from: float = 0.0  # time before which the connection is not reused


class _ReusePause(NamedTuple):
    """A period in which no connection to a worker is kept for reuse."""

    until: float
    duration: float


class _UnfinishedMessage(NamedTuple):
    """An answered exchange whose HTTP message is not complete yet."""

    worker: str
    connection: WorkerConnection
    deadline: float


class WorkerConnectionPool:
    """Holds idle connections by worker and counts all open connections."""

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
        self._unfinished: list[_UnfinishedMessage] = []
        self._reuse_pauses: dict[str, _ReusePause] = {}
        endpoints.subscribe_to_changes(self._endpoint_changed)

    def reconfigure(self, connect_timeout: float, idle_limit: float) -> None:
        """Sets the connect timeout and the idle time after which workers close connections, in seconds."""
        self._connect_timeout = connect_timeout
        self._max_idle = idle_limit * IDLE_LIMIT_SHARE

    async def connect(self, endpoint: Endpoint) -> WorkerConnection:
        """Opens a connection; call `make_room` first. Raises OSError or trio.TooSlowError."""
        self.open += 1
        try:
            with trio.fail_after(self._connect_timeout):
                connection = await Connection.open(endpoint.address)
        except BaseException:
            self.open -= 1
            raise
        return WorkerConnection(ClientSide(connection), endpoint.address)

    def take_idle(self, endpoint: Endpoint) -> WorkerConnection | None:
        """Returns the most recently used idle connection that is still usable, None if there is none.

        A usable connection is within the idle limit, has no unread input, and leads to the endpoint's current
        address.
        """
        if self._unfinished and not self._idle.get(endpoint.id):
            self._collect_ended()
        now, not_yet_reusable = trio.current_time(), []
        idle = self._idle.get(endpoint.id, [])
        while idle:
            connection = idle.pop()
            fresh = now - connection.idle_since < self._max_idle
            usable = fresh and connection.address == endpoint.address
            if not usable or connection.http.connection.check_idle() is not IdleCheck.IDLE:
                self.discard(connection)
            elif connection.reusable_from > now:
                not_yet_reusable.append(connection)
            else:
                idle += reversed(not_yet_reusable)
                return connection
        idle += reversed(not_yet_reusable)
        return None

    def pause_reuse(self, worker: str) -> None:
        """Closes all idle connections to a worker, after one was stale, and keeps none for a while."""
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

    def release(self, worker: str, connection: WorkerConnection) -> None:
        """Takes back a connection whose exchange is over; closes it if it can't be reused."""
        try:
            complete = connection.http.exchange_complete()
        except (OSError, h11.RemoteProtocolError):
            self.discard(connection)
            return
        if complete or connection.http.parser.our_state is h11.IDLE:
            if not self._endpoints.may_send(worker) or self._reuse_paused(worker):
                self.discard(connection)
                return
            connection.idle_since, connection.reused = trio.current_time(), True
            self._idle.setdefault(worker, []).append(connection)
        elif (
            connection.http.parser.their_state is h11.SEND_BODY
            and not connection.http.connection.closed
        ):
            # The last line arrived without the end of the message, which usually follows with the next read.
            deadline = trio.current_time() + MESSAGE_END_TIMEOUT_SECONDS
            self._unfinished.append(_UnfinishedMessage(worker, connection, deadline))
        else:
            self.discard(connection)

    def discard(self, connection: WorkerConnection) -> None:
        """Closes a connection, if it is not closed already.

        A request of which the worker has not acknowledged all bytes does not arrive any more."""
        if not connection.http.connection.closed:
            connection.http.connection.close_discarding_output()
            self.open -= 1

    def limit(self, max_open: int) -> None:
        """Changes the maximum number of connections; idle ones above it are closed."""
        self._max_open = max_open
        while self.open > max_open and self.make_room():
            pass

    def make_room(self) -> bool:
        """Returns whether one more connection may be opened, closing the oldest idle one if necessary."""
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
        """Closes the idle connections to a worker that was removed, is draining or has another address."""
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
        """Closes idle connections before workers do, and reuses those whose message is now complete."""
        self._collect_ended()
        now = trio.current_time()
        for worker, connections in list(self._idle.items()):
            fresh = []
            for connection in connections:
                if (
                    now - connection.idle_since < self._max_idle
                    and connection.http.connection.check_idle() is IdleCheck.IDLE
                ):
                    fresh.append(connection)
                else:
                    self.discard(connection)
            if fresh:
                self._idle[worker] = fresh
            else:
                del self._idle[worker]

    def _collect_ended(self) -> None:
        """Puts connections whose HTTP message is now complete back into the pool; closes overdue ones."""
        now = trio.current_time()
        unfinished, self._unfinished = self._unfinished, []
        for message in unfinished:
            if now >= message.deadline:
                self.discard(message.connection)
                continue
            with suppress(OSError, h11.RemoteProtocolError):
                if message.connection.http.exchange_complete():
                    self.release(message.worker, message.connection)
                    continue
                self._unfinished.append(message)
                continue
            self.discard(message.connection)

    async def keep_tidy(self, interval_seconds: float = SWEEP_INTERVAL_SECONDS) -> None:
        """Calls `sweep` at intervals until cancelled."""
        while True:
            await trio.sleep(interval_seconds)
            self.sweep()

    def close(self) -> None:
        """Closes every connection that is not in use by an attempt."""
        for connections in self._idle.values():
            for connection in connections:
                self.discard(connection)
        for message in self._unfinished:
            self.discard(message.connection)
        self._idle, self._unfinished = {}, []
