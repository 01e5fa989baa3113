"""How the process's file descriptors are divided between clients and workers, and with a new process."""

from __future__ import annotations

from yewrill.net.listener import Listener
from yewrill.net.worker_connections import WorkerConnectionPool

# Shares of the descriptors; the reserve is for the log, discovery, the listener and the event loop itself.
CLIENT_SHARE, WORKER_SHARE, RESERVED_SOCKETS = 0.55, 0.45, 40
MIN_SOCKETS = RESERVED_SOCKETS + 24  # what each of the two processes of a hot restart has at least


def max_client_sockets(sockets: int) -> int:
    """How many of so many descriptors may be connections to clients."""
    return int((sockets - RESERVED_SOCKETS) * CLIENT_SHARE)


def max_worker_sockets(sockets: int) -> int:
    """How many of so many descriptors may be connections to workers."""
    return int((sockets - RESERVED_SOCKETS) * WORKER_SHARE)


class SocketBudget:
    """Bounds the listener and the worker connection pool."""

    def __init__(self, total: int, listener: Listener, worker_connections: WorkerConnectionPool):
        self._total = total
        self._listener = listener
        self._worker_connections = worker_connections

    def limit(self, sockets: int) -> None:
        """Keep to a part of the descriptors, but never to less than the minimum."""
        self._set(max(MIN_SOCKETS, sockets))

    def use_all(self) -> None:
        """Use all descriptors: no other process is left."""
        self._set(self._total)

    def share_with_new_process(self) -> int:
        """Keep half of the descriptors, or what is in use; returns how many the new process may use."""
        in_use = RESERVED_SOCKETS + len(self._listener.clients) + self._worker_connections.open
        own = min(max(self._total // 2, in_use), self._total - MIN_SOCKETS)
        own = max(MIN_SOCKETS, own)
        self._set(own)
        return self._total - own

    def _set(self, sockets: int) -> None:
        self._listener.limit(max_client_sockets(sockets))
        self._worker_connections.limit(max_worker_sockets(sockets))
