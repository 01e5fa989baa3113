"""The input that all clients' requests hold together is bounded."""

from __future__ import annotations

import gc
import sys

from helper import ScriptedWorker, done, receive_status, running_service, send_raw, trio_test
from hypothesis import given, settings
from hypothesis import strategies as st

from yewrill.net.connection import Connection
from yewrill.net.http import RequestBuilder, ServerSide
from yewrill.net.input_budget import MIN_EVICTABLE_BYTES, BudgetExhausted, InputBudget
from yewrill.service.memory_budget import BYTES_PER_CLIENT

HEAD = b"POST /tour HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Tenant-Id: acme\r\n"


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 60_000)), max_size=60))
def test_requests_never_hold_more_than_the_budget_and_the_oldest_gives_way(steps):
    """Guards against a bound for each connection that adds up to more than the process may take."""
    budget = InputBudget(100_000)
    evicted: list[int] = []
    held = [budget.request(lambda i=i: evicted.append(i)) for i in range(10)]
    for i, count in steps:
        before = [one.bytes for one in held]
        del evicted[:]
        try:
            held[i].add(count)
        except BudgetExhausted:
            continue
        assert 0 <= budget.held_bytes <= 100_000
        assert evicted == sorted(evicted), "an older request was passed over"
        assert all(before[one] >= MIN_EVICTABLE_BYTES for one in evicted)
    for one in held:
        one.release()
    assert budget.held_bytes == 0


@trio_test
async def test_a_stalled_upload_gives_way_to_another_request_and_gets_503():
    """Guards against clients that stop half way through large requests and fill the memory."""
    async with running_service(ScriptedWorker("d1", done)) as harness:
        budget = harness.service.listener.input_budget
        budget.max_bytes = 150_000
        upload = HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 40_000
        stalled = []
        for i in range(4):
            expected = budget.held_bytes + 40_000 if i < 3 else 3 * 40_000
            stalled.append(await send_raw(harness, upload % b"%d" % i))
            await harness.wait_until(lambda least=expected: budget.held_bytes >= least)
        assert await receive_status(stalled[0]) == b"503"
        assert (await harness.ask(X_Request_ID="other")).status == 200
        assert budget.evictions == 1
        await stalled[3].send_all(b"x" * 25_536)
        assert await receive_status(stalled[3]) == b"200"
        for stream in stalled:
            await stream.aclose()
        await harness.wait_until(lambda: budget.held_bytes == 0)


def buffer_bytes(*roots: object) -> int:
    """The size of all bytes, bytearrays and what they are viewed by, that are reachable from objects."""
    seen: dict[int, object] = {}
    found = list(roots)
    while found:
        item = found.pop()
        if id(item) not in seen and not isinstance(item, type):
            seen[id(item)] = item
            found.extend(gc.get_referents(item))
    return sum(sys.getsizeof(item) for item in seen.values() if type(item) in (bytes, bytearray))


@trio_test
async def test_connections_between_two_requests_hold_no_buffers():
    """Guards against 16 KB for each open connection, outside of the budget."""
    async with running_service(ScriptedWorker("d1", done)) as harness:
        client = await harness.client()
        assert (await client.ask(X_Request_ID="a")).status == 200
        clients = harness.service.listener.clients
        await harness.wait_until(lambda: all(client.idle for client in clients))
        connections = [
            item for item in gc.get_objects() if type(item) is Connection and not item.closed
        ]
        assert len(connections) >= 2, "one of a client and one of a worker"
        for connection in connections:
            assert buffer_bytes(connection.inbound) < 1024


def test_a_parser_does_not_keep_what_followed_a_head():
    """Guards against a second copy of the first 8 KB of a body, for as long as the connection lives."""
    http = ServerSide()
    http.feed(HEAD % b"a" + b"Content-Length: 20000\r\n\r\n" + b"x" * 8000)
    for _ in range(3):
        http.next_event()
    assert buffer_bytes(vars(http.parser)["_meter"]) < 1024


@trio_test
async def test_the_bodies_of_evicted_requests_are_freed_at_once():
    """Guards against the bodies of all requests that were evicted in one iteration of the event loop."""
    held: list[int] = []
    async with running_service(ScriptedWorker("d1", done)) as harness:
        budget = harness.service.listener.input_budget
        budget.max_bytes = 100_000
        make_room = budget._make_room

        def make_room_and_measure(*args):
            make_room(*args)
            builders = [item for item in gc.get_objects() if type(item) is RequestBuilder]
            held.append(sum(len(builder._body) for builder in builders))

        budget._make_room = make_room_and_measure
        upload = HEAD + b"Content-Length: 65536\r\n\r\n" + b"x" * 40_000
        streams = [await send_raw(harness, upload % b"%d" % i) for i in range(5)]
        await harness.wait_until(lambda: budget.evictions >= 3)
        assert max(held) <= budget.max_bytes
        for stream in streams:
            await stream.aclose()


@trio_test
async def test_the_memory_limit_bounds_the_clients_that_the_sockets_would_allow():
    """Guards against connections that together take more memory than the process may."""
    limits = {"memory_mb": 64, "sockets": 4096}
    async with running_service(ScriptedWorker("d1", done), limits=limits) as harness:
        listener = harness.service.listener
        for sockets in (None, 4000):  # at the start, and shared with another process
            if sockets is not None:
                harness.service.state_exchange._socket_budget.limit(sockets)
            assert listener._max_clients * BYTES_PER_CLIENT <= 64 * 2**20 // 8
            assert listener._max_clients > 600
