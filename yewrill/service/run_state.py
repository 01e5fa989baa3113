"""How far the process is between its start and its end, as seen by requests and operators' calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RunState:
    """Set by the start (`serving`) and by the graceful shutdown (all others). Nothing is ever unset."""

    serving: bool = False  # started, and in possession of what an old process knew
    draining: bool = False  # the graceful shutdown has begun
    handed_over: bool = False  # a new process accepts what comes from now on
    closing_connections: bool = False  # client connections close after their answer

    @property
    def refuses_requests(self) -> bool:
        """Whether the service is on its way out and no new process stands in for it."""
        return self.draining and not self.handed_over
