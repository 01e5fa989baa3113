"""Which segments to compact, when to sync, how fast to work in the background. No I/O, clock or randomness.

Compaction has two reasons. *Garbage*: a segment of which a good part is overwritten, deleted or expired
frees its space. *Tiers*: many segments of about one size are merged to one of the next, so that their
number grows with the logarithm of what is stored and each byte is rewritten about once a tier. Damaged
segments go first: their whole records are copied to a new file.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SegmentFacts:
    """A sealed segment, as the choice needs to know it; sizes in bytes."""

    number: int
    size: int
    live: int  # of records that a reader can still reach
    deletions: int = 0  # of tombstones
    damaged: bool = False

    @property
    def garbage(self) -> int:
        """Bytes that compaction would free."""
        return max(0, self.size - self.live - self.deletions)


@dataclass(frozen=True, slots=True)
class Rules:
    """When a compaction is worth what it writes."""

    min_garbage_ratio: float = 0.5  # of a segment
    min_garbage_bytes: int = 64 * 1024  # bytes; less is not worth a file
    fan_in: int = 6  # segments of a tier before they are merged
    tier_factor: float = 4.0  # between the sizes of neighbouring tiers
    min_tier_bytes: int = 256 * 1024  # bytes; all smaller segments are one tier
    max_output_bytes: int = 128 * 1024 * 1024  # bytes that one compaction writes at most

    def tier(self, size: int) -> int:
        """Return the tier of a segment of this size."""
        tier = 0
        bound = self.min_tier_bytes
        while size > bound:
            tier += 1
            bound = int(bound * self.tier_factor)
        return tier


def choose(
    segments: Sequence[SegmentFacts], rules: Rules, writable_bytes: int | None = None
) -> list[int]:
    """Return the numbers of the segments to compact into one, none if nothing is worth it.

    `writable_bytes`: what can be written at most; None where the disk is not full. On a full disk, the choice
    is whatever frees most for what it writes.
    """
    max_bytes = (
        rules.max_output_bytes
        if writable_bytes is None
        else min(rules.max_output_bytes, writable_bytes)
    )
    if damaged := [s for s in segments if s.damaged and _surviving(s) <= max_bytes]:
        return _fill(damaged, max_bytes)
    if writable_bytes is not None:
        wasteful = [s for s in segments if s.garbage > 0]
    else:
        wasteful = [
            s
            for s in segments
            if s.garbage >= rules.min_garbage_bytes
            and s.garbage >= rules.min_garbage_ratio * s.size
        ]
    wasteful.sort(key=lambda s: (_surviving(s) / max(1, s.garbage), s.number))
    if chosen := _fill(wasteful, max_bytes):
        return chosen
    if writable_bytes is not None:
        return []
    tiers: dict[int, list[SegmentFacts]] = {}
    for segment in segments:
        tiers.setdefault(rules.tier(segment.size), []).append(segment)
    for tier in sorted(tiers):
        if len(tiers[tier]) >= rules.fan_in:
            chosen = _fill(sorted(tiers[tier], key=lambda s: s.number), max_bytes)
            if len(chosen) >= rules.fan_in:
                return chosen
    return []


def everything(segments: Sequence[SegmentFacts], rules: Rules) -> list[int]:
    """Return what an operator's "compact now" takes: all that one output holds, most garbage first."""
    worst = sorted(segments, key=lambda s: (-s.garbage / max(1, s.size), s.number))
    chosen = _fill(worst, rules.max_output_bytes)
    lone = len(chosen) == 1 and not any(
        s.garbage or s.deletions or s.damaged for s in segments if s.number in chosen
    )
    return [] if lone else chosen


def _surviving(segment: SegmentFacts) -> int:
    return segment.live + segment.deletions


def _fill(segments: Sequence[SegmentFacts], max_bytes: int) -> list[int]:
    """Return as many of them as one output holds, in this order."""
    chosen, written = [], 0
    for segment in segments:
        if written + _surviving(segment) <= max_bytes:
            chosen.append(segment.number)
            written += _surviving(segment)
    return chosen


def may_drop_deletion(seq: int, others: Sequence[int]) -> bool:
    """Whether a tombstone can be dropped: `others` are the lowest numbers in the segments that stay.

    An older record of the key can lie only in a segment whose lowest number is lower than the deletion's.
    """
    return all(lowest > seq for lowest in others)


@dataclass(slots=True)
class Pacer:
    """A token bucket in bytes: how long background work must wait before it goes on."""

    rate: float  # bytes a second, 0: no bound
    burst: float
    tokens: float = 0.0
    at: float = 0.0

    def spend(self, size: int, now: float) -> float:
        """Seconds to wait after this much work at time `now` (seconds of any monotonic clock)."""
        if self.rate <= 0:
            return 0.0
        self.tokens = min(self.burst, self.tokens + max(0.0, now - self.at) * self.rate)
        self.at = now
        self.tokens -= size
        return max(0.0, -self.tokens / self.rate)


def sync_due(mode: str, dirty: bool, since: float, now: float, interval: float) -> float | None:
    """Seconds until what was written must be synced; 0 or less: now; None: not at all."""
    if not dirty or mode == "never":
        return None
    return 0.0 if mode == "always" else since + interval - now
