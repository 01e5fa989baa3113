"""The state of the process between start and end, as requests and management calls see it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RunState:
    """Flags set by the start (`serving`) and by the graceful shutdown (all others); none is ever cleared."""

    # Whether the start is complete, with the state of the old process, if there is one.
    serving: bool = False
    draining: bool = False  # whether the graceful shutdown has begun
    handed_over: bool = False  # whether a new process accepts all new connections
    closing_connections: bool = False  # whether client connections are closed after their answer

    @property
    def refuses_requests(self) -> bool:
        """Whether the service is shutting down and no new process has taken over."""
        return self.draining and not self.handed_over
