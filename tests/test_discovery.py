"""The discovery watch: a change is known within 6 s, however earlier calls have failed.

The 6 s run from the time when discovery has the change and is reachable.
"""

import random
import socket

import pytest
import trio
import ujson
from helper import SETTINGS, Client, Discovery, Peer, done, story, timed_story, world
from test_state import program

from yewrill.config.schema import TopologyNames
from yewrill.config.settings import read_settings
from yewrill.dispatch.engine import DecisionEngine
from yewrill.net import discovery as discovery_module
from yewrill.net.discovery import DiscoveryWatch
from yewrill.net.endpoint_list import EndpointList

LARGE_FLEET = {"instances": 200, "registry_mode": "ask"}  # all poll one discovery
KNOWN_WITHIN_SECONDS = 6.0  # after discovery has a change and is reachable


async def rejected(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def reset(exchange):
    exchange.reset()


async def silent(exchange):
    await exchange.closed()


async def partial_answer_then_silence(exchange):
    await exchange.stream.send_all(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":')
    await exchange.closed()


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


def set_draining(peer):
    """Set a worker to draining, for full lists too; returns its entry."""
    peer.state = "DRAINING"
    return peer.entry()


async def begin_failure(w, peer, failure):
    """End the current call and make the following ones fail; returns discovery's healthy script."""
    healthy, w.discovery.peer.script = w.discovery.peer.script, failure
    w.discovery.tell(peer.entry())
    calls_before = len(w.discovery.peer.exchanges)
    await w.until(lambda: len(w.discovery.peer.exchanges) > calls_before)
    return healthy


async def seconds_until_known(w, peer) -> float:
    began = trio.current_time()
    with trio.fail_after(2 * KNOWN_WITHIN_SECONDS):
        while w.service.endpoints.may_send(peer.name):
            await trio.sleep(0.05)
    return trio.current_time() - began


@pytest.mark.parametrize("failing_for", [0.0, 0.7, 3.3, 5.7, 9.1])
@pytest.mark.parametrize("failure", FAILURES)
@timed_story
async def test_change_is_known_in_time_after_any_failure_of_earlier_calls(failure, failing_for):
    # The fleet is large enough for the longest pauses; the failure ends at different moments of the retries.
    peer = Peer("d1", done)
    async with world(peer, settings=LARGE_FLEET) as w:
        healthy = await begin_failure(w, peer, failure)
        await trio.sleep(failing_for)
        w.discovery.peer.script = healthy
        w.discovery.tell(set_draining(peer), full=True)
        assert await seconds_until_known(w, peer) < KNOWN_WITHIN_SECONDS


@timed_story
async def test_silent_watch_is_reopened_in_time():
    peer = Peer("d1", done)
    async with world(peer, settings=LARGE_FLEET) as w:
        healthy = await begin_failure(w, peer, silent)
        # The call that is open is never answered; every later one is.
        w.discovery.peer.script = healthy
        w.discovery.tell(set_draining(peer), full=True)
        assert await seconds_until_known(w, peer) < KNOWN_WITHIN_SECONDS


@timed_story
async def test_discovery_silent_at_the_first_call_is_asked_again_in_time():
    peer = Peer("d1", done)
    async with trio.open_nursery() as nursery:
        await nursery.start(peer.serve)
        discovery = Discovery([peer])
        address = await discovery.serve(nursery)
        healthy, discovery.peer.script = discovery.peer.script, silent
        host, _, port = address.partition(":")
        endpoints = EndpointList(DecisionEngine(read_settings(SETTINGS), 1), TopologyNames())
        nursery.start_soon(DiscoveryWatch((host, int(port)), endpoints, callers=200).run)
        while not discovery.peer.exchanges:
            await trio.sleep(0.01)
        discovery.peer.script = healthy
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


@timed_story
async def test_discovery_that_dropped_connects_is_reached_once_it_accepts_again(monkeypatch):
    peer = Peer("d1", done)
    full_backlog = FullBacklog()
    opened = []

    async def connect(address, ring_bytes):
        opened.append(trio.current_time())
        # The kernel retransmits a dropped SYN late: a connect begun at the full backlog never completes.
        return await real_open(full_backlog.address if len(opened) < 4 else address, ring_bytes)

    async with world(peer, settings=LARGE_FLEET) as w:
        real_open = discovery_module.Connection.open
        monkeypatch.setattr(discovery_module.Connection, "open", connect)
        w.discovery.peer.script = reset
        w.discovery.tell(peer.entry())
        while len(opened) < 3:
            await trio.sleep(0.05)
        # From here on connections are accepted, but the SYN of the connect in progress was dropped.
        w.discovery.peer.script = w.discovery.script
        w.discovery.tell(set_draining(peer), full=True)
        assert await seconds_until_known(w, peer) < KNOWN_WITHIN_SECONDS
        assert len(opened) == 4
    full_backlog.close()


@timed_story
async def test_watch_moved_to_a_dead_address_and_back_requests_the_full_list_at_once():
    peer = Peer("d1", done)
    full_backlog = FullBacklog()
    async with world(peer) as w:
        watch = w.service.watch
        home = watch.address
        calls = len(w.discovery.calls)
        watch.change_address(full_backlog.address)
        await trio.sleep(1.3)
        w.discovery.tell(set_draining(peer), full=True)
        watch.change_address(home)
        began = trio.current_time()
        await w.until(lambda: not w.service.endpoints.may_send("d1"))
        # Stricter than the usual limit: discovery already had the change when the watch moved back.
        assert trio.current_time() - began < 4.0
        assert "from=" not in w.discovery.calls[calls][1]
    full_backlog.close()


@timed_story
async def test_new_discovery_that_rejects_the_first_call_is_not_asked_with_the_old_version():
    # Each discovery has its own version numbers: asked for changes since the old one's version, it has none.
    peer = Peer("d1", done)
    async with world(peer) as w:
        for _ in range(9):
            w.discovery.tell(peer.entry())
        await w.until(lambda: w.service.endpoints.version == 10)
        other_discovery = Discovery([peer])
        other_discovery.version = 3
        address = await other_discovery.serve(w.nursery)
        healthy, other_discovery.peer.script = other_discovery.peer.script, rejected
        w.service.watch.change_address(("127.0.0.1", int(address.partition(":")[2])))
        await w.until(lambda: other_discovery.peer.exchanges)
        other_discovery.peer.script = healthy
        other_discovery.tell(set_draining(peer))
        assert await seconds_until_known(w, peer) < KNOWN_WITHIN_SECONDS


@timed_story
async def test_discovery_that_restarts_its_versions_is_asked_for_the_full_list():
    peer = Peer("d1", done)
    async with world(peer) as w:
        for _ in range(9):
            w.discovery.tell(peer.entry())
        await w.until(lambda: w.service.endpoints.version == 10)

        async def restarted_versions(exchange):
            if "from=" in exchange.target:  # no newer version: answer after the hold time
                await trio.sleep(int(exchange.target.rpartition("=")[2]) / 1000.0)
                await exchange.stream.send_all(other_discovery.answer(False, []))
            else:
                await exchange.stream.send_all(other_discovery.answer(True, [set_draining(peer)]))

        other_discovery = Discovery([peer])
        other_discovery.version = 3
        w.discovery.peer.script = restarted_versions
        w.discovery.tell(peer.entry())
        assert await seconds_until_known(w, peer) < KNOWN_WITHIN_SECONDS
        assert w.service.endpoints.version == 3


@timed_story
async def test_full_list_in_indented_json_after_changes_is_applied():
    peers = [Peer("d1", done), Peer("d2", done)]
    async with world(*peers) as w:
        w.discovery.tell(set_draining(peers[0]))
        await w.until(lambda: not w.service.endpoints.may_send("d1"))
        version, peers[0].state = w.discovery.version + 1, "SERVING"

        async def indented(exchange):
            body = ujson.dumps(
                {"version": version, "full": True, "servers": [peers[0].entry()]}, indent=4
            ).encode()
            await exchange.stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            w.discovery.peer.script = silent

        w.discovery.peer.script = indented
        w.discovery.tell(peers[1].entry())
        await w.until(
            lambda: w.service.endpoints.may_send("d1") and not w.service.endpoints.may_send("d2")
        )


@pytest.mark.parametrize("callers, a_second", [(1, 3), (40, 38), (200, 175)])
def test_rejected_fleet_spreads_its_calls_and_each_dispatcher_retries_in_time(callers, a_second):
    # Both limits hold: at most so many calls a second over the fleet, and the next answer of each dispatcher
    # within 6 s of its rejection. With a fixed pause of 0.1 s each dispatcher would call ten times a second.
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


@story
async def test_idle_clients_filling_the_descriptors_block_no_request_while_discovery_is_down(
    tmp_path,
):
    # The real program under a descriptor limit, with more idle connections than descriptors: half of them
    # kept open after a request, half without any request.
    peers = [Peer("d1", done), Peer("d2", done)]
    async with trio.open_nursery() as nursery:
        for peer in peers:
            await nursery.start(peer.serve)
        discovery = Discovery(peers[:1])
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
            healthy, discovery.peer.script = discovery.peer.script, reset
            discovery.tell(peers[0].entry())
            await running.said("discovery_unavailable")
            address = await running.said(r" ready .*listen=([\d.]+):(\d+)")
            idle = []
            for i in range(160):
                idle.append(Client(await trio.open_tcp_stream(address[1], int(address[2]))))
                if i % 2:
                    assert (await idle[-1].ask(X_Request_ID=f"i{i}")).status == 200
            assert (await running.ask(X_Request_ID="amid")).status == 200
            assert (await running.ask("/up", "GET", b"")).status == 200
            # Discovery is back with a change: it is applied, and the next request goes to the new worker.
            discovery.peer.script = healthy
            discovery.peers = peers
            discovery.tell(set_draining(peers[0]), peers[1].entry())
            await running.said("discovery_recovered")
            while (await running.ask(X_Request_ID=f"after{len(peers[1].exchanges)}")).status != 200:
                await trio.sleep(0.01)
            assert peers[1].exchanges
            # No evicted client is left waiting: its connection was closed.
            for client in idle:
                if client.stream.socket.is_readable():
                    assert await client.stream.receive_some() == b""
                await client.stream.aclose()
            assert not any("worker_sockets_exhausted" in line for line in running.lines)
        nursery.cancel_scope.cancel()
