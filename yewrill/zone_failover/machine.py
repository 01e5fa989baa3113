"""The fleet's agreement on zones as a pure machine: messages and the time in, messages out.

Theory of operation. Each member counts its own attempts by zone. Who has cause asks a random sample of the
others, those outside the zone in question, for their counts (a *poll*), and judges the numbers:

- *Leaving.* More than half of the answering members that have evidence, and no fewer than three, see the zone
  lose half of its attempts: the next plan leaves it as far as the guards allow, and further if it serves
  nothing and there is more room elsewhere. Only a majority of all members known outside it makes a plan.
- *Taking over a plan.* Nobody's word for it is enough. A newer plan is taken once a poll of our own bears it
  out, or once more than half of a sample hold it already; so it spreads as fast as it is seen to be true.
- *Coming back.* After a hold, longer with each time that the zone was left in short order, a small share is
  tried; each further step needs its time and a poll that sees the zone well. A step that fails leaves again.
- *Versions.* A plan is higher by number, then by digest. Members tell each other their version once a second
  at random, and fetch what is newer.
- *Doubting oneself.* Who gets too few answers, or is distrusted by its membership, or slept through its own
  time, or loses its attempts in most zones, answers that it doubts and proposes nothing.
- *Without news* from anyone, the plan stands for a while, then no longer binds: own evidence is left.

Where the duty of making plans has an owner (`yewrill/leases`), it alone proposes; its number stands in
front of the plan's, so that whatever an earlier owner sends late is lower, and refused. Polls bear its plans
out like anybody's. Without an owner all of this holds as it is.

No clock is compared between members: all spans are counted by each member's own from when it heard.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from yewrill.zone_failover.evidence import Counts, Evidence
from yewrill.zone_failover.format import (
    ANSWER,
    ASK,
    DIGEST,
    GET,
    HINT,
    PLAN,
    Malformed,
    ZoneMessage,
    pack,
    unpack,
)
from yewrill.zone_failover.plan import (
    EPOCH,
    FULL_WEIGHT,
    RECOVERY_RAMP,
    FailoverPlan,
    ZoneEntry,
    min_traffic_weight,
    next_recovery_step,
)

MAX_UNCONFIRMED_PLANS = 8
REFUSAL_SECONDS = 3.0  # seconds for which a plan that was spoken against is not looked at again
CONFIRMATION_SECONDS = 4.0  # seconds in which a plan that was heard of has to be borne out
MAX_NUMBER_GAP = (
    64  # plans that we may have missed; a number further off needs a majority that holds it
)
WEIGHT_TOLERANCE = (
    150  # thousandths by which another's reckoning of the guards may differ from ours
)

Address = tuple[str, int]
Out = tuple[Address, bytes]


class Member(NamedTuple):
    """One of the others, as the membership lists it."""

    name: str
    address: Address
    zone: str
    living: bool


@dataclass(frozen=True, slots=True)
class FailoverRules:
    """Seconds, counts and parts."""

    tick: float = 0.25
    sample: int = 15  # members asked in a poll
    wait: float = 0.4  # for their answers; who is silent for half of it is asked again
    bad: float = 0.5  # part of the attempts lost, from which on a zone fails
    good: float = 0.2  # up to which it is well
    dead: float = 0.95  # from which on it may be left further, should the others have room by now
    least: int = 6  # attempts in a poll that tell anything
    most: int = 8  # attempts that count of one member
    few: int = 3  # attempts that tell of a zone that is tried
    voters: int = 3  # members that must see a zone fail
    hold: float = 2.0  # from leaving a zone to its trial; doubled with each strike
    longest: float = 60.0  # the longest hold; and after so long well, strikes are forgotten
    step: float = 1.0  # from one step back to the next
    patience: float = 2.5  # for a step without any evidence
    stands: float = 10.0  # how long a plan binds without news from anybody
    most_out: float = 0.5  # part of all capacity that may be left at once
    pushes: int = 4  # rounds in which a new plan, taken or only heard of, is told to
    fan: int = 3  # members each


@dataclass(slots=True)
class _UnconfirmedPlan:
    """A newer plan that was heard of and not borne out yet."""

    plan: FailoverPlan
    until: float


@dataclass(slots=True)
class _Poll:
    zone: str
    number: int
    asked: dict[str, Address]
    again_at: float
    until: float
    answers: dict[str, ZoneMessage] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a poll showed of a zone. `fails` and `well` are both False where it told too little."""

    at: float
    fails: bool
    well: bool
    lost: float  # part of the attempts
    ended: int


@dataclass(slots=True)
class FailoverStatistics:
    """What happened, for figures."""

    polls: int = 0
    plans_made: int = 0
    plans_adopted: int = 0
    plans_refused: int = 0
    malformed: int = 0
    late_ticks: int = 0
    inconclusive_polls: int = 0  # fewer than half of the members asked have answered


@dataclass
class FailoverMachine:
    me: str
    zone: str
    others: Callable[[], Sequence[Member]]  # all known but ourselves
    rng: random.Random
    now: float
    rules: FailoverRules = field(default_factory=FailoverRules)
    statistics: FailoverStatistics = field(default_factory=FailoverStatistics)

    def __post_init__(self) -> None:
        self.plan = FailoverPlan()
        self.evidence = Evidence()
        self.capacity: Callable[[], Mapping[str, float]] = (
            dict  # slots of each zone, as discovery lists it
        )
        self.regions: Callable[[], Mapping[str, str]] = dict  # of zones, where members tell theirs
        # Attempts that are out at workers which start nothing of ours.
        self.stuck_attempts: Callable[[], Mapping[str, int]] = dict
        self.busy = 0.0  # slots of our own running work
        self.health_score = (
            0  # of ourselves, by the membership; 4 and more: our own eyes don't count
        )
        self.epoch = 0  # the highest number under which the duty of making plans was granted
        self.owner = ""  # who else has that duty
        self._hinted_zones: dict[str, float] = {}  # zones that others see fail, since we have it
        self.why = ""  # the last change of the plan, in plain words
        self._since: dict[str, float] = {}  # when each zone's entry came into force here
        self._recovered_zones: dict[
            str, tuple[int, float]
        ] = {}  # strikes of zones well again, and since when
        self._verdicts: dict[str, Verdict] = {}
        self._before = self.plan  # the one that ours took the place of
        self._unconfirmed_plans: dict[str, _UnconfirmedPlan] = {}  # by who told them first
        self._refused: dict[tuple[int, str], float] = {}
        self._poll: _Poll | None = None
        self._polled: dict[str, float] = {}
        self._unconfirmed_polled_at = -1e9  # when another's plan alone was cause for a poll
        self._number = 0
        self._proposal_delay = 0.0  # seconds by which we let others make the next step first
        self._plans_to_push: dict[
            FailoverPlan, int
        ] = {}  # plans that are still told, and in how many rounds
        self._membership_cache: tuple[Sequence[Member], list[Member], set[str]] = ([], [], set())
        self._last_received_at = self.now
        self._degraded_until = -1.0
        self._digest_at = self.now + self.rng.random()
        self.due = self._ticked = self.now + self.rng.random() * self.rules.tick

    # -- what others see

    def traffic_weights(self) -> dict[str, float]:
        """The part of its normal work that each zone gets, where less than the whole; none without news."""
        if self.now - self._last_received_at > self.rules.stands:
            return {}
        return {zone: entry.traffic_weight / FULL_WEIGHT for zone, entry in self.plan.zones.items()}

    def _counts(self) -> Mapping[str, Counts]:
        """Our own counts; of zones that get little by plan, over a longer time. What hangs counts as lost."""
        counts = dict(self.evidence.counts(self.now, self.plan.zones))
        for zone, hanging in self.stuck_attempts().items():
            ended, lost = counts.get(zone, (0, 0))
            counts[zone] = ended + hanging, lost + hanging
        return counts

    def is_degraded(self) -> bool:
        """Whether our own counts are not to be believed."""
        if self.health_score >= 4 or self.now < self._degraded_until:
            return True
        counts = {z: c for z, c in self._counts().items() if c[0] >= 3}
        failing = [zone for zone, (ended, lost) in counts.items() if lost >= self.rules.bad * ended]
        if len(counts) <= 2 or len(failing) * 2 <= len(counts):
            return False
        # Of three zones two at once: rather us. Unless they are just one region, and that is not our own.
        regions = self.regions()
        hit = {regions.get(zone, "") for zone in failing}
        return len(hit) != 1 or hit <= {"", regions.get(self.zone, "")}

    # -- time

    def record_attempt(self, now: float, zone: str, lost: bool) -> bool:
        """One attempt in a zone has ended. Whether that is cause to look at once."""
        self.evidence.record_attempt(now, zone, lost)
        if (
            not lost
            or self._poll is not None
            or now - self._polled.get(zone, -1e9) < self.rules.wait
        ):
            return False
        entry = self.plan.zones.get(zone)
        if entry is not None and not entry.is_recovering:
            return False
        ended, losses = self.evidence.counts(now, self.plan.zones)[zone]
        if ended < 2 or losses < self.rules.bad * ended:
            return False
        self.due = min(self.due, now)
        return True

    def tick(self, now: float) -> list[Out]:
        """Whatever is due: a poll's end, the next one, the plan's spread."""
        late = now - max(self.due, self._ticked)
        self.now = self._ticked = now
        self.due = now + self.rules.tick
        out: list[Out] = []
        if late > 1.0:  # we slept: what we counted is old, and so may the plan be
            self.statistics.late_ticks += 1
            self.evidence.clear()
            self._poll = None
            self._degraded_until = now + 2.0
            self._since = dict.fromkeys(self._since, now)
            self._digest_at = now
        others, living, _ = self._membership()
        for sender, unconfirmed in list(self._unconfirmed_plans.items()):
            if now > unconfirmed.until:
                del self._unconfirmed_plans[sender]
        if self._poll is not None:
            self._advance_poll(self._poll, others, out)
        if self._poll is None and now >= self._degraded_until and living:
            self._start_poll(living, out)
        for plan, rounds in list(self._plans_to_push.items()):
            self._push_plan(plan, out)
            if rounds > 1 and plan.version >= self.plan.version:
                self._plans_to_push[plan] = rounds - 1
            else:
                del self._plans_to_push[plan]
        if now >= self._digest_at and living:
            self._digest_at = now + 1.0
            asleep = 5 if now < self._degraded_until else 1
            out += [
                (m.address, pack(ZoneMessage(DIGEST, self.plan.version)))
                for m in self._sample(living, asleep)
            ]
        for zone, (_, since) in list(self._recovered_zones.items()):
            if now - since > self.rules.longest:
                del self._recovered_zones[zone]
        for version, at in list(self._refused.items()):
            if now - at > REFUSAL_SECONDS:
                del self._refused[version]
        return out

    def _membership(self) -> tuple[Sequence[Member], list[Member], set[str]]:
        """All others, the living ones, and the zones that have members none of whom we hear."""
        others = self.others()
        if others is not self._membership_cache[0]:
            living = [m for m in others if m.living]
            unreachable_zones = (
                {m.zone for m in others} - {m.zone for m in living} - {self.zone, ""}
            )
            self._membership_cache = others, living, unreachable_zones
        return self._membership_cache

    def _push_plan(self, plan: FailoverPlan, out: list[Out]) -> None:
        data = pack(ZoneMessage(PLAN, plan.version, plan=plan))
        out += [(m.address, data) for m in self._sample(self._membership()[1], self.rules.fan)]

    def _sample(self, among: Sequence[Member], most: int) -> Sequence[Member]:
        return among if len(among) <= most else self.rng.sample(among, most)

    # -- polls

    def _start_poll(self, living: Sequence[Member], out: list[Out]) -> None:
        """Poll on the zone that most needs it, if one does."""
        zone = self._zone_to_poll()
        if zone is None:
            return
        outside = [m for m in living if m.zone != zone]
        asked = {m.name: m.address for m in self._sample(outside, self.rules.sample)}
        self.statistics.polls += 1
        self._number += 1
        self._polled[zone] = self.now
        wait = self.rules.wait
        self._poll = _Poll(zone, self._number, asked, self.now + wait / 2, self.now + wait)
        data = pack(ZoneMessage(ASK, self.plan.version, self._number))
        out += [(address, data) for address in asked.values()]

    def _zone_to_poll(self) -> str | None:
        rules, zones, heard = self.rules, [], set()
        if not self.is_degraded():
            for zone, (ended, lost) in self._counts().items():
                entry = self.plan.zones.get(zone)
                if (
                    ended >= 2
                    and lost >= rules.bad * ended
                    and (
                        entry is None
                        or entry.is_recovering
                        or (entry.traffic_weight and lost >= rules.dead * ended)
                    )
                ):
                    zones.append(zone)
            zones += [
                zone
                for zone, entry in self.plan.zones.items()
                if self.now - self._since[zone] > self._min_duration(entry) + self._proposal_delay
            ]
        for unconfirmed in self._unconfirmed_plans.values():
            heard |= {*unconfirmed.plan.differs(self.plan)}
        heard |= {zone for zone, at in self._hinted_zones.items() if self.now - at < 1.0}
        own = [zone for zone in zones if self.now - self._polled.get(zone, -1e9) >= rules.wait]
        # Polls for hearsay are what a liar can cost: few in all, and less often of each zone.
        if not own and self.now - self._unconfirmed_polled_at >= rules.wait:
            own = [
                zone
                for zone in heard
                if self.now - self._polled.get(zone, -1e9) >= 2.0 * rules.wait
            ]
            if own:
                self._unconfirmed_polled_at = self.now
        return min(own, key=lambda z: (self._polled.get(z, -1e9), z), default=None)

    def _min_duration(self, entry: ZoneEntry) -> float:
        """How long an entry is in force at the least, before the next step back."""
        if entry.is_recovering:
            return self.rules.step
        return min(self.rules.longest, self.rules.hold * 2.0 ** (entry.penalty_count - 1))

    def _advance_poll(self, poll: _Poll, others: Sequence[Member], out: list[Out]) -> None:
        missing = [a for name, a in poll.asked.items() if name not in poll.answers]
        if missing and self.now < poll.until:
            if self.now >= poll.again_at:
                poll.again_at = poll.until
                data = pack(ZoneMessage(ASK, self.plan.version, poll.number))
                out += [(address, data) for address in missing]
            return
        self._poll = None
        if 2 * len(poll.answers) < len(poll.asked):
            self.statistics.inconclusive_polls += 1  # rather we are cut off than they all
            return
        outside = [m for m in others if m.zone != poll.zone]
        mine = self.zone != poll.zone
        verdict = self._verdicts[poll.zone] = self._judge(poll)
        self._consider_unconfirmed(poll)
        if 2 * (sum(m.living for m in outside) + mine) > len(outside) + mine:
            self._propose(poll, verdict, out)

    def _judge(self, poll: _Poll, held: tuple[int, str] | None = None) -> Verdict:
        """What the numbers say. Each member's count for no more than `most` attempts. Members that hold the
        version `held` or a newer one have judged already, and forgotten what they counted."""
        rules, zone = self.rules, poll.zone
        told = [
            (
                said.counts.get(zone, (0, 0)),
                zone in said.unreachable_zones or (held is not None and said.version >= held),
            )
            for said in poll.answers.values()
            if not said.is_degraded
        ]
        if self.zone != zone and not self.is_degraded():
            told.append((self._counts().get(zone, (0, 0)), zone in self._membership()[2]))
        ended = lost = 0.0
        failing = voters = 0
        for (one_ended, one_lost), gone in told:
            if one_ended:
                part = min(1.0, rules.most / one_ended)
                ended += one_ended * part
                lost += one_lost * part
            if one_ended or gone:
                voters += 1
                failing += gone or one_lost >= rules.bad * one_ended
        traffic_weight = lost / ended if ended else 0.0
        outside = sum(m.zone != zone for m in self.others()) + (self.zone != zone)
        needed = rules.few if zone in self.plan.zones else rules.least
        enough = traffic_weight >= rules.bad and ended >= needed if ended and held is None else True
        fails = 2 * failing > voters and failing >= min(rules.voters, outside // 2 + 1) and enough
        return Verdict(
            self.now,
            fails,
            ended >= rules.least and traffic_weight <= rules.good,
            traffic_weight,
            int(ended),
        )

    def _fleet_busy(self, poll: _Poll) -> float:
        """Slots of the whole fleet's running work: the middle half of what is told, times the members."""
        told = sorted([self.busy, *(said.busy for said in poll.answers.values())])
        cut = len(told) // 4
        middle = told[cut : len(told) - cut]
        return sum(middle) / len(middle) * (1 + len(self._membership()[1]))

    # -- plans

    def _propose(self, poll: _Poll, verdict: Verdict, out: list[Out]) -> None:
        zone, entry = poll.zone, self.plan.zones.get(poll.zone)
        if self.is_degraded():
            return
        if (
            self.owner
        ):  # it is the owner's to make plans, and it may see less of this zone than we do
            if verdict.fails and (
                zone not in self.plan.zones or self.plan.zones[zone].is_recovering
            ):
                hint = pack(ZoneMessage(HINT, self.plan.version, unreachable_zones=(zone,)))
                out += [(m.address, hint) for m in self._membership()[1] if m.name == self.owner]
            return
        if any(
            zone in unconfirmed.plan.differs(self.plan)
            for unconfirmed in self._unconfirmed_plans.values()
        ):
            return
        since = self._since.get(zone, -1e9)
        dead = verdict.lost >= self.rules.dead
        if verdict.fails and (
            entry is None or entry.is_recovering or (entry.traffic_weight and dead)
        ):
            penalty_count = (
                entry.penalty_count
                if entry is not None
                else self._recovered_zones.get(zone, (0, 0.0))[0]
            )
            # A trial that failed was cheap. Only work that came back and was lost again makes it wait longer.
            penalty_count = min(
                penalty_count
                + (
                    entry is None
                    or (entry.is_recovering and entry.traffic_weight > RECOVERY_RAMP[0])
                ),
                16,
            )
            traffic_weight = self._min_weight(poll)
            if traffic_weight < 0.9 * FULL_WEIGHT and (
                entry is None or traffic_weight < entry.traffic_weight
            ):
                why = f"{zone}: {verdict.lost:.0%} of {verdict.ended} attempts lost"
                self._adopt_new_plan(zone, ZoneEntry(traffic_weight, penalty_count), why)
        elif (
            entry is not None
            and self.now - since > self._min_duration(entry)
            and not verdict.fails
            and (entry.is_recovering or zone not in self._membership()[2])
        ):
            if not entry.is_recovering:
                trial = replace(
                    entry,
                    traffic_weight=max(RECOVERY_RAMP[0], entry.traffic_weight),
                    is_recovering=True,
                )
                self._adopt_new_plan(zone, trial, f"{zone}: tried again")
            elif verdict.well or (
                self._has_little_evidence(verdict) and self.now - since > self.rules.patience
            ):
                why = f"{zone}: a step back, {verdict.lost:.0%} of {verdict.ended} attempts lost"
                self._adopt_new_plan(zone, next_recovery_step(entry), why)

    def _min_weight(self, poll: _Poll) -> int:
        return min_traffic_weight(
            self.plan, poll.zone, self.capacity(), self._fleet_busy(poll), self.rules.most_out
        )

    def _adopt_new_plan(self, zone: str, entry: ZoneEntry | None, why: str) -> None:
        self.statistics.plans_made += 1
        self._adopt(self.plan.with_entry(zone, entry, self.epoch), why)

    def _adopt(self, plan: FailoverPlan, why: str) -> None:
        for zone in plan.differs(self.plan):
            entry, before = plan.zones.get(zone), self.plan.zones.get(zone)
            if entry is None:
                self._since.pop(zone, None)
                self._recovered_zones[zone] = (before.penalty_count if before else 0, self.now)
            else:
                self._since[zone] = self.now
                self._recovered_zones.pop(zone, None)
            self.evidence.clear(zone)  # it was counted under another share
            self._verdicts.pop(zone, None)
        self._before, self.plan, self.why = self.plan, plan, why
        self._proposal_delay = self.rng.random() * (
            0.3 + min(2.0, len(self._membership()[1]) / 200)
        )
        self._plans_to_push[plan] = self.rules.pushes
        self._unconfirmed_plans = {
            s: r for s, r in self._unconfirmed_plans.items() if r.plan.version > plan.version
        }

    def _consider_unconfirmed(self, poll: _Poll) -> None:
        """Take the highest newer plan that a majority holds, or that our own polls bear out."""
        highest_first = sorted(
            self._unconfirmed_plans.items(), key=lambda item: item[1].plan.version, reverse=True
        )
        for sender, unconfirmed in highest_first:
            plan = unconfirmed.plan
            held = sum(said.version >= plan.version for said in poll.answers.values())
            if 2 * held > len(poll.asked) and len(poll.asked) > 1:
                self._adopt(plan, "held by most of the others")
            elif plan.number - max(self.plan.number, self.epoch * EPOCH) > MAX_NUMBER_GAP:
                continue
            else:
                checks = [self._is_confirmed(plan, zone, poll) for zone in plan.differs(self.plan)]
                if any(check is False for check in checks):
                    self.statistics.plans_refused += 1
                    self._refused[plan.version] = self.now
                    del self._unconfirmed_plans[sender]
                elif all(checks) and any(check is True for check in checks):
                    self._adopt(plan, "made by another, and borne out by the others' counts")
            if self.plan is plan:
                self.statistics.plans_adopted += 1
                return

    def _is_confirmed(self, plan: FailoverPlan, zone: str, poll: _Poll) -> bool | str | None:
        """Whether what we know supports a zone's new entry. None: not known yet; a text: nothing against."""
        new, old = plan.zones.get(zone), self.plan.zones.get(zone)
        if plan.number == self.plan.number:  # made beside ours, from figures a little different
            if (
                new is not None
                and old is not None
                and new.is_recovering == old.is_recovering
                and abs(new.traffic_weight - old.traffic_weight) <= WEIGHT_TOLERANCE
            ):
                return True
            if new == self._before.zones.get(zone):
                return "the last step undone, to be made again after the other's"
        verdict = self._verdicts.get(zone)
        if verdict is None or self.now - verdict.at > 2.0:
            return None
        was = FULL_WEIGHT if old is None else old.traffic_weight
        if new is not None and not new.is_recovering:
            if verdict.well:
                return False
            fails = verdict.fails or (poll.zone == zone and self._judge(poll, plan.version).fails)
            return (
                fails
                and new.traffic_weight >= self._min_weight(poll) - WEIGHT_TOLERANCE
                and (old is None or old.is_recovering or new.traffic_weight < old.traffic_weight)
            ) or None
        if old is None or verdict.fails:
            return False
        right = (
            new == next_recovery_step(old)
            if old.is_recovering
            else new is not None and new.traffic_weight <= max(RECOVERY_RAMP[0], was)
        )
        ripe = self.now - self._since[zone] > 0.6 * self._min_duration(old)
        return right and (ripe and (verdict.well or self._has_little_evidence(verdict)) or None)

    def _has_little_evidence(self, verdict: Verdict) -> bool:
        """Whether a verdict rests on next to nothing, and speaks against nothing."""
        return verdict.ended < self.rules.least and verdict.lost <= self.rules.good

    # -- messages

    def receive(self, now: float, data: bytes, sender: str, address: Address) -> list[Out]:
        """One message of an authenticated member; what is to be sent for it."""
        self.now = max(self.now, now)
        try:
            said = unpack(data)
        except Malformed:
            self.statistics.malformed += 1
            return []
        self._last_received_at = self.now
        out: list[Out] = []
        mine = self.plan.version
        if said.kind == ASK:
            out.append((address, pack(self._answer(said.number))))
        elif said.kind == ANSWER:
            poll = self._poll
            if poll is not None and said.number == poll.number and sender in poll.asked:
                poll.answers.setdefault(sender, said)
                if len(poll.answers) == len(poll.asked):
                    self.due = self.now  # judge at once
        elif said.kind == GET:
            out.append((address, pack(ZoneMessage(PLAN, mine, plan=self.plan))))
        elif said.kind == HINT and not self.owner:
            for zone in said.unreachable_zones[:1]:
                self._hinted_zones = {
                    **dict(list(self._hinted_zones.items())[-MAX_UNCONFIRMED_PLANS:]),
                    zone: self.now,
                }
        elif said.kind == PLAN and said.plan is not None:
            self._receive_plan(said.plan, sender, out)
        if said.version < mine and said.kind in (DIGEST, ASK):
            out.append((address, pack(ZoneMessage(PLAN, mine, plan=self.plan))))
        elif (
            said.version > mine
            and said.kind != PLAN
            and said.version not in self._refused
            and all(r.plan.version != said.version for r in self._unconfirmed_plans.values())
        ):
            out.append((address, pack(ZoneMessage(GET, mine))))
        return out

    def _answer(self, number: int) -> ZoneMessage:
        counts: dict[str, Counts] = {}
        for zone, (ended, lost) in self._counts().items():
            part = min(1.0, 1000 / ended)
            counts[zone] = (int(ended * part), int(lost * part))
        return ZoneMessage(
            ANSWER,
            self.plan.version,
            number,
            self.is_degraded(),
            float(self.busy),
            counts,
            tuple(sorted(self._membership()[2])),
        )

    def _receive_plan(self, plan: FailoverPlan, sender: str, out: list[Out]) -> None:
        """A plan that is newer than ours goes on as a rumour at once, and is taken once it is borne out."""
        if plan.version <= self.plan.version or plan.version in self._refused:
            return
        # Of an owner that has been followed by another, or heard of already.
        if plan.number < self.epoch * EPOCH or any(
            r.plan.version == plan.version for r in self._unconfirmed_plans.values()
        ):
            return
        if (
            sender in self._unconfirmed_plans
            or len(self._unconfirmed_plans) >= MAX_UNCONFIRMED_PLANS
        ):
            return
        self._unconfirmed_plans[sender] = _UnconfirmedPlan(plan, self.now + CONFIRMATION_SECONDS)
        self._push_plan(plan, out)
        self._plans_to_push[plan] = self.rules.pushes - 1
        self.due = self.now  # look at once
