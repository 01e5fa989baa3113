"""Records of attempts, and what a later run may conclude from them. No I/O, no clock.

A record says that a request was about to be sent to a worker at a given time, and that its end was not
recorded, so the worker may have run it. The age of a record serves two questions. Does the worker's cell
still drop a duplicate? Then the age must not be underestimated. May the record be deleted? Then it must not
be overestimated. Within one boot the monotonic clock answers both exactly. Over a reboot only the wall clock
remains, which may have been set by up to `MAX_CLOCK_ADJUSTMENT_MS` in between.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from yewrill.policy import interface as api

LONG_AGO_MS = 1e12  # past every window
MAX_CLOCK_ADJUSTMENT_MS = 2 * 3_600_000.0  # most by which a wall clock is assumed to be set


@dataclass(frozen=True, slots=True)
class Clocks:
    """One reading: wall and monotonic clock in ms, and the boot id that the latter belongs to (or "")."""

    wall: float
    monotonic: float
    boot: str

    def encode(self) -> dict[str, Any]:
        """Return the stored form; its keys are part of the store's format."""
        return {"wall": self.wall, "steady": self.monotonic, "boot": self.boot}

    @staticmethod
    def decode(raw: Mapping[str, Any]) -> Clocks:
        """Read the stored form. Raises KeyError, TypeError or ValueError on anything else."""
        return Clocks(float(raw["wall"]), float(raw["steady"]), str(raw["boot"]))


class RequestIdentity(NamedTuple):
    """What all repeats of a request share. `key` is the idempotency key, else the request id."""

    request_class: str
    tenant: str
    key: str


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
    def identity(self) -> RequestIdentity:
        """What all repeats of the request share."""
        return RequestIdentity(self.request_class, self.tenant, self.key)

    def encode(self) -> dict[str, Any]:
        """Return the stored form; its keys are part of the store's format."""
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
        """Read the stored form. Raises KeyError, TypeError or ValueError on anything else."""
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
    """How long ago the first attempt that may have run was sent, and in which zone and cell."""

    age_ms: float
    zone: int
    cell: int


def retention_window_ms(request_class: api.RequestClass, non_idempotent_window_ms: float) -> float:
    """Return for how long (ms) attempts of this class are kept on record; 0: not at all."""
    if request_class.idempotency == api.Idempotency.IDEMPOTENT_BY_KEY:
        return request_class.window
    return (
        non_idempotent_window_ms
        if request_class.idempotency == api.Idempotency.NON_IDEMPOTENT
        else 0.0
    )


def min_age_ms(at: Clocks, now: Clocks) -> float:
    """Return a lower bound of the time since then, in ms."""
    if _same_boot(at, now):
        return max(0.0, now.monotonic - at.monotonic)
    by_wall_clock_ms = now.wall - at.wall - MAX_CLOCK_ADJUSTMENT_MS
    since_boot_ms = now.monotonic if at.boot and now.boot else 0.0
    return max(0.0, by_wall_clock_ms, since_boot_ms)


def max_age_ms(at: Clocks, now: Clocks) -> float:
    """Return an upper bound of the time since then, in ms."""
    if _same_boot(at, now):
        return max(0.0, now.monotonic - at.monotonic)
    if now.wall < at.wall:
        return LONG_AGO_MS  # the clock was set back: there is no upper bound
    return now.wall - at.wall + MAX_CLOCK_ADJUSTMENT_MS


def _same_boot(at: Clocks, now: Clocks) -> bool:
    """Whether the monotonic clocks of both readings have the same origin."""
    return bool(at.boot) and at.boot == now.boot


def estimate_earlier_attempt(
    records: Iterable[AttemptRecord], now: Clocks, window_ms: float
) -> EarlierAttempt | None:
    """Combine all records of one request; None if every one is certainly past its window."""
    within_window = [record for record in records if min_age_ms(record.at, now) <= window_ms]
    if not within_window:
        return None
    first = max(within_window, key=lambda record: max_age_ms(record.at, now))
    age_ms = max_age_ms(first.at, now)
    if len({(record.zone, record.cell) for record in within_window}) > 1:
        age_ms = LONG_AGO_MS  # no single cell can recognise all of them
    return EarlierAttempt(age_ms, first.zone, first.cell)
