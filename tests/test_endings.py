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
from helper import (
    SETTINGS,
    Client,
    Discovery,
    Exchange,
    ScriptedWorker,
    done,
    hang,
    mock_clock_test,
    running_service,
    trio_test,
)
from test_state import program

from yewrill.net import client_connection, listener
from yewrill.net.client_connection import ClientConnection as ServerClientConnection
from yewrill.net.connection import INPUT_BUFFER_BYTES, Connection
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


def attempts_received(workers, id="r1"):
    """Returns the number of attempts of a request that the workers received completely."""
    return sum(e.id == id for p in workers for e in p.exchanges)


def hang_up(client: Client) -> None:
    """Closes without an iteration of the event loop, so that the service has not read the end yet."""
    client.stream.socket.close()


@trio_test
async def test_client_closing_as_the_worker_connection_opens_gets_no_attempt(
    monkeypatch,
):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        client, real, opened = await harness.client(), Connection.open, []

        async def open_connection(*args, **kwargs):
            connection = await real(*args, **kwargs)
            if not opened:
                hang_up(client)  # the last check follows without an event loop iteration
            opened.append(connection)
            return connection

        monkeypatch.setattr(Connection, "open", open_connection)
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(lambda: opened and not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([worker])
        assert len(opened) == 1  # the opened connection was kept for the next request


def when_connection_is_taken(monkeypatch, act) -> list[str]:
    """Calls `act` as the first attempt takes its connection.

    No event loop iteration follows until the last check of that connection.
    Returns the workers of all attempts that have begun.
    """
    real, begun = WorkerConnectionPool.take_idle, []

    def take_idle(endpoints, worker):
        begun.append(worker.id)
        if len(begun) == 1:
            act()
        return real(endpoints, worker)

    monkeypatch.setattr(WorkerConnectionPool, "take_idle", take_idle)
    return begun


@trio_test
async def test_client_closing_as_an_idle_worker_connection_is_taken_gets_no_attempt(monkeypatch):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        assert (await harness.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200
        await harness.wait_until(lambda: harness.service.worker_connections._idle.get("d1"))
        client = await harness.client()
        begun = when_connection_is_taken(monkeypatch, lambda: hang_up(client))
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(lambda: begun and not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([worker]) and worker.connections == 1


class Gate:
    """Controls which worker the policy chooses: the one named here, or none, so that requests are held."""

    def __init__(self, harness, monkeypatch):
        self.engine = harness.service.engine
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
        """Sends every held request to a worker, without an iteration of the event loop."""
        self.worker = worker
        self.module.release_needed = True
        self.engine.set_zone_weights({})  # any event makes the policy run
        self.engine.tick()


async def keep_connections(harness, gate: Gate, worker: ScriptedWorker, count: int) -> None:
    """Creates idle connections to a worker, on which attempts are sent without waiting."""
    together = trio.Event()

    async def waits_for_all(exchange):
        if len(worker.exchanges) == count:
            together.set()
        await together.wait()
        await exchange.done()

    worker.script, gate.worker = waits_for_all, worker.name
    async with trio.open_nursery() as nursery:
        for i in range(count):
            nursery.start_soon(lambda i=i: harness.ask(X_Request_ID=f"kept{i}", **LONG_TIMEOUT))
    await harness.wait_until(
        lambda: len(harness.service.worker_connections._idle.get(worker.name, ())) == count
    )
    worker.script, gate.worker = done, ""


async def send_requests(harness, count: int) -> list[Client]:
    clients = [await harness.client() for _ in range(count)]
    for i, client in enumerate(clients):
        await client.send(X_Request_ID=f"left{i}", **LONG_TIMEOUT)
    return clients


def received_from_leaving_clients(worker: ScriptedWorker) -> list[str]:
    return [e.id for e in worker.exchanges if e.id.startswith("left")]


@FRONTS
@trio_test
async def test_200_clients_closing_at_once_while_held_get_no_attempt(front, monkeypatch):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        await keep_connections(harness, gate, worker, 60)
        clients = await send_requests(harness, 200)
        await harness.wait_until(lambda: gate.held == 200)
        when_connection_is_taken(monkeypatch, lambda: [hang_up(client) for client in clients])
        # All attempts begin in one event loop iteration, before any disconnect is read.
        gate.open("d1")
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(worker) == []


@FRONTS
@trio_test
async def test_clients_closing_before_their_retry_get_no_second_attempt(front, monkeypatch):
    async def reset_attempt(exchange):
        exchange.reset()

    first, second = ScriptedWorker("d1", reset_attempt), ScriptedWorker("d2", done)
    async with running_service(first, second, front=front, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        await keep_connections(harness, gate, second, 20)
        clients = await send_requests(harness, 20)
        await harness.wait_until(lambda: gate.held == 20)
        gate.open("d1")
        gate.worker = ""
        await harness.wait_until(lambda: len(first.exchanges) == 20 and gate.held == 20)
        when_connection_is_taken(monkeypatch, lambda: [hang_up(client) for client in clients])
        gate.open("d2")
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(second) == []


@FRONTS
@trio_test
async def test_client_closing_while_the_worker_connection_opens_gets_no_attempt(front, monkeypatch):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        client, real, opening, go_on = (
            await harness.client(),
            Connection.open,
            trio.Event(),
            trio.Event(),
        )

        async def open_connection(*args, **kwargs):
            opening.set()
            await go_on.wait()
            return await real(*args, **kwargs)

        monkeypatch.setattr(Connection, "open", open_connection)
        await client.send(**LONG_TIMEOUT)
        await opening.wait()
        hang_up(client)
        left = next(iter(harness.service.listener.clients))
        await harness.wait_until(lambda: left.disconnected)
        go_on.set()
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        # The opened connection was kept.
        assert not attempts_received([worker]) and worker.connections == 1


def reset(client: Client) -> None:
    client.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    hang_up(client)


def fill_buffers(client: Client) -> None:
    """Fills every buffer up to the service, so that the client's end follows bytes that have not arrived."""
    with suppress(BlockingIOError):
        while True:
            client.stream.socket._sock.send(b"x" * 65536)


@pytest.mark.parametrize("fill_all", [False, True])
@pytest.mark.parametrize("leave", [hang_up, reset])
@FRONTS
@trio_test
async def test_disconnect_of_a_client_with_a_full_input_buffer_is_noticed(
    front, leave, fill_all, monkeypatch
):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        [client] = await send_requests(harness, 1)
        await harness.wait_until(lambda: gate.held == 1)
        [left] = harness.service.listener.clients
        request = left.request
        await client.stream.send_all(b"x" * 9000)
        await harness.wait_until(lambda: not left.connection.inbound.room)
        if fill_all:
            fill_buffers(client)
        leave(client)
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert request.client_left and not ServerClientConnection.overrunning_clients
        gate.open("d1")
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(worker) == []


@trio_test
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
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        [client] = await send_requests(harness, 1)
        await harness.wait_until(lambda: gate.held == 1)
        await client.stream.send_all(b"x" * 9000)
        await harness.wait_until(lambda: ServerClientConnection.overrunning_clients == 1)
        fill_buffers(client)
        [sender] = harness.service.listener.clients
        sender._drop_input()
        assert len(reads) == 1 and reads[0] <= 65536  # bounded, however many bytes are available
        assert len(sender.connection.inbound) == INPUT_BUFFER_BYTES
        gate.open("d1")
        reply = await client.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        # The pause never ends. Only for the attempt more was read, and no more than the kernels' buffers
        # hold: a client that has sent more than that has not closed before.
        assert all(count is None or count <= 65536 for count in reads)
        assert sum(filter(None, reads[1:])) <= client_connection.MAX_IN_FLIGHT_BYTES + 4 * 65536
        await client.stream.aclose()


@trio_test
async def test_a_client_that_closes_with_much_unread_gets_no_attempt(monkeypatch):
    """Guards against an attempt that begins because the end of its client lies behind unread input."""
    monkeypatch.setattr(client_connection, "OVERRUN_PAUSE_PER_CLIENT_SECONDS", 1e9)
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        clients = await send_requests(harness, 8)
        await harness.wait_until(lambda: gate.held == 8)
        for client in clients:
            await client.stream.send_all(b"x" * 9000)
        await harness.wait_until(lambda: ServerClientConnection.overrunning_clients == 8)
        for client in clients:
            fill_buffers(client)
            await client.stream.aclose()
        gate.open("d1")
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="last", **LONG_TIMEOUT)).status == 200
        assert [exchange.id for exchange in worker.exchanges] == ["last"]


@trio_test
async def test_a_client_that_sends_without_end_still_gets_its_answer(monkeypatch):
    """Guards against a wait for the end of a client that has none."""
    monkeypatch.setattr(client_connection, "MAX_IN_FLIGHT_BYTES", 256 * 1024)
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        [client] = await send_requests(harness, 1)
        await harness.wait_until(lambda: gate.held == 1)
        async with trio.open_nursery() as nursery:

            async def send_without_end() -> None:
                while True:
                    await client.stream.send_all(b"x" * 65536)

            nursery.start_soon(send_without_end)
            await harness.wait_until(lambda: ServerClientConnection.overrunning_clients == 1)
            gate.open("d1")
            assert (await client.reply()).status == 200
            nursery.cancel_scope.cancel()
        await client.stream.aclose()


class SlowReader(ScriptedWorker):
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
    """Gives connections to workers a small send buffer. Returns the connections that were opened."""
    real, opened = Connection.open, []

    async def open_connection(*args, **kwargs):
        connection = await real(*args, **kwargs)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        opened.append(connection)
        return connection

    monkeypatch.setattr(Connection, "open", open_connection)
    return opened


def has_no_failures(harness, scripted_worker: ScriptedWorker) -> bool:
    worker = harness.service.engine._module.fleet.workers[scripted_worker.name]
    return not worker.ejection.failures and worker.ejection.until <= harness.service.engine.now()


@FRONTS
@trio_test
async def test_partly_written_request_is_never_completed_after_its_client_leaves(
    front, monkeypatch
):
    worker = SlowReader("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        opened = open_with_little_room(monkeypatch)
        client = await harness.client()
        await client.send(body=b"x" * 60000, **LONG_TIMEOUT)
        await harness.wait_until(lambda: opened and opened[0].unsent)
        hang_up(client)
        [left] = harness.service.listener.clients
        await harness.wait_until(lambda: left.disconnected)
        worker.reads.set()
        await worker.ended.wait()
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert not worker.exchanges and not harness.service.worker_connections.open
        # The policy has received the outcome.
        await harness.wait_until(lambda: not harness.service.engine._events)
        assert has_no_failures(harness, worker)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200


@trio_test
async def test_client_closing_as_its_worker_reads_again_has_no_more_bytes_sent(monkeypatch):
    worker = SlowReader("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        opened = open_with_little_room(monkeypatch)
        real, raced = Connection._wait_ready, []

        async def ready(connection, wait):
            await real(connection, wait)
            if connection in opened and not raced and wait is trio.lowlevel.wait_writable:
                raced.append(connection)
                # The buffer has room for all remaining bytes.
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
                left.disconnect()  # in the event loop iteration in which the buffer has room again

        monkeypatch.setattr(Connection, "_wait_ready", ready)
        client = await harness.client()
        await client.send(body=b"x" * 60000, **LONG_TIMEOUT)
        await harness.wait_until(lambda: opened and opened[0].unsent)
        [left] = harness.service.listener.clients
        worker.reads.set()
        await worker.ended.wait()
        assert raced and not worker.exchanges
        await harness.wait_until(
            lambda: not harness.service.listener.clients and not harness.service.engine._events
        )
        assert has_no_failures(harness, worker) and not harness.service.worker_connections.open


@trio_test
async def test_completely_written_attempt_continues_after_its_client_leaves(monkeypatch):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, worker = trio.Event(), ScriptedWorker("d1", waits)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        client = await harness.client()
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(lambda: worker.exchanges)
        hang_up(client)
        [left] = harness.service.listener.clients
        await harness.wait_until(lambda: left.disconnected)
        assert len(worker.open_streams) == 1
        go_on.set()
        # The connection is kept, since its exchange was completed.
        await harness.wait_until(lambda: harness.service.worker_connections._idle.get("d1"))


@pytest.mark.parametrize("leaves", [True, False])
@trio_test
async def test_stream_whose_head_is_not_read_gets_no_attempt_after_its_reader_is_gone(
    leaves, monkeypatch
):
    """The reader disconnects while the head is written, or reads it so slowly that the send times out."""
    worker, real, writing, go_on = (
        ScriptedWorker("d1", done),
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

    async with running_service(worker, front="progress", settings=LONG_DEADLINES) as harness:
        monkeypatch.setattr(ServerClientConnection, "send", send)
        client = await harness.client()
        await client.send(**LONG_TIMEOUT)
        await writing.wait()
        [left] = harness.service.listener.clients
        request = left.request
        # The policy has chosen a worker.
        await harness.wait_until(lambda: request.choice is not None)
        if leaves:
            hang_up(client)
            await harness.wait_until(lambda: left.disconnected)
        go_on.set()
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert request.client_left
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([worker])


@FRONTS
@trio_test
async def test_client_closing_as_its_attempt_record_is_written_gets_no_attempt(front):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        assert (await harness.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200
        await harness.wait_until(lambda: harness.service.worker_connections._idle.get("d1"))
        client, recorded = await harness.client(), []

        async def record(attempt):
            if not recorded:
                hang_up(client)
            recorded.append(attempt)
            return True

        harness.service.worker_client.record_attempt = record
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(lambda: recorded and not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert not attempts_received([worker])


@FRONTS
@trio_test
async def test_client_that_half_closes_counts_as_disconnected(front, monkeypatch):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        await keep_connections(harness, gate, worker, 1)
        [client] = await send_requests(harness, 1)
        await harness.wait_until(lambda: gate.held == 1)
        when_connection_is_taken(monkeypatch, lambda: client.stream.socket.shutdown(socket.SHUT_WR))
        gate.open("d1")
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(worker) == []


# -- evictions and other closes by the listener


@trio_test
async def test_eviction_skips_a_kept_connection_with_an_unread_request():
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        one, other = await harness.client(), await harness.client()
        for client, id in ((one, "r0"), (other, "r1")):
            assert (await client.ask(X_Request_ID=id, **LONG_TIMEOUT)).status == 200
        await harness.wait_until(
            lambda: not any(c.answering for c in harness.service.listener.clients)
        )
        # No event loop iteration between the request's arrival and the eviction, so it is still unread.
        one.stream.socket._sock.send(raw_request("r2"))
        assert harness.service.listener._evict()
        assert (await one.reply()).status == 200
        # The other client has been idle for a shorter time, but has sent no request.
        assert await other.stream.receive_some() == b""


@trio_test
async def test_eviction_skips_a_new_connection_with_an_unread_request(monkeypatch):
    # New clients can be evicted at once.
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_SECONDS", -1.0)
    async with running_service(ScriptedWorker("d1", done), settings=LONG_DEADLINES) as harness:
        one, other = await harness.client(), await harness.client()
        await harness.wait_until(lambda: len(harness.service.listener.clients) == 2)
        one.stream.socket._sock.send(raw_request("r2"))
        assert harness.service.listener._evict() and not harness.service.listener._evict()
        assert (await one.reply()).status == 200
        assert await other.stream.receive_some() == b""


def raw_request(id: str) -> bytes:
    return (
        f"POST /tour HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\n"
        f"X-Timeout-Ms: {LONG_TIMEOUT['X_Timeout_Ms']}\r\nContent-Length: 2\r\n\r\n{{}}"
    ).encode()


async def small_buffer_client(harness) -> Client:
    """Connects a client with a small receive buffer, so that most of an answer stays with the service."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect(harness.service.listener.address)
    return Client(trio.SocketStream(sock))


async def read_to_end(client: Client) -> bytes:
    """Reads until the end of the stream. A reset raises an exception."""
    received = b""
    while data := await client.stream.receive_some():
        received += data
    return received


def when_reply_is_sent(monkeypatch, act) -> trio.Event:
    """Calls `act` after the first reply was written, before the listener continues."""
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


@trio_test
async def test_in_a_flood_an_answer_survives_further_input_of_its_client(monkeypatch):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    async with running_service(
        ScriptedWorker("d1", long_answer), settings=LONG_DEADLINES
    ) as harness:
        # More than half of the client limit is used, which counts as a flood.
        harness.service.listener.limit(1)
        # The drain makes this the last answer on its connection.
        harness.service.run_state.closing_connections = True
        client = await small_buffer_client(harness)
        sent = when_reply_is_sent(monkeypatch, lambda: None)
        await client.send(**LONG_TIMEOUT)
        await sent.wait()
        await trio.testing.wait_all_tasks_blocked()  # by now the connection would have been closed
        client.stream.socket._sock.send(raw_request("r2"))
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (200, len(LONG_RESULT))
        assert await client.stream.receive_some() == b""
        await client.stream.aclose()


@trio_test
async def test_in_a_flood_unread_input_after_a_bad_request_resets_no_answer(monkeypatch):
    async with running_service(
        ScriptedWorker("d1", long_answer), settings=LONG_DEADLINES
    ) as harness:
        harness.service.listener.limit(1)
        client = await small_buffer_client(harness)
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(
            lambda: any(
                c.has_sent_request and not c.answering for c in harness.service.listener.clients
            )
        )
        when_reply_is_sent(monkeypatch, lambda: client.stream.socket._sock.send(b"x" * 30000))
        await client.stream.send_all(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
        await harness.wait_until(lambda: not harness.service.listener.clients)
        received = await read_to_end(client)
        assert received.count(LONG_RESULT.encode()) == 1 and received.count(b"HTTP/1.1 404 ") == 1


@trio_test
async def test_internal_error_is_answered_with_500_despite_further_input(monkeypatch):
    async with running_service(ScriptedWorker("d1", done), settings=LONG_DEADLINES) as harness:
        monkeypatch.setattr(harness.service.front, "respond", None)
        client = await harness.client()
        when_reply_is_sent(monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2")))
        assert (await client.ask(**LONG_TIMEOUT)).status == 500
        assert await client.stream.receive_some() == b""


@trio_test
async def test_eviction_skips_a_client_that_has_not_read_all_of_its_answer(monkeypatch):
    worker = ScriptedWorker("d1", long_answer)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        client = await small_buffer_client(harness)
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(
            lambda: any(
                c.has_sent_request and not c.answering for c in harness.service.listener.clients
            )
        )
        harness.service.listener._evict()  # this client is the only candidate
        # The client's next request crosses the eviction.
        client.stream.socket._sock.send(raw_request("r2"))
        assert len((await client.reply()).body) == len(LONG_RESULT)
        assert (await client.event()).status_code == 200
        assert [e.id for e in worker.exchanges] == ["r1", "r2"]
        await client.stream.aclose()


@mock_clock_test
async def test_client_that_never_reads_its_answer_is_evicted_after_the_send_timeout(monkeypatch):
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_SECONDS", 0.3)
    async with running_service(
        ScriptedWorker("d1", long_answer), settings=LONG_DEADLINES
    ) as harness:
        client = await small_buffer_client(harness)
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(
            lambda: any(
                c.has_sent_request and not c.answering for c in harness.service.listener.clients
            )
        )
        await harness.wait_until(harness.service.listener._evict)
        await client.stream.aclose()


# -- drain and shutdown


def when_idle_is_checked(monkeypatch, act) -> None:
    """Calls `act` between the first check of an idle connection and the decision based on it."""
    real, checked = Connection.check_idle, []

    def check_idle(connection):
        state = real(connection)
        if not checked:
            checked.append(connection)
            act()
        return state

    monkeypatch.setattr(Connection, "check_idle", check_idle)


def restart(harness) -> None:
    harness.service.run_state.closing_connections = True
    harness.service.listener.close()


def release(harness) -> None:
    harness.service.listener.close_idle(0.0)


@pytest.mark.parametrize("close_idle", [restart, release])
@trio_test
async def test_request_that_crosses_the_close_of_an_idle_connection_is_not_served_and_resets_no_answer(
    close_idle, monkeypatch
):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    worker = ScriptedWorker("d1", long_answer)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        client = await small_buffer_client(harness)
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(
            lambda: any(
                c.has_sent_request and not c.answering for c in harness.service.listener.clients
            )
        )
        when_idle_is_checked(
            monkeypatch, lambda: client.stream.socket._sock.send(raw_request("r2"))
        )
        # Most of the answer is still unsent, and the next request has just arrived.
        close_idle(harness)
        await trio.testing.wait_all_tasks_blocked()
        reply = await client.reply()
        assert (reply.status, len(reply.body)) == (200, len(LONG_RESULT))
        assert await read_to_end(client) == b""
        await client.stream.aclose()
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert [e.id for e in worker.exchanges] == ["r1"]


@trio_test
async def test_answer_written_as_a_drain_closes_survives_the_next_request(monkeypatch):
    monkeypatch.setattr(listener, "LINGER_TIMEOUT_SECONDS", 10.0)
    worker = ScriptedWorker("d1", long_answer)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        client = await small_buffer_client(harness)
        # The drain starts after the reply was written, so the reply can't carry "Connection: close".
        sent = when_reply_is_sent(monkeypatch, lambda: restart(harness))
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
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert [e.id for e in worker.exchanges] == ["r1"]


@trio_test
async def test_request_unread_as_a_drain_closes_is_served():
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        client = await harness.client()
        assert (await client.ask(**LONG_TIMEOUT)).status == 200
        await harness.wait_until(
            lambda: any(
                c.has_sent_request and not c.answering for c in harness.service.listener.clients
            )
        )
        client.stream.socket._sock.send(raw_request("r2"))
        restart(harness)
        reply = await client.reply()
        assert (reply.status, reply.headers["connection"]) == (200, "close")
        assert [e.id for e in worker.exchanges] == ["r1", "r2"]


PARTIAL_REQUEST = raw_request("half")[:60]


@mock_clock_test
async def test_partial_request_completed_before_the_drain_deadline_is_served():
    worker = ScriptedWorker("d1", done)
    async with running_service(
        worker, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as harness:
        client = await harness.client()
        await client.stream.send_all(PARTIAL_REQUEST)
        await harness.wait_until(
            lambda: any(c.first_byte for c in harness.service.listener.clients)
        )
        harness.nursery.start_soon(harness.service.drain)
        await harness.wait_until(lambda: harness.service.listener.stopping)
        await client.stream.send_all(raw_request("half")[60:])
        received = await read_to_end(client)
        assert received.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in received
        await harness.ended.wait()


@pytest.mark.parametrize("read", [True, False])
@mock_clock_test
async def test_partial_request_does_not_extend_a_drain_beyond_its_grace(read):
    async with running_service(
        ScriptedWorker("d1", done),
        settings=LONG_DEADLINES,
        timing={"linger_ms": 50, "grace_ms": 1400},
    ) as harness:
        client = await harness.client()
        await harness.wait_until(lambda: harness.service.listener.clients)
        began = trio.current_time()
        harness.nursery.start_soon(harness.service.drain)
        if read:
            await harness.wait_until(lambda: not harness.service.listener.accepting)
            await client.stream.send_all(PARTIAL_REQUEST)
        else:  # the rest arrives in the event loop iteration of the close
            real = harness.service.listener.close

            def closes():
                client.stream.socket._sock.send(PARTIAL_REQUEST)
                real()

            harness.service.listener.close = closes
        await harness.ended.wait()
        assert trio.current_time() - began < 1.4


@mock_clock_test
async def test_answer_at_the_end_of_the_grace_leaves_time_for_the_exit():
    # Guards against SIGKILL at the end of the grace while stores are being closed: the client stays connected
    # after its answer.
    async def hangs(exchange):
        await trio.sleep_forever()

    worker = ScriptedWorker("d1", hangs)
    async with running_service(
        worker, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as harness:
        client = await harness.client()
        await client.stream.send_all(raw_request("waits"))
        await harness.wait_until(lambda: worker.exchanges)
        began = trio.current_time()
        harness.nursery.start_soon(harness.service.drain)
        assert (await client.stream.receive_some()).startswith(b"HTTP/1.1 502 ")
        assert trio.current_time() - began > 0.9  # the shutdown waited for the request
        await harness.ended.wait()
        assert trio.current_time() - began < 1.4 - 0.15


@mock_clock_test
async def test_an_attempt_whose_client_has_left_does_not_extend_a_drain_beyond_its_grace():
    """Guards against a process that waits for a worker's answer which nobody is owed, until SIGKILL."""
    worker = ScriptedWorker("d1", hang)
    async with running_service(
        worker, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as harness:
        client = await harness.client()
        await client.stream.send_all(raw_request("leaves"))
        await harness.wait_until(lambda: worker.exchanges)
        await client.stream.aclose()
        await harness.wait_until(lambda: not harness.service.engine.pending)
        began = trio.current_time()
        harness.nursery.start_soon(harness.service.drain)
        await harness.ended.wait()
        assert trio.current_time() - began < 1.4 - 0.15


@mock_clock_test
async def test_request_completed_after_the_drain_deadline_is_not_accepted(monkeypatch):
    worker = ScriptedWorker("d1", done)
    async with running_service(
        worker, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as harness:
        real = harness.service.engine.fail_all

        def gives_up():
            real()
            client.stream.socket._sock.send(raw_request("half")[60:])

        monkeypatch.setattr(harness.service.engine, "fail_all", gives_up)
        held = Gate(harness, monkeypatch)  # keeps a request open at the drain deadline
        client, other = await harness.client(), await harness.client()
        harness.nursery.start_soon(harness.service.drain)
        await harness.wait_until(lambda: not harness.service.listener.accepting)
        await client.stream.send_all(PARTIAL_REQUEST)
        await other.send(X_Request_ID="r2", X_Timeout_Ms="15000")
        await harness.wait_until(lambda: held.held == 1)
        assert (await other.reply()).status == 502
        with suppress(trio.BrokenResourceError):
            assert await client.stream.receive_some() == b""
        await harness.ended.wait()
        assert not worker.exchanges


@FRONTS
@trio_test
async def test_simultaneous_and_repeated_signals_end_the_process_once_and_lose_no_answer(front):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, worker = trio.Event(), ScriptedWorker("d1", waits)
    previous = {
        number: signal.signal(number, lambda *_: None) for number in (signal.SIGTERM, signal.SIGHUP)
    }
    try:
        async with running_service(
            worker,
            front=front,
            settings=LONG_DEADLINES,
            signals=True,
            timing={"linger_ms": 50, "grace_ms": 4000},
        ) as harness:
            client = await harness.client()
            await client.send(**LONG_TIMEOUT)
            await harness.wait_until(lambda: worker.exchanges)
            harness.raw["timing"] = {"linger_ms": 60, "grace_ms": 4000}
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                os.kill(os.getpid(), number)  # no event loop iteration between the signals
            await harness.wait_until(
                lambda: (
                    harness.service.run_state.draining and harness.service.config.linger_ms == 60
                )
            )
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            await harness.wait_until(lambda: not harness.service.listener.accepting)
            os.kill(os.getpid(), signal.SIGTERM)
            await trio.testing.wait_all_tasks_blocked()
            go_on.set()
            assert (await client.reply()).status == 200
            await client.stream.aclose()
            await harness.ended.wait()
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@trio_test
async def test_repeated_signal_during_the_final_close_does_not_kill_the_process():
    stray = []
    previous = {
        number: signal.signal(number, lambda number, _: stray.append(number))
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        async with running_service(
            ScriptedWorker("d1", done), signals=True, timing={"linger_ms": 20, "grace_ms": 1000}
        ) as harness:
            real = harness.service.worker_connections.close

            def closes():
                # The listener has finished, and all other parts of the service are about to be closed.
                os.kill(os.getpid(), signal.SIGTERM)
                os.kill(os.getpid(), signal.SIGINT)
                real()

            harness.service.worker_connections.close = closes
            os.kill(os.getpid(), signal.SIGTERM)
            await harness.ended.wait()
            assert not stray  # no signal reached the previous handlers
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@trio_test
async def test_backlog_at_the_listener_close_is_served_up_to_the_limit_and_reset_beyond():
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LONG_DEADLINES) as harness:
        late = [socket.create_connection(harness.service.listener.address) for _ in range(3)]
        for i, sock in enumerate(late):
            sock.sendall(raw_request(f"r{i}"))
        harness.service.listener.limit(2)
        # No event loop iteration since the clients connected, and no time left to wait for capacity.
        await harness.service.listener.drain_backlog(deadline=trio.current_time())
        streams = [trio.SocketStream(trio.socket.from_stdlib_socket(sock)) for sock in late]
        for stream in streams[:2]:
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200 ")
        with pytest.raises(trio.BrokenResourceError):
            await streams[2].receive_some()
        assert sorted(e.id for e in worker.exchanges) == ["r0", "r1"]
        for stream in streams:
            await stream.aclose()


# -- clients that misbehave


@pytest.mark.parametrize("raw", [1, 200])
@FRONTS
@trio_test
async def test_requests_followed_at_once_by_a_close_get_no_attempt(front, raw):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        assert (await harness.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200
        # An attempt on the idle connection is sent without waiting.
        await harness.wait_until(lambda: harness.service.worker_connections._idle.get("d1"))
        closed_clients = [
            socket.create_connection(harness.service.listener.address) for _ in range(50)
        ]
        for i, sock in enumerate(closed_clients):
            sock.sendall(raw_request(f"left{i}") * raw)
            sock.close()  # before the service has accepted any of the clients
        seen = []
        await harness.wait_until(
            lambda: (
                seen.append(len(harness.service.listener.clients)) or (max(seen) and not seen[-1])
            )
        )
        assert (await harness.ask(X_Request_ID="r2", **LONG_TIMEOUT)).status == 200
        assert received_from_leaving_clients(worker) == []


@mock_clock_test
async def test_answer_that_is_not_read_times_out_and_frees_its_place(monkeypatch):
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_SECONDS", 0.3)
    async with running_service(
        ScriptedWorker("d1", long_answer), settings=LONG_DEADLINES
    ) as harness:
        client = await small_buffer_client(harness)
        await harness.wait_until(lambda: harness.service.listener.clients)
        [served] = harness.service.listener.clients
        served.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await client.send(**LONG_TIMEOUT)
        await harness.wait_until(lambda: served.connection.unsent)
        began = trio.current_time()
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert trio.current_time() - began < 0.5
        assert not harness.service.open_requests.ids and not harness.service.engine.pending
        await client.stream.aclose()


@pytest.mark.parametrize(
    "given", ["nan", "inf", "1e3", "0x10", "+5", "1_000", "86400001", "00", ""]
)
@FRONTS
@trio_test
async def test_timeout_that_is_no_number_of_milliseconds_gets_400_before_any_attempt(front, given):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        assert (await harness.ask(X_Timeout_Ms=given)).status == 400
        assert (
            not worker.exchanges
            and not harness.service.engine.pending
            and not harness.service.open_requests.ids
        )


@pytest.mark.parametrize("framing", ["chunked", "in one piece"])
@FRONTS
@trio_test
async def test_body_over_64_kib_gets_413_with_any_framing(front, framing):
    head = raw_request("r1").partition(b"Content-Length")[0]
    if framing == "chunked":
        raw = head + b"Transfer-Encoding: chunked\r\n\r\n" + b"4000\r\n%s\r\n" % (b"x" * 0x4000) * 5
    else:
        raw = head + b"Content-Length: 81920\r\n\r\n" + b"x" * 81920
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        client = await harness.client()
        client.stream.socket._sock.send(raw)
        received = b""
        while b"\r\n\r\n" not in received:
            received += await client.stream.receive_some()
        assert received.startswith(b"HTTP/1.1 413 ") and not worker.exchanges
        await client.stream.aclose()


@FRONTS
@mock_clock_test
async def test_flood_of_partial_requests_displaces_no_working_client(front, monkeypatch):
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_SECONDS", 0.05)
    async with running_service(
        ScriptedWorker("d1", done), front=front, limits={"sockets": 80}
    ) as harness:
        flood = []
        for i in range(4):
            for _ in range(40):
                flood.append(await harness.client())
                flood[-1].stream.socket._sock.send(PARTIAL_REQUEST)
            assert (await harness.ask(X_Request_ID=f"n{i}")).status == 200
            assert len(harness.service.listener.clients) <= 22
        for client in flood:
            client.stream.socket.close()


# -- workers


async def partial_head_then_reset(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Ty")
    exchange.reset()


async def partial_line_then_reset(exchange):
    await exchange.send_message("started")
    await exchange.send_raw('{"id":"r1","from":"d","state":"do')
    exchange.reset()


async def end_without_final_message(exchange):
    await exchange.send_message("started")
    await exchange.stream.send_all(b"0\r\n\r\n")


async def partial_chunk_then_eof(exchange):
    await exchange.send_message("started")
    await exchange.stream.send_all(b"ff\r\n{")
    await exchange.stream.send_eof()
    await exchange.wait_closed()


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
@trio_test
async def test_attempt_with_an_incomplete_answer_is_retried_only_as_its_class_allows(
    front, incomplete_answer
):
    async def script(exchange):
        await (incomplete_answer if len(all_exchanges()) == 1 else done)(exchange)

    def all_exchanges():
        return [e for p in workers for e in p.exchanges]

    for target, attempts in (("/tour", 2), ("/once", 1)):
        workers = [ScriptedWorker("d1", script), ScriptedWorker("d2", script)]
        async with running_service(*workers, front=front, settings=LONG_DEADLINES) as harness:
            reply = await harness.ask(target, **LONG_TIMEOUT)
            assert len(all_exchanges()) == attempts
            if front == "progress":
                assert (b"event: served" in reply.body, b"event: failed" in reply.body) == (
                    attempts == 2,
                    attempts == 1,
                )
            else:
                assert reply.status == (200 if attempts == 2 else 502)
            # The connection that carried the incomplete answer is not kept.
            await harness.wait_until(lambda: harness.service.worker_connections.open <= 1)


async def done_twice(exchange):
    await exchange.send_message("done", result="profile")
    await exchange.send_message("done", result="another")
    await exchange.stream.send_all(b"0\r\n\r\n")


async def done_without_end(exchange):
    await exchange.send_message("done", result="profile")
    await exchange.wait_closed()


async def second_answer(exchange):
    await exchange.done()
    exchange.head_sent = False
    await exchange.done("another")


async def byte_by_byte(exchange):
    line = ujson.dumps({"id": exchange.id, "from": "d", "state": "done", "result": "profile"})
    text = f"data: {line}\n\n" if exchange.front == "progress" else line + "\n"
    for letter in text:
        await exchange.send_raw(letter)
    await exchange.stream.send_all(b"0\r\n\r\n")


@pytest.mark.parametrize(
    "unusual_answer", [done_twice, done_without_end, second_answer, byte_by_byte]
)
@FRONTS
@trio_test
async def test_input_after_a_final_message_is_never_another_requests_result(front, unusual_answer):
    worker = ScriptedWorker("d1", unusual_answer)
    async with running_service(worker, front=front, settings=LONG_DEADLINES) as harness:
        for i in range(4):
            reply = await harness.ask("/once", X_Request_ID=f"r{i}", **LONG_TIMEOUT)
            assert (
                reply.status == 200
                and reply.body.count(b"profile") == 1
                and b"another" not in reply.body
            )
        assert [e.id for e in worker.exchanges] == ["r0", "r1", "r2", "r3"]


async def reports_lost(exchange):
    await exchange.send_message("lost")


@pytest.mark.parametrize("script, served", [(done, True), (reports_lost, False)])
@FRONTS
@trio_test
async def test_answer_that_arrives_with_the_timeout_is_the_only_one(front, script, served):
    """The policy fails a request in the event loop iteration in which its attempt has ended."""
    async with running_service(
        ScriptedWorker("d1", script), front=front, settings=LONG_DEADLINES
    ) as harness:
        real, engine = harness.service.subsystem_context.run_attempt, harness.service.engine

        async def attempt(attempt):
            outcome = await real(attempt)
            engine._carry_out(api.Fail(attempt.request.key, "timeout"), engine.now())
            return outcome

        harness.service.subsystem_context.run_attempt = attempt
        client = await harness.client()
        await client.send("/once", **LONG_TIMEOUT)
        reply = await client.reply()
        if front == "progress":
            assert (reply.body.count(b"event: served"), reply.body.count(b"event: failed")) == (
                served,
                not served,
            )
        else:
            assert reply.status == (200 if served else 502)
        await harness.wait_until(
            lambda: (
                not engine.pending
                and not engine._active_attempts
                and not harness.service.open_requests.ids
            )
        )


@mock_clock_test
async def test_connect_timeout_is_retried_elsewhere_for_any_class(
    monkeypatch,
):
    workers = [ScriptedWorker("d1", done), ScriptedWorker("d2", done)]
    async with running_service(*workers, settings=LONG_DEADLINES) as harness:
        real, tried = Connection.open, []

        async def open_connection(address, *args):
            tried.append(address)
            if len(tried) == 1:
                await trio.sleep_forever()
            return await real(address, *args)

        monkeypatch.setattr(Connection, "open", open_connection)
        assert (await harness.ask("/once", **LONG_TIMEOUT)).status == 200
        assert len(tried) == 2 and tried[0] != tried[1]
        assert (
            sum(len(p.exchanges) for p in workers) == 1
            and harness.service.worker_connections.open == 1
        )


@trio_test
async def test_worker_closing_between_idle_check_and_write_fails_no_idempotent_request(
    monkeypatch,
):
    worker, other = ScriptedWorker("d1", done), ScriptedWorker("d2", done)
    async with running_service(worker, other, settings=LONG_DEADLINES) as harness:
        gate = Gate(harness, monkeypatch)
        gate.worker = "d1"
        assert (await harness.ask(X_Request_ID="r0", **LONG_TIMEOUT)).status == 200

        def closes():
            for stream in list(worker.open_streams):
                stream.socket.close()
            gate.worker = "d2"

        await harness.wait_until(lambda: harness.service.worker_connections._idle.get("d1"))
        [idle_connection] = harness.service.worker_connections._idle["d1"]
        real = Connection.check_idle

        def check_idle(connection):
            state = real(connection)
            if (
                connection is idle_connection.http.connection
                and not connection.closed
                and worker.open_streams
            ):
                closes()
                worker.open_streams.clear()
            return state

        monkeypatch.setattr(Connection, "check_idle", check_idle)
        assert (await harness.ask(X_Request_ID="r1", **LONG_TIMEOUT)).status == 200
        assert has_no_failures(harness, worker)
        assert [e.id for p in (worker, other) for e in p.exchanges] == ["r0", "r1"]


@trio_test
async def test_request_at_the_worker_connection_limit_gets_503_and_none_is_lost(monkeypatch):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, workers = trio.Event(), [ScriptedWorker("d1", waits), ScriptedWorker("d2", waits)]
    async with running_service(*workers, settings=LONG_DEADLINES) as harness:
        harness.service.worker_connections.limit(1)
        first = await harness.client()
        await first.send(**LONG_TIMEOUT)
        await harness.wait_until(lambda: any(p.exchanges for p in workers))
        # The request was not sent, so it can be rejected whatever its class.
        assert (await harness.ask("/once", X_Request_ID="r2", **LONG_TIMEOUT)).status == 503
        assert harness.service.worker_connections.open == 1
        go_on.set()
        assert (await first.reply()).status == 200
        assert (await harness.ask("/once", X_Request_ID="r3", **LONG_TIMEOUT)).status == 200
        assert harness.service.worker_connections.open == 1


@mock_clock_test
async def test_worker_that_stops_reading_until_the_deadline_never_gets_the_last_byte(monkeypatch):
    worker = SlowReader("d1", done)
    async with running_service(worker, timing={"answer_margin_ms": 400}) as harness:
        open_with_little_room(monkeypatch)
        reply = await harness.ask("/once", body=b"x" * 60000, X_Timeout_Ms="900")
        assert reply.status in (502, 503)
        worker.reads.set()
        await worker.ended.wait()
        assert not worker.exchanges


@pytest.mark.parametrize("after, again", [(1.0, True), (4.85, True), (4.92, False)])
@mock_clock_test
async def test_keyed_request_that_may_have_run_is_retried_only_within_its_window(after, again):
    async def reset_later(exchange):
        if len(workers[0].exchanges) + len(workers[1].exchanges) > 1:
            await exchange.done()
        else:
            await trio.sleep(after)
            exchange.reset()

    # Both workers are in one cell, in which keys are deduplicated.
    workers = [ScriptedWorker("d1", reset_later), ScriptedWorker("d2", reset_later)]
    # The latency objective leaves time for a second attempt in both cases.
    settings = {
        "request_classes": [{**c, "aim": 16000.0} for c in LONG_DEADLINES["request_classes"]]
    }
    async with running_service(*workers, settings=settings) as harness:
        reply = await harness.ask("/save", Idempotency_Key="k1", **LONG_TIMEOUT)
        # 502 and not 503, which would state that the request never ran.
        assert reply.status == (200 if again else 502)
        assert attempts_received(workers) == (2 if again else 1)


@pytest.mark.parametrize("known", [True, False])
@trio_test
async def test_sigterm_while_discovery_is_silent_ends_the_process_normally(known, tmp_path):
    async def silent(exchange):
        await exchange.wait_closed()

    worker = ScriptedWorker("d1", done)
    async with trio.open_nursery() as nursery:
        await nursery.start(worker.serve)
        discovery = Discovery([worker])
        config = tmp_path / "config.json"
        raw = {
            "listen": "127.0.0.1:0",
            "discovery": await discovery.serve(nursery),
            "settings": SETTINGS,
        }
        if known:
            raw["known"] = {"version": 1, "full": True, "servers": [worker.entry()]}
        config.write_text(ujson.dumps(raw))
        discovery.server.script = silent
        async with program(nursery, config) as running:
            while not discovery.server.exchanges:
                await trio.sleep(0.005)
            # A request from before the signal still gets its answer.
            reply = await running.ask(X_Request_ID="r1")
            assert reply.status == (200 if known else 503)
            running.process.terminate()
            assert await running.process.wait() == 0
            assert any("shutdown_complete" in line for line in running.lines)
        nursery.cancel_scope.cancel()


@mock_clock_test
async def test_repeated_answer_without_an_id_is_not_taken_for_the_next_attempts_answer():
    async def answers_twice(exchange):
        if exchange.number:
            await trio.sleep(0.1)
            await exchange.done()
            return
        await exchange.send_status(503, "X-Not-Processed: 1")
        await trio.sleep(0.04)  # the next attempt is running by then
        await exchange.send_status(503, "X-Not-Processed: 1")

    class ConcurrentReader(ScriptedWorker):
        async def _converse(self, stream):
            """Reads the next request while the script runs, as a worker that sends an answer twice does."""
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

    worker = ConcurrentReader("d1", done)
    # These settings make the next attempt follow soon.
    settings = {"specifics": {"tells_start": True, "progress": 0.0}}
    async with running_service(worker, settings=settings) as harness:
        assert (await harness.ask("/once")).status == 200
        assert attempts_received([worker]) == 2  # one attempt was rejected, one was served
