"""Records of attempts, and what a later run believes of them. No I/O, no clock.

A record says: this job, under this key, was about to be sent to this worker at this time; its end was not
seen. So it may have run. How long ago that is decides whether a rack still drops a repeat (then it must not
come out too small) and when the record may be forgotten (then it must not come out too large). Within one
boot both are the same, by the monotonic clock. Over a reboot only the wall clock remains, and it may have
been set by up to `CLOCK_DOUBT_MS` meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from yewrill.policy import interface as api

LONG_AGO = 1e12  # milliseconds: past every window
CLOCK_DOUBT_MS = 2 * 3_600_000.0  # by how much a wall clock may have been set, and some more


@dataclass(frozen=True, slots=True)
class Clocks:
    """One reading: wall clock and monotonic clock in ms, and the boot that the latter belongs to."""

    wall: float
    steady: float
    boot: str

    def encode(self) -> dict[str, Any]:
        """The reading as JSON's values."""
        return {"wall": self.wall, "steady": self.steady, "boot": self.boot}

    @staticmethod
    def decode(raw: Mapping[str, Any]) -> Clocks:
        """Raises KeyError, TypeError or ValueError on anything else."""
        return Clocks(float(raw["wall"]), float(raw["steady"]), str(raw["boot"]))


# Class, tenant and key: what a repeat of a job has in common with it.
JobName = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """An attempt that is about to go out."""

    request_class: str
    tenant: str
    key: str
    worker: str
    zone: int
    cell: int
    at: Clocks

    @property
    def name(self) -> JobName:
        """What a repeat of the job has in common with it."""
        return self.request_class, self.tenant, self.key

    def encode(self) -> dict[str, Any]:
        """The record as JSON's values."""
        return {
            "class": self.request_class,
            "tenant": self.tenant,
            "key": self.key,
            "to": self.worker,
            "zone": self.zone,
            "cell": self.cell,
            **self.at.encode(),
        }

    @staticmethod
    def decode(raw: Mapping[str, Any]) -> AttemptRecord:
        """Raises KeyError, TypeError or ValueError on anything else."""
        return AttemptRecord(
            str(raw["class"]),
            str(raw["tenant"]),
            str(raw["key"]),
            str(raw["to"]),
            int(raw["zone"]),
            int(raw["cell"]),
            Clocks.decode(raw),
        )


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """What the module is told: how long ago the first attempt that may have run was sent (ms), and where."""

    ago: float
    zone: int
    cell: int


def window_of(request_class: api.RequestClass, unsafe_window: float) -> float:
    """For how long, in ms, an attempt of this class must be remembered; 0: not at all."""
    if request_class.idempotency == api.Idempotency.IDEMPOTENT_BY_KEY:
        return request_class.window
    return unsafe_window if request_class.idempotency == api.Idempotency.NON_IDEMPOTENT else 0.0


def least_age(at: Clocks, now: Clocks) -> float:
    """How long ago that was at least, in ms."""
    if _same_boot(at, now):
        return max(0.0, now.steady - at.steady)
    by_wall = now.wall - at.wall - CLOCK_DOUBT_MS
    since_boot = now.steady if at.boot and now.boot else 0.0
    return max(0.0, by_wall, since_boot)


def greatest_age(at: Clocks, now: Clocks) -> float:
    """How long ago that was at most, in ms."""
    if _same_boot(at, now):
        return max(0.0, now.steady - at.steady)
    if now.wall < at.wall:
        return LONG_AGO  # set back: nothing can be said
    return now.wall - at.wall + CLOCK_DOUBT_MS


def _same_boot(at: Clocks, now: Clocks) -> bool:
    """Whether the monotonic clocks of both readings count from the same moment."""
    return bool(at.boot) and at.boot == now.boot


def believed(records: Iterable[AttemptRecord], now: Clocks, window: float) -> EarlierAttempt | None:
    """What all records of one job amount to; None if the last of them is surely past its window."""
    known = [record for record in records if least_age(record.at, now) <= window]
    if not known:
        return None
    first = max(known, key=lambda record: greatest_age(record.at, now))
    ago = greatest_age(first.at, now)
    if len({(record.zone, record.cell) for record in known}) > 1:
        ago = LONG_AGO  # no single rack knows of all of them
    return EarlierAttempt(ago, first.zone, first.cell)
