"""The calendar's messages: a tenant's requests (entries of the log) and their results; and its settings.

Times are milliseconds of wall time at full minutes. An entry has windows, never a recurrence rule: the member
that submits it expands the rule (windows.py), since members may have different time zone files.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from yewrill.reservations.windows import Window

MAX_SLOTS = 4096
MAX_WINDOWS = 60

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Windows = Annotated[tuple[Window, ...], Meta(max_length=MAX_WINDOWS)]
Placement = tuple[tuple[str, int], ...]  # (zone, slots) pairs, ordered by zone name.


class Spread(Struct, frozen=True, array_like=True):
    """How a gang's slots are spread over zones and workers.

    `per_worker` is the largest number of slots on one worker, 0 for no limit. With `zones` 1 all slots are in
    one zone, with 2 they are in at least two zones.
    """

    per_worker: Annotated[int, Meta(ge=0, le=MAX_SLOTS)] = 0
    zones: Annotated[int, Meta(ge=1, le=2)] = 1


class Request(Struct, frozen=True, array_like=True, tag=True):
    """A tenant's request. The tenant chooses `id`; a repeated id gets the first result again."""

    tenant: Name
    id: Name


class Ask(Request, frozen=True):
    """Requests slots for all `windows`.

    With `length_ms`, requests one window of that length anywhere within the only window given.
    """

    kind: Name
    slots: Slots
    windows: Windows
    length_ms: Annotated[int, Meta(ge=0, le=2**48)] = 0
    spread: Spread = Spread()


class TakeOffer(Request, frozen=True):
    """Turns the held offer with this number into a booking."""

    number: int


class Cancel(Request, frozen=True):
    """Cancels all windows of a booking that begin after the cutoff."""

    number: int


class Release(Request, frozen=True):
    """Releases the rest of a booking's running window, from the next full minute on."""

    number: int


class Tick(Struct, frozen=True, array_like=True, tag=True):
    """An entry that only advances the calendar's time to the time of the entry."""


class Offer(Struct, frozen=True, array_like=True):
    """A window that is held for the tenant until `held_until`, in place of a refused window."""

    number: int
    window: Window
    slots: int
    held_until: int


class Booked(Struct, frozen=True, array_like=True, tag=True):
    """The request was booked. `placements` has, for each window, the slots in each zone."""

    number: int
    windows: tuple[Window, ...]
    placements: tuple[Placement, ...]


class Refused(Struct, frozen=True, array_like=True, tag=True):
    """The request was refused. `reason` is a fixed word, `text` the explanation."""

    reason: str
    text: str
    offers: tuple[Offer, ...] = ()


class Done(Struct, frozen=True, array_like=True, tag=True):
    """The request was carried out and has no other result."""

    pass


class Capacity(Struct, frozen=True):
    """The capacity of one kind of workers in a zone.

    At most `slots - reserve - floor` slots can be booked: `reserve` and `floor` are two numbers of slots that
    are kept out of the calendar. `reserve_workers` of the `workers` may be lost.
    """

    zone: str
    kind: str
    slots: int
    workers: int
    reserve: int = 0
    floor: int = 0
    reserve_workers: int = 0


class Config(Struct, frozen=True):
    """The calendar's settings. Times are in milliseconds.

    `quotas` limits each tenant's slot-hours of bookings that have not ended. A booking may be cancelled up to
    `cutoff` before its start.
    """

    capacity: tuple[Capacity, ...]
    quotas: dict[str, float]
    horizon: int = 35 * 86_400_000
    least_notice: int = 600_000
    offer_holds: int = 300_000
    cutoff: int = 3_600_000


Entry = Ask | TakeOffer | Cancel | Release | Tick
Result = Booked | Refused | Done
encode = msgspec.msgpack.Encoder().encode
read_entry = msgspec.msgpack.Decoder(Entry).decode
read_result = msgspec.msgpack.Decoder(Result).decode
