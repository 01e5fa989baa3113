"""The standing checks, each with its crossing forced: no request without an answer, no process that serves
nobody, an end right after an accept, a reload followed by a drain."""

import pytest
import trio
from fleet_world import World
from helper import Discovery, Peer, done, hang, story, timed_story, world
from test_discovery import set_draining
from test_endings import FRONTS, LONG_DEADLINES, LONG_TIMEOUT, raw_request

from yewrill.net.listener import Listener
from yewrill.policy import interface as api

FOUR_SECONDS = 4000.0  # in which a dispatcher that gets so many requests has to send one on
ENOUGH = 15


@pytest.mark.parametrize("already_sent", [True, False])
@story
async def test_a_client_accepted_in_the_turn_of_the_end_has_its_answer(already_sent, monkeypatch):
    peer, accepted = Peer("d1", done), []
    async with world(peer, settings=LONG_DEADLINES, timing={"linger_ms": 0, "grace_ms": 1500}) as w:
        real = Listener._accept_one

        def accepts(listener):
            found = real(listener)
            if listener is w.service.listener and listener.clients and not accepted:
                accepted.append(True)
                w.nursery.start_soon(
                    w.service.drain
                )  # as SIGTERM does; the accepted one was not read yet
            return found

        monkeypatch.setattr(Listener, "_accept_one", accepts)
        client = await w.client()
        if already_sent:
            client.stream.socket._sock.send(raw_request("r1"))
        await w.until(lambda: accepted)
        if not already_sent:
            await client.stream.send_all(raw_request("r1"))
        assert (await client.reply()).status == 200
        assert await client.stream.receive_some() == b""
        assert [e.id for e in peer.exchanges] == ["r1"]
        await w.ended.wait()


@FRONTS
@timed_story
async def test_no_request_is_left_without_an_answer_by_workers_that_are_silent_and_an_end(front):
    peers = [Peer(f"d{i}", hang) for i in range(3)]
    async with world(
        *peers, front=front, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as w:
        clients = [await w.client() for _ in range(30)]
        for number, client in enumerate(clients):
            target = ("/tour", "/save", "/once")[number % 3]
            await client.send(target, X_Request_ID=f"r{number}", **LONG_TIMEOUT)
        await w.until(lambda: len(w.service.listener.clients) == 30)
        began = trio.current_time()
        w.nursery.start_soon(w.service.drain)
        replies = [await client.reply() for client in clients]
        assert trio.current_time() - began < 1.4
        assert len(replies) == 30
        assert not w.service.engine.pending
        await w.ended.wait()


@pytest.mark.parametrize("dispatchers, seed", [(20, 1), (24, 2), (30, 3)])
def test_no_dispatcher_of_many_serves_nobody_while_all_workers_are_cold(dispatchers, seed):
    fleet = World(seed, dispatchers=dispatchers, workers=12, load=0.3)
    arrived: list[list[float]] = [[] for _ in range(dispatchers)]
    sent: list[list[float]] = [[] for _ in range(dispatchers)]
    tell, reach = fleet.tell, fleet.reach

    def telling(index, events):
        arrived[index] += [fleet.now for event in events if isinstance(event, api.RequestArrived)]
        tell(index, events)

    def reaching(index, job, number, name):
        sent[index].append(fleet.now)
        reach(index, job, number, name)

    fleet.tell, fleet.reach = telling, reaching
    for host in fleet.hosts.values():
        host.launched = fleet.now
    for index in range(dispatchers):
        fleet.restart(index)  # each knows the list, and has learned nothing
    fleet.rate = dispatchers * 10.0 / 1000.0  # ten a second at each: over what cold workers do
    fleet.next_arrival()
    fleet.run(3 * FOUR_SECONDS)
    windows = 0
    for index in range(dispatchers):
        times = arrived[index]
        for first in range(len(times) - ENOUGH):
            span = times[first], times[first + ENOUGH - 1]
            if span[1] - span[0] >= FOUR_SECONDS - 500.0:
                continue
            until = span[0] + FOUR_SECONDS
            if until > fleet.now:
                break
            windows += 1
            assert any(span[0] <= at <= until for at in sent[index]), (index, span)
    assert windows > 10 * dispatchers


@timed_story
async def test_a_reload_that_moves_discovery_is_followed_by_a_workers_drain():
    peers = [Peer("d1", done), Peer("d2", done)]
    async with world(*peers, settings=LONG_DEADLINES) as w:
        there = Discovery(peers)
        w.raw["discovery"] = await there.serve(w.nursery)
        began = trio.current_time()
        w.service.reload()
        there.tell(set_draining(peers[0]), full=True)  # before the first call to it
        await w.until(lambda: not w.service.endpoints.may_send("d1"))
        assert trio.current_time() - began < 4.0
        sent = len(peers[0].exchanges)
        for number in range(10):
            assert (await w.ask(X_Request_ID=f"r{number}", **LONG_TIMEOUT)).status == 200
        assert len(peers[0].exchanges) == sent and len(peers[1].exchanges) >= 10


@FRONTS
@timed_story
async def test_a_reload_in_the_turn_of_the_drain_leaves_no_request_without_its_answer(front):
    async def waits(exchange):
        await go_on.wait()
        await exchange.done()

    go_on, peer = trio.Event(), Peer("d1", waits)
    async with world(
        peer, front=front, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 4000}
    ) as w:
        there = Discovery([peer])
        there.silent = True  # the new discovery says nothing: what is known goes on serving
        address = await there.serve(w.nursery)
        clients = [await w.client() for _ in range(8)]
        for number, client in enumerate(clients[:4]):
            await client.send(X_Request_ID=f"r{number}", **LONG_TIMEOUT)
        await w.until(lambda: peer.exchanges)
        w.raw["discovery"] = address
        w.service.reload()
        w.nursery.start_soon(w.service.drain)
        await w.until(lambda: w.service.run_state.draining)
        for number, client in enumerate(clients[4:], 4):
            await client.send(X_Request_ID=f"r{number}", **LONG_TIMEOUT)
        if front == "platform":
            await w.until(lambda: w.service.engine.pending == 8)
        else:  # no new streams in a drain: each is told so at once
            assert [(await client.reply()).status for client in clients[4:]] == [503] * 4
        go_on.set()
        told = clients if front == "platform" else clients[:4]
        assert [(await client.reply()).status for client in told] == [200] * len(told)
        await w.ended.wait()
