"""The whole program: configuration in, listener, core, destinations and discovery running, until SIGTERM."""

from __future__ import annotations

import gc
import logging
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import trio

from yewrill.config.reading import Config, ConfigError, check_succession, differing
from yewrill.dispatch.engine import Attempt, DecisionEngine, Rejection, Request
from yewrill.dispatch.lifecycle import Answer, Served, carry
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.safety import Rule
from yewrill.frontends.platform import PlatformFront, Reader
from yewrill.net.discovery import REMEMBERED, EndpointList, Watch
from yewrill.net.http import BadRequest, HttpRequest, Reply
from yewrill.net.listener import Client, Listener
from yewrill.net.worker_connections import WorkerConnectionPool
from yewrill.observability.logs import bind_request, logging_to
from yewrill.observability.metrics import ERROR, OVERLOAD, SUCCESS, Metrics
from yewrill.service.early_reload import note_requests, take_request
from yewrill.service.subsystems import SubsystemContext, create_subsystems

if TYPE_CHECKING:
    from yewrill.frontends.progress import ProgressFront
    from yewrill.net.management import ManagementListener
    from yewrill.persistence import PersistentState
    from yewrill.service.hot_restart import HotRestart
    from yewrill.service.tracing_hooks import TracingHooks

log = logging.getLogger("yewrill")

READY_PATH = "/up"
# What a reload changes; all else stands for as long as the program runs.
RELOADED = (
    "discovery",
    "answer_margin_ms",
    "linger_ms",
    "grace_ms",
    "settings",
    "topology",
    "stated",
    "connect_timeout_ms",
    "idle_close_ms",
)
# Before the end of the grace that SIGTERM leaves: until when, in ms, requests are taken, and answers wait.
LAST_REQUEST, LAST_ANSWER = 900.0, 250.0
# How long, in seconds, an heir waits for discovery's own word before it serves by the elder's list.
FIRST_LIST = 1.0
# After the operators' drain began, in seconds: from when on answers close their connections, and idle ones
# go, then those that fall idle for a while.
LAME_CLOSING, LAME_IDLE, LAME_AGE = 0.2, 1.2, 0.3
# Turns of the loop in which signals that have come are heard: two for them to get there, one for each of
# three kinds, and some to spare.
LAST_TURNS = 10
AFTER_FAULT = 0.1  # seconds before a task that failed goes on
# Shares of the descriptors: the rest is for the log, discovery, the listener and the event loop itself.
CLIENT_PART, DESTINATION_PART, SPARE = 0.55, 0.45, 40
LEAST_SOCKETS = SPARE + 24  # what each of two runs has at least


class Service:
    def __init__(self, config: Config, load: Callable[[], Config] | None = None):
        self.config = config
        self._load = load  # reads the configuration anew
        self.serving = False  # started, and in possession of what an elder knows
        self.draining = False  # SIGTERM has come
        self.operator_drain = False  # drained by operators
        self._emptying = trio.CancelScope()  # that drain at work
        self._lame_closing = False
        self.replaced = False  # an heir takes what comes now
        self.leaving = False  # connections close after their answer
        self.engine = DecisionEngine(config.settings, config.seed)
        self.endpoints = EndpointList(self.engine, config.topology)
        self._open: set[str] = (
            set()
        )  # ids of operations under way, those of clients that have left too
        self.nursery: trio.Nursery
        self.watch = Watch(config.discovery, self.endpoints, config.seed, _callers(config))
        self.metrics = Metrics()
        self.metrics.know(c.name for c in config.settings.classes)
        self.front = _front(config)
        clients, worker_connections = _parts(config.limits.sockets)
        self.worker_connections = WorkerConnectionPool(
            self.engine,
            self.endpoints,
            self.front,
            most=worker_connections,
            connect_timeout=config.connect_timeout_ms / 1000.0,
            idle_limit=config.idle_close_ms / 1000.0,
        )
        self.worker_connections.on_written = self.metrics.dispatched
        self.listener = Listener(
            config.listen, self._handle, clients, inherited=config.inherited_fd
        )
        self.listener.closed_unanswered = self._closed_unanswered
        self.persistent_state: PersistentState | None = None  # what is kept over a restart
        if config.state is not None:
            from yewrill.persistence import PersistentState

            self.persistent_state = PersistentState(config.state, self.endpoints, self.metrics)
            self.metrics.know_state()
            self.worker_connections.record_attempt = self.persistent_state.attempts.record_attempt
        context = SubsystemContext(
            self.engine,
            self.endpoints,
            self.worker_connections.run_attempt
            if self.persistent_state is None
            else self._kept_attempt,
        )
        self.subsystems = create_subsystems(config, context)
        self._attempt = context.run_attempt
        self.management: ManagementListener | None = None
        if config.mgmt is not None:
            from yewrill.net.management import ManagementListener
            from yewrill.service.management_calls import ManagementCalls

            self.management = ManagementListener(config.mgmt, ManagementCalls(self).by_path())
        self.tracing_hooks: TracingHooks | None = None  # told of every operation
        if config.tracing is not None:
            from yewrill.service.tracing_hooks import TracingHooks

            self.tracing_hooks = TracingHooks(config)
        self.hot_restart: HotRestart | None = None
        if config.inherited_fd is not None and config.link_dir is not None:
            from yewrill.service.hot_restart import HotRestart, link_path

            self.hot_restart = HotRestart(
                link_path(config.link_dir, config.name, config.listen),
                state=self._known_here,
                hear=self._hear,
                alone=self._bound,
            )
            if self.persistent_state is not None:
                self.persistent_state.attempts.record_elsewhere = self.hot_restart.keep_elsewhere
                self.hot_restart.keep_for_another = (
                    self.persistent_state.attempts.record_for_other_run
                )

    async def run(
        self,
        *,
        signals: bool = True,
        task_status: trio.TaskStatus[Service] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until SIGTERM (or `drain`), then finish what was taken and return."""
        if self.config.known is not None:
            self.endpoints.apply(dict(self.config.known), cached=True)
        kept = await self._open_state()
        self.engine.tick()
        async with trio.open_nursery() as listening:
            await self._serve(kept, listening if signals else None, task_status)
            for _ in range(
                LAST_TURNS
            ):  # a signal of the last instant is still heard, not left to kill us
                await trio.lowlevel.checkpoint()
            listening.cancel_scope.cancel()

    async def _serve(
        self,
        kept: dict[str, Any] | None,
        listening: trio.Nursery | None,
        task_status: trio.TaskStatus[Service],
    ) -> None:
        """`listening`: where signals are listened to, until everything else is closed too."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            if self.persistent_state is not None:
                await self._begin_keeping(kept)
            if self.tracing_hooks is not None:
                if self.persistent_state is not None and self.persistent_state.store_open:
                    await trio.to_thread.run_sync(
                        self.tracing_hooks.spool_in, self.persistent_state
                    )
                nursery.start_soon(_keep, self.tracing_hooks.exporter.run)
            nursery.start_soon(_keep, self.engine.run, self.worker_connections.probe)
            nursery.start_soon(_keep, self.worker_connections.keep_tidy)
            if self.management is not None:
                nursery.start_soon(self.management.run)
                log.info("door listen=%s:%d", *self.management.address)
            for subsystem in self.subsystems:
                nursery.start_soon(_keep, subsystem.run)
            if listening is not None:
                await listening.start(self._on_signal, nursery)
            await self._join()
            self.serving = True
            log.info(
                "ready name=%s listen=%s:%d front=%s destinations=%d",
                self.config.name,
                *self.listener.address,
                self.config.front,
                len(self.endpoints),
            )
            if self.hot_restart is None:
                # After that line, so that the log tells of the start first and of a silent discovery second.
                nursery.start_soon(_keep, self.watch.run)
            task_status.started(self)
            # What start-up left behind stays for good: the collector need not look at it again.
            gc.collect()
            gc.freeze()
            gc.set_threshold(20_000, 20, 50)
            gc.enable()  # it was off until here where the platform starts us
            await self.listener.run()
            log.info("drained")
            nursery.cancel_scope.cancel()
        self.worker_connections.close()
        if self.tracing_hooks is not None:
            await self.tracing_hooks.exporter.flush()
        if self.persistent_state is not None:
            await trio.to_thread.run_sync(self.persistent_state.close_store)
        if self.hot_restart is not None:
            self.hot_restart.close()
        if self.management is not None:
            self.management.close()

    async def _on_signal(
        self, nursery: trio.Nursery, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            task_status.started()
            if take_request():  # while we started
                self.reload()
            async for number in received:
                if number == signal.SIGHUP:
                    self.reload()
                elif not self.draining:
                    log.info(
                        "draining signal=%s clients=%d",
                        signal.Signals(number).name,
                        len(self.listener.clients),
                    )
                    self.begin_drain()

    def begin_drain(self) -> None:
        """Drain beside whatever else goes on."""
        self.nursery.start_soon(self.drain)

    def reload(self) -> None:
        """Read the configuration anew and take up what can change while serving; the rest stays as it is."""
        if self._load is None:
            return
        try:
            config = self._load()
            check_succession(self.config, config)
        except (
            Exception
        ) as error:  # whatever is wrong with the file, the one that served so far goes on
            log.error("reload-refused %s", error if isinstance(error, ConfigError) else repr(error))
            self.metrics.reloaded(False)
            return
        self.config = taken = replace(
            self.config, **{key: getattr(config, key) for key in RELOADED}
        )
        # In one moment: what is read from here on has the new positions, here and in the module.
        self.front.reader.reconfigure(taken.settings, taken.answer_margin_ms)
        self.engine.reconfigure(taken.settings)
        self.metrics.know(c.name for c in taken.settings.classes)
        self.endpoints.topology = taken.topology
        self.watch.callers = _callers(taken)
        self.worker_connections.reconfigure(
            taken.connect_timeout_ms / 1000.0, taken.idle_close_ms / 1000.0
        )
        self.watch.move(taken.discovery)
        self.metrics.reloaded(True)
        if self.tracing_hooks is not None:
            self.tracing_hooks.tracer.event("reloaded")
            if config.tracing is not None:
                self.config = taken = replace(
                    taken, tracing=self.tracing_hooks.reconfigure(config.tracing)
                )
        log.info(
            "reloaded discovery=%s:%d classes=%s",
            *taken.discovery,
            ",".join(c.name for c in taken.settings.classes),
        )
        if others := differing(taken, config):
            log.warning("reload-ignored keys=%s: a restart takes them up", ",".join(others))

    async def drain(self) -> None:
        """Stop being ready; take new connections for a while; serve the open ones for as long as there is
        time to answer; and give whatever is then left its final answer before the platform kills us."""
        self.draining = True
        began = trio.current_time()
        grace = self.config.grace_ms
        try:
            await self._take_last_requests(began)
        except Exception:  # what was taken is owed its answers all the same
            log.exception("drain-fault")
            self.listener.stop_accepting()
        self.leaving = True
        self.listener.close()
        await trio.sleep_until(began + (grace - LAST_ANSWER) / 1000.0)
        if self.engine.pending:
            log.warning("last-call open=%d", self.engine.pending)
            self.engine.give_up()
        self.listener.cut()

    async def _take_last_requests(self, began: float) -> None:
        """Requests of the backlog and on open connections, for as long as there is time to serve them."""
        if self.tracing_hooks is not None:
            self.tracing_hooks.tracer.event("draining")
        config = self.config
        last_request = began + max(config.linger_ms, config.grace_ms - LAST_REQUEST) / 1000.0
        if self.hot_restart is not None and self.hot_restart.new_process_ready:
            # What comes from now on is the heir's; what was accepted is ours, and goes with its answer.
            self.replaced = self.leaving = True
            self.listener.stop_accepting()
        else:
            await trio.sleep_until(began + config.linger_ms / 1000.0)
            await self.listener.drain_backlog(last_request)
        with trio.move_on_at(last_request):
            await self.listener.emptied()

    # -- two runs of one dispatcher

    async def _join(self) -> None:
        """Before serving on a socket that another run may serve too: learn what that one knows."""
        if self.hot_restart is None:
            return
        self.nursery.start_soon(_keep, self.hot_restart.run)
        self.nursery.start_soon(_keep, self.watch.run)
        await self.hot_restart.joined.wait()
        with trio.move_on_after(FIRST_LIST):
            await self.watch.heard.wait()
        await self.hot_restart.ready()

    def _known_here(self) -> dict[str, Any]:
        """What an heir needs to know. It gets a part of the descriptors too."""
        whole = self.config.limits.sockets
        used = SPARE + len(self.listener.clients) + self.worker_connections.open
        mine = max(LEAST_SOCKETS, min(max(whole // 2, used), whole - LEAST_SOCKETS))
        self._bound(mine)
        return {
            "ids": list(self._open),
            "lame": self.operator_drain,
            "out": self.endpoints.out,
            "back": self._wall_times(self.endpoints.back),
            "list": self.endpoints.snapshot(),
            "sockets": whole - mine,
        }

    def _hear(self, message: dict[str, Any]) -> None:
        """Take what another run tells: all that it knows, or a change."""
        if "state" in message:
            state = message["state"]
            self._bound(max(LEAST_SOCKETS, int(state["sockets"])))
            self._take_known({**state, "back": self._ages(state["back"])})
        elif "lame" in message:
            self.set_operator_drain(bool(message["lame"]))
        elif "out" in message:
            self.endpoints.take_out(message["out"], listed=False)
        elif "back" in message:
            self.endpoints.put_back(message["back"])

    @staticmethod
    def _wall_times(ages: dict[str, float]) -> dict[str, float]:
        """Ages in ms as the wall clock's times, as runs of this dispatcher tell them to each other."""
        now = time.time() * 1000.0
        return {name: now - ago for name, ago in ages.items()}

    @staticmethod
    def _ages(times: dict[str, float]) -> dict[str, float]:
        """The other way round. One that the wall clock puts elsewhere than in the last minute is of now."""
        now = time.time() * 1000.0
        longest = REMEMBERED * 1000.0
        ages = {name: now - at for name, at in times.items()}
        return {name: ago if 0.0 <= ago <= longest else 0.0 for name, ago in ages.items()}

    def _take_known(self, state: dict[str, Any]) -> None:
        """What another run knew: the operators' word, and a list."""
        self.set_operator_drain(bool(state["lame"]))
        for name in state["out"]:
            self.endpoints.take_out(name, listed=False)
        if state["list"] and not self.watch.heard.is_set():
            self.endpoints.apply(state["list"], cached=True)
        for name, ago in state["back"].items():
            self.endpoints.take_out(name, listed=False)
            self.endpoints.put_back(name, ago)

    # -- what outlasts this run

    async def _open_state(self) -> dict[str, Any] | None:
        """What the last run has left, before anything goes out. None if another run still has the store."""
        if self.persistent_state is None:
            return None
        from yewrill.store import StoreLocked

        try:
            await trio.to_thread.run_sync(self.persistent_state.open_store)
        except StoreLocked as error:
            if self.hot_restart is None:
                raise OSError(f"state_dir: {error}") from None
            log.info("persistent_state_waiting_for_store error=%s", error)
            return None
        return (await trio.to_thread.run_sync(self.persistent_state.restore)).as_message()

    async def _begin_keeping(self, kept: dict[str, Any] | None) -> None:
        if kept is None:
            self.nursery.start_soon(_keep, self._take_over_state)
        else:
            try:
                if kept["list"]:
                    self.endpoints.apply(kept["list"], cached=True)
            except ConfigError as error:  # of another version's form, say
                log.error("persistent_state_unreadable records=list: %s", error)
            self._take_known({**kept, "list": None})
        self.endpoints.on_applied = self.persistent_state.endpoint_list_changed
        if len(self.endpoints) and not (kept and kept["list"]):
            self.persistent_state.endpoint_list_changed()  # the configuration's own
        self.nursery.start_soon(_keep, self.persistent_state.run)

    async def _take_over_state(self) -> None:
        """The elder has the store, and has told all that operators said; of attempts it has not."""
        await self.persistent_state.take_over_store()
        await self.persistent_state.rewrite_settings(self.operator_drain)
        log.info("persistent_state_taken_over")
        await trio.sleep_forever()

    def _bound(self, sockets: int | None = None) -> None:
        """Keep to a part of the descriptors, or to all of them when no other run is left."""
        clients, worker_connections = _parts(
            self.config.limits.sockets if sockets is None else sockets
        )
        self.listener.limit(clients)
        self.worker_connections.limit(worker_connections)

    # -- drained by operators

    def _closed_unanswered(self, client: Client) -> None:
        request = client.request.id if client.request is not None else ""
        self.engine.violations.note(Rule.CLOSED_UNANSWERED, request=request, connection=id(client))

    def set_operator_drain(self, on: bool) -> None:
        """Drain as operators ask, or end that."""
        if on != self.operator_drain:
            self.operator_drain = on
            log.info("lameduck-%s clients=%d", "on" if on else "off", len(self.listener.clients))
            self._emptying.cancel()
            self._lame_closing = False
            if on:
                self._emptying = trio.CancelScope()
                self.nursery.start_soon(self._empty, self._emptying)

    async def _empty(self, scope: trio.CancelScope) -> None:
        """Let the clients go without losing a job: those at work with their answers, then the idle ones."""
        with scope:
            began = trio.current_time()
            await trio.sleep(LAME_CLOSING)
            self._lame_closing = True
            await trio.sleep_until(began + LAME_IDLE)
            while True:
                self.listener.release(LAME_AGE)
                await trio.sleep(LAME_AGE / 3)

    async def agree(self, message: dict[str, Any]) -> None:
        """What operators set holds for the dispatcher, so for both of its runs."""
        if self.hot_restart is not None:
            await self.hot_restart.agree(message)

    # -- one exchange

    async def _handle(self, client: Client, http_request: HttpRequest) -> bool:
        """Answer one request. Whether the connection may carry another."""
        path = http_request.target.partition("?")[0]
        if path == READY_PATH:
            if http_request.method != "GET":
                raise BadRequest(405, "GET only", (("Allow", "GET"),))
            reply = self._up()
        else:
            if self.draining and not self.replaced and not self.front.takes_while_draining:
                raise BadRequest(503, "draining")
            now = self.engine.now() - (trio.current_time() - http_request.arrived) * 1000.0
            request = self.front.reader.read_request(http_request, now)
            if request.id in self._open or (
                self.hot_restart is not None and self.hot_restart.open_elsewhere(request.id)
            ):
                # Still at a client or out at a destination: two of one id can't be told apart there.
                raise BadRequest(409, "X-Request-ID is in use")
            if (turned_back := self.front.turned_back(http_request)) is not None:
                await client.send(client.http.whole(turned_back, close=True))
                return False
            self._take_id(request.id)
            if self.persistent_state is not None or self.tracing_hooks is not None:
                self._introduce(request, http_request, now)
            self.engine.take(request)
            request_class = self.config.settings.classes[request.request_class].name
            client.request, client.on_left, client.proven = request, self.engine.left, True
            request.has_left = client.has_left
            try:
                async with client.watched(self.nursery):
                    if request.trace is not None:
                        bind_request(request.id, request.trace.context.trace)
                    return await self.front.respond(
                        client,
                        request,
                        lambda: self._carry(request, request_class),
                        lambda: self._closing(client),
                    )
            finally:
                client.request = None
                if (
                    not request.closed
                ):  # whatever befell this exchange, the module is not left with it
                    self.engine.left(request)
                self._free_id(request.id)
                if self.persistent_state is not None:
                    self.persistent_state.attempts.request_finished(request)
                if self.tracing_hooks is not None:
                    self.tracing_hooks.over(request)
        close = self._closing(client)
        return await client.send(client.http.whole(reply, close)) and not close

    async def _carry(self, request: Request, request_class: str) -> Answer | None:
        """Carry an operation, and count its final answer."""
        answer = await carry(request, self.engine, self._attempt)
        if answer is not None:
            if self.tracing_hooks is not None:
                self.tracing_hooks.answered(request, answer)
            self.metrics.answered(
                request_class,
                SUCCESS
                if isinstance(answer, Served)
                else OVERLOAD
                if isinstance(answer, Rejection)
                else ERROR,
            )
        return answer

    def _introduce(self, request: Request, http_request: HttpRequest, now: float) -> None:
        """Tell those beside the core of an operation, by the settings that it is read with."""
        settings = self.config.settings
        spec = settings.classes[request.request_class]
        tenant = settings.tenants[request.tenant].name if settings.tenants else ""
        if self.persistent_state is not None:
            self.persistent_state.attempts.begin_request(request, spec, tenant)
        if self.tracing_hooks is not None:
            self.tracing_hooks.begin(request, http_request, spec, tenant, now)

    async def _kept_attempt(self, attempt: Attempt) -> tuple[AttemptOutcome, Any]:
        outcome, result = await self.worker_connections.run_attempt(attempt)
        self.persistent_state.attempts.attempt_finished(attempt, outcome)
        return outcome, result

    def _closing(self, client: Client) -> bool:
        """Whether a connection closes after the answer that goes out now."""
        return self.leaving or self._lame_closing or client.ahead

    def _take_id(self, id: str) -> None:
        self._open.add(id)
        if self.hot_restart is not None:
            self.hot_restart.tell({"open": id})

    def _free_id(self, id: str) -> None:
        self._open.discard(id)
        if self.hot_restart is not None:
            self.hot_restart.tell({"shut": id})

    def _up(self) -> Reply:
        if (
            self.draining and not self.replaced
        ):  # with an heir, the dispatcher is up, whoever is asked
            return Reply(503, b"draining\n")
        if self.operator_drain:
            return Reply(503, b"drained by operators\n")
        if not len(self.endpoints):
            return Reply(503, b"no pool config yet\n")
        return Reply(200, b"up\n")


def _front(config: Config) -> PlatformFront | ProgressFront:
    reader = Reader(config.settings, config.answer_margin_ms)
    if config.front == "platform":
        return PlatformFront(reader)
    from yewrill.frontends.progress import ProgressFront

    return ProgressFront(reader)


def _callers(config: Config) -> int:
    """How many call the same discovery: all dispatchers where it is asked, we alone where it is pushed."""
    return config.settings.dispatchers if config.settings.list_on_request else 1


def _parts(sockets: int) -> tuple[int, int]:
    """How many of so many descriptors may be clients and destinations."""
    return int((sockets - SPARE) * CLIENT_PART), int((sockets - SPARE) * DESTINATION_PART)


async def _keep(task: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run a task that must outlive its own faults: one bad list or sweep must not end the program."""
    while True:
        try:
            await task(*args)
        except Exception:
            log.exception("task-fault task=%s", getattr(task, "__name__", task))
            await trio.sleep(AFTER_FAULT)


def serve(
    config: Config,
    level: str = "INFO",
    load: Callable[[], Config] | None = None,
    log_form: str = "plain",
) -> int:
    """Run the service in the foreground; its log goes to standard error. SIGHUP reads anew with `load`."""
    with logging_to(sys.stderr, level, log_form):
        note_requests()  # one that comes before we can reload must neither end us nor be lost
        try:
            service_run(config, load)
        except OSError as error:
            log.error("can't-start: %s", error)
            return 1
        return 0


def service_run(config: Config, load: Callable[[], Config] | None = None) -> None:
    async def main() -> None:
        await Service(config, load).run()

    trio.run(main)
