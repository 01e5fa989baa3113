"""Summarizes the attempts of a whole fleet, second by second, from its dispatchers' logs at DEBUG.

    python benchmarks/fleet_count.py LOGS/n*.log [--workers]

Each line of the logs must begin with the seconds since the start of the recorded run. Reads the lines
`attempt_ended`, `request_not_served` and `endpoints_updated` of `yewrill.dispatch.engine` (docs/on-call.md)
and prints, for each second: the attempts by outcome, those that waited at their worker and how long, the
spread of the attempts over the workers (attempts at the busiest worker over the mean), rejected requests by
reason, and endpoint list updates. With --workers also the attempts, outcomes and waits of each worker, those
with the longest waits first. The last line is one JSON object.
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter, defaultdict
from pathlib import Path

ATTEMPT_LINE = re.compile(
    r" attempt_ended worker=(\S+) outcome=(\w+) class=(\d+) attempt=(\d+) width=(\S+) sent=(\d+) "
    r"waited=(-?\d+) ran=(-?\d+)"
)
REJECTION_LINE = re.compile(r"^(\S+) .* request_not_served class=(\d+) attempts=(\d+) reason=(.*)")
LIST_LINE = re.compile(r"^(\S+) .* endpoints_updated form=(\w+)(.*)")
# An attempt counts as waiting if its worker reported its start at least this long after it was sent.
WAITED_MS = 25
# Time since its start in which a worker counts as cold.
COLD_MS = 10_000


def main(paths: list[str]) -> None:
    """Reads the logs and prints the counts."""
    attempts, rejections, lists = [], Counter(), Counter()
    started_at: dict[str, int] = {}
    # Second at which an endpoint list first showed a worker as draining or removed.
    unavailable_at: dict[str, float] = {}
    for path in paths:
        for line in Path(path).read_text(errors="replace").splitlines():
            if m := ATTEMPT_LINE.search(line):
                attempts.append(
                    (int(m[6]), m[1], m[2], int(m[3]), int(m[4]), float(m[5]), int(m[7]), int(m[8]))
                )
            elif m := REJECTION_LINE.match(line):
                rejections[int(float(m[1])), m[4]] += 1
            elif m := LIST_LINE.match(line):
                lists[int(float(m[1]))] += 1
                for name, state, at in (entry.split(":") for entry in m[3].split()):
                    started_at[name] = int(at)
                    if state != "running":
                        unavailable_at.setdefault(name, float(m[1]))
    if not attempts:
        sys.exit("no attempt_ended lines in these logs: were they written at DEBUG?")
    origin = min(s[0] for s in attempts)
    seconds = defaultdict(list)
    for attempt in attempts:
        seconds[(attempt[0] - origin) // 1000].append(attempt)
    for second, rows in sorted(seconds.items()):
        ends = Counter(r[2] for r in rows)
        waits = [r[6] for r in rows if r[6] >= WAITED_MS]
        by_worker = Counter(r[1] for r in rows)
        spread = max(by_worker.values()) * len(by_worker) / len(rows)
        cold = sum(started_at.get(r[1], 0) > 0 and r[0] - started_at[r[1]] < COLD_MS for r in rows)
        never = sum(r[6] < 0 and r[2] != "SERVED" for r in rows)
        rejected = {reason: n for (at, reason), n in sorted(rejections.items()) if at == second}
        print(
            f"{second:3d} steps {len(rows):4d} workers {len(by_worker):2d} spread {spread:.2f} "
            f"waited {len(waits):3d} mean {sum(waits) / max(1, len(waits)):5.0f} "
            f"never-started {never:3d} cold {cold:3d} "
            f"lists {lists[second]:3d} ends {dict(ends)} refused {rejected}"
        )
    if "--workers" in sys.argv:
        rows = defaultdict(list)
        for attempt in attempts:
            rows[attempt[1]].append(attempt)
        for name, of in sorted(rows.items(), key=lambda i: -sum(max(0, r[6]) for r in i[1])):
            since = (
                f"{(started_at[name] - origin) / 1000:.1f}" if started_at.get(name) else "before"
            )
            print(
                name,
                "launched",
                since,
                "steps",
                len(of),
                "waited",
                sum(r[6] >= WAITED_MS for r in of),
                "for",
                sum(max(0, r[6]) for r in of) // 1000,
                "s, from",
                (of[0][0] - origin) // 1000,
                dict(Counter(r[2] for r in of)),
                "told gone",
                f"{unavailable_at[name]:.1f}" if name in unavailable_at else "never",
            )
    print(
        json.dumps(
            {
                "steps": len(attempts),
                "ends": Counter(s[2] for s in attempts),
                "waited": sum(s[6] >= WAITED_MS for s in attempts),
                "refused": sum(rejections.values()),
            }
        )
    )


if __name__ == "__main__":
    main([a for a in sys.argv[1:] if not a.startswith("--")])
