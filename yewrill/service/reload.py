"""Reload of the configuration while serving."""

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

# The keys that a reload changes; a change of any other key needs a restart.
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
    """Holds the current configuration, and replaces it on a reload."""

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
        """Reads the configuration again and applies the keys that can change while serving.

        A configuration with any error is rejected as a whole."""
        if self._load is None:
            return
        try:
            new_config = self._load()
            check_reload(self.config, new_config)
        except Exception as error:  # on any error the current configuration stays
            log.error(
                "reload_rejected %s", error if isinstance(error, ConfigError) else repr(error)
            )
            self._metrics.reloaded(False)
            return
        self.config = replace(
            self.config, **{key: getattr(new_config, key) for key in RELOADED_KEYS}
        )
        self._apply()
        self._metrics.reloaded(True)
        self._reconfigure_tracing(new_config)
        log.info(
            "reloaded discovery=%s:%d classes=%s",
            *self.config.discovery,
            ",".join(c.name for c in self.config.settings.classes),
        )
        if ignored_keys := changed_keys(self.config, new_config):
            log.warning("reload_ignored keys=%s: a restart takes them up", ",".join(ignored_keys))

    def _apply(self) -> None:
        """Reconfigures all components without a checkpoint: they must agree on the indexes of classes."""
        config = self.config
        self._front.reader.reconfigure(config.settings, config.answer_margin_ms)
        self._engine.reconfigure(config.settings)
        self._metrics.register_classes(c.name for c in config.settings.classes)
        self._endpoints.topology = config.topology
        self._watch.callers = discovery_callers(config)
        self._worker_connections.reconfigure(
            config.connect_timeout_ms / 1000.0, config.idle_close_ms / 1000.0
        )
        self._watch.change_address(config.discovery)

    def _reconfigure_tracing(self, new_config: Config) -> None:
        if self._tracing_hooks is None:
            return
        self._tracing_hooks.tracer.event("reloaded")
        if new_config.tracing is not None:
            tracing = self._tracing_hooks.reconfigure(new_config.tracing)
            self.config = replace(self.config, tracing=tracing)


def discovery_callers(config: Config) -> int:
    """Returns how many processes call the same discovery: all dispatchers if it is polled, else one."""
    return config.settings.dispatchers if config.settings.list_on_request else 1
