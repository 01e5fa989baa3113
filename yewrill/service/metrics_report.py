"""The metrics text that operators fetch, collected from all components."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from yewrill.dispatch.engine import DecisionEngine
from yewrill.dispatch.safety import CloseReason, HeldBack
from yewrill.net.connection import Retries
from yewrill.net.endpoint_list import EndpointList
from yewrill.net.listener import Listener
from yewrill.net.worker_client import WorkerClient
from yewrill.observability.metrics import Metrics, name_part
from yewrill.policy.admission_report import AdmissionReport

if TYPE_CHECKING:
    from yewrill.service.subsystems import Subsystem
    from yewrill.service.tracing_hooks import TracingHooks


class MetricsReport:
    """Collects counters and gauges at the time of the call."""

    def __init__(
        self,
        metrics: Metrics,
        engine: DecisionEngine,
        endpoints: EndpointList,
        listener: Listener,
        worker_client: WorkerClient,
        subsystems: Sequence[Subsystem],
        tracing_hooks: TracingHooks | None,
    ):
        self._metrics = metrics
        self._engine = engine
        self._endpoints = endpoints
        self._listener = listener
        self._worker_client = worker_client
        self._subsystems = subsystems
        self._tracing_hooks = tracing_hooks

    def text(self) -> str:
        """Returns all metrics in statsd format."""
        for subsystem in self._subsystems:
            self._metrics.add(subsystem.metrics())
        if self._tracing_hooks is not None:
            self._metrics.add(self._tracing_hooks.metrics())
        self._metrics.add(self._engine.violations.metrics())
        self._metrics.add(self._reason_counts())
        admission = self._engine.admission_report()
        self._metrics.add(_admission_counts(admission))
        return self._metrics.text({**self._gauges(), **_admission_gauges(admission)})

    def _gauges(self) -> dict[str, int]:
        ejected = self._engine.ejected()
        names = self._endpoints.names
        disabled = sum(not self._endpoints.may_send(name) or name in ejected for name in names)
        return {
            "concurrent": self._engine.pending,
            "input_bytes": self._listener.input_budget.held_bytes,
            "targets": len(names),
            "targets_disabled": disabled,
        }

    def _reason_counts(self) -> dict[str, int]:
        """Returns counters of held back attempts and closed connections by reason, and of failed calls."""
        held_back = self._worker_client.held_back
        closes = self._listener.closes
        return {
            **{f"held_back.{reason.name.lower()}": held_back[reason] for reason in HeldBack},
            **{f"closed.{reason.value}": closes[reason] for reason in CloseReason},
            "accept_failures": self._listener.accept_failures,
            "unfinished_requests_evicted": self._listener.input_budget.evictions,
            "call_retries": Retries.total,
        }


def _admission_counts(admission: AdmissionReport) -> dict[str, int]:
    """Returns counters of requests that were not served, by class and by reasons that occurred."""
    counts = {"load_level_changes": admission.level_changes}
    for request_class in admission.classes:
        for reason, count in request_class.not_served.items():
            name = name_part(request_class.name)
            counts[f"not_served.{name}.{reason.name.lower()}"] = count
    return counts


def _admission_gauges(admission: AdmissionReport) -> dict[str, float]:
    gauges = {
        "load_level": admission.load_level,
        "gapped_levels": admission.gapped_levels,
        "drain_time_ms": round(admission.drain_time, 1),
        "available_slots": round(admission.available_slots, 1),
    }
    for request_class in admission.classes:
        name = name_part(request_class.name)
        gauges[f"run_time_ms.{name}"] = round(request_class.mean_run_time, 1)
        gauges[f"time_constraint_ms.{name}"] = round(request_class.time_constraint, 1)
    return gauges
