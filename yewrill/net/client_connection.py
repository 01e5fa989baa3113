"""A client's connection: its requests one after another, and how it ends.

While a request is under way the connection is read ahead, so that its end is seen.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import h11
import trio

from yewrill.dispatch.request import Request
from yewrill.dispatch.safety import CloseReason
from yewrill.net.backlog import Accepted
from yewrill.net.connection import Connection
from yewrill.net.http import MAX_BODY, BadRequest, HttpRequest, ServerSide, check_framing

SEND_TIMEOUT_SECONDS = 5.0  # for a client to take a reply
# Between two reads from a client whose input buffer is full, and at least so much for each such client there
# is: what it sends is dropped at this pace, only so that its end is seen.
MIN_OVERRUN_PAUSE_SECONDS, OVERRUN_PAUSE_PER_CLIENT_SECONDS = 0.02, 0.0004


class ClientConnection:
    """A client's connection. Times are the event loop's, in seconds."""

    overrunning_clients = 0  # of all clients: those whose input buffer is full

    def __init__(self, connection: Connection):
        self.connection = connection
        self.http = ServerSide()
        self.request: Request | None = None
        self.on_left: Callable[[Request], None] = lambda request: None
        self.disconnected = False
        self.close_reason: CloseReason | None = None
        self.answering = False  # a whole request is under way
        self.input_dropped = False  # part of its pipelined input: nothing after that can be read
        self.has_sent_request = False  # one that was accepted
        self.idle_since = self.opened_at = trio.current_time()
        self.first_byte = 0.0  # when it came, of the next request
        self.closing = False  # whatever it sends from here on is dropped
        self._idle_wait = trio.CancelScope()  # the wait for its next request

    def note_wait(self, accepted: Accepted) -> None:
        """It may have waited in the backlog: what it has sent by now came then."""
        if accepted.came < self.opened_at and self.connection.has_unread():
            self.first_byte = accepted.came

    async def _read_ahead(self, scope: trio.CancelScope, ended: trio.Event) -> None:
        try:
            with scope:
                while not self.disconnected and self.connection.inbound.room:
                    await self._fill()
                await self._watch_overrun()
        finally:
            ended.set()

    async def _watch_overrun(self) -> None:
        """Look for the end of a client that has filled the input buffer before its answer."""
        ClientConnection.overrunning_clients += 1
        try:
            while not self.disconnected:
                await trio.sleep(
                    max(
                        MIN_OVERRUN_PAUSE_SECONDS,
                        OVERRUN_PAUSE_PER_CLIENT_SECONDS * ClientConnection.overrunning_clients,
                    )
                )
                self._drop_input()
        finally:
            ClientConnection.overrunning_clients -= 1

    def _drop_input(self) -> None:
        self.input_dropped = True
        try:
            # The end may lie behind more than one read takes; behind a full window only reading brings it.
            if self.connection.ended() or self.connection.drop_now() == 0:
                self.disconnect()
        except OSError:
            self.disconnect()

    async def _fill(self) -> None:
        try:
            if not await self.connection.fill():
                self.disconnect()
            elif not self.answering and not self.first_byte:
                self.first_byte = trio.current_time() - self.connection.retried_for
        except OSError:
            self.disconnect()

    @property
    def has_pipelined_input(self) -> bool:
        """Whether it has sent more before its answer, which the protocol does not allow."""
        return bool(len(self.connection.inbound) or self.http.parser.trailing_data[0].strip())

    def has_left(self) -> bool:
        """A look at the socket itself: in a burst of ends, this one's may not have been read yet."""
        if not self.disconnected and self.connection.ended():
            self.disconnect()
        return self.disconnected

    def disconnect(self, reason: CloseReason = CloseReason.CLIENT_ENDED) -> None:
        """Close at once: the client has gone away, or is closed for the reason given."""
        if not self.disconnected:
            self.disconnected = True
            self.close_reason = reason
            if self.request is not None:
                self.on_left(self.request)
            self.connection.close()

    @property
    def owes_answer(self) -> bool:
        """Whether a whole request of its has been read, and no answer has begun."""
        return self.answering and self.http.can_answer

    @property
    def idle(self) -> bool:
        """Whether nothing of it is under way, as far as has been read."""
        return not self.answering and not self.first_byte and not self.closing

    async def wait_for_request(self) -> bool:
        """Wait for the next request to begin; False if the connection is to close instead."""
        self._idle_wait = trio.CancelScope()
        with self._idle_wait:
            if not self.closing:
                await self.readable()
        return not self.closing

    def close_in_order(self) -> None:
        """Take no more requests. A connection that was answered before is closed by its own task.

        A plain close while bytes arrive would reset the connection and lose the last answer on its way.
        """
        if self.idle_since == self.opened_at:
            self.disconnect(CloseReason.DRAINED)
            return
        self.closing = True
        self.connection.end()
        self._idle_wait.cancel()

    async def readable(self) -> None:
        """Wait until bytes have come or the client has disconnected."""
        while not len(self.connection.inbound) and not self.disconnected:
            await self._fill()

    async def receive(self) -> bytes:
        """The next bytes; empty once the client has disconnected."""
        await self.readable()
        return b"" if self.disconnected else self.connection.inbound.take()

    async def read_request(self) -> HttpRequest | None:
        """The next whole request; None when the client has gone. Raises BadRequest."""
        http_request: HttpRequest | None = None
        body = bytearray()
        while True:
            event = self.http.next()
            if event is h11.NEED_DATA:
                if http_request is not None and self.http.parser.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=())
                    await self.connection.send(self.http.parser.send(go_on))
                data = await self.receive()
                if not data:
                    return None
                self.http.feed(data)
            elif isinstance(event, h11.Request):
                check_framing(event)
                http_request = HttpRequest(
                    event.method.decode("ascii"),
                    event.target.decode("ascii"),
                    list(event.headers),
                    arrived=self.first_byte or trio.current_time(),
                )
                lengths = [value for name, value in event.headers if name == b"content-length"]
                if lengths and int(lengths[0]) > MAX_BODY:
                    raise BadRequest(413, "body over 64 KiB")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY:
                    raise BadRequest(413, "body over 64 KiB")
            elif isinstance(event, h11.EndOfMessage):
                http_request.body = bytes(body)
                return http_request
            else:  # h11.ConnectionClosed or PAUSED: no request can follow
                return None

    @asynccontextmanager
    async def reading_ahead(self, nursery: trio.Nursery) -> AsyncIterator[None]:
        """Read ahead in the meantime."""
        scope, ended = trio.CancelScope(), trio.Event()
        nursery.start_soon(self._read_ahead, scope, ended)
        try:
            yield
        finally:
            scope.cancel()
            with trio.CancelScope(shield=True):  # a moment only: two must not read at once
                await ended.wait()

    def next_cycle(self) -> None:
        """Be ready for the next request, once the answer has gone out."""
        self.http.parser.start_next_cycle()
        self.answering = False
        self.idle_since = trio.current_time()
        # What has been read ahead already is the next request: its time runs from now at the latest.
        self.first_byte = self.idle_since if len(self.connection.inbound) else 0.0

    async def send(self, data: bytes) -> bool:
        """Write, within a limit of time; False if the client has disconnected or does not take it."""
        if self.disconnected:
            return False
        with trio.move_on_after(SEND_TIMEOUT_SECONDS) as scope:
            try:
                await self.connection.send(data)
            except OSError:
                return False
        return not scope.cancelled_caught
