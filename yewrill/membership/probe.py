"""Probing: regular probes in rounds, indirect probes for other members, and reconnection to lost members.

Once per interval a member pings the next member of a shuffled list. If no ack arrives in time, it asks a few
others to ping that member, and each of them sends a nack if it gets no ack either. If the nacks are missing
too, the fault is probably at this member, and the local health score worsens. With each probe a random member
is asked for a page of its list. From time to time a dead member or an unknown seed is pinged, so that the
halves of a partitioned group find each other again. No I/O and no clock; times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.membership.context import SwimContext
from yewrill.membership.detector import FailureDetector
from yewrill.membership.messages import ALIVE, DEAD, Address, Claim, Message, OutgoingMessage
from yewrill.membership.table import MemberEntry
from yewrill.membership.tracker import SuspicionTracker

# Number of seeds that a member without any listed members pings per interval.
SEEDS_PER_INTERVAL = 2
# Number of additional members that an isolated member pings per interval.
PINGS_WHILE_ISOLATED = 2
# In a group of up to this many other members, the sender of a page is asked for the next page.
# In a larger group, a random member is asked.
SMALL_GROUP_SIZE = 8


@dataclass(slots=True)
class Probe:
    """The regular probe that has not ended yet."""

    name: str
    number: int
    began: float
    direct_until: float  # deadline of the ack to the direct ping
    until: float
    is_indirect: bool = False  # whether other members have been asked to ping the probed one
    indirect_probes: int = 0
    nacks: int = 0

    def exclude_pause(self, duration: float) -> None:
        """Postpones the deadlines by the duration of a pause of this process."""
        self.direct_until += duration
        self.until += duration


@dataclass(slots=True)
class IndirectProbe:
    """A ping on behalf of another member."""

    number: int  # request number that the asking member chose
    asker: Address
    about: str
    until: float


class ProbeScheduler:
    """Decides which members to ping and when."""

    def __init__(
        self,
        context: SwimContext,
        detector: FailureDetector,
        tracker: SuspicionTracker,
        seeds: list[Address],
        now: float,
    ):
        self._context = context
        self._detector = detector
        self._tracker = tracker
        self._seeds = seeds
        self.probe: Probe | None = None
        self._round: list[str] = []  # members still to be probed in this round
        self._indirect: dict[int, IndirectProbe] = {}
        self._next_probe = now
        config = context.config
        self._next_reconnect = now + config.interval * config.dead_probe_intervals
        self._comparisons = 0
        self._was_isolated = False

    def due_times(self) -> list[float]:
        """Returns the times at which a probe is due or a deadline ends."""
        probe = self.probe
        if probe is None:
            first = self._next_probe
        else:
            first = probe.until if probe.is_indirect else probe.direct_until
        return [first, self._next_reconnect, *(p.until for p in self._indirect.values())]

    def exclude_pause(self, duration: float, now: float) -> None:
        """Postpones the deadlines of all probes in progress by the duration of a pause of this process.

        `now` is the time of the last event before the pause. The next probe and the next reconnection attempt
        are due at that time at the earliest; they are not postponed by the duration.
        """
        if self.probe is not None:
            self.probe.exclude_pause(duration)
        for indirect in self._indirect.values():
            indirect.until += duration
        self._next_probe = max(self._next_probe, now)
        self._next_reconnect = max(self._next_reconnect, now)

    def postpone(self, until: float) -> None:
        """Postpones the next probe and the next reconnection attempt."""
        self._next_probe = self._next_reconnect = until

    def reconnect_soon(self, now: float) -> None:
        """Schedules a reconnection attempt within an interval, after a member was declared dead."""
        self._next_reconnect = min(self._next_reconnect, now + self._context.config.interval)

    # -- the regular probe

    def begin_due(self, now: float, out: list[OutgoingMessage]) -> None:
        """Begins the next probe and the next reconnection attempt, if they are due."""
        if now >= self._next_probe and self.probe is None:
            self._begin(now, out)
        if now >= self._next_reconnect:
            self._reconnect(now, out)

    def _begin(self, now: float, out: list[OutgoingMessage]) -> None:
        context, config = self._context, self._context.config
        listed = list(context.table.listed())
        scale = context.health.timeout_multiplier()
        if self._handle_isolation(now, listed, out):
            # The other members that receive these pings must not take an isolated member for dead.
            scale = 1.0
        self._next_probe = now + config.interval * scale
        if not listed:
            self._ping_seeds(out)
            return
        name = self._next_target(listed)
        self.probe = Probe(
            name,
            next(context.request_numbers),
            now,
            direct_until=now + config.timeout * scale,
            until=now + config.interval * scale,
        )
        claim = context.table.entries[name].claim
        out.append((claim.address, context.gossip.message("ping", self.probe.number, claim)))
        self._compare_lists(now, listed, out)

    def _handle_isolation(
        self, now: float, listed: list[Claim], out: list[OutgoingMessage]
    ) -> bool:
        """While isolated, pings more members and drops reports of third members; returns whether isolated."""
        context = self._context
        isolated = context.table.is_isolated(now)
        if isolated:
            chosen = context.rng.sample(listed, PINGS_WHILE_ISOLATED)
            out += [(c.address, context.gossip.message("ping", 0, c)) for c in chosen]
        if isolated and not self._was_isolated:
            context.counts.isolated += 1
            for entry in context.table.entries.values():
                if entry.link is not None:
                    entry.link.forget_relays()
        self._was_isolated = isolated
        return isolated

    def _ping_seeds(self, out: list[OutgoingMessage]) -> None:
        context = self._context
        seeds = [address for address in self._seeds if address != context.table.me.address]
        for address in context.rng.sample(seeds, min(SEEDS_PER_INTERVAL, len(seeds))):
            out.append((address, context.gossip.message("ping")))

    def _next_target(self, listed: list[Claim]) -> str:
        """Returns the next member of the round without a suspicion probe; each round has a random order."""
        names = {claim.name for claim in listed}
        candidates = names - self._tracker.probes.names() or names
        while True:
            while self._round:
                name = self._round.pop()
                if name in candidates:
                    return name
            self._round = sorted(names)
            self._context.rng.shuffle(self._round)

    def advance(self, now: float, out: list[OutgoingMessage]) -> None:
        """Asks others to ping the member when its direct ack is late, and ends the probe at its deadline."""
        probe = self.probe
        if probe is None:
            return
        entry = self._context.table.entries.get(probe.name)
        if entry is None or not entry.is_listed:
            self.probe = None
        elif not probe.is_indirect and now >= probe.direct_until:
            self._probe_indirectly(entry, probe, now, out)
        if self.probe is not None and now >= probe.until:
            self.probe = None
            # A missing nack suggests that the fault is at this member.
            change = probe.indirect_probes - probe.nacks if probe.indirect_probes else 0
            self._context.health.adjust(change)

    def _probe_indirectly(
        self, entry: MemberEntry, probe: Probe, now: float, out: list[OutgoingMessage]
    ) -> None:
        context = self._context
        probe.is_indirect = True
        self._detector.record_first_ping(entry, answered=False)
        self._detector.record_unanswered(entry)
        others = context.table.reachable(now, probe.name)
        count = min(context.config.indirect_probes, len(others))
        chosen = context.rng.sample(others, count)
        probe.indirect_probes = count
        for claim in chosen:
            request = context.gossip.message("help", probe.number, about=probe.name)
            out.append((claim.address, request))
        if entry.last_received < probe.began and entry.suspicion_probe is None:
            self._tracker.begin(entry, now, out, since=probe.began)

    def record_ack(self, name: str) -> None:
        """Ends the probe if an ack states that its member is alive."""
        probe = self.probe
        if probe is not None and name == probe.name:
            if not probe.is_indirect:
                entry = self._context.table.entries[name]
                self._detector.record_first_ping(entry, answered=True)
            self.probe = None
            self._context.health.adjust(-1)

    def record_nack(self, number: int) -> None:
        """Counts a nack: another member that pinged the probed one got no answer either."""
        if self.probe is not None and number == self.probe.number:
            self.probe.nacks += 1

    # -- probes on behalf of other members

    def probe_on_behalf(
        self, message: Message, address: Address, now: float, out: list[OutgoingMessage]
    ) -> None:
        """Answers an indirect probe from what is known of the member, or pings the member for the asker."""
        context, number, about = self._context, message.number, message.about
        entry = context.table.entries[about]
        if self._detector.can_attest(entry, now):
            out.append((address, context.gossip.message("ack", number, about=about)))
        elif self._detector.silence_is_inconclusive(entry, now):
            out.append((address, self._tracker.nack_with_alive_claim(number, entry)))
        elif entry.suspicion is not None:
            out.append((address, context.gossip.message("nack", number, about=about)))
        elif len(self._indirect) < self._max_indirect_probes():
            own_number = next(context.request_numbers)
            until = now + context.config.timeout
            self._indirect[own_number] = IndirectProbe(number, address, about, until)
            ping = context.gossip.message("ping", own_number, entry.claim)
            out.append((entry.claim.address, ping))

    def _max_indirect_probes(self) -> int:
        context = self._context
        return 4 * context.config.indirect_probes + len(context.table.entries)

    def relay_ack(self, number: int, sender: str, out: list[OutgoingMessage]) -> None:
        """Relays an ack to the member on whose behalf its sender was pinged."""
        indirect = self._indirect.pop(number, None)
        if indirect is not None and indirect.about == sender:
            ack = self._context.gossip.message("ack", indirect.number, about=sender)
            out.append((indirect.asker, ack))

    def expire_indirect(self, now: float, out: list[OutgoingMessage]) -> None:
        """Sends nacks for the pings on behalf of others that were not answered in time."""
        for number, indirect in list(self._indirect.items()):
            if now < indirect.until:
                continue
            del self._indirect[number]
            entry = self._context.table.entries.get(indirect.about)
            if entry is not None and self._detector.silence_is_inconclusive(entry, now):
                out.append(
                    (indirect.asker, self._tracker.nack_with_alive_claim(indirect.number, entry))
                )
                continue
            suspected = entry is not None and entry.claim.state != ALIVE
            about = indirect.about if suspected else ""
            nack = self._context.gossip.message("nack", indirect.number, about=about)
            out.append((indirect.asker, nack))

    # -- comparison of member lists, and reconnection

    def _compare_lists(self, now: float, listed: list[Claim], out: list[OutgoingMessage]) -> None:
        """Asks a random member for a page of its list, which it sends if the digests of the lists differ."""
        context, config = self._context, self._context.config
        self._comparisons += 1
        is_quiet = now - context.table.changed_at > config.quiet_after_intervals * config.interval
        if is_quiet and self._comparisons % config.quiet_sync_intervals:
            return
        after = context.rng.choice([context.table.me.name, *context.table.entries])
        question = Message("list", context.table.digest, about=after)
        out.append((context.rng.choice(listed).address, question))

    def ask_next_page(self, after: str, address: Address, out: list[OutgoingMessage]) -> None:
        """Asks for the page that follows one with unknown members, in a large group from a random member."""
        context = self._context
        listed = list(context.table.listed())
        if len(listed) > SMALL_GROUP_SIZE:
            address = context.rng.choice(listed).address
        out.append((address, Message("list", context.table.digest, about=after)))

    def _reconnect(self, now: float, out: list[OutgoingMessage]) -> None:
        """Pings a dead member or an unknown seed, so that the halves of a partitioned group find each other.

        If at least a fifth of the other known members are dead, a partition is more likely than that many
        failures, and the attempt is repeated every interval.
        """
        context, config = self._context, self._context.config
        entries = context.table.entries
        dead = [entry.claim for entry in entries.values() if entry.claim.state == DEAD]
        is_partition = bool(dead) and 4 * len(dead) >= len(entries) - len(dead)
        intervals = 1 if is_partition else config.dead_probe_intervals
        self._next_reconnect = now + config.interval * intervals
        known = {entry.claim.address for entry in entries.values()}
        unknown_seeds = [address for address in self._seeds if address not in known]
        if dead:
            claim = context.rng.choice(dead)
            out.append((claim.address, context.gossip.message("ping", 0, claim)))
        elif (
            unknown_seeds
            and unknown_seeds != [context.table.me.address]
            and any(True for _ in context.table.listed())
        ):
            out.append((context.rng.choice(unknown_seeds), context.gossip.message("ping")))
