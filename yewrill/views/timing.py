"""Timing of the views, counters of a member, and the evidence about one edge. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.membership.evidence import LinkState, PeerLink
from yewrill.views.agreement import Ballot
from yewrill.views.view import Entry, depth_of

NEVER = -1e18


@dataclass(frozen=True, slots=True)
class ViewTiming:
    """Timing of views, in seconds unless stated otherwise.

    Beats come every `interval` up to `constant` members, and above more rarely, by the size to the power of
    `growth`, but never more rarely than every `slowest`. Up to `small` members each heartbeat carries the
    renewal round, above that every other one.
    """

    interval: float = 0.25
    slowest: float = 1.0
    constant: int = 24
    growth: float = 0.65
    small: int = 100
    lease: float = 3.0  # the shortest lease
    silence: float = 1.75  # the shortest silence of an edge that makes it faulty
    silent_beats: float = 3.5  # the same in beats, where these are long
    threshold: float = 6.0  # phi
    max_silence: float = 10.0
    settle: float = 2.0  # beats for which a cut must be stable before it is proposed
    call: float = 0.3  # between two join requests of a process that knows of a view
    gather: float = 1.2  # from the first joiner on, so that others join with it
    turn: float = 0.3  # until the next member may propose
    ballot: float = 1.0  # after which a ballot without a majority's promises is given up
    patience: float = 10.0  # with unstable members
    push: float = 0.05  # between two messages out of turn along an edge, at the shortest interval
    push_edges: int = 4  # to which one message goes out of turn at a time
    round_share: float = 0.2  # of a lease: the shortest renewal round
    first_wait: float = 2.0  # of a removed member, before it is attested
    longest_wait: float = 300.0
    remember: float = 600.0  # how long a removal is remembered, and doubles the wait

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
class ViewCounters:
    """Counts since the start, for metrics."""

    installed: int = 0
    proposed: int = 0
    taken_out: int = 0  # times that the others removed us
    late: int = 0
    conflict: int = 0
    refused: int = 0  # messages that fit no view that we know


class Edge:
    """What is known of one other process, and of both directions of the link to it."""

    def __init__(self, entry: Entry, interval: float, now: float):
        self.entry, self.interval = entry, interval
        self.link = PeerLink(interval, now)
        self.last_received = now
        self.last_received_by_peer = now  # when it last received from us
        self.calls = 0
        self.other_sum = 0  # heartbeats whose registers differed from ours
        self.number = 0  # of the highest view that it was in
        self.version = 1  # of the format that it speaks
        self.has: dict[int, int] = {}  # numbers of the view's registers that it has or was sent
        self.proposal: tuple[Ballot, bytes] | None = None  # of the present vote: the one it holds
        self.attested: float | None = None  # of a joiner: since when we attest it

    def take(self, now: float, received_ago_ms: int, interval: int) -> None:
        """Record a message.

        `received_ago_ms`: since it received from us, -1: never; `interval`: ms to the next one, 0: none.
        """
        ago = None if received_ago_ms < 0 else received_ago_ms / 1000.0
        if interval:
            self.interval = interval / 1000.0
            self.link.record_report(now, ago, interval / 1000.0)
        if ago is not None:
            self.last_received_by_peer = max(self.last_received_by_peer, now - ago)
        self.last_received = now
        self.calls += 1

    def begin_view(self) -> None:
        """Forget what it holds of the previous view."""
        self.other_sum, self.has, self.proposal = 0, {}, None

    def faulty(self, now: float, rules: ViewTiming, least: float) -> bool:
        """Whether a direction has been silent for `least` seconds, which loss does not explain."""
        return (
            now - min(self.last_received, self.last_received_by_peer) >= least
            and self.link.state(now, rules.threshold, rules.max_silence) != LinkState.HEALTHY
        )

    def exclude_pause(self, duration: float) -> None:
        """Leave a local pause out of every silence."""
        self.link.exclude_pause(duration)
        self.last_received += duration
        self.last_received_by_peer += duration
