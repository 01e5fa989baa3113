"""Cut detection: derives the faulty members from the observers' alerts (Suresh et al., Rapid, 2018).

Each observer reports in its register which of its edges are faulty. A subject with alerts on at least the
high watermark of its edges is faulty; one that only reaches the low watermark is unstable. An observer that
is itself unstable or faulty counts as an alert about a subject that reaches the low watermark by others,
because its own reports may not arrive. A subject is also faulty if each of its observers either reports it or
is faulty. The result does not depend on the order of the alerts.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable


def watermarks(degree: int) -> tuple[int, int]:
    """Returns the low and the high watermark for a subject (a monitored member) by its number of edges."""
    high = max(math.ceil(0.75 * degree), degree // 2 + 1)
    return min(high, max(2, math.ceil(0.25 * degree))), high


def detect_cut(
    edges: Callable[[int], tuple[int, ...]], alerts: Iterable[tuple[int, int]]
) -> tuple[frozenset[int], frozenset[int]]:
    """Returns the ranks of the faulty and of the unstable members. `alerts`: pairs (observer, subject)."""
    accusers: dict[int, set[int]] = {}
    for observer, subject in alerts:
        accusers.setdefault(subject, set()).add(observer)
    suspected = {
        subject
        for subject, observers in accusers.items()
        if len(observers) >= watermarks(len(edges(subject)))[0]
    }
    out = {
        subject
        for subject in suspected
        if sum(o in accusers[subject] or o in suspected for o in edges(subject))
        >= watermarks(len(edges(subject)))[1]
    }
    more = True
    # Adds the subjects whose observers all report them or are faulty, until there are no more.
    while more:
        more = {
            subject
            for subject, observers in accusers.items()
            if subject not in out and all(o in observers or o in out for o in edges(subject))
        }
        out |= more
    return frozenset(out), frozenset(suspected - out)
