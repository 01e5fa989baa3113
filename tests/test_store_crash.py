"""The store's files cut, flipped and crashed at every place."""

from __future__ import annotations

import errno
import random

import pytest
from store_world import (
    Model,
    compacted,
    contents,
    engine,
    frames,
    recorded,
    reopened,
    state_of,
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

MOMENTS = recorded()


def parts_of(files: dict[str, bytes]) -> dict:
    return {name: frames(name, data) for name, data in files.items() if name.endswith(".seg")}


@pytest.mark.parametrize("moment", range(3))
def test_files_cut_at_every_byte(moment):
    files, now = MOMENTS[moment]
    parts = parts_of(files)
    assert state_of(parts, now) == reopened(SimulatedDisk.of(files), now)
    for name, data in files.items():
        for cut in range(len(data)):
            left = dict(parts)
            if name in left:
                left[name] = [part for part in left[name] if part[1] <= cut]
            disk = SimulatedDisk.of({**files, name: data[:cut]})
            assert reopened(disk, now) == state_of(left, now), (name, cut)
        # And what an opening has mended, the next one finds sound.
        state = open_directory(disk)
        assert not [f for f in state.findings if f.kind in ("torn", "damage")] or name not in parts


def test_the_log_cut_at_every_byte_is_the_state_of_the_last_acknowledgement_before():
    disk, model, marks = SimulatedDisk(), Model(), []
    e = engine(disk, segment_size=10**6)
    for batch in workload()[:150]:
        e.commit([batch], 0)
        model.data = model.after(batch)
        marks.append((e._active.size, model.seen(model.data, 0)))
    ((name, data),) = ((n, d) for n, d in disk.dump().items() if n.endswith(".seg"))
    at = 0
    for cut in range(marks[0][0], len(data)):
        while at + 1 < len(marks) and marks[at + 1][0] <= cut:
            at += 1
        seen = open_directory(SimulatedDisk.of({**disk.dump(), name: data[:cut]}))
        assert seen.next_seq > 0 and len(seen.index) == len(marks[at][1]), cut
        if cut % 7 == 0:
            assert reopened(SimulatedDisk.of({**disk.dump(), name: data[:cut]})) == marks[at][1], (
                cut
            )


@pytest.mark.parametrize("moment", range(3))
def test_a_bit_flipped_in_every_byte_hides_its_own_frame_at_most(moment):
    files, now = MOMENTS[moment]
    parts = parts_of(files)
    rng = random.Random(moment)
    for name, data in files.items():
        for at in range(len(data)):
            flipped = bytearray(data)
            flipped[at] ^= 1 << rng.randrange(8)
            left = dict(parts)
            if name in left:
                left[name] = [part for part in left[name] if not part[0] <= at < part[1]]
            given = {**files, name: bytes(flipped)}
            if name in parts:  # what a hint hides is told later, see below
                given.pop(name.replace(".seg", ".hint"), None)
            disk = SimulatedDisk.of(given)
            e = engine(disk, 5)
            assert contents(e, now) == state_of(left, now), (name, at)
            if name in left and at >= parts[name][0][0] and len(left[name]) < len(parts[name]):
                (finding,) = (f for f in e.findings if f.kind in ("damage", "torn"))
                assert finding.file == name and finding.start <= at < finding.end
                kept = disk.dump()[f"{QUARANTINE}{name}.{finding.start}-{finding.end}"]
                assert kept == bytes(flipped[finding.start : finding.end])


def test_a_flipped_bit_behind_a_hint_is_reported_by_the_reader_and_by_compaction():
    disk = SimulatedDisk()
    e = engine(disk, segment_size=10**6)
    for i in range(20):
        e.commit([Batch().put(b"k%02d" % i, b"value %d" % i)], 0)
    e.close()
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = bytearray(disk.dump()[name])
    data[data.index(b"value 7")] ^= 1
    disk = SimulatedDisk.of({**disk.dump(), name: bytes(data)})
    e = engine(disk, 1)
    assert not e.findings
    with pytest.raises(DamagedValue) as told:
        e.get(b"k07", 0)
    assert told.value.segment == name and e.get(b"k08", 0).value == b"value 8"
    assert compacted(e, 0)
    assert len(contents(e)) == 19 and any(n.startswith(QUARANTINE) for n in disk.dump())


def crash_everywhere(outcomes: int = 8, disk: SimulatedDisk | None = None) -> int:
    """Crash before every call that can change the disk, with some fates of what is not synced, and reopen:
    what is found must be the state of the last acknowledgement, or of the batch under way, whole."""
    disk = disk or SimulatedDisk()
    disk.crashes = 0
    acknowledged, under_way, now = {}, {}, 0

    def check(number: int, word: str, name: str) -> None:
        if word in ("read", "open", "list"):
            return
        disk.crashes += 1
        for outcome in range(outcomes):
            found = disk.after_crash(random.Random(number * 100 + outcome))
            seen = reopened(found, now)
            states = [Model.seen(state, now) for state in (acknowledged, under_way)]
            assert seen in states, f"call {number} {word} {name}, outcome {outcome}"

    disk.fail = check
    e, model = engine(disk), Model()
    for now, batch in enumerate(workload(seed=11, commits=240)):  # noqa: B007
        acknowledged, under_way = model.data, model.after(batch)
        assert isinstance(e.commit([batch], now)[0], int)
        acknowledged = model.data = under_way
        if now % 40 == 39:
            compacted(
                e,
                now,
                everything=now % 80 == 39,
                some=random.Random(now) if now % 120 == 39 else None,
            )
            for _ in e.write_hints():
                pass
    assert e.compactions >= 2
    return disk.crashes


def test_a_crash_at_every_call_loses_nothing_acknowledged():
    assert crash_everywhere() > 600


def test_a_crash_in_the_middle_of_an_opening_does_no_harm():
    files, now = MOMENTS[1]
    name = max(n for n in files if n.endswith(".seg"))
    files = {**files, name: files[name][:-3], "MANIFEST": files["MANIFEST"][:-1]}
    expected = reopened(SimulatedDisk.of(files), now)
    for at in range(1, 200):
        disk = SimulatedDisk.of(files)
        disk.crash_at = at
        try:
            engine(disk, 3).close()
        except Crashed:
            assert reopened(disk.after_crash(random.Random(at)), now) == expected
        else:
            break
    assert 10 < at < 199


# -- the guards matter: each taken out, a test above fails


def test_without_checksums_flipped_bits_are_accepted(monkeypatch):
    monkeypatch.setattr(format, "extend", lambda crc, data: 7)
    monkeypatch.setattr(format, "crc32c", lambda data: 7)
    disk = SimulatedDisk()
    e = engine(disk)
    e.commit([Batch().put(b"key", b"value")], 0)
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = disk.dump()[name]
    seen = reopened(SimulatedDisk.of({**disk.dump(), name: data[:-1] + b"X"}))
    assert seen == {b"key": b"valuX"}


def test_without_syncing_names_a_crash_loses_whole_segments():
    disk = SimulatedDisk()
    disk.name_syncs_enabled = False
    with pytest.raises(AssertionError, match="call"):
        crash_everywhere(disk=disk)


def test_with_the_manifest_before_the_data_a_crash_loses_what_was_compacted(monkeypatch):
    # The output's data comes to disk whenever the system likes, after the manifest that names it.
    sync = _Handle.sync
    monkeypatch.setattr(
        _Handle, "sync", lambda handle: handle._name.endswith(".seg.new") or sync(handle)
    )
    with pytest.raises(AssertionError, match="call"):
        crash_everywhere()


# -- single failures


def test_a_length_damaged_to_a_huge_number_is_not_believed():
    disk = SimulatedDisk()
    e = engine(disk)
    for i in range(3):
        e.commit([Batch().put(b"k%d" % i, b"v")], 0)
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = bytearray(disk.dump()[name])
    second = frames(name, bytes(data))[1][0]
    data[second + 4 : second + 8] = b"\xff\xff\xff\x7f"
    e = engine(SimulatedDisk.of({**disk.dump(), name: bytes(data)}))
    assert contents(e) == {b"k0": b"v", b"k2": b"v"}
    assert e.findings[0].records == 1


def test_bytes_of_a_value_that_look_like_a_frame_are_none():
    disk = SimulatedDisk()
    e = engine(disk, segment_size=10**6)
    image = format.encode_frame([format.Op(format.PUT, b"forged", b"yes", 999)], 0, 0)
    e.commit([Batch().put(b"a", image * 3)], 0)
    e.commit([Batch().put(b"b", b"1")], 0)
    (name,) = (n for n in disk.dump() if n.endswith(".seg"))
    data = bytearray(disk.dump()[name])
    data[frames(name, bytes(data))[0][0]] ^= 1
    assert reopened(SimulatedDisk.of({**disk.dump(), name: bytes(data)})) == {b"b": b"1"}


def test_a_failed_sync_ends_writing_for_good_though_the_next_would_say_yes():
    disk = SimulatedDisk()
    e = engine(disk)
    e.commit([Batch().put(b"a", b"1")], 0)
    disk.fail = lambda number, word, name: errno.EIO if word == "sync" else None
    assert isinstance(e.commit([Batch().put(b"b", b"2")], 0)[0], StorePoisoned)
    disk.fail = None
    assert isinstance(e.commit([Batch().put(b"c", b"3")], 0)[0], StorePoisoned)
    assert contents(e) == {b"a": b"1"}
    assert not list(e.compact([1], 0))
    for seed in range(20):
        seen = reopened(disk.after_crash(random.Random(seed)))
        assert seen in ({b"a": b"1"}, {b"a": b"1", b"b": b"2"})


def test_a_write_that_fails_or_is_short_leaves_nothing_of_its_batch():
    disk = SimulatedDisk()
    e = engine(disk)
    e.commit([Batch().put(b"a", b"1")], 0)
    tries = iter([SHORT, errno.EIO])
    disk.fail = lambda number, word, name: next(tries, None) if word == "write" else None
    (result,) = e.commit([Batch().put(b"b", b"2" * 50).put(b"c", b"3")], 0)
    assert isinstance(result, Exception)
    assert isinstance(e.commit([Batch().put(b"d", b"4")], 0)[0], int)
    assert contents(e) == reopened(disk.after_crash(random.Random(1))) == {b"a": b"1", b"d": b"4"}
    disk.fail = lambda number, word, name: SHORT if word == "write" else None
    assert isinstance(e.commit([Batch().put(b"e", b"5" * 100)], 0)[0], int)
    assert reopened(disk.after_kill())[b"e"] == b"5" * 100


def test_a_full_disk_refuses_whole_batches_deletes_and_compacts_in_the_space_reserve():
    disk = SimulatedDisk(capacity=50_000)
    e = engine(disk, reserve=16_000)
    model, full = Model(), 0
    for i in range(2000):
        batch = Batch().put(b"k%d" % (i % 200), b"x" * 60).put(b"l%d" % (i % 200), b"y" * 60)
        result, small = e.commit([batch, Batch().put(b"s", b"")], 0)
        if isinstance(result, int):
            model.data = model.after(batch)
        else:
            assert isinstance(result, StoreFull)
            full += 1
        if isinstance(small, int):
            model.data = model.after(Batch().put(b"s", b""))
        if full > 5:
            break
    assert full and e.low_on_space and contents(e) == Model.seen(model.data, 0)
    victims = [key for key in model.data if key.startswith(b"l")]
    for key in victims:
        while not isinstance(e.commit([Batch().delete(key)], 0)[0], int):
            e.seal()
            assert compacted(e, 0)
        model.data.pop(key)
    e.seal()
    while compacted(e, 0):
        pass
    assert not e.low_on_space and "RESERVE" in disk.dump()
    assert isinstance(e.commit([Batch().put(b"new", b"z" * 3000)], 0)[0], int)
    model.data[b"new"] = b"z" * 3000, 0
    assert contents(e) == reopened(disk.after_crash(random.Random(4))) == Model.seen(model.data, 0)


def test_compaction_that_fails_at_any_call_leaves_all_as_it_was():
    files, now = MOMENTS[0]
    expected = reopened(SimulatedDisk.of(files), now)
    failed = 0
    for at in range(1, 400):
        disk = SimulatedDisk.of(files)
        e = engine(disk, 2)
        first = disk.calls
        fault = random.Random(at).choice((errno.ENOSPC, errno.EIO))
        disk.fail = lambda number, word, name, at=first + at, fault=fault: (
            fault if number == at else None
        )
        try:
            for _ in e.compact(e.choose_segments(now, everything=True), now):
                pass
        except OSError:
            failed += 1
        done = disk.calls < first + at
        disk.fail = None
        assert contents(e, now) == expected
        assert reopened(disk.after_crash(random.Random(at)), now) == expected
        if e.poisoned_by is None and not done:
            while compacted(e, now, everything=True) and len(e.sealed()) > 1:
                pass
            assert contents(e, now) == reopened(disk.after_kill(), now) == expected
        if done:
            break
    assert failed > 10 and done


def test_a_directory_made_read_only_is_read():
    files, now = MOMENTS[0]
    expected = reopened(SimulatedDisk.of(files), now)
    name = max(n for n in files if n.endswith(".seg"))
    disk = SimulatedDisk.of({**files, name: files[name] + b"torn"})
    disk.read_only = True
    e = engine(disk)
    assert contents(e, now) == expected
    assert isinstance(e.commit([Batch().put(b"a", b"1")], now)[0], StoreReadOnly)
    assert e.stat(now)["read_only"]
    e.close()


def test_a_later_format_is_left_alone_and_a_lost_manifest_made_up():
    files, now = MOMENTS[2]
    later = format.SegmentName(77, 5)
    head = bytearray(format.encode_segment_header(later)[:-4])
    head[8] = 9
    head += format.crc32c(bytes(head)).to_bytes(4, "little")
    foreign = bytes(head) + b"whatever the later format has"
    expected = reopened(SimulatedDisk.of(files), now)
    for manifest in (None, b"", b"nonsense", files["MANIFEST"][:-1] + b"?"):
        given = {**files, later.file: foreign}
        given.pop("MANIFEST")
        if manifest is not None:
            given["MANIFEST"] = manifest
        disk = SimulatedDisk.of(given)
        e = engine(disk, 3)
        assert contents(e, now) == expected
        assert {f.kind for f in e.findings} == {"manifest", "later-format"}
        e.commit([Batch().put(b"more", b"1")], now)
        while compacted(e, now, everything=True) and len(e.sealed()) > 1:
            pass
        e.close()
        assert disk.dump()[later.file] == foreign
        assert reopened(disk, now) == {**expected, b"more": b"1"}
        if manifest is not None:
            assert disk.dump()[QUARANTINE + "MANIFEST.0"] == manifest
