"""Worker state estimate: free slots, speed, errors, warm-up and silence, from what its attempts show.

Knows no other worker; what holds of all together comes from the `FleetEstimate`. Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yewrill.policy.ejection import Ejection
from yewrill.policy.fleet_estimate import LONG_AGO, FleetEstimate, MachineKind
from yewrill.policy.slow_start import BUDGET_USED, SlowStart

if TYPE_CHECKING:
    from yewrill.policy.requests import Attempt

REPORT_LAG_MS = 200.0  # sends younger than this are taken not to be in a worker's report yet
NEW_REPORT_WEIGHT = 0.6  # against what is known of all workers
MIN_REPORT_FADE_MS = 200.0  # until a report counts no more, where run times are short
START_OVERDUE_MS = 60.0  # a start notice later than this means that the request waits at the worker
KEYS_PER_SLOT = 1.0  # keys that a worker is thought to keep
ERROR_FADE_MS = 4000.0  # half-life of the error rate
CONFIRMING_RUN_TIMES = 8.0  # more than these make a worker's run time ratio no surer
FAILURES_OF_RESTART = 3  # so many in a row, refused connections among them: it has started anew


@dataclass(eq=False, slots=True)
class WorkerEstimate:
    """What is believed of one worker, and the attempts of ours that it has not started."""

    name: str
    kind: MachineKind
    kind_index: int
    launched: float
    fleet: FleetEstimate
    # Most slots of it that we fill: lost requests of a restarted dispatcher may still run there.
    max_inflight_slots: float
    zone: int = 0
    cell: int = 0
    usable: bool = False
    listed: bool = False
    slow_start: SlowStart = field(default_factory=SlowStart)
    ejection: Ejection = field(default_factory=Ejection)
    # Slots held by our attempts, lost ones included for their expected time.
    inflight_slots: float = 0.0
    free_slots: float = 0.0  # by its last report, less what was sent since
    free_slots_at: float = LONG_AGO
    running_slots: float = 0.0  # of our attempts whose start was reported
    # Attempts not known to run, in the order of their sends.
    unstarted: list[Attempt] = field(default_factory=list)
    waiting_since: float = 0.0
    run_time_ratio: float = 1.0  # run times here over the class's mean
    run_times_seen: float = 0.0
    error_rate: float = 0.0
    error_rate_at: float = 0.0
    probe_pending: bool = False
    last_sent_at: float = LONG_AGO
    last_report: tuple[float, ...] = ()
    # The part of it that is this dispatcher's; 0: others have it, and we only what they leave.
    capacity_fraction: float = 1.0
    name_hash: int = 0
    recent_keys: dict[str, None] = field(default_factory=dict)  # of our last requests, latest last
    reattached_at: float = -1.0  # since when it has been back from operators without a sign of life

    # -- free slots

    def start_overdue(self) -> float:
        """How long the first unstarted attempt has waited; 0 if no longer than its start notice may take."""
        waited = self.fleet.now - self.waiting_since
        allowed = START_OVERDUE_MS + self.fleet.zone_delay(self.zone)
        return waited if waited > allowed else 0.0

    def estimated_free_slots(self) -> float:
        """Free slots it is thought to have: its last report, fading into its kind's average."""
        fleet, kind, now = self.fleet, self.kind, self.fleet.now
        # Without a fresh report, what we have there ourselves against what we have on its peers tells most.
        even = kind.inflight_slots / (kind.worker_count if kind.worker_count > 1 else 1)
        if fleet.without_load_reports:
            # One slot more than is known of is tried: only so is a larger worker learned of.
            free = max(1.0, kind.free_slots) + even - self.inflight_slots
        else:
            # Reports average what was true seconds ago: our even part of it is ours all the same.
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
        """A start notice is missing past a round trip: the worker is full, or takes requests and does
        nothing."""
        fleet, kind = self.fleet, self.kind
        # Only while attempts are being lost in silence may one more request go there, to tell which it is.
        running = self.running_slots * fleet.settings.dispatchers
        if (
            len(self.unstarted) > 1
            or fleet.now > fleet.silent_losses_until
            or running > 0.5 * kind.slots
        ):
            free = min(free, 0.0) - len(self.unstarted)
            # As a rejection tells; a wide request may not fit where a narrow one would.
            if self.unstarted[0].request.slots_needed <= 1.0 <= self.running_slots:
                self.max_inflight_slots = min(self.max_inflight_slots, self.running_slots + 1.0)
        return free

    def expected_wait(self, spare: float) -> float:
        """How long a request would wait here, with so many slots to spare after it (negative: short of
        them)."""
        wait = (
            self.fleet.residual_run_time
            / self.kind.slots
            * (0.5 - spare if spare < 0 else 0.5 / (1.0 + spare))
        )
        return wait + self.start_overdue() if self.unstarted else wait

    def apply_report(self, report: dict[str, float]) -> None:
        """Take a load report. The same one again is no news: what was sent and ended since then counts."""
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
        """Free slots by a report (negative: requests that wait), None if it does not tell; learns the kind's
        slots from it."""
        kind = self.kind
        free = report.get(self.fleet.settings.free_slots_field)
        inflight = report.get("inflight")
        if free is not None:
            if inflight is None:
                kind.slots += 0.3 * max(0.0, free - kind.slots)
            elif free < 0.5:
                free = min(0.0, kind.slots - inflight)  # the requests that wait
            else:
                kind.slots += 0.1 * (
                    free + inflight - kind.slots
                )  # of one moment: right, up or down
            return free
        if inflight is not None:
            return kind.slots - inflight
        if "util" in report:
            return kind.slots * (1.0 - report["util"])
        return None

    def record_key(self, key: str) -> None:
        """A request of this key goes there, and pushes out the key that was asked for the longest time
        ago."""
        self.recent_keys.pop(key, None)
        self.recent_keys[key] = None
        if len(self.recent_keys) > KEYS_PER_SLOT * self.kind.slots:
            del self.recent_keys[next(iter(self.recent_keys))]

    # -- speed and errors

    def run_time_factor(self) -> float:
        """Run time here over the class's mean: its own, leaning on its kind's while little is seen."""
        seen = self.run_times_seen
        return (seen * self.run_time_ratio + 4.0 * self.kind.run_time_ratio) / (seen + 4.0)

    def record_run_time(self, ratio: float, known: bool) -> None:
        """A request was served, in so many times its expected run time; `known`: which was more than a
        guess."""
        kind = self.kind
        if known:  # against a guess, every worker looks slow
            kind.run_time_ratio += 0.02 * (ratio - kind.run_time_ratio)
            seen = min(CONFIRMING_RUN_TIMES, self.run_times_seen + 1.0)
            self.run_time_ratio += (ratio - self.run_time_ratio) / seen
            self.run_times_seen = seen
        if self.error_rate:
            self.error_rate *= 0.8
        if self.max_inflight_slots < kind.slots + 2.0:
            self.max_inflight_slots = min(self.max_inflight_slots + 0.25, kind.slots + 2.0)

    def excess_error_rate(self) -> float:
        """Errors beyond what all workers show, fading so that a few requests try it again."""
        fade = 0.5 ** ((self.fleet.now - self.error_rate_at) / ERROR_FADE_MS)
        return max(0.0, self.error_rate * fade - 2.0 * self.fleet.error_rate)

    def record_error(self) -> None:
        """It answered a request with an error."""
        self.error_rate = 0.4 + 0.6 * self.excess_error_rate()
        self.error_rate_at = self.fleet.now
        self.fleet.record_error()

    # -- slow start

    @property
    def warming_up(self) -> bool:
        """Whether it is in its slow start."""
        return self.slow_start.started_at >= 0

    def begin_slow_start(self, started_at: float) -> None:
        """It started at this time: it is warming up, unless that is long ago, and keeps nothing of any
        key."""
        fleet = self.fleet
        self.recent_keys.clear()
        if fleet.now - started_at < fleet.settings.warm_after:
            # Each dispatcher's part of the budget is often below one request: a random start of its account
            # lets the right number of dispatchers go first, without their agreeing.
            longest = max(spec.deadline for spec in fleet.settings.classes)
            self.slow_start.begin(fleet.now, started_at, fleet.rng.random() * longest)

    def warm_up_progress(self) -> float:
        """The part of its capacity it has at least; 1 ends its slow start."""
        return self.slow_start.progress(self.fleet.now, self.fleet.settings)

    def has_slow_start_budget(self, work: float, progress: float) -> bool:
        """Whether this dispatcher's part of its slow start budget has room for so much work."""
        fleet = self.fleet
        rate = fleet.settings.slow_start_multiple * progress * self.kind.slots
        rate = rate * BUDGET_USED * self.capacity_fraction
        return self.slow_start.has_budget(fleet.now, fleet.settings, work, rate)

    # -- signs of life and their absence

    def record_rejection(self, run_time: float) -> None:
        """It sent a request back unstarted: no more of ours fit than are there now."""
        now = self.fleet.now
        self.max_inflight_slots = max(1.0, self.inflight_slots)
        self.free_slots = min(self.free_slots, 0.0)
        self.free_slots_at = now
        self.ejection.record_rejection(now, run_time / self.kind.slots)

    def record_loss(self, refused: bool = False) -> None:
        """An attempt there was lost, or its connection refused."""
        self.ejection.record_failure(self.fleet.now, self.fleet.rng, refused)

    def mark_alive(self) -> None:
        """It gave a sign of life: its ejection ends, and it warms up if it seems to have started anew."""
        ejection = self.ejection
        ejection.rejections = 0
        if ejection.failures:
            if ejection.connection_refused and ejection.failures >= FAILURES_OF_RESTART:
                self.begin_slow_start(self.fleet.now)
            ejection.end(self.fleet.now)

    def mark_restarted(self, launched: float) -> None:
        """The list tells another start of it."""
        self.launched = launched
        self.begin_slow_start(launched)
        self.free_slots_at = LONG_AGO
        self.ejection.until = 0.0
        self.ejection.failures = 0

    def mark_reattached(self, since: float) -> None:
        """Back from operators' hands, most likely as another process: nothing learned of it holds."""
        self.ejection.until = self.error_rate = self.run_times_seen = 0.0
        self.ejection.forget_failures()
        self.run_time_ratio = 1.0
        self.max_inflight_slots = self.kind.slots + 1.0
        self.free_slots_at = LONG_AGO
        self.begin_slow_start(since)
        self.reattached_at = self.fleet.now
