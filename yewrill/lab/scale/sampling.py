"""Processor time, memory and wake-ups of processes, and the machine's idle time, read from /proc."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

# With a smaller share of idle time, measurements show the machine's load rather than the fleet's cost.
MIN_IDLE_SHARE = 0.10


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """Counters of one process: processor time and wake-ups since it started, and its memory now."""

    at: float
    cpu_s: float
    resident_mb: float
    proportional_mb: float
    private_mb: float
    wakeups: int


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Resource use of one process between two samples."""

    core: float  # processor time used, as a fraction of one core
    resident_mb: float
    proportional_mb: float
    private_mb: float
    wakeups_per_s: float


def sample_process(pid: int) -> ProcessSample:
    """Samples one process. Raises OSError if it has ended."""
    root = Path(f"/proc/{pid}")
    nanoseconds = switches = 0
    for thread in (root / "task").iterdir():
        nanoseconds += int((thread / "schedstat").read_text().split()[0])
        for line in (thread / "status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches:"):
                switches += int(line.split()[1])
    kilobytes = {}
    for line in (root / "smaps_rollup").read_text().splitlines():
        words = line.split()
        if len(words) == 3 and words[2] == "kB":
            kilobytes[words[0]] = int(words[1])
    private = kilobytes["Private_Clean:"] + kilobytes["Private_Dirty:"]
    return ProcessSample(
        time.monotonic(),
        nanoseconds / 1e9,
        kilobytes["Rss:"] / 1024,
        kilobytes["Pss:"] / 1024,
        private / 1024,
        switches,
    )


def cost_between(first: ProcessSample, last: ProcessSample) -> ProcessCost:
    """Returns a process's resource use between two samples; memory is that of the last."""
    seconds = last.at - first.at
    return ProcessCost(
        (last.cpu_s - first.cpu_s) / seconds,
        last.resident_mb,
        last.proportional_mb,
        last.private_mb,
        (last.wakeups - first.wakeups) / seconds,
    )


def machine_ticks() -> tuple[int, int]:
    """Returns the machine's idle clock ticks and all its clock ticks since boot."""
    ticks = [int(word) for word in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]]
    return ticks[3] + ticks[4], sum(ticks)


def idle_share(first: tuple[int, int], last: tuple[int, int]) -> float:
    """Returns the fraction of idle time between two results of `machine_ticks`."""
    return (last[0] - first[0]) / max(1, last[1] - first[1])
