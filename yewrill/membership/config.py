"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Intervals, limits and thresholds. Fields named `..._intervals` are multiples of `interval`, other times
    are in seconds."""

    interval: float = 0.5
    """Seconds between two probes."""
    timeout: float = 0.2
    """Seconds to wait for a direct ack; the rest of the interval is left to indirect probes."""
    indirect_probes: int = 3
    """Members that are asked to ping a member that did not answer."""
    suspicion_multiplier: float = 2.7
    """Shortest suspicion: this many intervals, times the decimal logarithm of the group's size."""
    max_suspicion_multiplier: float = 3.0
    """Longest suspicion, as a multiple of the shortest."""
    retransmit_multiplier: float = 4.0
    """Number of times an update is sent, divided by the decimal logarithm of the group's size."""
    forget_after: float = 600.0
    """Seconds after which a dead or departed member is removed from the table."""
    dead_probe_intervals: int = 5
    """Intervals between two attempts to reach a dead member or an unknown seed."""
    max_members: int = 4096
    """Members in the table; updates about further members are dropped."""
    page_size: int = 32
    """Entries in one page of the member list; those that do not fit in a datagram are left out."""
    quiet_after_intervals: float = 10.0
    """Intervals without a change of the table after which member lists are compared less often."""
    quiet_sync_intervals: int = 4
    """Intervals between two comparisons of member lists while the table does not change."""
    suspect_phi: float = 2.5
    """Phi at which a silent member is suspected: two unanswered probes on a network without loss."""
    death_phi: float = 8.0
    """Phi at which a suspect is declared dead: the local phi plus `suspect_phi` per confirmation."""
    confirmations: int = 3
    """Other members that must confirm a death; fewer suffice where fewer are reachable."""
    suspicion_fanout: int = 4
    """Members to which a suspicion or a death is sent at once, without waiting for gossip."""
    isolated_after_intervals: float = 3.0
    """Intervals without any message after which a member counts as isolated and suspects nobody."""
    recent_intervals: float = 8.0
    """A member counts as reachable if it sent a message within this many intervals."""
    one_way_intervals_per_member: float = 2.5
    """Intervals, times the group's size, for which a member that pings do not reach may be silent."""
    min_one_way_intervals: float = 20.0
    """Lower bound of that silence, in intervals."""
