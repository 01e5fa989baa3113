"""The engine compared with a dict over random sequences of writes, crashes, snapshots and compactions."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from store_world import Model, compact_once, open_engine, read_all

from yewrill.store import Batch, Conflict, format
from yewrill.store.simdisk import SimulatedDisk

KEYS = st.sampled_from([b"a", b"aa", b"ab", b"a\xff", b"b", b"\x00", b"\xff", b"\xff\xff"])
VALUES = st.binary(max_size=40)
# A value with lifetime 0 never expires.
LIFETIMES_MS = st.sampled_from([0, 0, 0, 1, 5, 50])


class StoreMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def open_empty_store(self, seed):
        self.rng = random.Random(seed)
        self.disk = SimulatedDisk()
        self.now = 100
        self.model = Model()
        self.versions: dict[bytes, int] = {}
        self.snapshots: list[tuple] = []
        self.unsynced: list[dict] = []
        # Expired keys that compaction removed. They stay absent even if the clock is set back.
        self.removed_by_compaction: set[bytes] = set()
        self.engine = open_engine(self.disk, seed, segment_size=400, reserve=4096)

    def expected(self) -> dict[bytes, bytes]:
        return Model.unexpired(self.model.data, self.now)

    @rule(ops=st.lists(st.tuples(KEYS, VALUES | st.none(), LIFETIMES_MS), min_size=1, max_size=4))
    def write(self, ops):
        batch = Batch()
        for key, value, life in ops:
            if value is None:
                batch.delete(key)
            else:
                batch.put(key, value, self.now + life if life else 0)
        (version,) = self.engine.commit([batch], self.now)
        self.apply_to_model(batch, version)

    def apply_to_model(self, batch, version):
        self.model.data = self.model.data_after(batch)
        for i, op in enumerate(batch.ops):
            self.versions[op.key] = version + i if op.kind == format.PUT else 0
            self.removed_by_compaction.discard(op.key)

    @rule(key=KEYS, value=VALUES, right=st.booleans())
    def conditional(self, key, value, right):
        held = self.versions.get(key, 0) if key in self.expected() else 0
        first = Batch().require(key, held if right else held + 1).put(key, value)
        second = Batch().require(key, held).put(key, b"second")
        results = self.engine.commit([first, second], self.now)
        # Within one group the second batch's condition is checked after the first batch was applied.
        assert isinstance(results[0], int) == right and isinstance(results[1], Conflict) == right
        self.apply_to_model(first if right else second, results[0] if right else results[1])

    @rule(forward=st.integers(0, 30))
    def advance_clock(self, forward):
        self.now += forward

    @rule(back=st.integers(1, 20))
    def set_clock_back(self, back):
        self.now -= back
        for key in self.removed_by_compaction:
            self.model.data.pop(key, None)

    @rule(everything=st.booleans(), some=st.booleans())
    def compact(self, everything, some):
        # Compaction may remove expired keys for good. A clock that is set back must not bring those back.
        before = {key for key in self.model.data if key not in self.expected()}
        compact_once(self.engine, self.now, everything, self.rng if some else None)
        for key in before:
            if self.engine.directory.index.get(key) is None:
                self.removed_by_compaction.add(key)
        while (
            everything
            and len(self.engine.sealed()) > 1
            and compact_once(self.engine, self.now, True)
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
        self.engine = open_engine(
            self.disk, self.rng.randrange(2**16), segment_size=400, reserve=4096
        )
        assert not [f for f in self.engine.findings if f.kind != "torn"]

    @precondition(lambda self: len(self.snapshots) < 3)
    @rule()
    def open_snapshot(self):
        self.snapshots.append((self.engine.snapshot(self.now), self.expected()))

    @precondition(lambda self: self.snapshots)
    @rule(which=st.integers(0, 2))
    def close_snapshot(self, which):
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
                for key in self.expected()
                if key.startswith(prefix) and key >= start and (stop is None or key < stop)
            ),
            reverse=reverse,
        )

    @rule()
    def back_up(self):
        target = SimulatedDisk()
        for _ in self.engine.backup(target):
            pass
        assert read_all(open_engine(target, 1), self.now) == self.expected()

    @invariant()
    def store_equals_the_model(self):
        assert read_all(self.engine, self.now) == self.expected()
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
