"""What the rest of the program uses of the plan: a hook that counts attempts, agrees with the other
dispatchers through the membership, and tells the module each zone's share."""

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
from yewrill.zone_failover.machine import Address, FailoverMachine, FailoverRules, Member, Out
from yewrill.zone_failover.plan import FULL_WEIGHT

log = logging.getLogger("yewrill.zones")

ROLE = "zones"
STUCK_ATTEMPT_MS = (
    1000.0  # ms without a start, from which on what waits at a worker that runs none of ours hangs
)

# Endings that say nothing of a zone: the job came back unseen, or we held it back or gave it up ourselves.
_TELL_NOTHING = frozenset(
    {
        AttemptOutcome.REJECTED,
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.INTERNAL_ERROR,
        AttemptOutcome.STALE_UNREACHABLE,
        AttemptOutcome.STALE_RESET,
    }
)


class ZonesConfig(Protocol):
    """What the operators' file says of the plan. Seconds; `most_out` is a part of all capacity."""

    hold: float
    attempt: float
    most_out: float
    stands: float


class Zones:
    """A hook of the service. It needs the membership's hook."""

    name = "zones"

    def __init__(self, config: ZonesConfig):
        self._rules = FailoverRules(
            hold=config.hold, step=config.step, most_out=config.most_out, stands=config.stands
        )
        self._orders: dict[str, str] = {}  # zone: what operators have ordered here
        self._told: dict[int, float] = {}
        self._machine: FailoverMachine | None = None
        self._woken = trio.Event()
        self._list: tuple[object, list[Member]] = (None, [])
        self.calls = {order: self._calling(order) for order in ("leave", "pin", "return")}

    def attach(self, context: SubsystemContext) -> None:
        members = context.subsystems["members"]
        assert isinstance(members, Members)
        self._members, self._engine, self._endpoints = members, context.engine, context.endpoints
        self._views = context.subsystems.get("views")
        if self._views is not None:
            self._views.watch(lambda: self._woken.set())  # noqa: PLW0108 - the event is replaced
        self._ownership = context.subsystems.get("ownership")
        if self._ownership is not None:
            self._ownership.want(ROLE)
        self._carry = context.run_attempt
        context.run_attempt = self._attempt

    # -- evidence

    async def _attempt(self, attempt: Attempt) -> tuple[AttemptOutcome, Any]:
        """Carry a route step, and count how it ended."""
        machine = self._machine
        endpoint = self._endpoints.get(attempt.worker)
        if machine is None or endpoint is None:
            return await self._carry(attempt)
        width = attempt.request.width
        machine.busy += width
        try:
            outcome, result = await self._carry(attempt)
        finally:
            machine.busy -= width
        zone = self._name(endpoint.zone)
        if (
            zone
            and outcome not in _TELL_NOTHING
            and not (outcome is AttemptOutcome.CANCELLED and attempt.request.client_left)
        ) and machine.record_attempt(
            trio.current_time(), zone, outcome is not AttemptOutcome.SERVED
        ):
            self._woken.set()
        return outcome, result

    def _name(self, position: int) -> str:
        names = self._endpoints.topology.zones
        return names[position] if position < len(names) else ""

    def _capacity(self) -> Mapping[str, float]:
        slots = self._engine.capacity()
        return {
            name: slots[i] for i, name in enumerate(self._endpoints.topology.zones) if i in slots
        }

    def _hanging(self) -> Mapping[str, int]:
        return {
            self._name(zone): count
            for zone, count in self._engine.stuck_attempts(STUCK_ATTEMPT_MS).items()
        }

    def _regions(self) -> Mapping[str, str]:
        """The region of each zone that has members, as these tell it."""
        link = self._members.link
        claims = (
            []
            if link is None
            else [link.machine.me, *(m.claim for m in link.machine.entries.values())]
        )
        return {claim.zone: claim.region for claim in claims if claim.region}

    # -- agreement

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
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
            self._hanging,
            self._regions,
        )
        self._machine = machine
        link.payload_handlers[ZONES] = self._receive
        task_status.started()
        version = machine.plan.version
        while True:
            with trio.move_on_at(link.next_turn(machine.due)):
                await self._woken.wait()
            self._woken = trio.Event()
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
                    machine.why,
                )
            self._tell_module()

    def _take_ownership(self, machine: FailoverMachine, now: float) -> None:
        """With owners, the one of this duty alone makes plans, while it is heard of."""
        if self._ownership is not None:
            number, owner = self._ownership.seen(ROLE, now)
            machine.epoch = max(machine.epoch, number)
            machine.owner = "" if owner == machine.me else owner

    def _receive(self, data: bytes, sender: str, address: Address) -> list[Out]:
        assert self._machine is not None
        out = self._machine.receive(trio.current_time(), data, sender, address)
        self._woken.set()
        return out

    def _others(self) -> Sequence[Member]:
        """The others as the agreed view has them, or else the membership; the same object until that changes.
        Without a view we doubt ourselves, and the last one is as good as any."""
        link = self._members.link
        if link is None:
            return []
        if self._views is not None:
            view = self._views.view()
            if view is not None and self._list[0] is not view:
                self._list = (
                    view,
                    [
                        Member(e.name, e.address, e.zone, True)
                        for e in view.entries
                        if e.name != link.machine.me.name
                    ],
                )
            return self._list[1]
        if self._list[0] is not link.list_changed:
            self._list = (
                link.list_changed,
                [
                    Member(name, m.claim.address, m.claim.zone, m.claim.state != DEAD)
                    for name, m in link.machine.entries.items()
                    if m.claim.state != LEFT
                ],
            )
        return self._list[1]

    def _tell_module(self) -> None:
        shares = self.shares()
        told = {
            i: shares[name]
            for i, name in enumerate(self._endpoints.topology.zones)
            if name in shares
        }
        if told != self._told:
            self._told = told
            self._engine.set_zone_weights(told)

    def shares(self) -> dict[str, float]:
        """What the module goes by: the plan, under the orders that were given here."""
        machine = self._machine
        shares = {} if machine is None else dict(machine.traffic_weights())
        for zone, order in list(self._orders.items()):
            if order == "leave":
                shares[zone] = 0.0
            else:
                known = shares.pop(zone, None)
                if order == "return" and known is None:
                    del self._orders[zone]  # it is back by plan too
        return shares

    # -- operators

    def _calling(self, order: str) -> Any:
        async def call(zone: str) -> bool:
            if zone not in self._endpoints.topology.zones:
                return False
            self._orders[zone] = order
            self._woken.set()
            return True

        return call

    def status(self) -> dict[str, Any]:
        """For operators, as plain values."""
        machine = self._machine
        if machine is None:
            return {"plan": 0, "zones": []}
        shares, counts = self.shares(), machine.evidence.counts(trio.current_time())
        capacity = self._capacity()
        return {
            "plan": machine.plan.version[0],
            "digest": machine.plan.version[1],
            "why": machine.why,
            "own_doubt": machine.is_degraded(),
            "regions": self._by_region(shares, capacity),
            "zones": [
                {
                    "zone": name,
                    "share": shares.get(name, 1.0),
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
        self, shares: Mapping[str, float], capacity: Mapping[str, float]
    ) -> dict[str, float]:
        """The share of each region's normal work that goes there, over its zones."""
        whole: dict[str, list[float]] = {}
        for zone, region in self._regions().items():
            slots = capacity.get(zone, 0.0)
            parts = whole.setdefault(region, [0.0, 0.0])
            parts[0] += slots * shares.get(zone, 1.0)
            parts[1] += slots
        return {
            region: round(part / total, 3)
            for region, (part, total) in sorted(whole.items())
            if total
        }

    def metrics(self) -> dict[str, int]:
        """Counts since the start, by the names operators see."""
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
