"""Steps of the wall clock while the dispatcher runs.

Endpoint lists give a worker's start by the wall clock. If the clock is stepped, the dispatcher must neither
take a new worker for a warm one, nor an old start for a restart.
"""

import time

import pytest
from helper import ScriptedWorker, done, running_service, trio_test
from machine_faults import SteppedClock

from yewrill.dispatch.start_times import MAX_STARTS, OFFSET_RETENTION_MS, StartTimes

HOUR_SECONDS = 3600.0
WARM_AFTER_MS = 6000.0  # warm_after in the settings of helper.py


def worker_state(harness, name):
    harness.service.engine.tick()
    return harness.service.engine._module.fleet.workers[name]


def entry_started(worker: ScriptedWorker, ago: float) -> dict:
    """Returns the worker's list entry with a start `ago` seconds in the past by the current wall clock."""
    return {**worker.entry(), "started_ms": (time.time() - ago) * 1000.0}


async def publish(harness, entry) -> None:
    before = harness.service.endpoints.version
    harness.discovery.publish(entry)
    await harness.wait_until(lambda: harness.service.endpoints.version > before)


@pytest.mark.parametrize("step", [-HOUR_SECONDS, HOUR_SECONDS, -3.0, 3.0])
@trio_test
async def test_a_worker_that_starts_after_a_step_of_the_wall_clock_has_its_slow_start(
    step, monkeypatch
):
    clock = SteppedClock(monkeypatch)
    old, new = ScriptedWorker("old", done), ScriptedWorker("new", done)
    async with running_service(old, new) as harness:
        clock.offset = step
        await publish(harness, entry_started(new, ago=0.0))
        found = worker_state(harness, "new")
        assert found.slow_start.started_at >= 0
        age = harness.service.engine.now() - found.slow_start.started_at
        assert 0.0 <= age < WARM_AFTER_MS / 2


@pytest.mark.parametrize("step", [-HOUR_SECONDS, HOUR_SECONDS])
@trio_test
async def test_a_start_listed_before_and_after_a_step_of_the_wall_clock_is_one_start(
    step, monkeypatch
):
    clock = SteppedClock(monkeypatch)
    worker = ScriptedWorker("d1", done)
    async with running_service(worker) as harness:
        entry = entry_started(worker, ago=60.0)
        await publish(harness, entry)
        before = worker_state(harness, "d1").launched
        assert worker_state(harness, "d1").slow_start.started_at < 0
        clock.offset = step
        await publish(harness, entry)
        assert worker_state(harness, "d1").launched == before
        assert worker_state(harness, "d1").slow_start.started_at < 0


@pytest.mark.parametrize("step", [-HOUR_SECONDS, HOUR_SECONDS])
@trio_test
async def test_a_start_before_a_step_that_is_first_listed_after_it_counts_as_recent(
    step, monkeypatch
):
    clock = SteppedClock(monkeypatch)
    worker = ScriptedWorker("d1", done)
    async with running_service(worker) as harness:
        entry = entry_started(worker, ago=0.0)
        clock.offset = step
        await publish(harness, entry)
        found = worker_state(harness, "d1")
        age = harness.service.engine.now() - found.slow_start.started_at
        assert found.slow_start.started_at >= 0 and 0.0 <= age < WARM_AFTER_MS / 2


@pytest.mark.parametrize("step", [-HOUR_SECONDS, HOUR_SECONDS])
@trio_test
async def test_a_reattached_workers_age_does_not_change_with_a_step_of_the_wall_clock(
    step, monkeypatch
):
    clock = SteppedClock(monkeypatch)
    async with running_service(ScriptedWorker("d1", done), mgmt="127.0.0.1:0") as harness:
        await harness.call("PUT /_profilers/detach?name=d1")
        await harness.call("PUT /_profilers/attach?name=d1")
        clock.offset = step
        assert 0.0 <= harness.service.endpoints.recently_attached["d1"] < 20_000.0
        assert worker_state(harness, "d1").slow_start.started_at >= 0


def test_starts_are_converted_with_the_offsets_before_and_after_a_step():
    hour, base, now = 3_600_000.0, 1e12, 50_000.0
    starts = StartTimes(base + now, now)
    assert starts.monotonic_start("old", 0.0, now) is None
    assert starts.monotonic_start("w", base + 40_000.0, now) == 40_000.0
    starts.observe_clocks(base + hour + now, now)
    # A worker that is listed again with the same start has not restarted.
    assert starts.monotonic_start("w", base + 40_000.0, now) == 40_000.0
    assert starts.monotonic_start("before", base + 45_000.0, now) == 45_000.0
    assert starts.monotonic_start("after", base + hour + 45_000.0, now) == 45_000.0
    # A worker that is listed with another start has restarted.
    assert starts.monotonic_start("w", base + hour + 49_000.0, now) == 49_000.0
    starts.observe_clocks(base - hour + now, now)
    assert starts.monotonic_start("future", base + 7 * hour, now) == now
    later = now + OFFSET_RETENTION_MS + 1.0
    # Only the current offset of the wall clock is used.
    assert starts.monotonic_start("late", base + hour + 45_000.0, later) == later


def test_a_start_slightly_in_the_future_is_clamped_to_now():
    hour, base, now = 3_600_000.0, 1e12, 50_000.0
    starts = StartTimes(base + now, now)
    # The wall clock gained 3 s while it was slewed, and was then stepped an hour forward; both are observed
    # at once.
    starts.observe_clocks(base + hour + now + 3000.0, now)
    assert starts.monotonic_start("w", base + now + 3000.0, now) == now


def test_start_times_remember_no_more_workers_than_the_bound():
    starts = StartTimes(1e12, 0.0)
    for number in range(MAX_STARTS + 5):
        starts.monotonic_start(f"w{number}", 1e12 - 5.0, 0.0)
    assert len(starts._known) == MAX_STARTS
