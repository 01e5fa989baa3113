"""A small test cluster: dispatcher processes with simulated workers, discovery and clients, and faults."""

from __future__ import annotations

import itertools
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11
import trio
import ujson

from yewrill.lab.cluster.audit import Terms
from yewrill.lab.cluster.history import History
from yewrill.lab.cluster.links import Address, Links
from yewrill.lab.cluster.pace import (
    LATENESS_PREFIX,
    LatenessInstrument,
    abort_when_starved,
    current_clock,
)
from yewrill.lab.cluster.standins import (
    Clients,
    Discovery,
    HttpConnection,
    SimulatedWorker,
    open_listener,
)
from yewrill.policy import rendezvous_hashing as rendezvous

MEMBERSHIP_KEY = "7a" * 16
CLIENT_TIMEOUT_SECONDS = 2.5
_PLAN_ADOPTED = re.compile(r"zone_plan_adopted plan=(\d+) (.*?) \(")
_VIEW_INSTALLED = re.compile(r" view_installed number=(\d+) digest=(\S+) members=(\S+)")
_VIEW_LOST = re.compile(r" view_lease_lost last=(\d+) \((.*)\)")
_LEASE_CHANGED = re.compile(r"(lease_acquired|lease_lost) role=(\S+) number=(\d+)")


@dataclass
class ClusterSpec:
    """The size, load and settings of a test cluster."""

    dispatchers: int = 6
    zones: int = 3
    workers_per_zone: int = 2
    # Requests per second for each dispatcher.
    rate: float = 12.0
    # Run time of a request at a warm worker, and slots of a worker.
    run_seconds: float = 0.04
    slots: int = 4
    # Share of the requests of each class.
    kinds: dict[str, float] = field(default_factory=lambda: {"tour": 0.8, "once": 0.2})
    # Seconds between membership probes, and two durations of the zone failover in seconds.
    members_interval: float = 0.15
    zone_hold: float = 0.8
    zone_step: float = 0.4
    # Budget of a slow start, as a multiple of the work that the worker can do in the window.
    cold_multiple: float = 3.0
    # Whether the dispatchers keep persistent state.
    keep_state: bool = False
    # Number of dispatchers that vote on leases; 0 turns leases off.
    voters: int = 0
    # Whether the dispatchers agree on views.
    views: bool = False


# The first port depends on the process id, so that concurrent processes rarely try the same ports.
_ports = itertools.cycle(range(20_000 + os.getpid() * 997 % 9000, 31_000))


def free_port() -> int:
    """Returns a port that is free for TCP and UDP; not an ephemeral port, which the system might assign."""
    for port in _ports:
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            suppress(OSError),
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port
    raise AssertionError


@dataclass(eq=False)
class Dispatcher:
    """One dispatcher: its addresses, its process, and the plan and view that its log last reported."""

    name: str
    zone: str
    path: Path
    listen: Address
    management: Address
    members: Address
    discovery: Discovery
    options: tuple[str, ...] = ()
    process: subprocess.Popen | None = None
    ready: bool = False
    plan: dict[str, Any] = field(default_factory=lambda: {"number": 0, "shares": {}})
    # Number and members of the view in which the dispatcher holds a lease, if any.
    view: tuple[int, frozenset[str]] | None = None


class ManagementCallRejected(Exception):
    """A dispatcher's management listener rejected a call."""


class Rig:
    """The test cluster that a scenario acts on: injects faults and waits for their effects."""

    def __init__(self, spec: ClusterSpec, seed: int, directory: Path, nursery: trio.Nursery):
        self.spec, self.seed, self.directory = spec, seed, directory
        self.nursery = nursery
        self.history = History()
        self.links = Links(nursery, seed)
        self.zones = [f"z{i}" for i in range(spec.zones)]
        self.workers: dict[str, SimulatedWorker] = {}
        self.dispatchers: dict[str, Dispatcher] = {}
        self._hub = 0
        self.terms = Terms(run_once_kinds=frozenset({"once"}), cold_multiple=spec.cold_multiple)
        self.history.note(
            "rig", "terms", once=sorted(self.terms.run_once_kinds), cold_multiple=spec.cold_multiple
        )
        self.clock = current_clock()

    # -- set-up

    async def build(self, stack: AsyncExitStack, options: dict[str, tuple[str, ...]]) -> None:
        """Starts workers, discoveries and relays, and writes the configuration of each dispatcher.

        `options` are command-line options of `entry` by dispatcher name, or under `all`.
        """
        spec = self.spec
        self._hub = await self.links.open_hub()
        for zone in self.zones:
            for i in range(spec.workers_per_zone):
                worker = SimulatedWorker(
                    f"p-{zone}-{i}", zone, self.history, spec.slots, spec.run_seconds
                )
                worker.address = await stack.enter_async_context(
                    open_listener(self.nursery, worker.handle)
                )
                self.workers[worker.name] = worker
        discovery_addresses: dict[str, Address] = {}
        for i in range(spec.dispatchers):
            name, zone = f"d{i}", self.zones[i % spec.zones]
            relayed_workers = {
                worker.name: (worker, await self.links.relay(name, worker.name, worker.address))
                for worker in self.workers.values()
            }
            discovery = Discovery(relayed_workers)
            address = await stack.enter_async_context(open_listener(self.nursery, discovery.handle))
            dispatcher = Dispatcher(
                name,
                zone,
                self.directory / f"{name}.json",
                ("127.0.0.1", free_port()),
                ("127.0.0.1", free_port()),
                ("127.0.0.1", free_port()),
                discovery,
                options.get(name, options.get("all", ())),
            )
            self.dispatchers[name] = dispatcher
            # This directory may hold the state of an earlier run.
            for kept in ("state", "owns", "views"):
                shutil.rmtree(self.directory / f"{name}.{kept}", ignore_errors=True)
            self.links.register(name, dispatcher.members)
            discovery_addresses[name] = address
        for name, dispatcher in self.dispatchers.items():
            dispatcher.path.write_text(
                ujson.dumps(self._config(dispatcher, discovery_addresses[name]))
            )

    def _config(self, dispatcher: Dispatcher, discovery: Address) -> dict[str, Any]:
        spec = self.spec
        kinds = [
            {
                "name": name,
                "aim": 300.0,
                "deadline": 1e3 * CLIENT_TIMEOUT_SECONDS,
                "repeat": repeat,
                "value": 1.0,
            }
            for name, repeat in (("tour", "pure"), ("once", "side_effect"))
        ]
        peers = [
            f"127.0.0.1:{d.members[1]}" for d in self.dispatchers.values() if d is not dispatcher
        ][:3]
        areas = [dispatcher.zone, *(zone for zone in self.zones if zone != dispatcher.zone)]
        return {
            "name": dispatcher.name,
            "listen": f"127.0.0.1:{dispatcher.listen[1]}",
            "mgmt": f"127.0.0.1:{dispatcher.management[1]}",
            "discovery": f"127.0.0.1:{discovery[1]}",
            "seed": str(self.seed),
            "settings": {
                "areas": areas,
                "kinds": ["std"],
                "zone": 0,
                "instances": spec.dispatchers,
                "tick": 2.0,
                "counted_by": "work",
                "request_classes": kinds,
                "limits": {
                    "try_limit": 3,
                    "connect_timeout": 150.0,
                    "idle_close": 10000.0,
                    "cancel": True,
                    "max_retry_after": 2000.0,
                    "retry_after": True,
                    "may_probe": False,
                },
                "specifics": {"tells_start": True, "queue_order": "fifo"},
                "rules": {
                    "answer_slack": 8.0,
                    "fall": 1000.0,
                    "fall_multiple": spec.cold_multiple,
                    "start_capacity": 0.3,
                    "warm_after": 2000.0,
                    "stop_sending_within": 1000.0,
                },
                "parties": [{"name": "acme", "quota_per_s": 1e5, "share": 1.0}],
            },
            "members": {
                "listen": f"127.0.0.1:{dispatcher.members[1]}",
                "peers": peers,
                "keys": [MEMBERSHIP_KEY],
                "zone": dispatcher.zone,
                "interval": spec.members_interval,
                "bytes_per_s": 100_000,
            },
            "zones": {"hold": spec.zone_hold, "step": spec.zone_step},
            **(
                {
                    "views": {
                        "founders": [f"d{i}" for i in range(min(3, spec.dispatchers))],
                        "dir": str(self.directory / f"{dispatcher.name}.views"),
                    }
                }
                if spec.views
                else {}
            ),
            **(
                {
                    "ownership": {
                        "voters": [f"d{i}" for i in range(spec.voters)],
                        "span": 2.0,
                        "dir": str(self.directory / f"{dispatcher.name}.owns"),
                    }
                }
                if spec.voters
                else {}
            ),
            **(
                {"state_dir": str(self.directory / f"{dispatcher.name}.state")}
                if spec.keep_state
                else {}
            ),
        }

    # -- processes

    def start(self, name: str) -> None:
        """Starts a dispatcher's process and begins to read its log."""
        dispatcher = self.dispatchers[name]
        dispatcher.ready, dispatcher.plan, dispatcher.view = (
            False,
            {"number": 0, "shares": {}},
            None,
        )
        command = [
            sys.executable,
            "-m",
            "yewrill.lab.cluster.entry",
            "--hub",
            str(self._hub),
            "--pace",
            str(self.clock.pace),
            str(self.clock.since),
            *dispatcher.options,
        ]
        environment = {**os.environ, "BALANCER_CONFIG": str(dispatcher.path), "YEWRILL_LOG": "INFO"}
        dispatcher.process = subprocess.Popen(command, env=environment, stderr=subprocess.PIPE)
        self.history.note(name, "start")
        self.nursery.start_soon(self._read, dispatcher, dispatcher.process)

    async def _read(self, dispatcher: Dispatcher, process: subprocess.Popen) -> None:
        assert process.stderr is not None
        rest = b""
        with suppress(trio.ClosedResourceError):
            async with trio.lowlevel.FdStream(os.dup(process.stderr.fileno())) as stream:
                while data := await stream.receive_some(65536):
                    *lines, rest = (rest + data).split(b"\n")
                    for line in lines:
                        self._parse_log_line(dispatcher, line.decode(errors="replace"))
        self.history.note(dispatcher.name, "exit", code=process.wait())

    def _parse_log_line(self, dispatcher: Dispatcher, line: str) -> None:
        if " ready name=" in line:
            dispatcher.ready = True
            self.history.note(dispatcher.name, "ready")
        elif (found := _PLAN_ADOPTED.search(line)) is not None:
            shares, back = {}, []
            for part in [] if found[2] == "all well" else found[2].split():
                zone, _, share = part.partition("=")
                shares[zone] = float(share.removesuffix(":back"))
                back += [zone] if share.endswith(":back") else []
            dispatcher.plan = {"number": int(found[1]), "shares": shares, "back": back}
            self.history.note(dispatcher.name, "plan", **dispatcher.plan)
        elif (found := _VIEW_INSTALLED.search(line)) is not None:
            names = found[3].split(",")
            dispatcher.view = int(found[1]), frozenset(names)
            self.history.note(
                dispatcher.name, "view", number=int(found[1]), digest=found[2], names=names
            )
        elif (found := _VIEW_LOST.search(line)) is not None:
            dispatcher.view = None
            self.history.note(dispatcher.name, "no-view", last=int(found[1]), why=found[2])
        elif (found := _LEASE_CHANGED.search(line)) is not None:
            self.history.note(
                dispatcher.name,
                "owns" if found[1] == "lease_acquired" else "owns-no-more",
                duty=found[2],
                number=int(found[3]),
            )
        elif line.startswith(LATENESS_PREFIX):
            self.history.put(
                dispatcher.name, "late", seconds=float(line.removeprefix(LATENESS_PREFIX))
            )
        elif " ERROR " in line or "Traceback" in line:
            self.history.note(dispatcher.name, "error", line=line)

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Sends SIGKILL, or another signal that ends the process, to a dispatcher."""
        dispatcher = self.dispatchers[name]
        self.history.note(name, "kill" if signal_number == signal.SIGKILL else "stop")
        dispatcher.ready = False
        if dispatcher.process is not None:
            dispatcher.process.send_signal(signal_number)

    def pause(self, name: str) -> None:
        """Stops a dispatcher's process with SIGSTOP."""
        self.history.note(name, "pause")
        self.dispatchers[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a paused dispatcher continue."""
        self.history.note(name, "resume")
        self.dispatchers[name].process.send_signal(signal.SIGCONT)

    async def start_and_wait(self, names: Iterable[str] | None = None) -> None:
        """Starts dispatchers, all by default, and waits until they serve and see each other alive."""
        names = list(self.dispatchers if names is None else names)
        for name in names:
            self.start(name)
        await self.history.wait_until(lambda: all(self.dispatchers[name].ready for name in names))
        ready = [d for d in self.dispatchers.values() if d.ready]
        for dispatcher in ready:
            while await self._alive_members_seen_by(dispatcher) < len(ready):
                await trio.sleep(0.05)

    async def _alive_members_seen_by(self, dispatcher: Dispatcher) -> int:
        listed = (await self.call_management(dispatcher.name, "/_members"))["members"]
        return sum(member["state"] == "alive" for member in listed)

    async def call_management(self, name: str, path: str, method: str = "GET") -> Any:
        """Calls a dispatcher's management listener; returns the JSON or the text of the answer.

        A call that timed out at the dispatcher (408) is repeated. Raises ManagementCallRejected on any other
        status.
        """
        while True:
            status, body = await self._call(name, path, method)
            if status == 200:
                return ujson.loads(body) if body[:1] in (b"{", b"[") else body.decode()
            if status != 408:
                raise ManagementCallRejected(
                    f"{name} {method} {path}: {status} {body.decode(errors='replace')}"
                )

    async def _call(self, name: str, path: str, method: str) -> tuple[int, bytes]:
        stream = await trio.open_tcp_stream(*self.dispatchers[name].management)
        async with stream:
            http = HttpConnection(stream, h11.CLIENT)
            request = h11.Request(method=method, target=path, headers=[("Host", "x")])
            await http.send(request, h11.EndOfMessage())
            status, body = 0, b""
            while not isinstance(event := await http.event(), h11.EndOfMessage):
                if isinstance(event, h11.Response):
                    status = event.status_code
                body += event.data if isinstance(event, h11.Data) else b""
        return status, body

    def start_traffic(self, names: Iterable[str] | None = None) -> None:
        """Starts clients for dispatchers, all by default."""
        for name in self.dispatchers if names is None else names:
            # The seed does not use hash(), which would differ between processes.
            seed = rendezvous.hash_name(f"{self.seed}/{name}")
            clients = Clients(
                name,
                self.dispatchers[name].listen,
                self.history,
                seed,
                self.spec.rate,
                self.spec.kinds,
                CLIENT_TIMEOUT_SECONDS,
            )
            self.nursery.start_soon(clients.run, self.nursery)

    # -- zones

    def workers_in(self, zone: str) -> list[SimulatedWorker]:
        """Returns the workers of a zone."""
        return [worker for worker in self.workers.values() if worker.zone == zone]

    def fail_zone(self, zone: str, mode: str = "gone") -> None:
        """Lets all workers of a zone fail; `mode` is one of SimulatedWorker."""
        self.history.note("rig", "zone-fails", zone=zone)
        for worker in self.workers_in(zone):
            worker.mode = mode
            if mode == "gone":
                worker.reset_connections()

    def recover_zone(self, zone: str, *, cold: bool = True) -> None:
        """Lets all workers of a zone work again, by default as restarted processes, cold."""
        self.history.note("rig", "zone-well", zone=zone)
        for worker in self.workers_in(zone):
            if cold:
                worker.restart()
            else:
                worker.mode = "well"
        if cold:
            self.publish_endpoint_lists()

    def publish_endpoint_lists(self) -> None:
        """Publishes a new version of the endpoint list to every dispatcher."""
        for dispatcher in self.dispatchers.values():
            dispatcher.discovery.publish()

    async def detach_worker(self, name: str, *addresses: str) -> None:
        """Detaches a worker at some dispatchers by a management call, which each confirms."""
        for address in addresses:
            assert "detached" in await self.call_management(
                address, f"/_profilers/detach?name={name}", "PUT"
            )
            self.history.note(address, "taken-out", profiler=name)

    def drain(self, name: str) -> None:
        """Lets a worker drain."""
        self.workers[name].state = "DRAINING"
        self.history.note(name, "drain")
        self.publish_endpoint_lists()

    def plan_owner(self, excluding: str = "") -> str:
        """Returns the dispatcher that holds the lease, if it is ready; else an empty string."""
        for line in reversed(self.history.lines):
            if line["what"] == "owns" and line["by"] != excluding:
                return line["by"] if self.dispatchers[line["by"]].ready else ""
            if line["what"] == "owns-no-more" and line["by"] != excluding:
                return ""
        return ""

    # -- views

    def partition(
        self, group: Iterable[str], others: Iterable[str], *, both_directions: bool = True
    ) -> None:
        """Cuts two groups of dispatchers off from each other; the view may lose members of either group."""
        group, others = list(group), list(others)
        self.history.note("rig", "unwell", names=[*group, *others])
        self.links.set_faults(group, others, both_directions=both_directions, cut=True)

    def heal(self) -> None:
        """Clears all faults of links."""
        self.links.heal()
        self.history.note("rig", "healed")

    async def wait_for_view(
        self, names: Iterable[str] | None = None, among: Iterable[str] | None = None
    ) -> None:
        """Waits until dispatchers have installed one view whose members are exactly `names`.

        By default, `names` are all ready dispatchers. `among` are the dispatchers that must have installed
        the view, by default `names`.
        """
        names = (
            frozenset(d.name for d in self.ready_dispatchers())
            if names is None
            else frozenset(names)
        )
        waited_for = [self.dispatchers[name] for name in (names if among is None else among)]

        def in_one_view() -> bool:
            return (
                all(d.view is not None and d.view[1] == names for d in waited_for)
                and len({d.view[0] for d in waited_for if d.view is not None}) == 1
            )

        await self.wait_until(in_one_view, 60.0)

    async def wait_until_out_of_view(self, names: Iterable[str]) -> None:
        """Waits until these dispatchers have lost their view."""
        waited_for = [self.dispatchers[name] for name in names]
        await self.wait_until(lambda: all(d.view is None for d in waited_for), 60.0)

    # -- waiting

    def ready_dispatchers(self) -> list[Dispatcher]:
        """Returns the dispatchers that serve: not killed, stopped or marked as paused."""
        return [d for d in self.dispatchers.values() if d.ready]

    def zone_shares(self, zone: str) -> list[float]:
        """Returns the share of its traffic that a zone has in each ready dispatcher's plan."""
        return [d.plan["shares"].get(zone, 1.0) for d in self.ready_dispatchers()]

    def plans_agree(self) -> bool:
        """Returns whether all ready dispatchers have the same plan."""
        return len({d.plan["number"] for d in self.ready_dispatchers()}) == 1

    async def wait_until(self, condition: Callable[[], bool], limit_seconds: float = 60.0) -> None:
        """Waits until a condition on the history holds. Raises trio.TooSlowError after the limit."""
        with trio.fail_after(limit_seconds):
            await self.history.wait_until(condition)

    async def wait_until_zone_left(self, zone: str) -> None:
        """Waits until one plan of all ready dispatchers leaves a zone at most a tenth of its traffic."""
        await self.wait_until(lambda: self.plans_agree() and max(self.zone_shares(zone)) <= 0.1)

    async def wait_until_zone_restored(self, zone: str) -> None:
        """Waits until one plan of all ready dispatchers gives a zone its full traffic."""
        await self.wait_until(lambda: self.plans_agree() and min(self.zone_shares(zone)) == 1.0)

    async def wait_until_served(self, count: int) -> None:
        """Waits until the given number of further requests have been answered with 200."""

        def count_served() -> int:
            return sum(line["status"] == 200 for line in self.history.lines_of("answer"))

        before = count_served()
        await self.wait_until(lambda: count_served() >= before + count)

    def note_settled(self) -> None:
        """Records that the scenario is over: at its end all ready dispatchers have to hold one plan."""
        self.history.note("rig", "settled", living=[d.name for d in self.ready_dispatchers()])

    def kill_all(self) -> None:
        """Kills the processes that still run."""
        for dispatcher in self.dispatchers.values():
            if dispatcher.process is not None and dispatcher.process.poll() is None:
                with suppress(ProcessLookupError):
                    dispatcher.process.send_signal(signal.SIGCONT)
                    dispatcher.process.kill()
            if dispatcher.process is not None:
                dispatcher.process.wait()
                if dispatcher.process.stderr is not None:
                    dispatcher.process.stderr.close()


@asynccontextmanager
async def open_cluster(
    directory: Path,
    spec: ClusterSpec | None = None,
    seed: int = 1,
    options: dict[str, tuple[str, ...]] | None = None,
) -> AsyncIterator[Rig]:
    """Yields a rig whose dispatchers are configured but not started.

    At the end it kills them and writes the history. `options` are command-line options of `entry` by
    dispatcher name, or under `all`. Raises an exception group with Starved if the machine is too busy.
    """
    async with trio.open_nursery() as nursery:
        rig = Rig(spec or ClusterSpec(), seed, directory, nursery)
        lateness = LatenessInstrument(
            rig.clock, lambda late: rig.history.put("rig", "late", seconds=late)
        )
        trio.lowlevel.add_instrument(lateness)
        nursery.start_soon(abort_when_starved, rig.history.lines)
        try:
            async with AsyncExitStack() as stack:
                await rig.build(stack, options or {})
                yield rig
        finally:
            trio.lowlevel.remove_instrument(lateness)
            rig.kill_all()
            rig.history.write(directory / "history.jsonl")
            nursery.cancel_scope.cancel()
    rig.links.close()
