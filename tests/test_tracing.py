"""Tracing: sampling, breakdown, trace headers, export to failing collectors, and the records of a service.

The tests guard against bad requests without a record or with a wrong cause, against spans that a failing
collector loses or gets twice, and against trace headers of a client that raise an error.
"""

from __future__ import annotations

import gzip
import random
from contextlib import suppress

import h11
import pytest
import trio
import ujson
from click.testing import CliRunner
from helper import ScriptedWorker, running_service, trio_test
from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2 as service

from yewrill.cli import main
from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.tracing import breakdown, context, export, otlp, retry, sampling
from yewrill.tracing.export import Exporter, ExportTarget, StoreSpool
from yewrill.tracing.tracer import SamplingConfig, Tracer

MGMT = {"mgmt": "127.0.0.1:0"}
TRACE, SPAN = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"


class OtlpCollector:
    """A collector that keeps the spans it accepts. Each item of the script decides one POST's response."""

    def __init__(self, *script):
        self.script, self.spans, self.posts, self.tries = list(script), [], 0, trio.Event()

    async def serve(self, nursery) -> str:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self._serve_connection, listeners)
        return f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}/v1/traces"

    async def _serve_connection(self, stream) -> None:
        with suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            parser = h11.Connection(h11.SERVER)
            body = b""
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(data := await stream.receive_some())
                    if not data:
                        break
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    if not await self._respond(stream, body):
                        break
                    parser.start_next_cycle() if parser.our_state is h11.DONE else None
                    parser, body = h11.Connection(h11.SERVER), b""
        await trio.aclose_forcefully(stream)

    async def _respond(self, stream, body) -> bool:
        self.posts += 1
        step = self.script.pop(0) if self.script else 200
        self.tries.set()
        if step in ("reset", "silent"):
            await (trio.sleep(0) if step == "reset" else trio.sleep(30))
            return False
        message = b""
        if step == 200:
            sent = service.ExportTraceServiceRequest.FromString(gzip.decompress(body))
            self.spans += [s for r in sent.resource_spans for c in r.scope_spans for s in c.spans]
        elif step == "partial":
            step, response = 200, service.ExportTraceServiceResponse()
            response.partial_success.rejected_spans = 3
            message = response.SerializeToString()
        elif step == "nonsense":
            step, message = 200, b"\xff\xff<html>"
        cut, status = (step == "cut"), (200 if step == "cut" else step)
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(message) + 10 * cut}\r\n"
        head += "Retry-After: 0.01\r\n" if status in (429, 503) else ""
        await stream.send_all(head.encode() + b"\r\n" + message)
        return not cut


# -- pure functions


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    parent=st.text(max_size=80)
    | st.from_regex(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}.?", fullmatch=True),
    state=st.text(max_size=600) | st.from_regex(r"([a-z0-9@=:;, ]{1,40},){0,40}", fullmatch=True),
)
def test_headers_of_any_kind_are_read_or_left_and_what_goes_on_is_well_formed(parent, state):
    found = context.read(parent, state)
    if found is not None:
        assert 0 <= found.random < 1 << 56 and int(found.trace, 16) and int(found.parent, 16)
        again = context.read(
            context.parent_header(found.trace, SPAN, True), context.state_header(found, "c")
        )
        assert (
            again.trace == found.trace and again.threshold == "c" and again.random == found.random
        )
        assert len(context.state_header(found, "c")) <= 512


def test_trace_context_reads_the_examples_of_the_standard():
    parent = f"00-{TRACE}-{SPAN}-01"
    found = context.read(
        parent, "rojo=00f067aa0ba902b7,ot=th:c;rv:12345678901234,congo=t61rcWkgMzE"
    )
    assert (found.trace, found.parent, found.sampled) == (TRACE, SPAN, True)
    assert found.threshold == "c" and found.random == 0x12345678901234
    assert (
        context.state_header(found, "fd70a")
        == "ot=th:fd70a;rv:12345678901234,rojo=00f067aa0ba902b7,congo=t61rcWkgMzE"
    )
    assert context.read(f"cc-{TRACE}-{SPAN}-01-what-comes-later", None).trace == TRACE
    for bad in (
        None,
        "",
        parent.upper(),
        parent + "-x",
        f"ff-{TRACE}-{SPAN}-01",
        f"00-{'0' * 32}-{SPAN}-01",
        f"00-{TRACE}-{'0' * 16}-01",
        parent[:-1],
    ):
        assert context.read(bad, None) is None
    for bad in ("a=1,a=2", "A=1", "a", ",".join(f"k{i}=1" for i in range(33))):
        assert context.read(parent, bad).state == ()


def test_sampling_is_consistent_and_full_queue_drops_ordinary_records_first():
    rng = random.Random(2)
    bits = [rng.getrandbits(56) for _ in range(20_000)]
    for share in (0.0, 0.01, 0.25, 1.0):
        limit = sampling.threshold(share)
        kept = {b for b in bits if b >= limit}
        assert abs(len(kept) - share * 20_000) <= 4 * (20_000 * share * (1 - share)) ** 0.5
        assert kept <= {b for b in bits if b >= sampling.threshold(min(1.0, share * 4))}
        if share:
            assert sampling.ratio_of(sampling.threshold_text(limit)) == pytest.approx(share)
    assert sampling.threshold_text(sampling.threshold(0.0)) is None
    queue = sampling.Queue(3)
    for i, bad in enumerate((False, True, False, True, True, True)):
        queue.put(i, bad)
    assert queue.dropped == {"ordinary_full": 2, "bad_full": 1} and queue.take(9) == [3, 4, 5]
    bucket = sampling.TokenBucket(2.0)
    assert [bucket.take(t) for t in (1.0, 1.0, 1.0, 1.5, 1.6)] == [
        True,
        True,
        False,
        True,
        False,
    ]
    assert not sampling.TokenBucket(0.0).take(9.0)
    assert sampling.late(501, 100, 100, 4) and not sampling.late(499, 100, 100, 4)
    assert not sampling.late(900, None, 100, 2.5) and sampling.late(900, None, 100, 0.5)


MARK = st.integers(0, 10**12)  # a timestamp in nanoseconds
ATTEMPT = st.fixed_dictionaries(
    {
        "begin": MARK,
        "end": MARK,
        "written": MARK,
        "started": MARK,
        "ending": st.sampled_from(["served", "reset", "timed out"]),
    }
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.fixed_dictionaries(
        {
            "start": MARK,
            "taken": MARK,
            "decided": MARK,
            "end": MARK,
            "attempts": st.lists(ATTEMPT, max_size=4),
        }
    )
)
def test_the_parts_add_up_to_the_whole_whatever_the_marks(record):
    record["end"] = max(record["start"], record["end"])
    found = breakdown.parts(record)
    assert sum(found.values()) == record["end"] - record["start"] and min(found.values()) >= 0
    at = record["start"]
    for _, begin, end in breakdown.segments(record):
        assert begin == at < end
        at = end


def test_retry_decision_for_each_status():
    policy = retry.RetryPolicy(
        initial_pause=1.0, max_pause=5.0, max_tries=4, jitter=0.5, max_retry_after=60.0
    )

    def after(status, tries=1, retry_after=None, random=0.5):
        return retry.decide(status, tries, retry_after, 0, policy, lambda: random)

    assert after(200) == retry.Delivered() and after(400) == retry.Dropped("status_400")
    assert [after(503, n).after for n in (1, 2, 3)] == [1.0, 2.0, 4.0]
    assert after(0, 4) == retry.Dropped("tries")
    assert after(429, retry_after=30.0).after == 30.0 and after(429, retry_after=1e9).after == 60.0
    assert after(503, random=0.0).after == 0.5 and after(503, random=1.0).after == 1.5


# -- the exporter


def make_tracer(clock=lambda: 100.0, wall=lambda: 1_700_000_000.0, **sampling_config) -> Tracer:
    return Tracer(
        SamplingConfig(**{"ratio": 0.0, **sampling_config}),
        clock=clock,
        wall=wall,
        rng=random.Random(5),
    )


def finish_request(t: Tracer, id: str, answer: str = "failed", parent=None):
    trace = t.begin(
        id,
        "tour",
        "acme",
        latency_objective=100.0,
        objective_run_factor=2.0,
        deadline=1000.0,
        parent=parent,
        state=None,
        first_byte=99.0,
    )
    attempt = trace.begin_attempt(0, "d1", 3, "no room", 99.5)
    attempt.end, attempt.outcome = 99.8, "served" if answer == "served" else "reset"
    trace.decide(99.9, answer, "out of tries")
    return t.finish(trace)


RETRY_POLICY = retry.RetryPolicy(initial_pause=0.005, max_pause=0.01, max_tries=50)


async def run_until(exporter, t, nursery, *, until):
    nursery.start_soon(exporter.run)
    while not until():
        await trio.sleep(0.002)


@pytest.mark.parametrize(
    "script", [(), (429, 503, 502, 504), ("reset", "cut", "silent"), ("reset", 503, "reset")]
)
@trio_test
async def test_exporter_with_failing_collector_delivers_each_span_once(script, monkeypatch):
    monkeypatch.setattr(export, "BATCH_DELAY_SECONDS", 0.001)
    t = make_tracer()
    async with trio.open_nursery() as nursery:
        collector = OtlpCollector(*script)
        target = ExportTarget(
            url=await collector.serve(nursery), timeout=0.2, retry_policy=RETRY_POLICY
        )
        exporter = Exporter(t, target, {"service.name": "y"}, "0", rng=random.Random(1))
        for i in range(700):  # more spans than one batch holds
            assert finish_request(t, f"r{i}")["kept"] == ["failed"]
        await run_until(exporter, t, nursery, until=lambda: exporter.counts["exported"] == 700)
        nursery.cancel_scope.cancel()
    roots = [s for s in collector.spans if s.kind == s.SPAN_KIND_SERVER]
    assert len(roots) == len({s.span_id for s in roots}) == 700
    assert len(collector.spans) == len({(s.trace_id, s.span_id) for s in collector.spans})
    assert not t.queue.dropped and exporter.counts["retries"] == len(script)


@trio_test
async def test_exporter_counts_rejected_spans_and_never_resends_an_accepted_batch(monkeypatch):
    monkeypatch.setattr(export, "BATCH_DELAY_SECONDS", 0.001)
    t = make_tracer()
    async with trio.open_nursery() as nursery:
        collector = OtlpCollector("partial", 400, "nonsense")
        exporter = Exporter(
            t, ExportTarget(url=await collector.serve(nursery), retry_policy=RETRY_POLICY), {}, "0"
        )
        nursery.start_soon(exporter.run)
        for i in range(3):
            finish_request(t, f"r{i}")
            while collector.posts <= i:
                await trio.sleep(0.002)
        while exporter.counts["exported"] < 2:
            await trio.sleep(0.002)
        nursery.cancel_scope.cancel()
    assert exporter.counts["rejected"] == 3 and t.queue.dropped == {"status_400": 1}
    assert collector.posts == 3  # no rejected batch is sent twice


@trio_test
async def test_full_queue_drops_ordinary_records_first_and_counts_them(
    tmp_path,
):
    t = make_tracer(ratio=1.0, queue=10)
    exporter = Exporter(t, ExportTarget(file=str(tmp_path / "no" / "t.jsonl")), {}, "0")
    (tmp_path / "no").write_text("a file where a directory should be")
    for i in range(30):
        finish_request(t, f"r{i}", "served" if i % 2 else "failed")
    assert len(t.queue) == 10 and t.queue.dropped == {"ordinary_full": 15, "bad_full": 5}
    await exporter.flush()
    assert exporter.metrics()["trace_dropped_file_failed"] == 10


@trio_test
async def test_spooled_batches_are_delivered_after_a_restart(monkeypatch):
    monkeypatch.setattr(export, "BATCH_DELAY_SECONDS", 0.001)
    kept: dict[bytes, bytes] = {}

    async def put(key, value):
        kept[key] = value
        return True

    async def drop(key):
        return kept.pop(key, None) is not None

    def spool(**more):
        return StoreSpool(
            put,
            lambda prefix: min(kept.items(), default=None),
            drop,
            **{"max_bytes": 10**6, **more},
        )

    t = make_tracer()
    async with trio.open_nursery() as nursery:
        gone = Exporter(
            t,
            ExportTarget(url="http://127.0.0.1:9/v1/traces", retry_policy=RETRY_POLICY),
            {},
            "0",
            spool=spool(),
        )
        for i in range(5):
            finish_request(t, f"first{i}")
        await run_until(gone, t, nursery, until=lambda: gone.counts["spooled"] == 5)
        for i in range(5):
            finish_request(t, f"second{i}")
        nursery.cancel_scope.cancel()  # cancelled as if killed: the second five may have been spooled or not
    before = sum(len(gzip.decompress(v).splitlines()) for v in kept.values())
    assert before >= 5
    t = make_tracer()
    async with trio.open_nursery() as nursery:
        collector = OtlpCollector(503)
        exporter = Exporter(
            t,
            ExportTarget(url=await collector.serve(nursery), retry_policy=RETRY_POLICY),
            {},
            "0",
            spool=spool(number=len(kept)),
        )
        finish_request(t, "third")
        await run_until(
            exporter, t, nursery, until=lambda: not kept and exporter.counts["exported"] > before
        )
        nursery.cancel_scope.cancel()
    ids = [
        v.value.string_value
        for s in collector.spans
        for v in s.attributes
        if v.key == "yewrill.operation.id"
    ]
    assert (
        ids[0].startswith("first")
        and ids[-1] == "third"
        and len(ids) == len(set(ids)) == before + 1
    )
    # An item that is larger than the spool is not stored.
    assert not await spool(max_bytes=10).put(b"x" * 11)


# -- a whole service


def read_records(path) -> dict[str, dict]:
    return (
        {r["id"]: r for r in map(ujson.loads, path.read_text().splitlines())}
        if path.exists()
        else {}
    )


@trio_test
async def test_service_sampling_one_percent_keeps_every_bad_request_with_its_causes(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(export, "BATCH_DELAY_SECONDS", 0.001)
    path, seen = tmp_path / "t.jsonl", {}

    async def script(x):
        seen.setdefault(x.id, []).append(x.headers)
        first = len(seen[x.id]) == 1
        if x.id.startswith("late"):
            await x.send_message("started")
            await trio.sleep(0.25)
            await x.done()
        elif x.id.startswith("retry") and first:
            await x.send_status(503, "X-Not-Processed: 1")
        elif x.id.startswith("reset") and first:
            x.reset()
        elif x.id.startswith("fail"):
            await x.send_message("failed")
        elif x.id.startswith(("gone", "vanish", "quit")) and not (
            x.id.startswith("quit") and first
        ):
            await x.wait_closed()
        elif x.id.startswith("quit"):
            await x.send_status(503, "X-Not-Processed: 1")
        else:
            await x.done()

    tracing = {"tracing": {"file": str(path), "share": 0.01, "honoured": 2}}
    classes = [
        {"name": "tour", "aim": 200.0, "deadline": 3000.0, "repeat": "pure", "value": 1.0},
        {"name": "once", "aim": 200.0, "deadline": 3000.0, "repeat": "side_effect", "value": 1.0},
    ]
    statuses: dict[str, int | None] = {}
    async with running_service(
        ScriptedWorker("d1", script),
        ScriptedWorker("d2", script),
        settings={"request_classes": classes},
        **tracing,
        **MGMT,
    ) as harness:

        async def ask(id, **headers):
            target = "/once" if id.startswith("fail") else "/tour"
            statuses[id] = None
            with trio.move_on_after(0.1 if id.startswith(("gone", "quit")) else 15):
                statuses[id] = (await harness.ask(target, X_Request_ID=id, **headers)).status

        def expected(id) -> set[str]:
            causes = {{503: "refused", 502: "failed", None: "left"}.get(statuses[id])}
            causes |= {"retried"} if len(seen.get(id, ())) > 1 else set()
            return (
                causes | {"late"} if id.startswith("late") and statuses[id] == 200 else causes
            ) - {None}

        for i in range(400):
            await ask(f"plain{i}")
        await ask("vanish0")
        for kind in ("late", "retry", "fail", "quit", "gone", "reset"):
            for i in range(5):
                await ask(f"{kind}{i}")
        # The deadline is too close for an attempt: rejected at once, with the policy's reason.
        for i in range(4):
            await ask(f"busy{i}", X_Timeout_Ms="2")
        for i in range(30):
            await ask(f"asked{i}", traceparent=f"00-{TRACE}-{SPAN}-01")
        await ask("odd1", traceparent="nonsense")
        await ask("odd2", traceparent=f"00-{TRACE}-{SPAN}-00", tracestate="x=1,,bad==")
        bad = {id for id in statuses if expected(id)}
        assert len(bad) >= 20 and {c for id in bad for c in expected(id)} == set(sampling.BAD)
        await harness.wait_until(lambda: bad <= read_records(path).keys())
        counts = (await harness.call("GET /_vars")).body.decode()
        assert f"app.trace_finished:{len(statuses)}|c" in counts
        assert f"app.trace_kept_bad:{len(bad)}|c" in counts
    found = read_records(path)
    for id, record in found.items():
        kind = id.rstrip("0123456789")
        assert sum(record["parts"].values()) == record["end"] - record["start"]
        assert len(record["attempts"]) >= len(seen.get(id, ()))
        if id in bad:
            # A second attempt may have been chosen but never sent, since its client had left.
            tried = {"retried"} if len(record["attempts"]) > 1 else set()
            assert expected(id) <= set(record["kept"]) == expected(id) | tried, id
        else:
            assert record["kept"] in (["sampled"], ["asked"]) and kind in ("plain", "asked", "odd")
        for attempt, headers in zip(record["attempts"], seen.get(id, ()), strict=False):
            assert headers["traceparent"].split("-")[1:3] == [record["trace"], attempt["span"]]
    # The number of sampled requests has a binomial distribution with mean 4 and deviation 2.
    assert sum(k.startswith("plain") for k in found) <= 4 + 4 * 2
    asked = [r for k, r in found.items() if k.startswith("asked")]
    assert 1 <= len(asked) < 30 and all(r["trace"] == TRACE and r["parent"] == SPAN for r in asked)
    retried = next(r for k, r in found.items() if k.startswith("retry") and r["answer"] == "served")
    assert [a["ending"] for a in retried["attempts"]] == ["turned away", "served"]
    assert retried["parts"]["lost"] > 0
    late = [r for k, r in found.items() if "late" in expected(k)]
    assert all(r["parts"]["running"] > 200e6 and r["attempts"][0]["started"] for r in late)
    assert found["busy0"]["why"] and not found["busy0"]["attempts"]
    gone = next(r for k, r in found.items() if k.startswith("gone") and r["attempts"])
    assert gone["answer"] == "left" and "client-left" in [event["name"] for event in gone["events"]]
    # The attempt ends when its end is observed, later than the moment at which the client left.
    assert (
        gone["attempts"][0]["end"] > gone["decided"] and gone["attempts"][0]["ending"] != "served"
    )
    run = CliRunner()
    # The worker never responded: the attempt ends when the dispatcher gives it up.
    vanished = [r for k, r in found.items() if k.startswith("vanish") and r["attempts"]]
    assert vanished
    for last in (r["attempts"][-1] for r in vanished):
        assert (
            last["ending"] == "timed out"
            and last["end"] - last["written"] > 100e6
            and not last["started"]
        )
    # The client left while a retry was pending or running.
    assert any(
        r["answer"] == "left" and r["attempts"][0]["ending"] == "turned away"
        for k, r in found.items()
        if k.startswith("quit") and r["attempts"]
    )
    listed = run.invoke(main, ["trace", "list", str(path), "--cause", "late"]).stdout
    assert len(listed.splitlines()) == len(late)
    assert "lost" in run.invoke(main, ["trace", "show", retried["id"], str(path)]).stdout
    output = run.invoke(main, ["trace", "why", retried["id"], str(path)]).stdout
    assert (
        "sent it back unstarted" in output
        and "then: tried again" in output
        and "was served" in output
    )
    page = tmp_path / "r.html"
    assert run.invoke(main, ["trace", "report", str(path), "--output", str(page)]).exit_code == 0
    assert "turned away" in page.read_text() and "<script" not in page.read_text()
    assert run.invoke(main, ["trace", "why", "nobody", str(path)]).exit_code == 1
    assert run.invoke(main, ["trace", "list", str(tmp_path / "absent")]).exit_code == 2


@trio_test
async def test_reload_and_hot_restart_are_events_of_the_open_traces(tmp_path, monkeypatch):
    from test_operators import hot_restart_service, start_new_process

    monkeypatch.setattr(export, "BATCH_DELAY_SECONDS", 0.001)
    gate = trio.Event()

    async def waits(x):
        if x.id == "slow":
            await gate.wait()
        await x.done()

    paths = tmp_path / "elder", tmp_path / "heir"
    async with hot_restart_service(
        ScriptedWorker("d1", waits), tracing={"file": str(paths[0]), "share": 1.0}
    ) as harness:
        slow = await harness.shared.client()
        await slow.send(X_Request_ID="slow", traceparent=f"00-{TRACE}-{SPAN}-01")
        await harness.wait_until(lambda: harness.old_process.tracing_hooks.tracer.open_count == 1)
        harness.old_process.reload()
        await start_new_process(harness, tracing={"file": str(paths[1]), "share": 1.0})
        harness.nursery.start_soon(harness.old_process.drain)
        await harness.wait_until(lambda: harness.old_process.run_state.draining)
        assert (
            await harness.ask(X_Request_ID="next", traceparent=f"00-{TRACE}-{SPAN}-01")
        ).status == 200
        gate.set()
        assert (await slow.reply()).status == 200
        await harness.wait_until(
            lambda: "slow" in read_records(paths[0]) and "next" in read_records(paths[1])
        )
    old_process, new_process = read_records(paths[0])["slow"], read_records(paths[1])["next"]
    assert (
        old_process["trace"] == new_process["trace"] == TRACE
        and old_process["span"] != new_process["span"]
    )
    assert [e["name"] for e in old_process["events"]] == [
        "reloaded",
        "draining",
    ] and not new_process["events"]


@trio_test
async def test_wall_clock_set_back_keeps_durations_and_reload_changes_the_share(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(export, "BATCH_DELAY_SECONDS", 0.001)
    path = tmp_path / "t.jsonl"

    async def slow(x):
        # Sets the clock back by decades while the request runs.
        monkeypatch.setattr("time.time", lambda: 5.0)
        await trio.sleep(0.05)
        await x.done()

    async with running_service(
        ScriptedWorker("d1", slow), tracing={"file": str(path), "share": 1.0}
    ) as harness:
        assert (await harness.ask(X_Request_ID="a")).status == 200
        await harness.wait_until(lambda: "a" in read_records(path))
        harness.raw["tracing"]["share"] = 0.0
        harness.service.reload()
        assert (await harness.ask(X_Request_ID="b")).status == 200
        await harness.wait_until(
            lambda: harness.service.tracing_hooks.tracer.counts["thinned"] == 1
        )
    record = read_records(path)["a"]
    assert 50e6 <= record["parts"]["running"] <= record["end"] - record["start"] < 3e9


def test_flood_of_sampled_flags_is_rate_limited():
    t = make_tracer(ratio=0.0, queue=100, caller_sampled_per_second=5.0)
    for i in range(10_000):
        finish_request(t, f"r{i}", "served", parent=f"00-{i + 1:032x}-{SPAN}-01")
        finish_request(t, f"s{i}", "served", parent=f"00-{TRACE}-{SPAN}-01")
    assert t.counts["kept_ordinary"] == 5 and t.open_count == 0 and len(t.queue) == 5


@pytest.mark.parametrize(
    "given, key",
    [
        ({}, "tracing"),
        ({"file": "x", "share": 2}, "tracing.share"),
        ({"collector": "https://x"}, "tracing.collector"),
        ({"file": "x", "spool_mb": 1}, "tracing.spool_mb"),
        ({"file": "x", "odd": 1}, "tracing.odd"),
    ],
)
def test_faulty_tracing_section_names_the_key(given, key):
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_config(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "tracing": given,
                "settings": {"request_classes": [{"name": "tour", "deadline": 1000.0}]},
            }
        )


def test_span_of_a_retry_links_to_the_previous_attempt():
    t = make_tracer()
    trace = t.begin(
        "r",
        "tour",
        "acme",
        latency_objective=1,
        objective_run_factor=1,
        deadline=9,
        parent=f"00-{TRACE}-{SPAN}-01",
        state=None,
        first_byte=99.0,
    )
    for number, outcome in enumerate(("reset", "served")):
        attempt = trace.begin_attempt(number, f"d{number}", 2, "", 99.1 + number / 10)
        attempt.begin, attempt.end, attempt.outcome = attempt.chosen, attempt.chosen + 0.05, outcome
    trace.decide(99.9, "served")
    record = t.finish(trace)
    sent = service.ExportTraceServiceRequest.FromString(
        otlp.request([record], {"service.name": "y"}, "1")
    )
    spans = {s.name + str(i): s for i, s in enumerate(sent.resource_spans[0].scope_spans[0].spans)}
    first, second = spans["attempt1"], spans["attempt2"]
    assert second.links[0].span_id == first.span_id
    assert second.links[0].attributes[0].value.string_value == "reset"
    root = spans["POST /tour0"]
    assert root.parent_span_id.hex() == SPAN and first.parent_span_id == root.span_id
