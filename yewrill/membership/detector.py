"""The failure detector: how unlikely a member's silence is, and when the silence is inconclusive.

No I/O and no clock; times are in seconds.
"""

from __future__ import annotations

from yewrill.membership.config import SwimConfig
from yewrill.membership.evidence import ArrivalHistory, LinkState, PeerLink
from yewrill.membership.table import MemberEntry, MemberTable

# A probe that has not ended yet counts as this fraction of an unanswered probe.
CURRENT_PROBE_FRACTION = 0.5
MAX_LINK_SILENCE_PROBES = 20.0


class FailureDetector:
    """Judges members by their answers to probes; the silence of a link is measured in ended probes."""

    def __init__(self, table: MemberTable, config: SwimConfig):
        self._table = table
        self._config = config
        # Arrivals of acks to the first pings of all probes. The time of an arrival is the number of first
        # pings recorded so far, so that each first ping advances the time by 1.
        self._answers = ArrivalHistory(1.0)
        self._answers.begin(0.0)
        self._first_ping_count = 0.0

    def record_first_ping(self, entry: MemberEntry, *, answered: bool) -> None:
        """Records the result of a probe's first ping, from which the loss near this member is estimated."""
        if not entry.has_outbound_loss and entry.suspicion_probe is None:
            self._first_ping_count += 1.0
            if answered:
                self._answers.record_arrival(self._first_ping_count)

    def record_unanswered(self, entry: MemberEntry) -> None:
        """Records that a ping to a member ended without an answer."""
        if entry.link is None:
            entry.link = PeerLink(1.0, entry.probes_ended)
        entry.probes_ended += 1.0

    def record_message(self, entry: MemberEntry, now: float, *, is_answer: bool) -> None:
        """Records a message that a member itself sent; `is_answer`: it is an ack of this process's ping."""
        entry.last_received = entry.last_received_adjusted = now
        if entry.link is None:
            entry.link = PeerLink(1.0, entry.probes_ended)
        if is_answer:
            entry.probes_ended += 1.0
            entry.link.record_report(entry.probes_ended, 0.0)
            entry.has_outbound_loss = False
            return
        entry.link.record_message(entry.probes_ended)
        if entry.has_outbound_loss:
            return
        answers = entry.link.answers
        if answers.silence(entry.probes_ended) >= 2.0 and self.phi(entry, answers) >= 1.0:
            entry.has_outbound_loss = True

    def phi(self, entry: MemberEntry, history: ArrivalHistory | None = None) -> float:
        """Returns -log10 of the probability that a live member is silent for so long.

        The silence is the number of probes of the member that have ended since the last arrival in `history`
        (by default the history of all messages from the member). The loss is that of all probes; if `history`
        shows loss too, the smaller of the two results is returned.
        """
        if entry.link is None:
            return 0.0
        history = history or entry.link.arrivals
        silence = history.silence(entry.probes_ended) + CURRENT_PROBE_FRACTION
        phi = self._answers.phi_of_silence(silence)
        return min(phi, history.phi_of_silence(silence)) if history.lost > 1 else phi

    def link_state(self, entry: MemberEntry) -> LinkState:
        """Returns which directions of the link to a member work, as the probes show it."""
        if entry.link is None:
            return LinkState.HEALTHY
        clock = entry.probes_ended + CURRENT_PROBE_FRACTION
        return entry.link.state(clock, self._config.suspect_phi, MAX_LINK_SILENCE_PROBES)

    def silence_is_inconclusive(self, entry: MemberEntry, now: float) -> bool:
        """Returns whether a member may be alive and silent because probes do not reach it.

        If more than a quarter of the members do not receive the probes, this holds for all members.
        """
        if now - entry.last_received_adjusted >= self._one_way_limit():
            return False
        if entry.has_outbound_loss:
            return True
        entries = self._table.entries
        return 4 * sum(other.has_outbound_loss for other in entries.values()) > len(entries)

    def can_attest(self, entry: MemberEntry, now: float) -> bool:
        """Returns whether a message arrived from a member recently enough to state that it is alive."""
        limit = self._one_way_limit() / 4.0 if entry.has_outbound_loss else self._config.timeout
        return now - entry.last_received <= limit

    def _one_way_limit(self) -> float:
        config = self._config
        by_size = config.one_way_intervals_per_member * (len(self._table.entries) + 1)
        return max(config.min_one_way_intervals, by_size) * config.interval
