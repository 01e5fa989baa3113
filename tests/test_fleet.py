"""What is harmless at one dispatcher and harmful when all of a large fleet do it."""

import random
from collections import Counter

import pytest
from fleet_world import World
from helper import SETTINGS, Peer, done, story, world

from yewrill import Dispatcher, Settings
from yewrill.config.errors import ConfigError
from yewrill.config.settings import read_settings
from yewrill.policy import interface as api


@pytest.mark.parametrize("key", ["instances", "index"])
@pytest.mark.parametrize("value", [-1, 1.5, "3", True, None, [], float("nan"), float("inf")])
def test_a_number_or_count_of_dispatchers_that_makes_no_sense_is_rejected_by_its_key(key, value):
    with pytest.raises(ConfigError, match=f"^settings.{key}: "):
        read_settings({**SETTINGS, key: value})


@pytest.mark.parametrize("entries", [0, 1, 5000])
@pytest.mark.parametrize("index", [-1, 0, 39, 400])
def test_no_dispatcher_has_an_empty_subset_and_a_list_may_shrink_to_none(entries, index):
    d = Dispatcher(
        Settings(classes=[api.RequestClass("c", 500.0, 5000.0)], dispatchers=40, index=index), 7
    )
    whole = [api.WorkerEntry(f"w{i % 4999}") for i in range(entries)]  # one of 5,000 is there twice
    d.handle(0.0, [api.WorkerList(api.ListForm.FULL, whole)])
    out = d.handle(1.0, [api.RequestArrived("a", 0, 5001.0)])
    assert sum(type(action) is api.Send for action in out) == min(1, entries)
    assert len(d.fleet.subset[-1]) >= min(entries, 6)
    d.handle(2.0, [api.WorkerList(api.ListForm.FULL, [])])
    out = d.handle(3.0, [api.RequestArrived("b", 0, 5003.0)])
    assert not d.fleet.subset[-1] and not any(type(action) is api.Send for action in out)
    out = d.handle(4.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w9999")])])
    assert [a.worker for a in out if type(a) is api.Send][:1] == ["w9999"]


def test_dispatchers_without_a_number_do_not_all_take_the_same_window():
    # One configuration copied to forty places would have all of them at six workers.
    firsts = set()
    for seed in range(40):
        d = Dispatcher(
            Settings(classes=[api.RequestClass("c", 500.0, 5000.0)], dispatchers=40), seed
        )
        d.handle(
            0.0,
            [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry(f"w{i:02d}") for i in range(60)])],
        )
        firsts.add(d.fleet.subset[-1][0].name)
    assert len(firsts) > 20


def windows(dispatchers, names):
    """What each dispatcher uses first, and its part of each of these."""
    found = []
    for i in range(dispatchers):
        request_class = api.RequestClass("c", 500.0, 5000.0)
        d = Dispatcher(Settings(classes=[request_class], dispatchers=dispatchers, index=i), i)
        # Where crossing zones costs nothing, those of another zone are as near as ours.
        entries = [api.WorkerEntry(n, zone=int(n[-1], 16) % 2) for n in names]
        d.handle(0.0, [api.WorkerList(api.ListForm.FULL, entries)])
        ours = {w.name for w in d.fleet.workers.values() if w.capacity_fraction > 0.0}
        assert {w.name for w in d.fleet.subset[-1]} == ours
        found.append({w.name: w.capacity_fraction for w in d.fleet.subset[-1]})
    return found


@pytest.mark.parametrize(
    "dispatchers,workers", [(1, 10), (2, 14), (3, 20), (7, 7), (40, 60), (40, 10), (60, 1)]
)
def test_windows_cover_every_worker_evenly_and_their_parts_of_it_make_one(dispatchers, workers):
    rng = random.Random(dispatchers * workers)
    names = [f"s-{rng.getrandbits(32):08x}" for _ in range(workers)]
    found = windows(dispatchers, rng.sample(names, workers))
    sharers = Counter(name for window in found for name in window)
    assert set(sharers) == set(names) and max(sharers.values()) - min(sharers.values()) <= 2
    if dispatchers <= 6:
        assert all(len(window) == workers for window in found)
    elif workers > 10:
        assert max(sharers.values()) <= 8
    # All dispatchers together keep to one cold budget, a third over it at most where windows part unevenly.
    for name in names:
        assert 0.66 <= sum(window.get(name, 0.0) for window in found) <= 1.34
    # One worker less changes little of what each dispatcher knows.
    for before, after in zip(found, windows(dispatchers, names[1:]), strict=True):
        assert len(set(after) - set(before)) <= 2


def test_a_faulty_worker_costs_few_of_many_dispatchers_their_requests():
    # Found on fleet days: each of 40 dispatchers lost a job or two to each bad worker before it knew.
    world = World(5, load=0.6)
    bad = next(iter(world.workers.values()))
    bad.slow = 40.0
    world.run(8000.0)
    hurt = sum(bad.name in used for used in world.used)
    assert hurt <= 15, "nearly all 40 without windows"
    # And a dispatcher's jobs go where it knows its way: few workers each, all of them by somebody.
    assert sum(map(len, world.used)) / 40 < 20 and len(set().union(*world.used)) == 60


def test_workers_that_replace_others_are_used_soon_and_not_pushed_over_by_all_together():
    # Found on fleet days: each of 40 had a budget below one job; new workers idled while old ones jammed.
    world = World(3, load=0.6)
    world.run(4000.0)
    old = list(world.workers.values())[:20]
    new = [world.add_worker(launched=world.now) for _ in old]
    world.deliver_list_changes([world.entry(h) for h in new])
    world.run(500.0)
    world.deliver_list_changes([world.entry(h, api.WorkerState.DRAINING) for h in old])
    world.run(6000.0)
    warm = [0.31 + 0.69 * k / 62 for k in range(62)]
    for host in new:
        for start in range(0, 5000, 500):  # the rule: 3 times what it can do, in any 3 s
            sent = sum(
                work for at, work in host.cold_work if 0 <= at - host.launched - start < 3000
            )
            assert sent <= 3.0 * 3000 * 5 * warm[start // 100] + 4 * 5000, host.name
    took = sum(work for host in new for at, work in host.cold_work if at - host.launched < 6200)
    assert took >= 0.35 * 20 * 5 * 6200 * 0.65, "the part of what cold ones can do that was used"


def test_most_of_a_busy_fleet_replaced_at_once_gets_the_used_part_of_the_slow_start_budget():
    world = World(3, load=1.0)
    world.run(3000.0)
    old = list(world.workers.values())[:50]
    new = [world.add_worker(launched=world.now) for _ in old]
    world.deliver_list_changes(
        [*map(world.entry, new), *(world.entry(h, api.WorkerState.DRAINING) for h in old)]
    )
    world.run(3100.0)
    sent = sum(work for host in new for at, work in host.cold_work if at - host.launched < 3000.0)
    # Of 3 times what they can do at their start; 0.44 with each dispatcher's part kept to, 0.77 without.
    assert 0.3 <= sent / (50 * 3.0 * 3000.0 * 5 * 0.31) <= 0.6


@story
async def test_a_call_turned_away_leaves_the_list_and_is_followed_by_one_for_changes():
    peer = Peer("a", done)
    async with world(peer) as w:

        async def busy(exchange):
            w.discovery.calls.append((0.0, exchange.target))
            await exchange.stream.send_all(
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )

        usual, w.discovery.peer.script = w.discovery.peer.script, busy
        before = len(w.discovery.calls)
        w.discovery.tell(peer.entry())  # ends the call that is out
        await w.until(lambda: len(w.discovery.calls) >= before + 3)
        assert all("from=" in target for _, target in w.discovery.calls[before:])
        assert (await w.ask()).status == 200
        w.discovery.peer.script = usual
        w.discovery.tell({**peer.entry(), "state": "DRAINING"})
        await w.until(lambda: not w.service.endpoints.may_send("a"))
