"""What is to be believed of an attempt that was out when an earlier run died. No I/O, no clock.

A record says: this job, under this key, was about to be sent to this destination at this time; its end was
not seen. So it may have run. How long ago that is decides whether a rack still drops a repeat, and is the
one thing here that must never come out too small: a clock set back must not stretch a window.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from yewrill import interface as api

LONG_AGO = 1e12  # milliseconds: past every window


@dataclass(frozen=True, slots=True)
class Clocks:
    """One reading: wall clock and monotonic clock in ms, and the boot that the latter belongs to."""

    wall: float
    steady: float
    boot: str


@dataclass(frozen=True, slots=True)
class Sent:
    """An attempt that is about to go out."""

    job_class: str
    tenant: str
    key: str
    destination: str
    zone: int
    cell: int
    at: Clocks

    @property
    def name(self) -> tuple[str, str, str]:
        """What a repeat of the job has in common with it."""
        return self.job_class, self.tenant, self.key

    def encode(self) -> dict[str, Any]:
        return {
            "class": self.job_class,
            "tenant": self.tenant,
            "key": self.key,
            "to": self.destination,
            "zone": self.zone,
            "cell": self.cell,
            "wall": self.at.wall,
            "steady": self.at.steady,
            "boot": self.at.boot,
        }

    @staticmethod
    def decode(raw: Mapping[str, Any]) -> Sent:
        """Raises KeyError, TypeError or ValueError on anything else."""
        return Sent(
            str(raw["class"]),
            str(raw["tenant"]),
            str(raw["key"]),
            str(raw["to"]),
            int(raw["zone"]),
            int(raw["cell"]),
            Clocks(float(raw["wall"]), float(raw["steady"]), str(raw["boot"])),
        )


@dataclass(frozen=True, slots=True)
class Earlier:
    """What the module is told: how long ago the first attempt that may have run was sent (ms), and where."""

    ago: float
    zone: int
    cell: int


def window_of(job_class: api.JobClass, unsafe_window: float) -> float:
    """For how long, in ms, an attempt of this class must be remembered; 0: not at all."""
    if job_class.effect == api.KEYED:
        return job_class.window
    return unsafe_window if job_class.effect == api.UNSAFE else 0.0


def age(at: Clocks, now: Clocks) -> float:
    """How long ago that was, in ms; rather too long than too short."""
    if at.boot and at.boot == now.boot:
        # Within one boot the steady clock is right, whatever was done to the wall clock.
        return max(0.0, now.steady - at.steady)
    if now.wall < at.wall:
        return LONG_AGO  # set back: nothing can be said
    return now.wall - at.wall


def believed(sent: Iterable[Sent], now: Clocks, window: float) -> Earlier | None:
    """What all records of one job amount to; None if the last of them is past its window."""
    known = [(age(each.at, now), each) for each in sent]
    known = [(ago, each) for ago, each in known if ago <= window or ago >= LONG_AGO]
    if not known:
        return None
    ago, first = max(known, key=lambda pair: pair[0])
    if len({(each.zone, each.cell) for _, each in known}) > 1:
        ago = LONG_AGO  # no single rack knows of all of them
    return Earlier(ago, first.zone, first.cell)
