"""An open segment, and the form of an index entry."""

from __future__ import annotations

import struct

from yewrill.store.files import Handle
from yewrill.store.format import SegmentName
from yewrill.store.policy import SegmentFacts

# Slot of the segment, offset of the operation in it, size of the value, sequence number, expiry. Packed,
# since a tuple of five numbers takes four times the memory.
ENTRY = struct.Struct("<IIIQq")
SLOT = struct.Struct("<I")  # its beginning
TOMBSTONE = 0xFFFFFFFF  # as a value's size: the key was deleted; only while a directory is read
EXPIRY_BUCKET_MS = 60_000  # expiries within it are counted together


class Segment:
    """One file of frames. Only the newest is written to; the file is closed with its last reader."""

    __slots__ = (
        "name",
        "salt",
        "handle",
        "slot",
        "size",
        "start",
        "live",
        "deletions",
        "lowest",
        "damaged",
        "hinted",
        "output",
        "expiring",
    )

    def __init__(self, name: SegmentName, handle: Handle, slot: int):
        self.name = name
        self.salt = name.salt
        self.handle = handle
        self.slot = slot
        self.size = 0
        self.start = 0  # of the first frame
        self.live = 0  # bytes of records that are in the index
        self.deletions = 0  # bytes of deletions
        self.lowest = 2**63  # sequence number
        self.damaged = False
        self.hinted = False
        self.output = False  # made by compaction, so that numbers have holes
        self.expiring: dict[int, int] = {}  # bytes of live records by the time of their expiry

    def note_expiry(self, expires: int, size: int) -> None:
        """Add to (or, if negative, take from) the live bytes that expire at a time."""
        bucket = expires // EXPIRY_BUCKET_MS
        left = self.expiring.get(bucket, 0) + size
        if left:
            self.expiring[bucket] = left
        else:
            del self.expiring[bucket]

    def facts(self, now: int) -> SegmentFacts:
        """Return what the compaction policy needs to know; what has expired is not live."""
        expired = sum(
            size for bucket, size in self.expiring.items() if (bucket + 1) * EXPIRY_BUCKET_MS <= now
        )
        return SegmentFacts(
            self.name.number, self.size, max(0, self.live - expired), self.deletions, self.damaged
        )
