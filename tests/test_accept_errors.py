"""System calls on the listening socket that fail for a while: who waits in the backlog is owed an answer."""

import errno
import os
import socket
from types import SimpleNamespace

import pytest
import trio
from helper import Peer, done, story, timed_story, world

from yewrill.net.backlog import Backlog

WAITING = 10  # clients in the backlog
ENOUGH_CALLS = 5000  # a loop that never pauses is let go after so many, so that its test ends


class FaultyListeningSocket:
    """A listening socket whose `accept` fails while `failing()` says so."""

    def __init__(self, sock, error, failing):
        self._sock, self._error, self._failing = sock, error, failing
        self.failed = 0

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def accept(self):
        if self._failing() and self.failed < ENOUGH_CALLS:
            self.failed += 1
            raise OSError(self._error, os.strerror(self._error))
        return self._sock.accept()


def fail_accepts(w, error, failing) -> FaultyListeningSocket:
    listener = w.service.listener
    listener.sock = FaultyListeningSocket(listener.sock, error, failing)
    return listener.sock


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ECONNABORTED, errno.EPROTO])
@timed_story
async def test_a_drain_waits_for_the_backlog_while_accept_fails(error):
    peer = Peer("d1", done)
    failing = [True]
    async with world(peer, timing={"linger_ms": 300, "grace_ms": 3700}) as w:
        sock = fail_accepts(w, error, lambda: failing)
        w.nursery.start_soon(w.service.drain)
        await w.until(lambda: w.service.run_state.draining)
        clients = [await w.client() for _ in range(WAITING)]
        for number, client in enumerate(clients):
            await client.send(X_Request_ID=f"r{number}")
        began = trio.current_time()
        await w.until(lambda: trio.current_time() > began + 0.5)  # past the linger
        failing.clear()
        assert [(await client.reply()).status for client in clients] == [200] * WAITING
        await w.ended.wait()
        assert 0 < sock.failed < 100


@timed_story
async def test_a_drain_does_not_wait_for_a_backlog_beyond_its_grace():
    peer = Peer("d1", done)
    async with world(peer, timing={"linger_ms": 100, "grace_ms": 1500}) as w:
        fail_accepts(w, errno.ENFILE, lambda: True)
        began = trio.current_time()
        w.nursery.start_soon(w.service.drain)
        await w.ended.wait()
        assert trio.current_time() - began < 1.5


@pytest.mark.parametrize("error", [errno.EPROTO, errno.ECONNABORTED, errno.ENETDOWN, errno.EPERM])
@timed_story
async def test_failing_accepts_hold_up_nobody_who_is_connected(error):
    peer = Peer("d1", done)
    failing = []
    async with world(peer) as w:
        sock = fail_accepts(w, error, lambda: failing)
        kept = [await w.client() for _ in range(5)]
        for number, client in enumerate(kept):
            assert (await client.ask(X_Request_ID=f"k{number}")).status == 200
        failing.append(True)
        waiting = await w.client()
        await waiting.send(X_Request_ID="waits")
        began = trio.current_time()
        for tenth in range(10):
            for number, client in enumerate(kept):
                assert (await client.ask(X_Request_ID=f"a{number}")).status == 200
            await w.until(lambda t=tenth: trio.current_time() > began + 0.1 * t)
        failing.clear()
        assert (await waiting.reply()).status == 200
        assert 0 < sock.failed < 200


@story
async def test_a_worker_is_told_what_its_client_has_left_after_a_wait_in_the_backlog():
    patience, outage = 2500.0, 1.1
    told = {}
    until = [0.0]

    async def note(exchange):
        told[exchange.id] = trio.current_time(), float(exchange.headers["x-timeout-ms"])
        await exchange.done()

    async with world(Peer("d1", note), Peer("d2", note)) as w:
        fail_accepts(w, errno.ENFILE, lambda: trio.current_time() < until[0])
        until[0] = trio.current_time() + outage
        sent = {}
        clients = [await w.client() for _ in range(WAITING)]
        for number, client in enumerate(clients):
            sent[f"r{number}"] = trio.current_time()
            await client.send(X_Request_ID=f"r{number}", X_Timeout_Ms=str(int(patience)))
        assert [(await client.reply()).status for client in clients] == [200] * WAITING
        for id, (at, told_ms) in told.items():
            assert at - sent[id] > outage / 2
            assert told_ms <= patience - (at - sent[id]) * 1000.0 + 150.0


@timed_story
async def test_a_backlog_that_was_seen_empty_makes_nobody_look_as_if_it_had_waited(monkeypatch):
    # A system that does not tell how long data has lain: only the wait itself bounds it.
    monkeypatch.setattr("yewrill.net.backlog.seconds_since_last_data", lambda sock: float("inf"))
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        backlog = Backlog(SimpleNamespace(sock=listening))
        backlog.note_readable()  # somebody waited, and another run took them
        assert not backlog.has_waiting()
        await trio.sleep(5.0)
        with socket.create_connection(listening.getsockname()):
            accepted = backlog.accept()
            assert accepted.earliest_arrival == pytest.approx(trio.current_time(), abs=0.05)
            accepted.sock.close()


@timed_story
async def test_the_first_client_after_a_quiet_start_has_not_waited(monkeypatch):
    monkeypatch.setattr("yewrill.net.backlog.seconds_since_last_data", lambda sock: float("inf"))
    told = []

    async def note(exchange):
        told.append(float(exchange.headers["x-timeout-ms"]))
        await exchange.done()

    async with world(Peer("d1", note)) as w:
        await trio.sleep(10.0)
        assert (await w.ask(X_Timeout_Ms="2000")).status == 200
        assert told[0] > 1900.0
