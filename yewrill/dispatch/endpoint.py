"""An endpoint: a worker's entry in the list that discovery gives."""

from __future__ import annotations

from dataclasses import dataclass

from yewrill.dispatch.clock import Clock
from yewrill.policy.interface import WorkerEntry, WorkerState


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A worker's id, address and state. Zone, kind and cell are positions in the settings' lists."""

    id: str
    address: tuple[str, int]
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.RUNNING
    weight: float = 1.0
    started_ms: float = 0.0  # wall clock; 0: unknown

    def worker_entry(self, clock: Clock) -> WorkerEntry:
        """The same for the decision module, with the worker's start by its clock."""
        launched = clock.worker_start(self.id, self.started_ms)
        return WorkerEntry(
            self.id, self.zone, self.kind, self.cell, self.state, self.weight, launched
        )
