"""Connections with much input take turns at the event loop."""

from __future__ import annotations

from collections import Counter

import pytest
import trio
from helper import ScriptedWorker, done, receive_status, running_service, send_raw, trio_test

from yewrill.net import input_turns
from yewrill.net.client_connection import ClientConnection
from yewrill.net.connection import Connection
from yewrill.net.http import MeteredParser, ServerSide
from yewrill.net.input_buffer import InputBuffer
from yewrill.net.input_turns import wait_for_turn

HEAD = b"POST /tour HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Tenant-Id: acme\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Some milliseconds of work.
MAX_EVENTS_PER_ITERATION = 100


class WorkPerIteration(trio.abc.Instrument):
    """Counts calls between two looks of the event loop at the sockets."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.most: Counter[str] = Counter()

    def count(self, monkeypatch, owner: type, name: str) -> None:
        original = getattr(owner, name)

        def counted(*args, **kwargs):
            self.calls[name] += 1
            return original(*args, **kwargs)

        monkeypatch.setattr(owner, name, counted)

    def before_io_wait(self, timeout: float) -> None:
        self.most |= self.calls
        self.calls.clear()


@trio_test
async def test_a_full_listener_does_not_look_at_every_client_for_each_place(monkeypatch):
    """Guards against scans of all connections that take more time than the requests in a flood."""
    work = WorkPerIteration()
    async with running_service(ScriptedWorker("d1", done)) as harness:
        await wait_for_turn()
        async with input_turns._turn.get():  # uploads stay half read, so that none may be evicted
            upload = HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 60_000
            streams = [await send_raw(harness, upload % b"%d" % i) for i in range(20)]
            listener = harness.service.listener
            await harness.wait_until(lambda: len(listener.clients) == 20)
            await trio.sleep(0.3)  # past the age at which silent clients may be evicted
            work.count(monkeypatch, Connection, "check_idle")
            assert not any(listener._evict() for _ in range(100))
            assert work.calls["check_idle"] == len(streams)
            for stream in streams:
                await stream.aclose()


@pytest.mark.parametrize("clients", (1, 12))
@trio_test
async def test_a_body_in_tiny_chunks_takes_a_bounded_part_of_each_iteration(clients, monkeypatch):
    """Guards against one connection that holds the event loop for as long as it has input."""
    work = WorkPerIteration()
    async with running_service(ScriptedWorker("d1", done)) as harness:
        body = b"1\r\nx\r\n" * 900 + b"0\r\n\r\n"
        work.count(monkeypatch, ServerSide, "next_event")
        trio.lowlevel.add_instrument(work)
        streams = [await send_raw(harness, CHUNKED % b"%d" % i + body) for i in range(clients)]
        for stream in streams:
            assert await receive_status(stream) == b"200"
        trio.lowlevel.remove_instrument(work)
    # One message has its turn; others may begin, or end, in the same iteration.
    assert work.most["next_event"] <= MAX_EVENTS_PER_ITERATION + 4 * clients


@trio_test
async def test_a_message_that_comes_in_single_bytes_needs_few_turns(monkeypatch):
    """Guards against one iteration of the event loop for each byte, which makes everybody wait."""
    work, space = WorkPerIteration(), InputBuffer.space
    monkeypatch.setattr(InputBuffer, "space", lambda self: space(self)[:1])
    request = HEAD % b"a" + b"Content-Length: 400\r\n\r\n" + b"x" * 400
    async with running_service(ScriptedWorker("d1", done)) as harness:
        work.count(monkeypatch, ClientConnection, "wait_for_turn")
        assert await receive_status(await send_raw(harness, request)) == b"200"
    assert work.calls["wait_for_turn"] <= len(request) // input_turns.READS_PER_TURN + 4


@trio_test
async def test_input_behind_the_last_reply_is_read_in_turns(monkeypatch):
    """Guards against a client of a bad request whose further input holds the event loop."""
    work, space = WorkPerIteration(), InputBuffer.space
    async with running_service(ScriptedWorker("d1", done)) as harness:
        work.count(monkeypatch, Connection, "fill_now")
        stream = await send_raw(harness, b"no request\r\n\r\n")
        assert await stream.receive_some()
        monkeypatch.setattr(InputBuffer, "space", lambda self: space(self)[:1])
        trio.lowlevel.add_instrument(work)
        await stream.send_all(b"x" * 30_000)
        await harness.wait_until(lambda: not harness.service.listener.clients)
        trio.lowlevel.remove_instrument(work)
        await stream.aclose()
    assert 1 < work.most["fill_now"] <= 3 * input_turns.READS_PER_TURN


@trio_test
async def test_replies_to_bad_requests_take_turns(monkeypatch):
    """Guards against a flood of bad requests that keeps the event loop from all others."""
    work = WorkPerIteration()
    async with running_service(ScriptedWorker("d1", done)) as harness:
        work.count(monkeypatch, ServerSide, "encode_reply")
        trio.lowlevel.add_instrument(work)
        await wait_for_turn()
        turn = input_turns._turn.get()
        async with turn:
            streams = [await send_raw(harness, b"no request\r\n\r\n") for _ in range(50)]
            await harness.wait_until(lambda: turn.statistics().tasks_waiting == 50)
        for stream in streams:
            assert await receive_status(stream) == b"400"
        trio.lowlevel.remove_instrument(work)
    assert work.most["encode_reply"] == 1


@trio_test
async def test_a_client_that_is_evicted_in_the_queue_for_a_turn_leaves_it():
    """Guards against connections whose tasks stay although their places were given to others."""
    async with running_service(ScriptedWorker("d1", done)) as harness:
        await wait_for_turn()
        turn = input_turns._turn.get()
        async with turn:
            stream = await send_raw(harness, b"no request\r\n\r\n")
            await harness.wait_until(lambda: turn.statistics().tasks_waiting)
            next(iter(harness.service.listener.clients)).disconnect()
            await harness.wait_until(lambda: not turn.statistics().tasks_waiting)
            await harness.wait_until(lambda: not harness.service.listener.clients)
        await stream.aclose()


@trio_test
async def test_a_workers_answer_in_tiny_chunks_takes_a_bounded_part_of_each_iteration(monkeypatch):
    """Guards against a worker whose answer holds the event loop."""

    async def answer(exchange) -> None:
        text = b'{"id":"r1","from":"d","state":"done","result":"%s"}\n' % (b"y" * 800)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in text)
        await exchange.stream.send_all(head + chunks + b"0\r\n\r\n")

    work = WorkPerIteration()
    async with running_service(ScriptedWorker("d1", answer)) as harness:
        work.count(monkeypatch, MeteredParser, "next_event")
        trio.lowlevel.add_instrument(work)
        assert (await harness.ask()).body == b"y" * 800
        trio.lowlevel.remove_instrument(work)
    assert work.most["next_event"] <= MAX_EVENTS_PER_ITERATION
