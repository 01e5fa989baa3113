"""A connection to a worker that is being established while an attempt may stop waiting for it."""

from __future__ import annotations

import trio

from yewrill.dispatch.endpoint import Endpoint
from yewrill.net.worker_connections import WorkerConnection, WorkerConnectionPool


class PendingConnection:
    """Waits for a connection; one that comes up after the wait was cancelled goes to the pool."""

    def __init__(self, pool: WorkerConnectionPool, endpoint: Endpoint):
        self._pool = pool
        self._endpoint = endpoint
        self._connection: WorkerConnection | None = None
        self._error: OSError | trio.TooSlowError | None = None
        self._ended = trio.Event()
        self._abandoned = False

    async def establish(self) -> None:
        """Establishes the connection; to be run as a task of its own."""
        try:
            self._connection = await self._pool.connect(self._endpoint)
        except (OSError, trio.TooSlowError) as error:
            self._error = error
        self._ended.set()
        if self._abandoned:
            self._release()

    async def wait(self) -> WorkerConnection:
        """Returns the connection. Raises OSError or trio.TooSlowError."""
        try:
            await self._ended.wait()
        except trio.Cancelled:
            self._abandoned = True
            self._release()
            raise
        if self._error is not None:
            raise self._error
        return self._connection

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.release(self._endpoint.id, connection)
