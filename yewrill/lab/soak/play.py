"""Executes a plan: processes, simulated parties, traffic and faults, until the last dispatcher has ended."""

from __future__ import annotations

import math
import random
import signal
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from yewrill.lab.soak.clients import LEAVING_STYLE_WEIGHTS, USUAL_STYLE_WEIGHTS, ClientTraffic
from yewrill.lab.soak.discovery import Discovery
from yewrill.lab.soak.events import History, ProcessState
from yewrill.lab.soak.heavy_clients import send_heavy_requests
from yewrill.lab.soak.nodes import Node
from yewrill.lab.soak.oracle import Breach, judge
from yewrill.lab.soak.plan import (
    CELLS,
    FINAL_CALM_SECONDS,
    IDLE_CLIENTS,
    INITIAL_CALM_SECONDS,
    Fault,
    Kind,
    Plan,
)
from yewrill.lab.soak.workers import Worker

# A run is void if the test's event loop was late, or a dispatcher waited for a CPU, for this long at once.
STARVED_SECONDS = 0.08
WATCH_INTERVAL_SECONDS = 0.02  # time between two checks of the lateness of the test's event loop
NODE_WATCH_INTERVAL_SECONDS = 0.2  # time between two checks of the dispatchers' waits for a CPU
CALM_START_SECONDS = 1.0  # time from the start of traffic to the first calm span
WORKER_DRAIN_SECONDS = 1.5
BURST_FACTOR = 3.0
PAUSE_SECONDS = 0.15
# Range of the time after SIGTERM for which the simulated load balancer still opens new connections.
NEW_CONNECTIONS_SECONDS = (0.2, 0.4)
LIST_DELAY_SECONDS = 0.05  # time from a change of a worker until discovery publishes the change
FIRST_VERSIONS = (100, 700)  # first version number of the list, for each discovery


@dataclass
class Outcome:
    """The outcome of a run. `starved`: the machine was too busy, so the history was not checked."""

    plan: Plan
    history: History
    breaches: list[Breach] = field(default_factory=list)
    starved: bool = False
    # Log lines of the dispatchers, by the subject of a breach.
    logs: dict[str, list[str]] = field(default_factory=dict)


class SoakRun:
    """One run with all its parties."""

    def __init__(self, plan: Plan, directory: Path, nursery: trio.Nursery):
        self.plan, self.history, self.nursery = plan, History(), nursery
        self.wall_offset = 0.0
        self._rng = random.Random(f"{plan.seed}/ends")
        self.workers = [
            Worker(f"w{i}", plan.terms, self.history, plan.seed, plan.first_run_factor, i % CELLS)
            for i in range(plan.workers)
        ]
        self.discoveries = [Discovery(self.workers, first) for first in FIRST_VERSIONS]
        self._discovery = 0  # index of the discovery that the dispatchers are configured with
        self.nodes = [
            Node(i, plan, directory, self.history, nursery) for i in range(plan.dispatchers)
        ]
        self.traffic = [
            ClientTraffic(node.name, node.address, plan, self.history, self._ready_event_of)
            for node in self.nodes
        ]

    def _ready_event_of(self, name: str) -> trio.Event:
        return next(node for node in self.nodes if node.name == name).ready

    # -- start and end

    async def open(self, stack: AsyncExitStack) -> None:
        """Opens the listeners of the simulated parties, writes configurations and starts the processes."""
        for worker in self.workers:
            await self.nursery.start(worker.listener.serve)
        for server in self.discoveries:
            listeners = await self.nursery.start(
                partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
            )
            server.address = listeners[0].socket.getsockname()[:2]
        self.configure()
        for node in self.nodes:
            stack.callback(node.close)
        async with trio.open_nursery() as starting:
            for node in self.nodes:
                starting.start_soon(node.start)

    def configure(self) -> None:
        """Writes the current configuration of every dispatcher."""
        peers = [node.members for node in self.nodes]
        discovery = self.discoveries[self._discovery]
        for node in self.nodes:
            others = [peer for peer in peers if peer != node.members]
            node.configure(discovery.address, discovery.full_list(), others)

    def publish(self) -> None:
        """Publishes a new version of the list of workers."""
        for discovery in self.discoveries:
            discovery.publish()

    async def run(self) -> None:
        """Runs traffic and faults, then terminates all dispatchers while the traffic continues."""
        self.nursery.start_soon(self._watch_own_lateness)
        self.nursery.start_soon(self._watch_nodes)
        async with trio.open_nursery() as requests:
            async with trio.open_nursery() as sources:
                for traffic in self.traffic:
                    sources.start_soon(traffic.run, requests)
                await self._inject_faults()
                async with trio.open_nursery() as ending:
                    for node in self.nodes:
                        ending.start_soon(self._terminate_node, node, self._rng.random() < 0.5)
                sources.cancel_scope.cancel()
            with trio.move_on_after(self.plan.terms.grace):
                while any(traffic.in_flight for traffic in self.traffic):
                    await trio.sleep(WATCH_INTERVAL_SECONDS)
            requests.cancel_scope.cancel()
        await trio.sleep(WATCH_INTERVAL_SECONDS)

    async def _terminate_node(self, node: Node, series: bool) -> None:
        """Terminates a dispatcher; a little later, its clients use only the connections that are open."""
        traffic = next(each for each in self.traffic if each.name == node.name)
        traffic.new_connections_until = self.history.now() + self._rng.uniform(
            *NEW_CONNECTIONS_SECONDS
        )
        await node.terminate(series=series)

    async def _restart_node(self, node: Node) -> None:
        await node.start()
        traffic = next(each for each in self.traffic if each.name == node.name)
        traffic.new_connections_until = math.inf

    async def _inject_faults(self) -> None:
        """Runs a calm span, the faults, and another calm span."""
        started_at = self.history.now()
        self.history.calm_spans.append(
            (started_at + CALM_START_SECONDS, started_at + INITIAL_CALM_SECONDS)
        )
        async with trio.open_nursery() as faults:
            for fault in self.plan.faults:
                faults.start_soon(self._inject, fault, started_at)
            faults.start_soon(self._run_client_misbehavior, started_at)
        await trio.sleep(self.plan.recovery)
        recovered_at = self.history.now()
        await trio.sleep(FINAL_CALM_SECONDS)
        self.history.calm_spans.append((recovered_at, self.history.now()))

    async def _watch_own_lateness(self) -> None:
        while True:
            due = time.monotonic() + WATCH_INTERVAL_SECONDS
            await trio.sleep(WATCH_INTERVAL_SECONDS)
            self.history.max_lateness = max(self.history.max_lateness, time.monotonic() - due)

    async def _watch_nodes(self) -> None:
        """Records the dispatchers' memory, and how long they wait for a CPU, which is not their fault."""
        before: dict[int, float] = {}
        while True:
            await trio.sleep(NODE_WATCH_INTERVAL_SECONDS)
            now = dict(filter(None, (node.cpu_wait() for node in self.nodes)))
            for pid, waited in now.items():
                self.history.max_lateness = max(
                    self.history.max_lateness, waited - before.get(pid, waited)
                )
            before = now
            for node in self.nodes:
                known = self.history.peak_memory_mb.get(node.name, 0.0)
                self.history.peak_memory_mb[node.name] = max(known, node.peak_memory_mb())

    async def _run_client_misbehavior(self, started_at: float) -> None:
        """Lets clients misbehave from the first fault to the last."""
        await trio.sleep(INITIAL_CALM_SECONDS)
        for traffic in self.traffic:
            traffic.style_weights = USUAL_STYLE_WEIGHTS
        await trio.sleep(max(0.0, started_at + self.plan.faults_end - self.history.now()))
        for traffic in self.traffic:
            traffic.style_weights = (1, 0, 0, 0, 0, 0)

    # -- faults

    async def _inject(self, fault: Fault, started_at: float) -> None:
        await trio.sleep(max(0.0, started_at + fault.at - self.history.now()))
        kind = fault.kind
        if kind in _NODE_FAULTS:
            async with trio.open_nursery() as nursery:
                for number in fault.dispatchers:
                    nursery.start_soon(self._run_on_node, kind, self.nodes[number])
        elif fault.rules:
            await self._apply_call_rules(fault)
        elif kind is Kind.CLOCK_STEP:
            self._step_wall_clock(fault.step)
        elif kind is Kind.WORKER_COLD:
            await self._restart_workers(fault)
        elif kind is Kind.WORKER_DRAINS:
            await self._drain_workers(fault)
        elif kind is Kind.CLIENTS_CROWD:
            await self._open_idle_clients(fault)
        elif kind is Kind.CLIENTS_HEAVY:
            await self._send_heavy_requests(fault)
        elif kind in (Kind.CLIENTS_LEAVE, Kind.CLIENTS_BURST):
            await self._change_client_traffic(fault)
        else:
            await self._set_mode(fault)

    async def _apply_call_rules(self, fault: Fault) -> None:
        shims = [self.nodes[number].shim for number in fault.dispatchers]
        for shim in shims:
            shim.add(fault.rules)
        await trio.sleep(fault.duration)
        for shim in shims:
            shim.remove(fault.rules)

    def _step_wall_clock(self, step: float) -> None:
        self.wall_offset += step
        for node in self.nodes:
            node.shim.set_wall_clock_offset(self.wall_offset)

    async def _restart_workers(self, fault: Fault) -> None:
        for number in fault.workers:
            self.workers[number].restart((time.time() + self.wall_offset) * 1000.0)
        await trio.sleep(LIST_DELAY_SECONDS)
        self.publish()

    async def _drain_workers(self, fault: Fault) -> None:
        for state in ("DRAINING", "SERVING"):
            for number in fault.workers:
                self.workers[number].state = state
            self.publish()
            await trio.sleep(WORKER_DRAIN_SECONDS)

    async def _open_idle_clients(self, fault: Fault) -> None:
        """Opens many connections that send nothing, and keeps them until the fault ends."""
        for number in fault.dispatchers[:1]:
            async with AsyncExitStack() as stack:
                with suppress(OSError):
                    for _ in range(IDLE_CLIENTS):
                        stream = await trio.open_tcp_stream(*self.nodes[number].address)
                        stack.callback(stream.socket.close)
                await trio.sleep(fault.duration)

    async def _send_heavy_requests(self, fault: Fault) -> None:
        rng = random.Random(f"{self.plan.seed}/heavy/{fault.number}")
        async with trio.open_nursery() as nursery:
            for number in fault.dispatchers:
                nursery.start_soon(
                    send_heavy_requests, self.nodes[number].address, rng, fault.duration
                )

    async def _change_client_traffic(self, fault: Fault) -> None:
        affected = [self.traffic[number] for number in fault.dispatchers]
        if fault.kind is Kind.CLIENTS_BURST:
            affected = self.traffic
        for traffic in affected:
            if fault.kind is Kind.CLIENTS_BURST:
                traffic.burst = BURST_FACTOR
            else:
                traffic.style_weights = LEAVING_STYLE_WEIGHTS
        await trio.sleep(fault.duration)
        for traffic in affected:
            traffic.burst = 1.0
            if fault.kind is Kind.CLIENTS_LEAVE:
                traffic.style_weights = USUAL_STYLE_WEIGHTS

    async def _set_mode(self, fault: Fault) -> None:
        """Lets workers or discoveries misbehave for the duration of the fault."""
        kind = fault.kind
        if kind.name.startswith("WORKER"):
            affected = [self.workers[number] for number in fault.workers]
            for worker in affected:
                worker.slow_factor = fault.slow_factor
                worker.begin_fault(kind)
                if kind is Kind.WORKER_LATE:
                    self.nursery.start_soon(worker.listener.hold, fault.duration)
            await trio.sleep(fault.duration)
            for worker in affected:
                worker.end_fault(kind)
            return
        for discovery in self.discoveries:
            discovery.active_faults.append(kind)
        await trio.sleep(fault.duration)
        for discovery in self.discoveries:
            discovery.active_faults.remove(kind)

    async def _run_on_node(self, kind: Kind, node: Node) -> None:
        """Runs a fault of a dispatcher. Restarts run one at a time: they use the same name and address."""
        if kind in (Kind.PAUSE, Kind.RELOAD):
            await _NODE_FAULTS[kind](self, node)
            return
        async with node.restart_lock:
            await _NODE_FAULTS[kind](self, node)

    async def _terminate(self, node: Node) -> None:
        await self._terminate_node(node, series=False)
        await self._restart_node(node)

    async def _signals_in_series(self, node: Node) -> None:
        """Sends SIGHUPs before and during the drain, repeated SIGTERMs, and SIGHUPs right after readiness."""
        await self._reload(node)
        await self._terminate_node(node, series=True)
        await self._restart_node(node)
        await self._reload(node)

    async def _kill(self, node: Node) -> None:
        process = node.process
        node.send(signal.SIGKILL, ProcessState.KILLED)
        while process is not None and process.poll() is None:
            await trio.sleep(0.01)
        await node.start()

    async def _pause(self, node: Node) -> None:
        await node.pause(PAUSE_SECONDS)

    async def _reload(self, node: Node) -> None:
        self._discovery = 1 - self._discovery
        self.configure()
        await node.reload()

    async def _reload_into_drain(self, node: Node) -> None:
        await self._reload(node)
        await self._terminate(node)

    async def _upgrade(self, node: Node) -> None:
        await node.upgrade()

    async def _upgrade_with_kill(self, node: Node) -> None:
        await node.upgrade_with_kill()


_NODE_FAULTS = {
    Kind.TERMINATE: SoakRun._terminate,
    Kind.SIGNALS_IN_SERIES: SoakRun._signals_in_series,
    Kind.KILL: SoakRun._kill,
    Kind.PAUSE: SoakRun._pause,
    Kind.RELOAD: SoakRun._reload,
    Kind.RELOAD_INTO_DRAIN: SoakRun._reload_into_drain,
    Kind.UPGRADE: SoakRun._upgrade,
    Kind.UPGRADE_KILL: SoakRun._upgrade_with_kill,
}


def run_plan(plan: Plan, directory: Path) -> Outcome:
    """Executes a plan in a directory and checks its history."""
    started_runs: list[SoakRun] = []

    async def main() -> None:
        async with AsyncExitStack() as stack, trio.open_nursery() as nursery:
            soak_run = SoakRun(plan, directory, nursery)
            started_runs.append(soak_run)
            await soak_run.open(stack)
            await soak_run.run()
            nursery.cancel_scope.cancel()

    trio.run(main)
    soak_run = started_runs[0]
    for node in soak_run.nodes:
        soak_run.history.violations += node.violations()
    outcome = Outcome(
        plan, soak_run.history, starved=soak_run.history.max_lateness > STARVED_SECONDS
    )
    if not outcome.starved:
        outcome.breaches = judge(soak_run.history, plan.terms)
        for breach in outcome.breaches:
            name = breach.subject.partition("-")[0]
            nodes = [node for node in soak_run.nodes if node.name == name]
            outcome.logs[breach.subject] = [
                line for node in nodes for line in node.log_lines_about(breach.subject)
            ]
    return outcome
