"""Settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Intervals, limits and thresholds. "Intervals" are multiples of `interval`, other times are seconds."""

    interval: float = 0.5
    """Seconds between two probes."""
    timeout: float = 0.2
    """Seconds to wait for an answer; the rest of the interval is left to indirect probes."""
    indirect_probes: int = 3
    """Members that are asked to ping one that did not answer."""
    suspicion_multiplier: float = 2.7
    """The shortest suspicion, in intervals times the logarithm of the group's size."""
    max_suspicion_multiplier: float = 3.0
    """The longest suspicion, as a multiple of the shortest."""
    retransmit_multiplier: float = 4.0
    """How often an update is sent, times the logarithm of the group's size."""
    forget_after: float = 600.0
    """Seconds after which a dead or departed member is removed from the list."""
    dead_probe_intervals: int = 5
    """Intervals between two pings to dead members."""
    max_members: int = 4096
    """Members listed; updates about more are dropped."""
    page_size: int = 32
    """Entries of the list in one answer, as far as a datagram holds them."""
    quiet_after_intervals: float = 10.0
    """Intervals without a change after which lists are compared more rarely."""
    quiet_sync_intervals: int = 4
    """Intervals between two comparisons of lists then."""
    suspect_phi: float = 2.5
    """Phi at which a silent member is suspected: on a quiet network, two unanswered probes."""
    death_phi: float = 8.0
    """Phi at which a suspect is believed dead, our own and that of others added."""
    confirmations: int = 3
    """Findings of other members that a death needs, where so many members are reachable."""
    suspicion_fanout: int = 4
    """Members that are sent a suspicion at once."""
    isolated_after_intervals: float = 3.0
    """Intervals without any message after which a member judges nobody."""
    recent_intervals: float = 8.0
    """Whoever was heard from within so many intervals counts as reachable."""
    one_way_intervals_per_member: float = 2.5
    """How long a member that does not receive from us may stay silent: intervals times the group's size."""
    min_one_way_intervals: float = 20.0
    """The least value of that, in intervals."""
