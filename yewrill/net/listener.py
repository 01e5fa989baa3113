"""The listening socket: accepting clients within a bound, serving each, eviction, and draining."""

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
from yewrill.net.connection import NO_DESCRIPTORS, Connection, Quiet
from yewrill.net.http import BadRequest, HttpRequest, Reply

log = logging.getLogger("yewrill.clients")

BACKLOG = 1024
# Seconds for a request to be whole, from its first byte, or the connection's beginning for the first one:
# whoever says nothing, or half of something, has its error or its close within 3 s.
REQUEST_TIMEOUT_SECONDS = 2.5
# A connection that has asked for nothing yet may be evicted for a new one after this time.
MIN_EVICTION_AGE_SECONDS = 0.2
# Read after the last reply, so that it arrives; what else is sent is left unread.
LINGER_MAX_BYTES = 64 * 1024
LINGER_TIMEOUT_SECONDS = 0.2  # for a client to take its last reply and close
ACCEPT_PAUSE_SECONDS = 0.05  # when there are no descriptors


Handler = Callable[[ClientConnection, HttpRequest], Awaitable[bool]]


def _inherited(descriptor: int) -> socket.socket:
    """The listening socket that the platform holds: others accept on it too, so here it is only closed."""
    try:
        sock = socket.socket(fileno=descriptor)
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.set_inheritable(False)
            return sock
        sock.detach()
    except OSError as error:
        raise OSError(error.errno, f"descriptor {descriptor}: {error.strerror}") from None
    raise OSError(errno.EINVAL, f"descriptor {descriptor} is not a listening socket")


class Listener:
    """Accepts clients within a bound and serves each until it or the program ends."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        max_clients: int,
        *,
        inherited: int | None = None,
        request_timeout: float | None = None,
        log_name: str = "clients",
        closed_unanswered: Callable[[ClientConnection], None] = lambda client: None,
    ):
        self._request_timeout = (
            REQUEST_TIMEOUT_SECONDS if request_timeout is None else request_timeout
        )
        self._log_name = log_name
        if inherited is not None:
            self.sock = _inherited(inherited)
        else:
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self._backlog = Backlog(self, listening_before=inherited is not None)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._handler = handler
        self._max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        self._place_freed = trio.Event()
        self._failed_accepts = 0  # in a row
        self._full_logged = False  # nobody can be evicted, and that has been logged
        self._nursery: trio.Nursery
        self.accept_failures = 0
        self.closes: Counter[CloseReason] = Counter()
        # Called for a client whose connection closes though its request has no answer.
        self._closed_unanswered = closed_unanswered
        self.accepting = True
        self._closed = trio.Event()  # set once the listening socket is
        self.stopping = False  # idle connections go, the others once they are answered

    async def run(self) -> None:
        """Accept until the listening socket is closed, then return once every client has been served."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._backlog.somebody_waits()  # if not, nobody has waited so far
            while self.accepting:
                try:
                    await trio.lowlevel.wait_readable(self.sock)
                except trio.ClosedResourceError:
                    break
                except (
                    OSError
                ) as error:  # the wait could not be set up: a look at the socket does as well
                    self._accept_failed(error)
                    await trio.sleep(ACCEPT_PAUSE_SECONDS)
                self._backlog.readable()
                await self._accept_some()
            await self._closed.wait()

    async def _accept_some(self) -> None:
        """Accept until nobody waits."""
        while self.accepting:
            full = len(self.clients) >= self._max_clients
            if full and not self._backlog.somebody_waits():
                return  # nobody is evicted for nobody
            if full and not self._evict():
                await self._wait_for_place()
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

    async def _wait_for_place(self) -> None:
        if not self._full_logged:
            log.warning(
                "%s_full open=%d: new connections wait in the backlog",
                self._log_name,
                len(self.clients),
            )
            self._full_logged = True
        self._place_freed = trio.Event()
        with trio.move_on_after(
            ACCEPT_PAUSE_SECONDS
        ):  # by then others may have stayed silent for too long
            await self._place_freed.wait()

    def _accept_one(self) -> bool:
        """Whether somebody waited. Raises OSError if that can't be found out."""
        accepted = self._backlog.accept()
        if self._failed_accepts and accepted is not None:
            log.info("%s_accept_recovered failed=%d", self._log_name, self._failed_accepts)
            self._failed_accepts = 0
        if accepted is None:
            return False
        client = ClientConnection(Connection(accepted.sock))
        client.note_wait(accepted)
        self.clients.add(client)
        self._nursery.start_soon(self._serve, client)
        return True

    def _accept_failed(self, error: OSError) -> None:
        """Count and log it. Clients that wait stay in the backlog; the connected ones are served on."""
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
        if error.errno in NO_DESCRIPTORS:
            self._evict()

    def _evict(self) -> bool:
        """Close connections that have no request under way, to make room for new ones.

        First those that never sent a request, after a while and several at once: a flood consists of them.
        Then the one that has been idle for longest, as the protocol allows. A connection with unread bytes in
        the system is passed over: they may be a whole request, which a close would reset. So is one, for as
        long as a reply may take, whose client has not taken all of its last answer: a request that crosses
        the close would lose it.
        """
        now = trio.current_time()
        settled = now - MIN_EVICTION_AGE_SECONDS
        latest = now - client_connection.SEND_TIMEOUT_SECONDS
        silent = [c for c in self.clients if not c.has_sent_request and not c.answering]
        evicted = self._longest_idle(
            [c for c in silent if c.idle_since < settled], max(1, self._max_clients // 32)
        )
        if not evicted and len(silent) > self._max_clients // 8:
            return False  # new ones wait the moment until these have had their time
        if not evicted:
            evicted = self._longest_idle(
                [
                    c
                    for c in self.clients
                    if c.has_sent_request
                    and c.idle
                    and (c.idle_since < latest or not c.connection.on_its_way())
                ],
                1,
            )
        for client in evicted:
            client.disconnect(CloseReason.EVICTED)
            self._forget(client)
        return bool(evicted)

    @staticmethod
    def _longest_idle(clients: list[ClientConnection], count: int) -> list[ClientConnection]:
        """The first of those without unread bytes; one whose bytes are read is idle if they are but half."""
        waiting = (
            c
            for c in sorted(clients, key=lambda c: c.idle_since)
            if len(c.connection.inbound) or c.connection.quiet() is not Quiet.STRAY
        )
        return list(islice(waiting, count))

    def _forget(self, client: ClientConnection) -> None:
        self.clients.discard(client)
        self._place_freed.set()

    def limit(self, max_clients: int) -> None:
        """Set another bound; clients that are connected already stay."""
        self._max_clients = max_clients
        self._place_freed.set()

    async def drain_backlog(self, until: float) -> None:
        """Accept whoever waits, then close the listening socket. Calls that fail, and places that are taken,
        are waited for until a time of the event loop; whoever is left then is reset and tries elsewhere."""
        if not self.accepting:
            return
        self.accepting = False
        while self._backlog.somebody_waits() or self._failed_accepts:
            try:
                if len(self.clients) < self._max_clients or self._evict():
                    if not self._accept_one():
                        break
                    continue
            except OSError as error:
                self._accept_failed(error)
            if trio.current_time() >= until:
                log.warning("%s_backlog_abandoned open=%d", self._log_name, len(self.clients))
                break
            await trio.sleep(self._backlog.pause)
        self._close_socket()

    def stop_accepting(self) -> None:
        """Close the listening socket at once: another process accepts who waits, or none does."""
        self.accepting = False
        if not self._closed.is_set():
            self._close_socket()

    def _close_socket(self) -> None:
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
        self._closed.set()
        self._place_freed.set()

    async def wait_until_empty(self) -> None:
        """Wait until no client is connected any more."""
        while self.clients:
            self._place_freed = trio.Event()
            await self._place_freed.wait()

    def close(self) -> None:
        """Close idle connections, and each of the others after its answer."""
        self.stopping = True
        for client in list(self.clients):
            self._close_if_idle(client)

    def close_without_request(self) -> None:
        """Close whoever has no whole request here and no reply on its way: nobody would answer it in time."""
        for client in list(self.clients):
            if not client.answering and not client.closing:
                client.disconnect(CloseReason.CUT)

    def close_idle(self, age: float) -> None:
        """Close connections that have been idle for so many seconds; new ones are accepted on."""
        before = trio.current_time() - age
        for client in list(self.clients):
            if client.idle_since <= before:
                self._close_if_idle(client)

    def _close_if_idle(self, client: ClientConnection) -> None:
        # A request that has come but was not read yet is served first.
        if client.idle and client.connection.quiet() is Quiet.IDLE:
            client.close_in_order()

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
            self.closes[client.close_reason or reason] += 1
            log.debug(
                "client_connection_closed connection=%d reason=%s", id(client), client.close_reason
            )
            self._forget(client)

    async def _serve_requests(self, client: ClientConnection) -> CloseReason:
        """Serve a client's requests; why that came to its end."""
        reason: CloseReason | None = None
        while reason is None:
            try:
                reason = await self._exchange(client)
            except BadRequest as bad:
                await self._reject(client, bad)
                reason = CloseReason.BAD_REQUEST
            except Exception:
                # A fault in one exchange must lose neither the program nor this client's answer.
                log.exception("exchange_raised")
                await self._answer_fault(client)
                reason = CloseReason.FAULT
        return reason

    async def _exchange(self, client: ClientConnection) -> CloseReason | None:
        """One request and its answer; None if another may follow. Raises BadRequest."""
        http_request = await self._next_request(client)
        if http_request is None:
            if not client.closing:
                return CloseReason.CLIENT_ENDED
            await self._linger(client)
            return CloseReason.DRAINED
        if client.has_pipelined_input:
            # Pipelined requests: rejected here, where it costs least.
            raise BadRequest(400, "one request at a time on a connection")
        client.answering = True
        go_on = await self._handler(client, http_request)
        if client.disconnected:
            return CloseReason.CLIENT_ENDED
        if not go_on or not client.http.reusable or client.input_dropped:
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
        reply = Reply(bad.status, bad.text.encode() + b"\n", list(bad.headers))
        await client.send(client.http.encode_reply(reply, close=True))
        await self._linger(client, in_order=bad.status >= 500)

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
        with trio.move_on_at(began + self._request_timeout):
            return await client.read_request()
        raise BadRequest(408, "the request took too long")

    async def _linger(self, client: ClientConnection, in_order: bool = True) -> None:
        """Close after the last reply so that it arrives: with unread bytes waiting, a plain close resets.
        `in_order`: it answers a request that was in order."""
        client.connection.end()
        if not in_order and len(self.clients) > self._max_clients // 2:
            # A flood: its descriptors are needed more than it is waited for. What is there already is taken.
            with suppress(OSError):
                client.connection.drop_now()
            return
        with trio.move_on_after(LINGER_TIMEOUT_SECONDS):
            read = 0
            while not client.disconnected and read < LINGER_MAX_BYTES:
                read += len(await client.receive())
            if not client.disconnected:
                await trio.sleep(LINGER_TIMEOUT_SECONDS)
