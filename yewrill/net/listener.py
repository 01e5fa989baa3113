"""The client listener: accepts a bounded number of clients, serves, evicts and drains them."""

from __future__ import annotations

import errno
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import islice

import trio

from yewrill.dispatch.safety import CloseReason
from yewrill.net import client_connection
from yewrill.net.backlog import Backlog
from yewrill.net.client_connection import ClientConnection
from yewrill.net.connection import OUT_OF_RESOURCES, Connection, IdleCheck
from yewrill.net.http import MAX_REQUEST_BYTES, BadRequest, HttpRequest, Reply
from yewrill.net.input_budget import InputBudget

log = logging.getLogger("yewrill.clients")

BACKLOG_SIZE = 1024
# Time limit for a complete request from its first byte, and for a connection's first request from the accept.
# A client that sends nothing or an incomplete request gets an error reply or is disconnected within 3 s.
REQUEST_TIMEOUT_SECONDS = 2.5
# A connection that has not sent a request may be evicted for a new one after this time.
MIN_EVICTION_AGE_SECONDS = 0.2
# Time after a scan that found no client to evict until the next scan, which looks at every connection.
EVICTION_SCAN_PAUSE_SECONDS = 0.02
# Amount of input that is read and discarded after the last reply, so that the reply arrives; the rest is left
# unread.
LINGER_MAX_BYTES = 64 * 1024
LINGER_TIMEOUT_SECONDS = 0.2  # time that a client has to read its last reply and close
# The pause after a failed wait for the socket, and the longest wait for a free place before a new eviction.
ACCEPT_PAUSE_SECONDS = 0.05


Handler = Callable[[ClientConnection, HttpRequest], Awaitable[bool]]


def _adopt_socket(descriptor: int) -> socket.socket:
    """Returns the listening socket of an inherited descriptor.

    Other processes accept on it too, so it is closed but never shut down. Raises OSError.
    """
    try:
        sock = socket.socket(fileno=descriptor)
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.set_inheritable(False)
            return sock
        sock.detach()
    except OSError as error:
        raise OSError(error.errno, f"inherited descriptor {descriptor}: {error.strerror}") from None
    raise OSError(errno.EINVAL, f"inherited descriptor {descriptor} is not a listening socket")


class Listener:
    """Accepts at most `max_clients` clients and serves each until it disconnects or the process stops."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        max_clients: int,
        *,
        inherited: int | None = None,
        request_timeout: float | None = None,
        log_name: str = "clients",
        input_budget: InputBudget | None = None,
        closed_unanswered: Callable[[ClientConnection], None] = lambda client: None,
    ):
        """`input_budget` bounds the bytes that all requests hold; by default only each one is bounded."""
        self.input_budget = input_budget or InputBudget(max_clients * MAX_REQUEST_BYTES)
        self._request_timeout = (
            REQUEST_TIMEOUT_SECONDS if request_timeout is None else request_timeout
        )
        self._log_name = log_name
        if inherited is not None:
            self.sock = _adopt_socket(inherited)
        else:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(BACKLOG_SIZE)
        self.sock.setblocking(False)
        self._backlog = Backlog(self, already_listening=inherited is not None)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._handler = handler
        self._max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        self._capacity_freed = trio.Event()
        self._failed_accepts = 0  # number of consecutive failed accepts
        self._next_eviction_scan = 0.0  # event loop time
        self._full_logged = False  # whether it was logged that no client can be evicted
        self._nursery: trio.Nursery
        self.accept_failures = 0
        self.closes: Counter[CloseReason] = Counter()
        # Called for a client whose connection closes although its request has no answer.
        self._closed_unanswered = closed_unanswered
        self.accepting = True
        self._closed = trio.Event()  # set when the listening socket is closed
        # Whether idle connections are closed, and the others after their answer.
        self.stopping = False

    async def run(self) -> None:
        """Accepts until the listening socket is closed, then returns when every client has been served."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._backlog.has_waiting()  # if the backlog is empty, no wait before now is counted
            while self.accepting:
                try:
                    await trio.lowlevel.wait_readable(self.sock)
                except trio.ClosedResourceError:
                    break
                except OSError as error:
                    # The wait could not be set up: the socket is polled instead.
                    self._accept_failed(error)
                    await trio.sleep(ACCEPT_PAUSE_SECONDS)
                self._backlog.note_readable()
                await self._accept_waiting()
            await self._closed.wait()

    async def _accept_waiting(self) -> None:
        """Accepts until the backlog is empty."""
        while self.accepting:
            full = len(self.clients) >= self._max_clients
            if full and not self._backlog.has_waiting():
                return  # without a waiting client none is evicted
            if full and not self._evict():
                await self._wait_for_capacity()
                continue
            self._full_logged = False
            try:
                if not self._accept_one():
                    return
            except OSError as error:
                self._accept_failed(error)
                await trio.sleep(self._backlog.pause)
            if len(self.clients) % 16 == 0:
                await trio.lowlevel.checkpoint()

    async def _wait_for_capacity(self) -> None:
        if not self._full_logged:
            log.warning(
                "%s_full open=%d: new connections wait in the backlog",
                self._log_name,
                len(self.clients),
            )
            self._full_logged = True
        self._capacity_freed = trio.Event()
        # After this pause, further connections without a request may have reached the eviction age.
        with trio.move_on_after(ACCEPT_PAUSE_SECONDS):
            await self._capacity_freed.wait()

    def _accept_one(self) -> bool:
        """Accepts one client; returns False if none was waiting. Raises OSError if `accept` fails."""
        accepted = self._backlog.accept()
        if self._failed_accepts and accepted is not None:
            log.info("%s_accept_recovered failed=%d", self._log_name, self._failed_accepts)
            self._failed_accepts = 0
        if accepted is None:
            return False
        client = ClientConnection(Connection(accepted.sock), self.input_budget)
        client.note_backlog_wait(accepted)
        self.clients.add(client)
        self._nursery.start_soon(self._serve, client)
        return True

    def _accept_failed(self, error: OSError) -> None:
        """Counts and logs a failed accept. Waiting clients stay in the backlog, others are still served."""
        self._failed_accepts += 1
        self.accept_failures += 1
        if self._failed_accepts == 1:
            log.warning(
                "%s_accept_failed open=%d errno=%s: %s",
                self._log_name,
                len(self.clients),
                errno.errorcode.get(error.errno, error.errno),
                error.strerror,
            )
        if error.errno in OUT_OF_RESOURCES:
            self._evict()

    def _evict(self) -> bool:
        """Closes connections without a request in progress to make room; returns whether any was closed.

        Connections that never sent a request are closed first, several at once and after a minimum age,
        because a connection flood consists of them. Otherwise the one that has been idle longest is closed,
        which the protocol permits. Connections with unread bytes in the kernel are skipped: the bytes may be
        a complete request, which the close would reset. For up to the send timeout, connections whose client
        has not acknowledged all of its last answer are skipped too: if its next request crossed the close,
        the reset would destroy that answer.
        """
        now = trio.current_time()
        if now < self._next_eviction_scan:
            return False
        evicted = self._evictable(now)
        for client in evicted:
            client.disconnect(CloseReason.EVICTED)
            self._forget(client)
        if not evicted:
            self._next_eviction_scan = now + EVICTION_SCAN_PAUSE_SECONDS
        return bool(evicted)

    def _evictable(self, now: float) -> list[ClientConnection]:
        """Returns the clients to evict, which are none if new clients have to wait."""
        newest_evictable = now - MIN_EVICTION_AGE_SECONDS
        answer_cutoff = now - client_connection.SEND_TIMEOUT_SECONDS
        silent = [c for c in self.clients if not c.has_sent_request and not c.answering]
        evicted = self._longest_idle(
            [c for c in silent if c.idle_since < newest_evictable], max(1, self._max_clients // 32)
        )
        if not evicted and len(silent) > self._max_clients // 8:
            return []  # new clients wait until silent ones reach the eviction age
        if evicted:
            return evicted
        return self._longest_idle(
            [
                c
                for c in self.clients
                if c.has_sent_request
                and c.idle
                and (c.idle_since < answer_cutoff or not c.connection.unacknowledged_bytes())
            ],
            1,
        )

    @staticmethod
    def _longest_idle(clients: list[ClientConnection], count: int) -> list[ClientConnection]:
        """Returns the `count` longest idle clients without unread bytes in the kernel.

        A client whose bytes have been read has sent only part of a request, and counts as idle.
        """
        candidates = (
            c
            for c in sorted(clients, key=lambda c: c.idle_since)
            if len(c.connection.inbound) or c.connection.check_idle() is not IdleCheck.STRAY
        )
        return list(islice(candidates, count))

    def _forget(self, client: ClientConnection) -> None:
        self.clients.discard(client)
        self._capacity_freed.set()

    def limit(self, max_clients: int) -> None:
        """Changes the maximum number of clients; connected clients stay connected."""
        self._max_clients = max_clients
        self._capacity_freed.set()

    async def drain_backlog(self, deadline: float) -> None:
        """Accepts all waiting clients, then closes the listening socket.

        Failing calls are retried, and capacity is awaited, until `deadline` (event loop time). Clients that
        still wait then are reset, and connect to another dispatcher.
        """
        if not self.accepting:
            return
        self.accepting = False
        while self._backlog.has_waiting() or self._failed_accepts:
            try:
                if len(self.clients) < self._max_clients or self._evict():
                    if not self._accept_one():
                        break
                    continue
            except OSError as error:
                self._accept_failed(error)
            if trio.current_time() >= deadline:
                log.warning("%s_backlog_abandoned open=%d", self._log_name, len(self.clients))
                break
            await trio.sleep(self._backlog.pause)
        self._close_socket()

    def stop_accepting(self) -> None:
        """Closes the listening socket now. Another process on it, if any, accepts the waiting clients."""
        self.accepting = False
        if not self._closed.is_set():
            self._close_socket()

    def _close_socket(self) -> None:
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
        self._closed.set()
        self._capacity_freed.set()

    async def wait_until_empty(self) -> None:
        """Waits until no client is connected."""
        while self.clients:
            self._capacity_freed = trio.Event()
            await self._capacity_freed.wait()

    def close(self) -> None:
        """Closes idle connections now, and each other connection after its answer."""
        self.stopping = True
        for client in list(self.clients):
            self._close_if_idle(client)

    def close_without_request(self) -> None:
        """Closes connections without a complete request or a pending reply; an answer would be too late."""
        for client in list(self.clients):
            if not client.answering and not client.closing:
                client.disconnect(CloseReason.CUT)

    def close_idle(self, age: float) -> None:
        """Closes connections that have been idle for `age` seconds; new ones are still accepted."""
        before = trio.current_time() - age
        for client in list(self.clients):
            if client.idle_since <= before:
                self._close_if_idle(client)

    def _close_if_idle(self, client: ClientConnection) -> None:
        # A request that has arrived but is still unread is served first.
        if client.idle and client.connection.check_idle() is IdleCheck.IDLE:
            client.close_gracefully()

    async def _serve(self, client: ClientConnection) -> None:
        reason = CloseReason.FAULT
        try:
            reason = await self._serve_requests(client)
        except Exception:
            log.exception("client_raised")
        finally:
            if not client.disconnected and client.owes_answer:
                self._closed_unanswered(client)
            client.disconnect(reason)
            client.release_input()
            self.closes[client.close_reason or reason] += 1
            log.debug(
                "client_connection_closed connection=%d reason=%s", id(client), client.close_reason
            )
            self._forget(client)

    async def _serve_requests(self, client: ClientConnection) -> CloseReason:
        """Serves a client's requests; returns why the connection is closed."""
        reason: CloseReason | None = None
        while reason is None:
            try:
                reason = await self._exchange(client)
            except BadRequest as bad:
                await self._reject(client, bad)
                reason = CloseReason.BAD_REQUEST
            except Exception:
                # A bug in one exchange must neither stop the process nor cost this client its answer.
                log.exception("exchange_raised")
                await self._answer_fault(client)
                reason = CloseReason.FAULT
        return reason

    async def _exchange(self, client: ClientConnection) -> CloseReason | None:
        """Serves one request; returns the close reason, None if another may follow. Raises BadRequest."""
        http_request = await self._next_request(client)
        if http_request is None:
            if not client.closing:
                return CloseReason.CLIENT_ENDED
            await self._linger(client)
            return CloseReason.DRAINED
        if client.has_pipelined_input:
            # Pipelined requests are rejected before any work is done for them.
            raise BadRequest(400, "one request at a time on a connection")
        client.answering = True
        keep_open = await self._handler(client, http_request)
        if client.disconnected:
            return CloseReason.CLIENT_ENDED
        if not keep_open or not client.http.reusable or client.input_dropped:
            await self._linger(client)
            return CloseReason.DRAINED if self.stopping else CloseReason.LAST_ANSWER
        client.next_cycle()
        if self.stopping:
            self._close_if_idle(client)
        return None

    async def _reject(self, client: ClientConnection, bad: BadRequest) -> None:
        if client.disconnected or not client.http.can_answer:
            return
        client.closing = True
        # A flood of bad requests must not keep the other clients from the event loop.
        if not await client.wait_for_turn():
            return
        reply = Reply(bad.status, bad.text.encode() + b"\n", list(bad.headers))
        await client.send(client.http.encode_reply(reply, close=True))
        await self._linger(client, valid_request=bad.status >= 500)

    async def _answer_fault(self, client: ClientConnection) -> None:
        if client.disconnected or not client.http.can_answer:
            return
        await client.send(client.http.encode_reply(Reply(500, b"internal fault\n"), close=True))
        await self._linger(client)

    async def _next_request(self, client: ClientConnection) -> HttpRequest | None:
        first = client.idle_since == client.opened_at
        if not first and not await client.wait_for_request():
            return None
        began = client.opened_at if first else client.first_byte
        with trio.move_on_at(began + self._request_timeout) as scope:
            return await client.read_request(scope.cancel)
        if client.input_evicted:
            raise BadRequest(503, "too much unfinished input")
        raise BadRequest(408, "the request took too long")

    async def _linger(self, client: ClientConnection, valid_request: bool = True) -> None:
        """Waits after the last reply until the client has it: a close with unread input is a reset.

        `valid_request`: the reply answers a valid request. In a connection flood, a client whose request was
        invalid is not waited for.
        """
        client.connection.shutdown_write()
        if not valid_request and len(self.clients) > self._max_clients // 2:
            # In a flood of connections, descriptors matter more than this reply. Only input that can be read
            # at once is read.
            with suppress(OSError):
                client.connection.discard_now()
            return
        with trio.move_on_after(LINGER_TIMEOUT_SECONDS):
            read = 0
            while not client.disconnected and read < LINGER_MAX_BYTES:
                read += len(await client.receive())
            if not client.disconnected:
                await trio.sleep(LINGER_TIMEOUT_SECONDS)
