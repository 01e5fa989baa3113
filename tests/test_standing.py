"""Checks of races that are forced here and rare otherwise.

A shutdown right after an accept, workers that never answer while the service shuts down, a reload right
before a worker's drain or before the shutdown, and many dispatchers that share cold workers. Every request
must be answered, and every dispatcher must send some of its requests to workers.
"""

import pytest
import trio
from fleet_world import FleetSimulation
from helper import (
    Discovery,
    ScriptedWorker,
    done,
    hang,
    mock_clock_test,
    running_service,
    trio_test,
)
from test_discovery import set_draining
from test_endings import FRONTS, LONG_DEADLINES, LONG_TIMEOUT, raw_request

from yewrill.net.listener import Listener
from yewrill.policy import interface as api

# A dispatcher that receives at least MIN_ARRIVALS requests in this time must send at least one to a worker.
WINDOW_MS = 4000.0
MIN_ARRIVALS = 15


@pytest.mark.parametrize("sent_before_accept", [True, False])
@trio_test
async def test_a_client_accepted_in_the_event_loop_iteration_of_the_shutdown_gets_its_answer(
    sent_before_accept, monkeypatch
):
    worker, accepted = ScriptedWorker("d1", done), []
    async with running_service(
        worker, settings=LONG_DEADLINES, timing={"linger_ms": 0, "grace_ms": 1500}
    ) as harness:
        real = Listener._accept_one

        def accept_then_drain(listener):
            found = real(listener)
            if listener is harness.service.listener and listener.clients and not accepted:
                accepted.append(True)
                # The drain starts, as after SIGTERM, before the accepted connection is read.
                harness.nursery.start_soon(harness.service.drain)
            return found

        monkeypatch.setattr(Listener, "_accept_one", accept_then_drain)
        client = await harness.client()
        if sent_before_accept:
            client.stream.socket._sock.send(raw_request("r1"))
        await harness.wait_until(lambda: accepted)
        if not sent_before_accept:
            await client.stream.send_all(raw_request("r1"))
        assert (await client.reply()).status == 200
        assert await client.stream.receive_some() == b""
        assert [e.id for e in worker.exchanges] == ["r1"]
        await harness.ended.wait()


@FRONTS
@mock_clock_test
async def test_a_shutdown_answers_every_request_although_workers_never_answer(front):
    workers = [ScriptedWorker(f"d{i}", hang) for i in range(3)]
    async with running_service(
        *workers, front=front, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 1400}
    ) as harness:
        clients = [await harness.client() for _ in range(30)]
        for number, client in enumerate(clients):
            target = ("/tour", "/save", "/once")[number % 3]
            await client.send(target, X_Request_ID=f"r{number}", **LONG_TIMEOUT)
        await harness.wait_until(lambda: len(harness.service.listener.clients) == 30)
        began = trio.current_time()
        harness.nursery.start_soon(harness.service.drain)
        replies = [await client.reply() for client in clients]
        assert trio.current_time() - began < 1.4
        assert len(replies) == 30
        assert not harness.service.engine.pending
        await harness.ended.wait()


@pytest.mark.parametrize("dispatchers, seed", [(20, 1), (24, 2), (30, 3)])
def test_every_one_of_many_dispatchers_sends_requests_while_all_workers_are_cold(dispatchers, seed):
    fleet = FleetSimulation(seed, dispatchers=dispatchers, workers=12, load=0.3)
    arrived: list[list[float]] = [[] for _ in range(dispatchers)]
    sent: list[list[float]] = [[] for _ in range(dispatchers)]
    deliver, arrive_at_worker = fleet.deliver, fleet.arrive_at_worker

    def record_arrivals(index, events):
        arrived[index] += [fleet.now for event in events if isinstance(event, api.RequestArrived)]
        deliver(index, events)

    def record_sent(index, job, number, name):
        sent[index].append(fleet.now)
        arrive_at_worker(index, job, number, name)

    fleet.deliver, fleet.arrive_at_worker = record_arrivals, record_sent
    for host in fleet.workers.values():
        host.launched = fleet.now
    for index in range(dispatchers):
        fleet.restart(index)  # restarted with the endpoint list, but without estimates
    # Ten requests per second at each dispatcher, more than cold workers can run.
    fleet.rate = dispatchers * 10.0 / 1000.0
    fleet.next_arrival()
    fleet.run(3 * WINDOW_MS)
    windows = 0
    for index in range(dispatchers):
        times = arrived[index]
        for first in range(len(times) - MIN_ARRIVALS):
            span = times[first], times[first + MIN_ARRIVALS - 1]
            if span[1] - span[0] >= WINDOW_MS - 500.0:
                continue
            window_end = span[0] + WINDOW_MS
            if window_end > fleet.now:
                break
            windows += 1
            assert any(span[0] <= at <= window_end for at in sent[index]), (index, span)
    assert windows > 10 * dispatchers


@mock_clock_test
async def test_a_workers_drain_right_after_a_reload_that_moves_discovery_is_noticed():
    workers = [ScriptedWorker("d1", done), ScriptedWorker("d2", done)]
    async with running_service(*workers, settings=LONG_DEADLINES) as harness:
        new_discovery = Discovery(workers)
        harness.raw["discovery"] = await new_discovery.serve(harness.nursery)
        began = trio.current_time()
        harness.service.reload()
        # The drain is published before the first call to the new discovery.
        new_discovery.publish(set_draining(workers[0]), full=True)
        await harness.wait_until(lambda: not harness.service.endpoints.may_send("d1"))
        assert trio.current_time() - began < 4.0
        sent = len(workers[0].exchanges)
        for number in range(10):
            assert (await harness.ask(X_Request_ID=f"r{number}", **LONG_TIMEOUT)).status == 200
        assert len(workers[0].exchanges) == sent and len(workers[1].exchanges) >= 10


@FRONTS
@mock_clock_test
async def test_a_reload_in_the_event_loop_iteration_of_the_shutdown_leaves_no_request_unanswered(
    front,
):
    async def wait_then_answer(exchange):
        await release.wait()
        await exchange.done()

    release, worker = trio.Event(), ScriptedWorker("d1", wait_then_answer)
    async with running_service(
        worker, front=front, settings=LONG_DEADLINES, timing={"linger_ms": 50, "grace_ms": 4000}
    ) as harness:
        new_discovery = Discovery([worker])
        # The new discovery does not answer, so the known list stays in use.
        new_discovery.silent = True
        address = await new_discovery.serve(harness.nursery)
        clients = [await harness.client() for _ in range(8)]
        for number, client in enumerate(clients[:4]):
            await client.send(X_Request_ID=f"r{number}", **LONG_TIMEOUT)
        await harness.wait_until(lambda: worker.exchanges)
        harness.raw["discovery"] = address
        harness.service.reload()
        harness.nursery.start_soon(harness.service.drain)
        await harness.wait_until(lambda: harness.service.run_state.draining)
        for number, client in enumerate(clients[4:], 4):
            await client.send(X_Request_ID=f"r{number}", **LONG_TIMEOUT)
        if front == "platform":
            await harness.wait_until(lambda: harness.service.engine.pending == 8)
        else:  # the progress front rejects new requests during a drain
            assert [(await client.reply()).status for client in clients[4:]] == [503] * 4
        release.set()
        served = clients if front == "platform" else clients[:4]
        assert [(await client.reply()).status for client in served] == [200] * len(served)
        await harness.ended.wait()
