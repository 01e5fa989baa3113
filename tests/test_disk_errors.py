"""A disk that fails for a while: no non-idempotent attempt is sent unless its record is on disk."""

import errno
import shutil

import pytest
import trio
from helper import Peer, done, hang, story, world
from machine_faults import FaultyDisk, SetClock
from test_operators import shared_world, start_new_process

from yewrill.persistence.attempt_journal import ATTEMPT_PREFIX
from yewrill.persistence.disk import Disk, Unreadable
from yewrill.persistence.persistent_state import WRITE_INTERVAL_SECONDS
from yewrill.store import Store

WRITE_TIMEOUT_MS = 1000


def state(tmp_path) -> dict:
    return {
        "state_dir": str(tmp_path / "state"),
        "state": {"patience_ms": WRITE_TIMEOUT_MS},
        "mgmt": "127.0.0.1:0",
    }


def records_left_by_a_kill(tmp_path) -> list[bytes]:
    """What a restart would find of attempts, were the program killed now."""
    copy = tmp_path / "copy"
    shutil.copytree(tmp_path / "state", copy)
    with Store(copy) as store:
        records = [key for key, _ in store.scan(prefix=b"sent/")]
    shutil.rmtree(copy)
    return records


async def killed_with_an_attempt_out(peer, tmp_path) -> None:
    """Leave in `killed` what a restart would find, were the program killed with an unsafe attempt out."""
    async with world(peer, **state(tmp_path)) as w:
        client = await w.client()
        await client.send("/once", X_Request_ID="out", Idempotency_Key="k")
        await w.until(lambda: peer.exchanges)
        shutil.copytree(tmp_path / "state", tmp_path / "killed" / "state")


@pytest.mark.parametrize(
    "error, calls",
    [
        (errno.EIO, ("fdatasync", "pwrite")),
        (errno.EIO, ("fdatasync",)),
        (errno.ENOSPC, ("pwrite",)),
    ],
)
@story
async def test_no_non_idempotent_attempt_is_sent_while_its_record_cannot_be_written(
    error, calls, tmp_path, monkeypatch
):
    disk = FaultyDisk(monkeypatch, calls)
    peer = Peer("d1", done)
    async with world(peer, **state(tmp_path)) as w:
        disk.error = error
        for number, target in enumerate(("/once", "/save")):
            reply = await w.ask(target, X_Request_ID=f"r{number}", Idempotency_Key=f"k{number}")
            assert reply.status == 503  # it never ran, so repeating it is harmless
        assert peer.exchanges == []
        assert (await w.ask(X_Request_ID="safe")).status == 200  # needs no record


@story
async def test_a_store_whose_sync_failed_is_reopened_once_the_disk_works(tmp_path, monkeypatch):
    disk = FaultyDisk(monkeypatch, ("fdatasync", "pwrite"))
    peer = Peer("d1", done)
    async with world(peer, **state(tmp_path)) as w:
        disk.error = errno.EIO
        assert (await w.ask("/once", X_Request_ID="r0", Idempotency_Key="k0")).status == 503
        disk.error = 0
        status, number = 0, 0
        while status != 200:  # bounded by the story's limit of time
            number += 1
            reply = await w.ask("/once", X_Request_ID=f"r{number}", Idempotency_Key="k0")
            status = reply.status
            assert status in (200, 503)
        peer.script = hang
        client = await w.client()
        await client.send("/once", X_Request_ID="out", Idempotency_Key="kout")
        await w.until(lambda: peer.exchanges[-1].id == "out")
        assert len(records_left_by_a_kill(tmp_path)) >= 1


@pytest.mark.parametrize("step", [3600.0, -3600.0, 2 * 3600.0])
@story
async def test_a_record_is_valid_for_its_window_however_the_wall_clock_is_set(
    step, tmp_path, monkeypatch
):
    clock = SetClock(monkeypatch)
    peer = Peer("d1", hang)
    await killed_with_an_attempt_out(peer, tmp_path)
    clock.offset = step
    peer.script = done
    async with world(peer, **state(tmp_path / "killed")) as w:
        # Its own window, an hour by default, has not begun to run out by the monotonic clock.
        await trio.sleep(
            2 * WRITE_INTERVAL_SECONDS
        )  # in which what is past its window is forgotten
        reply = await w.ask("/once", X_Request_ID="again", Idempotency_Key="k")
        assert reply.status == 502
        assert [e.id for e in peer.exchanges] == ["out"]


@story
async def test_unreadable_records_are_read_later_and_nothing_non_idempotent_runs_before(
    tmp_path, monkeypatch
):
    peer = Peer("d1", hang)
    await killed_with_an_attempt_out(peer, tmp_path)
    peer.script = done
    failing = [True]
    records = Disk.records

    def fails(disk, prefix):
        if failing and prefix == ATTEMPT_PREFIX:
            raise Unreadable("Input/output error")
        return records(disk, prefix)

    monkeypatch.setattr(Disk, "records", fails)
    async with world(peer, **state(tmp_path / "killed")) as w:
        assert (await w.ask("/once", X_Request_ID="a1", Idempotency_Key="k")).status == 503
        assert (await w.ask(X_Request_ID="plain")).status == 200
        failing.clear()
        await w.until(lambda: w.service.persistent_state.attempts.recovered)
        assert (await w.ask("/once", X_Request_ID="a2", Idempotency_Key="k")).status == 502
        assert (await w.ask("/once", X_Request_ID="a3", Idempotency_Key="other")).status == 200
        assert [e.id for e in peer.exchanges] == ["out", "plain", "a3"]


@story
async def test_a_record_whose_deletion_failed_is_deleted_later(tmp_path, monkeypatch):
    disk = FaultyDisk(monkeypatch, ("fdatasync", "pwrite"))
    gate = trio.Event()

    async def waits(exchange):
        await gate.wait()
        await exchange.done()

    peer = Peer("d1", waits)
    async with world(peer, **state(tmp_path)) as w:
        client = await w.client()
        await client.send("/once", X_Request_ID="r1", Idempotency_Key="k")
        await w.until(lambda: peer.exchanges)
        disk.error = errno.EIO
        gate.set()
        assert (await client.reply()).status == 200
        persistent_state = w.service.persistent_state
        await w.until(
            lambda: persistent_state._disk._failure_logged
        )  # its end was tried and failed
        disk.error = 0
        await w.until(
            lambda: (
                persistent_state.store_open
                and not persistent_state.attempts._keys_to_delete
                and not persistent_state._disk._failure_logged
                # Keys leave the list when a write of them begins: that it is done, only the store says.
                and not list(persistent_state._disk.store.scan(prefix=ATTEMPT_PREFIX))
            )
        )
        assert records_left_by_a_kill(tmp_path) == []


@story
async def test_a_process_that_waits_for_the_store_has_its_attempts_recorded_by_the_one_that_has_it(
    tmp_path,
):
    peer = Peer("d1", hang)
    async with shared_world(peer, **state(tmp_path)) as w:
        busy = await w.client()
        await busy.send(X_Request_ID="busy")  # so that the old run stays
        await w.until(lambda: peer.exchanges)
        new = await start_new_process(w)
        assert not new.persistent_state.store_open
        w.old_process.listener.stop_accepting()  # the new run alone accepts
        client = await w.client()
        await client.send("/once", X_Request_ID="out", Idempotency_Key="k")
        await w.until(lambda: len(peer.exchanges) == 2)
        assert new.engine.pending == 1 and not new.persistent_state.store_open
        assert len(records_left_by_a_kill(tmp_path)) == 1
