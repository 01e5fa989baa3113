"""Health checks of workers, each over a new connection of the pool."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import h11
import trio
import ujson

from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.net.connection import LOCAL_CONNECT_ERRORS
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.http import PeerEnded
from yewrill.net.worker_connections import (
    UNNAMED_ANSWER_PAUSE_SECONDS,
    WorkerConnection,
    WorkerConnectionPool,
)

PROBE_PATH = "/alive"
# The health check of workers that report load; its response body is a load report.
LOAD_PATH = "/metrics/load"
MAX_REPORT_BYTES = 4096
PROBE_TIMEOUT_SECONDS = 0.2
_PROBE_STATUSES = {200: AttemptOutcome.SERVED, 503: AttemptOutcome.REJECTED}


class HealthProber:
    """Checks the health of workers."""

    def __init__(
        self, engine: DecisionEngine, endpoints: EndpointList, connections: WorkerConnectionPool
    ):
        self._engine = engine
        self._endpoints = endpoints
        self._connections = connections

    async def probe(self, worker: str) -> tuple[AttemptOutcome, Any]:
        """Checks a worker's health, and reads its load report if it sends one.

        A probe that was not sent counts as REJECTED, which the policy module treats as no information; any
        other failure would keep the worker ejected.
        """
        endpoint = self._endpoints.get(worker)
        if endpoint is None or not self._endpoints.may_send(worker):
            return AttemptOutcome.REJECTED, None
        # The check uses a new connection, because the state of an old one says little about the worker.
        connection: WorkerConnection | None = None
        reusable = False
        load = None
        try:
            with trio.fail_after(PROBE_TIMEOUT_SECONDS):
                if not self._connections.make_room():
                    return AttemptOutcome.REJECTED, None
                connection = await self._connections.connect(endpoint)
                if not self._endpoints.may_send(worker):  # the state may have changed meanwhile
                    return AttemptOutcome.REJECTED, None
                path = LOAD_PATH if self._engine.reports_load else PROBE_PATH
                await connection.http.connection.send(
                    connection.http.encode("GET", path, [("Host", "destination")])
                )
                response = await connection.http.response()
                connection.reusable_from = trio.current_time() + UNNAMED_ANSWER_PAUSE_SECONDS
                if self._engine.reports_load and response.status_code == 200:
                    with suppress(ValueError):
                        load = ujson.loads(await connection.http.body(MAX_REPORT_BYTES))
                reusable = True
        except (OSError, trio.TooSlowError, PeerEnded) as error:
            local_shortage = isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS
            return AttemptOutcome.REJECTED if local_shortage else AttemptOutcome.UNREACHABLE, None
        except h11.RemoteProtocolError:
            return AttemptOutcome.MALFORMED_RESPONSE, None
        finally:
            if connection is not None:
                if reusable:
                    self._connections.release(worker, connection)
                else:
                    self._connections.discard(connection)
        return _PROBE_STATUSES.get(response.status_code, AttemptOutcome.FAILED), load
