"""Helpers for tests of the store: an engine on a simulated disk, a model, and a decoder without recovery."""

from __future__ import annotations

import random

from yewrill.store import Batch, format
from yewrill.store.engine import Engine
from yewrill.store.policy import CompactionRules
from yewrill.store.simdisk import SimulatedDisk

RULES = CompactionRules(
    min_garbage_bytes=256, min_tier_bytes=2048, fan_in=3, max_output_bytes=1 << 20
)


def open_engine(disk, seed=0, **more) -> Engine:
    rng = random.Random(seed)
    return Engine(
        disk,
        salt=lambda: rng.getrandbits(32),
        **{"rules": RULES, "segment_size": 3000, "reserve": 0, **more},
    )


def read_all(engine: Engine, now: int = 0) -> dict[bytes, bytes]:
    """Returns all keys and values, and checks that scans are ordered."""
    seen = {key: found.value for key, found in engine.scan(now)}
    assert list(seen) == sorted(seen)
    return seen


def reopen_and_read(disk: SimulatedDisk, now: int = 0, **more) -> dict[bytes, bytes]:
    return read_all(open_engine(disk, 99, **more), now)


def compact_once(
    engine: Engine, now: int, everything: bool = False, rng: random.Random | None = None
) -> bool:
    """Compacts the segments that the policy chooses, or random ones if `rng` is given.

    Returns whether any were chosen. Compaction must be correct for every choice of segments.
    """
    numbers = engine.choose_segments(now, everything)
    if rng is not None:
        numbers = [s.name.number for s in engine.sealed() if rng.random() < 0.4]
    for _ in engine.compact(numbers, now):
        pass
    return bool(numbers)


class Model:
    """The expected content of the store: value and expiry by key. Tests update it on acknowledgements."""

    def __init__(self):
        self.data: dict[bytes, tuple[bytes, int]] = {}

    def data_after(self, batch: Batch) -> dict:
        data = dict(self.data)
        for op in batch.ops:
            if op.kind == format.PUT:
                data[op.key] = op.value, op.expires
            else:
                data.pop(op.key, None)
        return data

    @staticmethod
    def unexpired(data: dict, now: int) -> dict[bytes, bytes]:
        return {
            key: value for key, (value, expires) in data.items() if not expires or expires > now
        }


def workload(seed: int = 7, commits: int = 300) -> list[Batch]:
    """Returns batches of puts, deletions and expiring values over few keys, 500 operations or more."""
    rng = random.Random(seed)
    batches = []
    for i in range(commits):
        batch = Batch()
        for _ in range(rng.choice((1, 1, 1, 2, 5))):
            key = b"%c%d" % (rng.choice(b"abc"), rng.randrange(16))
            if rng.random() < 0.2:
                batch.delete(key)
            else:
                # Some values expire during the run, some only after it.
                expires = rng.choice((0, 0, 0, i + rng.randrange(1, 40), 10**6))
                batch.put(key, b"%d" % i * rng.randrange(1, 4), expires)
        batches.append(batch)
    return batches


def decode_frames(name: str, data: bytes) -> list[tuple[int, int, list[format.Op]]]:
    """Returns start, end and operations of each frame in an undamaged segment."""
    parsed = format.segment_name(name)
    _, at = format.decode_segment_header(data, parsed)
    found = []
    while at < len(data):
        head = format.decode_frame_header(data, at, parsed.salt)
        end = at + format.FRAME_HEADER_BYTES + head.length
        found.append(
            (
                at,
                end,
                format.decode_body(
                    data[at + format.FRAME_HEADER_BYTES : end], head, parsed.salt, 0
                ),
            )
        )
        at = end
    return found


def expected_contents(
    files: dict[str, list[tuple[int, int, list[format.Op]]]], now: int
) -> dict[bytes, bytes]:
    """Returns the content that frames define: the operation with the highest sequence number of each key."""
    best: dict[bytes, format.Op] = {}
    for parts in files.values():
        for _, _, ops in parts:
            for op in ops:
                if op.key not in best or best[op.key].seq < op.seq:
                    best[op.key] = op
    return {
        op.key: op.value
        for op in best.values()
        if op.kind == format.PUT and (not op.expires or op.expires > now)
    }


def record_directories(commits: int = 300) -> list[tuple[dict[str, bytes], int]]:
    """Returns the files of a store before, between and after two compactions, each with the clock."""
    disk = SimulatedDisk()
    engine = open_engine(disk)
    directories = []
    batches = workload(commits=commits)
    assert sum(len(batch.ops) for batch in batches) >= 500
    for now, batch in enumerate(batches):
        assert isinstance(engine.commit([batch], now)[0], int)
        if now in (commits // 3, 2 * commits // 3):
            directories.append((disk.dump(), now))
            assert compact_once(engine, now, everything=True)
    assert engine.compactions == 2
    directories.append((disk.dump(), len(batches)))
    return directories
