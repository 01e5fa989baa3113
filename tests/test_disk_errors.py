"""Temporary disk failures: no non-idempotent attempt is sent unless its record is on disk."""

import errno
import shutil

import pytest
import trio
from helper import ScriptedWorker, done, hang, running_service, trio_test
from machine_faults import FaultyDisk, SteppedClock
from test_operators import hot_restart_service, start_new_process

from yewrill.persistence.attempt_journal import ATTEMPT_PREFIX
from yewrill.persistence.disk import Disk, Unreadable
from yewrill.persistence.persistent_state import WRITE_INTERVAL_SECONDS
from yewrill.store import Store

WRITE_TIMEOUT_MS = 1000


def state_settings(tmp_path) -> dict:
    return {
        "state_dir": str(tmp_path / "state"),
        "state": {"patience_ms": WRITE_TIMEOUT_MS},
        "mgmt": "127.0.0.1:0",
    }


def records_after_kill(tmp_path) -> list[bytes]:
    """Returns the keys of the attempt records that a restart finds if the program is killed now."""
    copy = tmp_path / "copy"
    shutil.copytree(tmp_path / "state", copy)
    with Store(copy) as store:
        records = [key for key, _ in store.scan(prefix=b"sent/")]
    shutil.rmtree(copy)
    return records


async def copy_state_with_attempt_in_flight(worker, tmp_path) -> None:
    """Copies the state directory to `killed` while a non-idempotent attempt is in flight."""
    async with running_service(worker, **state_settings(tmp_path)) as harness:
        client = await harness.client()
        await client.send("/once", X_Request_ID="out", Idempotency_Key="k")
        await harness.wait_until(lambda: worker.exchanges)
        shutil.copytree(tmp_path / "state", tmp_path / "killed" / "state")


@pytest.mark.parametrize(
    "error, calls",
    [
        (errno.EIO, ("fdatasync", "pwrite")),
        (errno.EIO, ("fdatasync",)),
        (errno.ENOSPC, ("pwrite",)),
    ],
)
@trio_test
async def test_no_non_idempotent_attempt_is_sent_while_its_record_cannot_be_written(
    error, calls, tmp_path, monkeypatch
):
    disk = FaultyDisk(monkeypatch, calls)
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, **state_settings(tmp_path)) as harness:
        disk.error = error
        for number, target in enumerate(("/once", "/save")):
            reply = await harness.ask(
                target, X_Request_ID=f"r{number}", Idempotency_Key=f"k{number}"
            )
            assert reply.status == 503  # the request never ran, so its client may repeat it
        assert worker.exchanges == []
        # An idempotent request needs no record.
        assert (await harness.ask(X_Request_ID="safe")).status == 200


@trio_test
async def test_a_store_whose_sync_failed_is_reopened_once_the_disk_works(tmp_path, monkeypatch):
    disk = FaultyDisk(monkeypatch, ("fdatasync", "pwrite"))
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, **state_settings(tmp_path)) as harness:
        disk.error = errno.EIO
        assert (await harness.ask("/once", X_Request_ID="r0", Idempotency_Key="k0")).status == 503
        disk.error = 0
        status, number = 0, 0
        while status != 200:  # bounded by the time limit of @trio_test
            number += 1
            reply = await harness.ask("/once", X_Request_ID=f"r{number}", Idempotency_Key="k0")
            status = reply.status
            assert status in (200, 503)
        worker.script = hang
        client = await harness.client()
        await client.send("/once", X_Request_ID="out", Idempotency_Key="kout")
        await harness.wait_until(lambda: worker.exchanges[-1].id == "out")
        assert len(records_after_kill(tmp_path)) >= 1


@pytest.mark.parametrize("step", [3600.0, -3600.0, 2 * 3600.0])
@trio_test
async def test_a_record_is_valid_for_its_window_however_the_wall_clock_is_set(
    step, tmp_path, monkeypatch
):
    clock = SteppedClock(monkeypatch)
    worker = ScriptedWorker("d1", hang)
    await copy_state_with_attempt_in_flight(worker, tmp_path)
    clock.offset = step
    worker.script = done
    async with running_service(worker, **state_settings(tmp_path / "killed")) as harness:
        # By the monotonic clock the record is far from the end of its window, an hour by default. The wait is
        # long enough for the deletion of records past their window.
        await trio.sleep(2 * WRITE_INTERVAL_SECONDS)
        reply = await harness.ask("/once", X_Request_ID="again", Idempotency_Key="k")
        assert reply.status == 502
        assert [e.id for e in worker.exchanges] == ["out"]


@trio_test
async def test_unreadable_records_are_read_later_and_nothing_non_idempotent_runs_before(
    tmp_path, monkeypatch
):
    worker = ScriptedWorker("d1", hang)
    await copy_state_with_attempt_in_flight(worker, tmp_path)
    worker.script = done
    failing = [True]
    records = Disk.records

    def failing_records(disk, prefix):
        if failing and prefix == ATTEMPT_PREFIX:
            raise Unreadable("Input/output error")
        return records(disk, prefix)

    monkeypatch.setattr(Disk, "records", failing_records)
    async with running_service(worker, **state_settings(tmp_path / "killed")) as harness:
        assert (await harness.ask("/once", X_Request_ID="a1", Idempotency_Key="k")).status == 503
        assert (await harness.ask(X_Request_ID="plain")).status == 200
        failing.clear()
        await harness.wait_until(lambda: harness.service.persistent_state.attempts.recovered)
        assert (await harness.ask("/once", X_Request_ID="a2", Idempotency_Key="k")).status == 502
        assert (
            await harness.ask("/once", X_Request_ID="a3", Idempotency_Key="other")
        ).status == 200
        assert [e.id for e in worker.exchanges] == ["out", "plain", "a3"]


@trio_test
async def test_a_record_whose_deletion_failed_is_deleted_later(tmp_path, monkeypatch):
    disk = FaultyDisk(monkeypatch, ("fdatasync", "pwrite"))
    gate = trio.Event()

    async def answer_after_gate(exchange):
        await gate.wait()
        await exchange.done()

    worker = ScriptedWorker("d1", answer_after_gate)
    async with running_service(worker, **state_settings(tmp_path)) as harness:
        client = await harness.client()
        await client.send("/once", X_Request_ID="r1", Idempotency_Key="k")
        await harness.wait_until(lambda: worker.exchanges)
        disk.error = errno.EIO
        gate.set()
        assert (await client.reply()).status == 200
        persistent_state = harness.service.persistent_state
        # The deletion of the record was tried and failed.
        await harness.wait_until(lambda: persistent_state._disk._failure_logged)
        disk.error = 0
        await harness.wait_until(
            lambda: (
                persistent_state.store_open
                and not persistent_state.attempts._keys_to_delete
                and not persistent_state._disk._failure_logged
                # Keys leave the list when their write begins; only the store shows that the write is done.
                and not list(persistent_state._disk.store.scan(prefix=ATTEMPT_PREFIX))
            )
        )
        assert records_after_kill(tmp_path) == []


@trio_test
async def test_a_process_that_waits_for_the_store_has_its_attempts_recorded_by_the_old_process(
    tmp_path,
):
    worker = ScriptedWorker("d1", hang)
    async with hot_restart_service(worker, **state_settings(tmp_path)) as harness:
        busy = await harness.client()
        await busy.send(X_Request_ID="busy")  # this request keeps the old process running
        await harness.wait_until(lambda: worker.exchanges)
        new = await start_new_process(harness)
        assert not new.persistent_state.store_open
        harness.old_process.listener.stop_accepting()  # from here on only the new process accepts
        client = await harness.client()
        await client.send("/once", X_Request_ID="out", Idempotency_Key="k")
        await harness.wait_until(lambda: len(worker.exchanges) == 2)
        assert new.engine.pending == 1 and not new.persistent_state.store_open
        assert len(records_after_kill(tmp_path)) == 1
