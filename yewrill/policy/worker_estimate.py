"""Estimate of one worker's state: free slots, speed, error rate, slow start and ejection.

Averages over other workers come from the `FleetEstimate`. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yewrill.policy.ejection import Ejection
from yewrill.policy.fleet_estimate import LONG_AGO, FleetEstimate, MachineKind
from yewrill.policy.slow_start import BUDGET_FRACTION_USED, SlowStart

if TYPE_CHECKING:
    from yewrill.policy.requests import Attempt

# Requests sent less than this time before a load report are not counted in that report.
REPORT_LAG_MS = 200.0
NEW_REPORT_WEIGHT = 0.6  # weight of a new load report against the average of the machine kind
MIN_REPORT_FADE_MS = 200.0  # least age at which a load report has no weight any more
# An attempt whose start was not reported within this time is presumed to wait at its worker.
START_OVERDUE_MS = 60.0
KEYS_PER_SLOT = 1.0  # number of keys per slot that a worker is assumed to cache
ERROR_HALF_LIFE_MS = 4000.0  # half-life of the error rate
MAX_RATIO_SAMPLES = 8.0  # number of run times over which the run time ratio is averaged
# Number of consecutive failures, one of them a refused connection, after which a restart of the worker is
# presumed.
RESTART_FAILURES = 3


@dataclass(eq=False, slots=True)
class WorkerEstimate:
    """Estimated state of one worker, and the attempts of this dispatcher that it has not started."""

    name: str
    kind: MachineKind
    kind_index: int
    launched: float
    fleet: FleetEstimate
    # Upper limit of `inflight_slots`. It may be lower than the worker's number of slots: lost requests of a
    # restarted dispatcher may still run at the worker.
    max_inflight_slots: float
    zone: int = 0
    cell: int = 0
    usable: bool = False
    listed: bool = False
    slow_start: SlowStart = field(default_factory=SlowStart)
    ejection: Ejection = field(default_factory=Ejection)
    # Slots held by this dispatcher's attempts; a lost attempt holds its slots for its expected run time.
    inflight_slots: float = 0.0
    # Free slots by the worker's last load report, less the slots of attempts sent since that report.
    free_slots: float = 0.0
    free_slots_at: float = LONG_AGO
    running_slots: float = 0.0  # slots held by attempts whose start was reported
    # Attempts whose start was not reported, in the order of sending.
    unstarted: list[Attempt] = field(default_factory=list)
    waiting_since: float = 0.0
    run_time_ratio: float = 1.0  # ratio of this worker's run times to the mean of the class
    run_times_seen: float = 0.0
    error_rate: float = 0.0
    error_rate_at: float = 0.0
    probe_pending: bool = False
    last_sent_at: float = LONG_AGO
    last_report: tuple[float, ...] = ()
    # Fraction of the worker's capacity that this dispatcher may count on. It is 0 for a worker outside of the
    # dispatcher's subset: only its spare slots are used.
    capacity_fraction: float = 1.0
    name_hash: int = 0
    # Affinity keys of the last requests sent to the worker, most recent last.
    recent_keys: dict[str, None] = field(default_factory=dict)
    # Time at which the worker was reattached; -1 once it has started or served a request since then.
    reattached_at: float = -1.0

    # -- free slots

    def start_overdue(self) -> float:
        """Returns how long the first unstarted attempt has waited, or 0 if its start may yet be reported."""
        waited = self.fleet.now - self.waiting_since
        allowed = START_OVERDUE_MS + self.fleet.zone_delay(self.zone)
        return waited if waited > allowed else 0.0

    def estimated_free_slots(self) -> float:
        """Returns the worker's estimated free slots.

        The estimate is a weighted mean of its last load report, whose weight decreases with its age, and of
        the average of its machine kind."""
        fleet, kind, now = self.fleet, self.kind, self.fleet.now
        # Without a recent report, the best indication is the number of slots that this dispatcher has in
        # flight at this worker, compared with the average at workers of the same kind.
        even = kind.inflight_slots / (kind.worker_count if kind.worker_count > 1 else 1)
        if fleet.without_load_reports:
            # One slot more than is known is tried, as otherwise the estimate could never grow.
            free = max(1.0, kind.free_slots) + even - self.inflight_slots
        else:
            # The average of the reports may be seconds old, so this dispatcher may always use its even part
            # of the slots.
            free = max(kind.free_slots + even, kind.slots * self.capacity_fraction)
            free -= self.inflight_slots
        age = now - self.free_slots_at
        fade = (
            fleet.run_time_quantile
            if fleet.run_time_quantile > MIN_REPORT_FADE_MS
            else MIN_REPORT_FADE_MS
        )
        if age < fade:
            weight = NEW_REPORT_WEIGHT * (1.0 - age / fade)
            free = weight * self.free_slots + (1.0 - weight) * free
        limit = self.max_inflight_slots - self.inflight_slots
        free = min(free, limit)
        if self.unstarted and fleet.settings.reports_start and self.start_overdue():
            free = self._free_slots_while_overdue(free)
        return free

    def _free_slots_while_overdue(self, free: float) -> float:
        """Lowers the estimate for an overdue start: the worker is full, or accepts requests and stalls."""
        fleet, kind = self.fleet, self.kind
        # Only while attempts are getting lost without notice may one more request go to this worker: whether
        # that one starts shows whether the worker is full or has lost the first one.
        running = self.running_slots * fleet.settings.dispatchers
        if (
            len(self.unstarted) > 1
            or fleet.now > fleet.silent_losses_until
            or running > 0.5 * kind.slots
        ):
            free = min(free, 0.0) - len(self.unstarted)
            # As after a rejection, the limit of slots in flight is lowered. This holds only if the waiting
            # request needs a single slot: a wide request may have to wait although some slots are free.
            if self.unstarted[0].request.slots_needed <= 1.0 <= self.running_slots:
                self.max_inflight_slots = min(self.max_inflight_slots, self.running_slots + 1.0)
        return free

    def expected_wait(self, spare: float) -> float:
        """Returns the expected wait of a request at this worker.

        `spare` is the number of free slots left while the request runs; negative if slots are missing."""
        wait = (
            self.fleet.residual_run_time
            / self.kind.slots
            * (0.5 - spare if spare < 0 else 0.5 / (1.0 + spare))
        )
        return wait + self.start_overdue() if self.unstarted else wait

    def apply_report(self, report: dict[str, float]) -> None:
        """Applies a load report. A repeated report is ignored, as it does not reflect later attempts."""
        values = tuple(report.values())
        if values == self.last_report:
            return
        self.last_report = values
        free = self._reported_free_slots(report)
        if free is None:
            return
        fleet, kind = self.fleet, self.kind
        fleet.last_report_at = self.free_slots_at = fleet.now
        kind.free_slots += 0.2 * (free - kind.free_slots)
        self.max_inflight_slots = max(self.max_inflight_slots, free + self.inflight_slots)
        sent_lately = fleet.now - self.last_sent_at < REPORT_LAG_MS
        self.free_slots = free - 1.0 if sent_lately else free

    def _reported_free_slots(self, report: dict[str, float]) -> float | None:
        """Returns a report's free slots (negative: number of waiting requests), None if it tells none.

        Also updates the estimated slots of the machine kind."""
        kind = self.kind
        free = report.get(self.fleet.settings.free_slots_field)
        inflight = report.get("inflight")
        if free is not None:
            if inflight is None:
                kind.slots += 0.3 * max(0.0, free - kind.slots)
            elif free < 0.5:
                # The worker is full: the result is minus the number of requests that wait at it.
                free = min(0.0, kind.slots - inflight)
            else:
                # Both values are of the same instant, so the estimate follows their sum up and down.
                kind.slots += 0.1 * (free + inflight - kind.slots)
            return free
        if inflight is not None:
            return kind.slots - inflight
        if "util" in report:
            return kind.slots * (1.0 - report["util"])
        return None

    def record_key(self, key: str) -> None:
        """Records that a request with this key is sent to the worker; may drop the least recently used."""
        self.recent_keys.pop(key, None)
        self.recent_keys[key] = None
        if len(self.recent_keys) > KEYS_PER_SLOT * self.kind.slots:
            del self.recent_keys[next(iter(self.recent_keys))]

    # -- speed and errors

    def run_time_factor(self) -> float:
        """Returns the ratio of run times to the class mean; with few samples mostly its kind's average."""
        seen = self.run_times_seen
        return (seen * self.run_time_ratio + 4.0 * self.kind.run_time_ratio) / (seen + 4.0)

    def record_run_time(self, ratio: float, known: bool) -> None:
        """Records a served request by the ratio of its run time to the expected one.

        `known` tells whether the expected run time was based on measurements."""
        kind = self.kind
        if known:  # against an initial estimate, every worker would seem slow
            kind.run_time_ratio += 0.02 * (ratio - kind.run_time_ratio)
            seen = min(MAX_RATIO_SAMPLES, self.run_times_seen + 1.0)
            self.run_time_ratio += (ratio - self.run_time_ratio) / seen
            self.run_times_seen = seen
        if self.error_rate:
            self.error_rate *= 0.8
        if self.max_inflight_slots < kind.slots + 2.0:
            self.max_inflight_slots = min(self.max_inflight_slots + 0.25, kind.slots + 2.0)

    def excess_error_rate(self) -> float:
        """Returns the error rate in excess of the fleet's; it decays, so that the worker is tried again."""
        fade = 0.5 ** ((self.fleet.now - self.error_rate_at) / ERROR_HALF_LIFE_MS)
        return max(0.0, self.error_rate * fade - 2.0 * self.fleet.error_rate)

    def record_error(self) -> None:
        """Records an error answer."""
        self.error_rate = 0.4 + 0.6 * self.excess_error_rate()
        self.error_rate_at = self.fleet.now
        self.fleet.record_error()

    # -- slow start

    @property
    def warming_up(self) -> bool:
        """Whether the worker is in its slow start."""
        return self.slow_start.started_at >= 0

    def begin_slow_start(self, started_at: float) -> None:
        """Clears the recent keys and begins a slow start, unless the worker started long ago."""
        fleet = self.fleet
        self.recent_keys.clear()
        if fleet.now - started_at < fleet.settings.warm_after:
            # A dispatcher's part of the budget is often less than one request. A random initial credit lets
            # the right number of dispatchers send a request first, without coordination.
            longest = max(spec.deadline for spec in fleet.settings.classes)
            self.slow_start.begin(fleet.now, started_at, fleet.rng.random() * longest)

    def warm_up_progress(self) -> float:
        """Returns the least fraction of its capacity that the worker has now; at 1 the slow start ends."""
        return self.slow_start.progress(self.fleet.now, self.fleet.settings)

    def has_slow_start_budget(self, work: float, progress: float) -> bool:
        """Returns whether `work` fits in this dispatcher's part of the worker's slow start budget."""
        fleet = self.fleet
        rate = fleet.settings.slow_start_multiple * progress * self.kind.slots
        rate = rate * BUDGET_FRACTION_USED * self.capacity_fraction
        return self.slow_start.has_budget(fleet.now, fleet.settings, work, rate)

    # -- failures, restarts and recovery

    def record_rejection(self, run_time: float) -> None:
        """Records that the worker returned a request unstarted: all its available slots are in flight now."""
        now = self.fleet.now
        self.max_inflight_slots = max(1.0, self.inflight_slots)
        self.free_slots = min(self.free_slots, 0.0)
        self.free_slots_at = now
        self.ejection.record_rejection(now, run_time / self.kind.slots)

    def record_loss(self, refused: bool = False) -> None:
        """Records a lost attempt or a refused connection."""
        self.ejection.record_failure(self.fleet.now, self.fleet.rng, refused)

    def mark_alive(self) -> None:
        """Records that the worker started or served a request: its ejection ends.

        After failures that suggest a restart, its slow start begins."""
        ejection = self.ejection
        ejection.rejections = 0
        if ejection.failures:
            if ejection.connection_refused and ejection.failures >= RESTART_FAILURES:
                self.begin_slow_start(self.fleet.now)
            ejection.end(self.fleet.now)

    def mark_restarted(self, launched: float) -> None:
        """Records a new start time from the endpoint list."""
        self.launched = launched
        self.begin_slow_start(launched)
        self.free_slots_at = LONG_AGO
        self.ejection.until = 0.0
        self.ejection.failures = 0

    def mark_reattached(self, since: float) -> None:
        """Resets the estimates of a reattached worker, which is most likely a new process."""
        self.ejection.until = self.error_rate = self.run_times_seen = 0.0
        self.ejection.forget_failures()
        self.run_time_ratio = 1.0
        self.max_inflight_slots = self.kind.slots + 1.0
        self.free_slots_at = LONG_AGO
        self.begin_slow_start(since)
        self.reattached_at = self.fleet.now
