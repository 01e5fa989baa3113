"""What members say to each other of zones, as bytes and back. Whatever does not fit its form is refused.

A message is a msgpack array that begins with its kind and the version its sender holds: (number, digest).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgpack

from yewrill.membership.format import text, whole
from yewrill.zone_failover.plan import MOST_ZONES, WHOLE, Entry, Plan

DIGEST, ASK, TELL, PLAN, GET, HINT = range(6)
MOST_COUNT = 10_000
Version = tuple[int, str]


@dataclass(frozen=True, slots=True)
class Said:
    """One message. ASK: a question's number. TELL: the answer. PLAN: a whole plan. GET: send me yours. HINT:
    to the owner of the duty of making plans, a zone that it should look at."""

    kind: int
    version: Version
    number: int = 0
    doubt: bool = False  # the teller doubts itself: its counts are not to be used
    busy: float = 0.0  # slots of its running work
    counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    dark: tuple[
        str, ...
    ] = ()  # zones none of whose members it hears; of a HINT, the one that fails
    plan: Plan | None = None


class Malformed(Exception):
    """Bytes that are no such message."""


def pack(said: Said) -> bytes:
    rest: list[Any] = []
    if said.kind == ASK:
        rest = [said.number]
    elif said.kind == TELL:
        counts = [[zone, *pair] for zone, pair in sorted(said.counts.items())[:MOST_ZONES]]
        rest = [said.number, said.doubt, said.busy, counts, list(said.dark[:MOST_ZONES])]
    elif said.kind == PLAN:
        assert said.plan is not None
        rest = [[[z, e.share, e.strikes, e.back] for z, e in sorted(said.plan.zones.items())]]
    elif said.kind == HINT:
        rest = [said.dark[0]]
    return msgpack.packb([said.kind, *said.version, *rest])


def unpack(data: bytes) -> Said:
    """Raises Malformed."""
    try:
        kind, number, digest, *rest = msgpack.unpackb(data)
        version = (whole(number, 2**48), text(digest, empty=True))
        if kind == ASK:
            return Said(ASK, version, whole(rest[0], 2**32))
        if kind == TELL:
            asked, doubt, busy, counts, dark = rest
            if not isinstance(busy, float) or not 0.0 <= busy <= 1e9 or len(counts) > MOST_ZONES:
                raise ValueError("busy")
            read = {}
            for zone, ended, lost in counts:
                read[text(zone)] = (whole(ended, MOST_COUNT), whole(lost, ended))
            return Said(
                TELL,
                version,
                whole(asked, 2**32),
                bool(doubt),
                busy,
                read,
                tuple(text(zone) for zone in dark[:MOST_ZONES]),
            )
        if kind == PLAN:
            if len(rest[0]) > MOST_ZONES:
                raise ValueError("zones")
            plan = Plan(
                version[0],
                {
                    text(zone): Entry(whole(share, WHOLE - 1), whole(strikes, 64, 1), back is True)
                    for zone, share, strikes, back in rest[0]
                },
            )
            if plan.version != version:
                raise ValueError("digest")
            return Said(PLAN, version, plan=plan)
        if kind == HINT:
            return Said(HINT, version, dark=(text(rest[0]),))
        if kind in (DIGEST, GET):
            return Said(kind, version)
    except (
        ValueError,
        TypeError,
        IndexError,
        msgpack.exceptions.UnpackException,
        RecursionError,
    ) as error:
        raise Malformed(str(error)) from error
    raise Malformed("kind")
