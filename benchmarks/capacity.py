"""What control costs by the size of the fleet, and how fast a fleet started at once agrees on a view.

    python benchmarks/capacity.py [--quick] [--json FILE] [--only PART ...]

Parts: `fleet` (real dispatchers as they ship beside hollow ones, 6 to 200; --quick: to 24), `real` (24 and
60 real ones started at once; --quick: 24), `module` (the decision module: time a job, state a worker and
team), `lists` (whole lists of workers), `voters` (the log's voters), `virtual` (events at 200 in virtual
time, `yewrill/lab/scale/events.py`). Only addresses of this machine are used. A run in which the machine was
starved is told as not played. The last line of standard output is one JSON object; --json keeps it, and puts
its tables into docs/CAPACITY.md. Seconds, bytes on the wire with headers of IP and UDP, MB, shares of a core.
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
from yewrill.lab.scale.fit import LEAST_POINTS, line
from yewrill.lab.scale.measure import Measured, measure_fleet

MOST_REAL = 12
FORM_LIMIT_S = {6: 20.0, 12: 20.0, 24: 32.0, 60: 40.0, 120: 45.0, 200: 60.0}
SPAN_S, QUICK_SPAN_S = 12.0, 6.0
FITTED = ("core", "wire_out", "proportional_mb", "datagrams_out", "wakeups")


def play(mix: plan.Mix, quick: bool) -> Measured:
    """Start a fleet, wait until it agrees, and measure it at rest."""
    span = QUICK_SPAN_S if quick else SPAN_S
    with tempfile.TemporaryDirectory() as directory:
        found = measure_fleet(mix, Path(directory) / "fleet", FORM_LIMIT_S[mix.dispatchers], span)
    formed = "not formed" if found.formed_s is None else f"formed in {found.formed_s:.1f} s"
    starved = " STARVED: not played" if found.starved else ""
    print(
        f"{mix.real:>4} real {mix.hollow:>4} hollow: {formed}, {found.leases} with a lease;"
        f" control {100 * found.core:.2f}% of a core (worst {100 * found.core_worst:.2f}%),"
        f" {found.wire_out:.0f} B/s (worst {found.wire_worst:.0f}, hollow {found.wire_hollow:.0f}),"
        f" {found.proportional_mb:.1f} MB; held back {found.held_back}, flooded {found.flooded}{starved}",
        file=sys.stderr,
    )
    return found


def fleet(quick: bool) -> dict[str, Any]:
    """Sizes with at most `MOST_REAL` real ones, and the lines through them."""
    sizes = [size for size in plan.SIZES if not quick or size <= 24]
    rows = [play(plan.Mix(min(size, MOST_REAL), max(0, size - MOST_REAL)), quick) for size in sizes]
    played = [row for row in rows if not row.starved]
    fits = {}
    if len(played) >= LEAST_POINTS:
        at = [float(row.dispatchers) for row in played]
        fits = {key: vars_of(line(at, [getattr(row, key) for row in played])) for key in FITTED}
    return {"rows": [vars_of(row) for row in rows], "fits": fits}


def real(quick: bool) -> list[dict[str, Any]]:
    """Only real ones, started at once."""
    return [vars_of(play(plan.Mix(size, 0), quick)) for size in ((24,) if quick else (24, 60))]


def module(quick: bool) -> dict[str, Any]:
    """The decision module's time and state."""
    from yewrill.lab.scale.module import measure_module

    return measure_module(quick)


def lists(quick: bool) -> dict[str, Any]:
    """Whole lists of workers."""
    from yewrill.lab.scale.module import measure_lists

    return measure_lists(quick)


def voters(quick: bool) -> list[dict[str, Any]]:
    """The log's voters, by the size of the fleet."""
    from yewrill.lab.scale.measure import measure_voters

    sizes = (6, 12) if quick else (6, 12, 24, 48, 96)
    with tempfile.TemporaryDirectory() as directory:
        return [
            measure_voters(size, Path(directory) / "fleet", 5.0 if quick else 10.0)
            for size in sizes
        ]


def virtual(quick: bool) -> dict[str, Any]:
    """Starts, rest and events in virtual time."""
    from yewrill.lab.scale.events import play_all

    return play_all(quick)


def vars_of(value: Any) -> dict[str, Any]:
    """A dataclass as a plain object, its numbers rounded."""
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
    """Run the parts and print what they found."""
    options = argparse.ArgumentParser()
    options.add_argument("--quick", action="store_true")
    options.add_argument("--json", type=Path)
    options.add_argument("--only", nargs="+", choices=sorted(PARTS), default=list(PARTS))
    given = options.parse_args()
    result: dict[str, Any] = {"quick": given.quick}
    for name in given.only:
        began = time.monotonic()
        result[name] = PARTS[name](given.quick)
        print(f"{name}: {time.monotonic() - began:.0f} s", file=sys.stderr)
    if given.json is not None:
        found = json.loads(given.json.read_text()) if given.json.exists() else {}
        given.json.write_text(json.dumps(found | result, indent=1, sort_keys=True) + "\n")
        page.update(page.PAGE, found | result)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
