"""The key directory: the location of each key's newest value, and of older ones that snapshots still need.

`lock` guards all of it. It is held only briefly, never while a file is synced. Looking up one key needs no
lock, since single operations on the index and on the table of segments are atomic.
"""

from __future__ import annotations

import threading
from typing import NamedTuple

from sortedcontainers import SortedDict

from yewrill.store import format as fmt
from yewrill.store.segment import ENTRY, Segment


class _ReplacedEntry(NamedTuple):
    """An index entry that a snapshot may still need.

    It was the newest from its own sequence number up to, and without, `until`.
    """

    until: int
    entry: bytes
    segment: Segment


class KeyDirectory:
    """The index, the table of segments and the replaced entries that open snapshots need."""

    def __init__(self, index: SortedDict, segments: dict[int, Segment], next_seq: int):
        self.lock = threading.RLock()
        self.index = index  # maps a key to its packed ENTRY
        self.segments = segments  # maps the slot in index entries to the segment
        self.next_seq = next_seq  # sequence number of the next operation
        self.history: SortedDict = SortedDict()  # maps a key to its _ReplacedEntry objects
        # Maps the handle of each open snapshot to the last sequence number that the snapshot sees.
        self._snapshots: dict[int, int] = {}
        self._next_slot = max(segments, default=-1) + 1
        self._next_snapshot = 0

    def take_slot(self) -> int:
        """Returns the slot of a new segment, the number by which index entries refer to it. Never reused."""
        with self.lock:
            self._next_slot += 1
            return self._next_slot - 1

    # -- changes

    def apply(self, segment: Segment, op: fmt.Op, seq: int, offset: int) -> None:
        """Adds an operation that was written to a segment. The caller holds the lock."""
        size = fmt.op_size(op.key, len(op.value))
        segment.lowest_seq = min(segment.lowest_seq, seq)
        self._replace(op.key, seq)
        if op.kind == fmt.PUT:
            self.index[op.key] = ENTRY.pack(segment.slot, offset, len(op.value), seq, op.expires)
            segment.live += size
            if op.expires:
                segment.add_expiring_bytes(op.expires, size)
        else:
            self.index.pop(op.key, None)
            segment.deletions += size

    def remove_expired(self, key: bytes) -> None:
        """Removes a key whose value has expired. The caller holds the lock."""
        self._replace(key, self.next_seq)
        del self.index[key]

    def _replace(self, key: bytes, until: int) -> None:
        """Counts a key's entry as garbage, and keeps it in `history` if a snapshot still sees it."""
        entry = self.index.get(key)
        if entry is None:
            return
        slot, _, value_size, seq, expires = ENTRY.unpack(entry)
        segment = self.segments[slot]
        size = fmt.op_size(key, value_size)
        segment.live -= size
        if expires:
            segment.add_expiring_bytes(expires, -size)
        if self._snapshots and any(seq <= seen < until for seen in self._snapshots.values()):
            self.history.setdefault(key, []).append(_ReplacedEntry(until, entry, segment))

    def move(self, op: fmt.Op, output: Segment) -> None:
        """Makes a key's entry refer to its copy in a compaction's output if it is still the newest.

        The caller holds the lock.
        """
        entry = self.index.get(op.key)
        if op.kind != fmt.PUT or entry is None:
            return
        slot, _, value_size, seq, expires = ENTRY.unpack(entry)
        if seq != op.seq or slot == output.slot:
            return
        size = fmt.op_size(op.key, value_size)
        self.index[op.key] = ENTRY.pack(output.slot, op.offset, value_size, seq, expires)
        self.segments[slot].live -= size
        output.live += size
        if expires:
            self.segments[slot].add_expiring_bytes(expires, -size)
            output.add_expiring_bytes(expires, size)

    def remove_segments(self, segments: list[Segment]) -> int:
        """Removes segments after their compaction.

        Returns the number of keys that were lost since their only value was unreadable.
        """
        with self.lock:
            lost: list[bytes] = []
            # Bytes still live in a compacted segment belong to damaged frames, which could not be copied.
            if any(segment.live > 0 for segment in segments):
                slots = {segment.slot for segment in segments}
                lost = [key for key, entry in self.index.items() if ENTRY.unpack(entry)[0] in slots]
                for key in lost:
                    del self.index[key]
            for segment in segments:
                del self.segments[segment.slot]
        return len(lost)

    # -- snapshots

    @property
    def snapshot_count(self) -> int:
        """The number of open snapshots."""
        return len(self._snapshots)

    def open_snapshot(self) -> tuple[int, int]:
        """Opens a snapshot; returns its handle and the last sequence number that it sees."""
        with self.lock:
            self._next_snapshot += 1
            self._snapshots[self._next_snapshot] = self.next_seq - 1
            return self._next_snapshot, self.next_seq - 1

    def close_snapshot(self, handle: int) -> None:
        """Closes a snapshot and drops the entries that only it needed. A second call has no effect."""
        with self.lock:
            self._snapshots.pop(handle, None)
            if not self._snapshots:
                self.history.clear()
                return
            seen = self._snapshots.values()
            for key, replaced in list(self.history.items()):
                replaced[:] = [
                    old
                    for old in replaced
                    if any(ENTRY.unpack(old.entry)[3] <= seq < old.until for seq in seen)
                ]
                if not replaced:
                    del self.history[key]

    def entry_at(self, key: bytes, seq: int) -> tuple[Segment, bytes] | None:
        """Returns a key's segment and entry as of a sequence number. The caller holds the lock."""
        entry = self.index.get(key)
        if entry is not None and ENTRY.unpack(entry)[3] <= seq:
            return self.segments[ENTRY.unpack(entry)[0]], entry
        for old in self.history.get(key, ()):
            if ENTRY.unpack(old.entry)[3] <= seq < old.until:
                return old.segment, old.entry
        return None
