"""Measures a fleet on loopback: the time until it agrees on a view, and the control plane's cost at rest."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from yewrill.lab.scale import plan
from yewrill.lab.scale.fleet import (
    CONTROL_PLANE,
    FleetPlan,
    ScaleFleet,
    Status,
    count_leases,
    in_one_view,
)
from yewrill.lab.scale.sampling import (
    MIN_IDLE_SHARE,
    ProcessCost,
    cost_between,
    idle_share,
    machine_ticks,
)
from yewrill.membership.transport import IP_UDP_HEADER_BYTES

# Seconds between the agreement on a view and the measurement at rest.
SETTLE_S = 4.0
POLL_S = 0.5


@dataclass(slots=True)
class Measured:
    """A fleet at rest. Values are means over the real dispatchers, rates are per second, `wire_*` are bytes.

    `core`, `proportional_mb` and `private_mb` are the control plane's: the use of the dispatcher without
    control plane (`core_off`, `proportional_off_mb`) is subtracted. `*_worst` are those of the worst real
    dispatcher, `wire_hollow` the mean of the hollow ones. `held_back` (datagrams not sent) and `flooded`
    (received datagrams dropped unread) are sums over all dispatchers. `formed_s`: time from the start until
    all were in one view, None if that took too long. `starved`: the machine had too little idle time for the
    values to be valid.
    """

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
    # For each kind of message, the datagrams and the bytes sent per second.
    by_kind: dict[str, list[float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Wire:
    """Rates of one dispatcher, per second: bytes sent and received, datagrams sent.

    `by_kind` has the datagrams and bytes sent for each kind of message.
    """

    out: float
    received: float
    datagrams: float
    by_kind: Mapping[str, list[float]]


def wire_between(first: Status, last: Status, seconds: float) -> Wire:
    """Returns a dispatcher's traffic rates from two of its statuses that are `seconds` apart.

    Sent bytes include the IP and UDP headers, received bytes do not.
    """
    before, after = first["members"]["sent"], last["members"]["sent"]
    by_kind = {}
    for kind, last_counters in after.items():
        first_counters = before.get(kind, {"datagrams": 0, "bytes": 0})
        count = last_counters["datagrams"] - first_counters["datagrams"]
        by_kind[kind] = [
            count / seconds,
            (last_counters["bytes"] - first_counters["bytes"] + IP_UDP_HEADER_BYTES * count)
            / seconds,
        ]
    received = last["members"]["members_bytes_in"] - first["members"]["members_bytes_in"]
    return Wire(
        sum(size for _, size in by_kind.values()),
        received / seconds,
        sum(count for count, _ in by_kind.values()),
        by_kind,
    )


def wait_for_one_view(fleet: ScaleFleet, limit_s: float) -> float | None:
    """Waits until all dispatchers hold a lease in one view.

    Returns the seconds since the fleet's start, or None if they exceed the limit.
    """
    while time.monotonic() - fleet.started_at < limit_s:
        time.sleep(POLL_S)
        statuses = fleet.status()
        if in_one_view(statuses):
            return time.monotonic() - fleet.started_at
    return None


def measure_fleet(mix: plan.FleetMix, directory: Path, limit_s: float, span_s: float) -> Measured:
    """Starts a fleet, waits until it agrees on a view, and measures it at rest for `span_s` seconds."""
    with ScaleFleet(FleetPlan(mix), directory) as fleet:
        formed = wait_for_one_view(fleet, limit_s)
        time.sleep(SETTLE_S)
        before, machine, samples = fleet.status(), machine_ticks(), fleet.samples()
        began = time.monotonic()
        time.sleep(span_s)
        later, last_machine = fleet.samples(), machine_ticks()
        seconds = time.monotonic() - began
        after = fleet.status()
        costs = {key: cost_between(samples[key], later[key]) for key in samples}
        return _summarize(
            fleet, formed, costs, before, after, seconds, idle_share(machine, last_machine)
        )


def _summarize(
    fleet: ScaleFleet,
    formed: float | None,
    costs: Mapping[str, ProcessCost],
    before: Mapping[str, Status],
    after: Mapping[str, Status],
    seconds: float,
    idle: float,
) -> Measured:
    names = [dispatcher.name for dispatcher in fleet.real]
    wires = {name: wire_between(before[name], after[name], seconds) for name in after}
    off = costs["off"]
    hollow = [wire.out for name, wire in wires.items() if name not in names]

    def mean(values: list[float]) -> float:
        return sum(values) / len(values) if values else 0.0

    def total(key: str) -> int:
        return sum(status["members"][key] for status in after.values())

    return Measured(
        dispatchers=len(after),
        real=len(names),
        formed_s=formed,
        leases=count_leases(after),
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
        held_back=total("members_held_back"),
        flooded=total("members_flooded"),
        idle=idle,
        starved=idle < MIN_IDLE_SHARE,
        by_kind={
            kind: [
                round(mean([wires[n].by_kind.get(kind, [0.0, 0.0])[i] for n in names]), 2)
                for i in (0, 1)
            ]
            for kind in sorted({kind for name in names for kind in wires[name].by_kind})
        },
    )


def measure_voters(dispatchers: int, directory: Path, span_s: float) -> dict[str, Any]:
    """Measures the lease messages that voters and other members of a hollow fleet send at rest."""
    voters = 3
    mix = plan.FleetMix(0, dispatchers)
    with ScaleFleet(
        FleetPlan(mix, control=(*CONTROL_PLANE, "ownership"), voters=voters), directory
    ) as fleet:
        wait_for_one_view(fleet, 30.0)
        time.sleep(SETTLE_S)
        before, began = fleet.status(), time.monotonic()
        time.sleep(span_s)
        after, seconds = fleet.status(), time.monotonic() - began
    wires = {name: wire_between(before[name], after[name], seconds) for name in after}
    lease_traffic = {
        name: wire.by_kind.get("ownership", [0.0, 0.0]) for name, wire in wires.items()
    }
    names = sorted(lease_traffic)
    return {
        "dispatchers": dispatchers,
        "voter_bytes_per_s": round(max(lease_traffic[name][1] for name in names[:voters]), 1),
        "voter_datagrams_per_s": round(max(lease_traffic[name][0] for name in names[:voters]), 2),
        "other_bytes_per_s": round(
            sum(lease_traffic[name][1] for name in names[voters:]) / max(1, len(names) - voters), 1
        ),
    }
