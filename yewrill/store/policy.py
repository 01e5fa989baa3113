"""What to compact, when to sync and how fast to work in the background. No I/O, no clock, no randomness.

Compaction has two reasons. *Garbage*: a segment of which a good part is overwritten, deleted or expired
gives its room back. *Tiers*: many segments of about one size are merged to one of the next, so that their
number grows with the logarithm of what is stored and each byte is rewritten about once a tier. Damaged
segments go first: what is whole in them is brought to a sound file.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SegmentFacts:
    """What is known of a segment that is no longer written to; sizes in bytes."""

    number: int
    size: int
    live: int  # of records that a reader can still reach
    deletions: int = 0  # of records that only say that a key is gone
    damaged: bool = False

    @property
    def garbage(self) -> int:
        return max(0, self.size - self.live - self.deletions)


@dataclass(frozen=True, slots=True)
class Rules:
    """When compaction is worth its writing."""

    garbage_share: float = 0.5  # of a segment
    least_garbage: int = 64 * 1024  # bytes; less is not worth a file
    fan_in: int = 6  # segments of a tier before they are merged
    tier_factor: float = 4.0  # between the sizes of neighbouring tiers
    smallest: int = 256 * 1024  # bytes; all smaller segments are one tier
    most_output: int = 128 * 1024 * 1024  # bytes that one compaction writes at most

    def tier(self, size: int) -> int:
        tier = 0
        bound = self.smallest
        while size > bound:
            tier += 1
            bound = int(bound * self.tier_factor)
        return tier


def choose(segments: Sequence[SegmentFacts], rules: Rules, room: int | None = None) -> list[int]:
    """The numbers of the segments to compact into one, none if nothing is worth it.

    `room`: bytes that can be written at most; None where the disk is not short. On a full disk, the choice is
    whatever gives most back for what it writes.
    """
    most = rules.most_output if room is None else min(rules.most_output, room)
    if damaged := [s for s in segments if s.damaged and _kept(s) <= most]:
        return _fill(damaged, most)
    if room is not None:
        wasteful = [s for s in segments if s.garbage > 0]
    else:
        wasteful = [
            s
            for s in segments
            if s.garbage >= rules.least_garbage and s.garbage >= rules.garbage_share * s.size
        ]
    wasteful.sort(key=lambda s: (_kept(s) / max(1, s.garbage), s.number))
    if chosen := _fill(wasteful, most):
        return chosen
    if room is not None:
        return []
    tiers: dict[int, list[SegmentFacts]] = {}
    for segment in segments:
        tiers.setdefault(rules.tier(segment.size), []).append(segment)
    for tier in sorted(tiers):
        if len(tiers[tier]) >= rules.fan_in:
            chosen = _fill(sorted(tiers[tier], key=lambda s: s.number), most)
            if len(chosen) >= rules.fan_in:
                return chosen
    return []


def everything(segments: Sequence[SegmentFacts], rules: Rules) -> list[int]:
    """What an operator's "compact now" takes: all, as far as one output goes, the worst first."""
    worst = sorted(segments, key=lambda s: (-s.garbage / max(1, s.size), s.number))
    chosen = _fill(worst, rules.most_output)
    lone = len(chosen) == 1 and not any(
        s.garbage or s.deletions or s.damaged for s in segments if s.number in chosen
    )
    return [] if lone else chosen


def _kept(segment: SegmentFacts) -> int:
    return segment.live + segment.deletions


def _fill(segments: Sequence[SegmentFacts], most: int) -> list[int]:
    """As many of them as one output takes, in this order."""
    chosen, written = [], 0
    for segment in segments:
        if written + _kept(segment) <= most:
            chosen.append(segment.number)
            written += _kept(segment)
    return chosen


def may_drop_deletion(seq: int, others: Sequence[int]) -> bool:
    """Whether a deletion of this number can go: `others` are the lowest numbers in the segments that stay.

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
        """Seconds to wait after this much work at time `now` (seconds of any steady clock)."""
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
