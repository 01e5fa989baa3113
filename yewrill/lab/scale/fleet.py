"""Starts a fleet of dispatcher processes on loopback, real and hollow, with one endpoint list.

The real dispatchers are measured. They run the shipped configuration with an endpoint list of the planned
size; no workers run behind its addresses. The hollow ones run the same control plane only. One further real
dispatcher runs without its control plane: the cost of the control plane is what the others use beyond it.
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
from yewrill.lab.scale.sampling import ProcessSample, sample_process

SHIPPED_CONFIG = Path(__file__).parents[3] / "deploy" / "cluster.json"
FIRST_PORT = 21_000
LAST_PORT = 31_000
PEERS = 8
FOUNDERS = 3
LONG_POLL_S = 4.0
# Keys of the configuration that switch on the subsystems of the control plane.
CONTROL_PLANE = ("members", "views", "zones")
Status = Mapping[str, Any]


class FleetError(Exception):
    """The fleet could not be started, or one of its processes has ended."""


def free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP, below the system's ephemeral range.

    Raises FleetError if there are too few.
    """
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
    raise FleetError("fewer free ports than the fleet needs")


class StaticDiscovery:
    """A stand-in for the discovery service. It lists endpoints at which no worker runs."""

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
                with suppress(OSError):  # the client may have disconnected
                    self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def port(self) -> int:
        """The TCP port on which the server listens."""
        return self._server.server_address[1]

    def close(self) -> None:
        """Stops the server and closes its socket."""
        self._server.shutdown()
        self._server.server_close()


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size and configuration of a fleet.

    `control`: the configuration keys of the control plane that are kept; all others are removed. `voters`:
    number of lease voters, if `control` has "ownership".
    """

    mix: plan.FleetMix
    workers: int = plan.WORKERS
    zones: int = plan.ZONES
    regions: int = plan.REGIONS
    control: tuple[str, ...] = CONTROL_PLANE
    voters: int = 0


@dataclass(eq=False)
class RealDispatcher:
    """A dispatcher process with the shipped configuration."""

    name: str
    path: Path
    management_port: int
    process: subprocess.Popen | None = None

    def status(self) -> Status:
        """Returns the status of each control plane subsystem; an empty one if it can't be read."""
        return {key: self._get(f"/_{key}") for key in CONTROL_PLANE}

    def _get(self, target: str) -> Any:
        connection = http.client.HTTPConnection("127.0.0.1", self.management_port, timeout=5.0)
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
    """A process that runs many hollow dispatchers."""

    names: list[str]
    process: subprocess.Popen

    def send_command(self, command: str, names: Iterable[str] = ()) -> None:
        """Sends a command to the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(" ".join([command, *names]).encode() + b"\n")
        self.process.stdin.flush()

    def status(self) -> dict[str, Status]:
        """Returns the status of each dispatcher in the process. Raises FleetError if it has ended."""
        self.send_command("status")
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise FleetError(
                "a process of hollow dispatchers has ended without an answer to `status`"
            )
        return json.loads(line)


@dataclass(eq=False)
class ScaleFleet:
    """A running fleet. It is a context manager: on exit it kills all processes."""

    plan: FleetPlan
    directory: Path
    real: list[RealDispatcher] = field(default_factory=list)
    hollow: list[HollowProcess] = field(default_factory=list)
    without_control: RealDispatcher | None = None
    started_at: float = 0.0

    def __enter__(self) -> ScaleFleet:
        """Starts all processes without waiting for them.

        Raises FleetTooLarge if the fleet exceeds the machine's limits, and FleetError for too few free ports.
        """
        mix = self.plan.mix
        plan.check_limits(mix, plan.machine_memory_mb())
        zones = [f"z{i:02d}" for i in range(self.plan.zones)]
        self._discovery = StaticDiscovery(self.plan.workers, zones)
        shutil.rmtree(self.directory, ignore_errors=True)
        self.directory.mkdir(parents=True)
        shipped = json.loads(SHIPPED_CONFIG.read_text())
        count = mix.dispatchers + 1
        ports = free_ports(3 * count)
        files = []
        for index in range(count):
            name = f"d{index:03d}"
            config = self._dispatcher_config(shipped, index, name, zones, ports)
            if index == mix.dispatchers:
                config = {key: value for key, value in config.items() if key not in CONTROL_PLANE}
            path = self.directory / f"{name}.json"
            path.write_text(json.dumps(config))
            files.append((name, path, ports[2 * count + index]))
        self.started_at = time.monotonic()
        try:
            # The real dispatchers are spread evenly over the fleet, so that founders are among them.
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

    def _dispatcher_config(
        self, shipped: Status, index: int, name: str, zones: list[str], ports: list[int]
    ) -> dict[str, Any]:
        """Returns a dispatcher's configuration: the shipped one with its own name, addresses and zone."""
        count = self.plan.mix.dispatchers + 1
        zone = zones[index % len(zones)]
        region = f"r{zones.index(zone) % self.plan.regions}"
        config = json.loads(json.dumps(shipped))
        config |= {
            "name": name,
            "listen": f"127.0.0.1:{ports[count + index]}",
            "mgmt": f"127.0.0.1:{ports[2 * count + index]}",
            "discovery": f"127.0.0.1:{self._discovery.port}",
        }
        peers = [port for port in ports[: PEERS + 1] if port != ports[index]][:PEERS]
        config["members"] |= {
            "listen": f"127.0.0.1:{ports[index]}",
            "peers": [f"127.0.0.1:{port}" for port in peers[: self.plan.mix.dispatchers]],
            "name": name,
            "zone": zone,
            "region": region,
        }
        founders = [f"d{i:03d}" for i in range(min(FOUNDERS, self.plan.mix.dispatchers))]
        config["views"] = {"founders": founders, "dir": str(self.directory / f"{name}.views")}
        config["settings"] |= {
            "areas": [zone, *(z for z in zones if z != zone)],
            "instances": count,
        }
        if "ownership" in self.plan.control:
            voters = [f"d{i:03d}" for i in range(self.plan.voters)]
            config["ownership"] = {"voters": voters, "dir": str(self.directory / f"{name}.owns")}
        off = [key for key in CONTROL_PLANE if key not in self.plan.control]
        return {key: value for key, value in config.items() if key not in off}

    def _start_real(self, name: str, path: Path, management_port: int) -> RealDispatcher:
        dispatcher = RealDispatcher(name, path, management_port)
        self.start(dispatcher)
        return dispatcher

    def start(self, dispatcher: RealDispatcher) -> None:
        """Starts or restarts the process of a real dispatcher."""
        command = [sys.executable, "-m", "yewrill", "serve", "--config", str(dispatcher.path)]
        with open(self.directory / f"{dispatcher.name}.log", "ab") as log:
            dispatcher.process = subprocess.Popen(command, stderr=log)

    def _start_hollow(self, files: list[tuple[str, Path, int]]) -> None:
        processes = -(-len(files) // plan.HOLLOW_PER_PROCESS)
        for index in range(processes):
            group = files[index::processes]
            command = [sys.executable, "-m", "yewrill.lab.scale.hollow"]
            with open(self.directory / f"hollow{index}.log", "ab") as log:
                process = subprocess.Popen(
                    [*command, *(str(path) for _, path, _ in group)],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=log,
                )
            self.hollow.append(HollowProcess([name for name, _, _ in group], process))

    def __exit__(self, *_: object) -> None:
        """Kills all processes and closes the discovery server."""
        processes = [
            dispatcher.process for dispatcher in self.real if dispatcher.process is not None
        ]
        processes += [host.process for host in self.hollow]
        if self.without_control is not None and self.without_control.process is not None:
            processes.append(self.without_control.process)
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        self._discovery.close()

    # -- measurements

    def status(self) -> dict[str, Status]:
        """Returns the status of each real and hollow dispatcher, by name."""
        statuses = {dispatcher.name: dispatcher.status() for dispatcher in self.real}
        for host in self.hollow:
            statuses |= host.status()
        return statuses

    def samples(self) -> dict[str, ProcessSample]:
        """Samples each process; the dispatcher without control plane has the key `off`."""
        found = {}
        for dispatcher in self.real:
            assert dispatcher.process is not None
            found[dispatcher.name] = sample_process(dispatcher.process.pid)
        assert self.without_control is not None and self.without_control.process is not None
        found["off"] = sample_process(self.without_control.process.pid)
        for index, host in enumerate(self.hollow):
            found[f"hollow{index}"] = sample_process(host.process.pid)
        return found


def in_one_view(statuses: Mapping[str, Status], among: Iterable[str] | None = None) -> bool:
    """Returns whether all dispatchers, or those of `among`, hold leases in one view with no other member."""
    names = set(statuses if among is None else among)
    views = [statuses[name].get("views", {}) for name in names]
    digest = views[0].get("digest")
    return bool(digest) and all(
        view.get("view")
        and view.get("digest") == digest
        and {member["name"] for member in view["members"]} == names
        for view in views
    )


def count_leases(statuses: Mapping[str, Status]) -> int:
    """Returns how many dispatchers hold a lease in the largest view in which any does."""
    sizes = [
        len(status["views"]["members"])
        for status in statuses.values()
        if status.get("views", {}).get("view")
    ]
    return sizes.count(max(sizes)) if sizes else 0
