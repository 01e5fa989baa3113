"""Measures starts, failures and restarts of a fleet in virtual time: traffic, and the time until agreement.

Network delays are those of a wide area between regions and of a data centre inside a region. The results are
written to JSON: `gone` is the number of dispatchers affected, `agreed_s` the seconds until all others agreed
on a view, `back_s` the seconds until all agreed again. `worst_10s` is the highest rate at which a dispatcher
sent over ten seconds, in bytes per second with headers. `lost` counts the leases lost by dispatchers that the
event did not affect.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from yewrill.lab.netsim import NetworkPath
from yewrill.lab.scale import plan
from yewrill.lab.scale.virtual import FleetParameters, Node, VirtualFleet
from yewrill.views.view import View

INSIDE_REGION = NetworkPath(delay=0.0002, jitter=0.0002)
BETWEEN_REGIONS = NetworkPath(delay=0.008, jitter=0.001)  # delay in one direction
WINDOW_S = 10
FORM_LIMIT_S = 90.0
REST_S = 20.0
PARTITION_S = 60.0
AGREE_LIMIT_S = 120.0


class WideFleet(VirtualFleet):
    """A fleet over several regions that records the traffic of each dispatcher over the last seconds."""

    def __init__(self, seed: int, parameters: FleetParameters):
        self._history: dict[str, deque[int]] = {}
        self.worst = 0.0
        super().__init__(seed, parameters)

    def path(self, a: str, b: str) -> NetworkPath:
        """Returns the network path set for two dispatchers, else one with the delay for their regions."""
        found = self.paths.get((a, b))
        if found is not None:
            return found
        return INSIDE_REGION if self.region(a) == self.region(b) else BETWEEN_REGIONS

    def region(self, name: str) -> int:
        """Returns the number of a dispatcher's region."""
        return int(name[1:]) % self.parameters.zones % plan.REGIONS

    def zone(self, name: str) -> int:
        """Returns the number of a dispatcher's zone."""
        return int(name[1:]) % self.parameters.zones

    def form(self) -> float | None:
        """Runs until all dispatchers agree on a view; returns the seconds, None beyond FORM_LIMIT_S."""
        return self.until(self.agreed, FORM_LIMIT_S, 0.5)

    def install_common_view(self) -> None:
        """Installs one view of all dispatchers, as in a fleet that formed long ago."""
        for node in self.nodes.values():
            members = node.transport.machine
            members.entries.clear()
            for other in self.nodes.values():
                if other is not node:
                    members.apply(other.transport.machine.me)
            members.gossip.clear()
        view = View(1, tuple(node.views.me for node in self.nodes.values()))
        for node in self.nodes.values():
            self._after_event(node)
            self._send(node, self._process_step(node, node.views.install(view, self.now)))
            self._after_event(node)

    def record_traffic(self) -> None:
        """Records each second the bytes that each dispatcher has sent."""
        for node in self.nodes.values():
            sent = self._history.setdefault(node.name, deque(maxlen=WINDOW_S + 1))
            if sent and node.bytes_out < sent[-1]:  # after a restart, counters begin at zero
                sent.clear()
            sent.append(node.bytes_out)
            if len(sent) == WINDOW_S + 1:
                self.worst = max(self.worst, (sent[-1] - sent[0]) / WINDOW_S)
        self.at(self.now + 1.0, self.record_traffic)

    def start_recording(self) -> None:
        """Discards what was recorded so far, and starts recording."""
        self._history.clear()
        self.worst = 0.0
        self.lost_leases.clear()
        self.at(self.now, self.record_traffic)

    def lost(self, excluding: Iterable[str] = ()) -> int:
        """Returns the number of leases lost by dispatchers other than those in `excluding`."""
        excluded = set(excluding)
        return sum(count for name, count in self.lost_leases.items() if name not in excluded)


def create_settled_fleet(dispatchers: int, seed: int = 1) -> WideFleet:
    """Creates a fleet that is in one view and has run at rest for a while."""
    fleet = WideFleet(seed, FleetParameters(dispatchers))
    fleet.install_common_view()
    fleet.run(REST_S)
    fleet.start_recording()
    return fleet


def send_rates(fleet: WideFleet, seconds: float) -> dict[str, float]:
    """Runs for `seconds`; returns the mean and worst bytes, and mean datagrams, sent by a dispatcher."""

    def totals(node: Node) -> tuple[int, int]:
        return node.bytes_out, node.datagrams_out

    before = {node.name: totals(node) for node in fleet.living()}
    fleet.run(seconds)
    sizes = [(node.bytes_out - before[node.name][0]) / seconds for node in fleet.living()]
    counts = [(node.datagrams_out - before[node.name][1]) / seconds for node in fleet.living()]
    return {
        "bytes_per_s": sum(sizes) / len(sizes),
        "bytes_per_s_worst": max(sizes),
        "datagrams_per_s": sum(counts) / len(counts),
    }


def measure_start(dispatchers: int, seed: int = 1) -> dict[str, Any]:
    """Measures a start of all dispatchers at once."""
    fleet = WideFleet(seed, FleetParameters(dispatchers))
    fleet.start_recording()
    formed = fleet.form()
    fleet.run(max(0.0, WINDOW_S + 1.0 - (FORM_LIMIT_S if formed is None else formed)))
    return {"formed_s": formed, "worst_10s": fleet.worst, "held_back": fleet.held_back}


def measure_rest(dispatchers: int, seconds: float = 20.0) -> dict[str, Any]:
    """Measures a fleet in which nothing happens."""
    fleet = create_settled_fleet(dispatchers)
    return send_rates(fleet, seconds) | {"lost": fleet.lost()}


def _outcome(
    fleet: WideFleet, gone: list[str], agreed: float | None, back: float | None
) -> dict[str, Any]:
    """Returns the results of an event under the keys that the module docstring explains."""
    return {
        "gone": len(gone),
        "agreed_s": agreed,
        "back_s": back,
        "worst_10s": fleet.worst,
        "lost": fleet.lost(gone),
    }


def measure_crash(dispatchers: int, names: Callable[[WideFleet], list[str]]) -> dict[str, Any]:
    """Measures a simultaneous crash of several dispatchers and their restart."""
    fleet = create_settled_fleet(dispatchers)
    gone = names(fleet)
    fleet.kill(gone)
    remaining = [node.name for node in fleet.living()]
    agreed = fleet.until(lambda: fleet.agreed(remaining), AGREE_LIMIT_S, 0.25)
    fleet.run(20.0)
    fleet.restart(gone)
    back = fleet.until(fleet.agreed, AGREE_LIMIT_S, 0.25)
    return _outcome(fleet, gone, agreed, back)


def measure_partition(dispatchers: int, seconds: float = PARTITION_S) -> dict[str, Any]:
    """Measures a network partition that cuts off one region for `seconds`."""
    fleet = create_settled_fleet(dispatchers)
    cut_off = [name for name in fleet.nodes if fleet.region(name) == plan.REGIONS - 1]
    remaining = [name for name in fleet.nodes if name not in set(cut_off)]
    fleet.cut(cut_off, remaining, heal_after=seconds)
    agreed = fleet.until(lambda: fleet.agreed(remaining), min(seconds, AGREE_LIMIT_S), 0.25)
    fleet.run(seconds - (seconds if agreed is None else agreed))
    back = fleet.until(fleet.agreed, AGREE_LIMIT_S, 0.25)
    return _outcome(fleet, cut_off, agreed, back)


def measure_rolling_restart(dispatchers: int) -> dict[str, Any]:
    """Measures a rolling restart: graceful stops and starts of a tenth of the dispatchers at a time."""
    fleet = create_settled_fleet(dispatchers)
    names = sorted(fleet.nodes)
    lost, longest = 0, 0.0
    for first in range(10):
        batch = names[first::10]
        fleet.lost_leases.clear()
        for name in batch:
            fleet.leave(name)
        fleet.run(1.0)
        fleet.restart(batch)
        took = fleet.until(fleet.agreed, 30.0, 0.25)
        longest = max(longest, 30.0 if took is None else took)
        lost += fleet.lost(batch)
    return {"gone": len(names), "back_s": longest, "worst_10s": fleet.worst, "lost": lost}


def _one_dispatcher(_: WideFleet) -> list[str]:
    return ["d007"]


def _one_rack(fleet: WideFleet) -> list[str]:
    """Returns a tenth of the dispatchers of a zone, at least two."""
    zone = [name for name in sorted(fleet.nodes) if fleet.zone(name) == 1]
    return zone[: max(2, len(zone) // 10)]


def _one_zone(fleet: WideFleet) -> list[str]:
    return [name for name in sorted(fleet.nodes) if fleet.zone(name) == 1]


def _founders(fleet: WideFleet) -> list[str]:
    return sorted(fleet.nodes)[: fleet.parameters.founders]


def scenarios(quick: bool) -> dict[str, Callable[[], dict[str, Any]]]:
    """Returns the measurements by name, each as a function without parameters."""
    size = 24 if quick else 200
    found: dict[str, Callable[[], dict[str, Any]]] = {
        f"start_{n}": partial(measure_start, n) for n in ((24,) if quick else (24, 60, 120, 200))
    }
    sizes = (24, 60) if quick else (22, 24, 60, 120, 200, 400, 1000)
    found |= {f"rest_{n}": partial(measure_rest, n, 4.0 if n >= 400 else 20.0) for n in sizes}
    found |= {
        "death": partial(measure_crash, size, _one_dispatcher),
        "rack": partial(measure_crash, size, _one_rack),
        "zone": partial(measure_crash, size, _one_zone),
        "founders": partial(measure_crash, size, _founders),
        "region": partial(measure_partition, size, 20.0 if quick else PARTITION_S),
        "rolling": partial(measure_rolling_restart, size),
    }
    return found


def play_all(quick: bool, workers: int = 6) -> dict[str, Any]:
    """Runs all measurements in `workers` parallel processes; returns their results, rounded."""
    with ProcessPoolExecutor(workers) as pool:
        futures = {name: pool.submit(measure) for name, measure in scenarios(quick).items()}
        return {
            name: {
                key: round(value, 2) if isinstance(value, float) else value
                for key, value in future.result().items()
            }
            for name, future in futures.items()
        }
