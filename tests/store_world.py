"""A store on a simulated disk, a plain dict beside it, and a reader that knows nothing of recovery."""

from __future__ import annotations

import random

from yewrill.store import Batch, format
from yewrill.store.engine import Engine
from yewrill.store.policy import CompactionRules
from yewrill.store.simdisk import SimulatedDisk

RULES = CompactionRules(
    min_garbage_bytes=256, min_tier_bytes=2048, fan_in=3, max_output_bytes=1 << 20
)


def engine(disk, seed=0, **more) -> Engine:
    rng = random.Random(seed)
    return Engine(
        disk,
        salt=lambda: rng.getrandbits(32),
        **{"rules": RULES, "segment_size": 3000, "reserve": 0, **more},
    )


def contents(e: Engine, now: int = 0) -> dict[bytes, bytes]:
    """Everything that a reader sees."""
    seen = {key: found.value for key, found in e.scan(now)}
    assert list(seen) == sorted(seen)
    return seen


def reopened(disk: SimulatedDisk, now: int = 0, **more) -> dict[bytes, bytes]:
    return contents(engine(disk, 99, **more), now)


def compacted(
    e: Engine, now: int, everything: bool = False, some: random.Random | None = None
) -> bool:
    """Compact what the policy chooses, or any segments at all: every choice must be right."""
    numbers = e.choose_segments(now, everything)
    if some is not None:
        numbers = [s.name.number for s in e.sealed() if some.random() < 0.4]
    for _ in e.compact(numbers, now):
        pass
    return bool(numbers)


class Model:
    """What the store is to hold: a dict, changed when a batch is acknowledged."""

    def __init__(self):
        self.data: dict[bytes, tuple[bytes, int]] = {}

    def after(self, batch: Batch) -> dict:
        data = dict(self.data)
        for op in batch.ops:
            if op.kind == format.PUT:
                data[op.key] = op.value, op.expires
            else:
                data.pop(op.key, None)
        return data

    @staticmethod
    def seen(data: dict, now: int) -> dict[bytes, bytes]:
        return {
            key: value for key, (value, expires) in data.items() if not expires or expires > now
        }


def workload(seed: int = 7, commits: int = 300) -> list[Batch]:
    """Batches, deletions and expiries over few keys: 500 operations or more."""
    rng = random.Random(seed)
    batches = []
    for i in range(commits):
        batch = Batch()
        for _ in range(rng.choice((1, 1, 1, 2, 5))):
            key = b"%c%d" % (rng.choice(b"abc"), rng.randrange(16))
            if rng.random() < 0.2:
                batch.delete(key)
            else:
                # Some end before the clock of the run does, some never within it.
                expires = rng.choice((0, 0, 0, i + rng.randrange(1, 40), 10**6))
                batch.put(key, b"%d" % i * rng.randrange(1, 4), expires)
        batches.append(batch)
    return batches


def frames(name: str, data: bytes) -> list[tuple[int, int, list[format.Op]]]:
    """The frames of a sound segment, from begin to end."""
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


def state_of(
    files: dict[str, list[tuple[int, int, list[format.Op]]]], now: int
) -> dict[bytes, bytes]:
    """What frames amount to: of each key the highest number counts."""
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


def recorded(commits: int = 300) -> list[tuple[dict[str, bytes], int]]:
    """A run's directory before, between and after two compactions, and the clock at each."""
    disk = SimulatedDisk()
    e = engine(disk)
    moments = []
    batches = workload(commits=commits)
    assert sum(len(batch.ops) for batch in batches) >= 500
    for now, batch in enumerate(batches):
        assert isinstance(e.commit([batch], now)[0], int)
        if now in (commits // 3, 2 * commits // 3):
            moments.append((disk.dump(), now))
            assert compacted(e, now, everything=True)
    assert e.compactions == 2
    moments.append((disk.dump(), len(batches)))
    return moments
