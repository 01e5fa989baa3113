"""The workers as the endpoint list has them, and which of them this dispatcher uses first."""

from __future__ import annotations

import random
from collections.abc import Mapping

from yewrill.policy import interface as api
from yewrill.policy import rendezvous_hashing as rendezvous
from yewrill.policy.fleet_estimate import FleetEstimate
from yewrill.policy.subset import MIN_SUBSET_SIZE, SHARERS, worker_subset
from yewrill.policy.worker_estimate import WorkerEstimate

HOMES = 4  # workers looked at for a key, besides those that any request looks at
MAX_KEYS = 4096  # keys whose homes are remembered
ANY_KIND = -1
# Members under module names: each access through the class costs a function call in Python 3.11.
_CHANGES = api.ListForm.CHANGES
_RUNNING = api.WorkerState.RUNNING
_REMOVED = api.WorkerState.REMOVED


class Fleet:
    """Workers by name and by group; groups are lists by machine kind, `ANY_KIND` included."""

    def __init__(self, settings: api.Settings, seed: int, rng: random.Random):
        self.estimate = FleetEstimate(settings, rng)
        # Place of our subset in the ring, where the settings give us no number.
        self.ring_position = random.Random(seed).random()
        self.workers: dict[str, WorkerEstimate] = {}
        kinds = sorted({spec.kind for spec in settings.classes})
        # Usable workers in our zone and in others; of the near ones, our subset and the rest.
        self.near, self.far, self.subset, self.rest = (
            {kind: list[WorkerEstimate]() for kind in kinds} for _ in range(4)
        )
        self.reattached: list[WorkerEstimate] = []  # without a sign of life since
        self.zone_weights: Mapping[int, float] = {}  # of new requests, by the fleet's plan
        self._homes: dict[tuple[int, str], list[WorkerEstimate]] = {}  # until the list changes

    def hold_slots(self, worker: WorkerEstimate, slots: float) -> None:
        """Our attempts hold so many slots more at a worker (negative: fewer)."""
        worker.inflight_slots += slots
        worker.kind.inflight_slots += slots
        self.estimate.inflight_slots += slots

    def homes_of(self, key: str, kind: int) -> list[WorkerEstimate]:
        """Where requests of a key go first. All dispatchers that use the same workers find the same ones."""
        found = self._homes.get((kind, key))
        if found is None:
            if len(self._homes) >= MAX_KEYS:
                self._homes.clear()
            found = rendezvous.homes(
                key, self.subset[kind] + self.far[kind], HOMES, lambda w: w.name_hash
            )
            self._homes[kind, key] = found
        return found

    def mark_alive(self, worker: WorkerEstimate) -> None:
        """A worker gave a sign of life."""
        if worker.reattached_at >= 0:
            worker.reattached_at = -1.0
            self.reattached.remove(worker)
        worker.mark_alive()

    def mark_reattached(self, worker: WorkerEstimate, since: float) -> None:
        """Operators have put a worker back that they had taken out."""
        if worker.reattached_at < 0:
            self.reattached.append(worker)
        worker.mark_reattached(since)

    def slots_by_zone(self) -> dict[int, float]:
        """Slots that the usable workers of each zone are thought to have."""
        slots: dict[int, float] = {}
        for worker in self.workers.values():
            if worker.usable:
                slots[worker.zone] = slots.get(worker.zone, 0.0) + worker.kind.slots
        return slots

    def stuck_attempts(self, now: float, after: float) -> dict[int, int]:
        """By zone, the attempts at workers that run none of ours and have started none for longer than
        `after`."""
        found: dict[int, int] = {}
        for worker in self.workers.values():
            waited = now - worker.waiting_since
            if worker.unstarted and worker.running_slots <= 0.0 and waited > after:
                found[worker.zone] = found.get(worker.zone, 0) + len(worker.unstarted)
        return found

    # -- the endpoint list

    def apply_list(self, event: api.WorkerList) -> None:
        """Take changes of the list, or the whole of it."""
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
            name_hash=rendezvous.number(entry.worker),
        )
        return worker

    def regroup(self) -> None:
        """Count the usable workers, and sort them by kind and zone."""
        settings = self.estimate.settings
        for kind in self.estimate.kinds:
            kind.worker_count = 0
        for kind_index in {spec.kind for spec in settings.classes} | set(self.near):
            self.near[kind_index] = []
            self.far[kind_index] = []
        self._homes.clear()
        zones_cost_nothing = settings.fees.get("cross_zone", 0.0) <= 0
        for worker in self.workers.values():
            if worker.usable:
                worker.kind.worker_count += self.zone_weights.get(worker.zone, 1.0)
                is_near = zones_cost_nothing or worker.zone == settings.zone
                side = self.near if is_near else self.far
                for kind_index in (ANY_KIND, worker.kind_index):
                    if kind_index in side:
                        side[kind_index].append(worker)
        self._divide()

    def _divide(self) -> None:
        """Part the near workers into our subset and the rest."""
        settings = self.estimate.settings
        dispatchers = settings.dispatchers
        for worker in self.workers.values():
            worker.capacity_fraction = 1.0 / dispatchers  # of far ones; near ones follow
        for kind, side in self.near.items():
            if len(side) > MIN_SUBSET_SIZE and dispatchers > SHARERS:
                side.sort(key=lambda worker: worker.name)
            self.subset[kind], self.rest[kind] = worker_subset(
                side, dispatchers, settings.index, self.ring_position
            )
            for worker in self.rest[kind]:
                worker.capacity_fraction = 0.0
            for worker in self.subset[kind]:
                worker.capacity_fraction = len(side) / (dispatchers * len(self.subset[kind]))
