"""Cut detection (Suresh and others, Rapid, 2018): from the registers of the observers to who is out. Pure.

Each observer's *register* says which of its edges are not well. Of a subject's edges, HIGH bad ones make it
out, LOW make it unstable. An observer that is itself at least unstable counts as bad for a subject that has
LOW others: it can't be heard for it. One whose every edge is bad or leads to one that is out is out too. In
which order the registers came does not matter.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable


def watermarks(degree: int) -> tuple[int, int]:
    """The low and the high mark for so many edges."""
    high = max(math.ceil(0.75 * degree), degree // 2 + 1)
    return min(high, max(2, math.ceil(0.25 * degree))), high


def detect_cut(
    edges: Callable[[int], tuple[int, ...]], alerts: Iterable[tuple[int, int]]
) -> tuple[frozenset[int], frozenset[int]]:
    """Who is out and who is unstable. `alerts`: pairs of observer, and rank of whom it finds not well."""
    voices: dict[int, set[int]] = {}
    for observer, subject in alerts:
        voices.setdefault(subject, set()).add(observer)
    doubted = {
        subject for subject, of in voices.items() if len(of) >= watermarks(len(edges(subject)))[0]
    }
    out = {
        subject
        for subject in doubted
        if sum(o in voices[subject] or o in doubted for o in edges(subject))
        >= watermarks(len(edges(subject)))[1]
    }
    more = True
    while more:  # one that nobody vouches for but who is out himself
        more = {
            subject
            for subject, of in voices.items()
            if subject not in out and all(o in of or o in out for o in edges(subject))
        }
        out |= more
    return frozenset(out), frozenset(doubted - out)
