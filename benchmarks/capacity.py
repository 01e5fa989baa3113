"""Measures the control plane's cost by fleet size, and how fast a fleet started at once agrees on a view.

    python benchmarks/capacity.py [--quick] [--json FILE] [--only PART ...]

Parts: `fleet` (6 to 200 dispatchers, at most 12 of them real and the others hollow; --quick: up to 24),
`real` (24 and 60 real dispatchers; --quick: 24), `module` (the policy module: time per request, state per
worker and per tenant), `lists` (full endpoint lists), `voters` (the lease voters), `virtual` (failures and
restarts of 200 dispatchers in virtual time, `yewrill/lab/scale/events.py`). All traffic stays on the machine.
Fleets that ran while the machine had too little idle time are marked as starved and left out of the fits.

The last line of standard output is one JSON object. --json merges it into a file, and updates the tables of
docs/CAPACITY.md if the file then has all parts. Units: seconds, bytes sent including IP and UDP headers, MB,
fractions of a core.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import here  # noqa: F401

from yewrill.lab.scale import page, plan
from yewrill.lab.scale.fit import MIN_SIZES, fit_line
from yewrill.lab.scale.measure import Measured, measure_fleet

MAX_REAL = 12
FORM_LIMIT_S = {6: 20.0, 12: 20.0, 24: 32.0, 60: 40.0, 120: 45.0, 200: 60.0}
MEASURE_S, QUICK_MEASURE_S = 12.0, 6.0
FITTED_FIELDS = ("core", "wire_out", "proportional_mb", "datagrams_out", "wakeups")


def measure_and_print(mix: plan.FleetMix, quick: bool) -> Measured:
    """Starts a fleet, waits until it agrees on a view, measures it at rest and prints the result."""
    seconds = QUICK_MEASURE_S if quick else MEASURE_S
    with tempfile.TemporaryDirectory() as directory:
        found = measure_fleet(
            mix, Path(directory) / "fleet", FORM_LIMIT_S[mix.dispatchers], seconds
        )
    formed = "not formed" if found.formed_s is None else f"formed in {found.formed_s:.1f} s"
    starved = " STARVED: not in the fits" if found.starved else ""
    print(
        f"{mix.real:>4} real {mix.hollow:>4} hollow: {formed}, {found.leases} with a lease;"
        f" control {100 * found.core:.2f}% of a core (worst {100 * found.core_worst:.2f}%),"
        f" {found.wire_out:.0f} B/s (worst {found.wire_worst:.0f}, hollow {found.wire_hollow:.0f}),"
        f" {found.proportional_mb:.1f} MB; held back {found.held_back}, flooded {found.flooded}{starved}",
        file=sys.stderr,
    )
    return found


def fleet(quick: bool) -> dict[str, Any]:
    """Measures fleets of several sizes, at most MAX_REAL of them real, and fits lines through the results."""
    sizes = [size for size in plan.SIZES if not quick or size <= 24]
    rows = [
        measure_and_print(plan.FleetMix(min(size, MAX_REAL), max(0, size - MAX_REAL)), quick)
        for size in sizes
    ]
    valid = [row for row in rows if not row.starved]
    fits = {}
    if len(valid) >= MIN_SIZES:
        sizes_run = [float(row.dispatchers) for row in valid]
        fits = {
            key: slot_values(fit_line(sizes_run, [getattr(row, key) for row in valid]))
            for key in FITTED_FIELDS
        }
    return {"rows": [slot_values(row) for row in rows], "fits": fits}


def real(quick: bool) -> list[dict[str, Any]]:
    """Measures fleets of real dispatchers only."""
    return [
        slot_values(measure_and_print(plan.FleetMix(size, 0), quick))
        for size in ((24,) if quick else (24, 60))
    ]


def module(quick: bool) -> dict[str, Any]:
    """Measures the policy module's time and state."""
    from yewrill.lab.scale.module import measure_module

    return measure_module(quick)


def lists(quick: bool) -> dict[str, Any]:
    """Measures full endpoint lists."""
    from yewrill.lab.scale.module import measure_lists

    return measure_lists(quick)


def voters(quick: bool) -> list[dict[str, Any]]:
    """Measures the traffic of the lease voters, by the size of the fleet."""
    from yewrill.lab.scale.measure import measure_voters

    sizes = (6, 12) if quick else (6, 12, 24, 48, 96)
    with tempfile.TemporaryDirectory() as directory:
        return [
            measure_voters(size, Path(directory) / "fleet", 5.0 if quick else 10.0)
            for size in sizes
        ]


def virtual(quick: bool) -> dict[str, Any]:
    """Measures starts, fleets at rest and failures in virtual time."""
    from yewrill.lab.scale.events import play_all

    return play_all(quick)


def slot_values(value: Any) -> dict[str, Any]:
    """Returns the fields of a dataclass with slots as a dict, its floats rounded."""
    found = {key: getattr(value, key) for key in value.__slots__}
    return {key: round(v, 5) if isinstance(v, float) else v for key, v in found.items()}


PARTS: dict[str, Callable[[bool], Any]] = {
    "fleet": fleet,
    "real": real,
    "module": module,
    "lists": lists,
    "voters": voters,
    "virtual": virtual,
}


def main() -> None:
    """Runs the parts named by --only and prints the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--only", nargs="+", choices=sorted(PARTS), default=list(PARTS))
    arguments = parser.parse_args()
    result: dict[str, Any] = {"quick": arguments.quick}
    for name in arguments.only:
        began = time.monotonic()
        result[name] = PARTS[name](arguments.quick)
        print(f"{name}: {time.monotonic() - began:.0f} s", file=sys.stderr)
    if arguments.json is not None:
        found = json.loads(arguments.json.read_text()) if arguments.json.exists() else {}
        arguments.json.write_text(json.dumps(found | result, indent=1, sort_keys=True) + "\n")
        page.update(page.PAGE, found | result)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
