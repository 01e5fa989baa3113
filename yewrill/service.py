"""The whole program: configuration in, listener, core, destinations and discovery running, until SIGTERM."""

from __future__ import annotations

import gc
import logging
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import trio

from yewrill.config import Config, ConfigError, differing
from yewrill.core import carry
from yewrill.facade import Decisions
from yewrill.fronts.platform import PlatformFront, Reader
from yewrill.fronts.progress import ProgressFront
from yewrill.net.destinations import DestinationPool
from yewrill.net.door import Call, Door
from yewrill.net.http import BadRequest, Reply, Request
from yewrill.net.listener import Client, Listener
from yewrill.net.poolconfig import PoolConfig, Watch

log = logging.getLogger("yewrill")

FRONTS = {"platform": PlatformFront, "progress": ProgressFront}
READY_PATH = "/up"
# What a reload changes; all else stands for as long as the program runs.
RELOADED = ("discovery", "answer_margin_ms", "linger_ms", "grace_ms")
# Before the end of the grace that SIGTERM leaves: until when, in ms, requests are taken, and answers wait.
LAST_REQUEST, LAST_ANSWER = 900.0, 250.0
AFTER_FAULT = 0.1  # seconds before a task that failed goes on
# Shares of the descriptors: the rest is for the log, discovery, the listener and the event loop itself.
CLIENT_PART, DESTINATION_PART, SPARE = 0.55, 0.45, 40


class Service:
    def __init__(self, config: Config, load: Callable[[], Config] | None = None):
        self.config = config
        self._load = load  # reads the configuration anew
        self.draining = False  # not ready any more
        self.leaving = False  # connections close after their answer
        self.decisions = Decisions(config.settings, config.seed)
        self.pool = PoolConfig(self.decisions, config.places)
        self._open: set[str] = set()  # ids of operations under way, those of clients that have left too
        self.nursery: trio.Nursery
        self.watch = Watch(config.discovery, self.pool)
        self.front = FRONTS[config.front](Reader(config.settings, config.answer_margin_ms))
        sockets = config.limits.sockets - SPARE
        self.destinations = DestinationPool(
            self.decisions, self.pool, self.front, most=int(sockets * DESTINATION_PART),
            connect_timeout=config.connect_timeout_ms / 1000.0, idle_limit=config.idle_close_ms / 1000.0)
        self.listener = Listener(config.listen, self._handle, int(sockets * CLIENT_PART))
        self.door = Door(config.mgmt, self._calls()) if config.mgmt is not None else None

    async def run(self, *, signals: bool = True,
                  task_status: trio.TaskStatus[Service] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until SIGTERM (or `drain`), then finish what was taken and return."""
        if self.config.known is not None:
            self.pool.apply(dict(self.config.known), cached=True)
        self.decisions.tick()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(_keep, self.decisions.run, self.destinations.probe)
            nursery.start_soon(_keep, self.destinations.keep_tidy)
            if self.door is not None:
                nursery.start_soon(self.door.run)
                log.info("door listen=%s:%d", *self.door.address)
            if signals:
                await nursery.start(self._on_signal, nursery)
            log.info("ready name=%s listen=%s:%d front=%s destinations=%d", self.config.name,
                     *self.listener.address, self.config.front, len(self.pool))
            # After that line, so that the log tells of the start first and of a silent discovery second.
            nursery.start_soon(_keep, self.watch.run)
            task_status.started(self)
            # What start-up left behind stays for good: the collector need not look at it again.
            gc.collect()
            gc.freeze()
            gc.set_threshold(20_000, 20, 50)
            await self.listener.run()
            log.info("drained")
            nursery.cancel_scope.cancel()
        self.destinations.close()
        if self.door is not None:
            self.door.close()

    async def _on_signal(self, nursery: trio.Nursery,
                         task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            task_status.started()
            async for number in received:
                if number == signal.SIGHUP:
                    self.reload()
                elif not self.draining:
                    log.info("draining signal=%s clients=%d", signal.Signals(number).name,
                             len(self.listener.clients))
                    nursery.start_soon(self.drain)

    def reload(self) -> None:
        """Read the configuration anew and take up what can change while serving; the rest stays as it is."""
        if self._load is None:
            return
        try:
            config = self._load()
        except Exception as error:  # whatever is wrong with the file, the one that served so far goes on
            log.error("reload-refused %s", error if isinstance(error, ConfigError) else repr(error))
            return
        self.config = taken = replace(self.config, **{key: getattr(config, key) for key in RELOADED})
        self.front.reader.margin = taken.answer_margin_ms
        self.watch.move(taken.discovery)
        log.info("reloaded discovery=%s:%d", *taken.discovery)
        if others := differing(taken, config):
            log.warning("reload-ignored keys=%s: a restart takes them up", ",".join(others))

    async def drain(self) -> None:
        """Stop being ready; take new connections for a while; serve the open ones for as long as there is
        time to answer; and give whatever is then left its final answer before the platform kills us."""
        self.draining = True
        began = trio.current_time()
        config = self.config
        await trio.sleep_until(began + config.linger_ms / 1000.0)
        self.listener.stop_accepting()
        with trio.move_on_at(began + max(config.linger_ms, config.grace_ms - LAST_REQUEST) / 1000.0):
            await self.listener.emptied()
        self.leaving = True
        self.listener.close()
        await trio.sleep_until(began + (config.grace_ms - LAST_ANSWER) / 1000.0)
        if self.decisions.pending:
            log.warning("last-call open=%d", self.decisions.pending)
            self.decisions.give_up()

    # -- what operators ask

    def _calls(self) -> dict[str, Call]:
        return {"/_ready": Call("GET", self._ready)}

    # -- one exchange

    async def _handle(self, client: Client, request: Request) -> bool:
        """Answer one request. Whether the connection may carry another."""
        path = request.target.partition("?")[0]
        if path == READY_PATH:
            if request.method != "GET":
                raise BadRequest(405, "GET only", (("Allow", "GET"),))
            reply = self._ready()
        else:
            if self.draining and not self.front.takes_while_draining:
                raise BadRequest(503, "draining")
            now = self.decisions.now() - (trio.current_time() - request.arrived) * 1000.0
            operation = self.front.reader.operation(request, now)
            if operation.id in self._open:
                # Still at a client or out at a destination: two of one id can't be told apart there.
                raise BadRequest(409, "X-Request-ID is in use")
            self._open.add(operation.id)
            client.operation, client.on_left, client.proven = operation, self.decisions.left, True
            try:
                async with client.watched(self.nursery):
                    return await self.front.respond(
                        client, operation,
                        lambda: carry(operation, self.decisions, self.destinations.attempt),
                        lambda: self.leaving or client.ahead)
            finally:
                client.operation = None
                self._open.discard(operation.id)
        close = self.leaving or client.ahead
        return await client.send(client.http.whole(reply, close)) and not close

    def _ready(self) -> Reply:
        if self.draining:
            return Reply(503, b"draining\n")
        if not len(self.pool):
            return Reply(503, b"no pool config yet\n")
        return Reply(200, b"up\n")


async def _keep(task: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run a task that must outlive its own faults: one bad list or sweep must not end the program."""
    while True:
        try:
            await task(*args)
        except Exception:
            log.exception("task-fault task=%s", getattr(task, "__name__", task))
            await trio.sleep(AFTER_FAULT)


def serve(config: Config, level: str = "INFO", load: Callable[[], Config] | None = None) -> int:
    """Run the service in the foreground; its log goes to standard error. SIGHUP reads anew with `load`."""
    logging.basicConfig(stream=sys.stderr, level=level,
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one that comes before we can reload must not end us
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
