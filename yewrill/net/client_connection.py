"""A client's connection: reads its requests one after another, and detects its end.

While a request is processed the connection is read ahead, so that a disconnect is noticed.
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
from yewrill.net.http import BadRequest, HttpRequest, RequestBuilder, ServerSide
from yewrill.net.input_budget import BudgetExhausted, HeldInput, InputBudget
from yewrill.net.input_turns import InputWork, wait_for_turn

SEND_TIMEOUT_SECONDS = 5.0  # time limit of one write to a client
# The pause between two reads from a client whose input buffer is full: at least the minimum, longer the more
# such clients there are. Their further input is read only to notice a disconnect, and discarded.
MIN_OVERRUN_PAUSE_SECONDS = 0.02
OVERRUN_PAUSE_PER_CLIENT_SECONDS = 0.0004
# More bytes than the buffers of both kernels hold. A client from which more was read than that has not closed
# before the first of them was read.
MAX_IN_FLIGHT_BYTES = 16 * 1024 * 1024
DISCARD_READS_PER_TURN = 4
# Time without input after which all that a client has sent, and its end, has arrived.
SETTLED_AFTER_SECONDS = 0.02


class ClientConnection:
    """A client's connection. Times are the event loop's, in seconds."""

    overrunning_clients = 0  # number of connections, over all clients, whose input buffer is full

    def __init__(self, connection: Connection, budget: InputBudget):
        self.connection = connection
        self._budget = budget
        self._held: HeldInput | None = None  # the input that the current request holds
        self.http = ServerSide()
        self.request: Request | None = None
        self.on_left: Callable[[Request], None] = lambda request: None
        self.disconnected = False
        self.close_reason: CloseReason | None = None
        self.answering = False  # whether a complete request is being processed or answered
        # Whether part of the pipelined input was discarded, so that no later request can be parsed.
        self.input_dropped = False
        self.has_sent_request = False  # whether the client has sent at least one valid request
        self.idle_since = self.opened_at = trio.current_time()
        self.first_byte = 0.0  # time at which the next request began to arrive; 0 if none has
        self.closing = False  # whether the connection is closing and further input is discarded
        self._idle_wait = trio.CancelScope()  # scope of the wait for the next request
        self._turn_wait = trio.CancelScope()  # scope of the wait for a turn at the event loop

    def note_backlog_wait(self, accepted: Accepted) -> None:
        """Dates the first request back to its arrival in the backlog, if its data can be read already."""
        if accepted.earliest_arrival < self.opened_at and self.connection.has_unread():
            self.first_byte = accepted.earliest_arrival

    async def _read_ahead(self, scope: trio.CancelScope, reading_ended: trio.Event) -> None:
        try:
            with scope:
                while not self.disconnected and self.connection.inbound.room:
                    await self._fill()
                await self._watch_overrun()
        finally:
            reading_ended.set()

    async def _watch_overrun(self) -> None:
        """Watches for the disconnect of a client that has filled its input buffer before its answer."""
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

    def _drop_input(self) -> int:
        """Reads once and discards; returns the number of bytes. Disconnects at the end of the stream."""
        self.input_dropped = True
        try:
            # The end of the stream may follow more data than one read returns; if the receive window is full,
            # only reading lets it arrive.
            if self.connection.ended() or (count := self.connection.discard_now()) == 0:
                self.disconnect()
                return 0
        except OSError:
            self.disconnect()
            return 0
        return count or 0

    async def settle_input(self) -> None:
        """Waits until the client's end would have been seen if the client had closed by now.

        The end lies behind all that the client has sent. Where that was more than the input buffer holds, it
        is read and discarded, in turns with other connections.
        """
        if self.connection.inbound.room:
            return
        discarded, settled = 0, False
        while not self.disconnected and not settled and discarded < MAX_IN_FLIGHT_BYTES:
            count = self._discard_available()
            discarded += count
            if count:
                await self.wait_for_turn()
            else:
                await trio.sleep(SETTLED_AFTER_SECONDS)
                settled = not self.disconnected and not self.connection.has_unread()

    def _discard_available(self) -> int:
        """Discards a bounded part of the available input; returns the number of bytes."""
        discarded = 0
        for _ in range(DISCARD_READS_PER_TURN):
            count = self._drop_input()
            if not count:
                break
            discarded += count
        return discarded

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
        """Whether the client has sent more input before its answer, which the protocol does not allow."""
        return bool(len(self.connection.inbound) or self.http.parser.trailing_data[0].strip())

    def has_left(self) -> bool:
        """Asks the socket whether the client has disconnected.

        When many clients disconnect at once, the reading task may not have noticed this one's end yet.
        """
        if not self.disconnected and self.connection.ended():
            self.disconnect()
        return self.disconnected

    def disconnect(self, reason: CloseReason = CloseReason.CLIENT_ENDED) -> None:
        """Closes the connection immediately, because the client has disconnected or for another reason."""
        if not self.disconnected:
            self.disconnected = True
            self.close_reason = reason
            if self.request is not None:
                self.on_left(self.request)
            self._turn_wait.cancel()
            self.connection.close()

    async def wait_for_turn(self) -> bool:
        """Waits for a turn at the event loop; returns False at once if the connection is closed meanwhile."""
        self._turn_wait = trio.CancelScope()
        with self._turn_wait:
            await wait_for_turn()
        return not self.disconnected

    @property
    def owes_answer(self) -> bool:
        """Whether a complete request has been read and no answer to it has begun."""
        return self.answering and self.http.can_answer

    @property
    def idle(self) -> bool:
        """Whether no request is being received, processed or answered, as far as input was read."""
        return not self.answering and not self.first_byte and not self.closing

    async def wait_for_request(self) -> bool:
        """Waits for the next request to begin; returns False if the connection is to be closed instead."""
        self._idle_wait = trio.CancelScope()
        with self._idle_wait:
            if not self.closing:
                await self.wait_readable()
        return not self.closing

    def close_gracefully(self) -> None:
        """Takes no more requests. A connection that has had an answer is then closed by its own task.

        Closing the socket while input arrives would reset the connection, and the client could lose its last
        answer.
        """
        if self.idle_since == self.opened_at:
            self.disconnect(CloseReason.DRAINED)
            return
        self.closing = True
        self.connection.shutdown_write()
        self._idle_wait.cancel()

    async def wait_readable(self) -> None:
        """Waits until input is available or the client has disconnected."""
        while not len(self.connection.inbound) and not self.disconnected:
            await self._fill()

    async def receive(self) -> bytes:
        """Returns the next bytes, empty once the client has disconnected."""
        await self.wait_readable()
        return b"" if self.disconnected else self.connection.inbound.take()

    async def read_request(self, on_evicted: Callable[[], None]) -> HttpRequest | None:
        """Returns the next complete request, None if the client has disconnected. Raises BadRequest.

        `on_evicted` has to cancel the call: the request has to make room for another one.
        """
        builder = RequestBuilder()

        def evict() -> None:
            builder.discard_body()
            on_evicted()

        self._held = self._budget.request(evict)
        http_request = await self._read_events(builder, self._held)
        self._held.finish()
        return http_request

    async def _read_events(self, builder: RequestBuilder, held: HeldInput) -> HttpRequest | None:
        work = InputWork()
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if builder.request is not None:
                    await self._send_continue()
                if work.read_needs_turn() and not await self.wait_for_turn():
                    return None
                if not await self._read_more(held):
                    return None
                continue
            kind = type(event)  # isinstance is slow for the parser's classes
            if kind is h11.EndOfMessage:
                return builder.finish()
            if kind is h11.Request:
                builder.begin(event, arrived=self.first_byte or trio.current_time())
            elif kind is h11.Data:
                builder.add(event.data)
                if work.event_needs_turn() and not await self.wait_for_turn():
                    return None
            else:  # h11.ConnectionClosed or h11.PAUSED: no request can follow
                return None

    async def _send_continue(self) -> None:
        """Tells a client that waits for it that its body may follow."""
        if self.http.parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=())
            await self.connection.send(self.http.parser.send(continue_response))

    async def _read_more(self, held: HeldInput) -> bool:
        """Passes the next bytes to the parser; returns False if the client has disconnected."""
        data = await self.receive()
        if not data:
            return False
        try:
            held.add(len(data))
        except BudgetExhausted:
            raise BadRequest(503, "too much unfinished input") from None
        self.http.feed(data)
        return True

    @property
    def input_evicted(self) -> bool:
        """Whether the request that was being read had to make room for another one."""
        return self._held is not None and self._held.released

    def release_input(self) -> None:
        """Gives back the bytes that the current request holds, after its answer or its end."""
        if self._held is not None:
            self._held.release()
            self._held = None

    @asynccontextmanager
    async def reading_ahead(self, nursery: trio.Nursery) -> AsyncIterator[None]:
        """Reads ahead while the context is open."""
        scope, reading_ended = trio.CancelScope(), trio.Event()
        nursery.start_soon(self._read_ahead, scope, reading_ended)
        try:
            yield
        finally:
            scope.cancel()
            # The wait is brief, and shielded from cancellation: two tasks must not read the connection at
            # once.
            with trio.CancelScope(shield=True):
                await reading_ended.wait()

    def next_cycle(self) -> None:
        """Prepares for the next request, after the answer has been sent."""
        self.http.parser.start_next_cycle()
        self.release_input()
        self.answering = False
        self.idle_since = trio.current_time()
        # Input that was read ahead begins the next request, whose time limit runs from now.
        self.first_byte = self.idle_since if len(self.connection.inbound) else 0.0

    async def send(self, data: bytes) -> bool:
        """Sends within SEND_TIMEOUT_SECONDS; returns False if the client disconnects or does not read."""
        if self.disconnected:
            return False
        try:
            sent = self.connection.send_now(data)
            if sent == len(data):
                return True
            with trio.move_on_after(SEND_TIMEOUT_SECONDS) as scope:
                await self.connection.send(data[sent:])
        except OSError:
            return False
        return not scope.cancelled_caught
