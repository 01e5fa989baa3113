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

from yewrill.views.format import JoinRequest
from yewrill.views.view import MAX_ENTRIES, Entry, PersistedView, View

MAX_FOUNDERS = 64


@dataclass(slots=True)
class _ReceivedCall:
    call: JoinRequest
    at: float


def _digest(entries: tuple[Entry, ...]) -> bytes:
    return hashlib.blake2b(
        msgspec.msgpack.encode(entries), digest_size=8, person=b"view-found"
    ).digest()


class Bootstrap:
    """One founder's part, while it is in no view.

    `fresh`: seconds for which a join request counts. `wait(size)`: seconds for which all must be present if
    views were persisted, so that leases in them have expired.
    """

    def __init__(
        self,
        me: Entry,
        founders: tuple[str, ...],
        persisted: PersistedView | None,
        fresh: float,
        wait: Callable[[int], float],
    ):
        self.me, self.founders, self.persisted = (
            me,
            tuple(sorted(set(founders)))[:MAX_FOUNDERS],
            persisted,
        )
        self._fresh_seconds, self._wait_seconds = fresh, wait
        self._calls: dict[str, _ReceivedCall] = {}
        self._known_views: dict[int, PersistedView] = (
            {} if persisted is None else {persisted.number: persisted}
        )
        self._complete_since = -1.0  # since when all are there
        self.accept: tuple[int, bytes] = (0, b"")
        self.missing: tuple[str, ...] = self.founders
        self.wants = 0  # the number of a persisted view whose names we need

    @property
    def founder(self) -> bool:
        """Whether this process is one of the founders."""
        return self.me.name in self.founders

    def record(self, call: JoinRequest, now: float) -> None:
        """Record a join request of another process."""
        name = call.entry.name
        if name in self._calls or len(self._calls) < MAX_ENTRIES:
            self._calls[name] = _ReceivedCall(call, now)
        if call.names is not None and call.names.number == self.wants:
            self._known_views = {call.names.number: call.names}

    def tick(self, now: float) -> tuple[PersistedView | None, View | None]:
        """What must be persisted before we send more, and the view once all founders agree."""
        if not self.founder:
            return None, None
        self._calls = {
            name: s for name, s in self._calls.items() if now - s.at < self._fresh_seconds
        }
        calls = {name: s.call for name, s in self._calls.items() if name != self.me.name}
        there = {*calls, self.me.name}
        self.missing = tuple(name for name in self.founders if name not in there)
        highest = max((call.persisted for call in calls.values()), default=0)
        highest = max(highest, self.persisted.number if self.persisted else 0)
        self.wants = 0
        if highest:
            known = self._known_views.get(highest)
            if known is None:
                self.wants = highest
                self._complete_since = -1.0
                return None, None
            lost = [name for name in known.names if name not in there]
            if 2 * (len(known.names) - len(lost)) <= len(known.names):
                self.missing = (*self.missing, *(name for name in lost if name not in self.missing))
        if self.missing:
            self._complete_since = -1.0
            return None, None
        if self._complete_since < 0.0:
            self._complete_since = now
        if highest and now - self._complete_since < self._wait_seconds(
            len(self._known_views[highest].names)
        ):
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
        persist = None
        if self.accept != (number, digest):
            self.accept = (number, digest)
            persist = PersistedView(number, tuple(entry.name for entry in entries))
        agreed = all(call == self.accept for call in accepts[1:])
        return persist, View(number, entries) if agreed else None
