"""The book of all bookings and held offers: a state machine of the replicated log (leases/states.py).

It does no I/O. Results are part of the replicated state, so their texts must not differ between voters of
different builds.
"""

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
    Placement,
    Refused,
    Release,
    Spread,
    TakeOffer,
)
from yewrill.reservations.timeline import Timeline
from yewrill.reservations.windows import MINUTE, Window

HOUR = 3_600_000
# Limit on the windows that have not ended, of all bookings and held offers together.
MAX_OPEN_WINDOWS = 50_000
MAX_HELD_OFFERS = 9  # limit on the held offers of one tenant
# Limit on the request ids that are remembered per tenant after their booking has ended.
MAX_CLOSED_IDS = 1024
MAX_STARTS_TRIED = 16  # limit on the start times that one search examines


class Booking(Struct, array_like=True):
    """A booking or a held offer, with its windows that have not ended.

    `held_until` is when a held offer expires, in milliseconds of the log's time; 0 for a booking.
    """

    number: int
    tenant: str
    id: str
    kind: str
    slots: int
    windows: tuple[Window, ...]
    placements: tuple[Placement, ...]
    held_until: int = 0


class State(Struct, array_like=True):
    """The book as stored in a snapshot."""

    at: int
    next_number: int
    open_bookings: list[Booking]
    # By tenant: the request ids with their encoded results, in order of arrival.
    results: list[tuple[str, list[tuple[str, bytes]]]]
    # By tenant: the request ids that may be dropped, oldest first.
    closed_ids: list[tuple[str, list[str]]]


_read_state = msgspec.msgpack.Decoder(State).decode


def round_up_to_minute(at: int) -> int:
    """Rounds milliseconds up to a full minute."""
    return -(-at // MINUTE) * MINUTE


class Book:
    """All bookings and held offers, and the results of requests. Deterministic."""

    def __init__(self, config: asking.Config):
        self.config = config
        self.restore(b"")

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `pack` returned; b"" is the initial state."""
        state = _read_state(data) if data else State(0, 1, [], [], [])
        self.at, self.next_number = state.at, state.next_number
        self.timelines = {
            (capacity.zone, capacity.kind): Timeline(
                max(0, capacity.slots - capacity.reserve - capacity.floor)
            )
            for capacity in self.config.capacity
        }
        self.workers = {
            (capacity.zone, capacity.kind): capacity.workers - capacity.reserve_workers
            for capacity in self.config.capacity
        }
        self.open_bookings: SortedDict = SortedDict()  # booking number -> Booking
        # (time when a booking's first window ends or a held offer expires, booking number).
        self.expirations: SortedSet = SortedSet()
        # By tenant: slots times milliseconds of the bookings that have not ended.
        self.used_slot_ms: dict[str, int] = {}
        self.held_offers: dict[str, int] = {}  # by tenant: number of held offers
        self.open_windows = 0
        for booking in state.open_bookings:
            self._add_booking(booking, allow_over_ceiling=True)
        self.results = {tenant: dict(results_by_id) for tenant, results_by_id in state.results}
        self.closed_ids = {tenant: dict.fromkeys(ids) for tenant, ids in state.closed_ids}

    def pack(self) -> bytes:
        """Returns the whole state, for a snapshot."""
        return asking.encode(
            State(
                self.at,
                self.next_number,
                list(self.open_bookings.values()),
                [
                    (tenant, list(results_by_id.items()))
                    for tenant, results_by_id in sorted(self.results.items())
                ],
                [(tenant, list(ids)) for tenant, ids in sorted(self.closed_ids.items())],
            )
        )

    def apply(self, at: int, data: bytes) -> bytes:
        """Applies one entry and returns its encoded result.

        Windows that have ended and offers that have expired by `at` are removed first. A request id that was
        applied before returns its earlier result.
        """
        self.at = max(self.at, at)
        self._expire()
        try:
            entry = asking.read_entry(data)
        except msgspec.MsgspecError as error:
            return asking.encode(Refused("bad-entry", f"This can't be read: {error}"))
        if isinstance(entry, asking.Tick):
            return asking.encode(Done())
        if entry.tenant not in self.config.quotas:
            return asking.encode(
                Refused("unknown", "The operators' file does not know this tenant.")
            )
        results = self.results.setdefault(entry.tenant, {})
        if entry.id in results:
            return results[entry.id]
        result = self._book(entry) if isinstance(entry, Ask) else self._change_booking(entry)
        self._expire()  # a window that was released may end at once
        results[entry.id] = data = asking.encode(result)
        if not isinstance(result, Booked):
            self._record_closed_id(entry.tenant, entry.id)
        return data

    # -- reservations

    def _add_booking(self, booking: Booking, allow_over_ceiling: bool = False) -> None:
        for window, placement in zip(booking.windows, booking.placements, strict=True):
            for zone, slots in placement:
                timeline = self.timelines.get((zone, booking.kind))
                # The booking was made before its zone and kind were removed from the settings.
                if timeline is None:
                    timeline = self.timelines[zone, booking.kind] = Timeline(0)
                    self.workers[zone, booking.kind] = 0
                timeline.add(window.start, window.end, slots, allow_over_ceiling)
        self.open_bookings[booking.number] = booking
        self._update_totals(booking, 1)

    def _update_totals(self, booking: Booking, sign: int) -> None:
        tenant = booking.tenant
        self.open_windows += sign * len(booking.windows)
        if booking.held_until:
            self.held_offers[tenant] = self.held_offers.get(tenant, 0) + sign
        else:
            self.used_slot_ms[tenant] = self.used_slot_ms.get(tenant, 0) + sign * _slot_ms(
                booking.slots, booking.windows
            )
        expiration = (booking.held_until or booking.windows[0].end, booking.number)
        (self.expirations.add if sign > 0 else self.expirations.discard)(expiration)

    def _shrink_booking(self, booking: Booking, windows: list[Window | None]) -> None:
        """Shortens each window of a booking to the part that is kept, from its start on; None drops it."""
        self._update_totals(booking, -1)
        kept = []
        for old, new, placement in zip(booking.windows, windows, booking.placements, strict=True):
            start = new.end if new else old.start
            for zone, slots in placement if start < old.end else ():
                self.timelines[zone, booking.kind].remove(start, old.end, slots)
            if new:
                kept.append((new, placement))
        if kept:
            booking.windows, booking.placements = (tuple(part) for part in zip(*kept, strict=True))
            self._update_totals(booking, 1)
        else:
            del self.open_bookings[booking.number]
            if not booking.held_until:
                self._record_closed_id(booking.tenant, booking.id)

    def _record_closed_id(self, tenant: str, request_id: str) -> None:
        closed = self.closed_ids.setdefault(tenant, {})
        closed[request_id] = None
        if len(closed) > MAX_CLOSED_IDS:
            oldest = next(iter(closed))
            del closed[oldest]
            del self.results[tenant][oldest]

    def _expire(self) -> None:
        while self.expirations and self.expirations[0][0] <= self.at:
            booking = self.open_bookings[self.expirations[0][1]]
            self._shrink_booking(booking, [None, *booking.windows[1:]])

    # -- requests for bookings

    def _book(self, ask: Ask) -> Booked | Refused:
        refusal = self._check_request(ask)
        if refusal:
            return refusal
        windows, spread = ask.windows, ask.spread
        earliest, latest = (
            round_up_to_minute(self.at + self.config.least_notice),
            self.at + self.config.horizon,
        )
        if ask.length_ms:
            first, last = (
                max(earliest, windows[0].start),
                min(latest, windows[0].end) - ask.length_ms,
            )
            start = self._find_start(ask, first, last // MINUTE * MINUTE, ask.length_ms)
            if start is None:
                return Refused(
                    "full", "No window with so many slots left was found between these times."
                )
            windows = (Window(start, start + ask.length_ms),)
        placements = []
        for window in windows:
            placement = self._place(ask.kind, ask.slots, spread, window)
            if placement is None:
                text = f"The window from {window.start} on has not {ask.slots} slots left for this spread."
                return Refused("full", text, self._make_offers(ask) if len(windows) == 1 else ())
            placements.append(placement)
        self.next_number += 1
        booking = Booking(
            self.next_number - 1,
            ask.tenant,
            ask.id,
            ask.kind,
            ask.slots,
            windows,
            tuple(placements),
        )
        self._add_booking(booking)
        return Booked(booking.number, booking.windows, booking.placements)

    def _check_request(self, ask: Ask) -> Refused | None:
        windows, config = ask.windows, self.config
        if not any(kind == ask.kind for _, kind in self.timelines):
            return Refused("unknown-kind", f"There is no kind {ask.kind!r}.")
        last = 0
        for window in windows:
            if (
                window.start < last
                or window.start >= window.end
                or window.start % MINUTE
                or window.end % MINUTE
            ):
                return Refused("bad-window", "Windows are full minutes, one after another.")
            last = window.end
        if not windows or ask.length_ms % MINUTE or ask.length_ms and len(windows) > 1:
            return Refused(
                "bad-window", "This needs windows, or a length of full minutes in just one."
            )
        if ask.length_ms > windows[0].end - windows[0].start:
            return Refused("bad-window", "The length is more than there is between these times.")
        earliest_start = windows[0].end - ask.length_ms if ask.length_ms else windows[0].start
        latest_end = windows[0].start + ask.length_ms if ask.length_ms else windows[-1].end
        if earliest_start < self.at + config.least_notice:
            return Refused(
                "too-soon", f"A booking begins {config.least_notice // MINUTE} minutes ahead."
            )
        if latest_end > self.at + config.horizon:
            return Refused("too-far", f"A booking ends within {config.horizon // HOUR} hours.")
        if not self._place(ask.kind, ask.slots, ask.spread, None):
            if self._place(ask.kind, ask.slots, Spread(), None):
                return Refused(
                    "spread", "So many slots can't be spread so, even if nothing were booked."
                )
            return Refused(
                "too-large", "That is more than is promised, even if nothing were booked."
            )
        slot_ms = ask.slots * ask.length_ms if ask.length_ms else _slot_ms(ask.slots, windows)
        return self._check_quota(ask.tenant, slot_ms, len(windows))

    def _check_quota(self, tenant: str, slot_ms: int, windows: int) -> Refused | None:
        quota = self.config.quotas[tenant]
        if self.used_slot_ms.get(tenant, 0) + slot_ms > quota * HOUR:
            return Refused("quota", f"With this, more than {quota:g} slot-hours would be open.")
        if self.open_windows + windows > MAX_OPEN_WINDOWS:
            return Refused("full", "The calendar holds no more windows.")
        return None

    def _place(
        self, kind: str, slots: int, spread: Spread, window: Window | None
    ) -> Placement | None:
        """Returns the slots in each zone for a window, None if they don't fit.

        Without a window, returns the slots as if nothing were booked.
        """
        return _split(self._free_slots_by_zone(kind, spread, window), slots, spread)

    def _free_slots_by_zone(
        self, kind: str, spread: Spread, window: Window | None
    ) -> list[tuple[int, str]]:
        """Returns pairs (slots that one gang may use, zone), in ascending order."""
        free_slots = []
        for (zone, timeline_kind), timeline in self.timelines.items():
            if timeline_kind == kind:
                free = timeline.free_slots(window.start, window.end) if window else timeline.ceiling
                free_slots.append((self._usable_slots((zone, timeline_kind), spread, free), zone))
        return sorted(free_slots)

    def _usable_slots(self, key: tuple[str, str], spread: Spread, free: int) -> int:
        return min(free, spread.per_worker * self.workers[key]) if spread.per_worker else free

    def _find_start(
        self, ask: Ask, first: int, last: int, length: int, backwards: bool = False
    ) -> int | None:
        """Returns the first start time at which the request fits, or the last one if `backwards`.

        The result is None if no start time is found. For a length within one zone the search is exact.
        Otherwise it examines at most MAX_STARTS_TRIED windows; from one that does not fit it moves on to the
        time at which some zone has more free slots.
        """
        if ask.length_ms and ask.spread.zones == 1:
            per_worker = ask.spread.per_worker
            fits = [
                timeline.first_fit(length, ask.slots, first, last)
                for key, timeline in self.timelines.items()
                if key[1] == ask.kind
                and (not per_worker or per_worker * self.workers[key] >= ask.slots)
            ]
            return min((start for start in fits if start is not None), default=None)
        keys = [key for key in self.timelines if key[1] == ask.kind]
        timelines = [self.timelines[key] for key in keys]
        start = last if backwards else first
        for _ in range(MAX_STARTS_TRIED):
            if not first <= start <= last:
                return None
            peak_spans = [timeline.peak_span(start, start + length) for timeline in timelines]
            free_slots = [
                (self._usable_slots(key, ask.spread, timeline.ceiling - peak[0]), key[0])
                for key, timeline, peak in zip(keys, timelines, peak_spans, strict=True)
            ]
            if _split(sorted(free_slots), ask.slots, ask.spread):
                return start
            peaks = [peak[1:] for peak in peak_spans if peak[0]]
            if not peaks:
                return None
            start = (
                max(peak[0] for peak in peaks) - length
                if backwards
                else min(peak[1] for peak in peaks)
            )
        return None

    def _make_offers(self, ask: Ask) -> tuple[Offer, ...]:
        """Holds offers in place of a refused window.

        The offers are the nearest earlier and the nearest later window, and as many slots as fit in the
        requested window.
        """
        window = ask.windows[0]
        length = window.end - window.start
        earliest = round_up_to_minute(self.at + self.config.least_notice)
        latest = (self.at + self.config.horizon - length) // MINUTE * MINUTE
        offers = []
        for start in (
            self._find_start(ask, earliest, window.start - MINUTE, length, backwards=True),
            self._find_start(ask, window.start + MINUTE, latest, length),
        ):
            if start is not None:
                offers += self._hold_offer(ask, Window(start, start + length), ask.slots)
        free_slots, lower, upper = (
            self._free_slots_by_zone(ask.kind, ask.spread, window),
            0,
            ask.slots - 1,
        )
        while lower < upper:
            middle = (lower + upper + 1) // 2
            if _split(free_slots, middle, ask.spread):
                lower = middle
            else:
                upper = middle - 1
        return tuple(offers + self._hold_offer(ask, window, lower))

    def _hold_offer(self, ask: Ask, window: Window, slots: int) -> list[Offer]:
        placement = self._place(ask.kind, slots, ask.spread, window) if slots else None
        if (
            not placement
            or self.held_offers.get(ask.tenant, 0) >= MAX_HELD_OFFERS
            or self.open_windows >= MAX_OPEN_WINDOWS
        ):
            return []
        held_until = min(self.at + self.config.offer_holds, window.start)
        self._add_booking(
            Booking(
                self.next_number,
                ask.tenant,
                "",
                ask.kind,
                slots,
                (window,),
                (placement,),
                held_until,
            )
        )
        self.next_number += 1
        return [Offer(self.next_number - 1, window, slots, held_until)]

    # -- changes of bookings and offers

    def _change_booking(self, entry: TakeOffer | Cancel | Release) -> Booked | Done | Refused:
        booking = self.open_bookings.get(entry.number)
        if booking is None or bool(booking.held_until) != isinstance(entry, TakeOffer):
            return Refused("unknown", "There is nothing open with this number.")
        if booking.tenant != entry.tenant:
            return Refused("not-yours", "This number is another tenant's.")
        if isinstance(entry, TakeOffer):
            over = self._check_quota(entry.tenant, _slot_ms(booking.slots, booking.windows), 0)
            if over:
                return over
            self._update_totals(booking, -1)
            booking.held_until, booking.id = 0, entry.id
            self._update_totals(booking, 1)
            return Booked(booking.number, booking.windows, booking.placements)
        windows: list[Window | None] = list(booking.windows)
        if isinstance(entry, Cancel):
            windows = [
                window if window.start < self.at + self.config.cutoff else None
                for window in booking.windows
            ]
            if None not in windows:
                return Refused(
                    "too-late", f"Up to {self.config.cutoff // MINUTE} minutes before its start."
                )
        else:
            first, release_at = booking.windows[0], round_up_to_minute(self.at)
            if first.start > self.at:
                return Refused("bad-window", "None of its windows runs.")
            windows[0] = Window(first.start, max(first.start + MINUTE, min(release_at, first.end)))
        self._shrink_booking(booking, windows)
        return Done()


def _slot_ms(slots: int, windows: Iterable[Window]) -> int:
    return slots * sum(window.end - window.start for window in windows)


def _split(free_slots: list[tuple[int, str]], slots: int, spread: Spread) -> Placement | None:
    """Spreads the slots over zones, given the free slots of each, ascending. None if they don't fit.

    With a spread over several zones, no zone gets more than half of the slots.
    """
    if spread.zones == 1:
        free, zone = min(free_slots, key=lambda pair: (-pair[0], pair[1]))
        return ((zone, slots),) if free >= slots else None
    max_share, remaining, placements = -(-slots // 2), slots, []
    for index, (free, zone) in enumerate(free_slots):
        share = max(0, min(free, max_share, remaining // (len(free_slots) - index)))
        if share:
            placements.append((zone, share))
        remaining -= share
    return tuple(sorted(placements)) if not remaining and len(placements) > 1 else None
