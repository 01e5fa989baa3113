"""The wall clock is set while the dispatcher runs: a worker's start is known by real time all the same."""

import time

import pytest
from helper import Peer, done, story, world
from machine_faults import SetClock

from yewrill.dispatch.start_times import MAX_STARTS, OFFSET_RETENTION_MS, StartTimes

HOUR = 3600.0
WARM_AFTER_MS = 6000.0  # of the helper's settings


def worker(w, name):
    w.service.engine.tick()
    return w.service.engine._module.fleet.workers[name]


def started(peer: Peer, ago: float) -> dict:
    """The peer's line of the list, after a start so many seconds ago by the wall clock as it stands."""
    return {**peer.entry(), "started_ms": (time.time() - ago) * 1000.0}


async def tell(w, entry) -> None:
    before = w.service.endpoints.version
    w.discovery.tell(entry)
    await w.until(lambda: w.service.endpoints.version > before)


@pytest.mark.parametrize("step", [-HOUR, HOUR, -3.0, 3.0])
@story
async def test_a_worker_that_starts_after_the_wall_clock_was_set_has_its_slow_start(
    step, monkeypatch
):
    clock = SetClock(monkeypatch)
    old, new = Peer("old", done), Peer("new", done)
    async with world(old, new) as w:
        clock.offset = step
        await tell(w, started(new, ago=0.0))
        found = worker(w, "new")
        assert found.slow_start.started_at >= 0
        age = w.service.engine.now() - found.slow_start.started_at
        assert 0.0 <= age < WARM_AFTER_MS / 2


@pytest.mark.parametrize("step", [-HOUR, HOUR])
@story
async def test_a_start_listed_before_and_after_the_wall_clock_was_set_is_one_start(
    step, monkeypatch
):
    clock = SetClock(monkeypatch)
    peer = Peer("d1", done)
    async with world(peer) as w:
        entry = started(peer, ago=60.0)
        await tell(w, entry)
        before = worker(w, "d1").launched
        assert worker(w, "d1").slow_start.started_at < 0
        clock.offset = step
        await tell(w, entry)
        assert worker(w, "d1").launched == before
        assert worker(w, "d1").slow_start.started_at < 0


@pytest.mark.parametrize("step", [-HOUR, HOUR])
@story
async def test_a_start_before_the_step_that_is_listed_after_it_is_taken_for_a_late_one(
    step, monkeypatch
):
    clock = SetClock(monkeypatch)
    peer = Peer("d1", done)
    async with world(peer) as w:
        entry = started(peer, ago=0.0)
        clock.offset = step
        await tell(w, entry)
        found = worker(w, "d1")
        age = w.service.engine.now() - found.slow_start.started_at
        assert found.slow_start.started_at >= 0 and 0.0 <= age < WARM_AFTER_MS / 2


@pytest.mark.parametrize("step", [-HOUR, HOUR])
@story
async def test_a_worker_that_operators_put_back_is_remembered_by_real_time(step, monkeypatch):
    clock = SetClock(monkeypatch)
    async with world(Peer("d1", done), mgmt="127.0.0.1:0") as w:
        await w.call("PUT /_profilers/detach?name=d1")
        await w.call("PUT /_profilers/attach?name=d1")
        clock.offset = step
        assert 0.0 <= w.service.endpoints.recently_attached["d1"] < 20_000.0
        assert worker(w, "d1").slow_start.started_at >= 0


def test_starts_are_read_by_the_clock_on_either_side_of_a_step():
    hour, base, now = 3_600_000.0, 1e12, 50_000.0
    starts = StartTimes(base + now, now)
    assert starts.monotonic_start("old", 0.0, now) is None
    assert starts.monotonic_start("w", base + 40_000.0, now) == 40_000.0
    starts.observe_clocks(base + hour + now, now)
    assert starts.monotonic_start("w", base + 40_000.0, now) == 40_000.0  # told again: one start
    assert starts.monotonic_start("before", base + 45_000.0, now) == 45_000.0
    assert starts.monotonic_start("after", base + hour + 45_000.0, now) == 45_000.0
    assert starts.monotonic_start("w", base + hour + 49_000.0, now) == 49_000.0  # started again
    starts.observe_clocks(base - hour + now, now)
    assert starts.monotonic_start("future", base + 7 * hour, now) == now
    later = now + OFFSET_RETENTION_MS + 1.0
    assert (
        starts.monotonic_start("late", base + hour + 45_000.0, later) == later
    )  # by the clock as it stands


def test_a_reading_that_has_drifted_a_little_into_the_future_still_counts():
    hour, base, now = 3_600_000.0, 1e12, 50_000.0
    starts = StartTimes(base + now, now)
    # The wall clock gained 3 s by being slewed, and was then set an hour forward, unnoticed until now.
    starts.observe_clocks(base + hour + now + 3000.0, now)
    assert starts.monotonic_start("w", base + now + 3000.0, now) == now


def test_no_more_starts_are_remembered_than_the_bound():
    starts = StartTimes(1e12, 0.0)
    for number in range(MAX_STARTS + 5):
        starts.monotonic_start(f"w{number}", 1e12 - 5.0, 0.0)
    assert len(starts._known) == MAX_STARTS
