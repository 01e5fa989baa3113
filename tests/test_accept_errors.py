"""Failing calls on the listening socket: clients in the backlog still get their answer.

`accept` may fail for a while, for lack of descriptors or by network errors, also during a drain. The time
that a client spends in the backlog counts against its timeout.
"""

import errno
import os
import socket
from types import SimpleNamespace

import pytest
import trio
from helper import ScriptedWorker, done, mock_clock_test, running_service, trio_test

from yewrill.net.backlog import Backlog

WAITING_CLIENTS = 10  # clients in the backlog
MAX_FAILED_CALLS = 5000  # later calls succeed, so that the test of a loop without a pause ends


class FaultyListeningSocket:
    """A listening socket whose `accept` fails while `failing()` says so."""

    def __init__(self, sock, error, failing):
        self._sock, self._error, self._failing = sock, error, failing
        self.failed = 0

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def accept(self):
        if self._failing() and self.failed < MAX_FAILED_CALLS:
            self.failed += 1
            raise OSError(self._error, os.strerror(self._error))
        return self._sock.accept()


def fail_accepts(harness, error, failing) -> FaultyListeningSocket:
    listener = harness.service.listener
    listener.sock = FaultyListeningSocket(listener.sock, error, failing)
    return listener.sock


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ECONNABORTED, errno.EPROTO])
@mock_clock_test
async def test_drain_while_accept_fails_serves_the_backlog(error):
    worker = ScriptedWorker("d1", done)
    failing = [True]
    async with running_service(worker, timing={"linger_ms": 300, "grace_ms": 3700}) as harness:
        sock = fail_accepts(harness, error, lambda: failing)
        harness.nursery.start_soon(harness.service.drain)
        await harness.wait_until(lambda: harness.service.run_state.draining)
        clients = [await harness.client() for _ in range(WAITING_CLIENTS)]
        for number, client in enumerate(clients):
            await client.send(X_Request_ID=f"r{number}")
        began = trio.current_time()
        await harness.wait_until(lambda: trio.current_time() > began + 0.5)  # longer than linger_ms
        failing.clear()
        assert [(await client.reply()).status for client in clients] == [200] * WAITING_CLIENTS
        await harness.ended.wait()
        assert 0 < sock.failed < 100


@mock_clock_test
async def test_drain_while_accept_keeps_failing_ends_within_its_grace():
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, timing={"linger_ms": 100, "grace_ms": 1500}) as harness:
        fail_accepts(harness, errno.ENFILE, lambda: True)
        began = trio.current_time()
        harness.nursery.start_soon(harness.service.drain)
        await harness.ended.wait()
        assert trio.current_time() - began < 1.5


@pytest.mark.parametrize("error", [errno.EPROTO, errno.ECONNABORTED, errno.ENETDOWN, errno.EPERM])
@mock_clock_test
async def test_failing_accept_does_not_delay_connected_clients(error):
    worker = ScriptedWorker("d1", done)
    failing = []
    async with running_service(worker) as harness:
        sock = fail_accepts(harness, error, lambda: failing)
        connected = [await harness.client() for _ in range(5)]
        for number, client in enumerate(connected):
            assert (await client.ask(X_Request_ID=f"k{number}")).status == 200
        failing.append(True)
        waiting = await harness.client()
        await waiting.send(X_Request_ID="waits")
        began = trio.current_time()
        for tenth in range(10):
            for number, client in enumerate(connected):
                assert (await client.ask(X_Request_ID=f"a{number}")).status == 200
            await harness.wait_until(lambda t=tenth: trio.current_time() > began + 0.1 * t)
        failing.clear()
        assert (await waiting.reply()).status == 200
        assert 0 < sock.failed < 200


@trio_test
async def test_timeout_sent_to_worker_excludes_time_waited_in_backlog():
    client_timeout_ms, outage = 2500.0, 1.1
    received = {}
    failing_until = [0.0]

    async def note(exchange):
        received[exchange.id] = trio.current_time(), float(exchange.headers["x-timeout-ms"])
        await exchange.done()

    async with running_service(ScriptedWorker("d1", note), ScriptedWorker("d2", note)) as harness:
        fail_accepts(harness, errno.ENFILE, lambda: trio.current_time() < failing_until[0])
        failing_until[0] = trio.current_time() + outage
        sent = {}
        clients = [await harness.client() for _ in range(WAITING_CLIENTS)]
        for number, client in enumerate(clients):
            sent[f"r{number}"] = trio.current_time()
            await client.send(X_Request_ID=f"r{number}", X_Timeout_Ms=str(int(client_timeout_ms)))
        assert [(await client.reply()).status for client in clients] == [200] * WAITING_CLIENTS
        for id, (at, stated_ms) in received.items():
            assert at - sent[id] > outage / 2
            assert stated_ms <= client_timeout_ms - (at - sent[id]) * 1000.0 + 150.0


@mock_clock_test
async def test_backlog_known_to_be_empty_resets_the_counted_wait(monkeypatch):
    # The kernel does not report the age of the data, so only the wait in the backlog limits it.
    monkeypatch.setattr("yewrill.net.backlog.seconds_since_last_data", lambda sock: float("inf"))
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        backlog = Backlog(SimpleNamespace(sock=listening))
        backlog.note_readable()  # a client waited, and another process has accepted it
        assert not backlog.has_waiting()
        await trio.sleep(5.0)
        with socket.create_connection(listening.getsockname()):
            accepted = backlog.accept()
            assert accepted.earliest_arrival == pytest.approx(trio.current_time(), abs=0.05)
            accepted.sock.close()


@mock_clock_test
async def test_first_client_after_idle_start_counts_no_wait(monkeypatch):
    monkeypatch.setattr("yewrill.net.backlog.seconds_since_last_data", lambda sock: float("inf"))
    stated_timeouts = []

    async def note(exchange):
        stated_timeouts.append(float(exchange.headers["x-timeout-ms"]))
        await exchange.done()

    async with running_service(ScriptedWorker("d1", note)) as harness:
        await trio.sleep(10.0)
        assert (await harness.ask(X_Timeout_Ms="2000")).status == 200
        assert stated_timeouts[0] > 1900.0
