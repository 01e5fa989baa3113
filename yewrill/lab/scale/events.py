"""Events in a fleet in virtual time: what each adds in bytes, and how long until all agree again.

Delays between regions are those of a wide area, inside one of a data centre. `worst_10s` is the most
that any dispatcher sent in ten seconds of the event, in bytes a second with headers; `lost` counts leases
that dispatchers lost which the event did not touch.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from yewrill.lab.netsim import Path
from yewrill.lab.scale import plan
from yewrill.lab.scale.virtual import Fleet, Node, VirtualFleet
from yewrill.views.view import View

INSIDE = Path(delay=0.0002, jitter=0.0002)
BETWEEN = Path(delay=0.008, jitter=0.001)  # one way between regions
WINDOW_S = 10
FORM_LIMIT_S = 90.0
REST_S = 20.0
CUT_S = 60.0
LIMIT_S = 120.0


class WideFleet(VirtualFleet):
    """Dispatchers in regions, and what each sent in the last seconds."""

    def __init__(self, seed: int, fleet: Fleet):
        self._history: dict[str, deque[int]] = {}
        self.worst = 0.0
        super().__init__(seed, fleet)

    def path(self, a: str, b: str) -> Path:
        """Delays by regions, where nothing else is set."""
        found = self.paths.get((a, b))
        if found is not None:
            return found
        return INSIDE if self.region(a) == self.region(b) else BETWEEN

    def region(self, name: str) -> int:
        """The region that a dispatcher is in."""
        return int(name[1:]) % self.fleet.zones % plan.REGIONS

    def zone(self, name: str) -> int:
        """The zone that a dispatcher is in."""
        return int(name[1:]) % self.fleet.zones

    def form(self) -> float | None:
        """Seconds until all that started at once agree."""
        return self.until(self.agreed, FORM_LIMIT_S, 0.5)

    def join_all(self) -> None:
        """Have all know each other and be in one view, as a fleet that has stood for long."""
        for node in self.nodes.values():
            members = node.transport.machine
            members.entries.clear()
            for other in self.nodes.values():
                if other is not node:
                    members.apply(other.transport.machine.me)
            members.gossip.clear()
        view = View(1, tuple(node.views.me for node in self.nodes.values()))
        for node in self.nodes.values():
            self._settle(node)
            self._put(node, self._say(node, node.views.install(view, self.now)))
            self._settle(node)

    def watch(self) -> None:
        """Note each second what was sent."""
        for node in self.nodes.values():
            sent = self._history.setdefault(node.name, deque(maxlen=WINDOW_S + 1))
            if sent and node.bytes_out < sent[-1]:  # started anew
                sent.clear()
            sent.append(node.bytes_out)
            if len(sent) == WINDOW_S + 1:
                self.worst = max(self.worst, (sent[-1] - sent[0]) / WINDOW_S)
        self.at(self.now + 1.0, self.watch)

    def begin(self) -> None:
        """Count from here."""
        self._history.clear()
        self.worst = 0.0
        self.lost_leases.clear()
        self.at(self.now, self.watch)

    def lost(self, but: Iterable[str] = ()) -> int:
        """Leases lost by those that the event did not touch."""
        spared = set(but)
        return sum(count for name, count in self.lost_leases.items() if name not in spared)


def stood(dispatchers: int, seed: int = 1) -> WideFleet:
    """A fleet that has stood for a while."""
    fleet = WideFleet(seed, Fleet(dispatchers))
    fleet.join_all()
    fleet.run(REST_S)
    fleet.begin()
    return fleet


def rate(fleet: WideFleet, span: float) -> dict[str, float]:
    """Bytes a second and dispatcher over a span: mean and worst; and datagrams."""

    def totals(node: Node) -> tuple[int, int]:
        return node.bytes_out, node.datagrams_out

    before = {node.name: totals(node) for node in fleet.living()}
    fleet.run(span)
    sizes = [(node.bytes_out - before[node.name][0]) / span for node in fleet.living()]
    counts = [(node.datagrams_out - before[node.name][1]) / span for node in fleet.living()]
    return {
        "bytes_per_s": sum(sizes) / len(sizes),
        "bytes_per_s_worst": max(sizes),
        "datagrams_per_s": sum(counts) / len(counts),
    }


def start(dispatchers: int, seed: int = 1) -> dict[str, Any]:
    """All start at once."""
    fleet = WideFleet(seed, Fleet(dispatchers))
    fleet.begin()
    formed = fleet.form()
    fleet.run(max(0.0, WINDOW_S + 1.0 - (FORM_LIMIT_S if formed is None else formed)))
    return {"formed_s": formed, "worst_10s": fleet.worst, "held_back": fleet.held_back}


def rest(dispatchers: int, span: float = 20.0) -> dict[str, Any]:
    """Nothing happens."""
    fleet = stood(dispatchers)
    return rate(fleet, span) | {"lost": fleet.lost()}


def _outcome(
    fleet: WideFleet, gone: list[str], agreed: float | None, back: float | None
) -> dict[str, Any]:
    """What an event led to: seconds until the rest agreed, and until all did again."""
    return {
        "gone": len(gone),
        "agreed_s": agreed,
        "back_s": back,
        "worst_10s": fleet.worst,
        "lost": fleet.lost(gone),
    }


def death(dispatchers: int, names: Callable[[WideFleet], list[str]]) -> dict[str, Any]:
    """Some die at once, and come back."""
    fleet = stood(dispatchers)
    gone = names(fleet)
    fleet.kill(gone)
    left = [node.name for node in fleet.living()]
    known = fleet.until(lambda: fleet.agreed(left), LIMIT_S, 0.25)
    fleet.run(20.0)
    fleet.restart(gone)
    back = fleet.until(fleet.agreed, LIMIT_S, 0.25)
    return _outcome(fleet, gone, known, back)


def cut_region(dispatchers: int, span: float = CUT_S) -> dict[str, Any]:
    """A region is cut off from the others, and back after some minutes."""
    fleet = stood(dispatchers)
    away = [name for name in fleet.nodes if fleet.region(name) == plan.REGIONS - 1]
    stay = [name for name in fleet.nodes if name not in set(away)]
    fleet.cut(away, stay, heal_after=span)
    known = fleet.until(lambda: fleet.agreed(stay), min(span, LIMIT_S), 0.25)
    fleet.run(span - (span if known is None else known))
    back = fleet.until(fleet.agreed, LIMIT_S, 0.25)
    return _outcome(fleet, away, known, back)


def rolling(dispatchers: int) -> dict[str, Any]:
    """All are restarted, a tenth at a time, in good order."""
    fleet = stood(dispatchers)
    names = sorted(fleet.nodes)
    lost, longest = 0, 0.0
    for at in range(10):
        batch = names[at::10]
        fleet.lost_leases.clear()
        for name in batch:
            fleet.leave(name)
        fleet.run(1.0)
        fleet.restart(batch)
        took = fleet.until(fleet.agreed, 30.0, 0.25)
        longest = max(longest, 30.0 if took is None else took)
        lost += fleet.lost(batch)
    return {"gone": len(names), "back_s": longest, "worst_10s": fleet.worst, "lost": lost}


def _one(_: WideFleet) -> list[str]:
    return ["d007"]


def _rack(fleet: WideFleet) -> list[str]:
    """A tenth of a zone, two at least."""
    zone = [name for name in sorted(fleet.nodes) if fleet.zone(name) == 1]
    return zone[: max(2, len(zone) // 10)]


def _zone(fleet: WideFleet) -> list[str]:
    return [name for name in sorted(fleet.nodes) if fleet.zone(name) == 1]


def _founders(fleet: WideFleet) -> list[str]:
    return sorted(fleet.nodes)[: fleet.fleet.founders]


def jobs(quick: bool) -> dict[str, Callable[[], dict[str, Any]]]:
    """What is played, by name."""
    size = 24 if quick else 200
    found: dict[str, Callable[[], dict[str, Any]]] = {
        f"start_{n}": partial(start, n) for n in ((24,) if quick else (24, 60, 120, 200))
    }
    sizes = (24, 60) if quick else (22, 24, 60, 120, 200, 400, 1000)
    found |= {f"rest_{n}": partial(rest, n, 4.0 if n >= 400 else 20.0) for n in sizes}
    found |= {
        "death": partial(death, size, _one),
        "rack": partial(death, size, _rack),
        "zone": partial(death, size, _zone),
        "founders": partial(death, size, _founders),
        "region": partial(cut_region, size, 20.0 if quick else CUT_S),
        "rolling": partial(rolling, size),
    }
    return found


def play_all(quick: bool, workers: int = 6) -> dict[str, Any]:
    """Play everything, in processes beside each other; numbers are rounded."""
    with ProcessPoolExecutor(workers) as pool:
        futures = {name: pool.submit(job) for name, job in jobs(quick).items()}
        return {
            name: {
                key: round(value, 2) if isinstance(value, float) else value
                for key, value in future.result().items()
            }
            for name, future in futures.items()
        }
