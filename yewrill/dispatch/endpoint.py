"""An endpoint: a worker's entry in the endpoint list that discovery returns."""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.dispatch.clock import Clock
from yewrill.policy.interface import WorkerEntry, WorkerState


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A worker's id, address and state. Zone, machine kind and cell are indexes into the settings' lists."""

    id: str
    address: tuple[str, int]
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.RUNNING
    weight: float = 1.0
    started_ms: float = 0.0  # wall clock time of the worker's start in ms; 0: unknown

    def worker_entry(self, clock: Clock) -> WorkerEntry:
        """Returns the policy module's form of this entry, with the start time on the engine's clock."""
        launched = clock.worker_start(self.id, self.started_ms)
        return WorkerEntry(
            self.id, self.zone, self.kind, self.cell, self.state, self.weight, launched
        )
