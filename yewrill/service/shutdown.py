"""The graceful shutdown: every accepted request gets its final answer before the grace period ends."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from yewrill.config.schema import Config
from yewrill.dispatch.engine import DecisionEngine
from yewrill.net.listener import Listener
from yewrill.service.run_state import RunState

if TYPE_CHECKING:
    from yewrill.service.hot_restart import HotRestart
    from yewrill.service.tracing_hooks import TracingHooks

log = logging.getLogger("yewrill")

# How long before the end of the grace period the service stops accepting requests.
REQUEST_MARGIN_MS = 900.0
# How long before the end of the grace period requests that are still open fail. The rest of the time is for
# clients to read their answers (up to 0.2 s), for closing the stores and for the exit of the process.
ANSWER_MARGIN_MS = 400.0


class GracefulShutdown:
    """Drains the listener within the grace period after SIGTERM."""

    def __init__(
        self,
        run_state: RunState,
        engine: DecisionEngine,
        listener: Listener,
        current_config: Callable[[], Config],
        hot_restart: HotRestart | None,
        tracing_hooks: TracingHooks | None,
    ):
        self._run_state = run_state
        self._engine = engine
        self._listener = listener
        self._current_config = current_config
        self._hot_restart = hot_restart
        self._tracing_hooks = tracing_hooks

    async def run(self) -> None:
        """Becomes unready, accepts connections for a while longer, and serves clients as time permits.

        The requests that are still open then fail, before the platform kills the process.
        """
        self._run_state.draining = True
        started_at = trio.current_time()
        grace_ms = self._current_config().grace_ms
        try:
            await self._serve_last_requests(started_at)
        except Exception:  # accepted requests still need their answers
            log.exception("shutdown_raised")
            self._listener.stop_accepting()
        self._run_state.closing_connections = True
        self._listener.close()
        await trio.sleep_until(started_at + (grace_ms - ANSWER_MARGIN_MS) / 1000.0)
        if self._engine.pending:
            log.warning("shutdown_deadline open=%d", self._engine.pending)
            self._engine.fail_all()
        self._listener.close_without_request()

    async def _serve_last_requests(self, started_at: float) -> None:
        """Serves the backlog and the open connections for as long as there is time to answer."""
        if self._tracing_hooks is not None:
            self._tracing_hooks.tracer.event("draining")
        config = self._current_config()
        accept_ms = max(config.linger_ms, config.grace_ms - REQUEST_MARGIN_MS)
        request_deadline = started_at + accept_ms / 1000.0
        if self._hot_restart is not None and self._hot_restart.new_process_ready:
            # The new process accepts all further connections; this one answers what it accepted.
            self._run_state.handed_over = self._run_state.closing_connections = True
            self._listener.stop_accepting()
        else:
            await trio.sleep_until(started_at + config.linger_ms / 1000.0)
            await self._listener.drain_backlog(request_deadline)
        with trio.move_on_at(request_deadline):
            await self._listener.wait_until_empty()
