"""The codec of the failover messages between members. Malformed messages are rejected.

A message is a msgpack array that begins with its kind and the version of the sender's plan: number, digest.
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
    """One message.

    DIGEST has the sender's plan version only. ASK starts a poll; ANSWER replies with the sender's counts. GET
    requests the receiver's plan; PLAN has a whole plan. HINT reports a failing zone to the member that holds
    the lease on the role of making plans.
    """

    kind: int
    version: Version
    number: int = 0  # number of the poll, in ASK and ANSWER
    is_degraded: bool = False  # whether the sender's own counts can't be trusted
    busy: float = 0.0  # number of slots that the sender's running attempts take
    counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    # The zones of which the sender reaches no member; in a HINT, the failing zone.
    unreachable_zones: tuple[str, ...] = ()
    plan: FailoverPlan | None = None


class Malformed(Exception):
    """The bytes are not a valid message."""


def pack(message: ZoneMessage) -> bytes:
    """Encodes one message."""
    fields: list[Any] = []
    if message.kind == ASK:
        fields = [message.number]
    elif message.kind == ANSWER:
        counts = [[zone, *pair] for zone, pair in sorted(message.counts.items())[:MAX_ZONES]]
        fields = [
            message.number,
            message.is_degraded,
            message.busy,
            counts,
            list(message.unreachable_zones[:MAX_ZONES]),
        ]
    elif message.kind == PLAN:
        assert message.plan is not None
        fields = [
            [
                [z, e.traffic_weight, e.penalty_count, e.is_recovering]
                for z, e in sorted(message.plan.zones.items())
            ]
        ]
    elif message.kind == HINT:
        fields = [message.unreachable_zones[0]]
    return msgpack.packb([message.kind, *message.version, *fields])


def unpack(data: bytes) -> ZoneMessage:
    """Decodes one message. Raises Malformed."""
    try:
        kind, number, digest, *fields = msgpack.unpackb(data)
        version = (bounded_int(number, 2**48), bounded_text(digest, empty=True))
        if kind == ASK:
            return ZoneMessage(ASK, version, bounded_int(fields[0], 2**32))
        if kind == ANSWER:
            poll_number, is_degraded, busy, counts, unreachable_zones = fields
            if not isinstance(busy, float) or not 0.0 <= busy <= 1e9 or len(counts) > MAX_ZONES:
                raise ValueError("busy slots or number of zones out of range")
            valid_counts = {}
            for zone, ended, lost in counts:
                valid_counts[bounded_text(zone)] = (
                    bounded_int(ended, MAX_ATTEMPT_COUNT),
                    bounded_int(lost, ended),
                )
            return ZoneMessage(
                ANSWER,
                version,
                bounded_int(poll_number, 2**32),
                bool(is_degraded),
                busy,
                valid_counts,
                tuple(bounded_text(zone) for zone in unreachable_zones[:MAX_ZONES]),
            )
        if kind == PLAN:
            if len(fields[0]) > MAX_ZONES:
                raise ValueError("too many zones in a plan")
            plan = FailoverPlan(
                version[0],
                {
                    bounded_text(zone): ZoneEntry(
                        bounded_int(traffic_weight, FULL_WEIGHT - 1),
                        bounded_int(penalty_count, 64, 1),
                        is_recovering is True,
                    )
                    for zone, traffic_weight, penalty_count, is_recovering in fields[0]
                },
            )
            if plan.version != version:
                raise ValueError("version and content of a plan don't match")
            return ZoneMessage(PLAN, version, plan=plan)
        if kind == HINT:
            return ZoneMessage(HINT, version, unreachable_zones=(bounded_text(fields[0]),))
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
    raise Malformed("unknown kind of message")
