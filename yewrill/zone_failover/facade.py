"""The subsystem of the service: counts attempts by zone, runs this member's `FailoverMachine` on the
membership's datagrams, and sets the engine's traffic weight of each zone."""

from __future__ import annotations

import logging
import random
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import trio

from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt
from yewrill.membership import Members
from yewrill.membership.messages import DEAD, LEFT
from yewrill.membership.suspicion import MAX_HEALTH_SCORE
from yewrill.membership.transport import ZONES
from yewrill.service.subsystems import SubsystemContext
from yewrill.zone_failover.machine import (
    Address,
    FailoverMachine,
    FailoverRules,
    Member,
    OutgoingMessage,
)
from yewrill.zone_failover.plan import FULL_WEIGHT

log = logging.getLogger("yewrill.zones")

ROLE = "zones"
# An attempt counts as stuck if it has waited this long at a worker that runs no attempt of this dispatcher.
STUCK_ATTEMPT_MS = 1000.0

# Outcomes that are no evidence about a zone: the worker rejected the request,
# a pooled connection was closed before the worker read the request,
# or the dispatcher didn't send the request or had an error of its own.
_INCONCLUSIVE_OUTCOMES = frozenset(
    {
        AttemptOutcome.REJECTED,
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.INTERNAL_ERROR,
        AttemptOutcome.STALE_UNREACHABLE,
        AttemptOutcome.STALE_RESET,
    }
)


class ZonesConfig(Protocol):
    """The section `zones` of the settings file; `FailoverRules` explains its fields.

    Durations are in seconds. `most_out` is the fraction of all capacity that may be left at once.
    """

    hold: float
    step: float
    most_out: float
    stands: float


class Zones:
    """A subsystem of the service. It needs the membership subsystem."""

    name = "zones"

    def __init__(self, config: ZonesConfig):
        self._rules = FailoverRules(
            hold_time=config.hold,
            recovery_step_interval=config.step,
            max_excluded_fraction=config.most_out,
            plan_validity=config.stands,
        )
        self._orders: dict[str, str] = {}  # operators' orders to this dispatcher, by zone
        self._sent_weights: dict[int, float] = {}
        self._machine: FailoverMachine | None = None
        self._wake_up = trio.Event()
        self._members_cache: tuple[object, list[Member]] = (None, [])
        self.calls = {order: self._order_call(order) for order in ("leave", "pin", "return")}

    def attach(self, context: SubsystemContext) -> None:
        """Takes the subsystems that this one uses, and wraps `run_attempt` to count outcomes."""
        members = context.subsystems["members"]
        assert isinstance(members, Members)
        self._members, self._engine, self._endpoints = members, context.engine, context.endpoints
        self._views = context.subsystems.get("views")
        if self._views is not None:
            # A lambda, because `_wake_up` is replaced by a new event after each wake-up.
            self._views.watch(lambda: self._wake_up.set())  # noqa: PLW0108
        self._ownership = context.subsystems.get("ownership")
        if self._ownership is not None:
            self._ownership.request_lease(ROLE)
        self._run_attempt = context.run_attempt
        context.run_attempt = self._attempt

    # -- evidence

    async def _attempt(self, attempt: Attempt) -> tuple[AttemptOutcome, Any]:
        """Runs an attempt, and counts its outcome for the worker's zone."""
        machine = self._machine
        endpoint = self._endpoints.get(attempt.worker)
        if machine is None or endpoint is None:
            return await self._run_attempt(attempt)
        width = attempt.request.width
        machine.busy += width
        try:
            outcome, result = await self._run_attempt(attempt)
        finally:
            machine.busy -= width
        zone = self._zone_name(endpoint.zone)
        if (
            zone
            and outcome not in _INCONCLUSIVE_OUTCOMES
            and not (outcome is AttemptOutcome.CANCELLED and attempt.request.client_left)
        ) and machine.record_attempt(
            trio.current_time(), zone, outcome is not AttemptOutcome.SERVED
        ):
            self._wake_up.set()
        return outcome, result

    def _zone_name(self, position: int) -> str:
        names = self._endpoints.topology.zones
        return names[position] if position < len(names) else ""

    def _capacity(self) -> Mapping[str, float]:
        slots = self._engine.capacity()
        return {
            name: slots[i] for i, name in enumerate(self._endpoints.topology.zones) if i in slots
        }

    def _stuck_attempts(self) -> Mapping[str, int]:
        return {
            self._zone_name(zone): count
            for zone, count in self._engine.stuck_attempts(STUCK_ATTEMPT_MS).items()
        }

    def _regions(self) -> Mapping[str, str]:
        """Returns the region of each zone, as the zone's members announce it."""
        link = self._members.link
        claims = (
            []
            if link is None
            else [link.machine.me, *(m.claim for m in link.machine.entries.values())]
        )
        return {claim.zone: claim.region for claim in claims if claim.region}

    # -- agreement

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Takes part in the agreement until cancelled."""
        await self._members.opened.wait()
        link = self._members.link
        assert link is not None
        me = link.machine.me
        rng = random.Random(random.SystemRandom().getrandbits(64))
        machine = FailoverMachine(
            me.name, me.zone, self._others, rng, trio.current_time(), self._rules
        )
        machine.capacity, machine.stuck_attempts, machine.regions = (
            self._capacity,
            self._stuck_attempts,
            self._regions,
        )
        self._machine = machine
        link.payload_handlers[ZONES] = self._receive
        task_status.started()
        version = machine.plan.version
        while True:
            with trio.move_on_at(link.next_wakeup(machine.due)):
                await self._wake_up.wait()
            self._wake_up = trio.Event()
            now = trio.current_time()
            if now >= machine.due:
                outside = self._views is not None and self._views.view() is None
                machine.health_score = MAX_HEALTH_SCORE if outside else link.machine.health.score
                self._take_ownership(machine, now)
                await link.send_payloads(ZONES, machine.tick(now))
            if machine.plan.version != version:
                version = machine.plan.version
                log.info(
                    "zone_plan_adopted plan=%d %s (%s)",
                    version[0],
                    " ".join(
                        f"{zone}={entry.traffic_weight / FULL_WEIGHT:g}"
                        f"{':back' if entry.is_recovering else ''}"
                        for zone, entry in sorted(machine.plan.zones.items())
                    )
                    or "all well",
                    machine.last_change_reason,
                )
            self._update_engine()

    def _take_ownership(self, machine: FailoverMachine, now: float) -> None:
        """Tells the machine the holder of the lease on the role of making plans.

        Without leases, any member may make plans.
        """
        if self._ownership is not None:
            number, lease_holder = self._ownership.last_known_holder(ROLE, now)
            machine.epoch = max(machine.epoch, number)
            machine.lease_holder = "" if lease_holder == machine.me else lease_holder

    def _receive(self, data: bytes, sender: str, address: Address) -> list[OutgoingMessage]:
        assert self._machine is not None
        outgoing = self._machine.receive(trio.current_time(), data, sender, address)
        self._wake_up.set()
        return outgoing

    def _others(self) -> Sequence[Member]:
        """Returns the other members by the agreed view, or by the membership if views are not in use.

        Returns the same object until its source changes. A member outside all views counts as degraded and
        keeps the members of its last view.
        """
        link = self._members.link
        if link is None:
            return []
        if self._views is not None:
            view = self._views.view()
            if view is not None and self._members_cache[0] is not view:
                self._members_cache = (
                    view,
                    [
                        Member(e.name, e.address, e.zone, True)
                        for e in view.entries
                        if e.name != link.machine.me.name
                    ],
                )
            return self._members_cache[1]
        if self._members_cache[0] is not link.list_changed:
            self._members_cache = (
                link.list_changed,
                [
                    Member(name, m.claim.address, m.claim.zone, m.claim.state != DEAD)
                    for name, m in link.machine.entries.items()
                    if m.claim.state != LEFT
                ],
            )
        return self._members_cache[1]

    def _update_engine(self) -> None:
        traffic_weights = self.traffic_weights()
        weights = {
            i: traffic_weights[name]
            for i, name in enumerate(self._endpoints.topology.zones)
            if name in traffic_weights
        }
        if weights != self._sent_weights:
            self._sent_weights = weights
            self._engine.set_zone_weights(weights)

    def traffic_weights(self) -> dict[str, float]:
        """Returns each zone's traffic weight at this dispatcher: an operator's order overrides the plan's."""
        machine = self._machine
        traffic_weights = {} if machine is None else dict(machine.traffic_weights())
        for zone, order in list(self._orders.items()):
            if order == "leave":
                traffic_weights[zone] = 0.0
            else:
                known = traffic_weights.pop(zone, None)
                if order == "return" and known is None:
                    # The plan has no entry for the zone any more, so the order is no longer needed.
                    del self._orders[zone]
        return traffic_weights

    # -- operators

    def _order_call(self, order: str) -> Any:
        async def call(zone: str) -> bool:
            if zone not in self._endpoints.topology.zones:
                return False
            self._orders[zone] = order
            self._wake_up.set()
            return True

        return call

    def status(self) -> dict[str, Any]:
        """Returns the plan, counts and orders as plain values, for the management interface."""
        machine = self._machine
        if machine is None:
            return {"plan": 0, "zones": []}
        traffic_weights, counts = (
            self.traffic_weights(),
            machine.evidence.counts(trio.current_time()),
        )
        capacity = self._capacity()
        return {
            "plan": machine.plan.version[0],
            "digest": machine.plan.version[1],
            "why": machine.last_change_reason,
            "own_doubt": machine.is_degraded(),
            "regions": self._by_region(traffic_weights, capacity),
            "zones": [
                {
                    "zone": name,
                    "share": traffic_weights.get(name, 1.0),
                    "by_plan": machine.plan.traffic_weight(name) / FULL_WEIGHT,
                    "order": self._orders.get(name, ""),
                    "slots": round(capacity.get(name, 0.0), 1),
                    "ended": counts.get(name, (0, 0))[0],
                    "lost": counts.get(name, (0, 0))[1],
                }
                for name in self._endpoints.topology.zones
            ],
            **self.metrics(),
        }

    def _by_region(
        self, traffic_weights: Mapping[str, float], capacity: Mapping[str, float]
    ) -> dict[str, float]:
        """Returns the fraction of each region's normal traffic that it gets, weighted by its zones' slots."""
        totals: dict[str, list[float]] = {}
        for zone, region in self._regions().items():
            slots = capacity.get(zone, 0.0)
            sums = totals.setdefault(region, [0.0, 0.0])
            sums[0] += slots * traffic_weights.get(zone, 1.0)
            sums[1] += slots
        return {
            region: round(weighted / total, 3)
            for region, (weighted, total) in sorted(totals.items())
            if total
        }

    def metrics(self) -> dict[str, int]:
        """Returns the counts since the start, by metric name."""
        if self._machine is None:
            return {}
        counted = self._machine.statistics
        return {
            "zones_polls": counted.polls,
            "zones_plans_made": counted.plans_made,
            "zones_plans_taken": counted.plans_adopted,
            "zones_plans_refused": counted.plans_refused,
            "zones_malformed": counted.malformed,
            "zones_late": counted.late_ticks,
            "zones_cut": counted.inconclusive_polls,
        }
