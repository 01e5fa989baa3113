"""Encodes records as OTLP: an ExportTraceServiceRequest of opentelemetry-proto's trace/v1.

Attributes follow the semantic conventions for HTTP and messaging; others are under `yewrill.*`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from opentelemetry.proto.collector.trace.v1 import trace_service_pb2 as service
from opentelemetry.proto.common.v1 import common_pb2 as common
from opentelemetry.proto.trace.v1 import trace_pb2 as pb

SCOPE = "yewrill"
_SPAN = pb.Span


def request(
    records: Sequence[Mapping[str, Any]], resource: Mapping[str, Any], version: str
) -> bytes:
    """Returns the body of a POST of these records to a collector's /v1/traces."""
    message = service.ExportTraceServiceRequest()
    spans = message.resource_spans.add()
    _attributes(spans.resource.attributes, resource)
    scope = spans.scope_spans.add()
    scope.scope.name, scope.scope.version = SCOPE, version
    for record in records:
        for span in _spans(record):
            scope.spans.append(span)
    return message.SerializeToString()


def rejected(body: bytes) -> int:
    """Returns the number of spans that a collector's 2xx response rejects (partial success)."""
    response = service.ExportTraceServiceResponse()
    try:
        response.ParseFromString(body)
    except Exception:
        # The status is 2xx, so spans count as accepted unless the body says otherwise.
        return 0
    return response.partial_success.rejected_spans


def _attributes(target: Any, values: Mapping[str, Any]) -> None:
    for key, value in values.items():
        if value is None or value == "":
            continue
        if isinstance(value, bool):
            any_value = common.AnyValue(bool_value=value)
        elif isinstance(value, int):
            any_value = common.AnyValue(int_value=value)
        elif isinstance(value, float):
            any_value = common.AnyValue(double_value=value)
        else:
            any_value = common.AnyValue(string_value=str(value))
        target.append(common.KeyValue(key=key, value=any_value))


def _spans(record: Mapping[str, Any]) -> list[pb.Span]:
    trace_id, root_id = bytes.fromhex(record["trace"]), bytes.fromhex(record["span"])
    state = record.get("state", "")
    root_span = _SPAN(
        trace_id=trace_id,
        span_id=root_id,
        name=f"POST /{record['class']}",
        kind=_SPAN.SPAN_KIND_SERVER,
        start_time_unix_nano=record["start"],
        end_time_unix_nano=record["end"],
        trace_state=state,
    )
    if record["parent"]:
        root_span.parent_span_id = bytes.fromhex(record["parent"])
    answer = record["answer"]
    _attributes(
        root_span.attributes,
        {
            "http.request.method": "POST",
            "http.route": f"/{record['class']}",
            "http.response.status_code": {"served": 200, "refused": 503, "failed": 502}.get(answer),
            "yewrill.operation.id": record["id"],
            "yewrill.class": record["class"],
            "yewrill.tenant": record["tenant"],
            "yewrill.answer": answer,
            "yewrill.why": record["why"],
            "yewrill.late": record["late"],
            "yewrill.kept": ",".join(record.get("kept", ())),
            "yewrill.deadline_ms": float(record["deadline_ms"]),
            "yewrill.aim_ms": float(record["aim_ms"]),
            **{
                f"yewrill.part.{name}_ms": value / 1e6
                for name, value in record.get("parts", {}).items()
            },
        },
    )
    if answer in ("failed", "refused"):
        root_span.status.code = pb.Status.STATUS_CODE_ERROR
        root_span.status.message = record["why"] or answer
    for event in record["events"]:
        span_event = root_span.events.add(time_unix_nano=event["at"], name=event["name"])
        _attributes(span_event.attributes, {"yewrill.text": event["text"]})
    spans = [root_span]
    for previous, attempt in zip([None, *record["attempts"]], record["attempts"], strict=False):
        spans.append(_attempt_span(trace_id, root_id, state, previous, attempt))
    delayed_from = record["taken"]
    for attempt in record["attempts"]:
        if attempt["begin"] > delayed_from:
            spans.append(
                _delay_span(
                    trace_id,
                    root_id,
                    state,
                    delayed_from,
                    attempt["begin"],
                    attempt["held"],
                    attempt["span"],
                )
            )
        delayed_from = attempt["end"]
    if answer != "served" and record["decided"] > delayed_from:
        spans.append(
            _delay_span(
                trace_id,
                root_id,
                state,
                delayed_from,
                record["decided"],
                record["why"],
                record["span"],
            )
        )
    return spans


def _attempt_span(
    trace_id: bytes,
    root_id: bytes,
    state: str,
    previous: Mapping[str, Any] | None,
    attempt: Mapping[str, Any],
) -> pb.Span:
    """Returns the span of an attempt, linked to the attempt that it retries."""
    span = _SPAN(
        trace_id=trace_id,
        span_id=bytes.fromhex(attempt["span"]),
        parent_span_id=root_id,
        name="attempt",
        kind=_SPAN.SPAN_KIND_CLIENT,
        start_time_unix_nano=attempt["begin"],
        end_time_unix_nano=attempt["end"],
        trace_state=state,
    )
    _attributes(
        span.attributes,
        {
            "server.address": attempt["to"],
            "http.request.resend_count": attempt["number"] or None,
            "yewrill.attempt.number": attempt["number"],
            "yewrill.attempt.among": attempt["among"],
            "yewrill.attempt.held": attempt["held"],
            "yewrill.attempt.ending": attempt["ending"],
            "yewrill.attempt.then": attempt["then"],
            "yewrill.attempt.share": float(attempt["share"]),
        },
    )
    for name in ("connected", "written", "started", "progressed"):
        if attempt[name]:
            span.events.add(time_unix_nano=attempt[name], name=name)
    if attempt["ending"] != "served":
        span.status.code = pb.Status.STATUS_CODE_ERROR
        span.status.message = attempt["ending"]
    if previous is not None:
        link = span.links.add(trace_id=trace_id, span_id=bytes.fromhex(previous["span"]))
        _attributes(link.attributes, {"yewrill.retry.cause": previous["ending"]})
    return span


def _delay_span(
    trace_id: bytes, root_id: bytes, state: str, begin: int, end: int, reason: str, next_span: str
) -> pb.Span:
    """Returns the span of the time for which the dispatcher held a request before `next_span`."""
    # The span's id is that of `next_span` with one bit flipped, so that a retried export encodes the same
    # bytes.
    span_id = (int(next_span, 16) ^ 1 << 63).to_bytes(8, "big")
    span = _SPAN(
        trace_id=trace_id,
        span_id=span_id,
        parent_span_id=root_id,
        name="held",
        kind=_SPAN.SPAN_KIND_INTERNAL,
        start_time_unix_nano=begin,
        end_time_unix_nano=end,
        trace_state=state,
    )
    _attributes(span.attributes, {"yewrill.held": reason})
    return span
