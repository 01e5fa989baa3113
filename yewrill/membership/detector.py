"""The failure detector: how unlikely a member's silence is, and when it proves nothing. Pure; seconds."""

from __future__ import annotations

from yewrill.membership.config import SwimConfig
from yewrill.membership.evidence import ArrivalHistory, LinkState, PeerLink
from yewrill.membership.table import MemberEntry, MemberTable

PROBE_UNDER_WAY = 0.5  # the fraction of the present probe that counts as silence
MAX_LINK_SILENCE = 20.0  # ended probes


class FailureDetector:
    """Judges members by the answers to our probes; a link's clock is the number of ended probes."""

    def __init__(self, table: MemberTable, config: SwimConfig):
        self._table = table
        self._config = config
        self._answers = ArrivalHistory(1.0)  # to the first pings of all our probes, by their number
        self._answers.begin(0.0)
        self._first_pings = 0.0

    def record_first_ping(self, entry: MemberEntry, *, answered: bool) -> None:
        """Record the first ping to a member that is not suspected: it shows the network's loss, or ours."""
        if not entry.does_not_receive_us and entry.suspicion_probe is None:
            self._first_pings += 1.0
            if answered:
                self._answers.record_arrival(self._first_pings)

    def record_unanswered(self, entry: MemberEntry) -> None:
        """Record that a ping to a member ended without an answer."""
        if entry.link is None:
            entry.link = PeerLink(1.0, entry.probes_ended)
        entry.probes_ended += 1.0

    def record_message(self, entry: MemberEntry, now: float, *, is_answer: bool) -> None:
        """Record a message of a member itself, an answer to us or not."""
        entry.last_received = entry.last_received_adjusted = now
        if entry.link is None:
            entry.link = PeerLink(1.0, entry.probes_ended)
        if is_answer:
            entry.probes_ended += 1.0
            entry.link.record_report(entry.probes_ended, 0.0)
            entry.does_not_receive_us = False
            return
        entry.link.record_message(entry.probes_ended)
        if entry.does_not_receive_us:
            return
        answers = entry.link.answers
        if answers.silence(entry.probes_ended) >= 2.0 and self.phi(entry, answers) >= 1.0:
            entry.does_not_receive_us = True

    def phi(self, entry: MemberEntry, history: ArrivalHistory | None = None) -> float:
        """-log10 of the probability that a live member is so silent.

        Judged by all its messages, or by `history`; where the pair shows loss of its own, by the milder of
        that and the loss of all our probes.
        """
        if entry.link is None:
            return 0.0
        history = history or entry.link.arrivals
        silence = history.silence(entry.probes_ended) + PROBE_UNDER_WAY
        phi = self._answers.phi_of_silence(silence)
        return min(phi, history.phi_of_silence(silence)) if history.lost > 1 else phi

    def link_state(self, entry: MemberEntry) -> LinkState:
        """Which directions of the link to a member work, as our probes show it."""
        if entry.link is None:
            return LinkState.HEALTHY
        clock = entry.probes_ended + PROBE_UNDER_WAY
        return entry.link.state(clock, self._config.suspect_phi, MAX_LINK_SILENCE)

    def tolerates(self, entry: MemberEntry, now: float) -> bool:
        """Whether a member's silence to our probes proves nothing yet, since it does not receive them.

        Where a quarter of the members do not receive us, our probes prove nothing about anybody.
        """
        if now - entry.last_received_adjusted >= self._one_way_limit():
            return False
        if entry.does_not_receive_us:
            return True
        entries = self._table.entries
        return 4 * sum(other.does_not_receive_us for other in entries.values()) > len(entries)

    def can_attest(self, entry: MemberEntry, now: float) -> bool:
        """Whether a member was heard from so recently that we can say that it lives."""
        limit = self._one_way_limit() / 4.0 if entry.does_not_receive_us else self._config.timeout
        return now - entry.last_received <= limit

    def _one_way_limit(self) -> float:
        config = self._config
        by_size = config.one_way_intervals_per_member * (len(self._table.entries) + 1)
        return max(config.min_one_way_intervals, by_size) * config.interval
