"""Endings that cross something else in the same instant: each crossing is forced, none is hoped for.

A hook at a seam (an opened connection, a look, a close) has the peer act exactly there. What no hook
reaches is told by a scripted peer and the service's own calls between two turns of the loop.
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
from yewrill.net.client_connection import ClientConnection as Served
from yewrill.net.connection import RING_BYTES, Connection
from yewrill.net.worker_connections import WorkerConnectionPool
from yewrill.policy import interface as api

# Time enough for a job to be held for as long as a story needs.
ROOMY = {
    "request_classes": [
        {**c, "aim": 8000.0, "deadline": 16000.0} for c in SETTINGS["request_classes"]
    ]
}
LONG = {
    "X_Timeout_Ms": "15000"
}  # every request's: one with less than another is taken for its retry
FRONTS = pytest.mark.parametrize("front", ["platform", "progress"])

# -- a client that has gone


def sent_for(peers, id="r1"):
    """How many attempts for an id reached any of the peers whole."""
    return sum(e.id == id for p in peers for e in p.exchanges)


def hang_up(client: Client) -> None:
    """Close at once, between two turns of the loop: the end lies in the system, unread."""
    client.stream.socket.close()


@story
async def test_a_client_that_closes_as_the_workers_connection_comes_up_has_nothing_sent(
    monkeypatch,
):
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY) as w:
        client, real, opened = await w.client(), Connection.open, []

        async def opens(*args, **kwargs):
            connection = await real(*args, **kwargs)
            if not opened:
                hang_up(client)  # no turn of the loop lies between this and the last look
            opened.append(connection)
            return connection

        monkeypatch.setattr(Connection, "open", opens)
        await client.send(**LONG)
        await w.until(lambda: opened and not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert not sent_for([peer])
        assert len(opened) == 1  # the connection that came up is kept for the next one


def as_a_line_is_taken(monkeypatch, act) -> list[str]:
    """Have something happen as an attempt begins, with no turn of the loop up to its last look. Returns the
    workers for whom attempts have begun."""
    real, begun = WorkerConnectionPool.take_idle, []

    def takes(endpoints, worker):
        begun.append(worker.id)
        if len(begun) == 1:
            act()
        return real(endpoints, worker)

    monkeypatch.setattr(WorkerConnectionPool, "take_idle", takes)
    return begun


@story
async def test_a_client_that_closes_as_a_kept_connection_is_taken_has_nothing_sent(monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY) as w:
        assert (await w.ask(X_Request_ID="r0", **LONG)).status == 200
        await w.until(lambda: w.service.worker_connections._idle.get("d1"))
        client = await w.client()
        begun = as_a_line_is_taken(monkeypatch, lambda: hang_up(client))
        await client.send(**LONG)
        await w.until(lambda: begun and not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert not sent_for([peer]) and peer.connections == 1


class Gate:
    """Which worker the module chooses: the one named here, or none, so that every job is held."""

    def __init__(self, w, monkeypatch):
        self.engine = w.service.engine
        self.module = self.engine._module
        self.worker = ""
        monkeypatch.setattr(
            self.module.selection,
            "worker_for",
            lambda job, need: self.module.fleet.workers.get(self.worker),
        )
        monkeypatch.setattr(self.module.admission, "admit", lambda job, now: "")

    @property
    def held(self) -> int:
        return sum(map(len, self.module.queues.values()))

    def open(self, worker: str) -> None:
        """Have every held job sent there at once, without a turn of the loop."""
        self.worker = worker
        self.module.release_needed = True
        self.engine.set_zone_weights({})  # any event will do
        self.engine.tick()


async def keep_connections(w, gate: Gate, peer: Peer, count: int) -> None:
    """So many idle connections to a worker: an attempt on one of them goes out without any wait."""
    together = trio.Event()

    async def waits_for_all(exchange):
        if len(peer.exchanges) == count:
            together.set()
        await together.wait()
        await exchange.done()

    peer.script, gate.worker = waits_for_all, peer.name
    async with trio.open_nursery() as nursery:
        for i in range(count):
            nursery.start_soon(lambda i=i: w.ask(X_Request_ID=f"kept{i}", **LONG))
    await w.until(lambda: len(w.service.worker_connections._idle.get(peer.name, ())) == count)
    peer.script, gate.worker = done, ""


async def asking(w, count: int) -> list[Client]:
    clients = [await w.client() for _ in range(count)]
    for i, client in enumerate(clients):
        await client.send(X_Request_ID=f"left{i}", **LONG)
    return clients


def left_ones(peer: Peer) -> list[str]:
    return [e.id for e in peer.exchanges if e.id.startswith("left")]


@FRONTS
@story
async def test_two_hundred_that_leave_at_once_while_held_have_nothing_sent(front, monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        gate = Gate(w, monkeypatch)
        await keep_connections(w, gate, peer, 60)
        clients = await asking(w, 200)
        await w.until(lambda: gate.held == 200)
        as_a_line_is_taken(monkeypatch, lambda: [hang_up(client) for client in clients])
        gate.open("d1")  # all their attempts begin in one turn, with their ends unread
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert left_ones(peer) == []


@FRONTS
@story
async def test_clients_that_leave_in_their_retrys_pause_have_no_second_attempt(front, monkeypatch):
    async def dies(exchange):
        exchange.reset()

    first, second = Peer("d1", dies), Peer("d2", done)
    async with world(first, second, front=front, settings=ROOMY) as w:
        gate = Gate(w, monkeypatch)
        await keep_connections(w, gate, second, 20)
        clients = await asking(w, 20)
        await w.until(lambda: gate.held == 20)
        gate.open("d1")
        gate.worker = ""
        await w.until(lambda: len(first.exchanges) == 20 and gate.held == 20)
        as_a_line_is_taken(monkeypatch, lambda: [hang_up(client) for client in clients])
        gate.open("d2")
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert left_ones(second) == []


@FRONTS
@story
async def test_a_client_that_leaves_while_a_connection_comes_up_has_nothing_sent(
    front, monkeypatch
):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        client, real, opening, go_on = await w.client(), Connection.open, trio.Event(), trio.Event()

        async def opens(*args, **kwargs):
            opening.set()
            await go_on.wait()
            return await real(*args, **kwargs)

        monkeypatch.setattr(Connection, "open", opens)
        await client.send(**LONG)
        await opening.wait()
        hang_up(client)
        left = next(iter(w.service.listener.clients))
        await w.until(lambda: left.disconnected)
        go_on.set()
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert not sent_for([peer]) and peer.connections == 1  # the one that came up is kept


def reset(client: Client) -> None:
    client.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    hang_up(client)


def send_all_that_goes(client: Client) -> None:
    """Fill every buffer on the way, so that an end lies behind bytes that are not even there yet."""
    with suppress(BlockingIOError):
        while True:
            client.stream.socket._sock.send(b"x" * 65536)


@pytest.mark.parametrize("much", [False, True])
@pytest.mark.parametrize("leave", [hang_up, reset])
@FRONTS
@story
async def test_the_end_of_a_client_that_has_filled_its_ring_is_seen(
    front, leave, much, monkeypatch
):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        gate = Gate(w, monkeypatch)
        [client] = await asking(w, 1)
        await w.until(lambda: gate.held == 1)
        [left] = w.service.listener.clients
        request = left.request
        await client.stream.send_all(b"x" * 9000)
        await w.until(lambda: not left.connection.inbound.room)
        if much:
            send_all_that_goes(client)
        leave(client)
        await w.until(lambda: not w.service.listener.clients)
        assert request.client_left and not Served.overrunning_clients
        gate.open("d1")
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert left_ones(peer) == []


@story
async def test_a_client_that_sends_for_ever_is_read_at_a_bounded_pace_and_has_its_answer(
    monkeypatch,
):
    reads = []
    real = Connection.discard_now

    def counted(connection):
        reads.append(real(connection))
        return reads[-1]

    monkeypatch.setattr(Connection, "discard_now", counted)
    monkeypatch.setattr(
        client_connection, "OVERRUN_PAUSE_PER_CLIENT_SECONDS", 1e9
    )  # so that the pause after the first read has no end
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY) as w:
        gate = Gate(w, monkeypatch)
        [client] = await asking(w, 1)
        await w.until(lambda: gate.held == 1)
        await client.stream.send_all(b"x" * 9000)
        await w.until(lambda: Served.overrunning_clients == 1)
        send_all_that_goes(client)
        [sender] = w.service.listener.clients
        sender._drop_input()
        assert len(reads) == 1 and reads[0] <= 65536  # however much there is
        assert len(sender.connection.inbound) == RING_BYTES
        gate.open("d1")
        reply = await client.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        assert len(reads) == 1  # none but ours: the pause had no end
        await client.stream.aclose()


class Reluctant(Peer):
    """A worker that reads nothing until it is told to, and takes little in the meantime."""

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
    """Have connections to workers take little before they are read. Returns those opened."""
    real, opened = Connection.open, []

    async def opens(*args, **kwargs):
        connection = await real(*args, **kwargs)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        opened.append(connection)
        return connection

    monkeypatch.setattr(Connection, "open", opens)
    return opened


def blameless(w, peer: Peer) -> bool:
    worker = w.service.engine._module.fleet.workers[peer.name]
    return not worker.ejection.failures and worker.ejection.until <= w.service.engine.now()


@FRONTS
@story
async def test_a_request_that_is_half_written_as_its_client_leaves_is_never_whole(
    front, monkeypatch
):
    peer = Reluctant("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        opened = open_with_little_room(monkeypatch)
        client = await w.client()
        await client.send(body=b"x" * 60000, **LONG)
        await w.until(lambda: opened and opened[0].unsent)
        hang_up(client)
        [left] = w.service.listener.clients
        await w.until(lambda: left.disconnected)
        peer.reads.set()
        await peer.ended.wait()
        await w.until(lambda: not w.service.listener.clients)
        assert not peer.exchanges and not w.service.worker_connections.open
        await w.until(lambda: not w.service.engine._events)  # the module has heard
        assert blameless(w, peer)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200


@story
async def test_a_client_that_leaves_as_its_worker_makes_room_has_no_more_written(monkeypatch):
    peer = Reluctant("d1", done)
    async with world(peer, settings=ROOMY) as w:
        opened = open_with_little_room(monkeypatch)
        real, crossed = Connection._wait_ready, []

        async def ready(connection, wait):
            await real(connection, wait)
            if connection in opened and not crossed and wait is trio.lowlevel.wait_writable:
                crossed.append(connection)
                # Room for all the rest at once.
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
                left.disconnect()  # read in the same turn of the loop in which there is room again

        monkeypatch.setattr(Connection, "_wait_ready", ready)
        client = await w.client()
        await client.send(body=b"x" * 60000, **LONG)
        await w.until(lambda: opened and opened[0].unsent)
        [left] = w.service.listener.clients
        peer.reads.set()
        await peer.ended.wait()
        assert crossed and not peer.exchanges
        await w.until(lambda: not w.service.listener.clients and not w.service.engine._events)
        assert blameless(w, peer) and not w.service.worker_connections.open


@story
async def test_an_attempt_that_is_written_whole_runs_on_when_its_client_leaves(monkeypatch):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, peer = trio.Event(), Peer("d1", waits)
    async with world(peer, settings=ROOMY) as w:
        client = await w.client()
        await client.send(**LONG)
        await w.until(lambda: peer.exchanges)
        hang_up(client)
        [left] = w.service.listener.clients
        await w.until(lambda: left.disconnected)
        assert len(peer.live) == 1
        go_on.set()
        await w.until(
            lambda: w.service.worker_connections._idle.get("d1")
        )  # its end told much, and it is kept


@pytest.mark.parametrize("leaves", [True, False])
@story
async def test_a_stream_whose_head_is_not_taken_has_nothing_sent_once_its_reader_is_gone(
    leaves, monkeypatch
):
    """It leaves while its head is being written, or takes it so slowly that it is given up."""
    peer, real, writing, go_on = Peer("d1", done), Served.send, trio.Event(), trio.Event()

    async def sends(client, data):
        if not writing.is_set():
            writing.set()
            await go_on.wait()
            return leaves and await real(client, data)
        return await real(client, data)

    async with world(peer, front="progress", settings=ROOMY) as w:
        monkeypatch.setattr(Served, "send", sends)
        client = await w.client()
        await client.send(**LONG)
        await writing.wait()
        [left] = w.service.listener.clients
        request = left.request
        await w.until(lambda: request.choice is not None)  # the module has chosen a worker for it
        if leaves:
            hang_up(client)
            await w.until(lambda: left.disconnected)
        go_on.set()
        await w.until(lambda: not w.service.listener.clients)
        assert request.client_left
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert not sent_for([peer])


@FRONTS
@story
async def test_a_client_that_leaves_as_its_attempts_record_is_written_has_nothing_sent(front):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        assert (await w.ask(X_Request_ID="r0", **LONG)).status == 200
        await w.until(lambda: w.service.worker_connections._idle.get("d1"))
        client, promised = await w.client(), []

        async def record(attempt):
            if not promised:
                hang_up(client)
            promised.append(attempt)
            return True

        w.service.worker_client.record_attempt = record
        await client.send(**LONG)
        await w.until(lambda: promised and not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert not sent_for([peer])


@FRONTS
@story
async def test_a_client_that_half_closes_has_gone(front, monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        gate = Gate(w, monkeypatch)
        await keep_connections(w, gate, peer, 1)
        [client] = await asking(w, 1)
        await w.until(lambda: gate.held == 1)
        as_a_line_is_taken(monkeypatch, lambda: client.stream.socket.shutdown(socket.SHUT_WR))
        gate.open("d1")
        await w.until(lambda: not w.service.listener.clients)
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert left_ones(peer) == []


# -- the listener's own closes


@story
async def test_an_eviction_passes_over_a_kept_connection_whose_request_is_already_there():
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY) as w:
        one, other = await w.client(), await w.client()
        for client, id in ((one, "r0"), (other, "r1")):
            assert (await client.ask(X_Request_ID=id, **LONG)).status == 200
        await w.until(lambda: not any(c.answering for c in w.service.listener.clients))
        # Not a turn of the loop between the request's coming and the eviction: nobody has read it.
        one.stream.socket._sock.send(raw_request("r2"))
        assert w.service.listener._evict()
        assert (await one.reply()).status == 200
        assert await other.stream.receive_some() == b""  # idle for less long, but idle


@story
async def test_an_eviction_passes_over_a_new_connection_whose_request_is_already_there(monkeypatch):
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_SECONDS", -1.0)  # new ones may give way at once
    async with world(Peer("d1", done), settings=ROOMY) as w:
        one, other = await w.client(), await w.client()
        await w.until(lambda: len(w.service.listener.clients) == 2)
        one.stream.socket._sock.send(raw_request("r2"))
        assert w.service.listener._evict() and not w.service.listener._evict()
        assert (await one.reply()).status == 200
        assert await other.stream.receive_some() == b""


def raw_request(id: str) -> bytes:
    return (
        f"POST /tour HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\n"
        f"X-Timeout-Ms: {LONG['X_Timeout_Ms']}\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


async def narrow_client(w) -> Client:
    """A client that takes little before it reads, so that most of an answer stays with the service."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect(w.service.listener.address)
    return Client(trio.SocketStream(sock))


async def all_of(client: Client) -> bytes:
    """What it gets until an orderly end; a reset is an error."""
    said = b""
    while data := await client.stream.receive_some():
        said += data
    return said


def as_it_is_sent(monkeypatch, act) -> trio.Event:
    """Have something happen as a reply has been written, before the listener goes on."""
    real, sent = Served.send, trio.Event()

    async def sends(client, data):
        try:
            return await real(client, data)
        finally:
            if not sent.is_set():
                sent.set()
                act()

    monkeypatch.setattr(Served, "send", sends)
    return sent


WHOLE = "x" * 60000


async def much(exchange):
    await exchange.done(WHOLE)


@story
async def test_in_a_flood_an_answer_to_a_job_is_not_killed_by_what_its_client_sends(monkeypatch):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    async with world(Peer("d1", much), settings=ROOMY) as w:
        w.service.listener.limit(1)  # more than half of all places are taken
        w.service.run_state.closing_connections = (
            True  # so this is the last answer on its connection
        )
        client = await narrow_client(w)
        sent = as_it_is_sent(monkeypatch, lambda: None)
        await client.send(**LONG)
        await sent.wait()
        await trio.testing.wait_all_tasks_blocked()  # the close has come, if one does
        client.stream.socket._sock.send(raw_request("r2"))
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (200, len(WHOLE))
        assert await client.stream.receive_some() == b""
        await client.stream.aclose()


@story
async def test_in_a_flood_what_a_bad_client_has_sent_kills_no_answer_on_its_way(monkeypatch):
    async with world(Peer("d1", much), settings=ROOMY) as w:
        w.service.listener.limit(1)
        client = await narrow_client(w)
        await client.send(**LONG)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        as_it_is_sent(monkeypatch, lambda: client.stream.socket._sock.send(b"x" * 30000))
        await client.stream.send_all(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
        await w.until(lambda: not w.service.listener.clients)
        said = await all_of(client)
        assert said.count(WHOLE.encode()) == 1 and said.count(b"HTTP/1.1 404 ") == 1


@story
async def test_a_fault_of_our_own_is_told_whatever_its_client_sends(monkeypatch):
    async with world(Peer("d1", done), settings=ROOMY) as w:
        monkeypatch.setattr(w.service.front, "respond", None)
        client = await w.client()
        as_it_is_sent(monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2")))
        assert (await client.ask(**LONG)).status == 500
        assert await client.stream.receive_some() == b""


@story
async def test_an_eviction_passes_over_a_client_that_has_not_taken_all_of_its_answer(monkeypatch):
    peer = Peer("d1", much)
    async with world(peer, settings=ROOMY) as w:
        client = await narrow_client(w)
        await client.send(**LONG)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        w.service.listener._evict()  # it is the only one to give way
        client.stream.socket._sock.send(raw_request("r2"))  # its next request crosses that
        assert len((await client.reply()).body) == len(WHOLE)
        assert (await client.event()).status_code == 200
        assert [e.id for e in peer.exchanges] == ["r1", "r2"]
        await client.stream.aclose()


@timed_story
async def test_a_client_that_takes_nothing_of_its_answer_gives_way_in_the_end(monkeypatch):
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_SECONDS", 0.3)
    async with world(Peer("d1", much), settings=ROOMY) as w:
        client = await narrow_client(w)
        await client.send(**LONG)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        await w.until(w.service.listener._evict)
        await client.stream.aclose()


# -- a drain


def as_it_is_looked_at(monkeypatch, act) -> None:
    """Have something happen between the look at a resting connection and what follows from it."""
    real, looked = Connection.check_idle, []

    def looks(connection):
        seen = real(connection)
        if not looked:
            looked.append(connection)
            act()
        return seen

    monkeypatch.setattr(Connection, "check_idle", looks)


def restart(w) -> None:
    w.service.run_state.closing_connections = True
    w.service.listener.close()


def release(w) -> None:
    w.service.listener.close_idle(0.0)


@pytest.mark.parametrize("let_go", [restart, release])
@story
async def test_a_request_that_crosses_a_resting_connections_end_kills_no_answer_and_is_not_served(
    let_go, monkeypatch
):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    peer = Peer("d1", much)
    async with world(peer, settings=ROOMY) as w:
        client = await narrow_client(w)
        await client.send(**LONG)
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        as_it_is_looked_at(monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2")))
        let_go(w)  # most of the answer is still here, and the next request has just come
        await trio.testing.wait_all_tasks_blocked()
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (200, len(WHOLE))
        assert await all_of(client) == b""
        await client.stream.aclose()
        await w.until(lambda: not w.service.listener.clients)
        assert [e.id for e in peer.exchanges] == ["r1"]


@story
async def test_an_answer_written_as_a_drain_closes_is_not_killed_by_the_next_request(monkeypatch):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    peer = Peer("d1", much)
    async with world(peer, settings=ROOMY) as w:
        client = await narrow_client(w)
        sent = as_it_is_sent(
            monkeypatch, lambda: restart(w)
        )  # too late for it to say that it closes
        as_it_is_looked_at(monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2")))
        await client.send(**LONG)
        await sent.wait()
        await trio.testing.wait_all_tasks_blocked()
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (
            200,
            len(WHOLE),
        ) and "connection" not in reply.headers
        assert await all_of(client) == b""
        await client.stream.aclose()
        await w.until(lambda: not w.service.listener.clients)
        assert [e.id for e in peer.exchanges] == ["r1"]


@story
async def test_a_request_that_lies_unread_as_a_drain_closes_is_served():
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY) as w:
        client = await w.client()
        assert (await client.ask(**LONG)).status == 200
        await w.until(
            lambda: any(c.has_sent_request and not c.answering for c in w.service.listener.clients)
        )
        client.stream.socket._sock.send(raw_request("r2"))
        restart(w)
        reply = await client.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        assert [e.id for e in peer.exchanges] == ["r1", "r2"]


HALF = raw_request("half")[:60]


@timed_story
async def test_half_a_request_is_served_if_it_is_whole_by_the_last_call():
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY, timing={"linger_ms": 50, "grace_ms": 1400}) as w:
        client = await w.client()
        await client.stream.send_all(HALF)
        await w.until(lambda: any(c.first_byte for c in w.service.listener.clients))
        w.nursery.start_soon(w.service.drain)
        await w.until(lambda: w.service.listener.stopping)
        await client.stream.send_all(raw_request("half")[60:])
        said = await all_of(client)
        assert said.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in said
        await w.ended.wait()


@pytest.mark.parametrize("read", [True, False])
@timed_story
async def test_half_a_request_holds_up_no_drain_beyond_its_grace(read):
    async with world(
        Peer("d1", done), settings=ROOMY, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as w:
        client = await w.client()
        await w.until(lambda: w.service.listener.clients)
        began = trio.current_time()
        w.nursery.start_soon(w.service.drain)
        if read:
            await w.until(lambda: not w.service.listener.accepting)
            await client.stream.send_all(HALF)
        else:  # it comes in the very turn of the close
            real = w.service.listener.close

            def closes():
                client.stream.socket._sock.send(HALF)
                real()

            w.service.listener.close = closes
        await w.ended.wait()
        assert trio.current_time() - began < 1.4


@timed_story
async def test_an_answer_at_the_end_of_the_grace_leaves_time_for_the_exit():
    # Guards against a kill at the grace's end while stores are closed: its client stays after its answer.
    async def hangs(exchange):
        await trio.sleep_forever()

    peer = Peer("d1", hangs)
    async with world(peer, settings=ROOMY, timing={"linger_ms": 50, "grace_ms": 1400}) as w:
        client = await w.client()
        await client.stream.send_all(raw_request("waits"))
        await w.until(lambda: peer.exchanges)
        began = trio.current_time()
        w.nursery.start_soon(w.service.drain)
        assert (await client.stream.receive_some()).startswith(b"HTTP/1.1 502 ")
        assert trio.current_time() - began > 0.9  # it was waited for
        await w.ended.wait()
        assert trio.current_time() - began < 1.4 - 0.15


@timed_story
async def test_a_request_that_is_whole_only_after_the_last_call_is_not_taken(monkeypatch):
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY, timing={"linger_ms": 50, "grace_ms": 1400}) as w:
        real = w.service.engine.fail_all

        def gives_up():
            real()
            client.stream.socket._sock.send(raw_request("half")[60:])

        monkeypatch.setattr(w.service.engine, "fail_all", gives_up)
        held = Gate(w, monkeypatch)  # so that there is somebody to call
        client, other = await w.client(), await w.client()
        w.nursery.start_soon(w.service.drain)
        await w.until(lambda: not w.service.listener.accepting)
        await client.stream.send_all(HALF)
        await other.send(X_Request_ID="r2", X_Timeout_Ms="15000")
        await w.until(lambda: held.held == 1)
        assert (await other.reply()).status == 502
        with suppress(trio.BrokenResourceError):
            assert await client.stream.receive_some() == b""
        await w.ended.wait()
        assert not peer.exchanges


@FRONTS
@story
async def test_signals_that_come_together_or_again_end_the_program_once_and_lose_no_answer(front):
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
            settings=ROOMY,
            signals=True,
            timing={"linger_ms": 50, "grace_ms": 4000},
        ) as w:
            client = await w.client()
            await client.send(**LONG)
            await w.until(lambda: peer.exchanges)
            w.raw["timing"] = {"linger_ms": 60, "grace_ms": 4000}
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                os.kill(os.getpid(), number)  # no turn of the loop between them
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
async def test_a_signal_that_comes_again_as_everything_is_closed_kills_nobody():
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
                os.kill(
                    os.getpid(), signal.SIGTERM
                )  # the listener is done, the rest is about to be closed
                os.kill(os.getpid(), signal.SIGINT)
                real()

            w.service.worker_connections.close = closes
            os.kill(os.getpid(), signal.SIGTERM)
            await w.ended.wait()
            assert not stray  # nothing was left to whoever had the signals before
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@story
async def test_the_backlog_at_the_listeners_close_is_served_and_beyond_the_bound_it_is_reset():
    peer = Peer("d1", done)
    async with world(peer, settings=ROOMY) as w:
        late = [socket.create_connection(w.service.listener.address) for _ in range(3)]
        for i, sock in enumerate(late):
            sock.sendall(raw_request(f"r{i}"))
        w.service.listener.limit(2)
        # Not a turn of the loop since they came, and no time to wait for a place.
        await w.service.listener.drain_backlog(deadline=trio.current_time())
        streams = [trio.SocketStream(trio.socket.from_stdlib_socket(sock)) for sock in late]
        for stream in streams[:2]:
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")
        with pytest.raises(trio.BrokenResourceError):
            await streams[2].receive_some()
        assert sorted(e.id for e in peer.exchanges) == ["r0", "r1"]
        for stream in streams:
            await stream.aclose()


# -- clients that do everything at once


@pytest.mark.parametrize("raw", [1, 200])
@FRONTS
@story
async def test_requests_and_the_end_behind_them_in_one_go_have_nothing_sent(front, raw):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        assert (await w.ask(X_Request_ID="r0", **LONG)).status == 200
        await w.until(
            lambda: w.service.worker_connections._idle.get("d1")
        )  # an attempt there needs no wait
        gone = [socket.create_connection(w.service.listener.address) for _ in range(50)]
        for i, sock in enumerate(gone):
            sock.sendall(raw_request(f"left{i}") * raw)
            sock.close()  # all this before the service has accepted one of them
        seen = []
        await w.until(
            lambda: seen.append(len(w.service.listener.clients)) or (max(seen) and not seen[-1])
        )
        assert (await w.ask(X_Request_ID="r2", **LONG)).status == 200
        assert left_ones(peer) == []


@timed_story
async def test_an_answer_that_is_not_taken_is_given_up_in_time_and_holds_no_place(monkeypatch):
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_SECONDS", 0.3)
    async with world(Peer("d1", much), settings=ROOMY) as w:
        client = await narrow_client(w)
        await w.until(lambda: w.service.listener.clients)
        [served] = w.service.listener.clients
        served.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await client.send(**LONG)
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
async def test_a_deadline_that_is_no_number_of_milliseconds_is_refused_before_the_core(
    front, given
):
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        assert (await w.ask(X_Timeout_Ms=given)).status == 400
        assert (
            not peer.exchanges and not w.service.engine.pending and not w.service.open_requests.ids
        )


@pytest.mark.parametrize("framing", ["chunked", "in one piece"])
@FRONTS
@story
async def test_a_body_over_64_kib_is_refused_however_it_comes_and_its_client_reads_why(
    front, framing
):
    head = raw_request("r1").partition(b"Content-Length")[0]
    if framing == "chunked":
        raw = head + b"Transfer-Encoding: chunked\r\n\r\n" + b"4000\r\n%s\r\n" % (b"x" * 0x4000) * 5
    else:
        raw = head + b"Content-Length: 81920\r\n\r\n" + b"x" * 81920
    peer = Peer("d1", done)
    async with world(peer, front=front, settings=ROOMY) as w:
        client = await w.client()
        client.stream.socket._sock.send(raw)
        said = b""
        while b"\r\n\r\n" not in said:
            said += await client.stream.receive_some()
        assert said.startswith(b"HTTP/1.1 413 ") and not peer.exchanges
        await client.stream.aclose()


@FRONTS
@timed_story
async def test_a_flood_of_half_requests_takes_no_place_from_those_that_work(front, monkeypatch):
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_SECONDS", 0.05)
    async with world(Peer("d1", done), front=front, limits={"sockets": 80}) as w:
        flood = []
        for i in range(4):
            for _ in range(40):
                flood.append(await w.client())
                flood[-1].stream.socket._sock.send(HALF)
            assert (await w.ask(X_Request_ID=f"n{i}")).status == 200
            assert len(w.service.listener.clients) <= 22
        for client in flood:
            client.stream.socket.close()


# -- workers


async def half_a_head(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Ty")
    exchange.reset()


async def half_a_line(exchange):
    await exchange.say("started")
    await exchange.raw('{"id":"r1","from":"d","state":"do')
    exchange.reset()


async def an_end_without_a_word(exchange):
    await exchange.say("started")
    await exchange.stream.send_all(b"0\r\n\r\n")


async def half_a_chunk(exchange):
    await exchange.say("started")
    await exchange.stream.send_all(b"ff\r\n{")
    await exchange.stream.send_eof()
    await exchange.closed()


@pytest.mark.parametrize(
    "breaks_off", [half_a_head, half_a_line, an_end_without_a_word, half_a_chunk]
)
@FRONTS
@story
async def test_an_answer_that_breaks_off_may_have_run_and_is_repeated_only_as_its_class_allows(
    front, breaks_off
):
    async def script(exchange):
        await (breaks_off if len(everything()) == 1 else done)(exchange)

    def everything():
        return [e for p in peers for e in p.exchanges]

    for target, attempts in (("/tour", 2), ("/once", 1)):
        peers = [Peer("d1", script), Peer("d2", script)]
        async with world(*peers, front=front, settings=ROOMY) as w:
            reply = await w.ask(target, **LONG)
            assert len(everything()) == attempts
            if front == "progress":
                assert (b"event: served" in reply.body, b"event: failed" in reply.body) == (
                    attempts == 2,
                    attempts == 1,
                )
            else:
                assert reply.status == (200 if attempts == 2 else 502)
            await w.until(
                lambda: w.service.worker_connections.open <= 1
            )  # what broke off is not kept


async def twice(exchange):
    await exchange.say("done", result="profile")
    await exchange.say("done", result="another")
    await exchange.stream.send_all(b"0\r\n\r\n")


async def without_an_end(exchange):
    await exchange.say("done", result="profile")
    await exchange.closed()


async def a_second_answer(exchange):
    await exchange.done()
    exchange.begun = False
    await exchange.done("another")


async def byte_by_byte(exchange):
    line = ujson.dumps({"id": exchange.id, "from": "d", "state": "done", "result": "profile"})
    text = f"data: {line}\n\n" if exchange.front == "progress" else line + "\n"
    for letter in text:
        await exchange.raw(letter)
    await exchange.stream.send_all(b"0\r\n\r\n")


@pytest.mark.parametrize("odd", [twice, without_an_end, a_second_answer, byte_by_byte])
@FRONTS
@story
async def test_whatever_follows_a_done_each_job_has_its_own_result_once(front, odd):
    peer = Peer("d1", odd)
    async with world(peer, front=front, settings=ROOMY) as w:
        for i in range(4):
            reply = await w.ask("/once", X_Request_ID=f"r{i}", **LONG)
            assert (
                reply.status == 200
                and reply.body.count(b"profile") == 1
                and b"another" not in reply.body
            )
        assert [e.id for e in peer.exchanges] == ["r0", "r1", "r2", "r3"]


async def lost(exchange):
    await exchange.say("lost")


@pytest.mark.parametrize("script, served", [(done, True), (lost, False)])
@FRONTS
@story
async def test_an_answer_that_comes_as_its_time_is_up_is_the_only_one(front, script, served):
    """The module gives a job up in the very turn in which its attempt has ended."""
    async with world(Peer("d1", script), front=front, settings=ROOMY) as w:
        real, engine = w.service.subsystem_context.run_attempt, w.service.engine

        async def attempt(attempt):
            outcome = await real(attempt)
            engine._carry_out(api.Fail(attempt.request.key, "its time is up"), engine.now())
            return outcome

        w.service.subsystem_context.run_attempt = attempt
        client = await w.client()
        await client.send("/once", **LONG)
        reply = await client.reply()
        if front == "progress":
            assert (reply.body.count(b"event: served"), reply.body.count(b"event: failed")) == (
                served,
                not served,
            )
        else:
            assert reply.status == (200 if served else 502)
        await w.until(
            lambda: not engine.pending and not engine._live and not w.service.open_requests.ids
        )


@timed_story
async def test_a_connection_that_does_not_come_up_in_time_never_ran_so_any_class_goes_elsewhere(
    monkeypatch,
):
    peers = [Peer("d1", done), Peer("d2", done)]
    async with world(*peers, settings=ROOMY) as w:
        real, tried = Connection.open, []

        async def opens(address, *args):
            tried.append(address)
            if len(tried) == 1:
                await trio.sleep_forever()
            return await real(address, *args)

        monkeypatch.setattr(Connection, "open", opens)
        assert (await w.ask("/once", **LONG)).status == 200
        assert len(tried) == 2 and tried[0] != tried[1]
        assert sum(len(p.exchanges) for p in peers) == 1 and w.service.worker_connections.open == 1


@story
async def test_a_worker_that_closes_between_the_look_and_the_write_costs_no_repeatable_job(
    monkeypatch,
):
    peer, other = Peer("d1", done), Peer("d2", done)
    async with world(peer, other, settings=ROOMY) as w:
        gate = Gate(w, monkeypatch)
        gate.worker = "d1"
        assert (await w.ask(X_Request_ID="r0", **LONG)).status == 200

        def closes():
            for stream in list(peer.live):
                stream.socket.close()
            gate.worker = "d2"

        await w.until(lambda: w.service.worker_connections._idle.get("d1"))
        [line] = w.service.worker_connections._idle["d1"]
        real = Connection.check_idle

        def looks(connection):
            seen = real(connection)
            if connection is line.http.connection and not connection.closed and peer.live:
                closes()
                peer.live.clear()
            return seen

        monkeypatch.setattr(Connection, "check_idle", looks)
        assert (await w.ask(X_Request_ID="r1", **LONG)).status == 200
        assert blameless(w, peer)
        assert [e.id for p in (peer, other) for e in p.exchanges] == ["r0", "r1"]


@story
async def test_at_the_bound_of_workers_connections_a_job_is_refused_and_none_is_lost(monkeypatch):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, peers = trio.Event(), [Peer("d1", waits), Peer("d2", waits)]
    async with world(*peers, settings=ROOMY) as w:
        w.service.worker_connections.limit(1)
        first = await w.client()
        await first.send(**LONG)
        await w.until(lambda: any(p.exchanges for p in peers))
        assert (await w.ask("/once", X_Request_ID="r2", **LONG)).status == 503  # it never ran
        assert w.service.worker_connections.open == 1
        go_on.set()
        assert (await first.reply()).status == 200
        assert (await w.ask("/once", X_Request_ID="r3", **LONG)).status == 200
        assert w.service.worker_connections.open == 1


@timed_story
async def test_a_worker_that_takes_no_more_until_the_deadline_never_gets_the_last_byte(monkeypatch):
    peer = Reluctant("d1", done)
    async with world(peer, timing={"answer_margin_ms": 400}) as w:
        open_with_little_room(monkeypatch)
        reply = await w.ask("/once", body=b"x" * 60000, X_Timeout_Ms="900")
        assert reply.status in (502, 503)
        peer.reads.set()
        await peer.ended.wait()
        assert not peer.exchanges


@pytest.mark.parametrize("after, again", [(1.0, True), (4.8, False)])
@timed_story
async def test_a_keyed_job_that_may_have_run_is_sent_again_only_inside_its_window(after, again):
    async def dies_late(exchange):
        if len(peers[0].exchanges) + len(peers[1].exchanges) > 1:
            await exchange.done()
        else:
            await trio.sleep(after)
            exchange.reset()

    peers = [Peer("d1", dies_late), Peer("d2", dies_late)]  # of one cell, so the group allows it
    roomy = {
        "request_classes": [{**c, "aim": 16000.0} for c in ROOMY["request_classes"]]
    }  # time for either
    async with world(*peers, settings=roomy) as w:
        reply = await w.ask("/save", Idempotency_Key="k1", **LONG)
        assert reply.status == (
            200 if again else 502
        )  # not a refusal: that would say that it never ran
        assert sent_for(peers) == (2 if again else 1)


@pytest.mark.parametrize("known", [True, False])
@story
async def test_sigterm_while_discovery_is_silent_ends_the_program_in_order(known, tmp_path):
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
            # What it was asked before the signal has its answer all the same.
            reply = await running.ask(X_Request_ID="r1")
            assert reply.status == (200 if known else 503)
            running.process.terminate()
            assert await running.process.wait() == 0
            assert any("shutdown_complete" in line for line in running.lines)
        nursery.cancel_scope.cancel()


@timed_story
async def test_a_second_answer_without_an_id_is_not_taken_for_the_next_attempts():
    async def answers_twice(exchange):
        if exchange.number:
            await trio.sleep(0.1)
            await exchange.done()
            return
        await exchange.status(503, "X-Not-Processed: 1")
        await trio.sleep(0.04)  # the next attempt has begun by then, and it runs
        await exchange.status(503, "X-Not-Processed: 1")

    class Doubled(Peer):
        async def _converse(self, stream):
            """Read the next request in the meantime, as a worker does whose answer went out twice."""
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

    peer = Doubled("d1", done)
    told = {
        "specifics": {"tells_start": True, "progress": 0.0}
    }  # so that the next attempt follows soon
    async with world(peer, settings=told) as w:
        assert (await w.ask("/once")).status == 200
        assert sent_for([peer]) == 2  # one turned away, and one that ran
