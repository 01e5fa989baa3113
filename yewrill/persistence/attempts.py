"""Records of attempts, and the conclusions that a later run draws from them. No I/O, no clock.

A record says that a request was about to be sent to a worker at a given time. As long as it exists, the end
of the request is unknown, so the worker may have run it. The age of a record has two uses. To decide whether
the worker's cell (a group of workers that detect duplicates together) still drops a duplicate, the age must
not be underestimated. To decide whether the record may be deleted, it must not be overestimated. Within one
boot the monotonic clock gives the exact age. Across a reboot only the wall clock is left, which may have been
set by up to `MAX_CLOCK_ADJUSTMENT_MS` meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from yewrill.policy import interface as api

# An age that is longer than every window in which workers detect duplicates.
LONG_AGO_MS = 1e12
# Largest adjustment of the wall clock that the estimates of ages allow for.
MAX_CLOCK_ADJUSTMENT_MS = 2 * 3_600_000.0


@dataclass(frozen=True, slots=True)
class Clocks:
    """One reading of the wall clock and the monotonic clock, in ms.

    `boot` is the boot id to which the monotonic time belongs; "" if the system has none.
    """

    wall: float
    monotonic: float
    boot: str

    def encode(self) -> dict[str, Any]:
        """Returns the stored form; its keys are part of the store's format."""
        return {"wall": self.wall, "steady": self.monotonic, "boot": self.boot}

    @staticmethod
    def decode(raw: Mapping[str, Any]) -> Clocks:
        """Reads the stored form. Raises KeyError, TypeError or ValueError on anything else."""
        return Clocks(float(raw["wall"]), float(raw["steady"]), str(raw["boot"]))


class RequestIdentity(NamedTuple):
    """Identifies all repeats of a request. `key` is the idempotency key, else the request id."""

    request_class: str
    tenant: str
    key: str


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """The record of an attempt that is about to be sent."""

    request_class: str
    tenant: str
    key: str
    worker: str
    zone: int
    cell: int
    at: Clocks

    @property
    def identity(self) -> RequestIdentity:
        """The identity that all repeats of the request share."""
        return RequestIdentity(self.request_class, self.tenant, self.key)

    def encode(self) -> dict[str, Any]:
        """Returns the stored form; its keys are part of the store's format."""
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
        """Reads the stored form. Raises KeyError, TypeError or ValueError on anything else."""
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
    """Age, zone and cell of the first attempt of a request that may have run."""

    age_ms: float
    zone: int
    cell: int


def retention_window_ms(request_class: api.RequestClass, non_idempotent_window_ms: float) -> float:
    """Returns how long (ms) records of attempts of a request class are kept; 0: none are written."""
    if request_class.idempotency == api.Idempotency.IDEMPOTENT_BY_KEY:
        return request_class.window
    return (
        non_idempotent_window_ms
        if request_class.idempotency == api.Idempotency.NON_IDEMPOTENT
        else 0.0
    )


def min_age_ms(at: Clocks, now: Clocks) -> float:
    """Returns a lower bound of the time since `at`, in ms."""
    if _same_boot(at, now):
        return max(0.0, now.monotonic - at.monotonic)
    by_wall_clock_ms = now.wall - at.wall - MAX_CLOCK_ADJUSTMENT_MS
    since_boot_ms = now.monotonic if at.boot and now.boot else 0.0
    return max(0.0, by_wall_clock_ms, since_boot_ms)


def max_age_ms(at: Clocks, now: Clocks) -> float:
    """Returns an upper bound of the time since `at`, in ms."""
    if _same_boot(at, now):
        return max(0.0, now.monotonic - at.monotonic)
    if now.wall < at.wall:
        return LONG_AGO_MS  # the wall clock was set back, so there is no upper bound
    return now.wall - at.wall + MAX_CLOCK_ADJUSTMENT_MS


def _same_boot(at: Clocks, now: Clocks) -> bool:
    """Whether the monotonic clocks of both readings have the same origin."""
    return bool(at.boot) and at.boot == now.boot


def estimate_earlier_attempt(
    records: Iterable[AttemptRecord], now: Clocks, window_ms: float
) -> EarlierAttempt | None:
    """Combines all records of one request; returns None if all of them are certainly past the window."""
    within_window = [record for record in records if min_age_ms(record.at, now) <= window_ms]
    if not within_window:
        return None
    first = max(within_window, key=lambda record: max_age_ms(record.at, now))
    age_ms = max_age_ms(first.at, now)
    if len({(record.zone, record.cell) for record in within_window}) > 1:
        # The attempts went to several cells, so no single cell can detect all duplicates.
        age_ms = LONG_AGO_MS
    return EarlierAttempt(age_ms, first.zone, first.cell)
