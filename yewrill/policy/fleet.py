"""Workers of the endpoint list, grouped by machine kind, zone and subset."""

from __future__ import annotations

import random
from collections.abc import Mapping

from yewrill.policy import interface as api
from yewrill.policy import rendezvous_hashing as rendezvous
from yewrill.policy.fleet_estimate import FleetEstimate
from yewrill.policy.subset import MIN_SUBSET_SIZE, SUBSETS_PER_WORKER, worker_subset
from yewrill.policy.worker_estimate import WorkerEstimate

# Number of preferred workers added to the candidates for a request with a key.
PREFERRED_WORKERS = 4
MAX_CACHED_KEYS = 4096  # number of keys whose preferred workers are cached
ANY_KIND = -1
# Module-level aliases: accessing a member through its enum class costs a function call in Python 3.11.
_CHANGES = api.ListForm.CHANGES
_RUNNING = api.WorkerState.RUNNING
_REMOVED = api.WorkerState.REMOVED


class Fleet:
    """All known workers by name, and the usable ones in groups by machine kind (including `ANY_KIND`)."""

    def __init__(self, settings: api.Settings, seed: int, rng: random.Random):
        self.estimate = FleetEstimate(settings, rng)
        # Position of this dispatcher's subset in the ring, used if the settings give no index of the
        # dispatcher.
        self.ring_position = random.Random(seed).random()
        self.workers: dict[str, WorkerEstimate] = {}
        kinds = sorted({spec.kind for spec in settings.classes})
        # `near`: usable workers of this zone, or of all zones where crossing zones costs nothing; `far`: the
        # others. `subset`: the near workers that this dispatcher uses first; `rest`: the other near ones.
        self.near, self.far, self.subset, self.rest = (
            {kind: list[WorkerEstimate]() for kind in kinds} for _ in range(4)
        )
        # Reattached workers that have not started or served a request since they were reattached.
        self.reattached: list[WorkerEstimate] = []
        # Fraction, by zone, of its normal new requests that the zone plan gives to a zone.
        self.zone_weights: Mapping[int, float] = {}
        # Preferred workers by machine kind and key; cleared whenever the groups change.
        self._preferred_by_key: dict[tuple[int, str], list[WorkerEstimate]] = {}

    def hold_slots(self, worker: WorkerEstimate, slots: float) -> None:
        """Adds to the slots that this dispatcher's attempts hold at a worker (negative: releases slots)."""
        worker.inflight_slots += slots
        worker.kind.inflight_slots += slots
        self.estimate.inflight_slots += slots

    def preferred_workers(self, key: str, kind: int) -> list[WorkerEstimate]:
        """Returns the preferred workers for a key, the same at all dispatchers that know the same workers."""
        found = self._preferred_by_key.get((kind, key))
        if found is None:
            if len(self._preferred_by_key) >= MAX_CACHED_KEYS:
                self._preferred_by_key.clear()
            found = rendezvous.top_nodes(
                key, self.subset[kind] + self.far[kind], PREFERRED_WORKERS, lambda w: w.name_hash
            )
            self._preferred_by_key[kind, key] = found
        return found

    def mark_alive(self, worker: WorkerEstimate) -> None:
        """Records that a worker has started or served a request."""
        if worker.reattached_at >= 0:
            worker.reattached_at = -1.0
            self.reattached.remove(worker)
        worker.mark_alive()

    def mark_reattached(self, worker: WorkerEstimate, since: float) -> None:
        """Records that an operator has reattached a worker that had been detached."""
        if worker.reattached_at < 0:
            self.reattached.append(worker)
        worker.mark_reattached(since)

    def slots_by_zone(self) -> dict[int, float]:
        """Returns the estimated slots of the usable workers by zone."""
        slots: dict[int, float] = {}
        for worker in self.workers.values():
            if worker.usable:
                slots[worker.zone] = slots.get(worker.zone, 0.0) + worker.kind.slots
        return slots

    def stuck_attempts(self, now: float, after: float) -> dict[int, int]:
        """Returns the number of unstarted attempts at stalled workers by zone.

        A worker is stalled if it runs none of this dispatcher's requests and has started none of those
        waiting for longer than `after` milliseconds."""
        found: dict[int, int] = {}
        for worker in self.workers.values():
            waited = now - worker.waiting_since
            if worker.unstarted and worker.running_slots <= 0.0 and waited > after:
                found[worker.zone] = found.get(worker.zone, 0) + len(worker.unstarted)
        return found

    # -- the endpoint list

    def apply_list(self, event: api.WorkerList) -> None:
        """Applies changed entries or a whole list."""
        if event.form != _CHANGES:
            for worker in self.workers.values():
                worker.listed = False
        for entry in event.entries:
            self._apply_entry(entry)
        for worker in self.workers.values():
            worker.usable = worker.usable and worker.listed
        self.regroup()

    def _apply_entry(self, entry: api.WorkerEntry) -> None:
        worker = self.workers.get(entry.worker) or self._add(entry)
        if entry.launched != worker.launched:
            worker.mark_restarted(entry.launched)
        worker.zone, worker.cell = entry.zone, entry.cell
        worker.listed = entry.state != _REMOVED
        worker.usable = entry.state == _RUNNING

    def _add(self, entry: api.WorkerEntry) -> WorkerEstimate:
        kinds = self.estimate.kinds
        kind = kinds[entry.kind] if entry.kind < len(kinds) else kinds[0]
        worker = self.workers[entry.worker] = WorkerEstimate(
            name=entry.worker,
            kind=kind,
            kind_index=entry.kind,
            launched=min(0.0, entry.launched),
            fleet=self.estimate,
            max_inflight_slots=kind.slots + 1.0,
            name_hash=rendezvous.hash_name(entry.worker),
        )
        return worker

    def regroup(self) -> None:
        """Rebuilds the groups and counts the usable workers of each machine kind."""
        settings = self.estimate.settings
        for kind in self.estimate.kinds:
            kind.worker_count = 0
        for kind_index in {spec.kind for spec in settings.classes} | set(self.near):
            self.near[kind_index] = []
            self.far[kind_index] = []
        self._preferred_by_key.clear()
        zone_crossing_is_free = settings.fees.get("cross_zone", 0.0) <= 0
        for worker in self.workers.values():
            if worker.usable:
                worker.kind.worker_count += self.zone_weights.get(worker.zone, 1.0)
                is_near = zone_crossing_is_free or worker.zone == settings.zone
                side = self.near if is_near else self.far
                for kind_index in (ANY_KIND, worker.kind_index):
                    if kind_index in side:
                        side[kind_index].append(worker)
        self._assign_subset()

    def _assign_subset(self) -> None:
        """Divides the near workers into this dispatcher's subset and the rest."""
        settings = self.estimate.settings
        dispatchers = settings.dispatchers
        for worker in self.workers.values():
            # This value is for far workers; that of near workers is replaced below.
            worker.capacity_fraction = 1.0 / dispatchers
        for kind, side in self.near.items():
            if len(side) > MIN_SUBSET_SIZE and dispatchers > SUBSETS_PER_WORKER:
                side.sort(key=lambda worker: worker.name)
            self.subset[kind], self.rest[kind] = worker_subset(
                side, dispatchers, settings.dispatcher_index, self.ring_position
            )
            for worker in self.rest[kind]:
                worker.capacity_fraction = 0.0
            for worker in self.subset[kind]:
                worker.capacity_fraction = len(side) / (dispatchers * len(self.subset[kind]))
