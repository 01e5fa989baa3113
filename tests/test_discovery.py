"""Stories of discovery: whatever befell the calls before, a change is known 6 s after it could be had."""

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

MANY = {"instances": 200, "registry_mode": "ask"}  # all ask one discovery
TOLD = 6.0  # seconds after discovery had a change and could be reached


async def turned_away(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


async def reset(exchange):
    exchange.reset()


async def silent(exchange):
    await exchange.closed()


async def half_an_answer(exchange):
    await exchange.stream.send_all(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":')
    await exchange.closed()


async def half_and_gone(exchange):
    await exchange.stream.send_all(b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version":')
    await trio.aclose_forcefully(exchange.stream)


async def nonsense(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]")


async def other_status(exchange):
    await exchange.stream.send_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")


TROUBLES = [turned_away, reset, silent, half_an_answer, half_and_gone, nonsense, other_status]


def drains(peer):
    """The change, in whole lists too."""
    peer.state = "DRAINING"
    return peer.entry()


async def meets(w, peer, trouble):
    """End the call that is out and have the next one meet the trouble. Returns what a well discovery does."""
    well, w.discovery.peer.script = w.discovery.peer.script, trouble
    w.discovery.tell(peer.entry())
    met = len(w.discovery.peer.exchanges)
    await w.until(lambda: len(w.discovery.peer.exchanges) > met)
    return well


async def seconds_until_known(w, peer) -> float:
    began = trio.current_time()
    with trio.fail_after(2 * TOLD):
        while w.service.endpoints.may_send(peer.name):
            await trio.sleep(0.05)
    return trio.current_time() - began


@pytest.mark.parametrize("left", [0.0, 0.7, 3.3, 5.7, 9.1])
@pytest.mark.parametrize("trouble", TROUBLES)
@timed_story
async def test_a_change_is_known_in_time_whatever_befell_the_calls_before_it(trouble, left):
    # As many dispatchers as spread furthest, and the trouble over in different moments of its calls.
    peer = Peer("d1", done)
    async with world(peer, settings=MANY) as w:
        well = await meets(w, peer, trouble)
        await trio.sleep(left)
        w.discovery.peer.script = well
        w.discovery.tell(drains(peer), full=True)
        assert await seconds_until_known(w, peer) < TOLD


@timed_story
async def test_a_watch_that_falls_silent_is_opened_anew_in_time_from_its_first_moment_on():
    peer = Peer("d1", done)
    async with world(peer, settings=MANY) as w:
        well = await meets(w, peer, silent)
        # The watch is open and never hears a word; every later call is answered.
        w.discovery.peer.script = well
        w.discovery.tell(drains(peer), full=True)
        assert await seconds_until_known(w, peer) < TOLD


@timed_story
async def test_a_discovery_that_is_silent_at_the_very_first_call_is_heard_in_time():
    peer = Peer("d1", done)
    async with trio.open_nursery() as nursery:
        await nursery.start(peer.serve)
        discovery = Discovery([peer])
        address = await discovery.serve(nursery)
        well, discovery.peer.script = discovery.peer.script, silent
        host, _, port = address.partition(":")
        endpoints = EndpointList(DecisionEngine(read_settings(SETTINGS), 1), TopologyNames())
        nursery.start_soon(DiscoveryWatch((host, int(port)), endpoints, callers=200).run)
        while not discovery.peer.exchanges:
            await trio.sleep(0.01)
        discovery.peer.script = well
        began = trio.current_time()
        while not len(endpoints):
            await trio.sleep(0.01)
        assert trio.current_time() - began < TOLD
        nursery.cancel_scope.cancel()


class Swallowing:
    """An address that takes no connection up: its backlog is full, so that the system drops every SYN."""

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
async def test_a_discovery_that_swallows_connections_is_heard_once_it_takes_them_again(monkeypatch):
    peer = Peer("d1", done)
    hole = Swallowing()
    opened = []

    async def connect(address, ring_bytes):
        opened.append(trio.current_time())
        # The system sends a swallowed SYN again late and in its own time: what was begun never comes up.
        return await came_up(hole.address if len(opened) < 4 else address, ring_bytes)

    async with world(peer, settings=MANY) as w:
        came_up = discovery_module.Connection.open
        monkeypatch.setattr(discovery_module.Connection, "open", connect)
        w.discovery.peer.script = reset
        w.discovery.tell(peer.entry())
        while len(opened) < 3:
            await trio.sleep(0.05)
        # From here on it takes connections: the one that is coming up was swallowed all the same.
        w.discovery.peer.script = w.discovery.script
        w.discovery.tell(drains(peer), full=True)
        assert await seconds_until_known(w, peer) < TOLD
        assert len(opened) == 4
    hole.close()


@timed_story
async def test_moved_to_a_dead_address_and_back_the_whole_list_is_asked_for_at_once():
    peer = Peer("d1", done)
    hole = Swallowing()
    async with world(peer) as w:
        watch = w.service.watch
        home = watch.address
        calls = len(w.discovery.calls)
        watch.move(hole.address)
        await trio.sleep(1.3)
        w.discovery.tell(drains(peer), full=True)
        watch.move(home)
        began = trio.current_time()
        await w.until(lambda: not w.service.endpoints.may_send("d1"))
        assert (
            trio.current_time() - began < 4.0
        )  # what counts as told then is what it had at SIGHUP
        assert "from=" not in w.discovery.calls[calls][1]
    hole.close()


@timed_story
async def test_another_discovery_that_turns_the_first_call_away_is_not_asked_by_the_old_ones_count():
    # Versions are each discovery's own: asked for what is newer than the old one's, it would say nothing.
    peer = Peer("d1", done)
    async with world(peer) as w:
        for _ in range(9):
            w.discovery.tell(peer.entry())
        await w.until(lambda: w.service.endpoints.version == 10)
        there = Discovery([peer])
        there.version = 3
        address = await there.serve(w.nursery)
        usual, there.peer.script = there.peer.script, turned_away
        w.service.watch.move(("127.0.0.1", int(address.partition(":")[2])))
        await w.until(lambda: there.peer.exchanges)
        there.peer.script = usual
        there.tell(drains(peer))
        assert await seconds_until_known(w, peer) < TOLD


@timed_story
async def test_a_discovery_that_counts_anew_is_asked_for_the_whole_list():
    peer = Peer("d1", done)
    async with world(peer) as w:
        for _ in range(9):
            w.discovery.tell(peer.entry())
        await w.until(lambda: w.service.endpoints.version == 10)

        async def counts_anew(exchange):
            if "from=" in exchange.target:  # nothing is newer: the hold is over
                await trio.sleep(int(exchange.target.rpartition("=")[2]) / 1000.0)
                await exchange.stream.send_all(there.answer(False, []))
            else:
                await exchange.stream.send_all(there.answer(True, [drains(peer)]))

        there = Discovery([peer])
        there.version = 3
        w.discovery.peer.script = counts_anew
        w.discovery.tell(peer.entry())
        assert await seconds_until_known(w, peer) < TOLD
        assert w.service.endpoints.version == 3


@timed_story
async def test_a_list_may_be_indented_and_a_whole_one_may_follow_changes():
    peers = [Peer("d1", done), Peer("d2", done)]
    async with world(*peers) as w:
        w.discovery.tell(drains(peers[0]))
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
def test_a_fleet_that_is_turned_away_spreads_its_calls_and_each_is_back_in_time(callers, a_second):
    # Both ways: so many calls a second over the fleet at most, and nobody's next answer later than 6 s after
    # the refusal before it. Asked again after 0.1 s each they would be ten a second of every dispatcher.
    rngs = [random.Random(seed) for seed in range(callers)]
    calls = []
    for rng in rngs:
        at = 0.0
        for failures in range(40):
            pause = discovery_module.retry_pause(failures, callers, rng.random())
            assert (
                pause >= discovery_module.RETRY_PAUSE_SECONDS
                and pause + discovery_module.RECOVERY_TIMEOUT_SECONDS < TOLD
            )
            calls.append(at := at + pause)
    for second in range(20):
        assert sum(second <= at < second + 1 for at in calls) <= a_second
    assert (
        discovery_module.RETRY_PAUSE_SECONDS
        + discovery_module.HOLD_MS / 1000.0
        + discovery_module.ANSWER_GRACE_SECONDS
        + discovery_module.CONNECT_TIMEOUT_SECONDS
        < TOLD
    )


@story
async def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_keep_nobody_out(
    tmp_path,
):
    # The real program under the system's own bound, with more idle connections than it has descriptors:
    # half of them kept after a job, half that never said a word.
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
            well, discovery.peer.script = discovery.peer.script, reset
            discovery.tell(peers[0].entry())
            await running.said("discovery_unavailable")
            place = await running.said(r" ready .*listen=([\d.]+):(\d+)")
            idle = []
            for i in range(160):
                idle.append(Client(await trio.open_tcp_stream(place[1], int(place[2]))))
                if i % 2:
                    assert (await idle[-1].ask(X_Request_ID=f"i{i}")).status == 200
            assert (await running.ask(X_Request_ID="amid")).status == 200
            assert (await running.ask("/up", "GET", b"")).status == 200
            # Discovery is back with a change: it is heard, and the next job goes where it says.
            discovery.peer.script = well
            discovery.peers = peers
            discovery.tell(drains(peers[0]), peers[1].entry())
            await running.said("discovery_recovered")
            while (await running.ask(X_Request_ID=f"after{len(peers[1].exchanges)}")).status != 200:
                await trio.sleep(0.01)
            assert peers[1].exchanges
            # None is left hanging: whoever had to give way was told so by the end of its connection.
            for client in idle:
                if client.stream.socket.is_readable():
                    assert await client.stream.receive_some() == b""
                await client.stream.aclose()
            assert not any("worker_sockets_exhausted" in line for line in running.lines)
        nursery.cancel_scope.cancel()
