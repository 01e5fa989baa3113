"""What a tenant asks of the calendar and what it is told: entries and results, and the operators' file. Pure.

Times are milliseconds of wall time on a grid of a minute. An entry has windows, never a rule: whoever submits
it makes them of the rule (windows.py), as members may have different files of zones.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from yewrill.reservations.windows import Window

MOST_SLOTS = 4096
MOST_WINDOWS = 60

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Slots = Annotated[int, Meta(ge=1, le=MOST_SLOTS)]
Windows = Annotated[tuple[Window, ...], Meta(max_length=MOST_WINDOWS)]
Placed = tuple[tuple[str, int], ...]  # (zone, slots), by name


class Spread(Struct, frozen=True, array_like=True):
    """`per_worker`: slots on one worker at the most, 0: any; `zones`: 1, one zone; 2, two at the least."""

    per_worker: Annotated[int, Meta(ge=0, le=MOST_SLOTS)] = 0
    zones: Annotated[int, Meta(ge=1, le=2)] = 1


class Request(Struct, frozen=True, array_like=True, tag=True):
    """`id`: the tenant's own; the same twice is the same result."""

    tenant: Name
    id: Name


class Ask(Request, frozen=True):
    """All of `windows`; or, with `length` (ms), one window of that length anywhere in the only one given."""

    kind: Name
    slots: Slots
    windows: Windows
    length: Annotated[int, Meta(ge=0, le=2**48)] = 0
    spread: Spread = Spread()


class TakeOffer(Request, frozen=True):
    number: int


class Cancel(Request, frozen=True):
    """All windows of a booking that begin after the cutoff."""

    number: int


class Release(Request, frozen=True):
    """What is left of the window that runs, from the next full minute on."""

    number: int


class Tick(Struct, frozen=True, array_like=True, tag=True):
    """Only that time has gone on."""


class Offer(Struct, frozen=True, array_like=True):
    number: int
    window: Window
    slots: int
    until: int


class Booked(Struct, frozen=True, array_like=True, tag=True):
    """`placed`: for each window, how many slots in which zone."""

    number: int
    windows: tuple[Window, ...]
    placed: tuple[Placed, ...]


class Refused(Struct, frozen=True, array_like=True, tag=True):
    ground: str
    text: str
    offers: tuple[Offer, ...] = ()


class Done(Struct, frozen=True, array_like=True, tag=True):
    pass


class Capacity(Struct, frozen=True):
    """What is counted on of a (zone, kind). The ceiling is `slots - reserve - floor`; of the
    `workers`, `reserve_workers` may be lost."""

    zone: str
    kind: str
    slots: int
    workers: int
    reserve: int = 0
    floor: int = 0
    reserve_workers: int = 0


class Config(Struct, frozen=True):
    """`quotas`: tenant -> open slot-hours. Times in ms. A booking may be cancelled up to `cutoff` before."""

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
