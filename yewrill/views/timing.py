"""Timing of the views, counters of a member, and the evidence about one edge. This module does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.membership.evidence import LinkState, PeerLink
from yewrill.views.agreement import Ballot
from yewrill.views.view import Entry, estimate_diameter

NEVER = -1e18


@dataclass(frozen=True, slots=True)
class ViewTiming:
    """Timing of views, in seconds unless stated otherwise.

    The interval of heartbeats is `interval` in views of up to `constant_interval_size` members. In larger
    ones it grows with the size to the power of `interval_growth_exponent`, up to `max_interval`. In views of
    up to `small_view_size` members each heartbeat carries the renewal round, in larger ones about half do.
    """

    interval: float = 0.25
    max_interval: float = 1.0
    constant_interval_size: int = 24
    interval_growth_exponent: float = 0.65
    small_view_size: int = 100
    min_lease: float = 3.0
    min_silence: float = 1.75  # shortest silence after which an edge is faulty
    # Shortest silence in heartbeat intervals; the longer one of this and `min_silence` applies.
    min_silence_heartbeats: float = 3.5
    # Threshold for phi of the accrual failure detector: -log10 of the probability of a silence.
    phi_threshold: float = 6.0
    max_silence: float = 10.0
    # Number of heartbeat intervals for which a change must be stable before it is proposed.
    cut_stable_heartbeats: float = 2.0
    join_interval: float = 0.3  # time between two join requests of a process that knows of a view
    # Time from the first joiner to a proposal, so that further joiners are admitted with it.
    join_batch_delay: float = 1.2
    proposer_delay: float = 0.3  # time between the turns of two members to propose
    # Time without progress after which a ballot is given up and another one may follow.
    ballot_timeout: float = 1.0
    # Time for which unstable members, or joiners that are not admitted, hold up other changes.
    unstable_timeout: float = 10.0
    # Time between two pushes, at the shortest heartbeat interval. A push sends changes between heartbeats.
    push_interval: float = 0.05
    push_edges: int = 4  # limit on the edges along which one push sends long messages
    min_round_share: float = 0.2  # shortest renewal round, as a fraction of the lease duration
    # Time after a process's first removal in which it may not rejoin; doubles with each further removal.
    min_rejoin_delay: float = 2.0
    max_rejoin_delay: float = 300.0
    # Time after which a removal no longer counts for the rejoin delay.
    removal_retention: float = 600.0

    def interval_for(self, size: int) -> float:
        """Returns the seconds between two heartbeats, so that a member's sending rate falls with the size."""
        factor = max(1.0, size / self.constant_interval_size) ** self.interval_growth_exponent
        return min(self.max_interval, self.interval * factor)

    def push_interval_for(self, size: int) -> float:
        """Returns the seconds between two pushes."""
        return self.push_interval * self.interval_for(size) / self.interval

    def lease_for(self, size: int) -> float:
        """Returns the duration of a lease in a view of this size."""
        return max(self.min_lease, 3.0 * self.interval_for(size) * (2.0 + estimate_diameter(size)))


@dataclass(slots=True)
class ViewCounters:
    """Counts since the start, for metrics."""

    installed: int = 0
    proposed: int = 0
    removed: int = 0  # number of times that this process was removed from a view
    pauses: int = 0  # number of pauses of this process, detected by late timers
    # Number of times that a peer had another list of members under the number of this member's view.
    conflicts: int = 0
    rejected: int = 0  # number of messages that were malformed or did not fit the view


class Edge:
    """The evidence about one other process, and about both directions of the link to it."""

    def __init__(self, entry: Entry, interval: float, now: float):
        self.entry, self.interval = entry, interval
        self.link = PeerLink(interval, now)
        self.last_received = now
        # Time at which the peer last received a message from this process.
        self.last_received_by_peer = now
        self.messages_received = 0
        # Number of consecutive heartbeats whose checksum of the registers differed from this member's.
        self.checksum_mismatches = 0
        self.view_number = 0  # highest number of a view that the peer is known to have been in
        self.format_version = 1  # version of the heartbeat format that the peer understands
        # By rank, the number of the latest register that the peer has or was sent.
        self.register_numbers: dict[int, int] = {}
        # Ballot and proposal that the peer holds.
        self.known_proposal: tuple[Ballot, bytes] | None = None
        # If the peer is a joiner: time since when this process attests it.
        self.attested_since: float | None = None

    def record_message(self, now: float, received_ago_ms: int, interval: int) -> None:
        """Records a message of the peer.

        `received_ago_ms`: ms since the peer received from this process, -1: never. `interval`: ms to the next
        heartbeat, 0 in a push.
        """
        ago = None if received_ago_ms < 0 else received_ago_ms / 1000.0
        if interval:
            self.interval = interval / 1000.0
            self.link.record_report(now, ago, interval / 1000.0)
        if ago is not None:
            self.last_received_by_peer = max(self.last_received_by_peer, now - ago)
        self.last_received = now
        self.messages_received += 1

    def begin_view(self) -> None:
        """Forgets which registers and proposal of the previous view the peer holds."""
        self.checksum_mismatches, self.register_numbers, self.known_proposal = 0, {}, None

    def faulty(self, now: float, timing: ViewTiming, min_silence: float) -> bool:
        """Returns whether a direction is silent for `min_silence` seconds and loss does not explain it."""
        return (
            now - min(self.last_received, self.last_received_by_peer) >= min_silence
            and self.link.state(now, timing.phi_threshold, timing.max_silence) != LinkState.HEALTHY
        )

    def exclude_pause(self, duration: float) -> None:
        """Leaves a pause of this process out of the silences of the link."""
        self.link.exclude_pause(duration)
        self.last_received += duration
        self.last_received_by_peer += duration
