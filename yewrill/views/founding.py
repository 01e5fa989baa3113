"""The first view, or the first after all have ended: all founders together, and none else. Pure.

Each that is in no view tells the founders so, and which view it kept last. Once every founder is there, and
where views were kept a majority of the highest one's names too, each founder agrees to one number and list
(and keeps it before it says so). Whoever hears that all founders agree to the same has the view. A founder
may agree to another list later, as long as it has seen no view: the former then can't come about any more,
except with one who saw it complete, and that one is in a view and agrees to nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from yewrill.views.format import Call
from yewrill.views.view import MOST_ENTRIES, Entry, Kept, View

MOST_FOUNDERS = 64


@dataclass(slots=True)
class _Said:
    call: Call
    at: float


def _digest(entries: tuple[Entry, ...]) -> bytes:
    return hashlib.blake2b(
        msgspec.msgpack.encode(entries), digest_size=8, person=b"view-found"
    ).digest()


class Founding:
    """One process's part, while it is in no view. `fresh`: seconds for which a call counts; `wait(size)`:
    seconds that all must be there, where views were kept: leases of then have run out."""

    def __init__(
        self,
        me: Entry,
        founders: tuple[str, ...],
        kept: Kept | None,
        fresh: float,
        wait: Callable[[int], float],
    ):
        self.me, self.founders, self.kept = me, tuple(sorted(set(founders)))[:MOST_FOUNDERS], kept
        self._fresh, self._wait = fresh, wait
        self._said: dict[str, _Said] = {}
        self._lists: dict[int, Kept] = {} if kept is None else {kept.number: kept}
        self._complete = -1.0  # since when all are there
        self.accept: tuple[int, bytes] = (0, b"")
        self.missing: tuple[str, ...] = self.founders
        self.wants = 0  # the number of a kept view of which the names are to be told

    @property
    def founder(self) -> bool:
        return self.me.name in self.founders

    def hear(self, call: Call, now: float) -> None:
        name = call.entry.name
        if name in self._said or len(self._said) < MOST_ENTRIES:
            self._said[name] = _Said(call, now)
        if call.names is not None and call.names.number == self.wants:
            self._lists = {call.names.number: call.names}

    def tick(self, now: float) -> tuple[Kept | None, View | None]:
        """What is to be kept before we say more, and the view once all agree."""
        if not self.founder:
            return None, None
        self._said = {name: s for name, s in self._said.items() if now - s.at < self._fresh}
        calls = {name: s.call for name, s in self._said.items() if name != self.me.name}
        there = {*calls, self.me.name}
        self.missing = tuple(name for name in self.founders if name not in there)
        highest = max((call.kept for call in calls.values()), default=0)
        highest = max(highest, self.kept.number if self.kept else 0)
        self.wants = 0
        if highest:
            known = self._lists.get(highest)
            if known is None:
                self.wants = highest
                self._complete = -1.0
                return None, None
            lost = [name for name in known.names if name not in there]
            if 2 * (len(known.names) - len(lost)) <= len(known.names):
                self.missing = (*self.missing, *(name for name in lost if name not in self.missing))
        if self.missing:
            self._complete = -1.0
            return None, None
        if self._complete < 0.0:
            self._complete = now
        if highest and now - self._complete < self._wait(len(self._lists[highest].names)):
            return None, None
        entries = tuple(
            self.me if name == self.me.name else calls[name].entry for name in self.founders
        )
        digest = _digest(entries)
        accepts = [
            self.accept,
            *(calls[name].accept for name in self.founders if name != self.me.name),
        ]
        number = max(highest + 1, *(n if d == digest else n + 1 for n, d in accepts))
        keep = None
        if self.accept != (number, digest):
            self.accept = (number, digest)
            keep = Kept(number, tuple(entry.name for entry in entries))
        agreed = all(call == self.accept for call in accepts[1:])
        return keep, View(number, entries) if agreed else None
