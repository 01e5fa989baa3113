"""Bootstraps the first view, or the first one after all members have stopped. It does no I/O.

Only the founders form such a view, and all of them have to take part. A process in no view sends the
founders join requests, with the number of the view that it persisted last. Once every founder is present, and
a majority of the members of the highest persisted view if there is one, each founder agrees to a view (its
number and its list of founders), and persists that view before it tells the others. A founder that hears that
all founders agree to the same view enters it.

A founder that is in no view and knows of none may agree to another list later, for example after another
founder has restarted. The view agreed to earlier can then no longer be formed, except by a founder that has
already seen all founders agree to it. Such a founder is in that view and agrees to no other.
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
class _ReceivedRequest:
    """The last join request of a process, and when it arrived."""

    request: JoinRequest
    received_at: float


def _digest(entries: tuple[Entry, ...]) -> bytes:
    return hashlib.blake2b(
        msgspec.msgpack.encode(entries), digest_size=8, person=b"view-found"
    ).digest()


class Bootstrap:
    """One founder's part in the bootstrap, while it is in no view.

    `request_lifetime`: seconds for which a join request counts. `min_presence(size)`: seconds for which all
    needed processes must be present before a view follows a persisted one of this size, so that leases in the
    persisted view have expired.
    """

    def __init__(
        self,
        me: Entry,
        founders: tuple[str, ...],
        persisted: PersistedView | None,
        request_lifetime: float,
        min_presence: Callable[[int], float],
    ):
        self.me, self.founders, self.persisted = (
            me,
            tuple(sorted(set(founders)))[:MAX_FOUNDERS],
            persisted,
        )
        self._request_lifetime_seconds, self._min_presence_seconds = request_lifetime, min_presence
        self._requests: dict[str, _ReceivedRequest] = {}
        self._known_views: dict[int, PersistedView] = (
            {} if persisted is None else {persisted.number: persisted}
        )
        # Time since when all needed processes have been present; negative while some are missing.
        self._all_present_since = -1.0
        self.accepted_view: tuple[int, bytes] = (0, b"")
        self.missing: tuple[str, ...] = self.founders
        self.wanted_number = 0  # number of a persisted view whose names are needed; 0 if none is

    @property
    def is_founder(self) -> bool:
        """Whether this process is one of the founders."""
        return self.me.name in self.founders

    def record(self, request: JoinRequest, now: float) -> None:
        """Records a join request of another process."""
        name = request.entry.name
        if name in self._requests or len(self._requests) < MAX_ENTRIES:
            self._requests[name] = _ReceivedRequest(request, now)
        if request.names is not None and request.names.number == self.wanted_number:
            self._known_views = {request.names.number: request.names}

    def tick(self, now: float) -> tuple[PersistedView | None, View | None]:
        """Returns a view that must be persisted before anything is sent, and the view once all agree."""
        if not self.is_founder:
            return None, None
        self._requests = {
            name: r
            for name, r in self._requests.items()
            if now - r.received_at < self._request_lifetime_seconds
        }
        requests = {name: r.request for name, r in self._requests.items() if name != self.me.name}
        present = {*requests, self.me.name}
        self.missing = tuple(name for name in self.founders if name not in present)
        highest = max((request.persisted for request in requests.values()), default=0)
        highest = max(highest, self.persisted.number if self.persisted else 0)
        self.wanted_number = 0
        if highest:
            known = self._known_views.get(highest)
            if known is None:
                self.wanted_number = highest
                self._all_present_since = -1.0
                return None, None
            absent = [name for name in known.names if name not in present]
            if 2 * (len(known.names) - len(absent)) <= len(known.names):
                self.missing = (
                    *self.missing,
                    *(name for name in absent if name not in self.missing),
                )
        if self.missing:
            self._all_present_since = -1.0
            return None, None
        if self._all_present_since < 0.0:
            self._all_present_since = now
        if highest and now - self._all_present_since < self._min_presence_seconds(
            len(self._known_views[highest].names)
        ):
            return None, None
        entries = tuple(
            self.me if name == self.me.name else requests[name].entry for name in self.founders
        )
        digest = _digest(entries)
        accepted_views = [
            self.accepted_view,
            *(requests[name].accepted_view for name in self.founders if name != self.me.name),
        ]
        number = max(highest + 1, *(n if d == digest else n + 1 for n, d in accepted_views))
        persist = None
        if self.accepted_view != (number, digest):
            self.accepted_view = (number, digest)
            persist = PersistedView(number, tuple(entry.name for entry in entries))
        agreed = all(view == self.accepted_view for view in accepted_views[1:])
        return persist, View(number, entries) if agreed else None
