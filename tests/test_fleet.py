"""Behaviour that is harmless in one dispatcher and harmful if all dispatchers of a large fleet have it."""

import random
from collections import Counter

import pytest
from fleet_world import FleetSimulation
from helper import SETTINGS, ScriptedWorker, done, running_service, trio_test

from yewrill import Dispatcher, Settings
from yewrill.config.errors import ConfigError
from yewrill.config.settings import read_settings
from yewrill.policy import interface as api


@pytest.mark.parametrize("key", ["instances", "index"])
@pytest.mark.parametrize("value", [-1, 1.5, "3", True, None, [], float("nan"), float("inf")])
def test_settings_with_an_invalid_dispatcher_index_or_count_are_rejected_and_name_the_key(
    key, value
):
    with pytest.raises(ConfigError, match=f"^settings.{key}: "):
        read_settings({**SETTINGS, key: value})


@pytest.mark.parametrize("entries", [0, 1, 5000])
@pytest.mark.parametrize("index", [-1, 0, 39, 400])
def test_subset_is_empty_only_if_the_worker_list_is(entries, index):
    d = Dispatcher(
        Settings(
            classes=[api.RequestClass("c", 500.0, 5000.0)], dispatchers=40, dispatcher_index=index
        ),
        7,
    )
    # 5000 entries have a duplicate.
    whole = [api.WorkerEntry(f"w{i % 4999}") for i in range(entries)]
    d.handle(0.0, [api.WorkerList(api.ListForm.FULL, whole)])
    out = d.handle(1.0, [api.RequestArrived("a", 0, 5001.0)])
    assert sum(type(action) is api.Send for action in out) == min(1, entries)
    assert len(d.fleet.subset[-1]) >= min(entries, 6)
    d.handle(2.0, [api.WorkerList(api.ListForm.FULL, [])])
    out = d.handle(3.0, [api.RequestArrived("b", 0, 5003.0)])
    assert not d.fleet.subset[-1] and not any(type(action) is api.Send for action in out)
    out = d.handle(4.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w9999")])])
    assert [a.worker for a in out if type(a) is api.Send][:1] == ["w9999"]


def test_subsets_of_dispatchers_without_an_index_differ():
    # Guards against one configuration copied to 40 dispatchers that has all of them use the same six workers.
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


def subsets(dispatchers, names):
    """Returns, for each dispatcher, the workers of its subset and its part of the capacity of each."""
    found = []
    for i in range(dispatchers):
        request_class = api.RequestClass("c", 500.0, 5000.0)
        d = Dispatcher(
            Settings(classes=[request_class], dispatchers=dispatchers, dispatcher_index=i), i
        )
        # Crossing zones costs nothing here, so the workers of both zones count as near.
        entries = [api.WorkerEntry(n, zone=int(n[-1], 16) % 2) for n in names]
        d.handle(0.0, [api.WorkerList(api.ListForm.FULL, entries)])
        with_capacity = {w.name for w in d.fleet.workers.values() if w.capacity_fraction > 0.0}
        assert {w.name for w in d.fleet.subset[-1]} == with_capacity
        found.append({w.name: w.capacity_fraction for w in d.fleet.subset[-1]})
    return found


@pytest.mark.parametrize(
    "dispatchers,workers", [(1, 10), (2, 14), (3, 20), (7, 7), (40, 60), (40, 10), (60, 1)]
)
def test_subsets_cover_all_workers_evenly_and_the_parts_of_a_worker_add_up_to_one(
    dispatchers, workers
):
    rng = random.Random(dispatchers * workers)
    names = [f"s-{rng.getrandbits(32):08x}" for _ in range(workers)]
    found = subsets(dispatchers, rng.sample(names, workers))
    users = Counter(name for subset in found for name in subset)
    assert set(users) == set(names) and max(users.values()) - min(users.values()) <= 2
    if dispatchers <= 6:
        assert all(len(subset) == workers for subset in found)
    elif workers > 10:
        assert max(users.values()) <= 8
    # The parts of a worker add up to one slow start budget, within a third where subsets overlap unevenly.
    for name in names:
        assert 0.66 <= sum(subset.get(name, 0.0) for subset in found) <= 1.34
    # Removing a worker changes at most two workers of each subset.
    for before, after in zip(found, subsets(dispatchers, names[1:]), strict=True):
        assert len(set(after) - set(before)) <= 2


def test_slow_worker_affects_only_the_few_dispatchers_that_have_it_in_their_subset():
    # Guards against each of 40 dispatchers losing a request or two to each slow worker before it avoids it.
    simulation = FleetSimulation(5, load=0.6)
    bad = next(iter(simulation.workers.values()))
    bad.slow = 40.0
    simulation.run(8000.0)
    affected = sum(bad.name in used for used in simulation.used)
    assert affected <= 15, "without subsets nearly all 40 dispatchers are affected"
    # Each dispatcher uses few workers, and each worker is used by some dispatcher.
    assert sum(map(len, simulation.used)) / 40 < 20 and len(set().union(*simulation.used)) == 60


def test_new_workers_are_used_soon_and_not_overloaded_by_all_dispatchers_together():
    # Guards against 40 dispatchers whose parts of the slow start budget are below one request: new workers
    # would stay idle while requests pile up at the old ones.
    simulation = FleetSimulation(3, load=0.6)
    simulation.run(4000.0)
    old = list(simulation.workers.values())[:20]
    new = [simulation.add_worker(launched=simulation.now) for _ in old]
    simulation.deliver_list_changes([simulation.entry(h) for h in new])
    simulation.run(500.0)
    simulation.deliver_list_changes([simulation.entry(h, api.WorkerState.DRAINING) for h in old])
    simulation.run(6000.0)
    warm = [0.31 + 0.69 * k / 62 for k in range(62)]
    for worker in new:
        for start in range(0, 5000, 500):  # the budget: 3 times the capacity, in any 3 s
            sent = sum(
                work
                for at, work in worker.received_work
                if 0 <= at - worker.launched - start < 3000
            )
            assert sent <= 3.0 * 3000 * 5 * warm[start // 100] + 4 * 5000, worker.name
    took = sum(
        work for worker in new for at, work in worker.received_work if at - worker.launched < 6200
    )
    assert took >= 0.35 * 20 * 5 * 6200 * 0.65, "new workers got too small a part of their capacity"


def test_workers_that_replace_most_of_a_busy_fleet_get_the_used_part_of_the_slow_start_budget():
    simulation = FleetSimulation(3, load=1.0)
    simulation.run(3000.0)
    old = list(simulation.workers.values())[:50]
    new = [simulation.add_worker(launched=simulation.now) for _ in old]
    simulation.deliver_list_changes(
        [*map(simulation.entry, new), *(simulation.entry(h, api.WorkerState.DRAINING) for h in old)]
    )
    simulation.run(3100.0)
    sent = sum(
        work for worker in new for at, work in worker.received_work if at - worker.launched < 3000.0
    )
    # As a fraction of the budget at the start, which is 3 times the initial capacity: 0.44 if each dispatcher
    # keeps to its part of the budget, 0.77 otherwise.
    assert 0.3 <= sent / (50 * 3.0 * 3000.0 * 5 * 0.31) <= 0.6


@trio_test
async def test_discovery_call_answered_with_503_keeps_the_list_and_is_followed_by_a_call_for_changes():
    worker = ScriptedWorker("a", done)
    async with running_service(worker) as harness:

        async def busy(exchange):
            harness.discovery.calls.append((0.0, exchange.target))
            await exchange.stream.send_all(
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )

        original_script, harness.discovery.server.script = harness.discovery.server.script, busy
        before = len(harness.discovery.calls)
        harness.discovery.publish(worker.entry())  # ends the pending call
        await harness.wait_until(lambda: len(harness.discovery.calls) >= before + 3)
        assert all("from=" in target for _, target in harness.discovery.calls[before:])
        assert (await harness.ask()).status == 200
        harness.discovery.server.script = original_script
        harness.discovery.publish({**worker.entry(), "state": "DRAINING"})
        await harness.wait_until(lambda: not harness.service.endpoints.may_send("a"))
