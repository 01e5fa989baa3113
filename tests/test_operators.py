"""What operators do: management calls, hot restarts, drains, reloads and metrics.

Most tests run a service over loopback sockets between clients and scripted workers.
"""

import copy
import os
import signal
import socket
import tempfile
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing
from helper import (
    Client,
    RejectingScript,
    ScriptedWorker,
    done,
    mock_clock_test,
    running_service,
    trio_test,
)

from yewrill.config.reading import read_config
from yewrill.dispatch.attempt_log import RETRIED_OUTCOMES, SEND_DELAY_BUCKETS_MS
from yewrill.dispatch.outcome import AttemptOutcome
from yewrill.dispatch.request import Request
from yewrill.dispatch.safety import CloseReason, HeldBack, Rule
from yewrill.net import listener
from yewrill.net.management import ManagementListener
from yewrill.policy import interface as api
from yewrill.policy.dispatcher import RELEASE_TIMER, Dispatcher
from yewrill.service.hot_restart import HotRestart, link_path
from yewrill.service.service import Service
from yewrill.service.socket_budget import MIN_SOCKETS, RESERVED_SOCKETS

MGMT = {"mgmt": "127.0.0.1:0"}


@trio_test
async def test_the_management_listener_answers_ready_and_rejects_wrong_calls():
    async with running_service(ScriptedWorker("d1", done), **MGMT) as harness:
        assert (await harness.call("GET /_ready")).status == 200
        for call, status in (
            ("GET /_nothing", 404),
            ("GET /tour", 404),
            ("GET /up", 404),
            ("PUT /_ready", 405),
        ):
            assert (await harness.call(call)).status == status
        assert (await harness.call("x", b"no call\r\n\r\n")).status == 400
        # The clients' listener has no management calls.
        assert (await harness.ask("/_ready", "GET")).status == 404


@mock_clock_test
async def test_silent_management_callers_delay_no_call_and_are_closed():
    async with running_service(ScriptedWorker("d1", done), **MGMT) as harness:
        began = trio.current_time()
        silent = [
            await trio.open_tcp_stream(*harness.service.management.address) for _ in range(40)
        ]
        for stream in silent[::2]:
            await stream.send_all(b"GET /_rea")
        assert (await harness.call("GET /_ready")).status == 200
        assert trio.current_time() - began < 1.0
        for stream in silent:
            with trio.fail_at(began + 2.0):
                try:
                    while await stream.receive_some():
                        pass
                except trio.BrokenResourceError:
                    pass  # the incomplete call was never read
        # Callers of the management listener are not clients.
        assert len(harness.service.listener.clients) == 0


@trio_test
async def test_without_mgmt_there_is_no_management_listener():
    async with running_service(ScriptedWorker("d1", done)) as harness:
        assert harness.service.management is None


class SharedResources:
    """The clients' listening socket, as the platform holds it, and a directory that the processes share."""

    def __init__(self, directory: str):
        self.directory = directory
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self.sock.getsockname()

    def environment(self) -> dict[str, str]:
        return {"BALANCER_INHERITED_FD": str(os.dup(self.sock.fileno())), "TMPDIR": self.directory}

    async def client(self) -> Client:
        return Client(await trio.open_tcp_stream(*self.address))

    def link(self):
        return link_path(self.directory, "yewrill", ("127.0.0.1", 0))


@asynccontextmanager
async def hot_restart_service(*workers, **config):
    with tempfile.TemporaryDirectory() as directory:
        # A path that is longer than a Unix socket address, as a platform may use.
        deep = os.path.join(directory, "d" * 120)
        os.mkdir(deep)
        shared = SharedResources(deep)
        async with running_service(
            *workers, environment=shared.environment(), **{**MGMT, **config}
        ) as harness:
            harness.shared = shared
            harness.old_process = harness.service
            yield harness
        shared.sock.close()


async def start_new_process(harness, **config) -> Service:
    new_process = Service(read_config({**harness.raw, **config}, harness.shared.environment()))
    await harness.nursery.start(
        lambda task_status: new_process.run(signals=False, task_status=task_status)
    )
    harness.service = new_process
    return new_process


@pytest.mark.parametrize("front", ["platform", "progress"])
@trio_test
async def test_a_hot_restart_leaves_no_gap_and_the_old_process_answers_what_it_accepted(front):
    worker, gate = ScriptedWorker("d1", None), trio.Event()

    async def waits(exchange):
        if exchange.id == "slow":
            await gate.wait()
        await exchange.done()

    worker.script = waits
    async with hot_restart_service(worker, front=front) as harness:
        slow, kept, unread = [await harness.shared.client() for _ in range(3)]
        await slow.send(X_Request_ID="slow")
        await harness.wait_until(
            lambda: worker.exchanges and len(harness.old_process.listener.clients) == 3
        )
        new_process = await start_new_process(harness)
        assert (await harness.call("GET /_ready")).status == 200
        harness.nursery.start_soon(harness.old_process.drain)
        await harness.wait_until(lambda: harness.old_process.run_state.draining)
        # A shutdown without a new process would accept for another 0.7 s.
        assert not harness.old_process.listener.accepting
        for i in range(20):  # the new process accepts new connections
            assert (await harness.ask("/up", "GET")).status == 200
            assert (await harness.ask(X_Request_ID=f"n{i}")).status == 200
        assert len(harness.old_process.listener.clients) == 3
        up = await kept.ask("/up", "GET")  # the dispatcher is up, whichever process is asked
        assert (up.status, up.headers["connection"]) == (200, "close")
        # The old process reads from this connection only now.
        assert (await unread.ask(X_Request_ID="late")).status == 200
        gate.set()
        assert (await slow.reply()).status == 200
        for client in (slow, kept, unread):
            # The old process closes a connection after its answer.
            assert await client.stream.receive_some() == b""
            await client.stream.aclose()
        await harness.ended.wait()
        # The limit is all descriptors that are not reserved, times CLIENT_SHARE.
        await harness.wait_until(lambda: new_process.listener._max_clients == 541)


@trio_test
async def test_the_old_process_knows_the_new_one_as_soon_as_that_is_ready():
    async with hot_restart_service(ScriptedWorker("d1", done)) as harness:
        new_process = await start_new_process(harness)
        # The platform sends SIGTERM once the new process is ready: the old one must know of it by then.
        assert new_process.run_state.serving and harness.old_process.hot_restart.new_process_ready
        assert harness.old_process.listener._max_clients + new_process.listener._max_clients <= 541


@trio_test
async def test_an_id_open_in_one_process_is_in_use_in_the_other():
    gate, worker = trio.Event(), ScriptedWorker("d1", None)

    async def waits(exchange):
        await gate.wait()
        await exchange.done()

    worker.script = waits
    async with hot_restart_service(worker) as harness:
        before = await harness.shared.client()
        await before.send(X_Request_ID="r7")
        await harness.wait_until(lambda: worker.exchanges)
        new_process = await start_new_process(harness)
        assert new_process.hot_restart.open_elsewhere("r7")  # known from the old process's snapshot
        harness.old_process.listener.stop_accepting()
        assert (await (await harness.shared.client()).ask(X_Request_ID="r7")).status == 409
        after = await harness.shared.client()
        await after.send(X_Request_ID="r8")
        # Changes go in the other direction as well.
        await harness.wait_until(lambda: harness.old_process.hot_restart.open_elsewhere("r8"))
        gate.set()
        assert (await before.reply()).status == (await after.reply()).status == 200
        await harness.wait_until(lambda: not new_process.hot_restart.open_elsewhere("r7"))
        assert (await (await harness.shared.client()).ask(X_Request_ID="r7")).status == 200


@pytest.mark.parametrize("target", ("/once", "/save"))
@pytest.mark.parametrize("at_new_process", (False, True))
@trio_test
async def test_a_request_that_ran_in_one_process_does_not_run_again_in_the_other(
    target, at_new_process
):
    """Guards against an id, or a key, that runs twice at the other process of an upgrade."""
    gate, ran = trio.Event(), []

    def script(cell: int):
        async def run(exchange) -> None:
            ran.append((cell, exchange.headers.get("idempotency-key")))
            await gate.wait()
            await exchange.done()

        return run

    workers = [ScriptedWorker(f"d{i}", script(i), cell=i) for i in range(4)]
    async with hot_restart_service(*workers) as harness:
        old_clients = [await harness.shared.client() for _ in range(2 * 5)]
        await harness.wait_until(lambda: len(harness.old_process.listener.clients) == 10)

        async def send_and_leave(client: Client, i: int) -> None:
            before = len(ran)
            await client.send(target, X_Request_ID=f"r{i}", Idempotency_Key=f"k{i}")
            await harness.wait_until(lambda: len(ran) > before)
            await client.stream.aclose()

        # Some attempts are in the first messages, the others follow.
        for i in range(2):
            await send_and_leave(old_clients[i], i)
        new_process = await start_new_process(harness)
        harness.old_process.listener.stop_accepting()
        for i in range(2, 5):
            client = await harness.shared.client() if at_new_process else old_clients[i]
            await send_and_leave(client, i)
        for process in (harness.old_process, new_process):
            await harness.wait_until(lambda p=process: len(p.repeat_guard.register) == 5)
        gate.set()
        for process in (harness.old_process, new_process):
            await harness.wait_until(lambda p=process: not p.open_requests.ids)
        first, ran[:] = list(ran), []
        if not at_new_process:
            await harness.old_process.drain()
        for i in range(5):
            client = old_clients[5 + i] if at_new_process else await harness.shared.client()
            reply = await client.ask(target, X_Request_ID=f"again{i}", Idempotency_Key=f"k{i}")
            assert reply.status == (200 if target == "/save" else 502)
        assert ran == (first if target == "/save" else [])


@trio_test
async def test_an_attempt_that_never_ran_may_be_made_by_the_other_process():
    """Guards against an attempt that counts at the other process although it never ran."""
    script = RejectingScript()

    async with hot_restart_service(ScriptedWorker("d1", script)) as harness:
        client = await harness.shared.client()
        await harness.wait_until(lambda: harness.old_process.listener.clients)
        new_process = await start_new_process(harness)
        harness.old_process.listener.stop_accepting()
        assert (await client.ask("/once", X_Request_ID="r")).status == 503
        script.rejects = False
        await harness.wait_until(lambda: not len(new_process.repeat_guard.register))
        await harness.wait_until(lambda: not new_process.hot_restart.open_elsewhere("r"))
        assert (await (await harness.shared.client()).ask("/once", X_Request_ID="r")).status == 200


@pytest.mark.parametrize("leftover", ["nobody", "silent", "not a socket"])
@mock_clock_test
async def test_a_leftover_path_or_a_silent_old_process_does_not_delay_a_start(leftover):
    async with hot_restart_service(ScriptedWorker("d1", done)) as harness:
        path = harness.shared.link()
        harness.old_process.hot_restart.close()
        other = socket.socket(socket.AF_UNIX)
        if leftover != "not a socket":
            other.bind(f"/proc/self/fd/{(fd := os.open(path.parent, os.O_RDONLY))}/{path.name}")
            if leftover == "silent":
                other.listen()
            else:
                other.close()
            os.close(fd)
        else:
            path.write_text("x")
        began = trio.current_time()
        await start_new_process(harness)
        assert trio.current_time() - began < 0.9
        assert (await harness.call("GET /_ready")).status == 200
        other.close()
        # The new process serves.
        async with await trio.open_tcp_stream(*harness.shared.address) as stream:
            assert (await Client(stream).ask("/up", "GET")).status == 200


@trio_test
async def test_two_processes_divide_the_descriptors_and_each_has_its_minimum(monkeypatch):
    """The two parts must add up to the total, and the old process keeps the descriptors that it uses."""
    # On a slow machine, clients may be connected for longer than this age.
    monkeypatch.setattr(listener, "MIN_EVICTION_AGE_SECONDS", 0.0)
    async with hot_restart_service(ScriptedWorker("d1", done), limits={"sockets": 384}) as harness:
        old_process, clients = harness.service, []
        for used in (0, 30, 120, 200, 280, 384):
            while len(old_process.listener.clients) < min(used, old_process.listener._max_clients):
                clients.append(await harness.client())
                await clients[-1].send("/up", "GET")
                await clients[-1].reply()
            old_process.worker_connections.open = max(0, used - len(old_process.listener.clients))
            new_processes = old_process.state_exchange.snapshot()["sockets"]
            bounds = old_process.listener._max_clients, old_process.worker_connections._max_open
            held = (
                RESERVED_SOCKETS
                + len(old_process.listener.clients)
                + old_process.worker_connections.open
            )
            assert (
                new_processes >= MIN_SOCKETS
                and sum(bounds) + RESERVED_SOCKETS <= 384 - new_processes
            )
            assert 384 - new_processes >= min(held, 384 - MIN_SOCKETS)
            old_process.state_exchange.disconnected()  # the new process has gone
        old_process.worker_connections.open = 0
        for client in clients:
            await client.stream.aclose()


@trio_test
async def test_the_old_process_uses_all_descriptors_again_when_the_new_one_dies():
    async with hot_restart_service(ScriptedWorker("d1", done)) as harness:
        whole = harness.old_process.listener._max_clients
        new_process = await start_new_process(harness)
        assert harness.old_process.listener._max_clients < whole
        new_process.tasks.nursery.cancel_scope.cancel()
        await harness.wait_until(lambda: not harness.old_process.hot_restart.new_process_ready)
        assert harness.old_process.listener._max_clients == whole
        await start_new_process(harness)  # another new process finds the old one
        assert harness.old_process.hot_restart.new_process_ready


DETACH, ATTACH = "PUT /_profilers/detach?name=", "PUT /_profilers/attach?name="


@pytest.mark.parametrize("front", ["platform", "progress"])
@trio_test
async def test_a_detached_worker_gets_no_requests_whatever_discovery_lists_until_attached(
    front,
):
    one, other = ScriptedWorker("d1", done), ScriptedWorker("d2", done)
    async with running_service(one, other, front=front, **MGMT) as harness:
        ids = iter(range(1000))

        async def send_requests(count):
            for _ in range(count):
                assert (await harness.ask(X_Request_ID=f"r{next(ids)}")).status == 200

        while not (one.exchanges and other.exchanges):
            await send_requests(1)
        for call, status in (
            (DETACH + "nobody", 404),
            (ATTACH + "nobody", 404),
            (DETACH[:-6], 400),
            (DETACH, 400),
            (DETACH + "d1&name=d1", 400),
            ("GET" + DETACH[3:] + "d1", 405),
            (DETACH + "d1", 200),
            (DETACH + "%641", 200),  # a repeated call changes nothing
        ):
            assert (await harness.call(call)).status == status
        before = len(one.exchanges)
        # The idle connections of the worker are closed.
        await harness.wait_until(lambda: not one.open_streams)
        d1, watch = one.entry(), harness.discovery
        for change in ([d1], [{**d1, "state": "DELETED"}], [d1], [{**d1, "started_ms": 1e12}]):
            watch.publish(*change)
            await harness.wait_until(lambda: harness.service.endpoints.version == watch.version)
            await send_requests(5)
        watch.publish(d1, other.entry(), full=True)
        await harness.wait_until(lambda: harness.service.endpoints.version == watch.version)
        await send_requests(5)
        assert len(one.exchanges) == before
        # A single call of attach is enough, although detach was called twice.
        assert (await harness.call(ATTACH + "d1")).status == 200
        # The worker gets requests soon, although it counts as cold and the other worker is idle.
        with trio.fail_after(5):
            while len(one.exchanges) == before:
                await send_requests(1)
        assert (await harness.call(ATTACH + "d1")).status == 200
        watch.publish({**d1, "state": "DELETED"})
        await harness.wait_until(lambda: harness.service.endpoints.version == watch.version)
        assert (await harness.call(DETACH + "d1")).status == 404


@trio_test
async def test_an_attempt_already_picked_is_not_sent_to_a_detached_worker():
    one = ScriptedWorker("d1", done)
    async with running_service(one, **MGMT) as harness:
        service = harness.service
        request = Request("r1", 0, service.engine.now() + 2000.0)
        attempt = await service.engine.pick(request)
        assert service.endpoints.detach(attempt.worker)
        assert (await service.worker_client.run_attempt(attempt))[0] is AttemptOutcome.NOT_SENT
        assert (await service.health_prober.probe("d1"))[0] is AttemptOutcome.REJECTED
        assert not one.exchanges


@trio_test
async def test_detached_workers_stay_detached_over_a_hot_restart_and_either_process_attaches():
    workers = [ScriptedWorker(f"d{i}", done) for i in range(5)]
    async with hot_restart_service(*workers) as harness:
        for name in ("d0", "d1", "d2"):
            assert (await harness.call(DETACH + name)).status == 200
        assert (await harness.call(ATTACH + "d2")).status == 200
        old_process, new_process = harness.old_process, await start_new_process(harness)
        assert (
            new_process.endpoints.detached == ["d0", "d1"]
            # d2 is attached again, but still cold.
            and "d2" in new_process.endpoints.recently_attached
        )
        harness.service = old_process
        assert (
            await harness.call(DETACH + "d3")
        ).status == 200 and "d3" in new_process.endpoints.detached
        harness.service = new_process
        assert (
            await harness.call(ATTACH + "d0")
        ).status == 200 and old_process.endpoints.detached == [
            "d1",
            "d3",
        ]
        old_process.listener.stop_accepting()
        harness.discovery.publish(*(p.entry() for p in workers), full=True)
        await harness.wait_until(lambda: new_process.endpoints.version == harness.discovery.version)
        client, ids = await harness.shared.client(), iter(range(10_000))
        with trio.fail_after(5):
            while not workers[0].exchanges:
                assert (await client.ask(X_Request_ID=f"r{next(ids)}")).status == 200
        assert not workers[1].exchanges and not workers[3].exchanges


def test_a_reattached_worker_is_cold_not_ejected_and_preferred_until_it_starts_a_request():
    settings = api.Settings(
        [api.RequestClass("tour", 2000.0, 9000.0)],
        reports_start=True,
        warm_after=6000.0,
        start_capacity=0.3,
        slow_start_multiple=3.0,
        slow_start_window=3000.0,
        max_attempts=3,
    )
    module, sends = Dispatcher(settings, 1), []

    def handle_batch(now, *events):
        sends.extend(a for a in module.handle(now, list(events)) if isinstance(a, api.Send))

    handle_batch(
        0.0, api.WorkerList(api.ListForm.FULL, [api.WorkerEntry(f"w{i}") for i in range(6)])
    )
    w = module.fleet.workers["w3"]
    w.ejection.until, w.ejection.failures, w.ejection.connection_refused = 1e9, 5, True
    handle_batch(5000.0, api.WorkerReattached("w3", 5000.0))
    assert (
        w.slow_start.started_at == 5000.0 and w.ejection.until <= 5000.0 and not w.ejection.failures
    )
    w.slow_start.credit = 0.0
    handle_batch(7000.0, api.RequestArrived("a", 0, 16000.0))
    assert sends.pop().worker == "w3"
    handle_batch(7100.0, api.RequestArrived("b", 0, 16100.0))
    assert sends.pop().worker != "w3"  # w3 is cold, and an attempt is on its way there
    handle_batch(
        7200.0, api.AttemptEnded("a", 0, "w3", api.PolicyOutcome.NO_CONNECTION, 10.0, final=True)
    )
    handle_batch(7700.0, api.RequestArrived("c", 0, 16700.0))
    assert sends.pop().worker == "w3"  # w3 was not up yet, so it is still preferred
    handle_batch(7800.0, api.AttemptStarted("c", 0, "w3"))
    assert w.reattached_at < 0 and not module.fleet.reattached


@pytest.mark.parametrize("front", ["platform", "progress"])
@mock_clock_test
async def test_an_operators_drain_moves_clients_away_without_losing_a_request(front):
    gate = trio.Event()

    async def waits(exchange):
        if exchange.id == "slow":
            await gate.wait()
        await exchange.done()

    workers = [ScriptedWorker(f"d{i}", waits) for i in range(4)]
    async with running_service(*workers, front=front, **MGMT) as harness:
        status_client, idle, request_client, slow = [await harness.client() for _ in range(4)]
        assert (await status_client.ask("/up", "GET")).status == 200
        await slow.send(X_Request_ID="slow", X_Timeout_Ms="3000")
        await harness.wait_until(lambda: any(p.exchanges for p in workers))
        assert (await harness.call("PUT /_lameduck/on")).status == 200
        began = trio.current_time()
        # The answer changes at once, also on an open connection.
        up = await status_client.ask("/up", "GET")
        assert up.status == 503 and "connection" not in up.headers
        assert (await harness.call("GET /_ready")).status == 200  # the process itself stays ready
        while True:  # requests are served; from 0.2 s on, connections close after the answer
            reply = await request_client.ask(X_Request_ID="w", X_Timeout_Ms="3000")
            assert reply.status == 200
            await trio.sleep(0.01)
            if reply.headers.get("connection") == "close":
                break
        if front == "platform":
            assert trio.current_time() - began > 0.19
        for client in (request_client, status_client, idle):
            assert await client.stream.receive_some() == b""
        assert trio.current_time() - began < 2.0
        late = await harness.client()  # the listener still accepts connections
        assert (await late.ask(X_Request_ID="late", X_Timeout_Ms="3000")).status == 200
        await harness.wait_until(lambda: len(harness.service.listener.clients) == 1)
        gate.set()
        assert (await slow.reply()).status == 200
        assert (await harness.call("PUT /_lameduck/off")).status == 200
        back = await harness.client()
        assert (await back.ask("/up", "GET")).status == 200
        assert "connection" not in (await back.ask("/up", "GET")).headers
        await trio.sleep(0.4)  # longer than an idle connection stays open during the drain
        assert (await back.ask(X_Request_ID="back", X_Timeout_Ms="3000")).status == 200
        assert (await harness.call("PUT /_lameduck/on")).status == 200
        harness.nursery.start_soon(harness.service.drain)  # SIGTERM during the operators' drain
        await harness.wait_until(lambda: harness.service.run_state.draining)
        assert (await harness.call("GET /_ready")).status == 503
        await harness.ended.wait()


@trio_test
async def test_the_operators_drain_applies_to_both_processes_of_a_hot_restart():
    async with hot_restart_service(ScriptedWorker("d1", done)) as harness:
        assert (await harness.call("PUT /_lameduck/on")).status == 200
        old_process, new_process = harness.old_process, await start_new_process(harness)
        assert (
            new_process.operator_drain.active and (await harness.call("GET /_ready")).status == 200
        )
        assert (
            await harness.call("PUT /_lameduck/off")
        ).status == 200 and not old_process.operator_drain.active


async def metrics(harness) -> dict[str, float]:
    lines = (await harness.call("GET /_vars")).body.decode().splitlines()
    found = {}
    for line in lines:
        name, _, rest = line.partition(":")
        value, _, kind = rest.partition("|")
        assert name.startswith("app.") and kind in ("c", "g") and name not in found
        found[name.removeprefix("app.")] = float(value)
    return found


@pytest.mark.parametrize("front", ["platform", "progress"])
@trio_test
async def test_the_metrics_count_answers_attempts_workers_and_reloads(front):
    async def script(exchange):
        if exchange.id.startswith("fails"):
            await exchange.send_status(500)
        elif exchange.id == "waits":
            await exchange.wait_closed()
        else:
            await exchange.done()

    one = ScriptedWorker("d1", script)
    async with running_service(one, front=front, **MGMT) as harness:
        counts = await metrics(harness)
        assert counts == {
            **{
                f"{status}.{c}": 0
                for status in ("success", "overload", "error")
                for c in ("tour", "save", "once")
            },
            "dispatches": 0,
            "reload_success": 0,
            "reload_failure": 0,
            **{f"rule_violations.{rule.name.lower()}": 0 for rule in Rule},
            **{f"held_back.{reason.name.lower()}": 0 for reason in HeldBack},
            **{f"retries.{outcome.name.lower()}": 0 for outcome in RETRIED_OUTCOMES},
            **{f"send_delay_ms.le_{bound}": 0 for bound in SEND_DELAY_BUCKETS_MS},
            "send_delay_ms.all": 0,
            **{f"closed.{reason.value}": 0 for reason in CloseReason},
            "rule_violations_total": 0,
            "accept_failures": 0,
            "call_retries": counts["call_retries"],  # a counter of the whole process
            "unfinished_requests_evicted": 0,
            "attempts_forgotten": 0,
            "remembered_attempts": 0,
            "input_bytes": 0,
            "concurrent": 0,
            "targets": 1,
            "targets_disabled": 0,
            "load_level_changes": 0,
            "load_level": 0,
            "gapped_levels": 0,
            "drain_time_ms": 0,
            "available_slots": 1,
            **{f"run_time_ms.{c}": 100 for c in ("tour", "save", "once")},
            **{f"time_constraint_ms.{c}": 100 for c in ("tour", "save", "once")},
        }
        for i in range(3):
            await harness.ask("/tour", X_Request_ID=f"r{i}")
        await harness.ask("/once", X_Request_ID="fails")
        # a target without a request class counts in no metric.
        assert (await harness.ask("/nothing")).status == 404
        assert (await harness.ask("/save", X_Request_ID=None)).status == 400
        counts = await metrics(harness)
        assert (counts["success.tour"], counts["error.once"], counts["dispatches"]) == (3, 1, 4)
        assert counts["send_delay_ms.all"] == 4
        assert counts["not_served.once.must_not_repeat"] == 1 and counts["run_time_ms.tour"] < 100
        assert not any("nothing" in name for name in counts) and counts["error.save"] == 0
        client = await harness.client()
        await client.send("/save", X_Request_ID="waits")
        await harness.wait_until(lambda: one.exchanges[-1].id == "waits")
        await client.stream.aclose()
        await harness.wait_until(lambda: not harness.service.listener.clients)
        # Requests of clients that left don't count.
        assert (await metrics(harness))["concurrent"] == 0
        assert (await harness.call(DETACH + "d1")).status == 200
        assert (await metrics(harness))["targets_disabled"] == 1
        reply = await harness.ask("/tour", X_Request_ID="r9")
        assert reply.status == 503 or b"refused" in reply.body
        counts = await metrics(harness)
        assert counts["overload.tour"] == 1 and counts["targets"] == 1
        harness.discovery.publish({**one.entry(), "state": "DELETED"})
        await harness.wait_until(lambda: not len(harness.service.endpoints))
        counts = await metrics(harness)
        assert counts["targets"] == counts["targets_disabled"] == 0
        harness.service.reload()
        harness.raw["discovery"] = "nowhere"
        harness.service.reload()
        counts = await metrics(harness)
        assert (counts["reload_success"], counts["reload_failure"]) == (1, 1)


@trio_test
async def test_the_metrics_count_an_open_request_as_concurrent_and_an_ejected_worker_as_disabled():
    gate = trio.Event()

    async def waits(exchange):
        await gate.wait()
        await exchange.done()

    one = ScriptedWorker("d1", waits)
    async with running_service(one, **MGMT) as harness:
        client = await harness.client()
        await client.send()
        await harness.wait_until(lambda: one.exchanges)
        assert (await metrics(harness))["concurrent"] == 1
        gate.set()
        assert (await client.reply()).status == 200
        counts = await metrics(harness)
        assert counts["concurrent"] == 0 and counts["success.tour"] == 1
        worker = harness.service.engine._module.fleet.workers["d1"]
        worker.ejection.failures, worker.ejection.until = 1, harness.service.engine.now() + 1e4
        assert (await metrics(harness))["targets_disabled"] == 1


def classes(harness, **changes) -> list[dict]:
    """Returns request classes for a reload: a name with None is removed, any other is changed or added."""
    found = {c["name"]: dict(c) for c in harness.raw["settings"]["request_classes"]}
    for name, change in changes.items():
        if change is None:
            del found[name]
        else:
            found[name] = {**found.get(name, found["tour"]), **change, "name": name}
    return list(found.values())


def reconfigure(harness, limits=None, **changes) -> None:
    """Changes the settings and reloads the configuration."""
    settings = harness.raw["settings"]
    harness.raw["settings"] = {
        **settings,
        "request_classes": classes(harness, **changes),
        "limits": {**settings["limits"], **(limits or {})},
    }
    harness.service.reload()


@pytest.mark.parametrize("front", ["platform", "progress"])
@trio_test
async def test_a_sighup_applies_new_classes_and_open_requests_keep_their_class(front):
    gates = {"old": trio.Event(), "new": trio.Event(), "dropped": trio.Event()}

    async def fails(exchange):
        if exchange.id in gates and exchange.id not in seen:
            seen.add(exchange.id)
            await gates[exchange.id].wait()
            await exchange.send_status(500)
        else:
            await exchange.done()

    seen, workers = set(), [ScriptedWorker(f"d{i}", fails) for i in range(3)]

    def served(reply):
        return reply.status == 200 and (front == "platform" or b"event: served" in reply.body)

    async with running_service(*workers, front=front, signals=True, **MGMT) as harness:
        old, dropped, new = [await harness.client() for _ in range(3)]
        await old.send("/tour", X_Request_ID="old")  # an idempotent class
        await dropped.send("/once", X_Request_ID="dropped")  # a non-idempotent class
        await harness.wait_until(lambda: len(seen) == 2)
        assert (await harness.ask("/fresh", X_Request_ID="f0")).status == 404
        settings = harness.raw["settings"]
        # The new class is the first in the list, so that the index of every class changes.
        harness.raw["settings"] = {
            **settings,
            "request_classes": [
                {**settings["request_classes"][0], "name": "fresh", "deadline": 35.0, "aim": 35.0},
                *classes(harness, once=None, tour={"repeat": "side_effect"}),
            ],
        }
        os.kill(os.getpid(), signal.SIGHUP)
        await harness.wait_until(lambda: "success.fresh" in harness.service.metrics._counts)
        assert served(await harness.ask("/fresh", X_Request_ID="f1", X_Timeout_Ms="2000"))
        assert (await harness.ask("/once", X_Request_ID="o1")).status == 404
        await new.send("/tour", X_Request_ID="new")  # the class is not idempotent any more
        await harness.wait_until(lambda: len(seen) == 3)
        for gate in gates.values():
            gate.set()
        assert served(await old.reply())
        for client in (new, dropped):
            assert not served(await client.reply())
        counts = await metrics(harness)
        assert counts["reload_success"] == 1 and counts["error.once"] == counts["error.tour"] == 1
        assert counts["success.fresh"] == 1 and counts["success.tour"] == 1


@trio_test
async def test_a_changed_attempt_limit_applies_to_new_requests_and_if_smaller_to_open_ones():
    gate = trio.Event()

    async def errs(exchange):
        if exchange.id == "open" and not gate.is_set():
            await gate.wait()
        await exchange.send_status(503, "X-Not-Processed: 1")

    workers = [ScriptedWorker(f"d{i}", errs) for i in range(8)]
    async with running_service(*workers, **MGMT) as harness:
        held = await harness.client()
        await held.send(X_Request_ID="open")
        await harness.wait_until(lambda: any(p.exchanges for p in workers))
        reconfigure(harness, limits={"try_limit": 2})
        gate.set()
        assert (await held.reply()).status == 503
        await harness.ask(X_Request_ID="later")
        for id in ("open", "later"):
            assert sum(e.id == id for p in workers for e in p.exchanges) == 2


@trio_test
async def test_a_faulty_configuration_is_rejected_as_a_whole():
    one = ScriptedWorker("d1", done)
    async with running_service(one, **MGMT) as harness:
        good, calls = copy.deepcopy(harness.raw), len(harness.discovery.calls)
        old_config = harness.service.config

        def put(value, *path):
            parent = harness.raw
            for key in path[:-1]:
                parent = parent[key]
            if value is None:
                del parent[path[-1]]
            else:
                parent[path[-1]] = value

        faults = [
            (None, "discovery"),
            (None, "settings"),
            (None, "settings", "limits"),
            (None, "settings", "limits", "try_limit"),
            (None, "settings", "rules", "fall"),
            (0, "settings", "limits", "try_limit"),
            (-5, "settings", "request_classes", 1, "deadline"),
            (0, "settings", "request_classes", 1, "deadline"),
            *(
                (None, "settings", "request_classes", 0, key)
                for key in ("name", "deadline", "aim", "repeat", "value")
            ),
            (None, "settings", "request_classes", 1, "window"),
            (["other"], "settings", "kinds"),
        ]
        for count, (value, *path) in enumerate(faults, 1):
            harness.raw.clear()
            harness.raw.update(copy.deepcopy(good))
            # Valid, but must not be applied without the rest of the file.
            harness.raw["discovery"] = "127.0.0.1:9"
            harness.raw["settings"]["request_classes"][2]["name"] = "other"
            put(value, *path)
            harness.service.reload()
            counts = await metrics(harness)
            assert (counts["reload_failure"], counts["reload_success"]) == (count, 0), path
        assert (
            harness.service.config is old_config
            and harness.service.watch.address == old_config.discovery
        )
        assert (await harness.ask("/once")).status == 200 and (
            await harness.ask("/other")
        ).status == 404
        assert len(harness.discovery.calls) >= calls


def test_classes_and_tenants_keep_their_estimates_when_the_settings_change():
    def settings(*names, **more):
        return api.Settings(
            [api.RequestClass(name, 2000.0, 9000.0) for name in names], max_attempts=3, **more
        )

    two = [api.Tenant("a", 10.0), api.Tenant("b", 20.0)]
    module = Dispatcher(settings("x", "y", tenants=two), 1)
    module.handle(0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w")])])
    x, y = module.admission.classes
    y.mean_run_time, y.run_times_seen = 321.0, 9
    b = module.admission.tenants[1]
    module.handle(
        10.0,
        [
            api.RequestArrived("held", 0, 9000.0),
            api.SettingsChanged(settings("z", "y", tenants=two[1:])),
        ],
    )
    assert [c.spec.name for c in module.admission.classes] == [
        "z",
        "y",
    ] and module.admission.classes[1] is y
    assert y.index == 1
    assert module.admission.tenants == [b] and set(b.gaps) == set(module.admission.classes)
    assert module.requests["held"].class_state is x  # the request arrived before the change
    module.handle(20.0, [api.RequestArrived("new", 1, 9020.0)])
    assert module.requests["new"].class_state is y
    module.handle(
        500.0, [api.AttemptEnded("held", 0, "w", api.PolicyOutcome.SERVED, 490.0, final=True)]
    )
    assert "held" not in module.requests and x.run_times_seen == 1


@pytest.mark.parametrize("held_for, queues", [(0.0, True), (450.0, False)])
def test_a_request_does_not_queue_at_a_worker_that_would_start_it_after_its_latest_start(
    held_for, queues
):
    settings = api.Settings([api.RequestClass("tour", 1000.0, 9000.0)], reports_start=True)
    module = Dispatcher(settings, 1)
    module.handle(0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w")])])
    w, request = module.fleet.workers["w"], None
    module.fleet.estimate.residual_run_time = 200.0
    # All slots are taken by requests that have started.
    w.max_inflight_slots = w.inflight_slots = w.running_slots = 5.0
    w.ejection.until = held_for
    module.handle(0.0, [api.RequestArrived("a", 0, 9000.0)])
    request = module.requests["a"]
    assert (request.latest_start, request.attempt_count) == (500.0, int(queues))
    module.handle(held_for, [api.TimerFired(RELEASE_TIMER)])
    assert request.attempt_count == int(queues)


def test_a_class_without_estimates_makes_no_worker_look_slow():
    settings = api.Settings(
        [api.RequestClass("tour", 100.0, 9000.0, objective_run_factor=9.0)], reports_start=True
    )
    module = Dispatcher(settings, 1)
    module.handle(0.0, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w")])])
    w, now = module.fleet.workers["w"], 0.0
    ratios = []
    for i in range(20):  # each run takes ten times as long as the initial estimate
        sent = [
            a.request_id
            for a in module.handle(now, [api.RequestArrived(f"j{i}", 0, now + 9000.0)])
            if isinstance(a, api.Send)
        ]
        assert sent == [f"j{i}"]
        module.handle(now + 1.0, [api.AttemptStarted(f"j{i}", 0, "w")])
        module.handle(
            now + 501.0,
            [api.AttemptEnded(f"j{i}", 0, "w", api.PolicyOutcome.SERVED, 501.0, final=True)],
        )
        ratios.append(w.run_time_factor())
        now += 1000.0
    assert max(ratios) < 1.1 and w.run_times_seen > 0


@trio_test
async def test_a_caller_in_the_backlog_at_the_end_does_not_disturb_the_exit():
    management = ManagementListener(("127.0.0.1", 0), {})
    async with trio.open_nursery() as nursery:
        nursery.start_soon(management.run)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    late = await trio.open_tcp_stream(*management.address)
    management.close()
    await late.aclose()


@trio_test
async def test_new_processes_find_the_old_one_after_an_exception_in_its_accept_loop(monkeypatch):
    async with hot_restart_service(ScriptedWorker("d1", done)) as harness:
        accept, faults = HotRestart._accept, []

        async def fails_once(self, sock):
            if not faults:
                faults.append(await trio.lowlevel.wait_readable(sock))
                raise RuntimeError("fault")
            await accept(self, sock)

        monkeypatch.setattr(HotRestart, "_accept", fails_once)
        harness.old_process.hot_restart._close_socket()
        harness.old_process.hot_restart.claim_path()
        with socket.socket(socket.AF_UNIX) as stray:
            directory = os.open(harness.shared.directory, os.O_RDONLY)
            stray.connect(f"/proc/self/fd/{directory}/{harness.shared.link().name}")
            os.close(directory)
            await harness.wait_until(lambda: faults)
        await trio.sleep(0.2)  # the supervised task is started again
        await start_new_process(harness)
        assert harness.old_process.hot_restart.new_process_ready
