"""Race conditions at the end of connections, requests and the process; the tests force each race.

A hook at a function of the service (opening a connection, checking it, closing it) makes the client or worker
act exactly there. Where no hook fits, a scripted worker and calls to the service without an iteration of the
event loop between them force the order.
"""

import os
import signal
import socket
import struct
from contextlib import suppress

import h11
import pytest
import trio
import trio.testing
import ujson
from helper import SETTINGS, Client, Discovery, Exchange, Peer, done, story, timed_story, world
from test_state import program

from yewrill.net import client_connection, listener
from yewrill.net.client_connection import ClientConnection as ServerClientConnection
from yewrill.net.connection import RING_BYTES, Connection
from yewrill.net.worker_connections import WorkerConnectionPool
from yewrill.policy import interface as api

# Deadlines long enough for a request to be held as long as a test needs.
LONG_DEADLINES = {
    "request_classes": [
        {**c, "aim": 8000.0, "deadline": 16000.0} for c in SETTINGS["request_classes"]
    ]
}
# The same timeout for every request: one with a shorter timeout than another would be taken for its retry.
LONG_TIMEOUT = {"X_Timeout_Ms": "15000"}
FRONTS = pytest.mark.parametrize("front", ["platform", "progress"])

# -- clients that disconnect


def attempts_received(peers, id="r1"):
    """Return how many attempts of a request any of the workers received completely."""
    return sum(e.id == id for p in peers for e in p.exchanges)


def hang_up(client: Client) -> None:
    """Close without an iteration of the event loop, so that the service has not read the end yet."""
    client.stream.socket.close()


@story
async def test_client_closing_as_the_worker_connection_opens_gets_no_attempt(
    monkeypatch,
):
    peer = Peer("d1", done)
    async with world(peer, settings=LONG_DEADLINES) as w:
        client, real, opened = await w.client(), Connection.open, []

        async def open_connection(*args, **kwargs):
            connection = await real(*args, **kwargs)
            if not opened:
                hang_up(client)  # no iteration of the event loop until the last check
            opened.append(connection)
            return connection

        monkeypatch.setattr(Connection, "open", open_connection)
        await client.send(**LONG_TIMEOUT)
        await w.until(lambda: opened and not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([peer])
        assert len(opened) == 1  # the opened connection was kept for the next request


def when_connection_is_taken(monkeypatch, act) -> list[str]:
    """Call `act` as the first attempt takes its connection; no event loop iteration precedes its last check.

    Returns the workers of all attempts begun.
    """
    real, begun = WorkerConnectionPool.take_idle, []

    def take_idle(endpoints, worker):
        begun.append(worker.id)
        if len(begun) == 1:
            act()
        return real(endpoints, worker)

    monkeypatch.setattr(WorkerConnectionPool, "take_idle", take_idle)
    return begun


@story
async def test_client_closing_as_an_idle_worker_connection_is_taken_gets_no_attempt(monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, settings=LONG_DEADLINES) as w:
        assert (await w.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200
        await w.until(lambda: w.service.worker_connections._idle.get("d1"))
        client = await w.client()
        begun = when_connection_is_taken(monkeypatch, lambda: hang_up(client))
        await client.send(**LONG_TIMEOUT)
        await w.until(lambda: begun and not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([peer]) and peer.connections == 1


class Gate:
    """Controls which worker the policy chooses: the one named here, or none, so that requests are held."""

    def __init__(self, w, monkeypatch):
        self.engine = w.service.engine
        self.module = self.engine._module
        self.worker = ""
        monkeypatch.setattr(
            self.module.selection,
            "worker_for",
            lambda request, need: self.module.fleet.workers.get(self.worker),
        )
        monkeypatch.setattr(self.module.admission, "admit", lambda request, now: "")

    @property
    def held(self) -> int:
        return sum(map(len, self.module.queues.values()))

    def open(self, worker: str) -> None:
        """Send every held request to a worker, without an iteration of the event loop."""
        self.worker = worker
        self.module.release_needed = True
        self.engine.set_zone_weights({})  # any event makes the policy run
        self.engine.tick()


async def keep_connections(w, gate: Gate, peer: Peer, count: int) -> None:
    """Create idle connections to a worker, on which attempts are sent without waiting."""
    together = trio.Event()

    async def waits_for_all(exchange):
        if len(peer.exchanges) == count:
            together.set()
        await together.wait()
        await exchange.done()

    peer.script, gate.worker = waits_for_all, peer.name
    async with trio.open_nursery() as nursery:
        for i in range(count):
            nursery.start_soon(lambda i=i: w.ask(X_Request_ID=f"kept{i}", **LONG_TIMEOUT))
    await w.until(lambda: len(w.service.worker_connections._idle.get(peer.name, ())) == count)
    peer.script, gate.worker = done, ""


async def send_requests(w, count: int) -> list[Client]:
    clients = [await w.client() for _ in range(count)]
    for i, client in enumerate(clients):
        await client.send(X_Request_ID=f"left{i}", **LONG_TIMEOUT)
    return clients


def received_from_leaving_clients(peer: Peer) -> list[str]:
    return [e.id for e in peer.exchanges if e.id.startswith("left")]


@FRONTS
@story
async def test_200_clients_closing_at_once_while_held_get_no_attempt(front, monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        gate = Gate(w, monkeypatch)
        await keep_connections(w, gate, peer, 60)
        clients = await send_requests(w, 200)
        await w.until(lambda: gate.held == 200)
        when_connection_is_taken(monkeypatch, lambda: [hang_up(client) for client in clients])
        # All attempts begin in one event loop iteration, before any disconnect is read.
        gate.open("d1")
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(peer) == []


@FRONTS
@story
async def test_clients_closing_before_their_retry_get_no_second_attempt(front, monkeypatch):
    async def reset_attempt(exchange):
        exchange.reset()

    first, second = Peer("d1", reset_attempt), Peer("d2", done)
    async with world(first, second, front=front, settings=LONG_DEADLINES) as w:
        gate = Gate(w, monkeypatch)
        await keep_connections(w, gate, second, 20)
        clients = await send_requests(w, 20)
        await w.until(lambda: gate.held == 20)
        gate.open("d1")
        gate.worker = ""
        await w.until(lambda: len(first.exchanges) == 20 and gate.held == 20)
        when_connection_is_taken(monkeypatch, lambda: [hang_up(client) for client in clients])
        gate.open("d2")
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(second) == []


@FRONTS
@story
async def test_client_closing_while_the_worker_connection_opens_gets_no_attempt(front, monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        client, real, opening, go_on = await w.client(), Connection.open, trio.Event(), trio.Event()

        async def open_connection(*args, **kwargs):
            opening.set()
            await go_on.wait()
            return await real(*args, **kwargs)

        monkeypatch.setattr(Connection, "open", open_connection)
        await client.send(**LONG_TIMEOUT)
        await opening.wait()
        hang_up(client)
        left = next(iter(w.service.listener.clients))
        await w.until(lambda: left.disconnected)
        go_on.set()
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([peer]) and peer.connections == 1  # the opened one was kept


def reset(client: Client) -> None:
    client.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    hang_up(client)


def fill_buffers(client: Client) -> None:
    """Fill every buffer on the way, so that the end follows bytes that have not arrived yet."""
    with suppress(BlockingIOError):
        while True:
            client.stream.socket._sock.send(b"x" * 65536)


@pytest.mark.parametrize("fill_all", [False, True])
@pytest.mark.parametrize("leave", [hang_up, reset])
@FRONTS
@story
async def test_disconnect_of_a_client_with_a_full_input_buffer_is_noticed(
    front, leave, fill_all, monkeypatch
):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        gate = Gate(w, monkeypatch)
        [client] = await send_requests(w, 1)
        await w.until(lambda: gate.held == 1)
        [left] = w.service.listener.clients
        request = left.request
        await client.stream.send_all(b"x" * 9000)
        await w.until(lambda: not left.connection.inbound.room)
        if fill_all:
            fill_buffers(client)
        leave(client)
        await w.until(lambda: not w.service.listener.clients)
        assert request.client_left and not ServerClientConnection.overrunning_clients
        gate.open("d1")
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(peer) == []


@story
async def test_client_that_never_stops_sending_is_read_at_a_bounded_pace_and_answered(
    monkeypatch,
):
    reads = []
    real = Connection.discard_now

    def counted(connection):
        reads.append(real(connection))
        return reads[-1]

    monkeypatch.setattr(Connection, "discard_now", counted)
    # The pause after the first read never ends.
    monkeypatch.setattr(client_connection, "OVERRUN_PAUSE_PER_CLIENT_SECONDS", 1e9)
    peer = Peer("d1", done)
    async with world(peer, settings=LONG_DEADLINES) as w:
        gate = Gate(w, monkeypatch)
        [client] = await send_requests(w, 1)
        await w.until(lambda: gate.held == 1)
        await client.stream.send_all(b"x" * 9000)
        await w.until(lambda: ServerClientConnection.overrunning_clients == 1)
        fill_buffers(client)
        [sender] = w.service.listener.clients
        sender._drop_input()
        assert len(reads) == 1 and reads[0] <= 65536  # however much is available
        assert len(sender.connection.inbound) == RING_BYTES
        gate.open("d1")
        reply = await client.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        assert len(reads) == 1  # only the one above, because the pause never ends
        await client.stream.aclose()


class SlowReader(Peer):
    """A worker that reads nothing until `reads` is set, with a small receive buffer."""

    async def serve(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        self.reads, self.ended = trio.Event(), trio.Event()
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        listeners[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.port = listeners[0].socket.getsockname()[1]
        await trio.serve_listeners(self._converse, listeners, task_status=task_status)

    async def _converse(self, stream: trio.SocketStream) -> None:
        await self.reads.wait()
        await super()._converse(stream)
        self.ended.set()


def open_with_little_room(monkeypatch) -> list[Connection]:
    """Give connections to workers a small send buffer. Returns the connections opened."""
    real, opened = Connection.open, []

    async def open_connection(*args, **kwargs):
        connection = await real(*args, **kwargs)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        opened.append(connection)
        return connection

    monkeypatch.setattr(Connection, "open", open_connection)
    return opened


def has_no_failures(w, peer: Peer) -> bool:
    worker = w.service.engine._module.fleet.workers[peer.name]
    return not worker.ejection.failures and worker.ejection.until <= w.service.engine.now()


@FRONTS
@story
async def test_partly_written_request_is_never_completed_after_its_client_leaves(
    front, monkeypatch
):
    peer = SlowReader("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        opened = open_with_little_room(monkeypatch)
        client = await w.client()
        await client.send(body=b"x" * 60000, **LONG_TIMEOUT)
        await w.until(lambda: opened and opened[0].unsent)
        hang_up(client)
        [left] = w.service.listener.clients
        await w.until(lambda: left.disconnected)
        peer.reads.set()
        await peer.ended.wait()
        await w.until(lambda: not w.service.listener.clients)
        assert not peer.exchanges and not w.service.worker_connections.open
        await w.until(lambda: not w.service.engine._events)  # the policy has the outcome
        assert has_no_failures(w, peer)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200


@story
async def test_client_closing_as_its_worker_reads_again_has_no_more_bytes_sent(monkeypatch):
    peer = SlowReader("d1", done)
    async with world(peer, settings=LONG_DEADLINES) as w:
        opened = open_with_little_room(monkeypatch)
        real, raced = Connection._wait_ready, []

        async def ready(connection, wait):
            await real(connection, wait)
            if connection in opened and not raced and wait is trio.lowlevel.wait_writable:
                raced.append(connection)
                # Room for all remaining bytes.
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
                left.disconnect()  # in the event loop iteration in which there is room again

        monkeypatch.setattr(Connection, "_wait_ready", ready)
        client = await w.client()
        await client.send(body=b"x" * 60000, **LONG_TIMEOUT)
        await w.until(lambda: opened and opened[0].unsent)
        [left] = w.service.listener.clients
        peer.reads.set()
        await peer.ended.wait()
        assert raced and not peer.exchanges
        await w.until(lambda: not w.service.listener.clients and not w.service.engine._events)
        assert has_no_failures(w, peer) and not w.service.worker_connections.open


@story
async def test_completely_written_attempt_continues_after_its_client_leaves(monkeypatch):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, peer = trio.Event(), Peer("d1", waits)
    async with world(peer, settings=LONG_DEADLINES) as w:
        client = await w.client()
        await client.send(**LONG_TIMEOUT)
        await w.until(lambda: peer.exchanges)
        hang_up(client)
        [left] = w.service.listener.clients
        await w.until(lambda: left.disconnected)
        assert len(peer.live) == 1
        go_on.set()
        # The connection completed its exchange and is kept.
        await w.until(lambda: w.service.worker_connections._idle.get("d1"))


@pytest.mark.parametrize("leaves", [True, False])
@story
async def test_stream_whose_head_is_not_read_gets_no_attempt_after_its_reader_is_gone(
    leaves, monkeypatch
):
    """The reader disconnects while the head is written, or reads it so slowly that the send times out."""
    peer, real, writing, go_on = (
        Peer("d1", done),
        ServerClientConnection.send,
        trio.Event(),
        trio.Event(),
    )

    async def send(client, data):
        if not writing.is_set():
            writing.set()
            await go_on.wait()
            return leaves and await real(client, data)
        return await real(client, data)

    async with world(peer, front="progress", settings=LONG_DEADLINES) as w:
        monkeypatch.setattr(ServerClientConnection, "send", send)
        client = await w.client()
        await client.send(**LONG_TIMEOUT)
        await writing.wait()
        [left] = w.service.listener.clients
        request = left.request
        await w.until(lambda: request.choice is not None)  # the policy has chosen a worker
        if leaves:
            hang_up(client)
            await w.until(lambda: left.disconnected)
        go_on.set()
        await w.until(lambda: not w.service.listener.clients)
        assert request.client_left
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([peer])


@FRONTS
@story
async def test_client_closing_as_its_attempt_record_is_written_gets_no_attempt(front):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        assert (await w.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200
        await w.until(lambda: w.service.worker_connections._idle.get("d1"))
        client, recorded = await w.client(), []

        async def record(attempt):
            if not recorded:
                hang_up(client)
            recorded.append(attempt)
            return True

        w.service.worker_client.record_attempt = record
        await client.send(**LONG_TIMEOUT)
        await w.until(lambda: recorded and not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([peer])


@FRONTS
@story
async def test_client_that_half_closes_counts_as_disconnected(front, monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        gate = Gate(w, monkeypatch)
        await keep_connections(w, gate, peer, 1)
        [client] = await send_requests(w, 1)
        await w.until(lambda: gate.held == 1)
        when_connection_is_taken(monkeypatch, lambda: client.stream.socket.shutdown(socket.SHUT_WR))
        gate.open("d1")
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(peer) == []


# -- evictions and other closes by the listener


@story
async def test_eviction_skips_a_kept_connection_with_an_unread_request():
    peer = Peer("d1", done)
    async with world(peer, settings=LONG_DEADLINES) as w:
        one, other = await w.client(), await w.client()
        for client, id in ((one, "r0"), (other, "r1")):
            assert (await client.ask(X_Request_ID=id, **LONG_TIMEOUT)).status == 200
        await w.until(lambda: not any(c.answering for c in w.service.listener.clients))
        # No event loop iteration between the request's arrival and the eviction, so it is still unread.
        one.stream.socket._sock.send(raw_request("r2"))
        assert w.service.listener._evict()
        assert (await one.reply()).status == 200
        # The other one has been idle for a shorter time, but has no request.
        assert await other.stream.receive_some() == b""


@story
async def test_eviction_skips_a_new_connection_with_an_unread_request(monkeypatch):
    # New clients can be evicted at once.
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_SECONDS", -1.0)
    async with world(Peer("d1", done), settings=LONG_DEADLINES) as w:
        one, other = await w.client(), await w.client()
        await w.until(lambda: len(w.service.listener.clients) == 2)
        one.stream.socket._sock.send(raw_request("r2"))
        assert w.service.listener._evict() and not w.service.listener._evict()
        assert (await one.reply()).status == 200
        assert await other.stream.receive_some() == b""


def raw_request(id: str) -> bytes:
    return (
        f"POST /tour HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\n"
        f"X-Timeout-Ms: {LONG_TIMEOUT['X_Timeout_Ms']}\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


async def small_buffer_client(w) -> Client:
    """Connect a client with a small receive buffer, so that most of an answer stays with the service."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect(w.service.listener.address)
    return Client(trio.SocketStream(sock))


async def read_to_end(client: Client) -> bytes:
    """Read until the end of the stream; a reset raises."""
    received = b""
    while data := await client.stream.receive_some():
        received += data
    return received


def when_reply_is_sent(monkeypatch, act) -> trio.Event:
    """Call `act` after the first reply was written, before the listener continues."""
    real, sent = ServerClientConnection.send, trio.Event()

    async def send(client, data):
        try:
            return await real(client, data)
        finally:
            if not sent.is_set():
                sent.set()
                act()

    monkeypatch.setattr(ServerClientConnection, "send", send)
    return sent


LONG_RESULT = "x" * 60000


async def long_answer(exchange):
    await exchange.done(LONG_RESULT)


@story
async def test_in_a_flood_an_answer_survives_further_input_of_its_client(monkeypatch):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    async with world(Peer("d1", long_answer), settings=LONG_DEADLINES) as w:
        w.service.listener.limit(1)  # more than half of the places are taken: a flood
        # So this is the last answer on its connection.
        w.service.run_state.closing_connections = True
        client = await small_buffer_client(w)
        sent = when_reply_is_sent(monkeypatch, lambda: None)
        await client.send(**LONG_TIMEOUT)
        await sent.wait()
        await trio.testing.wait_all_tasks_blocked()  # a close would have happened by now
        client.stream.socket._sock.send(raw_request("r2"))
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (200, len(LONG_RESULT))
        assert await client.stream.receive_some() == b""
        await client.stream.aclose()


@story
async def test_in_a_flood_unread_input_after_a_bad_request_resets_no_answer(monkeypatch):
    async with world(Peer("d1", long_answer), settings=LONG_DEADLINES) as w:
        w.service.listener.limit(1)
        client = await small_buffer_client(w)
        await client.send(**LONG_TIMEOUT)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        when_reply_is_sent(monkeypatch, lambda: client.stream.socket._sock.send(b"x" * 30000))
        await client.stream.send_all(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
        await w.until(lambda: not w.service.listener.clients)
        received = await read_to_end(client)
        assert received.count(LONG_RESULT.encode()) == 1 and received.count(b"HTTP/1.1 404 ") == 1


@story
async def test_internal_error_is_answered_with_500_despite_further_input(monkeypatch):
    async with world(Peer("d1", done), settings=LONG_DEADLINES) as w:
        monkeypatch.setattr(w.service.front, "respond", None)
        client = await w.client()
        when_reply_is_sent(monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2")))
        assert (await client.ask(**LONG_TIMEOUT)).status == 500
        assert await client.stream.receive_some() == b""


@story
async def test_eviction_skips_a_client_that_has_not_read_all_of_its_answer(monkeypatch):
    peer = Peer("d1", long_answer)
    async with world(peer, settings=LONG_DEADLINES) as w:
        client = await small_buffer_client(w)
        await client.send(**LONG_TIMEOUT)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        w.service.listener._evict()  # it is the only candidate
        client.stream.socket._sock.send(raw_request("r2"))  # its next request crosses the eviction
        assert len((await client.reply()).body) == len(LONG_RESULT)
        assert (await client.event()).status_code == 200
        assert [e.id for e in peer.exchanges] == ["r1", "r2"]
        await client.stream.aclose()


@timed_story
async def test_client_that_never_reads_its_answer_is_evicted_after_the_send_timeout(monkeypatch):
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_SECONDS", 0.3)
    async with world(Peer("d1", long_answer), settings=LONG_DEADLINES) as w:
        client = await small_buffer_client(w)
        await client.send(**LONG_TIMEOUT)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        await w.until(w.service.listener._evict)
        await client.stream.aclose()


# -- drain and shutdown


def when_idle_is_checked(monkeypatch, act) -> None:
    """Call `act` between the first check of an idle connection and the decision based on it."""
    real, checked = Connection.check_idle, []

    def check_idle(connection):
        state = real(connection)
        if not checked:
            checked.append(connection)
            act()
        return state

    monkeypatch.setattr(Connection, "check_idle", check_idle)


def restart(w) -> None:
    w.service.run_state.closing_connections = True
    w.service.listener.close()


def release(w) -> None:
    w.service.listener.close_idle(0.0)


@pytest.mark.parametrize("close_idle", [restart, release])
@story
async def test_request_that_crosses_the_close_of_an_idle_connection_is_not_served_and_resets_no_answer(
    close_idle, monkeypatch
):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    peer = Peer("d1", long_answer)
    async with world(peer, settings=LONG_DEADLINES) as w:
        client = await small_buffer_client(w)
        await client.send(**LONG_TIMEOUT)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        when_idle_is_checked(
            monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2"))
        )
        close_idle(w)  # most of the answer is still unsent, and the next request has just arrived
        await trio.testing.wait_all_tasks_blocked()
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (200, len(LONG_RESULT))
        assert await read_to_end(client) == b""
        await client.stream.aclose()
        await w.until(lambda: not w.service.listener.clients)
        assert [e.id for e in peer.exchanges] == ["r1"]


@story
async def test_answer_written_as_a_drain_closes_survives_the_next_request(monkeypatch):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    peer = Peer("d1", long_answer)
    async with world(peer, settings=LONG_DEADLINES) as w:
        client = await small_buffer_client(w)
        # After the reply was written, so that it can't carry "Connection: close".
        sent = when_reply_is_sent(monkeypatch, lambda: restart(w))
        when_idle_is_checked(
            monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2"))
        )
        await client.send(**LONG_TIMEOUT)
        await sent.wait()
        await trio.testing.wait_all_tasks_blocked()
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (
            200,
            len(LONG_RESULT),
        ) and "connection" not in reply.headers
        assert await read_to_end(client) == b""
        await client.stream.aclose()
        await w.until(lambda: not w.service.listener.clients)
        assert [e.id for e in peer.exchanges] == ["r1"]


@story
async def test_request_unread_as_a_drain_closes_is_served():
    peer = Peer("d1", done)
    async with world(peer, settings=LONG_DEADLINES) as w:
        client = await w.client()
        assert (await client.ask(**LONG_TIMEOUT)).status == 200
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        client.stream.socket._sock.send(raw_request("r2"))
        restart(w)
        reply = await client.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        assert [e.id for e in peer.exchanges] == ["r1", "r2"]


PARTIAL_REQUEST = raw_request("half")[:60]


@timed_story
async def test_partial_request_completed_before_the_drain_deadline_is_served():
    peer = Peer("d1", done)
    async with world(
        peer, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as w:
        client = await w.client()
        await client.stream.send_all(PARTIAL_REQUEST)
        await w.until(lambda: any(c.first_byte for c in w.service.listener.clients))
        w.nursery.start_soon(w.service.drain)
        await w.until(lambda: w.service.listener.stopping)
        await client.stream.send_all(raw_request("half")[60:])
        received = await read_to_end(client)
        assert received.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in received
        await w.ended.wait()


@pytest.mark.parametrize("read", [True, False])
@timed_story
async def test_partial_request_does_not_extend_a_drain_beyond_its_grace(read):
    async with world(
        Peer("d1", done), settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as w:
        client = await w.client()
        await w.until(lambda: w.service.listener.clients)
        began = trio.current_time()
        w.nursery.start_soon(w.service.drain)
        if read:
            await w.until(lambda: not w.service.listener.accepting)
            await client.stream.send_all(PARTIAL_REQUEST)
        else:  # it arrives in the event loop iteration of the close
            real = w.service.listener.close

            def closes():
                client.stream.socket._sock.send(PARTIAL_REQUEST)
                real()

            w.service.listener.close = closes
        await w.ended.wait()
        assert trio.current_time() - began < 1.4


@timed_story
async def test_answer_at_the_end_of_the_grace_leaves_time_for_the_exit():
    # Guards against SIGKILL at the end of the grace while stores are being closed: the client stays connected
    # after its answer.
    async def hangs(exchange):
        await trio.sleep_forever()

    peer = Peer("d1", hangs)
    async with world(
        peer, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as w:
        client = await w.client()
        await client.stream.send_all(raw_request("waits"))
        await w.until(lambda: peer.exchanges)
        began = trio.current_time()
        w.nursery.start_soon(w.service.drain)
        assert (await client.stream.receive_some()).startswith(b"HTTP/1.1 502 ")
        assert trio.current_time() - began > 0.9  # the shutdown waited for the request
        await w.ended.wait()
        assert trio.current_time() - began < 1.4 - 0.15


@timed_story
async def test_request_completed_after_the_drain_deadline_is_not_accepted(monkeypatch):
    peer = Peer("d1", done)
    async with world(
        peer, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as w:
        real = w.service.engine.fail_all

        def gives_up():
            real()
            client.stream.socket._sock.send(raw_request("half")[60:])

        monkeypatch.setattr(w.service.engine, "fail_all", gives_up)
        held = Gate(w, monkeypatch)  # so that a request is still open at the drain deadline
        client, other = await w.client(), await w.client()
        w.nursery.start_soon(w.service.drain)
        await w.until(lambda: not w.service.listener.accepting)
        await client.stream.send_all(PARTIAL_REQUEST)
        await other.send(X_Request_ID="r2", X_Timeout_Ms="15000")
        await w.until(lambda: held.held == 1)
        assert (await other.reply()).status == 502
        with suppress(trio.BrokenResourceError):
            assert await client.stream.receive_some() == b""
        await w.ended.wait()
        assert not peer.exchanges


@FRONTS
@story
async def test_simultaneous_and_repeated_signals_end_the_process_once_and_lose_no_answer(front):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, peer = trio.Event(), Peer("d1", waits)
    previous = {
        number: signal.signal(number, lambda *_: None) for number in (signal.SIGTERM, signal.SIGHUP)
    }
    try:
        async with world(
            peer,
            front=front,
            settings=LONG_DEADLINES,
            signals=True,
            timing={"linger_ms": 50, "grace_ms": 4000},
        ) as w:
            client = await w.client()
            await client.send(**LONG_TIMEOUT)
            await w.until(lambda: peer.exchanges)
            w.raw["timing"] = {"linger_ms": 60, "grace_ms": 4000}
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                os.kill(os.getpid(), number)  # no event loop iteration between them
            await w.until(lambda: w.service.run_state.draining and w.service.config.linger_ms == 60)
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            await w.until(lambda: not w.service.listener.accepting)
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.testing.wait_all_tasks_blocked()
            go_on.set()
            assert (await client.reply()).status == 200
            await client.stream.aclose()
            await w.ended.wait()
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@story
async def test_repeated_signal_during_the_final_close_does_not_kill_the_process():
    stray = []
    previous = {
        number: signal.signal(number, lambda number, _: stray.append(number))
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        async with world(
            Peer("d1", done), signals=True, timing={"linger_ms": 20, "grace_ms": 1000}
        ) as w:
            real = w.service.worker_connections.close

            def closes():
                # The listener has finished, and everything else is about to be closed.
                os.kill(os.getpid(), signal.SIGTERM)
                os.kill(os.getpid(), signal.SIGINT)
                real()

            w.service.worker_connections.close = closes
            os.kill(os.getpid(), signal.SIGTERM)
            await w.ended.wait()
            assert not stray  # no signal reached the previous handlers
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@story
async def test_backlog_at_the_listener_close_is_served_up_to_the_limit_and_reset_beyond():
    peer = Peer("d1", done)
    async with world(peer, settings=LONG_DEADLINES) as w:
        late = [socket.create_connection(w.service.listener.address) for _ in range(3)]
        for i, sock in enumerate(late):
            sock.sendall(raw_request(f"r{i}"))
        w.service.listener.limit(2)
        # No event loop iteration since they connected, and no time to wait for capacity.
        await w.service.listener.drain_backlog(deadline=trio.current_time())
        streams = [trio.SocketStream(trio.socket.from_stdlib_socket(sock)) for sock in late]
        for stream in streams[:2]:
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")
        with pytest.raises(trio.BrokenResourceError):
            await streams[2].receive_some()
        assert sorted(e.id for e in peer.exchanges) == ["r0", "r1"]
        for stream in streams:
            await stream.aclose()


# -- clients that misbehave


@pytest.mark.parametrize("raw", [1, 200])
@FRONTS
@story
async def test_requests_followed_at_once_by_a_close_get_no_attempt(front, raw):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        assert (await w.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200
        # An attempt on the idle connection is sent without waiting.
        await w.until(lambda: w.service.worker_connections._idle.get("d1"))
        closed_clients = [socket.create_connection(w.service.listener.address) for _ in range(50)]
        for i, sock in enumerate(closed_clients):
            sock.sendall(raw_request(f"left{i}") * raw)
            sock.close()  # before the service has accepted any of them
        seen = []
        await w.until(
            lambda: seen.append(len(w.service.listener.clients)) or (max(seen) and not seen[-1])
        )
        assert (await w.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(peer) == []


@timed_story
async def test_answer_that_is_not_read_times_out_and_frees_its_place(monkeypatch):
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_SECONDS", 0.3)
    async with world(Peer("d1", long_answer), settings=LONG_DEADLINES) as w:
        client = await small_buffer_client(w)
        await w.until(lambda: w.service.listener.clients)
        [served] = w.service.listener.clients
        served.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await client.send(**LONG_TIMEOUT)
        await w.until(lambda: served.connection.unsent)
        began = trio.current_time()
        await w.until(lambda: not w.service.listener.clients)
        assert trio.current_time() - began < 0.5
        assert not w.service.open_requests.ids and not w.service.engine.pending
        await client.stream.aclose()


@pytest.mark.parametrize(
    "given", ["nan", "inf", "1e3", "0x10", "+5", "1_000", "86400001", "00", ""]
)
@FRONTS
@story
async def test_timeout_that_is_no_number_of_milliseconds_gets_400_before_any_attempt(front, given):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        assert (await w.ask(X_Timeout_Ms=given)).status == 400
        assert (
            not peer.exchanges and not w.service.engine.pending and not w.service.open_requests.ids
        )


@pytest.mark.parametrize("framing", ["chunked", "in one piece"])
@FRONTS
@story
async def test_body_over_64_kib_gets_413_with_any_framing(front, framing):
    head = raw_request("r1").partition(b"Content-Length")[0]
    if framing == "chunked":
        raw = head + b"Transfer-Encoding: chunked\r\n\r\n" + b"4000\r\n%s\r\n" % (b"x" * 0x4000) * 5
    else:
        raw = head + b"Content-Length: 81920\r\n\r\n" + b"x" * 81920
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        client = await w.client()
        client.stream.socket._sock.send(raw)
        received = b""
        while b"\r\n\r\n" not in received:
            received += await client.stream.receive_some()
        assert received.startswith(b"HTTP/1.1 413 ") and not peer.exchanges
        await client.stream.aclose()


@FRONTS
@timed_story
async def test_flood_of_partial_requests_displaces_no_working_client(front, monkeypatch):
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_SECONDS", 0.05)
    async with world(Peer("d1", done), front=front, limits={"sockets": 80}) as w:
        flood = []
        for i in range(4):
            for _ in range(40):
                flood.append(await w.client())
                flood[-1].stream.socket._sock.send(PARTIAL_REQUEST)
            assert (await w.ask(X_Request_ID=f"n{i}")).status == 200
            assert len(w.service.listener.clients) <= 22
        for client in flood:
            client.stream.socket.close()


# -- workers


async def partial_head_then_reset(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Ty")
    exchange.reset()


async def partial_line_then_reset(exchange):
    await exchange.say("started")
    await exchange.raw('{"id":"r1","from":"d","state":"do')
    exchange.reset()


async def end_without_final_message(exchange):
    await exchange.say("started")
    await exchange.stream.send_all(b"0\r\n\r\n")


async def partial_chunk_then_eof(exchange):
    await exchange.say("started")
    await exchange.stream.send_all(b"ff\r\n{")
    await exchange.stream.send_eof()
    await exchange.closed()


@pytest.mark.parametrize(
    "incomplete_answer",
    [
        partial_head_then_reset,
        partial_line_then_reset,
        end_without_final_message,
        partial_chunk_then_eof,
    ],
)
@FRONTS
@story
async def test_attempt_with_an_incomplete_answer_is_retried_only_as_its_class_allows(
    front, incomplete_answer
):
    async def script(exchange):
        await (incomplete_answer if len(all_exchanges()) == 1 else done)(exchange)

    def all_exchanges():
        return [e for p in peers for e in p.exchanges]

    for target, attempts in (("/tour", 2), ("/once", 1)):
        peers = [Peer("d1", script), Peer("d2", script)]
        async with world(*peers, front=front, settings=LONG_DEADLINES) as w:
            reply = await w.ask(target, **LONG_TIMEOUT)
            assert len(all_exchanges()) == attempts
            if front == "progress":
                assert (b"event: served" in reply.body, b"event: failed" in reply.body) == (
                    attempts == 2,
                    attempts == 1,
                )
            else:
                assert reply.status == (200 if attempts == 2 else 502)
            # The connection of the incomplete answer is not kept.
            await w.until(lambda: w.service.worker_connections.open <= 1)


async def done_twice(exchange):
    await exchange.say("done", result="profile")
    await exchange.say("done", result="another")
    await exchange.stream.send_all(b"0\r\n\r\n")


async def done_without_end(exchange):
    await exchange.say("done", result="profile")
    await exchange.closed()


async def second_answer(exchange):
    await exchange.done()
    exchange.begun = False
    await exchange.done("another")


async def byte_by_byte(exchange):
    line = ujson.dumps({"id": exchange.id, "from": "d", "state": "done", "result": "profile"})
    text = f"data: {line}\n\n" if exchange.front == "progress" else line + "\n"
    for letter in text:
        await exchange.raw(letter)
    await exchange.stream.send_all(b"0\r\n\r\n")


@pytest.mark.parametrize(
    "unusual_answer", [done_twice, done_without_end, second_answer, byte_by_byte]
)
@FRONTS
@story
async def test_input_after_a_final_message_is_never_another_requests_result(front, unusual_answer):
    peer = Peer("d1", unusual_answer)
    async with world(peer, front=front, settings=LONG_DEADLINES) as w:
        for i in range(4):
            reply = await w.ask("/once", X_Request_ID=f"r{i}", **LONG_TIMEOUT)
            assert (
                reply.status == 200
                and reply.body.count(b"profile") == 1
                and b"another" not in reply.body
            )
        assert [e.id for e in peer.exchanges] == ["r0", "r1", "r2", "r3"]


async def reports_lost(exchange):
    await exchange.say("lost")


@pytest.mark.parametrize("script, served", [(done, True), (reports_lost, False)])
@FRONTS
@story
async def test_answer_that_arrives_with_the_timeout_is_the_only_one(front, script, served):
    """The policy fails a request in the event loop iteration in which its attempt has ended."""
    async with world(Peer("d1", script), front=front, settings=LONG_DEADLINES) as w:
        real, engine = w.service.subsystem_context.run_attempt, w.service.engine

        async def attempt(attempt):
            outcome = await real(attempt)
            engine._carry_out(api.Fail(attempt.request.key, "timeout"), engine.now())
            return outcome

        w.service.subsystem_context.run_attempt = attempt
        client = await w.client()
        await client.send("/once", **LONG_TIMEOUT)
        reply = await client.reply()
        if front == "progress":
            assert (reply.body.count(b"event: served"), reply.body.count(b"event: failed")) == (
                served,
                not served,
            )
        else:
            assert reply.status == (200 if served else 502)
        await w.until(
            lambda: (
                not engine.pending
                and not engine._active_attempts
                and not w.service.open_requests.ids
            )
        )


@timed_story
async def test_connect_timeout_is_retried_elsewhere_for_any_class(
    monkeypatch,
):
    peers = [Peer("d1", done), Peer("d2", done)]
    async with world(*peers, settings=LONG_DEADLINES) as w:
        real, tried = Connection.open, []

        async def open_connection(address, *args):
            tried.append(address)
            if len(tried) == 1:
                await trio.sleep_forever()
            return await real(address, *args)

        monkeypatch.setattr(Connection, "open", open_connection)
        assert (await w.ask("/once", **LONG_TIMEOUT)).status == 200
        assert len(tried) == 2 and tried[0] != tried[1]
        assert sum(len(p.exchanges) for p in peers) == 1 and w.service.worker_connections.open == 1


@story
async def test_worker_closing_between_idle_check_and_write_fails_no_idempotent_request(
    monkeypatch,
):
    peer, other = Peer("d1", done), Peer("d2", done)
    async with world(peer, other, settings=LONG_DEADLINES) as w:
        gate = Gate(w, monkeypatch)
        gate.worker = "d1"
        assert (await w.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200

        def closes():
            for stream in list(peer.live):
                stream.socket.close()
            gate.worker = "d2"

        await w.until(lambda: w.service.worker_connections._idle.get("d1"))
        [idle_connection] = w.service.worker_connections._idle["d1"]
        real = Connection.check_idle

        def check_idle(connection):
            state = real(connection)
            if (
                connection is idle_connection.http.connection
                and not connection.closed
                and peer.live
            ):
                closes()
                peer.live.clear()
            return state

        monkeypatch.setattr(Connection, "check_idle", check_idle)
        assert (await w.ask(X_Request_ID="r1", **LONG_TIMEOUT)).status == 200
        assert has_no_failures(w, peer)
        assert [e.id for p in (peer, other) for e in p.exchanges] == ["r0", "r1"]


@story
async def test_request_at_the_worker_connection_limit_gets_503_and_none_is_lost(monkeypatch):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, peers = trio.Event(), [Peer("d1", waits), Peer("d2", waits)]
    async with world(*peers, settings=LONG_DEADLINES) as w:
        w.service.worker_connections.limit(1)
        first = await w.client()
        await first.send(**LONG_TIMEOUT)
        await w.until(lambda: any(p.exchanges for p in peers))
        # It was not sent, so a request of any class can be rejected.
        assert (await w.ask("/once", X_Request_ID="r2", **LONG_TIMEOUT)).status == 503
        assert w.service.worker_connections.open == 1
        go_on.set()
        assert (await first.reply()).status == 200
        assert (await w.ask("/once", X_Request_ID="r3", **LONG_TIMEOUT)).status == 200
        assert w.service.worker_connections.open == 1


@timed_story
async def test_worker_that_stops_reading_until_the_deadline_never_gets_the_last_byte(monkeypatch):
    peer = SlowReader("d1", done)
    async with world(peer, timing={"answer_margin_ms": 400}) as w:
        open_with_little_room(monkeypatch)
        reply = await w.ask("/once", body=b"x" * 60000, X_Timeout_Ms="900")
        assert reply.status in (502, 503)
        peer.reads.set()
        await peer.ended.wait()
        assert not peer.exchanges


@pytest.mark.parametrize("after, again", [(1.0, True), (4.8, False)])
@timed_story
async def test_keyed_request_that_may_have_run_is_retried_only_within_its_window(after, again):
    async def reset_later(exchange):
        if len(peers[0].exchanges) + len(peers[1].exchanges) > 1:
            await exchange.done()
        else:
            await trio.sleep(after)
            exchange.reset()

    # Both in one cell, in which keys are deduplicated.
    peers = [Peer("d1", reset_later), Peer("d2", reset_later)]
    # The latency objective leaves time for a second attempt in both cases.
    settings = {
        "request_classes": [{**c, "aim": 16000.0} for c in LONG_DEADLINES["request_classes"]]
    }
    async with world(*peers, settings=settings) as w:
        reply = await w.ask("/save", Idempotency_Key="k1", **LONG_TIMEOUT)
        # 502 and not 503, which would state that the request never ran.
        assert reply.status == (200 if again else 502)
        assert attempts_received(peers) == (2 if again else 1)


@pytest.mark.parametrize("known", [True, False])
@story
async def test_sigterm_while_discovery_is_silent_ends_the_process_normally(known, tmp_path):
    async def silent(exchange):
        await exchange.closed()

    peer = Peer("d1", done)
    async with trio.open_nursery() as nursery:
        await nursery.start(peer.serve)
        discovery = Discovery([peer])
        config = tmp_path / "config.json"
        raw = {
            "listen": "127.0.0.1:0",
            "discovery": await discovery.serve(nursery),
            "settings": SETTINGS,
        }
        if known:
            raw["known"] = {"version": 1, "full": True, "servers": [peer.entry()]}
        config.write_text(ujson.dumps(raw))
        discovery.peer.script = silent
        async with program(nursery, config) as running:
            while not discovery.peer.exchanges:
                await trio.sleep(0.005)
            # A request from before the signal still gets its answer.
            reply = await running.ask(X_Request_ID="r1")
            assert reply.status == (200 if known else 503)
            running.process.terminate()
            assert await running.process.wait() == 0
            assert any("shutdown_complete" in line for line in running.lines)
        nursery.cancel_scope.cancel()


@timed_story
async def test_repeated_answer_without_an_id_is_not_taken_for_the_next_attempts_answer():
    async def answers_twice(exchange):
        if exchange.number:
            await trio.sleep(0.1)
            await exchange.done()
            return
        await exchange.status(503, "X-Not-Processed: 1")
        await trio.sleep(0.04)  # the next attempt is running by then
        await exchange.status(503, "X-Not-Processed: 1")

    class ConcurrentReader(Peer):
        async def _converse(self, stream):
            """Read the next request while the script runs, as a worker that sends an answer twice does."""
            async with trio.open_nursery() as nursery:
                parser = h11.Connection(h11.SERVER)
                with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    while True:
                        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                            if event is h11.NEED_DATA:
                                parser.receive_data(data := await stream.receive_some())
                                if not data:
                                    break
                            elif isinstance(event, h11.Request):
                                request = event
                        else:
                            exchange = Exchange(
                                stream, request, b"", len(self.exchanges), self.front
                            )
                            self.exchanges.append(exchange)
                            nursery.start_soon(answers_twice, exchange)
                            parser = h11.Connection(h11.SERVER)
                            continue
                        break
                nursery.cancel_scope.cancel()

    peer = ConcurrentReader("d1", done)
    # So that the next attempt follows soon.
    settings = {"specifics": {"tells_start": True, "progress": 0.0}}
    async with world(peer, settings=settings) as w:
        assert (await w.ask("/once")).status == 200
        assert attempts_received([peer]) == 2  # one rejected, one served
