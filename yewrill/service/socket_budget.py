"""Division of the file descriptors between clients and workers, and with a new process of a hot restart.

The memory limit bounds the number of clients too.
"""

from __future__ import annotations

from yewrill.config.schema import Limits
from yewrill.net.listener import Listener
from yewrill.net.worker_connections import WorkerConnectionPool
from yewrill.service import memory_budget

# Fractions of the unreserved descriptors for client and for worker connections.
CLIENT_SHARE = 0.55
WORKER_SHARE = 0.45
# Number of descriptors for the log, discovery, the listener and the event loop.
RESERVED_SOCKETS = 40
# Minimum number of descriptors for each of the two processes of a hot restart.
MIN_SOCKETS = RESERVED_SOCKETS + 24


def max_client_sockets(sockets: int) -> int:
    """Returns how many of the given descriptors may be used for client connections."""
    return int((sockets - RESERVED_SOCKETS) * CLIENT_SHARE)


def max_worker_sockets(sockets: int) -> int:
    """Returns how many of the given descriptors may be used for worker connections."""
    return int((sockets - RESERVED_SOCKETS) * WORKER_SHARE)


def max_clients(limits: Limits, sockets: int | None = None) -> int:
    """Returns how many clients may be connected, with all descriptors of the limits or with fewer."""
    return min(
        max_client_sockets(limits.sockets if sockets is None else sockets),
        memory_budget.max_clients(limits.memory_mb),
    )


class SocketBudget:
    """Sets the connection limits of the listener and of the worker connection pool."""

    def __init__(
        self, limits: Limits, listener: Listener, worker_connections: WorkerConnectionPool
    ):
        self._total = limits.sockets
        self._limits = limits
        self._listener = listener
        self._worker_connections = worker_connections

    def limit(self, sockets: int) -> None:
        """Limits the process to the given descriptors, but not below `MIN_SOCKETS`."""
        self._set(max(MIN_SOCKETS, sockets))

    def use_all(self) -> None:
        """Allows this process all descriptors, because no other process is left."""
        self._set(self._total)

    def share_with_new_process(self) -> int:
        """Keeps half of the descriptors, or those in use; returns how many the new process may use."""
        in_use = RESERVED_SOCKETS + len(self._listener.clients) + self._worker_connections.open
        own = min(max(self._total // 2, in_use), self._total - MIN_SOCKETS)
        own = max(MIN_SOCKETS, own)
        self._set(own)
        return self._total - own

    def _set(self, sockets: int) -> None:
        self._listener.limit(max_clients(self._limits, sockets))
        self._worker_connections.limit(max_worker_sockets(sockets))
