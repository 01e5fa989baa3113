"""The planned size of a deployment, the budgets at that size, and the largest fleet a machine may run."""

from __future__ import annotations

from dataclasses import dataclass

WORKERS = 680
TENANTS = 120
ZONES = 11
REGIONS = 3
JOB_STARTS_PER_S = 360.0
RUNNING_JOBS = 2100
GANG_SIZE = 64
# Limit on the time from when an urgent request is due until it starts.
URGENT_START_LIMIT_S = 1.2
CONFIG_CHANGES_PER_DAY = 540
# Limit on the time until a change of the configuration is in force.
CONFIG_CHANGE_LIMIT_S = 8.0
# Sizes of the measured fleets, in dispatchers.
SIZES = (6, 12, 24, 60, 120, 200)
# Fleet sizes for which the capacity page has values, in dispatchers; 22 is two in each zone.
PAGE_SIZES = (22, 60, 200)

# Budgets for the control plane of one dispatcher.
BUDGET_CORES = 0.011
BUDGET_MEMORY_MB = 32.0
BUDGET_BYTES_PER_S = 6000.0  # bytes sent, including IP and UDP headers
BUDGET_BYTES_PER_S_AT_REST = BUDGET_BYTES_PER_S / 2

MAX_PROCESSES = 300
HOLLOW_PER_PROCESS = 50
# High estimates, so that a fleet that passes `check_limits` doesn't exhaust the machine's memory.
REAL_MB = 45.0
HOLLOW_PROCESS_MB = 40.0
HOLLOW_MB = 4.0


class FleetTooLarge(ValueError):
    """The fleet exceeds the limits of this machine; the text names the limit."""


@dataclass(frozen=True, slots=True)
class FleetMix:
    """Numbers of real and of hollow dispatchers in a fleet."""

    real: int
    hollow: int

    @property
    def dispatchers(self) -> int:
        """Number of all dispatchers, real and hollow."""
        return self.real + self.hollow

    @property
    def processes(self) -> int:
        """Number of processes: one for each real dispatcher, and one for each group of hollow ones."""
        return self.real + -(-self.hollow // HOLLOW_PER_PROCESS)

    @property
    def memory_mb(self) -> float:
        """High estimate of the memory that the processes use, in MB."""
        hosts = self.processes - self.real
        return self.real * REAL_MB + hosts * HOLLOW_PROCESS_MB + self.hollow * HOLLOW_MB


def machine_memory_mb() -> float:
    """Returns the machine's total memory."""
    with open("/proc/meminfo") as lines:
        total = next(line for line in lines if line.startswith("MemTotal:"))
    return int(total.split()[1]) / 1024


def check_limits(mix: FleetMix, memory_mb: float) -> None:
    """Raises FleetTooLarge if a fleet needs more than MAX_PROCESSES, or more than half of the memory."""
    if mix.processes > MAX_PROCESSES:
        raise FleetTooLarge(f"{mix.processes} processes are asked for, {MAX_PROCESSES} are allowed")
    if mix.memory_mb > memory_mb / 2:
        raise FleetTooLarge(
            f"{mix.memory_mb:.0f} MB are needed, half of the machine's {memory_mb:.0f} MB are allowed"
        )
