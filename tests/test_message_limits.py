"""Messages that cost more than their bytes tell are rejected before the parser builds objects of them."""

from __future__ import annotations

import random

import h11
import pytest
import trio
from helper import ScriptedWorker, done, running_service, trio_test

from yewrill.net.http import BadRequest, ClientSide, ServerSide
from yewrill.net.message_limits import MAX_EXCESS_FRAMING_BYTES, MAX_FIELDS

SHORT_FIELD = b"a:\r\n"
REQUEST_LINE = b"POST /tour HTTP/1.1\r\nHost: x\r\n"
CHUNKED = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


def pieces(data: bytes, seed: int) -> list[bytes]:
    """Splits data at random places; seed 0 keeps it whole, seed 1 takes it byte by byte."""
    if seed == 0:
        return [data]
    rng, found = random.Random(seed), []
    while data:
        size = 1 if seed == 1 else rng.randrange(1, 80)
        found.append(data[:size])
        data = data[size:]
    return found


def read_events(side: ServerSide, data: list[bytes]) -> list[object]:
    events = []
    for piece in data:
        side.feed(piece)
        while (event := side.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            events.append(event)
    return events


@pytest.mark.parametrize("seed", range(8))
def test_a_head_is_rejected_at_its_101st_field_however_it_is_split(seed):
    """Guards against heads of very short fields, which took sixty times their bytes of memory."""
    head = REQUEST_LINE + SHORT_FIELD * (MAX_FIELDS - 1) + b"\r\n"
    assert len(read_events(ServerSide(), pieces(head, seed))[0].headers) == MAX_FIELDS
    side, events = ServerSide(), []
    with pytest.raises(BadRequest) as rejected:
        events += read_events(side, pieces(REQUEST_LINE + SHORT_FIELD * MAX_FIELDS + b"\r\n", seed))
    assert rejected.value.status == 431
    assert side.parser.their_state is h11.IDLE and not events, "the parser has built an event"


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("body", (b"0\r\n", b"3\r\nabc\r\n0\r\n", b"3;x=y\r\nabc\r\n000;z=1\r\n"))
def test_trailer_fields_are_rejected_at_the_101st_however_they_are_split(body, seed):
    """Guards against the same cost behind the last chunk of a body."""
    message = CHUNKED + body + SHORT_FIELD * MAX_FIELDS + b"\r\n"
    assert len(read_events(ServerSide(), pieces(message, seed))[-1].headers) == MAX_FIELDS
    side = ServerSide()
    with pytest.raises(BadRequest) as rejected:
        read_events(side, pieces(CHUNKED + body + SHORT_FIELD * (MAX_FIELDS + 1) + b"\r\n", seed))
    assert rejected.value.status == 431
    assert side.parser.their_state is h11.SEND_BODY


@pytest.mark.parametrize("seed", range(8))
def test_lines_of_a_body_are_no_fields(seed):
    """Guards against a limit that counts what is not in a head."""
    lines = b"\r\n\n\r\n0\r\n" * 60
    body = b"%x\r\n%s\r\n" % (len(lines), lines) * 3 + b"0\r\n\r\n"
    events = read_events(ServerSide(), pieces(CHUNKED + body, seed))
    assert b"".join(bytes(e.data) for e in events if isinstance(e, h11.Data)) == lines * 3
    head = REQUEST_LINE + b"Content-Length: %d\r\n\r\n" % len(lines)
    assert isinstance(read_events(ServerSide(), pieces(head + lines, seed))[-1], h11.EndOfMessage)


@pytest.mark.parametrize("seed", range(8))
def test_data_that_arrives_after_its_chunk_header_is_no_trailer(seed):
    """Guards against taking data for the last chunk, where the chunk's header came in a read of its own."""
    data = b"0\r\n" + b"line\n" * 2 * MAX_FIELDS
    head = [CHUNKED, b"%x\r\n" % len(data)]
    events = read_events(ServerSide(), [*head, *pieces(data + b"\r\n0\r\n\r\n", seed)])
    assert b"".join(bytes(e.data) for e in events if isinstance(e, h11.Data)) == data
    assert isinstance(events[-1], h11.EndOfMessage)


@pytest.mark.parametrize("prefix", (b"", b"HTTP/1.1 100 Continue\r\na:\r\n\r\n"))
def test_a_response_is_rejected_at_its_101st_field(prefix):
    """Guards against a worker or a discovery whose heads cost what a client's may not."""

    class Peer:
        data = prefix + b"HTTP/1.1 200 OK\r\n" + SHORT_FIELD * (MAX_FIELDS + 1) + b"\r\n"

        async def receive(self) -> bytes:
            return self.data

    side = ClientSide(Peer())
    side.encode("GET", "/", [("Host", "x")])
    with pytest.raises(h11.RemoteProtocolError, match="more than 100 fields"):
        trio.run(side.response)


@trio_test
async def test_every_listener_answers_431_and_serves_the_next_client():
    """Guards against a listener, or a peer's head, that the limit does not reach."""
    head = SHORT_FIELD * (MAX_FIELDS + 2)

    async def answer(exchange) -> None:
        if exchange.id == "costly":
            await exchange.stream.send_all(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n")
        else:
            await done(exchange)

    worker = ScriptedWorker("d1", answer)
    async with running_service(worker, mgmt="127.0.0.1:0") as harness:
        for address in (harness.service.listener.address, harness.service.management.address):
            stream = await trio.open_tcp_stream(*address)
            await stream.send_all(b"POST /tour HTTP/1.1\r\n" + head)
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 431 ")
            await stream.aclose()
        assert (await harness.ask("/once", X_Request_ID="costly")).status == 502
        assert (await harness.ask(X_Request_ID="plain")).status == 200


@trio_test
async def test_discovery_whose_head_has_too_many_fields_is_asked_again():
    """Guards against a watch that ends at a head which it must not parse."""
    workers = ScriptedWorker("d1", done), ScriptedWorker("d2", done)
    async with running_service(*workers) as harness:
        discovery = harness.discovery
        sound = discovery.answer

        def costly_once(full: bool, servers: list[dict]) -> bytes:
            discovery.answer = sound
            return sound(full, servers).replace(b"\r\n", b"\r\n" + SHORT_FIELD * MAX_FIELDS, 1)

        discovery.answer = costly_once
        discovery.publish({**workers[1].entry(), "state": "DRAINING"})
        await harness.wait_until(lambda: discovery.answer is sound)
        assert harness.service.endpoints.may_send("d2")
        await harness.wait_until(lambda: not harness.service.endpoints.may_send("d2"))


def test_a_body_whose_framing_far_outweighs_its_data_is_rejected():
    """Guards against bodies in chunks of a byte, which take a parser event for each."""

    def read(chunk: bytes, count: int) -> int:
        side, received = ServerSide(), 0
        data = CHUNKED + (b"%x\r\n%s\r\n" % (len(chunk), chunk)) * count + b"0\r\n\r\n"
        for start in range(0, len(data), 1000):
            side.feed(data[start : start + 1000])
            while (event := side.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                received += len(event.data) if isinstance(event, h11.Data) else 0
                if isinstance(event, h11.EndOfMessage):
                    return received
        raise AssertionError("no end")

    assert read(b"x", MAX_EXCESS_FRAMING_BYTES // 4 - 10) == MAX_EXCESS_FRAMING_BYTES // 4 - 10
    assert read(b"x" * 8, 8000) == 64_000
    with pytest.raises(BadRequest) as rejected:
        read(b"x", 60_000)
    assert rejected.value.status == 400
