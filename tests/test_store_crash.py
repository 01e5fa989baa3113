"""The store with files truncated and damaged at every byte, and crashes and errors at every disk call."""

from __future__ import annotations

import errno
import random

import pytest
from store_world import (
    Model,
    compact_once,
    decode_frames,
    expected_contents,
    open_engine,
    read_all,
    record_directories,
    reopen_and_read,
    workload,
)

from yewrill.store import (
    Batch,
    DamagedValue,
    StoreFull,
    StorePoisoned,
    StoreReadOnly,
    format,
)
from yewrill.store.files import QUARANTINE
from yewrill.store.recovery import open_directory
from yewrill.store.simdisk import SHORT, Crashed, SimulatedDisk, _Handle

DIRECTORIES = record_directories()


def frames_by_file(files: dict[str, bytes]) -> dict:
    return {
        name: decode_frames(name, data) for name, data in files.items() if name.endswith(".seg")
    }


@pytest.mark.parametrize("moment", range(3))
def test_files_truncated_at_every_byte_keep_their_intact_frames(moment):
    files, now = DIRECTORIES[moment]
    parts = frames_by_file(files)
    assert expected_contents(parts, now) == reopen_and_read(SimulatedDisk.of(files), now)
    for name, data in files.items():
        for cut in range(len(data)):
            left = dict(parts)
            if name in left:
                left[name] = [part for part in left[name] if part[1] <= cut]
            disk = SimulatedDisk.of({**files, name: data[:cut]})
            assert reopen_and_read(disk, now) == expected_contents(left, now), (name, cut)
        # What one recovery has repaired, the next one finds undamaged.
        state = open_directory(disk)
        assert not [f for f in state.findings if f.kind in ("torn", "damage")] or name not in parts


def test_a_segment_truncated_at_every_byte_gives_the_last_acknowledged_state():
    disk, model, marks = SimulatedDisk(), Model(), []
    engine = open_engine(disk, segment_size=10**6)
    for batch in workload()[:150]:
        engine.commit([batch], 0)
        model.data = model.data_after(batch)
        marks.append((engine._active.size, model.unexpired(model.data, 0)))
    ((name, data),) = ((n, d) for n, d in disk.dump().items() if n.endswith(".seg"))
    at = 0
    for cut in range(marks[0][0], len(data)):
        while at + 1 < len(marks) and marks[at + 1][0] <= cut:
            at += 1
        seen = open_directory(SimulatedDisk.of({**disk.dump(), name: data[:cut]}))
        assert seen.next_seq > 0 and len(seen.index) == len(marks[at][1]), cut
        if cut % 7 == 0:
            assert (
                reopen_and_read(SimulatedDisk.of({**disk.dump(), name: data[:cut]})) == marks[at][1]
            ), cut


@pytest.mark.parametrize("moment", range(3))
def test_a_bit_flipped_in_any_byte_loses_at_most_its_own_frame(moment):
    files, now = DIRECTORIES[moment]
    parts = frames_by_file(files)
    rng = random.Random(moment)
    for name, data in files.items():
        for at in range(len(data)):
            flipped = bytearray(data)
            flipped[at] ^= 1 << rng.randrange(8)
            left = dict(parts)
            if name in left:
                left[name] = [part for part in left[name] if not part[0] <= at < part[1]]
            given = {**files, name: bytes(flipped)}
            if name in parts:  # damage that a hint hides is tested below
                given.pop(name.replace(".seg", ".hint"), None)
            disk = SimulatedDisk.of(given)
            engine = open_engine(disk, 5)
            assert read_all(engine, now) == expected_contents(left, now), (name, at)
            if name in left and at >= parts[name][0][0] and len(left[name]) < len(parts[name]):
                (finding,) = (f for f in engine.findings if f.kind in ("damage", "torn"))
                assert finding.file == name and finding.start <= at < finding.end
                kept = disk.dump()[f"{QUARANTINE}{name}.{finding.start}-{finding.end}"]
                assert kept == bytes(flipped[finding.start : finding.end])


def test_a_flipped_bit_in_a_segment_with_a_hint_is_reported_by_the_reader_and_by_compaction():
    disk = SimulatedDisk()
    engine = open_engine(disk, segment_size=10**6)
    for i in range(20):
        engine.commit([Batch().put(b"k%02d" % i, b"value %d" % i)], 0)
    engine.close()
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = bytearray(disk.dump()[name])
    data[data.index(b"value 7")] ^= 1
    disk = SimulatedDisk.of({**disk.dump(), name: bytes(data)})
    engine = open_engine(disk, 1)
    assert not engine.findings
    with pytest.raises(DamagedValue) as raised:
        engine.get(b"k07", 0)
    assert raised.value.segment == name and engine.get(b"k08", 0).value == b"value 8"
    assert compact_once(engine, 0)
    assert len(read_all(engine)) == 19 and any(n.startswith(QUARANTINE) for n in disk.dump())


def crash_at_every_call(outcomes: int = 8, disk: SimulatedDisk | None = None) -> int:
    """Crashes before every call that can change the disk, and reopens the store; returns the crash count.

    Each crash is tried with several random outcomes of unsynced writes. The content must then be that of the
    last acknowledged batch, or with the batch in progress applied completely.
    """
    disk = disk or SimulatedDisk()
    disk.crashes = 0
    acknowledged, in_progress, now = {}, {}, 0

    def check(number: int, word: str, name: str) -> None:
        if word in ("read", "open", "list"):
            return
        disk.crashes += 1
        for outcome in range(outcomes):
            found = disk.after_crash(random.Random(number * 100 + outcome))
            seen = reopen_and_read(found, now)
            states = [Model.unexpired(state, now) for state in (acknowledged, in_progress)]
            assert seen in states, f"call {number} {word} {name}, outcome {outcome}"

    disk.fail = check
    engine, model = open_engine(disk), Model()
    for now, batch in enumerate(workload(seed=11, commits=240)):  # noqa: B007
        acknowledged, in_progress = model.data, model.data_after(batch)
        assert isinstance(engine.commit([batch], now)[0], int)
        acknowledged = model.data = in_progress
        if now % 40 == 39:
            compact_once(
                engine,
                now,
                everything=now % 80 == 39,
                rng=random.Random(now) if now % 120 == 39 else None,
            )
            for _ in engine.write_hints():
                pass
    assert engine.compactions >= 2
    return disk.crashes


def test_a_crash_at_every_call_loses_nothing_acknowledged():
    assert crash_at_every_call() > 600


def test_a_crash_during_recovery_loses_nothing():
    files, now = DIRECTORIES[1]
    name = max(n for n in files if n.endswith(".seg"))
    files = {**files, name: files[name][:-3], "MANIFEST": files["MANIFEST"][:-1]}
    expected = reopen_and_read(SimulatedDisk.of(files), now)
    for at in range(1, 200):
        disk = SimulatedDisk.of(files)
        disk.crash_at = at
        try:
            open_engine(disk, 3).close()
        except Crashed:
            assert reopen_and_read(disk.after_crash(random.Random(at)), now) == expected
        else:
            break
    assert 10 < at < 199


# -- each safeguard is needed: without it, one of the tests above fails


def test_without_checksums_flipped_bits_are_accepted(monkeypatch):
    monkeypatch.setattr(format, "extend_crc32c", lambda crc, data: 7)
    monkeypatch.setattr(format, "crc32c", lambda data: 7)
    disk = SimulatedDisk()
    engine = open_engine(disk)
    engine.commit([Batch().put(b"key", b"value")], 0)
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = disk.dump()[name]
    seen = reopen_and_read(SimulatedDisk.of({**disk.dump(), name: data[:-1] + b"X"}))
    assert seen == {b"key": b"valuX"}


def test_without_syncing_names_a_crash_loses_whole_segments():
    disk = SimulatedDisk()
    disk.name_syncs_enabled = False
    with pytest.raises(AssertionError, match="call"):
        crash_at_every_call(disk=disk)


def test_without_syncing_compacted_data_before_the_manifest_a_crash_loses_it(monkeypatch):
    # The output is not synced, so its data may reach the disk after the manifest that lists it.
    sync = _Handle.sync
    monkeypatch.setattr(
        _Handle, "sync", lambda handle: handle._name.endswith(".seg.new") or sync(handle)
    )
    with pytest.raises(AssertionError, match="call"):
        crash_at_every_call()


# -- single faults


def test_a_frame_length_damaged_to_a_huge_number_is_rejected():
    disk = SimulatedDisk()
    engine = open_engine(disk)
    for i in range(3):
        engine.commit([Batch().put(b"k%d" % i, b"v")], 0)
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = bytearray(disk.dump()[name])
    second = decode_frames(name, bytes(data))[1][0]
    data[second + 4 : second + 8] = b"\xff\xff\xff\x7f"
    engine = open_engine(SimulatedDisk.of({**disk.dump(), name: bytes(data)}))
    assert read_all(engine) == {b"k0": b"v", b"k2": b"v"}
    assert engine.findings[0].records == 1


def test_a_value_that_contains_an_encoded_frame_is_not_recovered_as_one():
    disk = SimulatedDisk()
    engine = open_engine(disk, segment_size=10**6)
    image = format.encode_frame([format.Op(format.PUT, b"forged", b"yes", 999)], 0, 0)
    engine.commit([Batch().put(b"a", image * 3)], 0)
    engine.commit([Batch().put(b"b", b"1")], 0)
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = bytearray(disk.dump()[name])
    data[decode_frames(name, bytes(data))[0][0]] ^= 1
    assert reopen_and_read(SimulatedDisk.of({**disk.dump(), name: bytes(data)})) == {b"b": b"1"}


def test_after_a_failed_sync_no_write_is_accepted_even_if_later_syncs_succeed():
    disk = SimulatedDisk()
    engine = open_engine(disk)
    engine.commit([Batch().put(b"a", b"1")], 0)
    disk.fail = lambda number, word, name: errno.EIO if word == "sync" else None
    assert isinstance(engine.commit([Batch().put(b"b", b"2")], 0)[0], StorePoisoned)
    disk.fail = None
    assert isinstance(engine.commit([Batch().put(b"c", b"3")], 0)[0], StorePoisoned)
    assert read_all(engine) == {b"a": b"1"}
    assert not list(engine.compact([1], 0))
    for seed in range(20):
        seen = reopen_and_read(disk.after_crash(random.Random(seed)))
        assert seen in ({b"a": b"1"}, {b"a": b"1", b"b": b"2"})


def test_a_write_that_fails_or_is_short_leaves_nothing_of_its_batch():
    disk = SimulatedDisk()
    engine = open_engine(disk)
    engine.commit([Batch().put(b"a", b"1")], 0)
    tries = iter([SHORT, errno.EIO])
    disk.fail = lambda number, word, name: next(tries, None) if word == "write" else None
    (result,) = engine.commit([Batch().put(b"b", b"2" * 50).put(b"c", b"3")], 0)
    assert isinstance(result, Exception)
    assert isinstance(engine.commit([Batch().put(b"d", b"4")], 0)[0], int)
    assert (
        read_all(engine)
        == reopen_and_read(disk.after_crash(random.Random(1)))
        == {b"a": b"1", b"d": b"4"}
    )
    disk.fail = lambda number, word, name: SHORT if word == "write" else None
    assert isinstance(engine.commit([Batch().put(b"e", b"5" * 100)], 0)[0], int)
    assert reopen_and_read(disk.after_kill())[b"e"] == b"5" * 100


def test_a_full_disk_rejects_whole_batches_but_still_deletes_and_compacts():
    disk = SimulatedDisk(capacity=50_000)
    engine = open_engine(disk, reserve=16_000)
    model, full = Model(), 0
    for i in range(2000):
        batch = Batch().put(b"k%d" % (i % 200), b"x" * 60).put(b"l%d" % (i % 200), b"y" * 60)
        result, small = engine.commit([batch, Batch().put(b"s", b"")], 0)
        if isinstance(result, int):
            model.data = model.data_after(batch)
        else:
            assert isinstance(result, StoreFull)
            full += 1
        if isinstance(small, int):
            model.data = model.data_after(Batch().put(b"s", b""))
        if full > 5:
            break
    assert full and engine.low_on_space and read_all(engine) == Model.unexpired(model.data, 0)
    victims = [key for key in model.data if key.startswith(b"l")]
    for key in victims:
        while not isinstance(engine.commit([Batch().delete(key)], 0)[0], int):
            engine.seal()
            assert compact_once(engine, 0)
        model.data.pop(key)
    engine.seal()
    while compact_once(engine, 0):
        pass
    assert not engine.low_on_space and "RESERVE" in disk.dump()
    assert isinstance(engine.commit([Batch().put(b"new", b"z" * 3000)], 0)[0], int)
    model.data[b"new"] = b"z" * 3000, 0
    assert (
        read_all(engine)
        == reopen_and_read(disk.after_crash(random.Random(4)))
        == Model.unexpired(model.data, 0)
    )


def test_compaction_that_fails_at_any_call_leaves_the_store_unchanged():
    files, now = DIRECTORIES[0]
    expected = reopen_and_read(SimulatedDisk.of(files), now)
    failed = 0
    for at in range(1, 400):
        disk = SimulatedDisk.of(files)
        engine = open_engine(disk, 2)
        first = disk.calls
        fault = random.Random(at).choice((errno.ENOSPC, errno.EIO))
        disk.fail = lambda number, word, name, at=first + at, fault=fault: (
            fault if number == at else None
        )
        try:
            for _ in engine.compact(engine.choose_segments(now, everything=True), now):
                pass
        except OSError:
            failed += 1
        done = disk.calls < first + at
        disk.fail = None
        assert read_all(engine, now) == expected
        assert reopen_and_read(disk.after_crash(random.Random(at)), now) == expected
        if engine.poisoned_by is None and not done:
            while compact_once(engine, now, everything=True) and len(engine.sealed()) > 1:
                pass
            assert read_all(engine, now) == reopen_and_read(disk.after_kill(), now) == expected
        if done:
            break
    assert failed > 10 and done


def test_a_read_only_directory_can_be_read():
    files, now = DIRECTORIES[0]
    expected = reopen_and_read(SimulatedDisk.of(files), now)
    name = max(n for n in files if n.endswith(".seg"))
    disk = SimulatedDisk.of({**files, name: files[name] + b"torn"})
    disk.read_only = True
    engine = open_engine(disk)
    assert read_all(engine, now) == expected
    assert isinstance(engine.commit([Batch().put(b"a", b"1")], now)[0], StoreReadOnly)
    assert engine.stat(now)["read_only"]
    engine.close()


def test_files_of_a_later_format_stay_unchanged_and_a_lost_manifest_is_rebuilt():
    files, now = DIRECTORIES[2]
    later = format.SegmentName(77, 5)
    head = bytearray(format.encode_segment_header(later)[:-4])
    head[8] = 9
    head += format.crc32c(bytes(head)).to_bytes(4, "little")
    foreign = bytes(head) + b"whatever the later format has"
    expected = reopen_and_read(SimulatedDisk.of(files), now)
    for manifest in (None, b"", b"nonsense", files["MANIFEST"][:-1] + b"?"):
        given = {**files, later.file: foreign}
        given.pop("MANIFEST")
        if manifest is not None:
            given["MANIFEST"] = manifest
        disk = SimulatedDisk.of(given)
        engine = open_engine(disk, 3)
        assert read_all(engine, now) == expected
        assert {f.kind for f in engine.findings} == {"manifest", "later-format"}
        engine.commit([Batch().put(b"more", b"1")], now)
        while compact_once(engine, now, everything=True) and len(engine.sealed()) > 1:
            pass
        engine.close()
        assert disk.dump()[later.file] == foreign
        assert reopen_and_read(disk, now) == {**expected, b"more": b"1"}
        if manifest is not None:
            assert disk.dump()[QUARANTINE + "MANIFEST.0"] == manifest
