"""An open segment file, and the layout of an index entry."""

from __future__ import annotations

import struct

from yewrill.store.files import Handle
from yewrill.store.format import SegmentName
from yewrill.store.policy import SegmentStats

# Index entry: slot (number) of the segment, offset of the operation in the segment, size of the value,
# sequence number, expiry.
# Entries are packed since a tuple of five numbers takes four times the memory.
ENTRY = struct.Struct("<IIIQq")
SLOT = struct.Struct("<I")  # the slot alone, the first field of ENTRY
TOMBSTONE = 0xFFFFFFFF  # value size that marks a deleted key; used only during recovery
# Width of a bucket: the bytes of records that expire within the same bucket are added up.
EXPIRY_BUCKET_MS = 60_000


class Segment:
    """An open segment file. Commits append to the newest one only."""

    __slots__ = (
        "name",
        "salt",
        "handle",
        "slot",
        "size",
        "frames_start",
        "live",
        "deletions",
        "lowest_seq",
        "damaged",
        "hinted",
        "from_compaction",
        "expiring_bytes",
    )

    def __init__(self, name: SegmentName, handle: Handle, slot: int):
        self.name = name
        self.salt = name.salt
        self.handle = handle
        self.slot = slot
        self.size = 0
        self.frames_start = 0  # offset of the first frame
        self.live = 0  # bytes of records that the index refers to
        self.deletions = 0  # bytes of tombstones
        self.lowest_seq = 2**63  # lowest sequence number of the segment's operations
        self.damaged = False
        self.hinted = False  # the segment has a valid hint file
        # Whether compaction wrote the segment; its sequence numbers then have gaps.
        self.from_compaction = False
        self.expiring_bytes: dict[int, int] = {}  # live bytes by expiry bucket

    def add_expiring_bytes(self, expires: int, size: int) -> None:
        """Adds `size`, which may be negative, to the live bytes that expire at a time (ms)."""
        bucket = expires // EXPIRY_BUCKET_MS
        left = self.expiring_bytes.get(bucket, 0) + size
        if left:
            self.expiring_bytes[bucket] = left
        else:
            del self.expiring_bytes[bucket]

    def stats(self, now: int) -> SegmentStats:
        """Returns the sizes that the compaction policy needs; expired records count as garbage."""
        expired = sum(
            size
            for bucket, size in self.expiring_bytes.items()
            if (bucket + 1) * EXPIRY_BUCKET_MS <= now
        )
        return SegmentStats(
            self.name.number, self.size, max(0, self.live - expired), self.deletions, self.damaged
        )
