"""A voter's persistent state in the embedded store. Each change is one atomic batch."""

from __future__ import annotations

import msgpack

from yewrill.leases.raft_types import (
    LogEntry,
    PersistentRaftState,
    Snapshot,
)
from yewrill.store import Batch, Store

META, SNAPSHOT, ENTRY, FENCE = b"raft/meta", b"raft/snapshot", b"raft/log/", b"fence/"


def _entry_key(index: int) -> bytes:
    return ENTRY + b"%020d" % index


def read(store: Store, voters: tuple[str, ...]) -> tuple[PersistentRaftState, int]:
    """Returns the stored state and the last incarnation.

    For an empty store, the state is the initial one with these voters, and the incarnation is 0.
    """
    meta = store.get(META)
    if meta is None:
        return PersistentRaftState(snapshot=Snapshot(0, 0, voters)), 0
    term, vote, incarnation = msgpack.unpackb(meta)
    stored = store.get(SNAPSHOT)
    snapshot = Snapshot(0, 0, voters)
    if stored is not None:
        index, entry_term, names, data = msgpack.unpackb(stored)
        snapshot = Snapshot(index, entry_term, tuple(names), data)
    log = []
    for key, value in store.scan(prefix=ENTRY):
        # Entries after a gap in the indexes are ignored.
        if int(key[len(ENTRY) :]) == snapshot.index + len(log) + 1:
            entry_term, kind, data, names = msgpack.unpackb(value)
            log.append(LogEntry(entry_term, kind, data, tuple(names)))
    return PersistentRaftState(term, vote, tuple(log), snapshot), incarnation


def state_batch(
    before: PersistentRaftState | None, now: PersistentRaftState, incarnation: int
) -> Batch:
    """Returns the batch that turns the stored state `before` into `now`."""
    batch = Batch().put(META, msgpack.packb([now.term, now.vote, incarnation]))
    if before is None or before.snapshot != now.snapshot:
        snapshot = now.snapshot
        batch.put(
            SNAPSHOT, msgpack.packb([snapshot.index, snapshot.term, snapshot.voters, snapshot.data])
        )
    old = {} if before is None else dict(enumerate(before.log, before.snapshot.index + 1))
    new = dict(enumerate(now.log, now.snapshot.index + 1))
    for index, entry in new.items():
        if old.get(index) != entry:
            batch.put(
                _entry_key(index), msgpack.packb([entry.term, entry.kind, entry.data, entry.voters])
            )
    for index in old.keys() - new.keys():
        batch.delete(_entry_key(index))
    return batch


def read_fences(store: Store) -> dict[str, int]:
    """Returns the highest fencing number of each role."""
    return {key[len(FENCE) :].decode(): int(value) for key, value in store.scan(prefix=FENCE)}


def fence_batch(role: str, number: int) -> Batch:
    """Returns the batch that stores the highest fencing number of a role."""
    return Batch().put(FENCE + role.encode(), b"%d" % number)
