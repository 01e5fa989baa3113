"""Measures agreed views in a virtual network: failure detection, false removals, split views, traffic.

    python benchmarks/views.py [--quick] [--workers N]

Seeded runs of `yewrill.lab.viewnet`, with 24 members unless stated otherwise, spread over worker processes:

- crashes, without packet loss and at 30%, and restarts;
- no faults at 30% loss, for 24 member-hours (--quick: 2.4);
- one member that receives nothing (`deaf`), is heard by none (`mute`) or by half of the others (`half`);
- partitions in one direction or both, into equal and unequal sides;
- pauses of 1.5 s in every 4 s on a third of the members, one pause of 30 s, and one member that flaps;
- crashes of racks of 8 to 10 members;
- a duplicate name, a restart, a graceful leave, and a restart of all members;
- 1,000 members (--quick: for 12 s).

`false_out` counts healthy members that a view left out, except where that is allowed: the faulty member
itself, and the smaller side of a partition. `both_sides` counts violations of safety: two views with one
number, leases two views apart, an installed view that was not persisted. `unserved` is the fraction of time
in which healthy members held no lease. Times are in virtual seconds. The last line of standard output is one
JSON object.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

import here  # noqa: F401

from yewrill.lab.netsim import NetworkPath
from yewrill.lab.viewnet import ViewNet

NAMES = [f"m{i:04d}" for i in range(24)]
# Time limit for events that normally take a few seconds.
LIMIT_SECONDS = 120.0
Results = dict[str, list[float]]


def create_net(seed: int, loss: float = 0.0, members: int = 24) -> ViewNet:
    """Creates a network that has run for a while without faults."""
    net = ViewNet(seed, members, path=NetworkPath(loss=loss)).run(8.0)
    net.seconds_without_lease.clear()
    return net


def collect(net: ViewNet, **found: float | None) -> Results:
    """Returns the results of a run with its counts of violations; LIMIT_SECONDS replaces None."""
    results = {key: [LIMIT_SECONDS if value is None else value] for key, value in found.items()}
    return results | {"false_out": [len(net.false_removals)], "both_sides": [len(net.violations)]}


def kills(seed: int, loss: float, count: int) -> Results:
    """Crashes members one after the other; each is restarted once it is in no view any more."""
    net, key = create_net(seed, loss), "detect_30loss" if loss else "detect"
    took, returns = [], []
    for _ in range(count):
        name = net.rng.choice(NAMES)
        net.exempt.add(name)
        net.run(net.rng.random())
        net.kill(name)
        took.append(
            net.until(lambda name=name: net.removed([name]), LIMIT_SECONDS, 0.05) or LIMIT_SECONDS
        )
        net.run(4.0)
        net.restart(name)
        returns.append(net.until(net.agreed, LIMIT_SECONDS) or LIMIT_SECONDS)
        net.exempt.clear()
        net.run(4.0)
    return collect(net) | {key: took, f"return{'_30loss' if loss else ''}": returns}


def steady(seed: int, loss: float, duration: float) -> Results:
    """Runs without faults other than packet loss."""
    net = create_net(seed, loss).run(duration)
    return collect(net) | {
        "unserved_30loss": [sum(net.seconds_without_lease.values()) / (24 * duration)]
    }


def faulty_link(seed: int, kind: str) -> Results:
    """Runs with one member that hears nobody, or that is heard by nobody or by half of the others only."""
    net = create_net(seed)
    faulty = net.rng.choice(NAMES)
    others = [name for name in NAMES if name != faulty]
    net.exempt.add(faulty)
    if kind == "deaf":
        net.cut(others, [faulty], both=False)
    else:
        net.cut([faulty], others if kind == "mute" else net.rng.sample(others, 12), both=False)
    net.run(30.0)
    return collect(
        net, **{f"unserved_{kind}": sum(net.seconds_without_lease.values()) / (24 * 30.0)}
    )


def partition(seed: int, first: int, both: bool) -> Results:
    """Cuts the paths from the first `first` members to the others, in one direction or both, for 30 s. Only
    a minority may be left out of a view, and only the larger side may keep its leases.
    """
    net = create_net(seed)
    sides = NAMES[:first], NAMES[first:]
    net.cut(*sides, both=both, heal_after=30.0)
    net.run(15.0)
    holding = [sum(net.leased_view(name) is not None for name in side) for side in sides]
    net.run(15.0)
    out = len({name for _, name in net.false_removals})
    wrong = out if first == 12 else 0 if out < 12 else out
    extra_sides = max(0, sum(count > 0 for count in holding) - 1)
    found = collect(net, heal=net.until(net.agreed, LIMIT_SECONDS))
    return found | {"false_out": [wrong], "both_sides": [len(net.violations) + extra_sides]}


def pauses(seed: int) -> Results:
    """Pauses a third of the members for 1.5 s in every 4 s."""
    net = create_net(seed)
    net.pause_repeatedly(NAMES[:8], 2.5, 1.5, net.now + 60.0)
    return collect(net.run(62.0))


def long_pause(seed: int) -> Results:
    """Pauses a member for 30 s; it must hold no lease when it resumes."""
    net = create_net(seed)
    net.pause("m0003", 30.0)
    net.run(30.0)
    holds_lease = int(net.leased_view("m0003") is not None)
    found = collect(net, back_after_30s_pause=net.until(net.agreed, LIMIT_SECONDS))
    return found | {"both_sides": [len(net.violations) + holds_lease]}


def rack(seed: int, size: int) -> Results:
    """Crashes `size` members at once."""
    net = create_net(seed)
    names = net.rng.sample(NAMES, size)
    net.kill(*names)
    took = net.until(lambda: net.removed(names), LIMIT_SECONDS, 0.05)
    net.run(5.0)
    return collect(net, rack=took, rack_changes=max(net.digests) - 1)


def flap(seed: int) -> Results:
    """Pauses a member for 6 s four times, and measures how long each return to the view takes."""
    net = create_net(seed)
    net.exempt.add("m0004")
    found = {}
    for turn in range(4):
        net.pause("m0004", 6.0)
        net.run(6.1)
        found[f"flap_return_{turn + 1}"] = net.until(net.agreed, LIMIT_SECONDS)
    return collect(net, flap_changes=max(net.digests) - 1, **found)


def other_events(seed: int) -> Results:
    """Plays a duplicate name, a restart and a leave; then a crash and restart of all members."""
    net = create_net(seed)
    twin = net.start_duplicate("m0002", ("10.9.9.9", 7000))
    net.run(6.0)
    refused = int(twin.machine.describe(net.now) == "refused: name is taken")
    twin.dead = True
    net.exempt.update(NAMES)
    net.restart("m0005")
    restart = net.until(net.agreed, LIMIT_SECONDS)
    net.run(4.0)
    net.leave("m0007", 2.0)
    leave = net.until(lambda: net.removed(["m0007"]), LIMIT_SECONDS, 0.05)
    net.run(6.0)
    before = max(net.digests)
    net.kill(*NAMES)
    net.run(2.0)
    for name in NAMES:
        net.restart(name)
    again = net.until(net.agreed, LIMIT_SECONDS)
    return collect(
        net,
        twin_refused=refused,
        restart=restart,
        leave=leave,
        all_again=again,
        numbers_go_on=int(net.nodes["m0000"].machine.installed.number > before),
    )


def form(seed: int, members: int) -> Results:
    """Measures the time until members that start at once agree on the first view."""
    net = ViewNet(seed, members, formed=False)
    return collect(net, **{f"form_{members}": net.until(net.agreed, LIMIT_SECONDS)})


def thousand(seed: int, settle: float, duration: float) -> Results:
    """Measures the traffic of 1,000 members; after a long settling time also a crash."""
    net = ViewNet(seed, 1000, check=settle > 20.0).run(settle)
    net.seconds_without_lease.clear()
    before = {node.name: node.sent for node in net.all_nodes}
    net.run(duration)
    rates = sorted((node.sent - before[node.name]) / duration for node in net.all_nodes)
    found = {"bytes_1000": [rates[-1]], "bytes_1000_median": [rates[500]]}
    if settle > 20.0:
        found["unserved_1000"] = [sum(net.seconds_without_lease.values()) / (1000 * duration)]
        net.kill("m0500")
        found["detect_1000"] = [
            net.until(lambda: net.removed(["m0500"]), LIMIT_SECONDS) or LIMIT_SECONDS
        ]
    return collect(net) | found


def traffic(seed: int) -> Results:
    """Measures the traffic of 24 members."""
    net = create_net(seed)
    before = {node.name: node.sent for node in net.all_nodes}
    net.run(20.0)
    return collect(
        net, bytes_24=max(node.sent - before[node.name] for node in net.all_nodes) / 20.0
    )


def plan(quick: bool) -> list[tuple]:
    """Returns the runs, each a function and its arguments."""
    seed_count = 1 if quick else 10
    jobs: list[tuple] = [(thousand, 0, 6.0, 6.0) if quick else (thousand, 0, 40.0, 20.0)]
    jobs += [(steady, seed, 0.3, 90.0 if quick else 360.0) for seed in range(4 if quick else 10)]
    for seed in range(3 if quick else 25):
        jobs += [(kills, seed, 0.0, 4), (kills, 100 + seed, 0.3, 4)]
    for seed in range(seed_count):
        jobs += [(faulty_link, seed, kind) for kind in ("deaf", "mute", "half")]
        jobs += [
            (partition, seed, first, both)
            for first, both in ((12, False), (10, False), (14, False), (12, True), (9, True))
        ]
        jobs += [(rack, seed, size) for size in (8, 9, 10)]
        jobs += [(run, seed) for run in (pauses, long_pause, flap, other_events, traffic)]
        jobs += [(form, seed, members) for members in (3, 24)]
    return jobs


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile of the values; 0 gives the lowest and 1 the highest."""
    return round(sorted(values)[min(len(values) - 1, int(share * len(values)))], 3)


def main() -> None:
    """Runs all parts and prints the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--workers", type=int, default=min(8, os.cpu_count() or 1))
    options = parser.parse_args()
    all_found: dict[str, list[float]] = defaultdict(list)
    with ProcessPoolExecutor(options.workers) as pool:
        runs = [(job, pool.submit(*job)) for job in plan(options.quick)]
        for (run, *arguments), future in runs:
            found = future.result()
            if found["false_out"][0] or found["both_sides"][0]:
                print(f"{run.__name__}{tuple(arguments)}: {found}", file=sys.stderr)
            for key, values in found.items():
                all_found[key] += values
    for key, values in sorted(all_found.items()):
        print(
            f"{key:>22}: median {quantile(values, 0.5):9.3f}  p99 {quantile(values, 0.99):9.3f}  "
            f"n {len(values)}",
            file=sys.stderr,
        )
    result = {
        "false_out": int(sum(all_found.pop("false_out"))),
        "both_sides": int(sum(all_found.pop("both_sides"))),
        "detect_p99_s": quantile(all_found.pop("detect"), 0.99),
        "detect_30loss_p99_s": quantile(all_found.pop("detect_30loss"), 0.99),
        "bytes_per_s_1000": quantile(all_found.pop("bytes_1000"), 1.0),
    }
    lowest_counts = ("twin_refused", "numbers_go_on")
    print(
        json.dumps(
            result
            | {
                key: quantile(values, 0.0 if key in lowest_counts else 1.0)
                for key, values in sorted(all_found.items())
            }
        )
    )


if __name__ == "__main__":
    main()
