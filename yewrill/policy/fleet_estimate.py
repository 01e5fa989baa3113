"""Fleet-wide estimates: slots by machine kind, run times, error rate, delays to other zones.

They are shared by the `WorkerEstimate`s, which do not refer to each other. Times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from yewrill.policy import interface as api

# The drain time (x in the paper) is this quantile of recent run times, divided by the available slots.
RUN_TIME_QUANTILE = 0.7
# Upper bound of the run time quantile, as a multiple of the longest mean run time of a class.
MAX_QUANTILE_TO_MEAN = 2.0
# After this time without a new load report, free slots are estimated from reported starts.
LOAD_REPORT_EXPIRY_MS = 5000.0
# Estimated slots of a worker before any start is reported. Too low a value delays or rejects the requests of
# the first seconds.
INITIAL_SLOTS = 5.0
# Bound of one measured error, which limits the effect of an outlier.
MAX_ESTIMATION_ERROR_MS = 500.0
LONG_AGO = -1e18


@dataclass(eq=False, slots=True)
class MachineKind:
    """Estimates for a machine kind: averages over its workers, and the slots in flight at all of them."""

    slots: float
    free_slots: float
    run_time_ratio: float = 1.0
    worker_count: float = 0  # usable workers, weighted by the traffic weight of their zone
    inflight_slots: float = 0.0  # slots held by this dispatcher's attempts at workers of the kind


class FleetEstimate:
    """Estimates common to all workers; also gives them the current time, settings and random generator."""

    __slots__ = (
        "error_rate",
        "estimation_error",
        "inflight_slots",
        "kinds",
        "last_report_at",
        "now",
        "residual_run_time",
        "rng",
        "run_time_quantile",
        "run_time_square_sum",
        "run_time_sum",
        "settings",
        "silent_losses_until",
        "unstarted_slots",
        "without_load_reports",
        "zone_delays",
    )

    def __init__(self, settings: api.Settings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.now = 0.0
        self.last_report_at = LONG_AGO  # when a changed load report was last received
        # Whether slots are estimated from reported starts alone, because there are no recent load reports.
        self.without_load_reports = settings.reports_start
        initial = INITIAL_SLOTS if self.without_load_reports else 1.0
        self.kinds = [MachineKind(initial, initial) for _ in range(settings.kinds)]
        self.inflight_slots = 0.0  # slots held by this dispatcher's attempts
        # Those of `inflight_slots` held by attempts that wait at a worker.
        self.unstarted_slots = 0.0
        self.run_time_quantile = 0.0  # recent run times' quantile of rank RUN_TIME_QUANTILE
        self.run_time_sum = self.run_time_square_sum = 0.0
        self.residual_run_time = 0.0  # mean time until a busy slot is free again
        # Least delay from a send to the reported start, by zone, for zones other than the dispatcher's own.
        self.zone_delays: dict[int, float] = {}
        # Mean difference between the measured and the expected waiting time at workers.
        self.estimation_error = 0.0
        self.error_rate = 0.0  # fraction of answered attempts that were errors, as a moving average
        # Time until which unstarted attempts at stalled workers count as lost without notice.
        self.silent_losses_until = -1.0

    def reconfigure(self, settings: api.Settings) -> None:
        """Applies changed settings; new machine kinds start with the estimated slots of the first one."""
        self.settings = settings
        while len(self.kinds) < settings.kinds:
            self.kinds.append(MachineKind(self.kinds[0].slots, self.kinds[0].slots))

    def available_slots(self) -> float:
        """Returns the slots available to this dispatcher: those of its running requests and its idle ones."""
        return max(1.0, self.inflight_slots - self.unstarted_slots + self.idle_slots())

    def idle_slots(self) -> float:
        """Returns this dispatcher's part of the free slots."""
        free = sum(max(0.0, kind.free_slots) * kind.worker_count for kind in self.kinds)
        return free / self.settings.dispatchers

    def update_free_slots(self) -> None:
        """Updates the average free slots of a worker where there are no recent load reports.

        The free slots of a worker are the slots known from reported starts, less those in flight. Each other
        dispatcher is assumed to have as many slots in flight as this one."""
        self.without_load_reports = (
            self.settings.reports_start and self.now - self.last_report_at > LOAD_REPORT_EXPIRY_MS
        )
        for kind in self.kinds if self.without_load_reports else ():
            taken = kind.inflight_slots * self.settings.dispatchers / max(1, kind.worker_count)
            kind.free_slots = max(0.0, kind.slots - taken)

    def drain_time(self) -> float:
        """Returns the drain time (x): an upper quantile of recent run times over the available slots."""
        return self.run_time_quantile / self.available_slots()

    def zone_delay(self, zone: int) -> float:
        """Returns the least time from sending an attempt to a zone to its reported start in a free slot."""
        return self.zone_delays.get(zone, 0.0)

    def record_start(self, zone: int, delay: float, expected_wait: float) -> None:
        """Records a reported start: its delay since the send, and the expected wait at the worker."""
        if zone != self.settings.zone:
            known = self.zone_delays.get(zone, delay)
            # These step sizes converge to the 5th percentile of the delays.
            self.zone_delays[zone] = known + (0.25 if delay > known else -5.0)
        if not self.without_load_reports:
            error = delay - self.zone_delay(zone) - expected_wait
            error = min(MAX_ESTIMATION_ERROR_MS, max(-MAX_ESTIMATION_ERROR_MS, error))
            self.estimation_error += 0.05 * (error - self.estimation_error)

    def record_run_time(self, run_time: float) -> None:
        """Records the run time of a served request."""
        self.error_rate *= 0.99
        if self.run_time_quantile <= 0:
            self.run_time_quantile = run_time
        self.run_time_sum += run_time
        self.run_time_square_sum += run_time * run_time
        self.residual_run_time = (
            self.run_time_square_sum / (2.0 * self.run_time_sum)
            if self.run_time_sum > 0
            else run_time
        )
        if self.run_time_sum > 300.0 * run_time and self.run_time_sum > 0:
            self.run_time_sum *= 0.5
            self.run_time_square_sum *= 0.5
        step = 0.02 * max(1.0, self.run_time_quantile)
        above = run_time > self.run_time_quantile
        self.run_time_quantile += step * (RUN_TIME_QUANTILE if above else RUN_TIME_QUANTILE - 1.0)

    def bound_run_time_quantile(self, longest_mean: float) -> None:
        """Bounds the quantile by the longest mean run time of a class, which falls faster after slow runs."""
        self.run_time_quantile = min(self.run_time_quantile, MAX_QUANTILE_TO_MEAN * longest_mean)

    def record_error(self) -> None:
        """Records an error answer of a worker."""
        self.error_rate += 0.01 * (1.0 - self.error_rate)
