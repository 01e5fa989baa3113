"""Reading the configuration anew while serving."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from yewrill.config.errors import ConfigError
from yewrill.config.reload import changed_keys, check_reload
from yewrill.config.schema import Config
from yewrill.dispatch.engine import DecisionEngine
from yewrill.net.discovery import DiscoveryWatch
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.worker_connections import WorkerConnectionPool
from yewrill.observability.metrics import Metrics

if TYPE_CHECKING:
    from yewrill.frontends.platform import PlatformFront
    from yewrill.frontends.progress import ProgressFront
    from yewrill.service.tracing_hooks import TracingHooks

log = logging.getLogger("yewrill")

# What a reload changes; all else stands for as long as the program runs.
RELOADED_KEYS = (
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


class Reloader:
    """Holds the configuration in force, and replaces it."""

    def __init__(
        self,
        config: Config,
        load: Callable[[], Config] | None,
        *,
        front: PlatformFront | ProgressFront,
        engine: DecisionEngine,
        endpoints: EndpointList,
        watch: DiscoveryWatch,
        worker_connections: WorkerConnectionPool,
        metrics: Metrics,
        tracing_hooks: TracingHooks | None,
    ):
        self.config = config
        self._load = load
        self._front = front
        self._engine = engine
        self._endpoints = endpoints
        self._watch = watch
        self._worker_connections = worker_connections
        self._metrics = metrics
        self._tracing_hooks = tracing_hooks

    def reload(self) -> None:
        """Take up what can change while serving. A configuration with any error changes nothing."""
        if self._load is None:
            return
        try:
            read = self._load()
            check_reload(self.config, read)
        except Exception as error:  # whatever is wrong with the file, the one in force goes on
            log.error(
                "reload_rejected %s", error if isinstance(error, ConfigError) else repr(error)
            )
            self._metrics.reloaded(False)
            return
        self.config = replace(self.config, **{key: getattr(read, key) for key in RELOADED_KEYS})
        self._apply()
        self._metrics.reloaded(True)
        self._reconfigure_tracing(read)
        log.info(
            "reloaded discovery=%s:%d classes=%s",
            *self.config.discovery,
            ",".join(c.name for c in self.config.settings.classes),
        )
        if others := changed_keys(self.config, read):
            log.warning("reload_ignored keys=%s: a restart takes them up", ",".join(others))

    def _apply(self) -> None:
        """Reconfigure all at once: requests read from here on have the new classes' positions everywhere."""
        config = self.config
        self._front.reader.reconfigure(config.settings, config.answer_margin_ms)
        self._engine.reconfigure(config.settings)
        self._metrics.register_classes(c.name for c in config.settings.classes)
        self._endpoints.topology = config.topology
        self._watch.callers = discovery_callers(config)
        self._worker_connections.reconfigure(
            config.connect_timeout_ms / 1000.0, config.idle_close_ms / 1000.0
        )
        self._watch.move(config.discovery)

    def _reconfigure_tracing(self, read: Config) -> None:
        if self._tracing_hooks is None:
            return
        self._tracing_hooks.tracer.event("reloaded")
        if read.tracing is not None:
            tracing = self._tracing_hooks.reconfigure(read.tracing)
            self.config = replace(self.config, tracing=tracing)


def discovery_callers(config: Config) -> int:
    """How many processes call the same discovery: all dispatchers where it is polled, else this one."""
    return config.settings.dispatchers if config.settings.list_on_request else 1
