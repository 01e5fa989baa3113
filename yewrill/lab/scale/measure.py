"""Measurements of a fleet on loopback: how fast it agrees on a view, and what control costs at rest."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from yewrill.lab.scale import plan
from yewrill.lab.scale.fleet import CONTROL, FleetPlan, ScaleFleet, Status, in_one_view, leases
from yewrill.lab.scale.sampling import LEAST_IDLE, Cost, cost, idle_share, machine_times
from yewrill.membership.transport import IP_UDP_HEADER_BYTES

SETTLE_S = 4.0  # between agreement and the span at rest
POLL_S = 0.5


@dataclass(slots=True)
class Measured:
    """A fleet at rest. Figures are of the real dispatchers, in the mean where not said otherwise; `core` and
    memory are what they have beyond one with its control off (`core_off`, `proportional_off_mb`)."""

    dispatchers: int
    real: int
    formed_s: float | None
    leases: int
    core: float
    core_worst: float
    core_off: float
    wire_out: float
    wire_worst: float
    wire_in: float
    wire_hollow: float
    datagrams_out: float
    wakeups: float
    proportional_mb: float
    private_mb: float
    proportional_off_mb: float
    resident_mb: float
    held_back: int
    flooded: int
    idle: float
    starved: bool
    by_kind: dict[str, list[float]] = field(default_factory=dict)  # datagrams and bytes a second


@dataclass(frozen=True, slots=True)
class Wire:
    """What one dispatcher sends and receives a second."""

    out: float
    received: float
    datagrams: float
    by_kind: Mapping[str, list[float]]


def wire_of(first: Status, last: Status, span: float) -> Wire:
    """From two statuses, `span` seconds apart. What came in is counted without headers."""
    before, after = first["members"]["sent"], last["members"]["sent"]
    by_kind = {}
    for kind, now in after.items():
        was = before.get(kind, {"datagrams": 0, "bytes": 0})
        count = now["datagrams"] - was["datagrams"]
        by_kind[kind] = [
            count / span,
            (now["bytes"] - was["bytes"] + IP_UDP_HEADER_BYTES * count) / span,
        ]
    received = last["members"]["members_bytes_in"] - first["members"]["members_bytes_in"]
    return Wire(
        sum(size for _, size in by_kind.values()),
        received / span,
        sum(count for count, _ in by_kind.values()),
        by_kind,
    )


def wait_for_one_view(fleet: ScaleFleet, limit_s: float) -> float | None:
    """Seconds from the start until all hold a lease in one view; None: not within the limit."""
    while time.monotonic() - fleet.started_at < limit_s:
        time.sleep(POLL_S)
        told = fleet.status()
        if in_one_view(told):
            return time.monotonic() - fleet.started_at
    return None


def measure_fleet(mix: plan.Mix, directory: Path, limit_s: float, span_s: float) -> Measured:
    """Start a fleet at once, wait until it agrees, and look at it at rest."""
    with ScaleFleet(FleetPlan(mix), directory) as fleet:
        formed = wait_for_one_view(fleet, limit_s)
        time.sleep(SETTLE_S)
        before, machine, samples = fleet.status(), machine_times(), fleet.samples()
        began = time.monotonic()
        time.sleep(span_s)
        later, last_machine = fleet.samples(), machine_times()
        span = time.monotonic() - began
        after = fleet.status()
        costs = {key: cost(samples[key], later[key]) for key in samples}
        return _measured(
            fleet, formed, costs, before, after, span, idle_share(machine, last_machine)
        )


def _measured(
    fleet: ScaleFleet,
    formed: float | None,
    costs: Mapping[str, Cost],
    before: Mapping[str, Status],
    after: Mapping[str, Status],
    span: float,
    idle: float,
) -> Measured:
    names = [one.name for one in fleet.real]
    wires = {name: wire_of(before[name], after[name], span) for name in after}
    off = costs["off"]
    hollow = [wire.out for name, wire in wires.items() if name not in names]

    def mean(values: list[float]) -> float:
        return sum(values) / len(values) if values else 0.0

    def counted(key: str) -> int:
        return sum(status["members"][key] for status in after.values())

    return Measured(
        dispatchers=len(after),
        real=len(names),
        formed_s=formed,
        leases=leases(after),
        core=mean([costs[name].core for name in names]) - off.core,
        core_worst=max(costs[name].core for name in names) - off.core,
        core_off=off.core,
        wire_out=mean([wires[name].out for name in names]),
        wire_worst=max(wires[name].out for name in names),
        wire_in=mean([wires[name].received for name in names]),
        wire_hollow=mean(hollow),
        datagrams_out=mean([wires[name].datagrams for name in names]),
        wakeups=mean([costs[name].wakeups_per_s for name in names]),
        proportional_mb=mean([costs[name].proportional_mb for name in names]) - off.proportional_mb,
        private_mb=mean([costs[name].private_mb for name in names]) - off.private_mb,
        proportional_off_mb=off.proportional_mb,
        resident_mb=mean([costs[name].resident_mb for name in names]),
        held_back=counted("members_held_back"),
        flooded=counted("members_flooded"),
        idle=idle,
        starved=idle < LEAST_IDLE,
        by_kind={
            kind: [
                round(mean([wires[n].by_kind.get(kind, [0.0, 0.0])[i] for n in names]), 2)
                for i in (0, 1)
            ]
            for kind in sorted({kind for name in names for kind in wires[name].by_kind})
        },
    )


def measure_voters(dispatchers: int, directory: Path, span_s: float) -> dict[str, Any]:
    """Three voters of the log in a hollow fleet: bytes a second of its messages, there and elsewhere."""
    voters = 3
    mix = plan.Mix(0, dispatchers)
    with ScaleFleet(
        FleetPlan(mix, control=(*CONTROL, "ownership"), voters=voters), directory
    ) as fleet:
        wait_for_one_view(fleet, 30.0)
        time.sleep(SETTLE_S)
        before, began = fleet.status(), time.monotonic()
        time.sleep(span_s)
        after, span = fleet.status(), time.monotonic() - began
    wires = {name: wire_of(before[name], after[name], span) for name in after}
    log = {name: wire.by_kind.get("ownership", [0.0, 0.0]) for name, wire in wires.items()}
    names = sorted(log)
    return {
        "dispatchers": dispatchers,
        "voter_bytes_per_s": round(max(log[name][1] for name in names[:voters]), 1),
        "voter_datagrams_per_s": round(max(log[name][0] for name in names[:voters]), 2),
        "other_bytes_per_s": round(
            sum(log[name][1] for name in names[voters:]) / max(1, len(names) - voters), 1
        ),
    }
