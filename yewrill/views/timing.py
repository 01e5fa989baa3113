"""Timing of the views, counters of a member, and the evidence about one edge. It does no I/O."""

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
    min_silence_heartbeats: float = 3.5  # the same in heartbeat intervals, whichever is longer
    phi_threshold: float = 6.0  # phi of the accrual failure detector, without a unit
    max_silence: float = 10.0
    cut_stable_heartbeats: float = (
        2.0  # heartbeat intervals for which a change is stable before it is proposed
    )
    join_interval: float = 0.3  # between two join requests of a process that knows of a view
    join_batch_delay: float = 1.2  # after the first joiner, so that others join with it
    proposer_delay: float = 0.3  # between the turns of two proposers
    ballot_timeout: float = (
        1.0  # without progress, after which a ballot is given up and another may follow
    )
    unstable_timeout: float = (
        10.0  # for which unstable members, or joiners not admitted, hold up others
    )
    push_interval: float = 0.05  # between two pushes, at the shortest heartbeat interval
    push_edges: int = 4  # number of edges for one push of long messages
    min_round_share: float = 0.2  # shortest renewal round, as a fraction of the lease
    min_rejoin_delay: float = 2.0  # after the first removal; doubles with each further one
    max_rejoin_delay: float = 300.0
    removal_retention: float = 600.0  # after which a removal no longer counts for the delay

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
    removed: int = 0  # times that this process was removed from a view
    pauses: int = 0  # local pauses, detected by late timers
    conflicts: int = 0  # other lists under the number of our view
    rejected: int = 0  # messages that are malformed or don't fit the view


class Edge:
    """The evidence about one other process, and about both directions of the link to it."""

    def __init__(self, entry: Entry, interval: float, now: float):
        self.entry, self.interval = entry, interval
        self.link = PeerLink(interval, now)
        self.last_received = now
        self.last_received_by_peer = now  # when the peer last received a message from this process
        self.messages_received = 0
        self.checksum_mismatches = 0  # heartbeats in a row whose registers differed from ours
        self.view_number = 0  # highest view that the peer was in
        self.format_version = 1  # version of the heartbeat format that the peer understands
        self.register_numbers: dict[
            int, int
        ] = {}  # by rank, the registers that the peer has or was sent
        self.known_proposal: tuple[Ballot, bytes] | None = (
            None  # ballot and proposal that the peer holds
        )
        self.attested_since: float | None = (
            None  # since when this process attests the peer, a joiner
        )

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
        """Forgets what the peer holds of the previous view."""
        self.checksum_mismatches, self.register_numbers, self.known_proposal = 0, {}, None

    def faulty(self, now: float, timing: ViewTiming, min_silence: float) -> bool:
        """Returns whether a direction is silent for `min_silence` seconds and loss does not explain it."""
        return (
            now - min(self.last_received, self.last_received_by_peer) >= min_silence
            and self.link.state(now, timing.phi_threshold, timing.max_silence) != LinkState.HEALTHY
        )

    def exclude_pause(self, duration: float) -> None:
        """Leaves a local pause out of the silences."""
        self.link.exclude_pause(duration)
        self.last_received += duration
        self.last_received_by_peer += duration
