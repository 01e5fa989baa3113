"""What processes cost, read from /proc: processor time, memory, wake-ups; whether the machine is starved."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

LEAST_IDLE = 0.10  # of the machine: below it what is measured is the machine's load


@dataclass(frozen=True, slots=True)
class Sample:
    """Of one process, since it started: seconds of processor, MB now, wake-ups."""

    at: float
    cpu_s: float
    resident_mb: float
    proportional_mb: float
    private_mb: float
    wakeups: int


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one process over a span."""

    core: float  # share of one
    resident_mb: float
    proportional_mb: float
    private_mb: float
    wakeups_per_s: float


def sample(pid: int) -> Sample:
    """Read one process. Raises OSError when it has gone."""
    root = Path(f"/proc/{pid}")
    nanoseconds = switches = 0
    for task in (root / "task").iterdir():
        nanoseconds += int((task / "schedstat").read_text().split()[0])
        for line in (task / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches:"):
                switches += int(line.split()[1])
    kilobytes = {}
    for line in (root / "smaps_rollup").read_text().splitlines():
        words = line.split()
        if len(words) == 3 and words[2] == "kB":
            kilobytes[words[0]] = int(words[1])
    private = kilobytes["Private_Clean:"] + kilobytes["Private_Dirty:"]
    return Sample(
        time.monotonic(),
        nanoseconds / 1e9,
        kilobytes["Rss:"] / 1024,
        kilobytes["Pss:"] / 1024,
        private / 1024,
        switches,
    )


def cost(first: Sample, last: Sample) -> Cost:
    """What a process cost between two samples; memory as it is at the last."""
    span = last.at - first.at
    return Cost(
        (last.cpu_s - first.cpu_s) / span,
        last.resident_mb,
        last.proportional_mb,
        last.private_mb,
        (last.wakeups - first.wakeups) / span,
    )


def machine_times() -> tuple[int, int]:
    """Ticks that the machine was idle, and all ticks, since it started."""
    ticks = [int(word) for word in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]]
    return ticks[3] + ticks[4], sum(ticks)


def idle_share(first: tuple[int, int], last: tuple[int, int]) -> float:
    """The part of a span in which the machine had nothing to do."""
    return (last[0] - first[0]) / max(1, last[1] - first[1])
