"""The progress frontend: server-sent events with exactly one final event for each request."""

import random
import socket

import pytest
import trio
import ujson
from helper import ScriptedWorker, done, hang, mock_clock_test, running_service, trio_test

from yewrill.dispatch.request import Attempt, Request
from yewrill.frontends.progress import EventStreamParser, _ProgressBuffer, encode_event
from yewrill.net import client_connection
from yewrill.net.worker_protocol import MalformedResponse

FINAL = {"served", "refused", "failed"}


async def read_stream(client):
    """Reads a reply to the end of its stream. Returns the reply and its events."""
    reply = await client.reply()
    return reply, EventStreamParser().feed(reply.body)


async def ask(harness, **given):
    client = await harness.client()
    try:
        await client.send(**given)
        reply, events = await read_stream(client)
        assert await client.stream.receive_some() == b""  # nothing follows the final event
        return reply, events
    finally:
        await client.stream.aclose()


async def reports_then_waits(exchange):
    await exchange.send_message("started")
    await exchange.send_message("running", share=0.4)
    exchange.seen = trio.Event()
    await exchange.seen.wait()
    await exchange.done({"climb": 812})


@trio_test
async def test_progress_is_forwarded_immediately_and_the_answer_is_the_last_event():
    worker = ScriptedWorker("d1", reports_then_waits)
    async with running_service(worker, front="progress") as harness:
        client = await harness.client()
        await client.send()
        head = await client.event()
        assert (head.status_code, dict(head.headers)[b"content-type"]) == (
            200,
            b"text/event-stream",
        )
        parser, events = EventStreamParser(), []
        while not events:
            events += parser.feed(bytes((await client.event()).data))
        assert (events[0].type, ujson.loads(events[0].data)) == (
            "progress",
            {"id": "r1", "attempt": 0, "share": 0.4},
        )
        worker.exchanges[0].seen.set()
        while len(events) < 2:
            events += parser.feed(bytes((await client.event()).data))
        assert (events[1].type, ujson.loads(events[1].data)["result"]) == ("served", {"climb": 812})
        assert worker.exchanges[0].headers["accept"] == "text/event-stream"


def reset_first(then):
    """Returns a script whose first attempt on any worker reports progress and is reset; others run `then`."""

    async def script(exchange):
        if script.first:
            script.first = False
            await exchange.send_message("running", share=0.9)
            await script.passed.wait()
            exchange.reset()
        else:
            await then(exchange)

    script.first, script.passed = True, trio.Event()
    return script


@pytest.mark.parametrize("target, final", [("/tour", "served"), ("/once", "failed")])
@trio_test
async def test_worker_reset_during_stream_is_retried_only_as_the_class_allows(target, final):
    script = reset_first(done)
    workers = [ScriptedWorker("d1", script), ScriptedWorker("d2", script)]
    async with running_service(*workers, front="progress") as harness:
        script.passed.set()
        reply, events = await ask(harness, target=target)
        assert [e.type for e in events if e.type in FINAL] == [final] and events[-1].type == final
        assert sum(len(p.exchanges) for p in workers) == (2 if final == "served" else 1)


@trio_test
async def test_client_that_leaves_while_a_retry_is_pending_stops_the_retry():
    script = reset_first(done)
    workers = [ScriptedWorker("d1", script), ScriptedWorker("d2", script)]
    async with running_service(*workers, front="progress") as harness:
        client = await harness.client()
        await client.send()
        await harness.wait_until(lambda: any(p.exchanges for p in workers))
        # The retry finds no worker, so it stays pending until its client has left.
        harness.discovery.publish(*({**p.entry(), "state": "DRAINING"} for p in workers))
        await harness.wait_until(lambda: harness.service.endpoints.version == 2)
        script.passed.set()
        await harness.wait_until(lambda: not any(p.open_streams for p in workers))
        await client.stream.aclose()
        await harness.wait_until(lambda: not harness.service.listener.clients)
        harness.discovery.publish(*(p.entry() for p in workers))
        await harness.wait_until(lambda: harness.service.endpoints.version == 3)
        reply, events = await ask(harness, X_Request_ID="r2")
        assert events[-1].type == "served"
        assert [e.id for p in workers for e in p.exchanges if e.id == "r1"] == ["r1"]


@mock_clock_test
async def test_deadline_applies_while_progress_is_reported():
    async def reports_progress_forever(exchange):
        while True:
            await exchange.send_message("running", share=0.1)
            await trio.sleep(0.01)

    async with running_service(
        ScriptedWorker("d1", reports_progress_forever),
        front="progress",
        timing={"answer_margin_ms": 400},
    ) as harness:
        began = trio.current_time()
        reply, events = await ask(harness, X_Timeout_Ms="900")
        assert trio.current_time() - began < 0.9
        assert events[-1].type == "failed" and len(events) > 2
        assert [e.type for e in events[:-1]] == ["progress"] * (len(events) - 1)


@trio_test
async def test_refused_event_states_retry_after():
    async with running_service(front="progress") as harness:
        reply, events = await ask(harness)
        assert [e.type for e in events] == ["refused"]
        assert ujson.loads(events[0].data) == {"id": "r1", "retry_after": 2.0}


@trio_test
async def test_worker_answer_that_is_no_stream_fails_that_attempt_only():
    async def plain(exchange):
        exchange.front = "platform"
        await exchange.done()

    script_calls = []

    async def script(exchange):
        script_calls.append(exchange)
        await (plain if len(script_calls) == 1 else done)(exchange)

    async with running_service(
        ScriptedWorker("d1", script), ScriptedWorker("d2", script), front="progress"
    ) as harness:
        reply, events = await ask(harness)
        assert events[-1].type == "served" and len(script_calls) == 2


@trio_test
async def test_reconnecting_reader_gets_204_and_bad_request_gets_no_stream():
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, front="progress") as harness:
        assert (await harness.ask(Last_Event_ID="3")).status == 204
        assert (await harness.ask(X_Timeout_Ms="x")).status == 400
        assert not worker.exchanges


@trio_test
async def test_slow_reader_is_disconnected_and_uses_bounded_memory(monkeypatch):
    monkeypatch.setattr(client_connection, "SEND_TIMEOUT_SECONDS", 0.3)

    async def sends_progress_forever(exchange):
        while True:
            await exchange.send_message("running", share=0.1)

    async with running_service(
        ScriptedWorker("d1", sends_progress_forever), front="progress"
    ) as harness:
        client = await harness.client()
        await harness.wait_until(lambda: harness.service.listener.clients)
        served_client = next(iter(harness.service.listener.clients))
        # Small kernel buffers and a client that never reads: the output stays in this process.
        served_client.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await client.send(X_Timeout_Ms="15000")
        await harness.wait_until(lambda: served_client.request is not None)
        request = served_client.request
        await harness.wait_until(lambda: served_client.disconnected)
        assert request.client_left and harness.service.engine.now() < request.deadline - 5000.0
        assert 0 < served_client.connection.unsent <= 8192
        await client.stream.aclose()


@trio_test
async def test_while_draining_new_streams_get_503_and_open_ones_their_final_event():
    worker = ScriptedWorker("d1", reports_then_waits)
    async with running_service(
        worker, front="progress", timing={"linger_ms": 100, "grace_ms": 1000}
    ) as harness:
        client = await harness.client()
        await client.send()
        await harness.wait_until(lambda: worker.exchanges and hasattr(worker.exchanges[0], "seen"))
        harness.nursery.start_soon(harness.service.drain)
        await harness.wait_until(lambda: harness.service.run_state.draining)
        assert (await harness.ask(X_Request_ID="r2")).status == 503
        worker.exchanges[0].seen.set()
        reply, events = await read_stream(client)
        assert events[-1].type == "served"
        await harness.ended.wait()
        assert await client.stream.receive_some() == b""


@trio_test
async def test_thousands_of_streams_get_one_final_event_each_and_none_after_the_drain():
    rng = random.Random(7)
    total, finals, left, rejected_while_draining, ended = 2400, [], 0, 0, 0

    async def mixed_outcomes(exchange):
        """Some attempts are reset during the stream, some are returned, some fail; most are served."""
        draw = rng.random()
        if draw < 0.8:
            await exchange.send_message("running", share=0.5)
        if draw < 0.15:
            exchange.reset()
        elif draw < 0.2:
            await exchange.send_message("returned")
        elif draw < 0.25:
            await exchange.send_message("failed")
        else:
            await exchange.done()

    async def run_client(harness, number, slots):
        nonlocal left, rejected_while_draining
        try:
            client = await harness.client()
            try:
                await client.send(
                    rng.choice(("/tour", "/save", "/once")), X_Request_ID=f"r{number}"
                )
                if rng.random() < 0.1:
                    left += 1
                    return
                reply, events = await read_stream(client)
                if reply.status == 503:
                    rejected_while_draining += 1
                    return
                assert reply.status == 200 and not harness.ended.is_set()
                assert {ujson.loads(e.data)["id"] for e in events} == {f"r{number}"}
                assert [e.type in FINAL for e in events] == [False] * (len(events) - 1) + [True]
                assert await client.stream.receive_some() == b""
                finals.append(events[-1].type)
            finally:
                await trio.aclose_forcefully(client.stream)
        finally:
            slots.release()

    workers = [ScriptedWorker(f"d{i}", mixed_outcomes, cell=i % 2) for i in range(8)]
    async with running_service(*workers, front="progress", timing={"linger_ms": 1000}) as harness:
        slots = trio.Semaphore(40)
        # Whether any of the many streams is refused is random, so the first stream finds no running worker.
        harness.discovery.publish(*({**p.entry(), "state": "DRAINING"} for p in workers))
        await harness.wait_until(lambda: harness.service.endpoints.version == 2)
        reply, events = await ask(harness, X_Request_ID="r0")
        assert [e.type for e in events] == ["refused"]
        finals.append(events[-1].type)
        harness.discovery.publish(*(p.entry() for p in workers))
        await harness.wait_until(lambda: harness.service.endpoints.version == 3)
        async with trio.open_nursery() as nursery:
            for number in range(1, total):
                await slots.acquire()
                nursery.start_soon(run_client, harness, number, slots)
                if number == total - 20:
                    harness.nursery.start_soon(harness.service.drain)
        await harness.ended.wait()
        ended = sum(len(p.exchanges) for p in workers)
        assert not harness.service.listener.clients and harness.service.engine.pending == 0
    assert len(finals) + left + rejected_while_draining == total
    assert {"served", "failed", "refused"} <= set(finals) and left > 100
    assert ended == sum(len(p.exchanges) for p in workers)  # nothing was sent after the drain


@trio_test
async def test_progress_of_an_ended_attempt_is_dropped_and_only_the_latest_is_kept():
    request = Request("r1", 0, 0.0)
    dead, live = (Attempt(request, number, "d1", 0.0) for number in (0, 1))
    buffer = _ProgressBuffer(request)
    buffer.progress(dead, 0.9)  # progress that was not sent before its attempt ended
    request.active_attempt = live
    with trio.move_on_after(0.05) as waited:
        await buffer.next()
    assert waited.cancelled_caught
    for share in (0.1, 0.2, 0.3):
        buffer.progress(live, share)
    assert await buffer.next() == (1, 0.3)
    buffer.progress(live, 0.4)
    buffer.end(None)
    assert await buffer.next() is None  # once there is an answer, no more progress is sent


def test_event_stream_is_encoded_and_parsed_as_specified():
    text = (
        '\ufeff: a comment\r\nevent: progress\rid: 4\r\ndata:{"a":\ndata: "ü"}\n\n'
        "retry: 10\nodd: field\ndata\n\nevent: never\n\ndata: cut off\n"
    ).encode()
    whole = EventStreamParser().feed(text)
    assert [(e.type, e.data, e.id) for e in whole] == [
        ("progress", '{"a":\n"ü"}', "4"),
        ("message", "", "4"),
    ]
    pieces = EventStreamParser()
    assert [e for i in range(len(text)) for e in pieces.feed(text[i : i + 1])] == whole
    data = {"result": "a\r\nevent: served\n\n/", "more": [1.5]}
    [event] = EventStreamParser().feed(encode_event("served", data, "1"))
    assert (event.type, ujson.loads(event.data), event.id) == ("served", data, "1")
    for flood in (b"data: " + b"x" * 70000, b"data: x\n" * 40000):
        with pytest.raises(MalformedResponse):
            EventStreamParser().feed(flood)


@trio_test
async def test_hanging_stream_without_progress_fails_before_the_client_timeout():
    async with running_service(
        ScriptedWorker("d1", hang), front="progress", timing={"answer_margin_ms": 400}
    ) as harness:
        reply, events = await ask(harness, target="/save", X_Timeout_Ms="900")
        assert [e.type for e in events] == ["failed"]
