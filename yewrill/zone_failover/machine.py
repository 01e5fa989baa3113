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
    ASK,
    DIGEST,
    GET,
    HINT,
    PLAN,
    TELL,
    Malformed,
    Said,
    pack,
    unpack,
)
from yewrill.zone_failover.plan import EPOCH, STEPS, WHOLE, Entry, Plan, least_share, up

MOST_PENDING = 8
REFUSAL = 3.0  # seconds for which a plan that was spoken against is not looked at again
RUMOUR = 4.0  # seconds in which a plan that was heard of has to be borne out
MOST_JUMP = 64  # plans that we may have missed; a number further off needs a majority that holds it
TOLERANCE = 150  # thousandths by which another's reckoning of the guards may differ from ours

Address = tuple[str, int]
Out = tuple[Address, bytes]


class Member(NamedTuple):
    """One of the others, as the membership lists it."""

    name: str
    address: Address
    zone: str
    living: bool


@dataclass(frozen=True, slots=True)
class Rules:
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
class _Rumour:
    """A newer plan that was heard of and not borne out yet."""

    plan: Plan
    until: float


@dataclass(slots=True)
class _Poll:
    zone: str
    number: int
    asked: dict[str, Address]
    again_at: float
    until: float
    answers: dict[str, Said] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a poll showed of a zone. `fails` and `well` are both False where it told too little."""

    at: float
    fails: bool
    well: bool
    lost: float  # part of the attempts
    ended: int


@dataclass(slots=True)
class Counted:
    """What happened, for figures."""

    polls: int = 0
    made: int = 0
    taken: int = 0
    refused: int = 0
    malformed: int = 0
    late: int = 0
    cut: int = 0  # polls with too few answers


@dataclass
class Machine:
    me: str
    zone: str
    others: Callable[[], Sequence[Member]]  # all known but ourselves
    rng: random.Random
    now: float
    rules: Rules = field(default_factory=Rules)
    counted: Counted = field(default_factory=Counted)

    def __post_init__(self) -> None:
        self.plan = Plan()
        self.evidence = Evidence()
        self.capacity: Callable[[], Mapping[str, float]] = (
            dict  # slots of each zone, as discovery lists it
        )
        self.regions: Callable[[], Mapping[str, str]] = dict  # of zones, where members tell theirs
        # Attempts that are out at workers which start nothing of ours.
        self.hanging: Callable[[], Mapping[str, int]] = dict
        self.busy = 0.0  # slots of our own running work
        self.distrust = 0  # of ourselves, by the membership; 4 and more: our own eyes don't count
        self.epoch = 0  # the highest number under which the duty of making plans was granted
        self.owner = ""  # who else has that duty
        self._hinted: dict[str, float] = {}  # zones that others see fail, since we have it
        self.why = ""  # the last change of the plan, in plain words
        self._since: dict[str, float] = {}  # when each zone's entry came into force here
        self._struck: dict[
            str, tuple[int, float]
        ] = {}  # strikes of zones well again, and since when
        self._verdicts: dict[str, Verdict] = {}
        self._before = self.plan  # the one that ours took the place of
        self._pending: dict[str, _Rumour] = {}  # by who told them first
        self._refused: dict[tuple[int, str], float] = {}
        self._poll: _Poll | None = None
        self._polled: dict[str, float] = {}
        self._hearsay_at = -1e9  # when another's plan alone was cause for a poll
        self._number = 0
        self._turn = 0.0  # seconds by which we let others make the next step first
        self._fresh: dict[Plan, int] = {}  # plans that are still told, and in how many rounds
        self._seen: tuple[Sequence[Member], list[Member], set[str]] = ([], [], set())
        self._heard = self.now
        self._doubt_until = -1.0
        self._digest_at = self.now + self.rng.random()
        self.due = self._ticked = self.now + self.rng.random() * self.rules.tick

    # -- what others see

    def shares(self) -> dict[str, float]:
        """The part of its normal work that each zone gets, where less than the whole; none without news."""
        if self.now - self._heard > self.rules.stands:
            return {}
        return {zone: entry.share / WHOLE for zone, entry in self.plan.zones.items()}

    def _counts(self) -> Mapping[str, Counts]:
        """Our own counts; of zones that get little by plan, over a longer time. What hangs counts as lost."""
        counts = dict(self.evidence.counts(self.now, self.plan.zones))
        for zone, hanging in self.hanging().items():
            ended, lost = counts.get(zone, (0, 0))
            counts[zone] = ended + hanging, lost + hanging
        return counts

    def doubts(self) -> bool:
        """Whether our own counts are not to be believed."""
        if self.distrust >= 4 or self.now < self._doubt_until:
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

    def note(self, now: float, zone: str, lost: bool) -> bool:
        """One attempt in a zone has ended. Whether that is cause to look at once."""
        self.evidence.note(now, zone, lost)
        if (
            not lost
            or self._poll is not None
            or now - self._polled.get(zone, -1e9) < self.rules.wait
        ):
            return False
        entry = self.plan.zones.get(zone)
        if entry is not None and not entry.back:
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
            self.counted.late += 1
            self.evidence.forget()
            self._poll = None
            self._doubt_until = now + 2.0
            self._since = dict.fromkeys(self._since, now)
            self._digest_at = now
        others, living, _ = self._look()
        for sender, rumour in list(self._pending.items()):
            if now > rumour.until:
                del self._pending[sender]
        if self._poll is not None:
            self._follow(self._poll, others, out)
        if self._poll is None and now >= self._doubt_until and living:
            self._begin(living, out)
        for plan, rounds in list(self._fresh.items()):
            self._tell(plan, out)
            if rounds > 1 and plan.version >= self.plan.version:
                self._fresh[plan] = rounds - 1
            else:
                del self._fresh[plan]
        if now >= self._digest_at and living:
            self._digest_at = now + 1.0
            asleep = 5 if now < self._doubt_until else 1
            out += [
                (m.address, pack(Said(DIGEST, self.plan.version)))
                for m in self._draw(living, asleep)
            ]
        for zone, (_, since) in list(self._struck.items()):
            if now - since > self.rules.longest:
                del self._struck[zone]
        for version, at in list(self._refused.items()):
            if now - at > REFUSAL:
                del self._refused[version]
        return out

    def _look(self) -> tuple[Sequence[Member], list[Member], set[str]]:
        """All others, the living ones, and the zones that have members none of whom we hear."""
        others = self.others()
        if others is not self._seen[0]:
            living = [m for m in others if m.living]
            dark = {m.zone for m in others} - {m.zone for m in living} - {self.zone, ""}
            self._seen = others, living, dark
        return self._seen

    def _tell(self, plan: Plan, out: list[Out]) -> None:
        data = pack(Said(PLAN, plan.version, plan=plan))
        out += [(m.address, data) for m in self._draw(self._look()[1], self.rules.fan)]

    def _draw(self, among: Sequence[Member], most: int) -> Sequence[Member]:
        return among if len(among) <= most else self.rng.sample(among, most)

    # -- polls

    def _begin(self, living: Sequence[Member], out: list[Out]) -> None:
        """Poll on the zone that most needs it, if one does."""
        zone = self._in_question()
        if zone is None:
            return
        outside = [m for m in living if m.zone != zone]
        asked = {m.name: m.address for m in self._draw(outside, self.rules.sample)}
        self.counted.polls += 1
        self._number += 1
        self._polled[zone] = self.now
        wait = self.rules.wait
        self._poll = _Poll(zone, self._number, asked, self.now + wait / 2, self.now + wait)
        data = pack(Said(ASK, self.plan.version, self._number))
        out += [(address, data) for address in asked.values()]

    def _in_question(self) -> str | None:
        rules, zones, heard = self.rules, [], set()
        if not self.doubts():
            for zone, (ended, lost) in self._counts().items():
                entry = self.plan.zones.get(zone)
                if (
                    ended >= 2
                    and lost >= rules.bad * ended
                    and (
                        entry is None or entry.back or (entry.share and lost >= rules.dead * ended)
                    )
                ):
                    zones.append(zone)
            zones += [
                zone
                for zone, entry in self.plan.zones.items()
                if self.now - self._since[zone] > self._span(entry) + self._turn
            ]
        for rumour in self._pending.values():
            heard |= {*rumour.plan.differs(self.plan)}
        heard |= {zone for zone, at in self._hinted.items() if self.now - at < 1.0}
        own = [zone for zone in zones if self.now - self._polled.get(zone, -1e9) >= rules.wait]
        # Polls for hearsay are what a liar can cost: few in all, and less often of each zone.
        if not own and self.now - self._hearsay_at >= rules.wait:
            own = [
                zone
                for zone in heard
                if self.now - self._polled.get(zone, -1e9) >= 2.0 * rules.wait
            ]
            if own:
                self._hearsay_at = self.now
        return min(own, key=lambda z: (self._polled.get(z, -1e9), z), default=None)

    def _span(self, entry: Entry) -> float:
        """How long an entry is in force at the least, before the next step back."""
        if entry.back:
            return self.rules.step
        return min(self.rules.longest, self.rules.hold * 2.0 ** (entry.strikes - 1))

    def _follow(self, poll: _Poll, others: Sequence[Member], out: list[Out]) -> None:
        missing = [a for name, a in poll.asked.items() if name not in poll.answers]
        if missing and self.now < poll.until:
            if self.now >= poll.again_at:
                poll.again_at = poll.until
                data = pack(Said(ASK, self.plan.version, poll.number))
                out += [(address, data) for address in missing]
            return
        self._poll = None
        if 2 * len(poll.answers) < len(poll.asked):
            self.counted.cut += 1  # rather we are cut off than they all
            return
        outside = [m for m in others if m.zone != poll.zone]
        mine = self.zone != poll.zone
        verdict = self._verdicts[poll.zone] = self._judge(poll)
        self._consider(poll)
        if 2 * (sum(m.living for m in outside) + mine) > len(outside) + mine:
            self._propose(poll, verdict, out)

    def _judge(self, poll: _Poll, held: tuple[int, str] | None = None) -> Verdict:
        """What the numbers say. Each member's count for no more than `most` attempts. Members that hold the
        version `held` or a newer one have judged already, and forgotten what they counted."""
        rules, zone = self.rules, poll.zone
        told = [
            (
                said.counts.get(zone, (0, 0)),
                zone in said.dark or (held is not None and said.version >= held),
            )
            for said in poll.answers.values()
            if not said.doubt
        ]
        if self.zone != zone and not self.doubts():
            told.append((self._counts().get(zone, (0, 0)), zone in self._look()[2]))
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
        share = lost / ended if ended else 0.0
        outside = sum(m.zone != zone for m in self.others()) + (self.zone != zone)
        needed = rules.few if zone in self.plan.zones else rules.least
        enough = share >= rules.bad and ended >= needed if ended and held is None else True
        fails = 2 * failing > voters and failing >= min(rules.voters, outside // 2 + 1) and enough
        return Verdict(
            self.now, fails, ended >= rules.least and share <= rules.good, share, int(ended)
        )

    def _fleet_busy(self, poll: _Poll) -> float:
        """Slots of the whole fleet's running work: the middle half of what is told, times the members."""
        told = sorted([self.busy, *(said.busy for said in poll.answers.values())])
        cut = len(told) // 4
        middle = told[cut : len(told) - cut]
        return sum(middle) / len(middle) * (1 + len(self._look()[1]))

    # -- plans

    def _propose(self, poll: _Poll, verdict: Verdict, out: list[Out]) -> None:
        zone, entry = poll.zone, self.plan.zones.get(poll.zone)
        if self.doubts():
            return
        if (
            self.owner
        ):  # it is the owner's to make plans, and it may see less of this zone than we do
            if verdict.fails and (zone not in self.plan.zones or self.plan.zones[zone].back):
                hint = pack(Said(HINT, self.plan.version, dark=(zone,)))
                out += [(m.address, hint) for m in self._look()[1] if m.name == self.owner]
            return
        if any(zone in rumour.plan.differs(self.plan) for rumour in self._pending.values()):
            return
        since = self._since.get(zone, -1e9)
        dead = verdict.lost >= self.rules.dead
        if verdict.fails and (entry is None or entry.back or (entry.share and dead)):
            strikes = entry.strikes if entry is not None else self._struck.get(zone, (0, 0.0))[0]
            # A trial that failed was cheap. Only work that came back and was lost again makes it wait longer.
            strikes = min(strikes + (entry is None or (entry.back and entry.share > STEPS[0])), 16)
            share = self._least(poll)
            if share < 0.9 * WHOLE and (entry is None or share < entry.share):
                why = f"{zone}: {verdict.lost:.0%} of {verdict.ended} attempts lost"
                self._make(zone, Entry(share, strikes), why)
        elif (
            entry is not None
            and self.now - since > self._span(entry)
            and not verdict.fails
            and (entry.back or zone not in self._look()[2])
        ):
            if not entry.back:
                trial = replace(entry, share=max(STEPS[0], entry.share), back=True)
                self._make(zone, trial, f"{zone}: tried again")
            elif verdict.well or (self._thin(verdict) and self.now - since > self.rules.patience):
                why = f"{zone}: a step back, {verdict.lost:.0%} of {verdict.ended} attempts lost"
                self._make(zone, up(entry), why)

    def _least(self, poll: _Poll) -> int:
        return least_share(
            self.plan, poll.zone, self.capacity(), self._fleet_busy(poll), self.rules.most_out
        )

    def _make(self, zone: str, entry: Entry | None, why: str) -> None:
        self.counted.made += 1
        self._take(self.plan.with_entry(zone, entry, self.epoch), why)

    def _take(self, plan: Plan, why: str) -> None:
        for zone in plan.differs(self.plan):
            entry, before = plan.zones.get(zone), self.plan.zones.get(zone)
            if entry is None:
                self._since.pop(zone, None)
                self._struck[zone] = (before.strikes if before else 0, self.now)
            else:
                self._since[zone] = self.now
                self._struck.pop(zone, None)
            self.evidence.forget(zone)  # it was counted under another share
            self._verdicts.pop(zone, None)
        self._before, self.plan, self.why = self.plan, plan, why
        self._turn = self.rng.random() * (0.3 + min(2.0, len(self._look()[1]) / 200))
        self._fresh[plan] = self.rules.pushes
        self._pending = {s: r for s, r in self._pending.items() if r.plan.version > plan.version}

    def _consider(self, poll: _Poll) -> None:
        """Take the highest newer plan that a majority holds, or that our own polls bear out."""
        highest_first = sorted(
            self._pending.items(), key=lambda item: item[1].plan.version, reverse=True
        )
        for sender, rumour in highest_first:
            plan = rumour.plan
            held = sum(said.version >= plan.version for said in poll.answers.values())
            if 2 * held > len(poll.asked) and len(poll.asked) > 1:
                self._take(plan, "held by most of the others")
            elif plan.number - max(self.plan.number, self.epoch * EPOCH) > MOST_JUMP:
                continue
            else:
                checks = [self._borne_out(plan, zone, poll) for zone in plan.differs(self.plan)]
                if any(check is False for check in checks):
                    self.counted.refused += 1
                    self._refused[plan.version] = self.now
                    del self._pending[sender]
                elif all(checks) and any(check is True for check in checks):
                    self._take(plan, "made by another, and borne out by the others' counts")
            if self.plan is plan:
                self.counted.taken += 1
                return

    def _borne_out(self, plan: Plan, zone: str, poll: _Poll) -> bool | str | None:
        """Whether what we know supports a zone's new entry. None: not known yet; a text: nothing against."""
        new, old = plan.zones.get(zone), self.plan.zones.get(zone)
        if plan.number == self.plan.number:  # made beside ours, from figures a little different
            if (
                new is not None
                and old is not None
                and new.back == old.back
                and abs(new.share - old.share) <= TOLERANCE
            ):
                return True
            if new == self._before.zones.get(zone):
                return "the last step undone, to be made again after the other's"
        verdict = self._verdicts.get(zone)
        if verdict is None or self.now - verdict.at > 2.0:
            return None
        was = WHOLE if old is None else old.share
        if new is not None and not new.back:
            if verdict.well:
                return False
            fails = verdict.fails or (poll.zone == zone and self._judge(poll, plan.version).fails)
            return (
                fails
                and new.share >= self._least(poll) - TOLERANCE
                and (old is None or old.back or new.share < old.share)
            ) or None
        if old is None or verdict.fails:
            return False
        right = new == up(old) if old.back else new is not None and new.share <= max(STEPS[0], was)
        ripe = self.now - self._since[zone] > 0.6 * self._span(old)
        return right and (ripe and (verdict.well or self._thin(verdict)) or None)

    def _thin(self, verdict: Verdict) -> bool:
        """Whether a verdict rests on next to nothing, and speaks against nothing."""
        return verdict.ended < self.rules.least and verdict.lost <= self.rules.good

    # -- messages

    def receive(self, now: float, data: bytes, sender: str, address: Address) -> list[Out]:
        """One message of an authenticated member; what is to be sent for it."""
        self.now = max(self.now, now)
        try:
            said = unpack(data)
        except Malformed:
            self.counted.malformed += 1
            return []
        self._heard = self.now
        out: list[Out] = []
        mine = self.plan.version
        if said.kind == ASK:
            out.append((address, pack(self._told(said.number))))
        elif said.kind == TELL:
            poll = self._poll
            if poll is not None and said.number == poll.number and sender in poll.asked:
                poll.answers.setdefault(sender, said)
                if len(poll.answers) == len(poll.asked):
                    self.due = self.now  # judge at once
        elif said.kind == GET:
            out.append((address, pack(Said(PLAN, mine, plan=self.plan))))
        elif said.kind == HINT and not self.owner:
            for zone in said.dark[:1]:
                self._hinted = {**dict(list(self._hinted.items())[-MOST_PENDING:]), zone: self.now}
        elif said.kind == PLAN and said.plan is not None:
            self._hear(said.plan, sender, out)
        if said.version < mine and said.kind in (DIGEST, ASK):
            out.append((address, pack(Said(PLAN, mine, plan=self.plan))))
        elif (
            said.version > mine
            and said.kind != PLAN
            and said.version not in self._refused
            and all(r.plan.version != said.version for r in self._pending.values())
        ):
            out.append((address, pack(Said(GET, mine))))
        return out

    def _told(self, number: int) -> Said:
        counts: dict[str, Counts] = {}
        for zone, (ended, lost) in self._counts().items():
            part = min(1.0, 1000 / ended)
            counts[zone] = (int(ended * part), int(lost * part))
        return Said(
            TELL,
            self.plan.version,
            number,
            self.doubts(),
            float(self.busy),
            counts,
            tuple(sorted(self._look()[2])),
        )

    def _hear(self, plan: Plan, sender: str, out: list[Out]) -> None:
        """A plan that is newer than ours goes on as a rumour at once, and is taken once it is borne out."""
        if plan.version <= self.plan.version or plan.version in self._refused:
            return
        # Of an owner that has been followed by another, or heard of already.
        if plan.number < self.epoch * EPOCH or any(
            r.plan.version == plan.version for r in self._pending.values()
        ):
            return
        if sender in self._pending or len(self._pending) >= MOST_PENDING:
            return
        self._pending[sender] = _Rumour(plan, self.now + RUMOUR)
        self._tell(plan, out)
        self._fresh[plan] = self.rules.pushes - 1
        self.due = self.now  # look at once
