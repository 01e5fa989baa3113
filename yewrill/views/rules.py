"""The times of the views, what a member's machine counts, and the evidence of one edge. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.members.evidence import WELL, Link
from yewrill.views.view import Entry, View

NEVER = -1e18


@dataclass(frozen=True, slots=True)
class Rules:
    """Seconds, where not said otherwise."""

    interval: float = 0.25  # between beats, up to `small` members; it grows with the size above
    slowest: float = 1.0
    small: int = 100
    lease: float = 3.0  # the shortest
    silence: float = 1.75  # the shortest of an edge that counts against it, at the interval above
    threshold: float = 6.0  # phi
    most_silence: float = 10.0
    settle: float = 2.0  # beats for which a cut is the same before it is proposed
    turn: float = 0.3  # until the next may propose
    ballot: float = (
        1.0  # for which a ballot counts that has no majority's promises; then another may begin
    )
    patience: float = 10.0  # for those that are unstable
    push: float = 0.05  # between two messages out of turn along an edge
    first_wait: float = 2.0  # of one taken out, before it is vouched for
    longest_wait: float = 300.0
    remember: float = 600.0  # for how long a wait doubles

    def beat(self, size: int) -> float:
        return min(self.slowest, self.interval * max(1.0, size / self.small))

    def lease_of(self, view: View) -> float:
        return max(self.lease, 3.0 * self.beat(len(view)) * (2.0 + view.depth))


@dataclass(slots=True)
class Counts:
    """For figures."""

    installed: int = 0
    proposed: int = 0
    taken_out: int = 0  # we, against our will
    late: int = 0
    conflict: int = 0
    refused: int = 0  # messages that fit no view of ours


class Edge:
    """What we know of the way to one and back."""

    def __init__(self, entry: Entry, interval: float, now: float):
        self.entry = entry
        self.link = Link(interval, now)
        self.heard = self.word = now  # when it was heard last, and when it last heard us
        self.calls = 0
        self.other_sum = 0  # beats in which its registers were not ours

    def take(self, now: float, heard: int, interval: int) -> None:
        ago = None if heard < 0 else heard / 1000.0
        if interval:
            self.link.heard(now, ago, interval / 1000.0)
        if ago is not None:
            self.word = max(self.word, now - ago)
        self.heard = now
        self.calls += 1

    def bad(self, now: float, rules: Rules, least: float) -> bool:
        return (
            now - min(self.heard, self.word) >= least
            and self.link.state(now, rules.threshold, rules.most_silence) != WELL
        )

    def forgive(self, span: float) -> None:
        self.link.forgive(span)
        self.heard += span
        self.word += span
