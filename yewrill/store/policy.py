"""The compaction policy, the sync schedule and the rate limit of background work.

This module has no I/O, clock or randomness.

A sealed segment (one that is no longer written to) is compacted for one of two reasons. *Garbage*: much of
it is overwritten, deleted or expired, and compaction frees that space. *Tiers*: segments of similar size are
merged into one of the next tier, so that the number of segments grows with the logarithm of the stored bytes
and each byte is rewritten about once per tier. Damaged segments come first: their intact records are copied
to a new segment.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SegmentStats:
    """The sizes of a sealed segment, in bytes, on which the policy decides."""

    number: int
    size: int
    live: int  # bytes of records that the index refers to
    deletions: int = 0  # bytes of tombstones
    damaged: bool = False

    @property
    def garbage(self) -> int:
        """The bytes that compaction frees."""
        return max(0, self.size - self.live - self.deletions)


@dataclass(frozen=True, slots=True)
class CompactionRules:
    """Thresholds from which a compaction is worth the bytes that it writes."""

    min_garbage_ratio: float = 0.5  # least garbage, as a share of the segment's size
    min_garbage_bytes: int = 64 * 1024  # least garbage that is worth a new file
    fan_in: int = 6  # least number of segments in one tier to merge
    tier_factor: float = 4.0  # ratio of the size limits of neighbouring tiers
    min_tier_bytes: int = 256 * 1024  # size limit of the lowest tier
    max_output_bytes: int = 128 * 1024 * 1024  # most bytes that one compaction writes

    def tier(self, size: int) -> int:
        """Returns the tier of a segment of this size."""
        tier = 0
        bound = self.min_tier_bytes
        while size > bound:
            tier += 1
            bound = int(bound * self.tier_factor)
        return tier


def choose(
    segments: Sequence[SegmentStats], rules: CompactionRules, writable_bytes: int | None = None
) -> list[int]:
    """Returns the numbers of the segments to compact into one, an empty list if none is worth it.

    `writable_bytes` is None unless the disk is full; then it bounds the bytes that the compaction may write,
    and the segments that free most bytes per byte written are chosen.
    """
    max_bytes = (
        rules.max_output_bytes
        if writable_bytes is None
        else min(rules.max_output_bytes, writable_bytes)
    )
    if damaged := [
        segment for segment in segments if segment.damaged and _surviving(segment) <= max_bytes
    ]:
        return _fill(damaged, max_bytes)
    if writable_bytes is not None:
        wasteful = [segment for segment in segments if segment.garbage > 0]
    else:
        wasteful = [
            segment
            for segment in segments
            if segment.garbage >= rules.min_garbage_bytes
            and segment.garbage >= rules.min_garbage_ratio * segment.size
        ]
    wasteful.sort(
        key=lambda segment: (_surviving(segment) / max(1, segment.garbage), segment.number)
    )
    if chosen := _fill(wasteful, max_bytes):
        return chosen
    if writable_bytes is not None:
        return []
    tiers: dict[int, list[SegmentStats]] = {}
    for segment in segments:
        tiers.setdefault(rules.tier(segment.size), []).append(segment)
    for tier in sorted(tiers):
        if len(tiers[tier]) >= rules.fan_in:
            chosen = _fill(sorted(tiers[tier], key=lambda segment: segment.number), max_bytes)
            if len(chosen) >= rules.fan_in:
                return chosen
    return []


def choose_everything(segments: Sequence[SegmentStats], rules: CompactionRules) -> list[int]:
    """Returns the segments that an explicit compaction merges next: as many as fit one output, most garbage
    first."""
    worst = sorted(
        segments, key=lambda segment: (-segment.garbage / max(1, segment.size), segment.number)
    )
    chosen = _fill(worst, rules.max_output_bytes)
    nothing_to_do = len(chosen) == 1 and not any(
        segment.garbage or segment.deletions or segment.damaged
        for segment in segments
        if segment.number in chosen
    )
    return [] if nothing_to_do else chosen


def _surviving(segment: SegmentStats) -> int:
    return segment.live + segment.deletions


def _fill(segments: Sequence[SegmentStats], max_bytes: int) -> list[int]:
    """Returns the numbers of the segments that fit one output, tried in the given order."""
    chosen, written = [], 0
    for segment in segments:
        if written + _surviving(segment) <= max_bytes:
            chosen.append(segment.number)
            written += _surviving(segment)
    return chosen


def may_drop_tombstone(seq: int, remaining_lowest_seqs: Sequence[int]) -> bool:
    """Whether compaction may drop a tombstone with sequence number `seq`.

    `remaining_lowest_seqs` are the lowest sequence numbers of the segments that are not compacted. Only a
    segment whose lowest number is below the tombstone's can hold an older record of the key.
    """
    return all(lowest_seq > seq for lowest_seq in remaining_lowest_seqs)


@dataclass(slots=True)
class Pacer:
    """A token bucket, in bytes, that limits the rate of background work. Times are monotonic seconds."""

    rate: float  # bytes per second; 0: unlimited
    burst: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def spend(self, size: int, now: float) -> float:
        """Accounts for `size` bytes of work; returns the seconds to wait before the next."""
        if self.rate <= 0:
            return 0.0
        self.tokens = min(self.burst, self.tokens + max(0.0, now - self.updated_at) * self.rate)
        self.updated_at = now
        self.tokens -= size
        return max(0.0, -self.tokens / self.rate)


def sync_due(mode: str, dirty: bool, since: float, now: float, interval: float) -> float | None:
    """Returns the seconds until written data must be synced: 0 or less means now, None no sync.

    `since` is when the oldest unsynced write was made; all times are in monotonic seconds.
    """
    if not dirty or mode == "never":
        return None
    return 0.0 if mode == "always" else since + interval - now
