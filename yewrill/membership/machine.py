"""The membership protocol as a state machine: it takes messages and the time, and returns messages.

It does no I/O, and the caller supplies the clock and the random generator. The protocol is SWIM (Das, Gupta,
Motivala, 2002) with the refinements of Lifeguard and some of its own:

- *Probing* (`probe.py`). Once per interval a member pings another, first directly, then through others.
- *Suspicion probes* (`tracker.py`). A member that did not answer is pinged repeatedly, and others are asked
  about it, until a message from it arrives or its silence is unlikely for a live member (`detector.py`).
  Silence is measured in probes; the loss is that of all local probes, or that of the link to the member if it
  is higher.
- *Suspicion* (`suspicion.py`) lasts for some time, which confirmations by others shorten, before a member is
  declared dead.
- *Evidence of life outweighs suspicion.* Any message from a member itself ends its suspicion probe, and so
  does another member's ack about it. Reports of others alone raise no suspicion: a receiver pings the
  suspect, passes the report on only if no answer arrives, confirms it only by its own probes, and contradicts
  it if messages from the suspect arrive. A faulty accuser therefore causes pings but removes nobody.
- *One-way links.* If a member sends messages but answers no ping, pings do not reach it. Its silence to pings
  is then inconclusive, and only a long absence of all messages counts.
- *Confirmations.* A death needs the confirmation of three other reachable members, or of as many as are
  reachable, and of at least one. An isolated member therefore removes nobody. In a group of two, a member
  cannot tell the death of the other from a fault of its own network; having nobody else to ask, it relies on
  its own observation, after the longest suspicion. The last one of three or more members keeps the others
  listed and worsens its local health score, since a member that receives nothing observes the same.
- *Incarnations.* Only the member itself raises its incarnation, to refute a claim. Of two claims the one with
  the higher incarnation counts; at equal incarnations, the worse state. DEAD and LEFT reported by others are
  suspicions like any other; only LEFT from the member itself is accepted without a check.
- *Gossip* (`gossip.py`) is piggybacked on every message.
- *Local pauses.* If the process did not run when something was due (it was stopped or starved, or its clock
  jumped), every deadline is extended by that time before waiting messages are processed, and the local health
  score worsens. Otherwise a member that resumes would suspect all others.

Updates about the local member are processed before anything is sent, so that the answer to a message with a
suspicion already carries the refutation.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

from yewrill.membership.config import SwimConfig
from yewrill.membership.context import MembershipCounters, SwimContext
from yewrill.membership.detector import FailureDetector
from yewrill.membership.evidence import LinkState, PeerLink
from yewrill.membership.gossip import GossipQueue
from yewrill.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    MAX_INCARNATION,
    SUSPECT,
    Address,
    Claim,
    Message,
    OutgoingMessage,
)
from yewrill.membership.probe import ProbeScheduler
from yewrill.membership.suspicion import LocalHealth
from yewrill.membership.table import MemberEntry, MemberTable
from yewrill.membership.tracker import SuspicionTracker


class SwimMember:
    """The protocol state of one member: its table, gossip queue, suspicions and probes."""

    def __init__(
        self,
        me: Claim,
        seeds: list[Address],
        rng: random.Random,
        now: float,
        config: SwimConfig | None = None,
    ):
        self.config = config or SwimConfig()
        self.seeds = seeds
        self.now = now
        self._table = MemberTable(me, self.config, now)
        self.gossip = GossipQueue(self._table, self.config)
        numbers = itertools.count(rng.getrandbits(30) + 1)
        self._context = SwimContext(
            self.config, rng, self._table, self.gossip, request_numbers=numbers
        )
        self._detector = FailureDetector(self._table, self.config)
        self._tracker = SuspicionTracker(self._context, self._detector)
        self._scheduler = ProbeScheduler(self._context, self._detector, self._tracker, seeds, now)
        self._left = False
        self.gossip.publish(me)

    # -- state

    @property
    def me(self) -> Claim:
        """The local member's claim about itself."""
        return self._table.me

    @property
    def entries(self) -> dict[str, MemberEntry]:
        """All other known members, including dead and departed ones."""
        return self._table.entries

    @property
    def changes(self) -> list[Claim]:
        """Changes of state since the caller last cleared this list."""
        return self._table.changes

    @property
    def health(self) -> LocalHealth:
        """The local health score."""
        return self._context.health

    @property
    def counts(self) -> MembershipCounters:
        """Event counts since the process started."""
        return self._context.counts

    @property
    def digest(self) -> int:
        """Digest of the member list; equal lists have equal digests."""
        return self._table.digest

    @property
    def isolated(self) -> bool:
        """Whether no messages arrive although several members are listed."""
        return self._table.is_isolated(self.now)

    def members(self) -> list[Claim]:
        """Returns the alive and suspect members, the local member first."""
        return [self.me, *self._table.listed()]

    def link(self, name: str) -> PeerLink | None:
        """Returns the evidence about the link to a member; None before its first probe or message."""
        entry = self.entries.get(name)
        return None if entry is None else entry.link

    def link_state(self, name: str) -> LinkState:
        """Returns which directions of the link to a member work, as the probes show it."""
        return self._detector.link_state(self.entries[name])

    def apply(self, claim: Claim) -> None:
        """Applies a claim about another member without further checks and queues it as gossip."""
        self._tracker.apply(claim, self.now)

    # -- time

    @property
    def due(self) -> float:
        """The time at which `tick` must be called next."""
        return min(self._scheduler.due_times() + self._tracker.due_times(self.now))

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Performs what is due (probes, suspicions, deaths, removals); returns the messages to send."""
        self._advance_clock(now)
        out: list[OutgoingMessage] = []
        if self._left:
            self._scheduler.postpone(self.now + self.config.interval)
            return out
        self._scheduler.expire_indirect(self.now, out)
        self._tracker.advance(self.now, out)
        self._scheduler.advance(self.now, out)
        self._process_deaths(out)
        self._scheduler.begin_due(self.now, out)
        return out

    def _advance_clock(self, now: float) -> None:
        """Advances the local time; extends all deadlines if the process ran too late for what was due."""
        interval = self.config.interval
        if now - self.now > interval:
            late = now - max(self.now, self.due)
            if late > interval:
                self.counts.late += 1
                self.health.adjust(1)
                self._table.exclude_pause(late)
                self._tracker.probes.exclude_pause(late)
                self._scheduler.exclude_pause(late, self.now)
        self.now = max(self.now, now)

    def _process_deaths(self, out: list[OutgoingMessage]) -> None:
        """Declares confirmed suspects dead, and removes members that have been dead or gone for long."""
        for name, entry in list(self.entries.items()):
            if entry.suspicion is not None and self._tracker.is_confirmed_dead(entry, self.now):
                self._tracker.declare_dead(entry, self.now, out)
                self._scheduler.reconnect_soon(self.now)
            elif self._table.expired(entry, self.now):
                del self.entries[name]
                self.gossip.discard(name)

    # -- messages

    def receive(
        self, now: float, message: Message, sender: str, address: Address
    ) -> list[OutgoingMessage]:
        """Processes a message of an authenticated sender; returns the messages to send."""
        self._advance_clock(now)
        if self._left or sender == self.me.name:
            return []
        known = len(self.entries)
        out: list[OutgoingMessage] = []
        self._table.last_received = self.now
        if (entry := self.entries.get(sender)) is not None:
            is_answer = message.kind == "ack" and self._subject_of(message, sender) == sender
            self._detector.record_message(entry, self.now, is_answer=is_answer)
            if entry.suspicion_probe is not None:
                self._tracker.refute(entry, self.now, out)
        for claim in message.updates:
            self._receive_claim(claim, sender, address, out)
        has_page = message.kind == "news" or (message.kind == "ack" and not known)
        if len(self.entries) > known and has_page:
            self._scheduler.ask_next_page(message.updates[-1].name, address, out)
        self._answer(message, sender, address, out)
        return out

    def _answer(
        self, message: Message, sender: str, address: Address, out: list[OutgoingMessage]
    ) -> None:
        """Processes the message itself, after its updates."""
        kind, about = message.kind, message.about
        if kind == "ping" and about in ("", self.me.name):
            out.append((address, self.gossip.message("ack", message.number)))
        elif kind == "ack":
            self._receive_ack(message, sender, out)
        elif kind == "nack":
            self._scheduler.record_nack(message.number)
            if self._tracker.probes.get(about) is not None:
                self._tracker.record_finding(self.entries[about], sender, sender)
        elif kind == "help" and about in self.entries:
            self._scheduler.probe_on_behalf(message, address, self.now, out)
        elif kind == "list" and message.number != self.digest:
            out.append((address, Message("news", updates=tuple(self._table.page(about)))))

    def _subject_of(self, message: Message, sender: str) -> str:
        """Returns the member that an ack states to be alive."""
        if message.about:
            return message.about
        probe = self._scheduler.probe
        if probe is not None and probe.number == message.number:
            return probe.name
        return self._tracker.probes.member_probed_by(message.number) or sender

    def _receive_ack(self, message: Message, sender: str, out: list[OutgoingMessage]) -> None:
        name = self._subject_of(message, sender)
        self._scheduler.record_ack(name)
        self._scheduler.relay_ack(message.number, sender, out)
        entry = self.entries.get(name)
        if entry is None or name == sender or not entry.is_listed:
            return
        entry.relay = sender
        if entry.link is not None:
            entry.link.record_relay(entry.probes_ended)
        if entry.suspicion_probe is not None:
            self.counts.attested += 1
            self._tracker.refute(entry, self.now, out)

    def _receive_claim(
        self, claim: Claim, sender: str, address: Address, out: list[OutgoingMessage]
    ) -> None:
        """Processes one gossip update."""
        entry = self.entries.get(claim.name)
        if not 0 <= claim.incarnation <= MAX_INCARNATION:
            self.counts.dropped += 1
        elif claim.name == self.me.name:
            self._receive_claim_about_self(claim)
        elif entry is None:
            self._receive_unknown(claim, sender, address, out)
        elif claim.state == ALIVE:
            self._receive_alive(claim, entry, sender)
        elif claim.incarnation >= entry.claim.incarnation and entry.is_listed:
            if claim.state == LEFT and sender == claim.name:
                self.apply(claim)
            else:
                self._tracker.investigate(claim, sender, address, self.now, out)
        elif claim.by == sender and self._changed_recently(entry):
            # The local member has recently found the same member silent: the nack confirms the suspicion.
            out.append((address, Message("nack", 0, claim.name)))

    def _changed_recently(self, entry: MemberEntry) -> bool:
        return self.now - entry.since < self.config.recent_intervals * self.config.interval

    def _receive_unknown(
        self, claim: Claim, sender: str, address: Address, out: list[OutgoingMessage]
    ) -> None:
        """Adds an unknown member, unless it is dead or departed or the table is full."""
        if claim.state in (DEAD, LEFT) or len(self.entries) >= self.config.max_members:
            self.counts.dropped += claim.state == ALIVE
            return
        self.apply(replace(claim, state=ALIVE, by=""))
        if claim.state == SUSPECT:
            self._tracker.investigate(claim, sender, address, self.now, out)

    def _receive_alive(self, claim: Claim, entry: MemberEntry, sender: str) -> None:
        if claim.by == sender and entry.suspicion_probe is not None:
            entry.suspicion_probe.receivers.add(sender)
        if claim.incarnation > entry.claim.incarnation:
            self.counts.refuted += entry.claim.state == SUSPECT
            self.apply(replace(claim, by=""))

    def _receive_claim_about_self(self, claim: Claim) -> None:
        """Refutes a suspicion, or a claim by an earlier run or by another process with the same name."""
        if claim.state == ALIVE:
            is_earlier_run = claim.incarnation > self.me.incarnation
            is_namesake = (
                claim.incarnation == self.me.incarnation and claim.address != self.me.address
            )
            if is_earlier_run or is_namesake:
                self._raise_incarnation(claim.incarnation)
        elif claim.incarnation >= self.me.incarnation:
            self.health.adjust(1)
            self._raise_incarnation(claim.incarnation)

    def _raise_incarnation(self, above: int) -> None:
        self._table.raise_incarnation(above)
        self.gossip.publish(self.me)

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Returns the announcements of the departure, to a few members; nothing is answered afterwards."""
        self.now = now
        self._table.mark_self_left()
        listed = list(self._table.listed())
        count = min(len(listed), 2 + 2 * self.config.indirect_probes)
        chosen = self._context.rng.sample(listed, count)
        self._left = True
        return [(c.address, Message("news", updates=(self.me,))) for c in chosen]
