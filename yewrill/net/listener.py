"""The listening side: client connections, their requests one after another, and the end of it all."""

from __future__ import annotations

import errno
import logging
import socket
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from itertools import islice

import h11
import trio

from yewrill.dispatch.request import Request
from yewrill.dispatch.safety import CloseReason
from yewrill.net.backlog import Accepted, Backlog
from yewrill.net.connection import NO_DESCRIPTORS, Connection, Quiet
from yewrill.net.http import MAX_BODY, BadRequest, HttpRequest, Reply, ServerSide, check_framing

log = logging.getLogger("yewrill.clients")

BACKLOG = 1024
# Seconds for a request to be whole, from its first byte, or the connection's beginning for the first one:
# whoever says nothing, or half of something, has its error or its close within 3 s.
REQUEST_TIME = 2.5
SETTLED = (
    0.2  # seconds after which a connection that has asked for nothing yet may give way to a new one
)
PART_BYTES = (
    64 * 1024
)  # read after the last reply, so that it arrives; what else is sent is left unread
SEND_TIME = 5.0  # seconds for a reply to be taken off our hands
PART_TIME = 0.2  # seconds for a client to take its last reply and close
SHORT_PAUSE = 0.05  # seconds to wait when there are no descriptors
# Seconds between two reads from a client whose ring is full, and at least so many for each such client there
# is: what it sends is dropped at this pace, only so that its end is seen.
OVERRUN_PAUSE, OVERRUN_SHARE = 0.02, 0.0004


class Client:
    """A client's connection, read ahead while an operation is under way, so that its end is seen."""

    overrunning = 0  # of all clients: those whose ring is full

    def __init__(self, connection: Connection):
        self.connection = connection
        self.http = ServerSide()
        self.request: Request | None = None
        self.on_left: Callable[[Request], None] = lambda request: None
        self.gone = False
        self.closed_for: CloseReason | None = None
        self.answering = False  # a whole request is under way
        self.overrun = (
            False  # part of what it sent ahead has been dropped: nothing after can be read
        )
        self.proven = False  # an operation of its has been carried
        self.since = self.opened = trio.current_time()  # since when it has nothing under way
        self.first_byte = 0.0
        self.parting = False  # it is let go: whatever it sends from here on is dropped
        self._rest = trio.CancelScope()  # the wait for its next request

    def note_wait(self, accepted: Accepted) -> None:
        """It may have waited in the backlog: what it has sent by now came then."""
        if accepted.came < self.opened and self.connection.has_unread():
            self.first_byte = accepted.came

    async def _read_ahead(self, scope: trio.CancelScope, ended: trio.Event) -> None:
        try:
            with scope:
                while not self.gone and self.connection.inbound.room:
                    await self._fill()
                await self._watch_overrun()
        finally:
            ended.set()

    async def _watch_overrun(self) -> None:
        """A client that fills its ring ahead of its answer is off the protocol, but its end still counts."""
        Client.overrunning += 1
        try:
            while not self.gone:
                await trio.sleep(max(OVERRUN_PAUSE, OVERRUN_SHARE * Client.overrunning))
                self._drop_some()
        finally:
            Client.overrunning -= 1

    def _drop_some(self) -> None:
        self.overrun = True
        try:
            # The end may lie behind more than one read takes; behind a full window only reading brings it.
            if self.connection.ended() or self.connection.drop_now() == 0:
                self.leave()
        except OSError:
            self.leave()

    async def _fill(self) -> None:
        try:
            if not await self.connection.fill():
                self.leave()
            elif not self.answering and not self.first_byte:
                self.first_byte = trio.current_time() - self.connection.retried_for
        except OSError:
            self.leave()

    @property
    def ahead(self) -> bool:
        """Whether it has sent on before its answer, which clients of the protocol don't."""
        return bool(len(self.connection.inbound) or self.http.parser.trailing_data[0].strip())

    def has_left(self) -> bool:
        """A look at the socket itself: in a burst of ends, this one's may not have been read yet."""
        if not self.gone and self.connection.ended():
            self.leave()
        return self.gone

    def leave(self, reason: CloseReason = CloseReason.CLIENT_ENDED) -> None:
        """The client has gone away, or is being let go."""
        if not self.gone:
            self.gone = True
            self.closed_for = reason
            if self.request is not None:
                self.on_left(self.request)
            self.connection.close()

    @property
    def owes_answer(self) -> bool:
        """Whether a whole request of its has been read, and no answer has begun."""
        return self.answering and self.http.can_answer

    @property
    def resting(self) -> bool:
        """Whether nothing of it is under way, as far as has been read."""
        return not self.answering and not self.first_byte and not self.parting

    async def rested(self) -> bool:
        """Wait for the next request to begin; False if it is let go instead."""
        self._rest = trio.CancelScope()
        with self._rest:
            if not self.parting:
                await self.readable()
        return not self.parting

    def let_go(self) -> None:
        """Take no more requests. Once answered, it is parted from in order, by its own task: a close over
        what comes in this instant would reset the connection and kill the last answer on its way."""
        if self.since == self.opened:
            self.leave(CloseReason.DRAINED)
            return
        self.parting = True
        self.connection.end()
        self._rest.cancel()

    async def readable(self) -> None:
        """Wait until bytes have come or the client is gone."""
        while not len(self.connection.inbound) and not self.gone:
            await self._fill()

    async def receive(self) -> bytes:
        """The next bytes; empty once the client is gone."""
        await self.readable()
        return b"" if self.gone else self.connection.inbound.take()

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
    async def watched(self, nursery: trio.Nursery) -> AsyncIterator[None]:
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
        self.http.parser.start_next_cycle()
        self.answering = False
        self.since = trio.current_time()
        # What has been read ahead already is the next request: its time runs from now at the latest.
        self.first_byte = self.since if len(self.connection.inbound) else 0.0

    async def send(self, data: bytes) -> bool:
        """Write, within a limit of time; False if the client is gone or does not take it."""
        if self.gone:
            return False
        with trio.move_on_after(SEND_TIME) as scope:
            try:
                await self.connection.send(data)
            except OSError:
                return False
        return not scope.cancelled_caught


Handler = Callable[[Client, HttpRequest], Awaitable[bool]]


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
        most: int,
        *,
        inherited: int | None = None,
        patience: float | None = None,
        part: str = "clients",
        closed_unanswered: Callable[[Client], None] = lambda client: None,
    ):
        self._patience = patience  # seconds for a request to be whole, if not the usual ones
        self._part_name = part  # in the log
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
        self._most = most
        self.clients: set[Client] = set()
        self._freed = trio.Event()
        self._failed = 0  # accepts that failed in a row
        self._full = False  # nobody gives way, and that has been told
        self._nursery: trio.Nursery
        self.accept_failures = 0
        self.closes: Counter[CloseReason] = Counter()
        # Called for a client whose connection closes though its request has no answer.
        self._closed_unanswered = closed_unanswered
        self.accepting = True
        self._closed = trio.Event()  # the listening socket is
        self.stopping = False  # idle connections go, the others once they are answered

    async def run(self) -> None:
        """Accept until the listening socket is closed, then return once every client is done with."""
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
                    await trio.sleep(SHORT_PAUSE)
                self._backlog.readable()
                await self._accept_some()
            await self._closed.wait()

    async def _accept_some(self) -> None:
        """Accept until nobody waits."""
        while self.accepting:
            full = len(self.clients) >= self._most
            if full and not self._backlog.somebody_waits():
                return  # nobody gives way to nobody
            if full and not self._evict():
                await self._wait_for_a_place()
                continue
            self._full = False
            try:
                if not self._accept_one():
                    return
            except OSError as error:
                self._accept_failed(error)
                await trio.sleep(self._backlog.pause)
            if len(self.clients) % 16 == 0:
                await trio.lowlevel.checkpoint()

    async def _wait_for_a_place(self) -> None:
        if not self._full:
            log.warning(
                "%s-full open=%d: new ones wait in the backlog", self._part_name, len(self.clients)
            )
            self._full = True
        self._freed = trio.Event()
        with trio.move_on_after(SHORT_PAUSE):  # by then others may have stayed silent for too long
            await self._freed.wait()

    def _accept_one(self) -> bool:
        """Whether somebody waited. Raises OSError if that could not be told."""
        accepted = self._backlog.accept()
        if self._failed and accepted is not None:
            log.info("%s-accept-back failed=%d", self._part_name, self._failed)
            self._failed = 0
        if accepted is None:
            return False
        client = Client(Connection(accepted.sock))
        client.note_wait(accepted)
        self.clients.add(client)
        self._nursery.start_soon(self._serve, client)
        return True

    def _accept_failed(self, error: OSError) -> None:
        """Those who wait stay in the backlog; the busy ones go on."""
        self._failed += 1
        self.accept_failures += 1
        if self._failed == 1:
            log.warning(
                "%s-accept-failed open=%d errno=%s: %s",
                self._part_name,
                len(self.clients),
                errno.errorcode.get(error.errno, error.errno),
                error.strerror,
            )
        if error.errno in NO_DESCRIPTORS:
            self._evict()

    def _evict(self) -> bool:
        """Have clients give way that have nothing under way. First those that have never had a job carried,
        after a while, and several at once: of them a flood is made. Then the kept connection that has stood
        idle for longest, as the protocol allows. Whoever's bytes lie unread in the system is passed over: it
        may be a whole request, which a close would reset. So is, for as long as a reply may take, who has not
        taken all of its last answer: a request that crosses the close would kill it."""
        now = trio.current_time()
        settled, latest = now - SETTLED, now - SEND_TIME
        unproven = [c for c in self.clients if not c.proven and not c.answering]
        going = self._longest_idle(
            [c for c in unproven if c.since < settled], max(1, self._most // 32)
        )
        if not going and len(unproven) > self._most // 8:
            return False  # new ones wait the moment until these have had their time
        if not going:
            going = self._longest_idle(
                [
                    c
                    for c in self.clients
                    if c.proven
                    and c.resting
                    and (c.since < latest or not c.connection.on_its_way())
                ],
                1,
            )
        for client in going:
            client.leave(CloseReason.EVICTED)
            self._forget(client)
        return bool(going)

    @staticmethod
    def _longest_idle(clients: list[Client], most: int) -> list[Client]:
        """The first of those without unread bytes; one whose bytes are read is idle if they are but half."""
        waiting = (
            c
            for c in sorted(clients, key=lambda c: c.since)
            if len(c.connection.inbound) or c.connection.quiet() is not Quiet.STRAY
        )
        return list(islice(waiting, most))

    def _forget(self, client: Client) -> None:
        self.clients.discard(client)
        self._freed.set()

    def limit(self, most: int) -> None:
        """Another bound; who is connected already stays."""
        self._most = most
        self._freed.set()

    async def drain_backlog(self, until: float) -> None:
        """Accept whoever waits, then close the listening socket. Calls that fail, and places that are taken,
        are waited for until a time of the event loop; whoever is left then is reset and tries elsewhere."""
        if not self.accepting:
            return
        self.accepting = False
        while self._backlog.somebody_waits() or self._failed:
            try:
                if len(self.clients) < self._most or self._evict():
                    if not self._accept_one():
                        break
                    continue
            except OSError as error:
                self._accept_failed(error)
            if trio.current_time() >= until:
                log.warning("%s-backlog-left open=%d", self._part_name, len(self.clients))
                break
            await trio.sleep(self._backlog.pause)
        self._close_socket()

    def stop_accepting(self) -> None:
        """Close the listening socket at once: another run takes who waits, or nobody is left to do so."""
        self.accepting = False
        if not self._closed.is_set():
            self._close_socket()

    def _close_socket(self) -> None:
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
        self._closed.set()
        self._freed.set()

    async def emptied(self) -> None:
        """Wait until no client is connected any more."""
        while self.clients:
            self._freed = trio.Event()
            await self._freed.wait()

    def close(self) -> None:
        """Let idle clients go, and each of the others after its answer."""
        self.stopping = True
        for client in list(self.clients):
            self._let_go(client)

    def cut(self) -> None:
        """Close whoever has no whole request here and no reply on its way: nobody would answer it in time."""
        for client in list(self.clients):
            if not client.answering and not client.parting:
                client.leave(CloseReason.CUT)

    def release(self, age: float) -> None:
        """Let those go that have stood idle for so many seconds; no new ones are refused."""
        before = trio.current_time() - age
        for client in list(self.clients):
            if client.since <= before:
                self._let_go(client)

    def _let_go(self, client: Client) -> None:
        # A request that has come but was not read yet is served first.
        if client.resting and client.connection.quiet() is Quiet.IDLE:
            client.let_go()

    async def _serve(self, client: Client) -> None:
        reason = CloseReason.FAULT
        try:
            reason = await self._converse(client)
        except Exception:
            log.exception("client-fault")
        finally:
            if not client.gone and client.owes_answer:
                self._closed_unanswered(client)
            client.leave(reason)
            self.closes[client.closed_for or reason] += 1
            log.debug("closed connection=%d reason=%s", id(client), client.closed_for)
            self._forget(client)

    async def _converse(self, client: Client) -> CloseReason:
        """Serve a client's requests; why that came to its end."""
        reason: CloseReason | None = None
        while reason is None:
            try:
                reason = await self._exchange(client)
            except BadRequest as bad:
                await self._refuse(client, bad)
                reason = CloseReason.BAD_REQUEST
            except Exception:
                # A fault in one exchange must lose neither the program nor this client's answer.
                log.exception("exchange-fault")
                await self._tell_fault(client)
                reason = CloseReason.FAULT
        return reason

    async def _exchange(self, client: Client) -> CloseReason | None:
        """One request and its answer; None if another may follow. Raises BadRequest."""
        http_request = await self._next_request(client)
        if http_request is None:
            if not client.parting:
                return CloseReason.CLIENT_ENDED
            await self._part(client)
            return CloseReason.DRAINED
        if client.ahead:
            # Many at once on one connection: refused here, where it costs least.
            raise BadRequest(400, "one request at a time on a connection")
        client.answering = True
        go_on = await self._handler(client, http_request)
        if client.gone:
            return CloseReason.CLIENT_ENDED
        if not go_on or not client.http.reusable or client.overrun:
            await self._part(client)
            return CloseReason.DRAINED if self.stopping else CloseReason.LAST_ANSWER
        client.next_cycle()
        if self.stopping:
            self._let_go(client)
        return None

    async def _refuse(self, client: Client, bad: BadRequest) -> None:
        if client.gone or not client.http.can_answer:
            return
        client.parting = True
        reply = Reply(bad.status, bad.text.encode() + b"\n", list(bad.headers))
        await client.send(client.http.whole(reply, close=True))
        await self._part(client, owed=bad.status >= 500)

    async def _tell_fault(self, client: Client) -> None:
        if client.gone or not client.http.can_answer:
            return
        await client.send(client.http.whole(Reply(500, b"internal fault\n"), close=True))
        await self._part(client)

    async def _next_request(self, client: Client) -> HttpRequest | None:
        first = client.since == client.opened
        if not first and not await client.rested():
            return None
        patience = REQUEST_TIME if self._patience is None else self._patience
        with trio.move_on_at((client.opened if first else client.first_byte) + patience):
            return await client.read_request()
        raise BadRequest(408, "the request took too long")

    async def _part(self, client: Client, owed: bool = True) -> None:
        """Close after the last reply so that it arrives: with unread bytes waiting, a plain close resets.
        `owed`: it answers a request that was in order."""
        client.connection.end()
        if not owed and len(self.clients) > self._most // 2:
            # A flood: its descriptors are needed more than it is waited for. What is there already is taken.
            with suppress(OSError):
                client.connection.drop_now()
            return
        with trio.move_on_after(PART_TIME):
            read = 0
            while not client.gone and read < PART_BYTES:
                read += len(await client.receive())
            if not client.gone:
                await trio.sleep(PART_TIME)
