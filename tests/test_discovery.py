"""The discovery watch: a change is known within 6 s, however earlier calls have failed.

The 6 s run from the time when discovery has the change and is reachable.
"""

import random
import socket

import pytest
import trio
import ujson
from helper import (
    SETTINGS,
    Client,
    Discovery,
    ScriptedWorker,
    done,
    mock_clock_test,
    running_service,
    trio_test,
)
from test_state import program

from yewrill.config.schema import TopologyNames
from yewrill.config.settings import read_settings
from yewrill.dispatch.engine import DecisionEngine
from yewrill.net import discovery as discovery_module
from yewrill.net.discovery import DiscoveryWatch
from yewrill.net.endpoint_list import EndpointList

# Dispatchers that all poll the same discovery.
LARGE_FLEET = {"instances": 200, "registry_mode": "ask"}
KNOWN_WITHIN_SECONDS = 6.0  # counted from when discovery has a change and is reachable


async def rejected(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def reset(exchange):
    exchange.reset()


async def silent(exchange):
    await exchange.wait_closed()


async def partial_answer_then_silence(exchange):
    await exchange.stream.send_all(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":')
    await exchange.wait_closed()


async def partial_answer_then_close(exchange):
    await exchange.stream.send_all(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":')
    await trio.aclose_forcefully(exchange.stream)


async def malformed_json(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]")


async def other_status(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")


FAILURES = [
    rejected,
    reset,
    silent,
    partial_answer_then_silence,
    partial_answer_then_close,
    malformed_json,
    other_status,
]


def set_draining(worker):
    """Sets a worker to draining, also in later full lists, and returns its entry."""
    worker.state = "DRAINING"
    return worker.entry()


async def begin_failure(harness, worker, failure):
    """Ends the current call and makes later ones fail. Returns discovery's healthy script."""
    healthy, harness.discovery.server.script = harness.discovery.server.script, failure
    harness.discovery.publish(worker.entry())
    calls_before = len(harness.discovery.server.exchanges)
    await harness.wait_until(lambda: len(harness.discovery.server.exchanges) > calls_before)
    return healthy


async def seconds_until_known(harness, worker) -> float:
    began = trio.current_time()
    with trio.fail_after(2 * KNOWN_WITHIN_SECONDS):
        while harness.service.endpoints.may_send(worker.name):
            await trio.sleep(0.05)
    return trio.current_time() - began


@pytest.mark.parametrize("failing_for", [0.0, 0.7, 3.3, 5.7, 9.1])
@pytest.mark.parametrize("failure", FAILURES)
@mock_clock_test
async def test_change_is_known_in_time_after_any_failure_of_earlier_calls(failure, failing_for):
    # The fleet is large enough for the longest pauses; the failure ends at different moments of the retries.
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LARGE_FLEET) as harness:
        healthy = await begin_failure(harness, worker, failure)
        await trio.sleep(failing_for)
        harness.discovery.server.script = healthy
        harness.discovery.publish(set_draining(worker), full=True)
        assert await seconds_until_known(harness, worker) < KNOWN_WITHIN_SECONDS


@mock_clock_test
async def test_silent_watch_is_reopened_in_time():
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, settings=LARGE_FLEET) as harness:
        healthy = await begin_failure(harness, worker, silent)
        # Discovery never answers the open call, but answers every later one.
        harness.discovery.server.script = healthy
        harness.discovery.publish(set_draining(worker), full=True)
        assert await seconds_until_known(harness, worker) < KNOWN_WITHIN_SECONDS


@mock_clock_test
async def test_discovery_silent_at_the_first_call_is_asked_again_in_time():
    worker = ScriptedWorker("d1", done)
    async with trio.open_nursery() as nursery:
        await nursery.start(worker.serve)
        discovery = Discovery([worker])
        address = await discovery.serve(nursery)
        healthy, discovery.server.script = discovery.server.script, silent
        host, _, port = address.partition(":")
        endpoints = EndpointList(DecisionEngine(read_settings(SETTINGS), 1), TopologyNames())
        nursery.start_soon(DiscoveryWatch((host, int(port)), endpoints, callers=200).run)
        while not discovery.server.exchanges:
            await trio.sleep(0.01)
        discovery.server.script = healthy
        began = trio.current_time()
        while not len(endpoints):
            await trio.sleep(0.01)
        assert trio.current_time() - began < KNOWN_WITHIN_SECONDS
        nursery.cancel_scope.cancel()


class FullBacklog:
    """A listening socket that accepts no connection: its backlog is full, so the kernel drops every SYN."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = self.sock.getsockname()
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def close(self) -> None:
        for sock in (*self.fillers, self.sock):
            sock.close()


@mock_clock_test
async def test_discovery_that_dropped_connects_is_reached_once_it_accepts_again(monkeypatch):
    worker = ScriptedWorker("d1", done)
    full_backlog = FullBacklog()
    opened = []

    async def connect(address, input_buffer_bytes):
        opened.append(trio.current_time())
        # The kernel retransmits a dropped SYN late: a connect begun at the full backlog never completes.
        return await real_open(
            full_backlog.address if len(opened) < 4 else address, input_buffer_bytes
        )

    async with running_service(worker, settings=LARGE_FLEET) as harness:
        real_open = discovery_module.Connection.open
        monkeypatch.setattr(discovery_module.Connection, "open", connect)
        harness.discovery.server.script = reset
        harness.discovery.publish(worker.entry())
        while len(opened) < 3:
            await trio.sleep(0.05)
        # From here on connections are accepted, but the SYN of the connect in progress was dropped.
        harness.discovery.server.script = harness.discovery.script
        harness.discovery.publish(set_draining(worker), full=True)
        assert await seconds_until_known(harness, worker) < KNOWN_WITHIN_SECONDS
        assert len(opened) == 4
    full_backlog.close()


@mock_clock_test
async def test_watch_moved_to_a_dead_address_and_back_requests_the_full_list_at_once():
    worker = ScriptedWorker("d1", done)
    full_backlog = FullBacklog()
    async with running_service(worker) as harness:
        watch = harness.service.watch
        home = watch.address
        calls = len(harness.discovery.calls)
        watch.change_address(full_backlog.address)
        await trio.sleep(1.3)
        harness.discovery.publish(set_draining(worker), full=True)
        watch.change_address(home)
        began = trio.current_time()
        await harness.wait_until(lambda: not harness.service.endpoints.may_send("d1"))
        # Stricter than the usual limit: discovery already had the change when the watch moved back.
        assert trio.current_time() - began < 4.0
        assert "from=" not in harness.discovery.calls[calls][1]
    full_backlog.close()


@mock_clock_test
async def test_new_discovery_that_rejects_the_first_call_is_not_asked_with_the_old_version():
    # Each discovery has its own version numbers. Asked for changes since a version of the old one, the new
    # one has none.
    worker = ScriptedWorker("d1", done)
    async with running_service(worker) as harness:
        for _ in range(9):
            harness.discovery.publish(worker.entry())
        await harness.wait_until(lambda: harness.service.endpoints.version == 10)
        other_discovery = Discovery([worker])
        other_discovery.version = 3
        address = await other_discovery.serve(harness.nursery)
        healthy, other_discovery.server.script = other_discovery.server.script, rejected
        harness.service.watch.change_address(("127.0.0.1", int(address.partition(":")[2])))
        await harness.wait_until(lambda: other_discovery.server.exchanges)
        other_discovery.server.script = healthy
        other_discovery.publish(set_draining(worker))
        assert await seconds_until_known(harness, worker) < KNOWN_WITHIN_SECONDS


@mock_clock_test
async def test_discovery_that_restarts_its_versions_is_asked_for_the_full_list():
    worker = ScriptedWorker("d1", done)
    async with running_service(worker) as harness:
        for _ in range(9):
            harness.discovery.publish(worker.entry())
        await harness.wait_until(lambda: harness.service.endpoints.version == 10)

        async def restarted_versions(exchange):
            if "from=" in exchange.target:  # there is no newer version: answer after the hold time
                await trio.sleep(int(exchange.target.rpartition("=")[2]) / 1000.0)
                await exchange.stream.send_all(other_discovery.answer(False, []))
            else:
                await exchange.stream.send_all(other_discovery.answer(True, [set_draining(worker)]))

        other_discovery = Discovery([worker])
        other_discovery.version = 3
        harness.discovery.server.script = restarted_versions
        harness.discovery.publish(worker.entry())
        assert await seconds_until_known(harness, worker) < KNOWN_WITHIN_SECONDS
        assert harness.service.endpoints.version == 3


@mock_clock_test
async def test_full_list_in_indented_json_after_changes_is_applied():
    workers = [ScriptedWorker("d1", done), ScriptedWorker("d2", done)]
    async with running_service(*workers) as harness:
        harness.discovery.publish(set_draining(workers[0]))
        await harness.wait_until(lambda: not harness.service.endpoints.may_send("d1"))
        version, workers[0].state = harness.discovery.version + 1, "SERVING"

        async def indented(exchange):
            body = ujson.dumps(
                {"version": version, "full": True, "servers": [workers[0].entry()]}, indent=4
            ).encode()
            await exchange.stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            harness.discovery.server.script = silent

        harness.discovery.server.script = indented
        harness.discovery.publish(workers[1].entry())
        await harness.wait_until(
            lambda: (
                harness.service.endpoints.may_send("d1")
                and not harness.service.endpoints.may_send("d2")
            )
        )


@pytest.mark.parametrize("callers, a_second", [(1, 3), (40, 38), (200, 175)])
def test_rejected_fleet_spreads_its_calls_and_each_dispatcher_retries_in_time(callers, a_second):
    # Two limits are checked: the calls per second of the whole fleet, and the time until each dispatcher gets
    # an answer after its rejection, 6 s. With a fixed pause of 0.1 s each would call ten times a second.
    rngs = [random.Random(seed) for seed in range(callers)]
    calls = []
    for rng in rngs:
        at = 0.0
        for failures in range(40):
            pause = discovery_module.retry_pause(failures, callers, rng.random())
            assert (
                pause >= discovery_module.RETRY_PAUSE_SECONDS
                and pause + discovery_module.RECOVERY_TIMEOUT_SECONDS < KNOWN_WITHIN_SECONDS
            )
            calls.append(at := at + pause)
    for second in range(20):
        assert sum(second <= at < second + 1 for at in calls) <= a_second
    assert (
        discovery_module.RETRY_PAUSE_SECONDS
        + discovery_module.HOLD_MS / 1000.0
        + discovery_module.ANSWER_GRACE_SECONDS
        + discovery_module.CONNECT_TIMEOUT_SECONDS
        < KNOWN_WITHIN_SECONDS
    )


@trio_test
async def test_idle_clients_filling_the_descriptors_block_no_request_while_discovery_is_down(
    tmp_path,
):
    # The program runs under a descriptor limit, with more idle connections than descriptors: half of them are
    # kept open after a request, half have sent no request.
    workers = [ScriptedWorker("d1", done), ScriptedWorker("d2", done)]
    async with trio.open_nursery() as nursery:
        for worker in workers:
            await nursery.start(worker.serve)
        discovery = Discovery(workers[:1])
        config = tmp_path / "config.json"
        config.write_text(
            ujson.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": await discovery.serve(nursery),
                    "settings": SETTINGS,
                    "limits": {"sockets": 128},
                }
            )
        )
        async with program(nursery, config, descriptors=128) as running:
            while (await running.ask("/up", "GET", b"")).status != 200:
                await trio.sleep(0.01)
            healthy, discovery.server.script = discovery.server.script, reset
            discovery.publish(workers[0].entry())
            await running.wait_for_line("discovery_unavailable")
            address = await running.wait_for_line(r" ready .*listen=([\d.]+):(\d+)")
            idle = []
            for i in range(160):
                idle.append(Client(await trio.open_tcp_stream(address[1], int(address[2]))))
                if i % 2:
                    assert (await idle[-1].ask(X_Request_ID=f"i{i}")).status == 200
            assert (await running.ask(X_Request_ID="amid")).status == 200
            assert (await running.ask("/up", "GET", b"")).status == 200
            # Discovery is back with a change: it is applied, and the next request goes to the new worker.
            discovery.server.script = healthy
            discovery.workers = workers
            discovery.publish(set_draining(workers[0]), workers[1].entry())
            await running.wait_for_line("discovery_recovered")
            while (
                await running.ask(X_Request_ID=f"after{len(workers[1].exchanges)}")
            ).status != 200:
                await trio.sleep(0.01)
            assert workers[1].exchanges
            # No evicted client is left waiting: its connection was closed.
            for client in idle:
                if client.stream.socket.is_readable():
                    assert await client.stream.receive_some() == b""
                await client.stream.aclose()
            assert not any("worker_sockets_exhausted" in line for line in running.lines)
        nursery.cancel_scope.cancel()
