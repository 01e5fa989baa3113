"""Agreed views in a virtual network: detection, well members wrongly out, two sides, returns, bytes.

    python benchmarks/views.py [--quick] [--workers N]

Seeded runs of `yewrill.lab.viewnet`, 24 members where not said otherwise, spread over worker processes:
deaths without loss and at 30%; hours at 30% loss (24 member-hours, --quick: 2.4) with all well; one deaf, one
mute, one half seen; cuts of one direction and of both, at half and beside it; pauses of 1.5 s in every 4 on
a third; a pause of 30 s; racks of 8 to 10; one that flaps; two under one name; restarts; leaves; all killed
and started again; 1,000 members (--quick: 12 s of them). `false_out` counts well members that a view left
out where that must not be (not the deaf one itself, nor the smaller side of a cut); `both_sides` whatever
must never be: two views of one number, leases two views apart, an installed view that was not kept;
`unserved` is the part of their time in which well members held no lease. Virtual seconds. The last line of
standard output is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

import here  # noqa: F401

from yewrill.lab.netsim import Path
from yewrill.lab.viewnet import ViewNet

NAMES = [f"m{i:04d}" for i in range(24)]
MOST = 120.0  # seconds for what should take a few
Found = dict[str, list[float]]


def begin(seed: int, loss: float = 0.0, members: int = 24) -> ViewNet:
    net = ViewNet(seed, members, path=Path(loss=loss)).run(8.0)
    net.seconds_without_lease.clear()
    return net


def end(net: ViewNet, **found: float | None) -> Found:
    told = {key: [MOST if value is None else value] for key, value in found.items()}
    return told | {"false_out": [len(net.false_removals)], "both_sides": [len(net.violations)]}


def kills(seed: int, loss: float, count: int) -> Found:
    """Deaths one after the other, each time until it is in nobody's view; and the restart."""
    net, key = begin(seed, loss), "detect_30loss" if loss else "detect"
    took, returns = [], []
    for _ in range(count):
        name = net.rng.choice(NAMES)
        net.exempt.add(name)
        net.run(net.rng.random())
        net.kill(name)
        took.append(net.until(lambda name=name: net.removed([name]), MOST, 0.05) or MOST)
        net.run(4.0)
        net.restart(name)
        returns.append(net.until(net.agreed, MOST) or MOST)
        net.exempt.clear()
        net.run(4.0)
    return end(net) | {key: took, f"return{'_30loss' if loss else ''}": returns}


def steady(seed: int, loss: float, span: float) -> Found:
    net = begin(seed, loss).run(span)
    return end(net) | {"unserved_30loss": [sum(net.seconds_without_lease.values()) / (24 * span)]}


def odd(seed: int, kind: str) -> Found:
    """One deaf, mute, or heard by half only."""
    net = begin(seed)
    one = net.rng.choice(NAMES)
    others = [name for name in NAMES if name != one]
    net.exempt.add(one)
    if kind == "deaf":
        net.cut(others, [one], both=False)
    else:
        net.cut([one], others if kind == "mute" else net.rng.sample(others, 12), both=False)
    net.run(30.0)
    return end(net, **{f"unserved_{kind}": sum(net.seconds_without_lease.values()) / (24 * 30.0)})


def halves(seed: int, first: int, both: bool) -> Found:
    """The ways from the first so many to the others are cut (or both ways), for 30 s. Only a minority may
    be out, and only the larger side may go on."""
    net = begin(seed)
    sides = NAMES[:first], NAMES[first:]
    net.cut(*sides, both=both, heal_after=30.0)
    net.run(15.0)
    going = [sum(net.leased_view(name) is not None for name in side) for side in sides]
    net.run(15.0)
    out = len({name for _, name in net.false_removals})
    wrong = out if first == 12 else 0 if out < 12 else out
    sides_going = max(0, sum(count > 0 for count in going) - 1)
    found = end(net, heal=net.until(net.agreed, MOST))
    return found | {"false_out": [wrong], "both_sides": [len(net.violations) + sides_going]}


def pauses(seed: int) -> Found:
    net = begin(seed)
    net.pause_repeatedly(NAMES[:8], 2.5, 1.5, net.now + 60.0)
    return end(net.run(62.0))


def long_pause(seed: int) -> Found:
    net = begin(seed)
    net.pause("m0003", 30.0)
    net.run(30.0)
    acts = int(net.leased_view("m0003") is not None)
    found = end(net, back_after_30s_pause=net.until(net.agreed, MOST))
    return found | {"both_sides": [len(net.violations) + acts]}


def rack(seed: int, size: int) -> Found:
    net = begin(seed)
    names = net.rng.sample(NAMES, size)
    net.kill(*names)
    took = net.until(lambda: net.removed(names), MOST, 0.05)
    net.run(5.0)
    return end(net, rack=took, rack_changes=max(net.digests) - 1)


def flap(seed: int) -> Found:
    """Stopped for 6 s four times: how long each return takes."""
    net = begin(seed)
    net.exempt.add("m0004")
    found = {}
    for turn in range(4):
        net.pause("m0004", 6.0)
        net.run(6.1)
        found[f"flap_return_{turn + 1}"] = net.until(net.agreed, MOST)
    return end(net, flap_changes=max(net.digests) - 1, **found)


def small(seed: int) -> Found:
    """A twin, a restart, a leave, then the end of all and their return with what they kept."""
    net = begin(seed)
    twin = net.start_duplicate("m0002", ("10.9.9.9", 7000))
    net.run(6.0)
    refused = int(twin.machine.standing(net.now) == "refused: name is taken")
    twin.dead = True
    net.exempt.update(NAMES)
    net.restart("m0005")
    restart = net.until(net.agreed, MOST)
    net.run(4.0)
    net.leave("m0007", 2.0)
    leave = net.until(lambda: net.removed(["m0007"]), MOST, 0.05)
    net.run(6.0)
    before = max(net.digests)
    net.kill(*NAMES)
    net.run(2.0)
    for name in NAMES:
        net.restart(name)
    again = net.until(net.agreed, MOST)
    return end(
        net,
        twin_refused=refused,
        restart=restart,
        leave=leave,
        all_again=again,
        numbers_go_on=int(net.nodes["m0000"].machine.installed.number > before),
    )


def form(seed: int, members: int) -> Found:
    net = ViewNet(seed, members, formed=False)
    return end(net, **{f"form_{members}": net.until(net.agreed, MOST)})


def thousand(seed: int, settle: float, span: float) -> Found:
    net = ViewNet(seed, 1000, check=settle > 20.0).run(settle)
    net.seconds_without_lease.clear()
    before = {node.name: node.sent for node in net.all_nodes}
    net.run(span)
    rates = sorted((node.sent - before[node.name]) / span for node in net.all_nodes)
    found = {"bytes_1000": [rates[-1]], "bytes_1000_median": [rates[500]]}
    if settle > 20.0:
        found["unserved_1000"] = [sum(net.seconds_without_lease.values()) / (1000 * span)]
        net.kill("m0500")
        found["detect_1000"] = [net.until(lambda: net.removed(["m0500"]), MOST) or MOST]
    return end(net) | found


def bytes_of(seed: int) -> Found:
    net = begin(seed)
    before = {node.name: node.sent for node in net.all_nodes}
    net.run(20.0)
    return end(net, bytes_24=max(node.sent - before[node.name] for node in net.all_nodes) / 20.0)


def plan(quick: bool) -> list[tuple]:
    few = 1 if quick else 10
    jobs: list[tuple] = [(thousand, 0, 6.0, 6.0) if quick else (thousand, 0, 40.0, 20.0)]
    jobs += [(steady, seed, 0.3, 90.0 if quick else 360.0) for seed in range(4 if quick else 10)]
    for seed in range(3 if quick else 25):
        jobs += [(kills, seed, 0.0, 4), (kills, 100 + seed, 0.3, 4)]
    for seed in range(few):
        jobs += [(odd, seed, kind) for kind in ("deaf", "mute", "half")]
        jobs += [
            (halves, seed, first, both)
            for first, both in ((12, False), (10, False), (14, False), (12, True), (9, True))
        ]
        jobs += [(rack, seed, size) for size in (8, 9, 10)]
        jobs += [(run, seed) for run in (pauses, long_pause, flap, small, bytes_of)]
        jobs += [(form, seed, members) for members in (3, 24)]
    return jobs


def part(values: list[float], share: float) -> float:
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 3)


def main() -> None:
    options = argparse.ArgumentParser()
    options.add_argument("--quick", action="store_true")
    options.add_argument("--workers", type=int, default=min(8, os.cpu_count() or 1))
    given = options.parse_args()
    all_found: dict[str, list[float]] = defaultdict(list)
    with ProcessPoolExecutor(given.workers) as pool:
        runs = [(job, pool.submit(*job)) for job in plan(given.quick)]
        for (run, *arguments), future in runs:
            found = future.result()
            if found["false_out"][0] or found["both_sides"][0]:
                print(f"{run.__name__}{tuple(arguments)}: {found}", file=sys.stderr)
            for key, values in found.items():
                all_found[key] += values
    for key, values in sorted(all_found.items()):
        print(
            f"{key:>22}: median {part(values, 0.5):9.3f}  p99 {part(values, 0.99):9.3f}  n {len(values)}",
            file=sys.stderr,
        )
    result = {
        "false_out": int(sum(all_found.pop("false_out"))),
        "both_sides": int(sum(all_found.pop("both_sides"))),
        "detect_p99_s": part(all_found.pop("detect"), 0.99),
        "detect_30loss_p99_s": part(all_found.pop("detect_30loss"), 0.99),
        "bytes_per_s_1000": part(all_found.pop("bytes_1000"), 1.0),
    }
    lowest = ("twin_refused", "numbers_go_on")
    print(
        json.dumps(
            result
            | {
                key: part(values, 0.0 if key in lowest else 1.0)
                for key, values in sorted(all_found.items())
            }
        )
    )


if __name__ == "__main__":
    main()
