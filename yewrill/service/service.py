"""The service: creates all components from the configuration, and runs them until SIGTERM.

The components are in the other modules of this package: requests in `request_handler`, the drain after
SIGTERM in `shutdown`, SIGHUP in `reload`, the operators' drain in `operator_drain`, the two processes of a
hot restart in `state_exchange` and `hot_restart`, and the restore from the store at a start in
`state_startup`.
"""

from __future__ import annotations

import gc
import logging
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio

from yewrill.config.schema import UNSAFE_WINDOW_MS, Config
from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.lifecycle import AttemptRunner
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Attempt
from yewrill.frontends.platform import PlatformFront, RequestReader
from yewrill.net.discovery import DiscoveryWatch
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.input_budget import InputBudget
from yewrill.net.listener import Listener
from yewrill.net.worker_client import WorkerClient
from yewrill.net.worker_connections import WorkerConnectionPool
from yewrill.observability.logs import logging_to
from yewrill.observability.metrics import Metrics
from yewrill.service.background_tasks import BackgroundTasks
from yewrill.service.early_signals import (
    ignore_signals,
    record_reload_signals,
    record_shutdown_signals,
    take_recorded_signal,
)
from yewrill.service.memory_budget import max_input_bytes
from yewrill.service.open_requests import OpenRequests
from yewrill.service.operator_drain import OperatorDrain, OperatorDrainState
from yewrill.service.reload import Reloader, discovery_callers
from yewrill.service.repeat_guard import RepeatGuard
from yewrill.service.request_handler import RequestHandler
from yewrill.service.run_state import RunState
from yewrill.service.shutdown import GracefulShutdown
from yewrill.service.socket_budget import SocketBudget, max_clients, max_worker_sockets
from yewrill.service.state_exchange import StateExchange
from yewrill.service.subsystems import SubsystemContext, create_subsystems

if TYPE_CHECKING:
    from yewrill.frontends.progress import ProgressFront
    from yewrill.net.management import ManagementListener
    from yewrill.persistence import PersistentState
    from yewrill.service.hot_restart import HotRestart
    from yewrill.service.management_calls import ManagementCalls
    from yewrill.service.state_startup import StateStartup
    from yewrill.service.tracing_hooks import TracingHooks

log = logging.getLogger("yewrill")

# How long a new process waits for discovery before it serves with the old process's endpoint list.
FIRST_LIST_TIMEOUT_SECONDS = 1.0
# Number of event loop iterations at the end of the process in which pending signals are still received: two
# until they are delivered, one for each of the three signals, and some to spare.
FINAL_SIGNAL_TURNS = 10


class Service:
    """A dispatcher. All components are attributes and exist before it runs."""

    def __init__(self, config: Config, load: Callable[[], Config] | None = None):
        """`load` reads the configuration again; without it a reload does nothing.

        Raises OSError if a listening socket can't be opened.
        """
        self.run_state = RunState()
        self.tasks = BackgroundTasks()
        self._make_core(config)
        self._make_listener(config)
        self._make_control(config, load)

    def _make_core(self, config: Config) -> None:
        """Creates the decision engine and the components that send requests to workers."""
        self.engine = DecisionEngine(config.settings, config.seed)
        self.endpoints = EndpointList(self.engine, config.topology)
        self.watch = DiscoveryWatch(
            config.discovery, self.endpoints, config.seed, discovery_callers(config)
        )
        self.metrics = Metrics()
        self.metrics.register_classes(c.name for c in config.settings.classes)
        self.front = _create_front(config)
        self.persistent_state = self._create_persistent_state(config)
        self.hot_restart = _create_hot_restart(config, self.persistent_state)
        if self.persistent_state is not None and self.hot_restart is not None:
            self.persistent_state.attempts.forward_record = self.hot_restart.store_in_old_process
        self.open_requests = OpenRequests(self.hot_restart)
        self.repeat_guard = RepeatGuard(
            self.endpoints,
            self.engine.now,
            UNSAFE_WINDOW_MS if config.state is None else config.state.unsafe_window_ms,
            None if self.persistent_state is None else self.persistent_state.attempts,
            self.hot_restart,
        )
        self.worker_connections = WorkerConnectionPool(
            self.endpoints,
            max_open=max_worker_sockets(config.limits.sockets),
            connect_timeout=config.connect_timeout_ms / 1000.0,
            idle_limit=config.idle_close_ms / 1000.0,
        )
        self.worker_client = WorkerClient(
            self.engine,
            self.endpoints,
            self.front,
            self.worker_connections,
            on_written=self.metrics.dispatched,
            record_attempt=self.repeat_guard.record_attempt,
            may_repeat=self.repeat_guard.may_send,
        )
        run_attempt = _with_outcome_records(self.worker_client, self.repeat_guard)
        self.subsystem_context = SubsystemContext(self.engine, self.endpoints, run_attempt)

    def _make_listener(self, config: Config) -> None:
        """Creates the components that answer clients. The socket listens from then on."""
        self.tracing_hooks = _create_tracing_hooks(config)
        operator_drain_state = OperatorDrainState()
        input_budget = InputBudget(max_input_bytes(config.limits.memory_mb))
        handler = RequestHandler(
            self.front,
            self.engine,
            self.endpoints,
            self.subsystem_context,
            run_state=self.run_state,
            operator_drain=operator_drain_state,
            open_requests=self.open_requests,
            metrics=self.metrics,
            tasks=self.tasks,
            repeat_guard=self.repeat_guard,
            tracing_hooks=self.tracing_hooks,
        )
        self.listener = Listener(
            config.listen,
            handler.handle,
            max_clients(config.limits),
            inherited=config.inherited_fd,
            closed_unanswered=handler.closed_unanswered,
            input_budget=input_budget,
        )
        self.operator_drain = OperatorDrain(operator_drain_state, self.listener, self.tasks)
        self.subsystems = create_subsystems(config, self.subsystem_context)

    def _make_control(self, config: Config, load: Callable[[], Config] | None) -> None:
        """Creates the components for operators, signals and the other process of a hot restart."""
        self.management: ManagementListener | None = None
        if config.mgmt is not None:
            from yewrill.net.management import ManagementListener

            self.management = ManagementListener(
                config.mgmt, self.create_management_calls().by_path()
            )
        self.reloader = Reloader(
            config,
            load,
            front=self.front,
            engine=self.engine,
            endpoints=self.endpoints,
            watch=self.watch,
            worker_connections=self.worker_connections,
            metrics=self.metrics,
            tracing_hooks=self.tracing_hooks,
        )
        self.shutdown = GracefulShutdown(
            self.run_state,
            self.engine,
            self.listener,
            lambda: self.config,
            self.hot_restart,
            self.tracing_hooks,
        )
        self.state_exchange = StateExchange(
            self.endpoints,
            self.watch,
            self.operator_drain,
            self.open_requests,
            SocketBudget(config.limits, self.listener, self.worker_connections),
            self.repeat_guard.exchange,
        )
        self.state_startup = self._create_state_startup()

    def create_management_calls(self) -> ManagementCalls:
        """Creates the management calls of this service."""
        from yewrill.service.management_calls import ManagementCalls
        from yewrill.service.metrics_report import MetricsReport

        return ManagementCalls(
            self.run_state,
            self.endpoints,
            self.operator_drain,
            MetricsReport(
                self.metrics,
                self.engine,
                self.endpoints,
                self.listener,
                self.worker_client,
                self.subsystems,
                self.tracing_hooks,
                self.repeat_guard,
            ),
            self.subsystems,
            persistent_state=self.persistent_state,
            hot_restart=self.hot_restart,
        )

    def _create_persistent_state(self, config: Config) -> PersistentState | None:
        if config.state is None:
            return None
        from yewrill.persistence import PersistentState

        self.metrics.register_persistent_state()
        return PersistentState(
            config.state,
            self.endpoints,
            self.metrics,
            request_classes=lambda: self.front.reader.settings.classes,
        )

    def _create_state_startup(self) -> StateStartup | None:
        if self.persistent_state is None:
            return None
        from yewrill.service.state_startup import StateStartup

        return StateStartup(
            self.persistent_state,
            self.endpoints,
            self.state_exchange,
            self.operator_drain,
            self.tasks,
            may_wait=self.hot_restart is not None,
        )

    @property
    def config(self) -> Config:
        """The current configuration."""
        return self.reloader.config

    async def run(
        self,
        *,
        signals: bool = True,
        task_status: trio.TaskStatus[Service] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until SIGTERM (or `drain`), then answers the accepted requests and returns."""
        if self.config.known is not None:
            self.endpoints.apply(dict(self.config.known), cached=True)
        restored = await self._restore_state()
        self.engine.tick()
        async with trio.open_nursery() as signal_nursery:
            await self._serve(restored, signal_nursery if signals else None, task_status)
            # A signal that arrives at the very end is still received, so that it does not kill the process.
            for _ in range(FINAL_SIGNAL_TURNS):
                await trio.lowlevel.checkpoint()
            signal_nursery.cancel_scope.cancel()

    async def _restore_state(self) -> dict[str, Any] | None:
        return None if self.state_startup is None else await self.state_startup.restore()

    async def _serve(
        self,
        restored: dict[str, Any] | None,
        signal_nursery: trio.Nursery | None,
        task_status: trio.TaskStatus[Service],
    ) -> None:
        """`signal_nursery`: runs the task that receives signals, until everything else is closed."""
        async with trio.open_nursery() as nursery:
            self.tasks.nursery = nursery
            await self._start_tasks(restored)
            if signal_nursery is not None:
                await signal_nursery.start(self._receive_signals)
            await self._join_old_process()
            self._begin_serving(task_status)
            await self.listener.run()
            log.info("shutdown_complete")
            nursery.cancel_scope.cancel()
        await self._close()

    async def _start_tasks(self, restored: dict[str, Any] | None) -> None:
        if self.state_startup is not None:
            self.state_startup.begin(restored)
        if self.tracing_hooks is not None:
            if self.persistent_state is not None and self.persistent_state.store_open:
                await trio.to_thread.run_sync(
                    self.tracing_hooks.attach_spool, self.persistent_state
                )
            self.tasks.start_supervised(self.tracing_hooks.exporter.run)
        self.tasks.start_supervised(self.engine.run, self.worker_client.probe)
        self.tasks.start_supervised(self.worker_connections.keep_tidy)
        if self.management is not None:
            self.tasks.start(self.management.run)
            log.info("management_listening listen=%s:%d", *self.management.address)
        for subsystem in self.subsystems:
            self.tasks.start_supervised(subsystem.run)

    async def _join_old_process(self) -> None:
        """Gets the old process's state, before this process serves on the socket that both share."""
        if self.hot_restart is None:
            return
        self.tasks.start_supervised(self.hot_restart.run, self.state_exchange)
        self.tasks.start_supervised(self.watch.run)
        await self.hot_restart.joined.wait()
        with trio.move_on_after(FIRST_LIST_TIMEOUT_SECONDS):
            await self.watch.answered.wait()
        await self.hot_restart.ready()

    def _begin_serving(self, task_status: trio.TaskStatus[Service]) -> None:
        self.run_state.serving = True
        log.info(
            "ready name=%s listen=%s:%d front=%s endpoints=%d",
            self.config.name,
            *self.listener.address,
            self.config.front,
            len(self.endpoints),
        )
        if self.hot_restart is None:
            # Started after the log line, so that a failure of discovery is logged after "ready".
            self.tasks.start_supervised(self.watch.run)
        task_status.started(self)
        # Objects created during the start live as long as the process: exclude them from garbage collection.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        gc.enable()  # `python -m yewrill` disables the garbage collector during the start

    async def _close(self) -> None:
        self.worker_connections.close()
        if self.tracing_hooks is not None:
            await self.tracing_hooks.exporter.flush()
        if self.persistent_state is not None:
            await trio.to_thread.run_sync(self.persistent_state.close_store)
        if self.hot_restart is not None:
            self.hot_restart.close()
        if self.management is not None:
            self.management.close()

    async def _receive_signals(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            task_status.started()
            for early_signal in (signal.SIGHUP, signal.SIGTERM):
                # The signal arrived while the process started.
                if take_recorded_signal(early_signal):
                    self._on_signal(early_signal)
            async for number in received:
                self._on_signal(signal.Signals(number))

    def _on_signal(self, number: signal.Signals) -> None:
        if number == signal.SIGHUP:
            self.reload()
        elif not self.run_state.draining:
            clients = len(self.listener.clients)
            log.info("shutdown_started signal=%s clients=%d", number.name, clients)
            self.begin_drain()

    def reload(self) -> None:
        """Reads the configuration again and applies what can change while serving."""
        self.reloader.reload()

    def begin_drain(self) -> None:
        """Starts the drain as a background task."""
        self.tasks.start(self.drain)

    async def drain(self) -> None:
        """Shuts down gracefully within the grace period; `run` returns after that."""
        await self.shutdown.run()


def _create_front(config: Config) -> PlatformFront | ProgressFront:
    reader = RequestReader(config.settings, config.answer_margin_ms)
    if config.front == "platform":
        return PlatformFront(reader)
    from yewrill.frontends.progress import ProgressFront

    return ProgressFront(reader)


def _create_tracing_hooks(config: Config) -> TracingHooks | None:
    if config.tracing is None:
        return None
    from yewrill.service.tracing_hooks import TracingHooks

    return TracingHooks(config)


def _create_hot_restart(
    config: Config, persistent_state: PersistentState | None
) -> HotRestart | None:
    if config.inherited_fd is None or config.link_dir is None:
        return None
    from yewrill.service.hot_restart import HotRestart, link_path

    return HotRestart(
        link_path(config.link_dir, config.name, config.listen),
        None if persistent_state is None else persistent_state.attempts.write_forwarded_record,
    )


def _with_outcome_records(worker_client: WorkerClient, repeat_guard: RepeatGuard) -> AttemptRunner:
    """Returns a runner of attempts that also notes each attempt's outcome for later repeats."""

    async def run_attempt(attempt: Attempt) -> tuple[AttemptOutcome, Any]:
        outcome, result = await worker_client.run_attempt(attempt)
        repeat_guard.attempt_finished(attempt, outcome)
        return outcome, result

    return run_attempt


def serve(
    config: Config,
    level: str = "INFO",
    load: Callable[[], Config] | None = None,
    log_form: str = "plain",
) -> int:
    """Runs the service in the foreground and logs to standard error. Returns the exit status.

    On SIGHUP the configuration is read again with `load`.
    """
    with logging_to(sys.stderr, level, log_form):
        # A signal that arrives before the service receives signals must neither end the process nor be lost.
        record_reload_signals()
        record_shutdown_signals()
        try:
            run_service(config, load)
        except OSError as error:
            log.error("start_failed: %s", error)
            return 1
        finally:
            ignore_signals()
        return 0


def run_service(config: Config, load: Callable[[], Config] | None = None) -> None:
    """Runs the service in a new event loop."""

    async def main() -> None:
        await Service(config, load).run()

    trio.run(main)
