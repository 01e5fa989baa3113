"""The membership subsystem: the list of live members, and a notification when it changes."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from yewrill.membership.config import SwimConfig
from yewrill.membership.evidence import LINK_STATE_NAMES, LinkState
from yewrill.membership.format import parse_key
from yewrill.membership.link import MembershipLink, open_link
from yewrill.membership.machine import SwimMember
from yewrill.membership.messages import STATE_NAMES, Claim
from yewrill.service.subsystems import SubsystemContext


class MembersConfig(Protocol):
    """The section `members` of the configuration."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    # Hexadecimal keys of the datagrams' authentication: the first one signs, all are accepted.
    keys: tuple[str, ...]
    name: str
    zone: str
    region: str
    bytes_per_s: float  # byte budget per second, in each direction
    interval: float  # seconds between two probes


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """The members at one time, including this process; suspects count as alive."""

    living: tuple[Claim, ...]
    suspected: frozenset[str] = field(default_factory=frozenset)
    # Health score of this member: 0 is healthy, MAX_HEALTH_SCORE is the worst.
    local_health_score: int = 0

    @property
    def count(self) -> int:
        """Number of live members."""
        return len(self.living)

    def by_zone(self) -> Mapping[str, tuple[Claim, ...]]:
        """Returns the live members by zone."""
        zones: dict[str, tuple[Claim, ...]] = {}
        for claim in self.living:
            zones[claim.zone] = (*zones.get(claim.zone, ()), claim)
        return zones


class Members:
    """Membership as a subsystem of the service; announces the departure of this process when it stops."""

    name = "members"
    calls: Mapping[str, Any] = {}

    def attach(self, context: SubsystemContext) -> None:
        """Does nothing: the membership uses no other part of the service."""

    def __init__(self, config: MembersConfig):
        self._config = config
        self._keys = [parse_key(key) for key in config.keys]
        self._link: MembershipLink | None = None
        self.opened = trio.Event()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until cancelled, then announces the departure. Raises OSError if the socket can't be bound."""
        config = self._config
        swim_config = SwimConfig(interval=config.interval, timeout=0.4 * config.interval)

        def create_member(address: tuple[str, int], now: float) -> SwimMember:
            me = Claim(config.name, address, config.zone, config.region)
            return SwimMember(me, list(config.peers), random.SystemRandom(), now, swim_config)

        async with open_link(config.listen, create_member, self._keys, config.bytes_per_s) as link:
            self._link = link
            self.opened.set()
            task_status.started()
            await trio.sleep_forever()

    @property
    def address(self) -> tuple[str, int]:
        """Address of the socket; available once `opened` is set."""
        assert self._link is not None
        return self._link.machine.me.address

    def snapshot(self) -> MembershipSnapshot:
        """Returns the present members; none before the link is open."""
        if self._link is None:
            return MembershipSnapshot(())
        machine = self._link.machine
        return MembershipSnapshot(
            tuple(machine.members()),
            frozenset(c.name for c in machine.members() if c.state),
            machine.health.score,
        )

    @property
    def link(self) -> MembershipLink | None:
        """The link, through which other subsystems send to members; None until it is open."""
        return self._link

    async def changed(self) -> None:
        """Waits until the member list changes. Must be called only once `opened` is set."""
        assert self._link is not None
        await self._link.list_changed.wait()

    def status(self) -> dict[str, Any]:
        """Returns the status for operators, as JSON values.

        For each other member, `link` is the state of the link to it and `heard` whether the link is healthy.
        """
        link = self._link
        if link is None:
            return {"members": []}
        machine, now = link.machine, trio.current_time()
        listed = [
            {"name": machine.me.name, "state": "alive", "zone": machine.me.zone, "self": True}
        ]
        links = {name: machine.link_state(name) for name in machine.entries}
        listed += [
            {
                "name": m.claim.name,
                "state": STATE_NAMES[m.claim.state],
                "zone": m.claim.zone,
                "region": m.claim.region,
                "address": ":".join(map(str, m.claim.address)),
                "link": LINK_STATE_NAMES[links[name]],
                "heard": links[name] == LinkState.HEALTHY,
                "for_s": round(now - m.since, 1),
            }
            for name, m in sorted(machine.entries.items())
        ]
        traffic = link.transport.traffic
        sent = {
            kind: {"datagrams": count, "bytes": traffic.size[kind]}
            for kind, count in sorted(traffic.count.items())
        }
        return {
            "members": listed,
            "own_doubt": machine.health.score,
            "sent": sent,
            **self.metrics(),
        }

    def metrics(self) -> dict[str, int]:
        """Returns event counts since the process started, by the names of the metrics."""
        link = self._link
        if link is None:
            return {}
        counts, transport = link.machine.counts, link.transport
        return {
            "members_suspected": counts.suspected,
            "members_refuted": counts.refuted,
            "members_vouched": counts.attested,
            "members_died": counts.died,
            "members_late": counts.late,
            "members_alone": counts.isolated,
            "members_bytes_out": transport.sent,
            "members_bytes_in": transport.received,
            "members_held_back": transport.held_back,
            "members_flooded": transport.flooded,
            "members_refused": sum(transport.refused.values()) + sum(link.errors.values()),
        }
