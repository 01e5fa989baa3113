"""Transient errors of socket calls, such as a lack of memory, lose no answer and blame no worker."""

import errno
import os

import pytest
import trio
from helper import ScriptedWorker, done, mock_clock_test, running_service

from yewrill.net import connection
from yewrill.net.connection import Connection, Retries

CLIENTS = 20


class FaultySocket:
    """A socket whose named calls fail while `failing()` returns true."""

    def __init__(self, sock, calls, error, failing):
        self._sock = sock
        for name in calls:
            setattr(self, name, self._faulty(getattr(sock, name), error, failing))

    def __getattr__(self, name):
        return getattr(self._sock, name)

    @staticmethod
    def _faulty(real, error, failing):
        def call(*args):
            if failing():
                raise OSError(error, os.strerror(error))
            return real(*args)

        return call


@pytest.fixture
def faults(monkeypatch):
    """A list of (calls, errno, end time): connections opened after an entry was added fail accordingly."""
    current = []
    real = Connection.__init__

    def init(self, sock, *args, **kwargs):
        real(self, sock, *args, **kwargs)
        for calls, error, until in current:
            self.sock = FaultySocket(
                self.sock, calls, error, lambda until=until: trio.current_time() < until
            )

    monkeypatch.setattr(Connection, "__init__", init)
    return current


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR])
@pytest.mark.parametrize("calls", [("recv_into",), ("send",), ("recv", "recv_into", "send")])
@mock_clock_test
async def test_socket_calls_that_fail_briefly_lose_no_answer(calls, error, faults):
    async with running_service(ScriptedWorker("d1", done), ScriptedWorker("d2", done)) as harness:
        before = Retries.total
        faults.append((calls, error, trio.current_time() + 0.1))
        clients = [await harness.client() for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            await client.send(X_Request_ID=f"r{number}")
        assert [(await client.reply()).status for client in clients] == [200] * CLIENTS
        assert Retries.total > before


@mock_clock_test
async def test_socket_call_that_keeps_failing_closes_the_connection_in_time(faults):
    async with running_service(ScriptedWorker("d1", done)) as harness:
        faults.append((("recv_into",), errno.ENOBUFS, trio.current_time() + 60.0))
        client = await harness.client()
        began = trio.current_time()
        await client.send(X_Request_ID="r")
        await harness.wait_until(lambda: len(harness.service.listener.clients) == 1)
        await harness.wait_until(lambda: not harness.service.listener.clients)
        assert trio.current_time() - began < connection.MAX_RETRY_SECONDS + 0.5


@pytest.mark.parametrize("error", [errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.EAGAIN])
@mock_clock_test
async def test_connect_that_fails_for_a_local_reason_ejects_no_worker(error, faults):
    async with running_service(ScriptedWorker("d1", done)) as harness:
        faults.append((("connect",), error, trio.current_time() + 0.02))
        statuses = [(await harness.ask(X_Request_ID=f"r{number}")).status for number in range(3)]
        assert set(statuses) <= {200, 503}
        assert not harness.service.engine.ejected()


def fail_waits(monkeypatch, name, error, times=3):
    """Makes a wait function of the event loop fail `times` times, as epoll_ctl may."""
    real, failed = getattr(trio.lowlevel, name), []

    async def wait(sock):
        if len(failed) < times:
            failed.append(sock)
            raise OSError(error, os.strerror(error))
        await real(sock)

    monkeypatch.setattr(trio.lowlevel, name, wait)
    return failed


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOSPC])
@mock_clock_test
async def test_failing_wait_for_a_socket_ends_neither_process_nor_request(error, monkeypatch):
    async with running_service(ScriptedWorker("d1", done)) as harness:
        client = await harness.client()
        await harness.wait_until(lambda: len(harness.service.listener.clients) == 1)
        failed = fail_waits(monkeypatch, "wait_readable", error, times=4)
        await client.send(X_Request_ID="r1")
        assert (await client.reply()).status == 200
        assert (await harness.ask(X_Request_ID="r2")).status == 200
        assert len(failed) == 4 and not harness.ended.is_set()


@mock_clock_test
async def test_exception_during_drain_leaves_no_request_unanswered(monkeypatch, caplog):
    gate = trio.Event()

    async def waits(exchange):
        await gate.wait()
        await exchange.done()

    def faulty(*args, **kwargs):
        raise RuntimeError("a bug for the test")

    worker = ScriptedWorker("d1", waits)
    async with running_service(worker, timing={"linger_ms": 50, "grace_ms": 2000}) as harness:
        client = await harness.client()
        await client.send(X_Request_ID="r1")
        await harness.wait_until(lambda: worker.exchanges)
        monkeypatch.setattr(harness.service.listener, "drain_backlog", faulty)
        harness.service.begin_drain()
        await harness.wait_until(lambda: "shutdown_raised" in caplog.text)
        gate.set()
        assert (await client.reply()).status == 200
        await harness.ended.wait()
