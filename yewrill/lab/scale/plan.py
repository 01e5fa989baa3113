"""The size that is planned for, the budgets that hold there, and what a machine may be asked to run."""

from __future__ import annotations

from dataclasses import dataclass

WORKERS = 680
TEAMS = 120
ZONES = 11
REGIONS = 3
STARTS_PER_S = 360.0
RUNNING = 2100
GANG = 64
URGENT_S = 1.2  # until urgent work starts, from when it was due
CHANGES_PER_DAY = 540  # of configuration
CHANGE_IN_FORCE_S = 8.0
SIZES = (6, 12, 24, 60, 120, 200)  # dispatchers
PAGE_SIZES = (22, 60, 200)  # dispatchers at which the page tells values: 22 is two a zone

# For control, a dispatcher
BUDGET_CORE = 0.011
BUDGET_MEMORY_MB = 32.0
BUDGET_BYTES_PER_S = 6000.0  # on the wire, headers of IP and UDP included
BUDGET_BYTES_AT_REST = BUDGET_BYTES_PER_S / 2

MOST_PROCESSES = 300
HOLLOW_PER_PROCESS = 50
REAL_MB, HOLLOW_PROCESS_MB, HOLLOW_MB = 45.0, 40.0, 4.0  # what one takes, estimated high


class TooLarge(ValueError):
    """A fleet that this machine is not to be asked for; the text says why."""


@dataclass(frozen=True, slots=True)
class Mix:
    """How many real dispatchers, and how many hollow ones beside them."""

    real: int
    hollow: int

    @property
    def dispatchers(self) -> int:
        """All of them."""
        return self.real + self.hollow

    @property
    def processes(self) -> int:
        """Processes that they take."""
        return self.real + -(-self.hollow // HOLLOW_PER_PROCESS)

    @property
    def memory_mb(self) -> float:
        """Memory that they take, estimated high."""
        hosts = self.processes - self.real
        return self.real * REAL_MB + hosts * HOLLOW_PROCESS_MB + self.hollow * HOLLOW_MB


def machine_memory_mb() -> float:
    """The machine's memory."""
    with open("/proc/meminfo") as lines:
        total = next(line for line in lines if line.startswith("MemTotal:"))
    return int(total.split()[1]) / 1024


def check(mix: Mix, memory_mb: float) -> None:
    """Raise TooLarge for more processes than `MOST_PROCESSES`, or over half of the machine's memory."""
    if mix.processes > MOST_PROCESSES:
        raise TooLarge(f"{mix.processes} processes are asked for, {MOST_PROCESSES} are allowed")
    if mix.memory_mb > memory_mb / 2:
        raise TooLarge(
            f"{mix.memory_mb:.0f} MB are needed, half of the machine's {memory_mb:.0f} MB are allowed"
        )
