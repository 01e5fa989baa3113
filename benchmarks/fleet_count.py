"""Counts across a fleet, second by second, from its dispatchers' own logs at DEBUG.

    python benchmarks/fleet_count.py LOGS/n*.log [--workers]

Each line of these logs begins with the seconds since the day's start, as the bench keeps them. Reads the
lines `attempt_ended`, `request_not_served` and `endpoints_updated` of `yewrill.dispatch.engine`
(docs/on-call.md) and prints, for each second of
the day: attempts, how each ended, how many waited at their worker and for how long, the spread of
attempts over workers, jobs refused by the module's ground, how many lists were told. With
--workers: each worker's steps, endings and waits over the day, worst first. The last line is one JSON object.
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter, defaultdict
from pathlib import Path

STEP = re.compile(
    r" attempt_ended worker=(\S+) outcome=(\w+) class=(\d+) attempt=(\d+) width=(\S+) sent=(\d+) "
    r"waited=(-?\d+) ran=(-?\d+)"
)
NO = re.compile(r"^(\S+) .* request_not_served class=(\d+) attempts=(\d+) reason=(.*)")
LIST = re.compile(r"^(\S+) .* endpoints_updated form=(\w+)(.*)")
WAITED = (
    25  # ms between an attempt's send and its start notice from which it counts as having waited
)
COLD = 10_000  # ms after its start for which a worker counts as cold


def main(paths: list[str]) -> None:
    steps, refusals, lists = [], Counter(), Counter()
    launched: dict[str, int] = {}
    told: dict[str, float] = {}  # when one was told that it drains or is gone
    for path in paths:
        for line in Path(path).read_text(errors="replace").splitlines():
            if m := STEP.search(line):
                steps.append(
                    (int(m[6]), m[1], m[2], int(m[3]), int(m[4]), float(m[5]), int(m[7]), int(m[8]))
                )
            elif m := NO.match(line):
                refusals[int(float(m[1])), m[4]] += 1
            elif m := LIST.match(line):
                lists[int(float(m[1]))] += 1
                for name, state, at in (entry.split(":") for entry in m[3].split()):
                    launched[name] = int(at)
                    if state != "running":
                        told.setdefault(name, float(m[1]))
    if not steps:
        sys.exit("no steps in these logs: were they written at DEBUG?")
    origin = min(s[0] for s in steps)
    seconds = defaultdict(list)
    for step in steps:
        seconds[(step[0] - origin) // 1000].append(step)
    for second, rows in sorted(seconds.items()):
        ends = Counter(r[2] for r in rows)
        waits = [r[6] for r in rows if r[6] >= WAITED]
        by_worker = Counter(r[1] for r in rows)
        spread = max(by_worker.values()) * len(by_worker) / len(rows)
        cold = sum(launched.get(r[1], 0) > 0 and r[0] - launched[r[1]] < COLD for r in rows)
        never = sum(r[6] < 0 and r[2] != "SERVED" for r in rows)
        grounds = {why: n for (at, why), n in sorted(refusals.items()) if at == second}
        print(
            f"{second:3d} steps {len(rows):4d} workers {len(by_worker):2d} spread {spread:.2f} "
            f"waited {len(waits):3d} mean {sum(waits) / max(1, len(waits)):5.0f} "
            f"never-started {never:3d} cold {cold:3d} "
            f"lists {lists[second]:3d} ends {dict(ends)} refused {grounds}"
        )
    if "--workers" in sys.argv:
        rows = defaultdict(list)
        for step in steps:
            rows[step[1]].append(step)
        for name, of in sorted(rows.items(), key=lambda i: -sum(max(0, r[6]) for r in i[1])):
            since = f"{(launched[name] - origin) / 1000:.1f}" if launched.get(name) else "before"
            print(
                name,
                "launched",
                since,
                "steps",
                len(of),
                "waited",
                sum(r[6] >= WAITED for r in of),
                "for",
                sum(max(0, r[6]) for r in of) // 1000,
                "s, from",
                (of[0][0] - origin) // 1000,
                dict(Counter(r[2] for r in of)),
                "told gone",
                f"{told[name]:.1f}" if name in told else "never",
            )
    print(
        json.dumps(
            {
                "steps": len(steps),
                "ends": Counter(s[2] for s in steps),
                "waited": sum(s[6] >= WAITED for s in steps),
                "refused": sum(refusals.values()),
            }
        )
    )


if __name__ == "__main__":
    main([a for a in sys.argv[1:] if not a.startswith("--")])
