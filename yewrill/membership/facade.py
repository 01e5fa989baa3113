"""What the rest of the program uses of the membership: who lives, and a word when that changes."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from yewrill.membership.evidence import LINK_STATES, WELL
from yewrill.membership.format import key_of
from yewrill.membership.link import Link, open_link
from yewrill.membership.machine import STATES, Claim, Machine, Rules
from yewrill.service.subsystems import SubsystemContext


class MembersConfig(Protocol):
    """What the operators' file says of the membership. Bytes a second each way, seconds."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    keys: tuple[str, ...]  # hexadecimal; the first signs, all are taken
    name: str
    zone: str
    region: str
    bytes_per_s: float
    interval: float


@dataclass(frozen=True, slots=True)
class View:
    """The members at one moment, ourselves among them; those doubted count as living."""

    living: tuple[Claim, ...]
    doubted: frozenset[str] = field(default_factory=frozenset)
    own_doubt: int = 0  # 0: we trust our own eyes; 8: hardly

    @property
    def count(self) -> int:
        return len(self.living)

    def by_zone(self) -> Mapping[str, tuple[Claim, ...]]:
        zones: dict[str, tuple[Claim, ...]] = {}
        for claim in self.living:
            zones[claim.zone] = (*zones.get(claim.zone, ()), claim)
        return zones


class Members:
    """A hook of the service: runs while it does, says goodbye when it ends."""

    name = "members"
    calls: Mapping[str, Any] = {}

    def attach(self, context: SubsystemContext) -> None:
        """It needs nothing of the service."""

    def __init__(self, config: MembersConfig):
        self._config = config
        self._keys = [key_of(key) for key in config.keys]
        self._link: Link | None = None
        self.opened = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        config = self._config
        rules = Rules(interval=config.interval, timeout=0.4 * config.interval)

        def make(address: tuple[str, int], now: float) -> Machine:
            me = Claim(config.name, address, config.zone, config.region)
            return Machine(me, list(config.peers), random.SystemRandom(), now, rules)

        async with open_link(config.listen, make, self._keys, config.bytes_per_s) as link:
            self._link = link
            self.opened.set()
            task_status.started()
            await trio.sleep_forever()

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens, once it runs."""
        assert self._link is not None
        return self._link.machine.me.address

    def view(self) -> View:
        if self._link is None:
            return View(())
        machine = self._link.machine
        return View(
            tuple(machine.members()),
            frozenset(c.name for c in machine.members() if c.state),
            machine.health.doubt,
        )

    @property
    def link(self) -> Link | None:
        """The socket, for parts that send to members; None until it is open."""
        return self._link

    async def changed(self) -> None:
        """Wait until the list has changed."""
        assert self._link is not None
        await self._link.news.wait()

    def status(self) -> dict[str, Any]:
        """For operators, as plain values. Of each other member how the link to it looks from here and
        whether it hears us (`heard`)."""
        link = self._link
        if link is None:
            return {"members": []}
        machine, now = link.machine, trio.current_time()
        listed = [
            {"name": machine.me.name, "state": "alive", "zone": machine.me.zone, "self": True}
        ]
        links = {name: machine.link_state(name) for name in machine.listed}
        listed += [
            {
                "name": m.claim.name,
                "state": STATES[m.claim.state],
                "zone": m.claim.zone,
                "region": m.claim.region,
                "address": ":".join(map(str, m.claim.address)),
                "link": LINK_STATES[links[name]],
                "heard": links[name] == WELL,
                "for_s": round(now - m.since, 1),
            }
            for name, m in sorted(machine.listed.items())
        ]
        traffic = link.transport.traffic
        sent = {
            kind: {"datagrams": count, "bytes": traffic.size[kind]}
            for kind, count in sorted(traffic.count.items())
        }
        return {
            "members": listed,
            "own_doubt": machine.health.doubt,
            "sent": sent,
            **self.metrics(),
        }

    def metrics(self) -> dict[str, int]:
        """Counts since the start, by the names operators see."""
        link = self._link
        if link is None:
            return {}
        counts, transport = link.machine.counts, link.transport
        return {
            "members_suspected": counts.suspected,
            "members_refuted": counts.refuted,
            "members_vouched": counts.vouched,
            "members_died": counts.died,
            "members_late": counts.late,
            "members_alone": counts.alone,
            "members_bytes_out": transport.sent,
            "members_bytes_in": transport.received,
            "members_held_back": transport.held_back,
            "members_flooded": transport.flooded,
            "members_refused": sum(transport.refused.values()) + sum(link.errors.values()),
        }
