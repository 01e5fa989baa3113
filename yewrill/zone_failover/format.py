"""What members say to each other of zones, as bytes and back. Whatever does not fit its form is refused.

A message is a msgpack array that begins with its kind and the version its sender holds: (number, digest).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgpack

from yewrill.membership.format import bounded_int, bounded_text
from yewrill.zone_failover.plan import FULL_WEIGHT, MAX_ZONES, FailoverPlan, ZoneEntry

DIGEST, ASK, ANSWER, PLAN, GET, HINT = range(6)
MAX_ATTEMPT_COUNT = 10_000
Version = tuple[int, str]


@dataclass(frozen=True, slots=True)
class ZoneMessage:
    """One message. ASK: a question's number. TELL: the answer. PLAN: a whole plan. GET: send me yours. HINT:
    to the owner of the duty of making plans, a zone that it should look at."""

    kind: int
    version: Version
    number: int = 0
    is_degraded: bool = False  # the teller doubts itself: its counts are not to be used
    busy: float = 0.0  # slots of its running work
    counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    dark: tuple[
        str, ...
    ] = ()  # zones none of whose members it hears; of a HINT, the one that fails
    plan: FailoverPlan | None = None


class Malformed(Exception):
    """Bytes that are no such message."""


def pack(message: ZoneMessage) -> bytes:
    rest: list[Any] = []
    if message.kind == ASK:
        rest = [message.number]
    elif message.kind == ANSWER:
        counts = [[zone, *pair] for zone, pair in sorted(message.counts.items())[:MAX_ZONES]]
        rest = [
            message.number,
            message.is_degraded,
            message.busy,
            counts,
            list(message.dark[:MAX_ZONES]),
        ]
    elif message.kind == PLAN:
        assert message.plan is not None
        rest = [
            [
                [z, e.traffic_weight, e.penalty_count, e.is_recovering]
                for z, e in sorted(message.plan.zones.items())
            ]
        ]
    elif message.kind == HINT:
        rest = [message.dark[0]]
    return msgpack.packb([message.kind, *message.version, *rest])


def unpack(data: bytes) -> ZoneMessage:
    """Raises Malformed."""
    try:
        kind, number, digest, *rest = msgpack.unpackb(data)
        version = (bounded_int(number, 2**48), bounded_text(digest, empty=True))
        if kind == ASK:
            return ZoneMessage(ASK, version, bounded_int(rest[0], 2**32))
        if kind == ANSWER:
            asked, is_degraded, busy, counts, dark = rest
            if not isinstance(busy, float) or not 0.0 <= busy <= 1e9 or len(counts) > MAX_ZONES:
                raise ValueError("busy")
            read = {}
            for zone, ended, lost in counts:
                read[bounded_text(zone)] = (
                    bounded_int(ended, MAX_ATTEMPT_COUNT),
                    bounded_int(lost, ended),
                )
            return ZoneMessage(
                ANSWER,
                version,
                bounded_int(asked, 2**32),
                bool(is_degraded),
                busy,
                read,
                tuple(bounded_text(zone) for zone in dark[:MAX_ZONES]),
            )
        if kind == PLAN:
            if len(rest[0]) > MAX_ZONES:
                raise ValueError("zones")
            plan = FailoverPlan(
                version[0],
                {
                    bounded_text(zone): ZoneEntry(
                        bounded_int(traffic_weight, FULL_WEIGHT - 1),
                        bounded_int(penalty_count, 64, 1),
                        is_recovering is True,
                    )
                    for zone, traffic_weight, penalty_count, is_recovering in rest[0]
                },
            )
            if plan.version != version:
                raise ValueError("digest")
            return ZoneMessage(PLAN, version, plan=plan)
        if kind == HINT:
            return ZoneMessage(HINT, version, dark=(bounded_text(rest[0]),))
        if kind in (DIGEST, GET):
            return ZoneMessage(kind, version)
    except (
        ValueError,
        TypeError,
        IndexError,
        msgpack.exceptions.UnpackException,
        RecursionError,
    ) as error:
        raise Malformed(str(error)) from error
    raise Malformed("kind")
