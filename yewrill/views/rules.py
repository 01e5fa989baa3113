"""The times of the views, what a member's machine counts, and the evidence of one edge. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.membership.evidence import LinkState, PeerLink
from yewrill.views.agreement import Ballot
from yewrill.views.view import Entry, depth_of

NEVER = -1e18


@dataclass(frozen=True, slots=True)
class Rules:
    """Seconds, where not said otherwise.

    Beats come every `interval` up to `constant` members, and above more rarely, by the size to the power of
    `growth`, but never more rarely than every `slowest`. Each carries the round up to `small` members, every
    other one above.
    """

    interval: float = 0.25
    slowest: float = 1.0
    constant: int = 24
    growth: float = 0.65
    small: int = 100
    lease: float = 3.0  # the shortest
    silence: float = 1.75  # the shortest of an edge that counts against it
    silent_beats: float = 3.5  # the same in beats, where these are long
    threshold: float = 6.0  # phi
    most_silence: float = 10.0
    settle: float = 2.0  # beats for which a cut is the same before it is proposed
    call: float = 0.3  # between two calls of one that knows of a view
    gather: float = 1.2  # from the first joiner on, so that others come with it
    turn: float = 0.3  # until the next may propose
    ballot: float = 1.0  # after which one without a majority's promises is given up
    patience: float = 10.0  # for those that are unstable
    push: float = 0.05  # between two messages out of turn along an edge, at the shortest interval
    push_edges: int = 4  # to which one message goes out of turn at a time
    round_share: float = 0.2  # of a lease: the shortest round
    first_wait: float = 2.0  # of one taken out, before it is vouched for
    longest_wait: float = 300.0
    remember: float = 600.0  # for how long a wait doubles

    def beat(self, size: int) -> float:
        """Seconds between two beats along an edge. What a member sends a second falls with the size."""
        longer = max(1.0, size / self.constant) ** self.growth
        return min(self.slowest, self.interval * longer)

    def push_gap(self, size: int) -> float:
        """Seconds between two messages out of turn along an edge."""
        return self.push * self.beat(size) / self.interval

    def lease_for(self, size: int) -> float:
        """Seconds that a lease lasts in a view of so many."""
        return max(self.lease, 3.0 * self.beat(size) * (2.0 + depth_of(size)))


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
        self.entry, self.interval = entry, interval
        self.link = PeerLink(interval, now)
        self.heard = self.word = now  # when it was heard last, and when it last heard us
        self.calls = 0
        self.other_sum = 0  # beats in which its registers were not ours
        self.number = 0  # of the highest view that it was heard in
        self.version = 1  # of the format that it speaks
        self.has: dict[int, int] = {}  # numbers of the view's registers that it has or was sent
        self.proposal: tuple[Ballot, bytes] | None = None  # of the present vote: which it holds
        self.vouched: float | None = None  # of a joiner: since when nothing speaks against it

    def take(self, now: float, heard: int, interval: int) -> None:
        """Note a message. `heard`: ms since it heard us, -1: never; `interval`: ms to the next, 0: none."""
        ago = None if heard < 0 else heard / 1000.0
        if interval:
            self.interval = interval / 1000.0
            self.link.record_report(now, ago, interval / 1000.0)
        if ago is not None:
            self.word = max(self.word, now - ago)
        self.heard = now
        self.calls += 1

    def begin_view(self) -> None:
        """Forget what it has of the view before."""
        self.other_sum, self.has, self.proposal = 0, {}, None

    def bad(self, now: float, rules: Rules, least: float) -> bool:
        return (
            now - min(self.heard, self.word) >= least
            and self.link.state(now, rules.threshold, rules.most_silence) != LinkState.HEALTHY
        )

    def forgive(self, span: float) -> None:
        self.link.exclude_pause(span)
        self.heard += span
        self.word += span
