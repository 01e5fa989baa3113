"""The engine against a plain dict: crashes, reopenings, snapshots and compactions in any order."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from store_world import Model, compacted, contents, engine

from yewrill.store import Batch, Conflict, format
from yewrill.store.simdisk import SimulatedDisk

KEYS = st.sampled_from([b"a", b"aa", b"ab", b"a\xff", b"b", b"\x00", b"\xff", b"\xff\xff"])
VALUES = st.binary(max_size=40)
# A time to live, 0 for ever.
LIVES = st.sampled_from([0, 0, 0, 1, 5, 50])


class StoreMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.rng = random.Random(seed)
        self.disk = SimulatedDisk()
        self.now = 100
        self.model = Model()
        self.versions: dict[bytes, int] = {}
        self.snapshots: list[tuple] = []
        self.unsynced: list[dict] = []  # states that a crash may leave beside the present one
        self.gone: set[bytes] = (
            set()
        )  # over when compaction met them: absent even if the clock is set back
        self.engine = engine(self.disk, seed, segment_size=400, reserve=4096)

    def seen(self) -> dict[bytes, bytes]:
        return Model.seen(self.model.data, self.now)

    @rule(ops=st.lists(st.tuples(KEYS, VALUES | st.none(), LIVES), min_size=1, max_size=4))
    def write(self, ops):
        batch = Batch()
        for key, value, life in ops:
            if value is None:
                batch.delete(key)
            else:
                batch.put(key, value, self.now + life if life else 0)
        (version,) = self.engine.commit([batch], self.now)
        self.took(batch, version)

    def took(self, batch, version):
        self.model.data = self.model.after(batch)
        for i, op in enumerate(batch.ops):
            self.versions[op.key] = version + i if op.kind == format.PUT else 0
            self.gone.discard(op.key)

    @rule(key=KEYS, value=VALUES, right=st.booleans())
    def conditional(self, key, value, right):
        held = self.versions.get(key, 0) if key in self.seen() else 0
        first = Batch().require(key, held if right else held + 1).put(key, value)
        second = Batch().require(key, held).put(key, b"second")
        results = self.engine.commit([first, second], self.now)
        # Within one group the second is judged after the first.
        assert isinstance(results[0], int) == right and isinstance(results[1], Conflict) == right
        self.took(first if right else second, results[0] if right else results[1])

    @rule(forward=st.integers(0, 30))
    def time_goes_on(self, forward):
        self.now += forward

    @rule(back=st.integers(1, 20))
    def clock_set_back(self, back):
        self.now -= back
        for key in self.gone:
            self.model.data.pop(key, None)

    @rule(everything=st.booleans(), some=st.booleans())
    def compact(self, everything, some):
        # What is over may go for good now, or not: a clock set back later must not tell.
        before = {key for key in self.model.data if key not in self.seen()}
        compacted(self.engine, self.now, everything, self.rng if some else None)
        for key in before:
            if self.engine.directory.index.get(key) is None:
                self.gone.add(key)
        while (
            everything and len(self.engine.sealed()) > 1 and compacted(self.engine, self.now, True)
        ):
            pass

    @rule()
    def seal_and_hint(self):
        self.engine.seal()
        for _ in self.engine.write_hints():
            pass

    @rule(how=st.sampled_from(["close", "kill", "crash"]))
    def reopen(self, how):
        for snapshot, _ in self.snapshots:
            snapshot.close()
        self.snapshots.clear()
        if how == "close":
            self.engine.close()
        else:
            self.disk = self.disk.after_kill() if how == "kill" else self.disk.after_crash(self.rng)
        self.engine = engine(self.disk, self.rng.randrange(2**16), segment_size=400, reserve=4096)
        assert not [f for f in self.engine.findings if f.kind != "torn"]

    @precondition(lambda self: len(self.snapshots) < 3)
    @rule()
    def hold_snapshot(self):
        self.snapshots.append((self.engine.snapshot(self.now), self.seen()))

    @precondition(lambda self: self.snapshots)
    @rule(which=st.integers(0, 2))
    def end_snapshot(self, which):
        snapshot, held = self.snapshots.pop(which % len(self.snapshots))
        self.check(snapshot, held)
        snapshot.close()
        assert self.snapshots or not self.engine.directory.history

    @staticmethod
    def check(snapshot, held):
        assert {key: found.value for key, found in snapshot.scan()} == held
        assert [key for key, _ in snapshot.scan(reverse=True)] == sorted(held, reverse=True)
        assert all(snapshot.get(key).value == value for key, value in held.items())

    @rule(
        prefix=st.sampled_from([b"", b"a", b"\xff", b"a\xff"]),
        ends=st.tuples(KEYS, KEYS | st.none()),
        reverse=st.booleans(),
    )
    def scan(self, prefix, ends, reverse):
        start, stop = ends
        found = [
            key
            for key, _ in self.engine.scan(
                self.now, prefix=prefix, start=start, stop=stop, reverse=reverse
            )
        ]
        assert found == sorted(
            (
                key
                for key in self.seen()
                if key.startswith(prefix) and key >= start and (stop is None or key < stop)
            ),
            reverse=reverse,
        )

    @rule()
    def back_up(self):
        target = SimulatedDisk()
        for _ in self.engine.backup(target):
            pass
        assert contents(engine(target, 1), self.now) == self.seen()

    @invariant()
    def all_is_there(self):
        assert contents(self.engine, self.now) == self.seen()
        for snapshot, held in self.snapshots:
            self.check(snapshot, held)
        assert all(segment.live >= 0 for segment in self.engine.sealed())


StoreMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_store_machine = StoreMachine.TestCase
