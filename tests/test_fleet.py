"""What is harmless at one dispatcher and harmful when all of a large fleet do it."""

import random

import pytest
from helper import Peer, done, story, world

from yewrill.net.poolconfig import pause_after


@pytest.mark.parametrize("dispatchers", [1, 40])
def test_a_fleet_that_discovery_turned_away_asks_again_spread_out_and_ever_more_rarely(dispatchers):
    # Found on fleet days: all asked again after 0.1 s, each waited in vain in a full queue, nobody heard.
    rngs = [random.Random(seed) for seed in range(dispatchers)]
    calls = []
    for rng in rngs:
        at = 0.0
        for refusals in range(20):
            at += pause_after(refusals, dispatchers, rng.random())
            calls.append(at)
    for second in range(100):
        assert sum(second <= at < second + 1 for at in calls) <= max(10, 2 * dispatchers // 5)
    assert min(at for at in calls) >= 0.1
    # One dispatcher alone soon asks again; no pause grows without a bound.
    assert pause_after(0, 1, 1.0) < 0.5 and pause_after(10**3, dispatchers, 1.0) < 31.0


@story
async def test_a_call_turned_away_leaves_the_list_and_is_followed_by_one_for_changes():
    peer = Peer("a", done)
    async with world(peer) as w:
        async def busy(exchange):
            w.discovery.calls.append((0.0, exchange.target))
            await exchange.stream.send_all(
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

        usual, w.discovery.peer.script = w.discovery.peer.script, busy
        before = len(w.discovery.calls)
        w.discovery.tell(peer.entry())  # ends the call that is out
        await w.until(lambda: len(w.discovery.calls) >= before + 3)
        assert all("from=" in target for _, target in w.discovery.calls[before:])
        assert (await w.ask()).status == 200
        w.discovery.peer.script = usual
        w.discovery.tell({**peer.entry(), "state": "DRAINING"})
        await w.until(lambda: not w.service.pool.may_send("a"))
