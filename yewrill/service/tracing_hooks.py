"""Connects the service to `yewrill.tracing`, which receives plain values instead of requests and answers.

This module is imported only if `tracing` is set.
"""

from __future__ import annotations

import random
import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Protocol

import trio

from yewrill import __version__
from yewrill.config.schema import Config, TracingConfig
from yewrill.dispatch.lifecycle import Answer, Served
from yewrill.dispatch.request import Rejection, Request
from yewrill.net.http import HttpRequest
from yewrill.policy.interface import RequestClass
from yewrill.tracing.export import Exporter, ExportTarget, StoreSpool
from yewrill.tracing.tracer import SamplingConfig, Tracer

SPOOL = b"trace/"


class SpoolStore(Protocol):
    """The part of `PersistentState` that the spool uses."""

    def prefix_usage(self, prefix: bytes) -> tuple[int, int]:
        """Returns the total bytes of the values under a prefix, and the number at the end of the last key."""

    def first_item(self, prefix: bytes) -> tuple[bytes, bytes] | None:
        """Returns the first key under a prefix, with its value."""

    async def put(self, key: bytes, value: bytes) -> bool:
        """Writes a value; returns whether it is on disk."""

    async def delete(self, key: bytes) -> bool:
        """Deletes a key; returns whether the deletion is on disk."""


class TracingHooks:
    """Holds the tracer and its exporter, and passes requests and answers to the tracer."""

    def __init__(self, config: Config):
        assert config.tracing is not None
        self._config = config.tracing
        # The system seeds this generator, so that two dispatchers don't generate the same trace ids.
        rng = random.Random()
        self.tracer = Tracer(
            _sampling_config(self._config), clock=trio.current_time, wall=time.time, rng=rng
        )
        resource = {
            "service.name": "yewrill",
            "service.version": __version__,
            "service.instance.id": config.name,
        }
        target = ExportTarget(
            url=self._config.collector,
            file=self._config.file,
            file_mb=self._config.file_mb,
            files=self._config.files,
        )
        self.exporter = Exporter(self.tracer, target, resource, __version__, rng=rng)

    def attach_spool(self, store: SpoolStore) -> None:
        """Keeps batches that can't be exported in the store, and exports those left by earlier runs first."""
        if self._config.spool_mb and self._config.collector:
            used_bytes, number = store.prefix_usage(SPOOL)
            self.exporter.spool = StoreSpool(
                store.put,
                store.first_item,
                store.delete,
                prefix=SPOOL,
                used_bytes=used_bytes,
                number=number,
                max_bytes=int(self._config.spool_mb * 2**20),
            )
            self.tracer.on_record_queued()

    def reconfigure(self, config: TracingConfig) -> TracingConfig:
        """Applies the sampling ratio and the limits of kept records; other keys need a restart.

        Returns the new settings."""
        self.tracer.reconfigure(_sampling_config(config))
        self._config = replace(
            self._config, share=config.share, queue=config.queue, honoured=config.honoured
        )
        return self._config

    def begin(
        self,
        request: Request,
        http_request: HttpRequest,
        spec: RequestClass,
        tenant: str,
        now: float,
    ) -> None:
        """Begins the trace of a request. `now`: the time on the engine's clock, in ms."""
        parents = http_request.header_values(b"traceparent")
        request.trace = self.tracer.begin(
            request.id,
            spec.name,
            tenant,
            latency_objective=spec.latency_objective,
            objective_run_factor=spec.objective_run_factor,
            deadline=request.deadline - now,
            parent=parents[0] if len(parents) == 1 else None,
            state=",".join(http_request.header_values(b"tracestate")),
            first_byte=http_request.arrived,
        )
        if request.earlier_attempt_age >= 0:
            request.trace.event(
                trio.current_time(),
                "repeat-of-earlier-run",
                f"{request.earlier_attempt_age:.0f} ms ago",
            )

    def answered(self, request: Request, answer: Answer) -> None:
        """Records the final answer in the request's trace."""
        if request.trace is not None:
            at = trio.current_time()
            if isinstance(answer, Served):
                request.trace.decide(at, "served")
            elif isinstance(answer, Rejection):
                request.trace.decide(at, "refused", answer.reason, answer.retry_after)
            else:
                request.trace.decide(at, "failed", answer.reason or answer.text)

    def request_finished(self, request: Request) -> None:
        """Ends the request's trace, when its exchange and all its attempts have ended."""
        if request.trace is not None:
            self.tracer.finish(request.trace)

    def metrics(self) -> Mapping[str, int]:
        """Returns the counters of the exporter."""
        return self.exporter.metrics()


def _sampling_config(config: TracingConfig) -> SamplingConfig:
    return SamplingConfig(config.share, config.queue, config.honoured)
