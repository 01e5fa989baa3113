"""A fleet on loopback: real dispatchers as they ship, hollow ones beside them, hollow workers on their lists.

The real ones are measured. They serve, have a discovery and the planned list of workers; the hollow ones have
the same control. One more real dispatcher runs with its control off: what the others spend beyond it is what
control costs.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from yewrill.lab.scale import plan
from yewrill.lab.scale.sampling import Sample, sample

SHIPPED = Path(__file__).parents[3] / "deploy" / "cluster.json"
FIRST_PORT = 21_000
LAST_PORT = 31_000
PEERS = 8
FOUNDERS = 3
LONG_POLL_S = 4.0
CONTROL = ("members", "views", "zones")  # keys of the configuration
Status = Mapping[str, Any]


class FleetError(Exception):
    """A fleet that did not start, or a process of it that ended; the text says which."""


def free_ports(count: int) -> list[int]:
    """Ports that nobody has now, by TCP or UDP, below those that the system gives out by itself."""
    found: list[int] = []
    for port in range(FIRST_PORT + os.getpid() * 61 % 5000, LAST_PORT):
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            suppress(OSError),
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise FleetError("too few free ports")


class WorkerList:
    """A discovery that lists hollow workers: entries, and nobody behind them."""

    def __init__(self, workers: int, zones: list[str]):
        servers = [
            {
                "id": f"w{i:04d}",
                "addr": f"127.0.0.1:{1 + i % 1000}",
                "zone": zones[i % len(zones)],
                "kind": "std5",
                "cell": 0,
                "state": "SERVING",
                "weight": 1.0,
                "started_ms": 0,
            }
            for i in range(workers)
        ]
        body = json.dumps({"version": 1, "full": True, "servers": servers}).encode()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802 - the base class names it
                if "from=" in self.path:
                    time.sleep(LONG_POLL_S)
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                with suppress(OSError):  # whoever asked may have gone
                    self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def port(self) -> int:
        """Where it listens."""
        return self._server.server_address[1]

    def close(self) -> None:
        """Stop answering."""
        self._server.shutdown()
        self._server.server_close()


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What is started. `control`: which keys of the configuration are on; `voters`: the log's, if it is."""

    mix: plan.Mix
    workers: int = plan.WORKERS
    zones: int = plan.ZONES
    regions: int = plan.REGIONS
    control: tuple[str, ...] = CONTROL
    voters: int = 0


@dataclass(eq=False)
class RealDispatcher:
    """One as it ships."""

    name: str
    path: Path
    management: int  # its port
    process: subprocess.Popen | None = None

    def status(self) -> Status:
        """What it says of itself, by hook; empty while it does not answer."""
        return {key: self._get(f"/_{key}") for key in CONTROL}

    def _get(self, target: str) -> Any:
        connection = http.client.HTTPConnection("127.0.0.1", self.management, timeout=5.0)
        try:
            connection.request("GET", target)
            reply = connection.getresponse()
            return json.loads(reply.read()) if reply.status == http.client.OK else {}
        except (OSError, http.client.HTTPException):
            return {}
        finally:
            connection.close()


@dataclass(eq=False)
class HollowProcess:
    """A process of hollow dispatchers."""

    names: list[str]
    process: subprocess.Popen

    def tell(self, command: str, names: Iterable[str] = ()) -> None:
        """Give it a command."""
        assert self.process.stdin is not None
        self.process.stdin.write(" ".join([command, *names]).encode() + b"\n")
        self.process.stdin.flush()

    def status(self) -> dict[str, Status]:
        """What each of its dispatchers says of itself."""
        self.tell("status")
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise FleetError("a process of hollow dispatchers has ended")
        return json.loads(line)


@dataclass(eq=False)
class ScaleFleet:
    """The fleet. Use it as a context manager: at its end all processes end."""

    plan: FleetPlan
    directory: Path
    real: list[RealDispatcher] = field(default_factory=list)
    hollow: list[HollowProcess] = field(default_factory=list)
    without_control: RealDispatcher | None = None
    started_at: float = 0.0

    def __enter__(self) -> ScaleFleet:
        """Start all at once."""
        mix = self.plan.mix
        plan.check(mix, plan.machine_memory_mb())
        zones = [f"z{i:02d}" for i in range(self.plan.zones)]
        self._list = WorkerList(self.plan.workers, zones)
        shutil.rmtree(self.directory, ignore_errors=True)
        self.directory.mkdir(parents=True)
        shipped = json.loads(SHIPPED.read_text())
        count = mix.dispatchers + 1
        ports = free_ports(3 * count)
        files = []
        for index in range(count):
            name = f"d{index:03d}"
            raw = self._configuration(shipped, index, name, zones, ports)
            if index == mix.dispatchers:
                raw = {key: value for key, value in raw.items() if key not in CONTROL}
            path = self.directory / f"{name}.json"
            path.write_text(json.dumps(raw))
            files.append((name, path, ports[2 * count + index]))
        self.started_at = time.monotonic()
        try:
            # Real ones are spread over the numbers: founders are among them.
            step = max(1, mix.dispatchers // max(1, mix.real))
            real = set(list(range(0, mix.dispatchers, step))[: mix.real])
            self._start_hollow([files[i] for i in range(mix.dispatchers) if i not in real])
            for index in sorted(real):
                self.real.append(self._start_real(*files[index]))
            self.without_control = self._start_real(*files[mix.dispatchers])
        except BaseException:
            self.__exit__()
            raise
        return self

    def _configuration(
        self, shipped: Status, index: int, name: str, zones: list[str], ports: list[int]
    ) -> dict[str, Any]:
        """A dispatcher's file: the shipped one with its own name and addresses."""
        count = self.plan.mix.dispatchers + 1
        zone = zones[index % len(zones)]
        region = f"r{zones.index(zone) % self.plan.regions}"
        raw = json.loads(json.dumps(shipped))
        raw |= {
            "name": name,
            "listen": f"127.0.0.1:{ports[count + index]}",
            "mgmt": f"127.0.0.1:{ports[2 * count + index]}",
            "discovery": f"127.0.0.1:{self._list.port}",
        }
        peers = [port for port in ports[: PEERS + 1] if port != ports[index]][:PEERS]
        raw["members"] |= {
            "listen": f"127.0.0.1:{ports[index]}",
            "peers": [f"127.0.0.1:{port}" for port in peers[: self.plan.mix.dispatchers]],
            "name": name,
            "zone": zone,
            "region": region,
        }
        founders = [f"d{i:03d}" for i in range(min(FOUNDERS, self.plan.mix.dispatchers))]
        raw["views"] = {"founders": founders, "dir": str(self.directory / f"{name}.views")}
        raw["settings"] |= {"areas": [zone, *(z for z in zones if z != zone)], "instances": count}
        if "ownership" in self.plan.control:
            voters = [f"d{i:03d}" for i in range(self.plan.voters)]
            raw["ownership"] = {"voters": voters, "dir": str(self.directory / f"{name}.owns")}
        off = [key for key in CONTROL if key not in self.plan.control]
        return {key: value for key, value in raw.items() if key not in off}

    def _start_real(self, name: str, path: Path, management: int) -> RealDispatcher:
        one = RealDispatcher(name, path, management)
        self.start(one)
        return one

    def start(self, one: RealDispatcher) -> None:
        """Start a real dispatcher, or start it anew."""
        command = [sys.executable, "-m", "yewrill", "serve", "--config", str(one.path)]
        with open(self.directory / f"{one.name}.log", "ab") as log:
            one.process = subprocess.Popen(command, stderr=log)

    def _start_hollow(self, files: list[tuple[str, Path, int]]) -> None:
        processes = -(-len(files) // plan.HOLLOW_PER_PROCESS)
        for at in range(processes):
            part = files[at::processes]
            command = [sys.executable, "-m", "yewrill.lab.scale.hollow"]
            with open(self.directory / f"hollow{at}.log", "ab") as log:
                process = subprocess.Popen(
                    [*command, *(str(path) for _, path, _ in part)],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=log,
                )
            self.hollow.append(HollowProcess([name for name, _, _ in part], process))

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        processes = [one.process for one in self.real if one.process is not None]
        processes += [one.process for one in self.hollow]
        if self.without_control is not None and self.without_control.process is not None:
            processes.append(self.without_control.process)
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        self._list.close()

    # -- what it says

    def status(self) -> dict[str, Status]:
        """What every dispatcher says of itself."""
        told = {one.name: one.status() for one in self.real}
        for one in self.hollow:
            told |= one.status()
        return told

    def samples(self) -> dict[str, Sample]:
        """What each measured process has cost so far; the one without control under `off`."""
        found = {}
        for one in self.real:
            assert one.process is not None
            found[one.name] = sample(one.process.pid)
        assert self.without_control is not None and self.without_control.process is not None
        found["off"] = sample(self.without_control.process.pid)
        for at, host in enumerate(self.hollow):
            found[f"hollow{at}"] = sample(host.process.pid)
        return found


def in_one_view(told: Mapping[str, Status], among: Iterable[str] | None = None) -> bool:
    """Whether all (or these) hold a lease in one view of just them."""
    names = set(told if among is None else among)
    views = [told[name].get("views", {}) for name in names]
    first = views[0].get("digest")
    return bool(first) and all(
        view.get("view")
        and view.get("digest") == first
        and {member["name"] for member in view["members"]} == names
        for view in views
    )


def leases(told: Mapping[str, Status]) -> int:
    """How many hold a lease in the largest view that anybody holds one in."""
    sizes = [
        len(status["views"]["members"])
        for status in told.values()
        if status.get("views", {}).get("view")
    ]
    return sizes.count(max(sizes)) if sizes else 0
