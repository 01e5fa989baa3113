"""The book of what is promised: a state machine of the replicated log (ownership/states.py). Pure."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct
from sortedcontainers import SortedDict, SortedSet

from yewrill.reservations import asking
from yewrill.reservations.asking import (
    Ask,
    Booked,
    Cancel,
    Done,
    Offer,
    Placed,
    Refused,
    Release,
    Spread,
    TakeOffer,
)
from yewrill.reservations.timeline import Timeline
from yewrill.reservations.windows import MINUTE, Window

HOUR = 3_600_000
MOST_OPEN = 50_000  # occurrences, of bookings and held offers
MOST_HELD = 9  # offers a tenant
MOST_IDS = 1024  # remembered a tenant, of what is not open
MOST_TRIED = 16  # windows that are looked at for one start


class Booking(Struct, array_like=True):
    """Its windows that have not ended. `until`: an offer that is held, until then; 0: booked."""

    number: int
    tenant: str
    id: str
    kind: str
    slots: int
    windows: tuple[Window, ...]
    placed: tuple[Placed, ...]
    until: int = 0


class State(Struct, array_like=True):
    at: int
    next: int
    open: list[Booking]
    answers: list[
        tuple[str, list[tuple[str, bytes]]]
    ]  # of each tenant by id, in order of their coming
    closed: list[tuple[str, list[str]]]  # ids that may be forgotten, oldest first


_read_state = msgspec.msgpack.Decoder(State).decode


def up(at: int) -> int:
    return -(-at // MINUTE) * MINUTE


class Book:
    def __init__(self, config: asking.Config):
        self.config = config
        self.restore(b"")

    def restore(self, data: bytes) -> None:
        state = _read_state(data) if data else State(0, 1, [], [], [])
        self.at, self.next = state.at, state.next
        self.lines = {
            (one.zone, one.kind): Timeline(max(0, one.slots - one.reserve - one.floor))
            for one in self.config.capacity
        }
        self.workers = {
            (one.zone, one.kind): one.workers - one.reserve_workers for one in self.config.capacity
        }
        self.open: SortedDict = SortedDict()  # number -> Booking
        self.due: SortedSet = SortedSet()  # (when a window ends or an offer runs out, number)
        self.used: dict[str, int] = {}  # tenant -> slot-ms that are booked and have not ended
        self.held: dict[str, int] = {}  # tenant -> offers
        self.windows = 0
        for booking in state.open:
            self._put(booking, anyway=True)
        self.answers = {tenant: dict(given) for tenant, given in state.answers}
        self.closed = {tenant: dict.fromkeys(ids) for tenant, ids in state.closed}

    def pack(self) -> bytes:
        return asking.encode(
            State(
                self.at,
                self.next,
                list(self.open.values()),
                [(tenant, list(given.items())) for tenant, given in sorted(self.answers.items())],
                [(tenant, list(ids)) for tenant, ids in sorted(self.closed.items())],
            )
        )

    def apply(self, at: int, data: bytes) -> bytes:
        """The result as bytes; whatever the entry is, what has ended or run out by `at` goes first."""
        self.at = max(self.at, at)
        self._expire()
        try:
            entry = asking.read_entry(data)
        except msgspec.MsgspecError as wrong:
            return asking.encode(Refused("bad-entry", f"This can't be read: {wrong}"))
        if isinstance(entry, asking.Tick):
            return asking.encode(Done())
        if entry.tenant not in self.config.quotas:
            return asking.encode(
                Refused("unknown", "The operators' file does not know this tenant.")
            )
        answers = self.answers.setdefault(entry.tenant, {})
        if entry.id in answers:
            return answers[entry.id]
        result = self._ask(entry) if isinstance(entry, Ask) else self._on(entry)
        self._expire()  # a window that was released may end at once
        answers[entry.id] = data = asking.encode(result)
        if not isinstance(result, Booked):
            self._close(entry.tenant, entry.id)
        return data

    # what is promised

    def _put(self, booking: Booking, anyway: bool = False) -> None:
        for window, placed in zip(booking.windows, booking.placed, strict=True):
            for zone, slots in placed:
                line = self.lines.get((zone, booking.kind))
                if line is None:  # promised before the file lost it
                    line = self.lines[zone, booking.kind] = Timeline(0)
                    self.workers[zone, booking.kind] = 0
                line.add(window.start, window.end, slots, anyway)
        self.open[booking.number] = booking
        self._count(booking, 1)

    def _count(self, booking: Booking, sign: int) -> None:
        tenant = booking.tenant
        self.windows += sign * len(booking.windows)
        if booking.until:
            self.held[tenant] = self.held.get(tenant, 0) + sign
        else:
            self.used[tenant] = self.used.get(tenant, 0) + sign * _use(
                booking.slots, booking.windows
            )
        when = (booking.until or booking.windows[0].end, booking.number)
        (self.due.add if sign > 0 else self.due.discard)(when)

    def _keep(self, booking: Booking, windows: list[Window | None]) -> None:
        """Of each window that is left this much of it, from its start on; None: nothing."""
        self._count(booking, -1)
        kept = []
        for old, new, placed in zip(booking.windows, windows, booking.placed, strict=True):
            start = new.end if new else old.start
            for zone, slots in placed if start < old.end else ():
                self.lines[zone, booking.kind].take(start, old.end, slots)
            if new:
                kept.append((new, placed))
        if kept:
            booking.windows, booking.placed = (tuple(part) for part in zip(*kept, strict=True))
            self._count(booking, 1)
        else:
            del self.open[booking.number]
            if not booking.until:
                self._close(booking.tenant, booking.id)

    def _close(self, tenant: str, name: str) -> None:
        closed = self.closed.setdefault(tenant, {})
        closed[name] = None
        if len(closed) > MOST_IDS:
            oldest = next(iter(closed))
            del closed[oldest]
            del self.answers[tenant][oldest]

    def _expire(self) -> None:
        while self.due and self.due[0][0] <= self.at:
            booking = self.open[self.due[0][1]]
            self._keep(booking, [None, *booking.windows[1:]])

    # asking

    def _ask(self, ask: Ask) -> Booked | Refused:
        wrong = self._wrong(ask)
        if wrong:
            return wrong
        windows, spread = ask.windows, ask.spread
        low, high = up(self.at + self.config.least_notice), self.at + self.config.horizon
        if ask.length:
            first, last = max(low, windows[0].start), min(high, windows[0].end) - ask.length
            start = self._first(ask, first, last // MINUTE * MINUTE, ask.length)
            if start is None:
                return Refused(
                    "full", "No window with so many slots left was found between these times."
                )
            windows = (Window(start, start + ask.length),)
        placed = []
        for window in windows:
            found = self._place(ask.kind, ask.slots, spread, window)
            if found is None:
                text = f"The window from {window.start} on has not {ask.slots} slots left for this spread."
                return Refused("full", text, self._offers(ask) if len(windows) == 1 else ())
            placed.append(found)
        self.next += 1
        booking = Booking(
            self.next - 1, ask.tenant, ask.id, ask.kind, ask.slots, windows, tuple(placed)
        )
        self._put(booking)
        return Booked(booking.number, booking.windows, booking.placed)

    def _wrong(self, ask: Ask) -> Refused | None:
        windows, config = ask.windows, self.config
        if not any(kind == ask.kind for _, kind in self.lines):
            return Refused("unknown-kind", f"There is no kind {ask.kind!r}.")
        last = 0
        for one in windows:
            if one.start < last or one.start >= one.end or one.start % MINUTE or one.end % MINUTE:
                return Refused("bad-window", "Windows are full minutes, one after another.")
            last = one.end
        if not windows or ask.length % MINUTE or ask.length and len(windows) > 1:
            return Refused(
                "bad-window", "This needs windows, or a length of full minutes in just one."
            )
        if ask.length > windows[0].end - windows[0].start:
            return Refused("bad-window", "The length is more than there is between these times.")
        begin = windows[0].end - ask.length if ask.length else windows[0].start
        end = windows[0].start + ask.length if ask.length else windows[-1].end
        if begin < self.at + config.least_notice:
            return Refused(
                "too-soon", f"A booking begins {config.least_notice // MINUTE} minutes ahead."
            )
        if end > self.at + config.horizon:
            return Refused("too-far", f"A booking ends within {config.horizon // HOUR} hours.")
        if not self._place(ask.kind, ask.slots, ask.spread, None):
            if self._place(ask.kind, ask.slots, Spread(), None):
                return Refused(
                    "spread", "So many slots can't be spread so, even if nothing were booked."
                )
            return Refused(
                "too-large", "That is more than is promised, even if nothing were booked."
            )
        use = ask.slots * ask.length if ask.length else _use(ask.slots, windows)
        return self._over(ask.tenant, use, len(windows))

    def _over(self, tenant: str, use: int, windows: int) -> Refused | None:
        quota = self.config.quotas[tenant]
        if self.used.get(tenant, 0) + use > quota * HOUR:
            return Refused("quota", f"With this, more than {quota:g} slot-hours would be open.")
        if self.windows + windows > MOST_OPEN:
            return Refused("full", "The calendar holds no more windows.")
        return None

    def _place(self, kind: str, slots: int, spread: Spread, window: Window | None) -> Placed | None:
        """How many slots in which zone; no window: if nothing were booked."""
        return _part(self._rooms(kind, spread, window), slots, spread)

    def _rooms(self, kind: str, spread: Spread, window: Window | None) -> list[tuple[int, str]]:
        """(slots that one gang may have, zone), ascending."""
        rooms = []
        for (zone, of), line in self.lines.items():
            if of == kind:
                room = line.room(window.start, window.end) if window else line.ceiling
                rooms.append((self._most((zone, of), spread, room), zone))
        return sorted(rooms)

    def _most(self, key: tuple[str, str], spread: Spread, room: int) -> int:
        return min(room, spread.per_worker * self.workers[key]) if spread.per_worker else room

    def _first(
        self, ask: Ask, first: int, last: int, length: int, back: bool = False
    ) -> int | None:
        """The first start that fits; `back`: the last. At most MOST_TRIED windows are looked at, for a length
        in one zone all: from one that does not fit on to where some zone has more room."""
        if ask.length and ask.spread.zones == 1:  # exact, and no offers beside it
            each = ask.spread.per_worker
            fits = [
                line.fits(length, ask.slots, first, last)
                for key, line in self.lines.items()
                if key[1] == ask.kind and (not each or each * self.workers[key] >= ask.slots)
            ]
            return min((start for start in fits if start is not None), default=None)
        keys = [key for key in self.lines if key[1] == ask.kind]
        lines = [self.lines[key] for key in keys]
        start = last if back else first
        for _ in range(MOST_TRIED):
            if not first <= start <= last:
                return None
            found = [line.rims(start, start + length) for line in lines]
            rooms = [
                (self._most(key, ask.spread, line.ceiling - one[0]), key[0])
                for key, line, one in zip(keys, lines, found, strict=True)
            ]
            if _part(sorted(rooms), ask.slots, ask.spread):
                return start
            rims = [one[1:] for one in found if one[0]]
            if not rims:
                return None
            start = max(one[0] for one in rims) - length if back else min(one[1] for one in rims)
        return None

    def _offers(self, ask: Ask) -> tuple[Offer, ...]:
        """The nearest earlier and later window, and the most slots at the asked one; all held."""
        window = ask.windows[0]
        length = window.end - window.start
        low = up(self.at + self.config.least_notice)
        high = (self.at + self.config.horizon - length) // MINUTE * MINUTE
        offers = []
        for start in (
            self._first(ask, low, window.start - MINUTE, length, back=True),
            self._first(ask, window.start + MINUTE, high, length),
        ):
            if start is not None:
                offers += self._hold(ask, Window(start, start + length), ask.slots)
        rooms, fewest, most = self._rooms(ask.kind, ask.spread, window), 0, ask.slots - 1
        while fewest < most:
            half = (fewest + most + 1) // 2
            if _part(rooms, half, ask.spread):
                fewest = half
            else:
                most = half - 1
        return tuple(offers + self._hold(ask, window, fewest))

    def _hold(self, ask: Ask, window: Window, slots: int) -> list[Offer]:
        placed = self._place(ask.kind, slots, ask.spread, window) if slots else None
        if not placed or self.held.get(ask.tenant, 0) >= MOST_HELD or self.windows >= MOST_OPEN:
            return []
        until = min(self.at + self.config.offer_holds, window.start)
        self._put(Booking(self.next, ask.tenant, "", ask.kind, slots, (window,), (placed,), until))
        self.next += 1
        return [Offer(self.next - 1, window, slots, until)]

    # on what is there

    def _on(self, entry: TakeOffer | Cancel | Release) -> Booked | Done | Refused:
        booking = self.open.get(entry.number)
        if booking is None or bool(booking.until) != isinstance(entry, TakeOffer):
            return Refused("unknown", "There is nothing open with this number.")
        if booking.tenant != entry.tenant:
            return Refused("not-yours", "This number is another tenant's.")
        if isinstance(entry, TakeOffer):
            over = self._over(entry.tenant, _use(booking.slots, booking.windows), 0)
            if over:
                return over
            self._count(booking, -1)
            booking.until, booking.id = 0, entry.id
            self._count(booking, 1)
            return Booked(booking.number, booking.windows, booking.placed)
        windows: list[Window | None] = list(booking.windows)
        if isinstance(entry, Cancel):
            windows = [
                one if one.start < self.at + self.config.cutoff else None for one in booking.windows
            ]
            if None not in windows:
                return Refused(
                    "too-late", f"Up to {self.config.cutoff // MINUTE} minutes before its start."
                )
        else:
            first, now = booking.windows[0], up(self.at)
            if first.start > self.at:
                return Refused("bad-window", "None of its windows runs.")
            windows[0] = Window(first.start, max(first.start + MINUTE, min(now, first.end)))
        self._keep(booking, windows)
        return Done()


def _use(slots: int, windows: Iterable[Window]) -> int:
    return slots * sum(one.end - one.start for one in windows)


def _part(rooms: list[tuple[int, str]], slots: int, spread: Spread) -> Placed | None:
    """The slots over zones with so much room, ascending; None: they don't fit."""
    if spread.zones == 1:
        room, zone = min(rooms, key=lambda one: (-one[0], one[1]))
        return ((zone, slots),) if room >= slots else None
    most, left, placed = -(-slots // 2), slots, []
    for place, (room, zone) in enumerate(rooms):
        share = max(0, min(room, most, left // (len(rooms) - place)))
        if share:
            placed.append((zone, share))
        left -= share
    return tuple(sorted(placed)) if not left and len(placed) > 1 else None
