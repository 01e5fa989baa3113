"""State that outlives a restart: real sockets, and the program killed during requests and calls."""

from __future__ import annotations

import errno
import random
import re
import signal
import subprocess
import sys
from collections import Counter
from contextlib import asynccontextmanager, suppress

import pytest
import trio
import ujson
from helper import SETTINGS, Client, Discovery, ScriptedWorker, done, running_service, trio_test
from machine_faults import FaultyDisk

from yewrill.config.errors import ConfigError
from yewrill.config.reading import read_config
from yewrill.dispatch.attempt_register import LONG_AGO_MS
from yewrill.persistence.attempts import (
    MAX_CLOCK_ADJUSTMENT_MS,
    AttemptRecord,
    Clocks,
    estimate_earlier_attempt,
    max_age_ms,
    min_age_ms,
)
from yewrill.policy import Dispatcher
from yewrill.policy import interface as api
from yewrill.store import Store

MGMT = {"mgmt": "127.0.0.1:0"}


class Program:
    """The real program as a child process whose standard error is read line by line."""

    def __init__(self, process: trio.Process):
        self.process, self.lines, self.changed = process, [], trio.Event()

    async def read(self) -> None:
        rest = b""
        async for data in self.process.stderr:
            *lines, rest = (rest + data).split(b"\n")
            self.lines += [line.decode() for line in lines]
            self.changed.set()
            self.changed = trio.Event()

    async def wait_for_line(self, pattern: str) -> re.Match:
        while True:
            for line in self.lines:
                if match := re.search(pattern, line):
                    return match
            await self.changed.wait()

    async def ask(self, *args, management: bool = False, **kwargs):
        address = await self.wait_for_line(
            ("management_listening " if management else " ready .*") + r"listen=([\d.]+):(\d+)"
        )
        stream = await trio.open_tcp_stream(address[1], int(address[2]))
        async with stream:
            return await Client(stream).ask(*args, **kwargs)

    async def call(self, call: str):
        method, _, target = call.partition(" ")
        return await self.ask(target, method, b"", management=True)


@asynccontextmanager
async def program(nursery: trio.Nursery, path, descriptors: int = 0):
    command = [sys.executable, "-m", "yewrill", "serve", "--config", str(path)]
    if descriptors:  # limits the open file descriptors
        command = ["sh", "-c", f'ulimit -n {descriptors} && exec "$@"', "sh", *command]
    process = await trio.lowlevel.open_process(command, stderr=subprocess.PIPE)
    running = Program(process)
    nursery.start_soon(running.read)
    try:
        await running.wait_for_line(" ready ")
        yield running
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


class EffectCountingWorkers:
    """Workers in two cells that count effects. A cell drops repeats of a `/save` with the same key."""

    def __init__(self, rng: random.Random):
        self.rng, self.reliable = rng, False
        self.effects: Counter = Counter()
        self.seen: set[tuple[int, str]] = set()
        self.received: list[tuple[str, str]] = []  # worker and idempotency key, in order of arrival
        self.scripted_workers = [
            ScriptedWorker(f"d{i}", self.script(i), cell=i // 2) for i in range(4)
        ]

    def script(self, i: int):
        async def run(exchange):
            key = exchange.headers.get("idempotency-key", "")
            self.received.append((f"d{i}", key))
            if not (exchange.target == "/save" and (i // 2, key) in self.seen):
                self.effects[key] += 1
                self.seen.add((i // 2, key))
            if not self.reliable and self.rng.random() < 0.4:
                await exchange.wait_closed()
            else:
                await exchange.done()

        return run


@pytest.mark.parametrize("seed", range(20))
@trio_test
async def test_after_a_kill_during_requests_and_management_calls_every_guarantee_holds(
    seed, tmp_path
):
    rng = random.Random(seed)
    workers = EffectCountingWorkers(rng)
    async with trio.open_nursery() as nursery:
        for scripted_worker in workers.scripted_workers:
            await nursery.start(scripted_worker.serve)
        discovery = Discovery(workers.scripted_workers)
        config = tmp_path / "config.json"
        config.write_text(
            ujson.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": await discovery.serve(nursery),
                    "settings": SETTINGS,
                    "state_dir": str(tmp_path / "state"),
                    "state": {"patience_ms": 5000},
                    **MGMT,
                }
            )
        )
        # By worker; None if the outcome of the call is unknown.
        detached: dict[str, bool | None] = {}
        operator_drain: list[bool | None] = [False]
        keys: dict[str, str] = {}
        answered = set()

        async def send_request(number: int) -> None:
            target = rng.choice(("/tour", "/save", "/once"))
            key = f"key{number}"
            keys[key] = target
            with suppress(OSError, trio.BrokenResourceError, Exception):
                await first.ask(target, X_Request_ID=f"r{number}", Idempotency_Key=key)
                answered.add(key)

        async def call_management() -> None:
            what = rng.choice(("detach", "attach", "on", "off"))
            with suppress(OSError, trio.BrokenResourceError, Exception):
                if what in ("on", "off"):
                    operator_drain[0] = None
                    assert (await first.call(f"PUT /_lameduck/{what}")).status == 200
                    operator_drain[0] = what == "on"
                else:
                    name = rng.choice(("d0", "d2"))
                    detached[name] = None
                    assert (await first.call(f"PUT /_profilers/{what}?name={name}")).status == 200
                    detached[name] = what == "detach"

        async with program(nursery, config) as first, trio.open_nursery() as busy:
            while b"app.state_kept:0" in (await first.call("GET /_vars")).body:
                await trio.sleep(0.005)  # the endpoint list is written in the background
            for number in range(rng.randrange(8, 25)):
                if rng.random() < 0.3:
                    await call_management()
                else:
                    busy.start_soon(send_request, number)
                if rng.random() < 0.5:
                    await trio.sleep(0.002)
            busy.start_soon(call_management)
            for _ in range(rng.randrange(3)):
                await trio.lowlevel.checkpoint()
            first.process.send_signal(signal.SIGKILL)
        discovery.silent = workers.reliable = True
        received_before = len(workers.received)
        async with program(nursery, config) as second:
            up = await second.ask("/up", "GET", b"")
            if operator_drain[0] is not None:
                assert (up.status == 503) == operator_drain[0]
            answers = {}

            async def repeat(key: str, target: str) -> None:
                answers[key] = await second.ask(
                    target, X_Request_ID=f"again-{key}", Idempotency_Key=key
                )

            async with trio.open_nursery() as repeats:
                for key, target in keys.items():
                    repeats.start_soon(repeat, key, target)
            for worker, _ in workers.received[received_before:]:
                assert detached.get(worker) is not True, "request sent to a detached worker"
            assert (await second.ask(X_Request_ID="last")).status == 200
        for key in keys.keys() - answered:  # a repeat of an answered request may run again
            if keys[key] == "/tour":
                assert answers[key].status == 200
            else:
                assert workers.effects[key] <= 1, f"{keys[key]} had two effects"
                assert answers[key].status in (200, 502)
        nursery.cancel_scope.cancel()


def state_settings(tmp_path, **more) -> dict:
    return {"state_dir": str(tmp_path / "state"), "state": {"patience_ms": 5000, **more}, **MGMT}


@trio_test
async def test_no_attempt_that_is_unsafe_to_repeat_is_sent_before_its_record_is_on_disk(
    tmp_path,
):
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, **state_settings(tmp_path)) as harness:
        store, gate, waiting = harness.service.persistent_state._disk.store, trio.Event(), []
        write = store.awrite

        async def held(batch):
            waiting.append(batch)
            await gate.wait()
            return await write(batch)

        store.awrite = held
        async with trio.open_nursery() as nursery:
            for target in ("/save", "/once"):
                nursery.start_soon(
                    lambda t=target: harness.ask(t, X_Request_ID=t[1:], Idempotency_Key="k" + t[1:])
                )
            await harness.wait_until(lambda: len(waiting) >= 2)
            # An idempotent request needs no record.
            assert (await harness.ask(X_Request_ID="plain")).status == 200
            assert [x.id for x in worker.exchanges] == ["plain"]
            gate.set()
        assert {x.id for x in worker.exchanges} == {"plain", "save", "once"}
        # The records are deleted once the requests have finished.
        await harness.wait_until(lambda: not list(store.scan(prefix=b"sent/")))


@trio_test
async def test_a_failing_store_affects_no_idempotent_request_and_is_logged_once(
    tmp_path, caplog, monkeypatch
):
    caplog.set_level("INFO")
    disk = FaultyDisk(monkeypatch, ("fdatasync", "pwrite"))
    worker = ScriptedWorker("d1", done)
    async with running_service(worker, **state_settings(tmp_path)) as harness:
        # Waits for the write of the endpoint list.
        await harness.wait_until(
            lambda: b"app.state_kept:1|c" in harness.service.metrics.text({}).encode()
        )
        disk.error = errno.EIO
        for i in range(3):
            # A later run could not know of these requests, so they are rejected without being sent.
            reply = await harness.ask("/save", X_Request_ID=f"r{i}", Idempotency_Key=f"k{i}")
            assert reply.status == 503
            assert (await harness.ask(X_Request_ID=f"plain{i}")).status == 200
        detached = await harness.call("PUT /_profilers/detach?name=d1")
        assert (detached.status, detached.body) == (
            200,
            b"detached, but not on disk: a restart forgets it\n",
        )
        assert not harness.service.endpoints.may_send("d1")
        counted = re.search(rb"app.state_failed:(\d+)", (await harness.call("GET /_vars")).body)
        assert int(counted[1]) >= 4
        assert {e.id for e in worker.exchanges} == {"plain0", "plain1", "plain2"}
        logged = [r for r in caplog.records if "persistent_state_write_failed" in r.getMessage()]
        assert len(logged) == 1
        disk.error = 0
        await harness.wait_until(
            lambda: any(
                "persistent_state_write_recovered" in r.getMessage() for r in caplog.records
            )
        )
        store = harness.service.persistent_state._disk.store
        await harness.wait_until(
            lambda: [key for key, _ in store.scan(prefix=b"out/")] == [b"out/d1"]
        )


@trio_test
async def test_endpoint_list_reattached_workers_and_operator_drain_survive_a_restart(tmp_path):
    config = state_settings(tmp_path)
    scripted_worker = ScriptedWorker("d1", done)
    async with running_service(
        scripted_worker, ScriptedWorker("d2", done), ScriptedWorker("d3", done), **config
    ) as harness:
        for call in ("detach?name=d1", "attach?name=d1", "detach?name=d2"):
            assert (await harness.call(f"PUT /_profilers/{call}")).status == 200
        # Time since the attach in ms.
        assert harness.service.endpoints.recently_attached["d1"] < 20_000.0
        assert (await harness.call("PUT /_lameduck/on")).status == 200
        await harness.wait_until(
            lambda: harness.service.persistent_state._disk.store.get(b"list") is not None
        )
        harness.service.engine.fail_all()
        await trio.to_thread.run_sync(harness.service.persistent_state.close_store)
    async with trio.open_nursery() as nursery:
        await nursery.start(scripted_worker.serve)
        nobody = Discovery([])
        nobody.silent = True
        address = await nobody.serve(nursery)
        kept = Store(tmp_path / "state")
        listed = ujson.loads(kept.get(b"list"))
        for server in listed["servers"]:
            server["addr"] = f"127.0.0.1:{scripted_worker.port}"
        kept.put(b"list", ujson.dumps(listed).encode())
        kept.close()
        from yewrill.service.service import Service

        service = Service(
            read_config(
                {"listen": "127.0.0.1:0", "discovery": address, "settings": SETTINGS, **config}
            )
        )
        await nursery.start(lambda task_status: service.run(signals=False, task_status=task_status))
        assert service.operator_drain.active and service.endpoints.detached == ["d2"]
        assert 0.0 < service.endpoints.recently_attached["d1"] < 20_000.0
        service.engine.tick()
        worker = service.engine._module.fleet.workers["d1"]
        # Slow start counts from the reattachment in the earlier run.
        assert worker.slow_start.started_at >= 0
        async with await trio.open_tcp_stream(*service.listener.address) as stream:
            assert (await Client(stream).ask()).status == 200
        nursery.cancel_scope.cancel()


@trio_test
async def test_a_new_process_opens_the_store_when_the_old_one_has_exited(tmp_path, caplog):
    from test_operators import hot_restart_service, start_new_process

    caplog.set_level("INFO")
    async with hot_restart_service(
        ScriptedWorker("d1", done), ScriptedWorker("d2", done), **state_settings(tmp_path)
    ) as harness:
        await harness.call("PUT /_profilers/detach?name=d1")
        new_process = await start_new_process(harness)
        assert not new_process.persistent_state.store_open and new_process.endpoints.detached == [
            "d1"
        ]
        assert (await harness.ask("/save", X_Request_ID="r", Idempotency_Key="k")).status == 200
        harness.nursery.start_soon(harness.old_process.drain)
        await harness.ended.wait()
        await harness.wait_until(
            lambda: any("persistent_state_taken_over" in r.getMessage() for r in caplog.records)
        )
        assert [
            key for key, _ in new_process.persistent_state._disk.store.scan(prefix=b"out/")
        ] == [b"out/d1"]


def test_a_second_process_on_one_directory_is_rejected_and_without_state_dir_nothing_is_imported(
    tmp_path,
):
    config = tmp_path / "config.json"
    config.write_text(
        ujson.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "settings": SETTINGS,
                "state_dir": str(tmp_path / "state"),
            }
        )
    )
    command = [sys.executable, "-m", "yewrill", "serve", "--config", str(config)]
    with Store(tmp_path / "state"):
        ended = subprocess.run(command, capture_output=True, text=True)
    assert (
        ended.returncode == 1
        and "start_failed: state_dir: " in ended.stderr
        and "held by" in ended.stderr
    )
    code = (
        "import sys, yewrill.cli, yewrill.service.service\n"
        "print([m for m in sys.modules if 'store' in m or 'crc' in m or 'yewrill.persistence' in m])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        == "[]\n"
    )


@pytest.mark.parametrize(
    "more, key",
    [
        ({"state": {}}, "state_dir"),
        ({"state_dir": 5}, "state_dir"),
        ({"state_dir": "x", "state": {"mode": "soon"}}, "state.mode"),
        ({"state_dir": "x", "state": {"odd": 1}}, "state.odd"),
    ],
)
def test_faulty_state_keys_are_named(more, key):
    with pytest.raises(ConfigError, match=f"^{key}: "):
        read_config(
            {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS, **more}
        )


# -- decisions of the policy about attempts of earlier runs


def decisions(idempotency: str, ago: float, cell: int = 0, now: float = 1e6, **more) -> list:
    classes = [
        api.RequestClass(
            "tour", 2000.0, 9000.0, idempotency=idempotency, group="cell", window=7500.0
        )
    ]
    dispatcher = Dispatcher(api.Settings(classes, max_attempts=3, **more), 1)
    workers = [api.WorkerEntry(f"w{i}", cell=i // 2) for i in range(4)]
    dispatcher.handle(now, [api.WorkerList(api.ListForm.FULL, workers)])
    return [
        action
        for i in range(20)
        for action in dispatcher.handle(
            now + i,
            [
                api.RequestArrived(
                    f"j{i}",
                    0,
                    now + i + 5000.0,
                    earlier_attempt_age=ago,
                    earlier_attempt_zone=0,
                    earlier_attempt_cell=cell,
                )
            ],
        )
        if isinstance(action, (api.Send, api.Fail, api.Reject))
    ]


def test_the_policy_decides_on_a_repeat_by_what_an_earlier_run_sent():
    assert {type(action) for action in decisions(api.Idempotency.NON_IDEMPOTENT, 10.0)} == {
        api.Fail
    }
    # What is left of the window does not cover a hold-up of the process.
    for ago, expected in ((7401.0, api.Fail), (7370.0, api.Send)):
        actions = decisions(api.Idempotency.IDEMPOTENT_BY_KEY, ago)
        assert expected in map(type, actions) and (expected is api.Send or len(actions) == 20)
    assert {
        type(action)
        for action in decisions(api.Idempotency.IDEMPOTENT_BY_KEY, LONG_AGO_MS, now=1e13)
    } == {api.Fail}
    for cell, cell_workers in ((0, {"w0", "w1"}), (1, {"w2", "w3"}), (9, set())):
        actions = decisions(api.Idempotency.IDEMPOTENT_BY_KEY, 3000.0, cell)
        sent = {action.worker for action in actions if type(action) is api.Send}
        assert sent <= cell_workers and bool(sent) == bool(cell_workers)
        # A rejection tells the client that the request never ran, which is unknown here.
        assert api.Reject not in map(type, actions)
    assert {
        action.worker
        for action in decisions(api.Idempotency.IDEMPOTENT_BY_KEY, -1.0)
        if type(action) is api.Send
    } & {
        "w0",
        "w1",
    }


def test_the_window_begins_with_the_first_byte_and_not_with_the_choice():
    """Guards against giving up a retry for the time that the first connection took."""
    spec = api.RequestClass(
        "save",
        2000.0,
        9000.0,
        idempotency=api.Idempotency.IDEMPOTENT_BY_KEY,
        group="cell",
        window=500.0,
    )
    for elapsed, expected in ((30.0, api.Send), (500.0, api.Fail)):
        dispatcher = Dispatcher(api.Settings([spec], max_attempts=3), 1)
        workers = [api.WorkerEntry(f"w{i}") for i in range(2)]
        dispatcher.handle(0.0, [api.WorkerList(api.ListForm.FULL, workers)])
        [send] = dispatcher.handle(1.0, [api.RequestArrived("j", 0, 9000.0)])[:1]
        ended = api.AttemptEnded("j", 0, send.worker, api.PolicyOutcome.CONNECTION_LOST, elapsed)
        actions = dispatcher.handle(601.0, [ended])
        kinds = [type(a) for a in actions if isinstance(a, (api.Send, api.Fail, api.Reject))]
        assert kinds == [expected]


def test_a_window_longer_than_the_clock_has_run_is_applied_in_full():
    # The dispatcher's clock starts at 1,000 s, and the request's first attempt is longer ago than that.
    classes = [
        api.RequestClass(
            "tour",
            2000.0,
            9000.0,
            idempotency=api.Idempotency.IDEMPOTENT_BY_KEY,
            group="all",
            window=7.2e6,
        )
    ]
    for ago, expected in ((7.2e6 - 99.0, api.Fail), (7.2e6 - 110.0, api.Send)):
        dispatcher = Dispatcher(api.Settings(classes, max_attempts=3), 1)
        dispatcher.handle(1e6, [api.WorkerList(api.ListForm.FULL, [api.WorkerEntry("w")])])
        out = dispatcher.handle(
            1e6 + 1, [api.RequestArrived("j", 0, 1e6 + 5000.0, earlier_attempt_age=ago)]
        )
        assert [type(a) for a in out if isinstance(a, (api.Send, api.Fail))] == [expected]


def test_the_max_age_is_never_underestimated():
    then = Clocks(1_000_000.0, 500.0, "a")
    for wall in (0.0, 1e9):  # within one boot the wall clock does not matter
        assert max_age_ms(then, Clocks(wall, 3500.0, "a")) == 3000.0
        assert min_age_ms(then, Clocks(wall, 3500.0, "a")) == 3000.0
    rebooted = Clocks(1_004_000.0, 10.0, "b")
    assert max_age_ms(then, rebooted) == 4000.0 + MAX_CLOCK_ADJUSTMENT_MS
    assert (
        max_age_ms(then, Clocks(999_000.0, 10.0, "b"))
        == max_age_ms(then, Clocks(999_000.0, 600.0, ""))
        == LONG_AGO_MS
    )
    now = Clocks(1_004_000.0, 4500.0, "a")

    def record(cell=0, monotonic=500.0, boot="a"):
        return AttemptRecord(
            "save", "acme", "k", "d1", 0, cell, Clocks(1_000_000.0, monotonic, boot)
        )

    assert AttemptRecord.decode(record().encode()) == record()
    assert estimate_earlier_attempt([record()], now, 7500.0).age_ms == 4000.0
    # The age is that of the oldest attempt.
    assert (
        estimate_earlier_attempt([record(monotonic=2000.0), record()], now, 7500.0).age_ms == 4000.0
    )
    # The attempts ran in two cells, neither of which can detect both duplicates.
    assert estimate_earlier_attempt([record(), record(cell=1)], now, 7500.0).age_ms == LONG_AGO_MS
    assert estimate_earlier_attempt([record()], now, 3000.0) is None
    assert (
        estimate_earlier_attempt([record(boot="b")], Clocks(0.0, 0.0, "a"), 7500.0).age_ms
        == LONG_AGO_MS
    )


def test_the_min_age_is_never_overestimated_where_records_expire():
    then = Clocks(1_000_000.0, 500.0, "a")
    hour = 3_600_000.0
    # The wall clock may have been set by an hour across the reboot; the monotonic clock since boot is exact.
    assert min_age_ms(then, Clocks(1_000_000.0 + hour, 10.0, "b")) == 10.0
    assert min_age_ms(then, Clocks(0.0, hour, "b")) == hour
    assert (
        min_age_ms(then, Clocks(1_000_000.0 + 5 * hour, 10.0, "b"))
        == 5 * hour - MAX_CLOCK_ADJUSTMENT_MS
    )
    record = AttemptRecord("once", "acme", "k", "d1", 0, 0, then)
    assert (
        estimate_earlier_attempt([record], Clocks(1_000_000.0 + hour, 10.0, "b"), hour) is not None
    )
