"""Suspicion tracking: follows an unanswered ping until the member is declared dead or is known to be alive.

A suspicion probe pings a member repeatedly, and asks others about it, until a message from it arrives or its
silence is unlikely for a live member (`detector.py`). The member is suspected when phi reaches `suspect_phi`.
It is declared dead when the suspicion has lasted long enough, enough other members have confirmed it, and the
local phi together with the confirmations reaches `death_phi`. No I/O and no clock; times are in seconds.
"""

from __future__ import annotations

from dataclasses import replace

from yewrill.membership.context import SwimContext
from yewrill.membership.detector import FailureDetector
from yewrill.membership.messages import (
    ALIVE,
    DEAD,
    SUSPECT,
    Address,
    Claim,
    Message,
    OutgoingMessage,
)
from yewrill.membership.suspicion import (
    Suspicion,
    SuspicionProbe,
    SuspicionProbes,
    min_suspicion_seconds,
)
from yewrill.membership.table import MemberEntry

MAX_SUSPICION_PROBES = 64
SUBSCRIBERS_PER_FANOUT = 4
# Group size, and number of suspicion probes under way, up to which each probe sends a ping per timeout.
# Above either limit the time between its pings grows in proportion.
MEMBERS_AT_FULL_PACE = 24.0
PROBES_AT_FULL_PACE = 4.0


class SuspicionTracker:
    """The suspicion probes and suspicions that one member holds about others."""

    def __init__(self, context: SwimContext, detector: FailureDetector):
        self._context = context
        self._detector = detector
        self.probes = SuspicionProbes()

    def due_times(self, now: float) -> list[float]:
        """Returns the times at which probes are due and suspicions end."""
        times = self.probes.due_times()
        for name in self.probes.names():
            suspicion = self._context.table.entries[name].suspicion
            if suspicion is not None and suspicion.expires_at() > now:
                times.append(suspicion.expires_at())
        return times

    def apply(self, claim: Claim, now: float) -> None:
        """Applies a claim about another member and queues it as gossip."""
        self._context.table.apply(claim, now)
        if claim.state != SUSPECT:
            self.probes.discard(claim.name)
        self._context.gossip.publish(claim)

    def begin(
        self,
        entry: MemberEntry,
        now: float,
        out: list[OutgoingMessage],
        *,
        since: float,
        reported: Claim | None = None,
    ) -> None:
        """Begins a suspicion probe, unless the local observations are inconclusive at present."""
        context = self._context
        if (
            context.table.is_isolated(now)
            or len(self.probes) >= MAX_SUSPICION_PROBES
            or self._detector.silence_is_inconclusive(entry, now)
        ):
            return
        number = next(context.request_numbers)
        probe = SuspicionProbe(number, since, now + context.timeout(), reported)
        entry.suspicion_probe = probe
        self.probes.add(entry.name, probe)
        accused = entry.claim if reported is None else replace(entry.claim, state=SUSPECT)
        out.append((entry.claim.address, context.gossip.message("ping", number, accused)))

    def advance(self, now: float, out: list[OutgoingMessage]) -> None:
        """Pings the members whose probe is due again; suspects those whose silence has become unlikely."""
        context = self._context
        size = len(context.table.entries) + 1
        slowdown = max(1.0, size / MEMBERS_AT_FULL_PACE, len(self.probes) / PROBES_AT_FULL_PACE)
        wait = context.timeout() * slowdown
        for name, probe in self.probes.due(now):
            entry = context.table.entries[name]
            if context.table.is_isolated(now) or self._detector.silence_is_inconclusive(entry, now):
                self._end(entry, now)
                continue
            self._detector.record_unanswered(entry)
            self._judge(entry, probe, now, out)
            probe.next_at = now + wait
            ping = context.gossip.message("ping", probe.number, entry.claim)
            out.append((entry.claim.address, ping))
            self._ask_another(entry, probe, now, out)

    def _judge(
        self, entry: MemberEntry, probe: SuspicionProbe, now: float, out: list[OutgoingMessage]
    ) -> None:
        """Suspects a member, or passes a reported suspicion on, once its silence is unlikely enough."""
        phi = self._detector.phi(entry)
        if entry.suspicion is None and phi >= self._context.config.suspect_phi:
            self._suspect(entry, probe, now)
            probe.subscribers |= self._context.spread(entry.claim, now, out)
        elif probe.reported is not None and not probe.forwarded and phi >= 1.0:
            probe.forwarded = True
            probe.subscribers |= self._context.spread(probe.reported, now, out)

    def _ask_another(
        self, entry: MemberEntry, probe: SuspicionProbe, now: float, out: list[OutgoingMessage]
    ) -> None:
        """Asks another member about the probed one; before a suspicion, the one that last relayed its ack."""
        context = self._context
        relay = context.table.entries.get(entry.relay)
        if probe.reported is None and entry.suspicion is None and relay is not None:
            candidates = [relay.claim]
        else:
            candidates = context.table.reachable(now, entry.name)
        if candidates:
            address = context.rng.choice(candidates).address
            out.append((address, context.gossip.message("help", probe.number, about=entry.name)))

    def _suspect(self, entry: MemberEntry, probe: SuspicionProbe, now: float) -> None:
        context, config = self._context, self._context.config
        me = context.table.me.name
        reported = probe.reported or entry.claim
        incarnation = max(entry.claim.incarnation, reported.incarnation)
        self.apply(replace(entry.claim, state=SUSPECT, by=me, incarnation=incarnation), now)
        members = sum(1 for _ in context.table.listed()) + 1
        minimum = min_suspicion_seconds(members, config.interval, config.suspicion_multiplier)
        maximum = minimum * config.max_suspicion_multiplier * context.health.timeout_multiplier()
        accusers = {me, *probe.findings.values()}
        entry.suspicion = Suspicion(probe.since, minimum, maximum, accusers)
        context.counts.suspected += 1

    def declare_dead(self, entry: MemberEntry, now: float, out: list[OutgoingMessage]) -> None:
        """Declares a suspect dead and sends that to a few members at once."""
        self._context.counts.died += 1
        claim = replace(entry.claim, state=DEAD)
        self.apply(claim, now)
        self._context.spread(claim, now, out)

    def is_confirmed_dead(self, entry: MemberEntry, now: float) -> bool:
        """Returns whether a suspicion has lasted long enough and is confirmed by enough other members."""
        probe, config, name = entry.suspicion_probe, self._context.config, entry.name
        assert probe is not None and entry.suspicion is not None
        table = self._context.table
        has_others = any(claim.name != name for claim in table.listed())
        reporters = set(probe.findings.values()) - {table.me.name, name} - probe.receivers
        findings, needed = len(reporters), 0
        if has_others:
            needed = max(1, min(config.confirmations, len(table.reachable(now, name))))
        has_lasted = now >= entry.suspicion.expires_at() or len(probe.death_reporters) > 1
        return (
            has_lasted
            and now - entry.since >= config.interval
            and findings >= max(needed, len(probe.receivers))
            and not self._detector.silence_is_inconclusive(entry, now)
            and self._detector.phi(entry) + config.suspect_phi * min(findings, config.confirmations)
            >= config.death_phi
        )

    def record_finding(self, entry: MemberEntry, reporter: str, finder: str) -> None:
        """Records which member found another one silent.

        A reporter counts once; its own finding replaces one that it relayed.
        """
        probe = entry.suspicion_probe
        if probe is not None and (finder == reporter or reporter not in probe.findings):
            probe.findings[reporter] = finder
            if entry.suspicion is not None:
                me = self._context.table.me.name
                entry.suspicion.accusers = {me, *probe.findings.values()}

    def investigate(
        self, claim: Claim, reporter: str, address: Address, now: float, out: list[OutgoingMessage]
    ) -> None:
        """Checks a suspicion that another member reported: contradicts it, or begins a suspicion probe."""
        entry = self._context.table.entries[claim.name]
        finder = claim.by or reporter
        can_attest = self._detector.can_attest(entry, now)
        if can_attest or self._detector.silence_is_inconclusive(entry, now):
            if finder == reporter:
                answer = (
                    Message("ack", 0, claim.name)
                    if can_attest
                    else self.nack_with_alive_claim(0, entry)
                )
                out.append((address, answer))
            return
        if entry.suspicion_probe is None:
            # The reporter found two pings unanswered, so the silence has lasted at least two timeouts.
            since = max(entry.last_received, now - 2.0 * self._context.config.timeout)
            self.begin(entry, now, out, since=since, reported=claim)
        if (probe := entry.suspicion_probe) is not None:
            self.record_finding(entry, reporter, finder)
            limit = SUBSCRIBERS_PER_FANOUT * self._context.config.suspicion_fanout
            if finder == reporter and len(probe.subscribers) < limit:
                probe.subscribers.add(address)
            if claim.state == DEAD:
                probe.death_reporters.add(reporter)

    def nack_with_alive_claim(self, number: int, entry: MemberEntry) -> Message:
        """Returns a nack with the claim that a member is alive: its messages arrive, although acks do not."""
        claim = replace(entry.claim, state=ALIVE, by=self._context.table.me.name)
        return Message("nack", number, updates=(claim,))

    def refute(self, entry: MemberEntry, now: float, out: list[OutgoingMessage]) -> None:
        """Ends a suspicion probe of a member that is alive, and notifies all that the suspicion reached."""
        assert entry.suspicion_probe is not None
        subscribers = entry.suspicion_probe.subscribers
        self._context.counts.refuted += entry.suspicion is not None
        self._end(entry, now)
        out += [(address, Message("ack", 0, entry.name)) for address in sorted(subscribers)]

    def _end(self, entry: MemberEntry, now: float) -> None:
        """Ends the suspicion probe of a member that is alive or can't be judged at present."""
        entry.suspicion_probe = None
        self.probes.discard(entry.name)
        if entry.claim.state == SUSPECT:
            self.apply(replace(entry.claim, state=ALIVE, by=""), now)
            self._context.gossip.discard(entry.name)
