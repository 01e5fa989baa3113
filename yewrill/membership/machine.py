"""The membership protocol as a pure state machine: messages and the time in, messages out. No I/O, clock or
randomness of its own.

Theory of operation. SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's refinements:

- *Probing* (`probe.py`). Once an interval a member pings another, at first directly, then by way of others.
- *Suspicion probes* (`tracker.py`). A member that did not answer is pinged again and again, and others are
  asked about it, until something is received from it or its silence is unlikely (`detector.py`; the clock
  is the number of our probes, the loss that of all our probes, or this pair's if that is more).
- *Suspicion* (`suspicion.py`) lasts a while, shortened by others' findings, before a member is believed dead.
- *Evidence of life outweighs suspicion.* Any message of a member itself ends its suspicion probe, and so
  does another member's ack about it. Others' reports alone raise no suspicion: a receiver pings the accused,
  passes the report on only when no answer comes, confirms only by its own probes, and contradicts if it
  receives from the accused. So a faulty accuser causes pings, but removes nobody.
- *One-way links.* A member that sends and does not answer does not receive from us: its silence to our probes
  proves nothing, and only a long silence altogether does.
- *Confirmations.* A death needs findings of other reachable members: of three, or of as many as are
  reachable, and of one at least. So an isolated member removes nobody. Of two members, either can't tell the
  other's death from its own loss: with one other on the list and nobody besides, a member goes by its own
  finding, after the longest suspicion. The last of three or more keeps the others listed and worsens its
  local health score, since that is just what a member sees that receives nothing.
- *Incarnations.* Only the member itself raises its incarnation, and does so to refute. Of two claims the
  higher incarnation counts, at the same one the worse state. DEAD and LEFT reported by others are suspicions
  like any other; only LEFT from the member itself is taken at its word.
- *Gossip* (`gossip.py`) rides on every message.
- *Local pauses.* If nothing was processed after something was due (the process was stopped or starved, or its
  clock jumped), every deadline is extended by that time before anything that waited is processed, and the
  local health score worsens. A member that wakes up must not accuse the others.

The order matters in one place: updates about ourselves are processed before anything is sent, so that a
refutation goes out with the very answer to the message that accused us.
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
    """One member: joins its table, gossip queue, suspicions and probes."""

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
        """Our own claim about ourselves."""
        return self._table.me

    @property
    def entries(self) -> dict[str, MemberEntry]:
        """All other members that are known, dead and departed ones included."""
        return self._table.entries

    @property
    def changes(self) -> list[Claim]:
        """Changes of state since the caller last cleared the list."""
        return self._table.changes

    @property
    def health(self) -> LocalHealth:
        """The local health score."""
        return self._context.health

    @property
    def counts(self) -> MembershipCounters:
        """Counts since the start."""
        return self._context.counts

    @property
    def digest(self) -> int:
        """A digest of the list, equal wherever the list is."""
        return self._table.digest

    @property
    def isolated(self) -> bool:
        """Whether nobody is heard from, though there are several members."""
        return self._table.is_isolated(self.now)

    def members(self) -> list[Claim]:
        """The live members, ourselves first; suspicion alone removes nobody."""
        return [self.me, *self._table.listed()]

    def link(self, name: str) -> PeerLink | None:
        """The evidence about both directions to a member; None until it was probed."""
        entry = self.entries.get(name)
        return None if entry is None else entry.link

    def link_state(self, name: str) -> LinkState:
        """Which directions of the link to a member work, as our probes show it."""
        return self._detector.link_state(self.entries[name])

    def apply(self, claim: Claim) -> None:
        """Take over a claim about another member without further checks, and gossip it."""
        self._tracker.apply(claim, self.now)

    # -- time

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        return min(self._scheduler.due_times() + self._tracker.due_times(self.now))

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Do what is due: end and begin probes, suspect, declare dead, forget."""
        self._advance_clock(now)
        out: list[OutgoingMessage] = []
        if self._left:
            self._scheduler.postpone(self.now + self.config.interval)
            return out
        self._scheduler.end_indirect(self.now, out)
        self._tracker.advance(self.now, out)
        self._scheduler.advance(self.now, out)
        self._remove_dead(out)
        self._scheduler.begin_due(self.now, out)
        return out

    def _advance_clock(self, now: float) -> None:
        """Move our time on; extend all deadlines once if we come too late for what was due."""
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

    def _remove_dead(self, out: list[OutgoingMessage]) -> None:
        """Declare suspects dead whose suspicion has lasted, and forget members dead for long."""
        for name, entry in list(self.entries.items()):
            if entry.suspicion is not None and self._tracker.is_dead(entry, self.now):
                self._tracker.declare_dead(entry, self.now, out)
                self._scheduler.reconnect_soon(self.now)
            elif self._table.expired(entry, self.now):
                del self.entries[name]
                self.gossip.discard(name)

    # -- messages

    def receive(
        self, now: float, message: Message, sender: str, address: Address
    ) -> list[OutgoingMessage]:
        """Process a message of an authenticated sender; the messages to be sent for it."""
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
        """Process the message itself, after its updates."""
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
            self._scheduler.probe_for(message, address, self.now, out)
        elif kind == "list" and message.number != self.digest:
            out.append((address, Message("news", updates=tuple(self._table.page(about)))))

    def _subject_of(self, message: Message, sender: str) -> str:
        """The member that an ack says is alive."""
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
        """Process one gossip update."""
        entry = self.entries.get(claim.name)
        if not 0 <= claim.incarnation <= MAX_INCARNATION:
            self.counts.dropped += 1
        elif claim.name == self.me.name:
            self._receive_claim_about_us(claim)
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
            out.append((address, Message("nack", 0, claim.name)))  # we have just found the same

    def _changed_recently(self, entry: MemberEntry) -> bool:
        return self.now - entry.since < self.config.recent_intervals * self.config.interval

    def _receive_unknown(
        self, claim: Claim, sender: str, address: Address, out: list[OutgoingMessage]
    ) -> None:
        """List a new member, unless it is dead already or there are too many."""
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

    def _receive_claim_about_us(self, claim: Claim) -> None:
        """Refute a suspicion, or a claim of an earlier run or of another member under our name."""
        if claim.state == ALIVE:
            is_older_run = claim.incarnation > self.me.incarnation
            is_namesake = (
                claim.incarnation == self.me.incarnation and claim.address != self.me.address
            )
            if is_older_run or is_namesake:
                self._raise_incarnation(claim.incarnation)
        elif claim.incarnation >= self.me.incarnation:
            self.health.adjust(1)
            self._raise_incarnation(claim.incarnation)

    def _raise_incarnation(self, above: int) -> None:
        self._table.raise_incarnation(above)
        self.gossip.publish(self.me)

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Announce that we leave to as many as spread it; nothing is answered from here on."""
        self.now = now
        self._table.mark_self_left()
        listed = list(self._table.listed())
        count = min(len(listed), 2 + 2 * self.config.indirect_probes)
        chosen = self._context.rng.sample(listed, count)
        self._left = True
        return [(c.address, Message("news", updates=(self.me,))) for c in chosen]
