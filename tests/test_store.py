"""The store with its threads on a real directory, its policy, its lock and its sub-commands."""

from __future__ import annotations

import errno
import random
import subprocess
import sys
import threading

import pytest
import trio
import ujson
from click.testing import CliRunner
from store_world import RULES

from yewrill.cli import main
from yewrill.store import (
    Batch,
    Conflict,
    Store,
    StoreClosed,
    StoreError,
    StorePoisoned,
    StoreQueueFull,
    group_commit,
    policy,
)
from yewrill.store.policy import (
    CompactionRules,
    Pacer,
    SegmentStats,
    choose,
    choose_everything,
    may_drop_tombstone,
    sync_due,
)
from yewrill.store.simdisk import SimulatedDisk


def test_many_writers_share_syncs_and_lose_nothing(tmp_path):
    with Store(tmp_path, segment_size=20_000, rules=RULES, reserve=0, compaction_rate=0) as store:
        threads = [
            threading.Thread(
                target=lambda n=n: [store.put(b"%d/%d" % (n, i % 10), b"%d" % i) for i in range(60)]
            )
            for n in range(16)
        ]
        for thread in threads:
            thread.start()
        # Scans while writes go on see only written values.
        while any(thread.is_alive() for thread in threads):
            for _, value in store.scan():
                assert 0 <= int(value) < 60
        for thread in threads:
            thread.join()
        assert store.stat()["syncs"] < 960
        assert store.stat()["last_version"] == 960
        held = dict(store.scan())
        store.backup(tmp_path / "copy")
    assert held == {b"%d/%d" % (n, i): b"%d" % (50 + i) for n in range(16) for i in range(10)}
    for path in (tmp_path, tmp_path / "copy"):
        with Store(path) as store:
            assert dict(store.scan()) == held and not store.stat()["findings"]
            assert store.compact() and dict(store.scan()) == held
            assert store.stat()["segments"] == 1


def test_writing_from_trio_does_not_block_the_loop(tmp_path):
    async def main():
        with Store(tmp_path) as store:
            async with trio.open_nursery() as nursery:
                for i in range(50):
                    nursery.start_soon(store.awrite, Batch().put(b"%d" % i, b"x"))
            assert len(list(store.scan())) == 50
            with pytest.raises(Conflict):
                await store.awrite(Batch().require(b"1", 0).put(b"1", b"y"))
            assert store.put_if(b"1", b"y", store.find(b"1").version) and store.get(b"1") == b"y"

    trio.run(main)


def test_a_full_queue_and_a_closed_store_raise_their_errors(monkeypatch):
    monkeypatch.setattr(group_commit, "MAX_QUEUED_BATCHES", 4)
    disk, gate = SimulatedDisk(), threading.Event()
    disk.fail = lambda number, word, name: gate.wait(10) and None if word == "sync" else None
    store = Store(disk, reserve=0)
    results = []
    with pytest.raises(StoreQueueFull):
        for i in range(20):
            store.submit(Batch().put(b"%d" % i, b""), results.append)
    gate.set()
    store.close()
    assert 4 <= len(results) == len([r for r in results if isinstance(r, int)])
    with pytest.raises(StoreClosed):
        store.put(b"k", b"v")


def test_store_in_interval_mode_acknowledges_first_and_syncs_later():
    disk, synced = SimulatedDisk(), threading.Event()
    with Store(disk, mode="interval", interval=0.01, reserve=0) as store:
        store.put(b"first", b"")  # this write creates the segment, whose header is synced at once
        disk.fail = lambda number, word, name: synced.set() if word == "sync" else None
        store.put(b"k", b"v")
        assert store.get(b"k") == b"v" and synced.wait(5)
    with Store(SimulatedDisk(), mode="never", reserve=0) as store:
        store.put(b"k", b"v")
        assert store.stat()["syncs"] == 0
    with pytest.raises(ValueError):
        Store(SimulatedDisk(), mode="sometimes")


def test_a_poisoned_store_rejects_writes_and_serves_reads(caplog):
    disk = SimulatedDisk()
    with Store(disk, reserve=0) as store:
        store.put(b"k", b"v")
        disk.fail = lambda number, word, name: errno.EIO if word == "sync" else None
        for _ in range(2):
            with pytest.raises(StorePoisoned):
                store.put(b"k", b"w")
        assert store.get(b"k") == b"v"
    assert [record.getMessage()[:14] for record in caplog.records] == ["store_poisoned"]


def test_keys_values_and_batches_beyond_their_bounds_are_rejected():
    for bad in (
        lambda: Batch().put(b"", b""),
        lambda: Batch().put(b"k" * 4097, b""),
        lambda: Batch().put(b"k", bytes(16 * 2**20 + 1)),
        lambda: Batch().put(b"k", b"", 2**63),
    ):
        with pytest.raises(StoreError):
            bad()
    batch = Batch()
    with pytest.raises(StoreError, match="batch"):
        for _ in range(5):
            batch.put(b"k", bytes(16 * 2**20 - 100))
    with Store(SimulatedDisk(), reserve=0) as store:
        store.put(b"k" * 4096, bytes(2**20))
        assert len(store.get(b"k" * 4096)) == 2**20


def test_a_second_process_is_rejected_with_the_name_of_the_first(tmp_path):
    code = f"from yewrill.store import Store\ntry: Store({str(tmp_path)!r})\nexcept Exception as e: print(e)"
    with Store(tmp_path):
        import os

        output = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        assert (
            output.startswith(f"{tmp_path}: held by process {os.getpid()} on ")
            and output.count("\n") == 1
        )
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == ""


# -- compaction policy and pacing


def test_policy_chooses_damaged_segments_then_garbage_then_full_tiers():
    rules = CompactionRules(
        min_garbage_ratio=0.5,
        min_garbage_bytes=100,
        fan_in=3,
        min_tier_bytes=1000,
        max_output_bytes=5000,
    )
    full = [SegmentStats(n, 900, 900) for n in (1, 2)]
    assert choose(full, rules) == []
    assert choose([*full, SegmentStats(3, 900, 900)], rules) == [1, 2, 3]
    assert choose([*full, SegmentStats(4, 1000, 480)], rules) == [4]
    # The segment has too little garbage to be worth a new file.
    assert choose([full[0], SegmentStats(4, 150, 60)], rules) == []
    assert choose([*full, SegmentStats(5, 10**6, 400, damaged=True)], rules) == [5]
    # Tombstones that have to stay are not garbage, otherwise they would be rewritten again and again.
    assert choose([SegmentStats(1, 1000, 100, 850)], rules) == []
    # On a full disk the policy chooses the segments that free most, within the bytes that can be written.
    assert choose([SegmentStats(1, 1000, 900), SegmentStats(2, 4000, 300)], rules, 350) == [2]
    assert choose([SegmentStats(1, 1000, 1000)], rules, 10**6) == []
    assert choose_everything([SegmentStats(1, 1000, 1000)], rules) == []
    assert choose_everything([*full, SegmentStats(3, 4500, 4500)], rules) == [1, 2]
    assert may_drop_tombstone(5, [6, 9]) and not may_drop_tombstone(5, [6, 4])


def test_compaction_by_the_policy_terminates_and_bounds_the_number_of_segments():
    rng, segments, written, number = random.Random(3), {}, 0, 0
    for _ in range(3000):
        number += 1
        segments[number] = SegmentStats(number, 3000, 3000 - rng.randrange(400))
        for _ in range(20):
            if not (chosen := choose(list(segments.values()), RULES)):
                break
            live = sum(segments.pop(n).live for n in chosen)
            written += live
            number += 1
            segments[number] = SegmentStats(number, live, live)
        else:
            raise AssertionError("compaction does not terminate")
    assert len(segments) < 40 and written < 8 * 3000 * 3000


def test_pacer_keeps_its_rate_and_each_sync_mode_has_its_sync_times():
    pacer, now, spent = Pacer(1000.0, 250.0), 0.0, 0
    while now < 20.0:
        now += pacer.spend(100, now)
        spent += 100
    assert 19_000 <= spent <= 21_000
    assert Pacer(0, 0).spend(10**9, 1.0) == 0.0
    assert (
        sync_due("always", True, 5.0, 5.0, 1.0) == 0.0 and sync_due("never", True, 0, 9, 1) is None
    )
    assert sync_due("interval", True, 5.0, 5.4, 1.0) == pytest.approx(0.6)
    assert sync_due("interval", False, 5.0, 5.4, 1.0) is None
    assert (
        policy.CompactionRules().tier(1)
        == 0
        < policy.CompactionRules().tier(10**6)
        < policy.CompactionRules().tier(10**9)
    )


# -- sub-commands


def run(*args, **more):
    return CliRunner().invoke(main, ["store", *map(str, args)], **more)


def test_sub_commands_inspect_verify_copy_dump_and_load_a_store(tmp_path):
    path = tmp_path / "s"
    with Store(path, reserve=0) as store:
        for i in range(50):
            store.put(b"k%02d" % i, b"value %d" % i, 2**50 if i == 7 else 0)
        store.put(b"\xff\x00", b"\x01")
        store.delete(b"k00")
    figures = ujson.loads(run("stat", path, "--json").stdout)
    assert (
        figures["keys"] == 50 and figures["findings"] == [] and "keys" in run("stat", path).stdout
    )
    assert (
        run("get", path, "k07").stdout == "value 7"
        and run("get", path, "ff00", "--hex").stdout == "\x01"
    )
    assert ujson.loads(run("get", path, "k07", "--json").stdout)["expires"] == 2**50
    assert run("get", path, "nothing").exit_code == 1
    assert (
        run("scan", path, "--prefix", "k0", "--limit", "2").stdout == "k01\tvalue 1\nk02\tvalue 2\n"
    )
    assert run("scan", path, "--keys").stdout.splitlines()[-1] == "0xff00"
    assert run("verify", path).exit_code == 0
    assert run("compact", path).exit_code == 0
    assert run("backup", path, tmp_path / "b").exit_code == 0
    assert run("backup", path, tmp_path / "b").exit_code == 2  # the target is not empty
    assert run("restore", tmp_path / "b", tmp_path / "r").exit_code == 0
    dumped = run("dump", tmp_path / "r").stdout
    assert run("load", tmp_path / "l", input=dumped).stdout == "50 records loaded\n"
    assert run("dump", tmp_path / "l").stdout == dumped and len(dumped.splitlines()) == 50
    bad = run("load", tmp_path / "m", input=dumped[:100] + "\n")
    assert (
        bad.exit_code == 2
        and "line 3: invalid record" in bad.stderr
        and bad.stderr.count("\n") == 1
    )
    with Store(path, reserve=0):
        refused = run("scan", path)
        assert refused.exit_code == 2 and "held by process" in refused.stderr
        assert run("stat", path).exit_code == 0


def test_verify_names_the_damaged_file_of_each_kind_and_changes_nothing(tmp_path):
    with Store(tmp_path, reserve=0) as store:
        for i in range(20):
            store.put(b"k%02d" % i, b"value %d" % i)
    for pattern, what in (("*.seg", "damage"), ("*.hint", "hint"), ("MANIFEST", "manifest")):
        (file,) = tmp_path.glob(pattern)
        sound = file.read_bytes()
        flipped = bytearray(sound)
        flipped[len(flipped) // 2] ^= 4
        file.write_bytes(flipped)
        before = sorted((p.name, p.read_bytes()) for p in tmp_path.iterdir())
        result = run("verify", tmp_path, "--json")
        (finding,) = ujson.loads(result.stdout)["findings"]
        assert result.exit_code == 1 and (finding["what"], finding["file"]) == (what, file.name)
        if what == "damage":
            assert finding["start"] <= len(flipped) // 2 < finding["end"]
        run("stat", tmp_path)
        assert before == sorted((p.name, p.read_bytes()) for p in tmp_path.iterdir())
        file.write_bytes(sound)
