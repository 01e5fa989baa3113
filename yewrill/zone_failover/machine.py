"""The state machine by which the dispatchers agree on a failover plan. It does no I/O: it takes messages and
the time and returns messages to send.

Theory of operation. Each member counts the attempts that it ended, by zone. A member that suspects a zone, or
has a recovery step due, *polls*: it asks a random sample of the members outside that zone for their counts
and judges the sum.

- *Leaving a zone.* A zone is failing if more than half of the answering members that have evidence, and at
  least three members, see it lose half of its attempts. The next plan then lowers its traffic as far as the
  capacity limits allow; it lowers it further if the zone serves nothing and the other zones have gained
  capacity. Only a member that reaches a majority of all members outside the zone makes a plan.
- *Adopting a plan.* No member adopts a plan only because another one sent it. It adopts a newer plan once its
  own poll confirms it, or once more than half of a poll's sample hold it already.
- *Recovery.* After a hold time, which doubles with each failure in quick succession, the zone gets a small
  share of its traffic as a trial. Each further step needs a minimum time and a poll that finds the zone
  healthy. If a step fails, the zone is left again.
- *Versions.* Plans are ordered by number, then by digest. Once a second each member sends its version to a
  random member, and members fetch newer plans.
- *Degraded members.* A member doesn't trust its own counts if its membership health is poor, its process was
  suspended, or its attempts fail in most zones. It says so in its answers to polls and proposes nothing. A
  poll that fewer than half of the asked members answer has no result.
- *Isolation.* If a member receives no message for a while, the plan no longer binds it; it then goes by its
  own evidence alone.

Where a member holds the lease on the role of making plans (`yewrill/leases`), that member alone proposes. The
lease's fencing number forms the high part of the plan number, so plans sent late by an earlier holder are
lower and refused. Its plans need to be confirmed by polls like any others. Without leases every member may
propose.

Clocks are never compared between members: each measures durations on its own clock, from the moment it
received a message.
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
    FULL_WEIGHT,
    PLANS_PER_EPOCH,
    RECOVERY_RAMP,
    FailoverPlan,
    ZoneEntry,
    min_traffic_weight,
    next_recovery_step,
)

MAX_UNCONFIRMED_PLANS = 8
# A plan that a poll contradicted is ignored for this long.
REFUSAL_SECONDS = 3.0
# A plan that was received is dropped if no poll confirms it within this time.
CONFIRMATION_SECONDS = 4.0
# A plan whose number is further ahead than this is adopted only if a majority holds it.
MAX_NUMBER_GAP = 64
# Largest difference, in thousandths, between the weight in a received plan and the lowest weight that
# this member would allow. Members see different loads, so their lowest weights differ.
WEIGHT_TOLERANCE = 150

Address = tuple[str, int]
OutgoingMessage = tuple[Address, bytes]


class Member(NamedTuple):
    """Another member, as the membership lists it."""

    name: str
    address: Address
    zone: str
    is_alive: bool


@dataclass(frozen=True, slots=True)
class FailoverRules:
    """Thresholds of the zone failover. Durations are in seconds."""

    tick_interval: float = 0.25
    poll_sample_size: int = 15  # number of members asked in one poll
    # Duration of a poll. After half of it, members that have not answered are asked again.
    poll_timeout: float = 0.4
    # A zone that loses this fraction of its attempts, or more, is failing.
    failing_loss_ratio: float = 0.5
    # A zone that loses at most this fraction of its attempts is healthy.
    healthy_loss_ratio: float = 0.2
    # A zone that loses this fraction of its attempts, or more, counts as serving nothing. If it was left in
    # part, its traffic is lowered further once the other zones have gained capacity.
    dead_loss_ratio: float = 0.95
    min_poll_attempts: int = 6  # smallest number of attempts in a poll that is evidence
    max_attempts_per_member: int = 8  # limit on the weight of one member's attempts in a poll
    # Number of attempts that is enough to show that a zone with an entry in the plan still fails.
    min_recovery_attempts: int = 3
    # Smallest number of members that must see a zone fail before it is left.
    min_failing_voters: int = 3
    # Time from leaving a zone to its recovery trial; doubles with each penalty.
    hold_time: float = 2.0
    # Longest hold time, and also the time after which the penalties of a recovered zone are dropped.
    max_hold_time: float = 60.0
    recovery_step_interval: float = 1.0
    # Time before a recovery step for which polls have too little evidence.
    unverified_step_interval: float = 2.5
    plan_validity: float = 10.0  # time for which the plan binds a member that receives no message
    max_excluded_fraction: float = 0.5  # largest fraction of all capacity that may be left at once
    # Number of ticks in which a new plan, adopted or unconfirmed, is sent out.
    push_rounds: int = 4
    push_fanout: int = 3  # number of members to which each of these ticks sends the plan


@dataclass(slots=True)
class _UnconfirmedPlan:
    """A received plan that is newer than the current one, and neither adopted nor refused yet."""

    plan: FailoverPlan
    expires_at: float


@dataclass(slots=True)
class _Poll:
    """A poll of other members about one zone, while answers are awaited."""

    zone: str
    number: int
    asked: dict[str, Address]
    resend_at: float
    deadline: float
    answers: dict[str, ZoneMessage] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a poll on a zone. With too little evidence it is neither failing nor healthy."""

    judged_at: float
    is_failing: bool
    is_healthy: bool
    loss_ratio: float
    attempts: int


@dataclass(slots=True)
class FailoverStatistics:
    """Counters since the start, for metrics."""

    polls: int = 0
    plans_made: int = 0
    plans_adopted: int = 0
    plans_refused: int = 0
    malformed: int = 0
    late_ticks: int = 0
    # Polls that were answered by fewer than half of the members to which they were sent.
    inconclusive_polls: int = 0


@dataclass
class FailoverMachine:
    """One member's part in the agreement. Call `tick` when `due` is reached, and `receive` for each message.

    Both return the messages to send. `others` returns all known members except this one, and the same object
    as long as the membership hasn't changed.
    """

    me: str
    zone: str
    others: Callable[[], Sequence[Member]]
    rng: random.Random
    now: float
    rules: FailoverRules = field(default_factory=FailoverRules)
    statistics: FailoverStatistics = field(default_factory=FailoverStatistics)

    def __post_init__(self) -> None:
        self.plan = FailoverPlan()
        self.evidence = Evidence()
        # Number of slots in each zone, as discovery lists them.
        self.capacity: Callable[[], Mapping[str, float]] = dict
        # The region of each zone, as the zone's members announce it.
        self.regions: Callable[[], Mapping[str, str]] = dict
        # By zone, the number of attempts that wait at workers which start none of this dispatcher's requests.
        self.stuck_attempts: Callable[[], Mapping[str, int]] = dict
        self.busy = 0.0  # number of slots that this dispatcher's running attempts take
        # This member's health score, from the membership; from 4 on, its own counts are not trusted.
        self.health_score = 0
        # The highest fencing number seen on the lease that allows its holder to make plans.
        self.epoch = 0
        self.lease_holder = ""  # the other member that holds the lease for making plans, if any
        # Only while this member makes the plans: zones that other members reported as failing, and the times.
        self._hinted_zones: dict[str, float] = {}
        self.last_change_reason = ""  # reason of the last change of the plan, for operators
        # The time at which this member adopted each zone's plan entry.
        self._in_force_since: dict[str, float] = {}
        # By recovered zone: its penalty count, and the time of its recovery.
        self._recovered_zones: dict[str, tuple[int, float]] = {}
        self._verdicts: dict[str, Verdict] = {}
        self._previous_plan = self.plan
        # Plans that are neither adopted nor refused yet, by the member that sent each first.
        self._unconfirmed_plans: dict[str, _UnconfirmedPlan] = {}
        self._refused_versions: dict[tuple[int, str], float] = {}
        self._poll: _Poll | None = None
        self._last_polled_at: dict[str, float] = {}
        # The time of the last poll that only an unconfirmed plan or a hint had caused.
        self._last_unconfirmed_poll_at = -1e9
        self._last_poll_number = 0
        # Random delay before this member's next recovery step, so that rarely two members propose it at once.
        self._proposal_delay = 0.0
        # The plans that are still sent out, with the number of ticks left for each.
        self._plans_to_push: dict[FailoverPlan, int] = {}
        self._membership_cache: tuple[Sequence[Member], list[Member], set[str]] = ([], [], set())
        self._last_received_at = self.now
        self._degraded_until = -1.0
        self._next_digest_at = self.now + self.rng.random()
        self.due = self._last_tick_at = self.now + self.rng.random() * self.rules.tick_interval

    # -- results

    def traffic_weights(self) -> dict[str, float]:
        """Returns the fraction of its normal traffic that each zone in the plan gets.

        Zones without an entry get all their traffic. The result is empty if no message was received for
        `plan_validity`: then the plan no longer binds.
        """
        if self.now - self._last_received_at > self.rules.plan_validity:
            return {}
        return {zone: entry.traffic_weight / FULL_WEIGHT for zone, entry in self.plan.zones.items()}

    def _counts(self) -> Mapping[str, Counts]:
        """Returns the counts of this member's own attempts. Stuck attempts count as lost.

        Zones with a plan entry get little traffic, so they are counted over a longer window.
        """
        counts = dict(self.evidence.counts(self.now, self.plan.zones))
        for zone, stuck in self.stuck_attempts().items():
            ended, lost = counts.get(zone, (0, 0))
            counts[zone] = ended + stuck, lost + stuck
        return counts

    def is_degraded(self) -> bool:
        """Returns whether this member's own counts can't be trusted."""
        if self.health_score >= 4 or self.now < self._degraded_until:
            return True
        counts = {z: c for z, c in self._counts().items() if c[0] >= 3}
        failing = [
            zone
            for zone, (ended, lost) in counts.items()
            if lost >= self.rules.failing_loss_ratio * ended
        ]
        if len(counts) <= 2 or len(failing) * 2 <= len(counts):
            return False
        # If most zones fail at once, the fault is more likely at this member,
        # unless all failing zones lie in one region that is not this member's own.
        regions = self.regions()
        failing_regions = {regions.get(zone, "") for zone in failing}
        return len(failing_regions) != 1 or failing_regions <= {"", regions.get(self.zone, "")}

    # -- time

    def record_attempt(self, now: float, zone: str, lost: bool) -> bool:
        """Counts an attempt that ended in a zone. Returns whether `tick` should be called at once."""
        self.evidence.record_attempt(now, zone, lost)
        if (
            not lost
            or self._poll is not None
            or now - self._last_polled_at.get(zone, -1e9) < self.rules.poll_timeout
        ):
            return False
        entry = self.plan.zones.get(zone)
        if entry is not None and not entry.is_recovering:
            return False
        ended, losses = self.evidence.counts(now, self.plan.zones)[zone]
        if ended < 2 or losses < self.rules.failing_loss_ratio * ended:
            return False
        self.due = min(self.due, now)
        return True

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Advances or starts a poll, sends plans and the plan version, and drops old records, as due."""
        delay = now - max(self.due, self._last_tick_at)
        self.now = self._last_tick_at = now
        self.due = now + self.rules.tick_interval
        outgoing: list[OutgoingMessage] = []
        # The process was suspended: its counts are old, and its plan may be outdated.
        if delay > 1.0:
            self.statistics.late_ticks += 1
            self.evidence.clear()
            self._poll = None
            self._degraded_until = now + 2.0
            self._in_force_since = dict.fromkeys(self._in_force_since, now)
            self._next_digest_at = now
        others, live_members, _ = self._membership()
        for sender, unconfirmed in list(self._unconfirmed_plans.items()):
            if now > unconfirmed.expires_at:
                del self._unconfirmed_plans[sender]
        if self._poll is not None:
            self._advance_poll(self._poll, others, outgoing)
        if self._poll is None and now >= self._degraded_until and live_members:
            self._start_poll(live_members, outgoing)
        for plan, rounds in list(self._plans_to_push.items()):
            self._push_plan(plan, outgoing)
            if rounds > 1 and plan.version >= self.plan.version:
                self._plans_to_push[plan] = rounds - 1
            else:
                del self._plans_to_push[plan]
        if now >= self._next_digest_at and live_members:
            self._next_digest_at = now + 1.0
            receiver_count = 5 if now < self._degraded_until else 1
            outgoing += [
                (m.address, pack(ZoneMessage(DIGEST, self.plan.version)))
                for m in self._sample(live_members, receiver_count)
            ]
        for zone, (_, since) in list(self._recovered_zones.items()):
            if now - since > self.rules.max_hold_time:
                del self._recovered_zones[zone]
        for version, at in list(self._refused_versions.items()):
            if now - at > REFUSAL_SECONDS:
                del self._refused_versions[version]
        return outgoing

    def _membership(self) -> tuple[Sequence[Member], list[Member], set[str]]:
        """Returns all other members, the live ones, and the zones whose members are all unreachable."""
        others = self.others()
        if others is not self._membership_cache[0]:
            live_members = [m for m in others if m.is_alive]
            unreachable_zones = (
                {m.zone for m in others} - {m.zone for m in live_members} - {self.zone, ""}
            )
            self._membership_cache = others, live_members, unreachable_zones
        return self._membership_cache

    def _push_plan(self, plan: FailoverPlan, outgoing: list[OutgoingMessage]) -> None:
        data = pack(ZoneMessage(PLAN, plan.version, plan=plan))
        outgoing += [
            (m.address, data) for m in self._sample(self._membership()[1], self.rules.push_fanout)
        ]

    def _sample(self, members: Sequence[Member], max_size: int) -> Sequence[Member]:
        return members if len(members) <= max_size else self.rng.sample(members, max_size)

    # -- polls

    def _start_poll(self, live_members: Sequence[Member], outgoing: list[OutgoingMessage]) -> None:
        """Starts a poll on the zone that has waited longest for one, if any needs it."""
        zone = self._zone_to_poll()
        if zone is None:
            return
        outside = [m for m in live_members if m.zone != zone]
        asked = {m.name: m.address for m in self._sample(outside, self.rules.poll_sample_size)}
        self.statistics.polls += 1
        self._last_poll_number += 1
        self._last_polled_at[zone] = self.now
        timeout = self.rules.poll_timeout
        self._poll = _Poll(
            zone, self._last_poll_number, asked, self.now + timeout / 2, self.now + timeout
        )
        data = pack(ZoneMessage(ASK, self.plan.version, self._last_poll_number))
        outgoing += [(address, data) for address in asked.values()]

    def _zone_to_poll(self) -> str | None:
        rules, zones, reported_zones = self.rules, [], set()
        if not self.is_degraded():
            for zone, (ended, lost) in self._counts().items():
                entry = self.plan.zones.get(zone)
                if (
                    ended >= 2
                    and lost >= rules.failing_loss_ratio * ended
                    and (
                        entry is None
                        or entry.is_recovering
                        or (entry.traffic_weight and lost >= rules.dead_loss_ratio * ended)
                    )
                ):
                    zones.append(zone)
            zones += [
                zone
                for zone, entry in self.plan.zones.items()
                if self.now - self._in_force_since[zone]
                > self._min_duration(entry) + self._proposal_delay
            ]
        for unconfirmed in self._unconfirmed_plans.values():
            reported_zones |= {*unconfirmed.plan.changed_zones(self.plan)}
        reported_zones |= {zone for zone, at in self._hinted_zones.items() if self.now - at < 1.0}
        candidates = [
            zone
            for zone in zones
            if self.now - self._last_polled_at.get(zone, -1e9) >= rules.poll_timeout
        ]
        # A faulty member can cause polls by unconfirmed plans and hints. These polls are therefore limited to
        # one at a time for all zones together, and are less frequent for each zone.
        if not candidates and self.now - self._last_unconfirmed_poll_at >= rules.poll_timeout:
            candidates = [
                zone
                for zone in reported_zones
                if self.now - self._last_polled_at.get(zone, -1e9) >= 2.0 * rules.poll_timeout
            ]
            if candidates:
                self._last_unconfirmed_poll_at = self.now
        return min(candidates, key=lambda z: (self._last_polled_at.get(z, -1e9), z), default=None)

    def _min_duration(self, entry: ZoneEntry) -> float:
        """Returns the shortest time that an entry is in force before the next recovery step."""
        if entry.is_recovering:
            return self.rules.recovery_step_interval
        return min(
            self.rules.max_hold_time, self.rules.hold_time * 2.0 ** (entry.penalty_count - 1)
        )

    def _advance_poll(
        self, poll: _Poll, others: Sequence[Member], outgoing: list[OutgoingMessage]
    ) -> None:
        missing = [a for name, a in poll.asked.items() if name not in poll.answers]
        if missing and self.now < poll.deadline:
            if self.now >= poll.resend_at:
                poll.resend_at = poll.deadline
                data = pack(ZoneMessage(ASK, self.plan.version, poll.number))
                outgoing += [(address, data) for address in missing]
            return
        self._poll = None
        if 2 * len(poll.answers) < len(poll.asked):
            # It is more likely that this member is cut off than that half of the others are.
            self.statistics.inconclusive_polls += 1
            return
        outside = [m for m in others if m.zone != poll.zone]
        is_outside = self.zone != poll.zone
        verdict = self._verdicts[poll.zone] = self._judge(poll)
        self._evaluate_unconfirmed_plans(poll)
        if 2 * (sum(m.is_alive for m in outside) + is_outside) > len(outside) + is_outside:
            self._propose(poll, verdict, outgoing)

    def _judge(self, poll: _Poll, held: tuple[int, str] | None = None) -> Verdict:
        """Returns the verdict on the poll's zone, by the answers and this member's own counts.

        The attempts of one member weigh at most `max_attempts_per_member`. Members that hold the plan version
        `held` or a newer one count as seeing the zone fail: they cleared their counts when they adopted it.
        """
        rules, zone = self.rules, poll.zone
        reports = [
            (
                message.counts.get(zone, (0, 0)),
                zone in message.unreachable_zones or (held is not None and message.version >= held),
            )
            for message in poll.answers.values()
            if not message.is_degraded
        ]
        if self.zone != zone and not self.is_degraded():
            reports.append((self._counts().get(zone, (0, 0)), zone in self._membership()[2]))
        ended = lost = 0.0
        failing = voters = 0
        for (one_ended, one_lost), is_unreachable in reports:
            if one_ended:
                scale = min(1.0, rules.max_attempts_per_member / one_ended)
                ended += one_ended * scale
                lost += one_lost * scale
            if one_ended or is_unreachable:
                voters += 1
                failing += is_unreachable or one_lost >= rules.failing_loss_ratio * one_ended
        loss_ratio = lost / ended if ended else 0.0
        outside = sum(m.zone != zone for m in self.others()) + (self.zone != zone)
        min_attempts = (
            rules.min_recovery_attempts if zone in self.plan.zones else rules.min_poll_attempts
        )
        has_enough_evidence = (
            loss_ratio >= rules.failing_loss_ratio and ended >= min_attempts
            if ended and held is None
            else True
        )
        is_failing = (
            2 * failing > voters
            and failing >= min(rules.min_failing_voters, outside // 2 + 1)
            and has_enough_evidence
        )
        return Verdict(
            self.now,
            is_failing,
            ended >= rules.min_poll_attempts and loss_ratio <= rules.healthy_loss_ratio,
            loss_ratio,
            int(ended),
        )

    def _fleet_busy_slots(self, poll: _Poll) -> float:
        """Estimates the slots in use fleet-wide.

        The estimate is the mean of the middle half of the reports, times the number of members. The outer
        quarters are dropped so that one wrong report can't move the estimate far.
        """
        reports = sorted([self.busy, *(message.busy for message in poll.answers.values())])
        trimmed = len(reports) // 4
        middle = reports[trimmed : len(reports) - trimmed]
        return sum(middle) / len(middle) * (1 + len(self._membership()[1]))

    # -- plans

    def _propose(self, poll: _Poll, verdict: Verdict, outgoing: list[OutgoingMessage]) -> None:
        zone, entry = poll.zone, self.plan.zones.get(poll.zone)
        if self.is_degraded():
            return
        if self.lease_holder:
            # Only the lease holder makes plans. It may send this zone too little traffic to see it fail.
            if verdict.is_failing and (
                zone not in self.plan.zones or self.plan.zones[zone].is_recovering
            ):
                hint = pack(ZoneMessage(HINT, self.plan.version, unreachable_zones=(zone,)))
                outgoing += [
                    (m.address, hint) for m in self._membership()[1] if m.name == self.lease_holder
                ]
            return
        if any(
            zone in unconfirmed.plan.changed_zones(self.plan)
            for unconfirmed in self._unconfirmed_plans.values()
        ):
            return
        since = self._in_force_since.get(zone, -1e9)
        is_dead = verdict.loss_ratio >= self.rules.dead_loss_ratio
        if verdict.is_failing and (
            entry is None or entry.is_recovering or (entry.traffic_weight and is_dead)
        ):
            penalty_count = (
                entry.penalty_count
                if entry is not None
                else self._recovered_zones.get(zone, (0, 0.0))[0]
            )
            # A failed trial affects few requests, so it adds no penalty; a failure after the first step does.
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
                reason = f"{zone}: {verdict.loss_ratio:.0%} of {verdict.attempts} attempts lost"
                self._adopt_new_plan(zone, ZoneEntry(traffic_weight, penalty_count), reason)
        elif (
            entry is not None
            and self.now - since > self._min_duration(entry)
            and not verdict.is_failing
            and (entry.is_recovering or zone not in self._membership()[2])
        ):
            if not entry.is_recovering:
                trial = replace(
                    entry,
                    traffic_weight=max(RECOVERY_RAMP[0], entry.traffic_weight),
                    is_recovering=True,
                )
                self._adopt_new_plan(zone, trial, f"{zone}: recovery trial")
            elif verdict.is_healthy or (
                self._has_little_evidence(verdict)
                and self.now - since > self.rules.unverified_step_interval
            ):
                reason = f"{zone}: next step, {verdict.loss_ratio:.0%} of {verdict.attempts} attempts lost"
                self._adopt_new_plan(zone, next_recovery_step(entry), reason)

    def _min_weight(self, poll: _Poll) -> int:
        return min_traffic_weight(
            self.plan,
            poll.zone,
            self.capacity(),
            self._fleet_busy_slots(poll),
            self.rules.max_excluded_fraction,
        )

    def _adopt_new_plan(self, zone: str, entry: ZoneEntry | None, reason: str) -> None:
        self.statistics.plans_made += 1
        self._adopt(self.plan.with_entry(zone, entry, self.epoch), reason)

    def _adopt(self, plan: FailoverPlan, reason: str) -> None:
        for zone in plan.changed_zones(self.plan):
            entry, before = plan.zones.get(zone), self.plan.zones.get(zone)
            if entry is None:
                self._in_force_since.pop(zone, None)
                self._recovered_zones[zone] = (before.penalty_count if before else 0, self.now)
            else:
                self._in_force_since[zone] = self.now
                self._recovered_zones.pop(zone, None)
            self.evidence.clear(zone)  # the counts so far were made under another traffic weight
            self._verdicts.pop(zone, None)
        self._previous_plan, self.plan, self.last_change_reason = self.plan, plan, reason
        self._proposal_delay = self.rng.random() * (
            0.3 + min(2.0, len(self._membership()[1]) / 200)
        )
        self._plans_to_push[plan] = self.rules.push_rounds
        self._unconfirmed_plans = {
            s: r for s, r in self._unconfirmed_plans.items() if r.plan.version > plan.version
        }

    def _evaluate_unconfirmed_plans(self, poll: _Poll) -> None:
        """Adopts the highest newer plan that a majority holds or this member's polls confirm.

        Refuses newer plans that the polls contradict.
        """
        highest_first = sorted(
            self._unconfirmed_plans.items(), key=lambda item: item[1].plan.version, reverse=True
        )
        for sender, unconfirmed in highest_first:
            plan = unconfirmed.plan
            held = sum(message.version >= plan.version for message in poll.answers.values())
            if 2 * held > len(poll.asked) and len(poll.asked) > 1:
                self._adopt(plan, "held by most members of a poll")
            elif plan.number - max(self.plan.number, self.epoch * PLANS_PER_EPOCH) > MAX_NUMBER_GAP:
                continue
            else:
                checks = [
                    self._is_confirmed(plan, zone, poll) for zone in plan.changed_zones(self.plan)
                ]
                if any(check is False for check in checks):
                    self.statistics.plans_refused += 1
                    self._refused_versions[plan.version] = self.now
                    del self._unconfirmed_plans[sender]
                elif all(checks) and any(check is True for check in checks):
                    self._adopt(plan, "made by another member and confirmed by a poll")
            if self.plan is plan:
                self.statistics.plans_adopted += 1
                return

    def _is_confirmed(self, plan: FailoverPlan, zone: str, poll: _Poll) -> bool | str | None:
        """Returns whether this member's polls support a zone's entry in a newer plan.

        True: confirmed. False: contradicted. None: not known yet. A text: no objection, but no confirmation.
        """
        new, old = plan.zones.get(zone), self.plan.zones.get(zone)
        # The two plans were made at the same time, from slightly different counts.
        if plan.number == self.plan.number:
            if (
                new is not None
                and old is not None
                and new.is_recovering == old.is_recovering
                and abs(new.traffic_weight - old.traffic_weight) <= WEIGHT_TOLERANCE
            ):
                return True
            if new == self._previous_plan.zones.get(zone):
                return "reverts this member's last change, which is proposed again later"
        verdict = self._verdicts.get(zone)
        if verdict is None or self.now - verdict.judged_at > 2.0:
            return None
        old_weight = FULL_WEIGHT if old is None else old.traffic_weight
        if new is not None and not new.is_recovering:
            if verdict.is_healthy:
                return False
            is_failing = verdict.is_failing or (
                poll.zone == zone and self._judge(poll, plan.version).is_failing
            )
            return (
                is_failing
                and new.traffic_weight >= self._min_weight(poll) - WEIGHT_TOLERANCE
                and (old is None or old.is_recovering or new.traffic_weight < old.traffic_weight)
            ) or None
        if old is None or verdict.is_failing:
            return False
        is_expected_step = (
            new == next_recovery_step(old)
            if old.is_recovering
            else new is not None and new.traffic_weight <= max(RECOVERY_RAMP[0], old_weight)
        )
        is_due = self.now - self._in_force_since[zone] > 0.6 * self._min_duration(old)
        return is_expected_step and (
            is_due and (verdict.is_healthy or self._has_little_evidence(verdict)) or None
        )

    def _has_little_evidence(self, verdict: Verdict) -> bool:
        """Returns whether a verdict has too few attempts to be evidence, and few of them lost."""
        return (
            verdict.attempts < self.rules.min_poll_attempts
            and verdict.loss_ratio <= self.rules.healthy_loss_ratio
        )

    # -- messages

    def receive(
        self, now: float, data: bytes, sender: str, address: Address
    ) -> list[OutgoingMessage]:
        """Handles one message of an authenticated member; returns the messages to send."""
        self.now = max(self.now, now)
        try:
            message = unpack(data)
        except Malformed:
            self.statistics.malformed += 1
            return []
        self._last_received_at = self.now
        outgoing: list[OutgoingMessage] = []
        own_version = self.plan.version
        if message.kind == ASK:
            outgoing.append((address, pack(self._answer(message.number))))
        elif message.kind == ANSWER:
            poll = self._poll
            if poll is not None and message.number == poll.number and sender in poll.asked:
                poll.answers.setdefault(sender, message)
                if len(poll.answers) == len(poll.asked):
                    self.due = self.now  # the poll is complete: it is judged at once
        elif message.kind == GET:
            outgoing.append((address, pack(ZoneMessage(PLAN, own_version, plan=self.plan))))
        elif message.kind == HINT and not self.lease_holder:
            for zone in message.unreachable_zones[:1]:
                self._hinted_zones = {
                    **dict(list(self._hinted_zones.items())[-MAX_UNCONFIRMED_PLANS:]),
                    zone: self.now,
                }
        elif message.kind == PLAN and message.plan is not None:
            self._receive_plan(message.plan, sender, outgoing)
        if message.version < own_version and message.kind in (DIGEST, ASK):
            outgoing.append((address, pack(ZoneMessage(PLAN, own_version, plan=self.plan))))
        elif (
            message.version > own_version
            and message.kind != PLAN
            and message.version not in self._refused_versions
            and all(r.plan.version != message.version for r in self._unconfirmed_plans.values())
        ):
            outgoing.append((address, pack(ZoneMessage(GET, own_version))))
        return outgoing

    def _answer(self, number: int) -> ZoneMessage:
        counts: dict[str, Counts] = {}
        for zone, (ended, lost) in self._counts().items():
            scale = min(1.0, 1000 / ended)
            counts[zone] = (int(ended * scale), int(lost * scale))
        return ZoneMessage(
            ANSWER,
            self.plan.version,
            number,
            self.is_degraded(),
            float(self.busy),
            counts,
            tuple(sorted(self._membership()[2])),
        )

    def _receive_plan(
        self, plan: FailoverPlan, sender: str, outgoing: list[OutgoingMessage]
    ) -> None:
        """Keeps a newer plan as unconfirmed and passes it on at once; it is adopted once it is confirmed."""
        if plan.version <= self.plan.version or plan.version in self._refused_versions:
            return
        # The plan was made by an earlier holder of the lease, or is already known.
        if plan.number < self.epoch * PLANS_PER_EPOCH or any(
            r.plan.version == plan.version for r in self._unconfirmed_plans.values()
        ):
            return
        if (
            sender in self._unconfirmed_plans
            or len(self._unconfirmed_plans) >= MAX_UNCONFIRMED_PLANS
        ):
            return
        self._unconfirmed_plans[sender] = _UnconfirmedPlan(plan, self.now + CONFIRMATION_SECONDS)
        self._push_plan(plan, outgoing)
        self._plans_to_push[plan] = self.rules.push_rounds - 1
        self.due = self.now  # a poll starts at once
