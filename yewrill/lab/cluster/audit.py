"""Audits the history of a test cluster: reports each broken rule with the lines that contradict each other.

The audit does no I/O: it reads history lines only.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from yewrill.lab.cluster.history import Line

# Two parties may record the same event with times that are this far apart.
CLOCK_SLACK_SECONDS = 0.05
# A simulated worker on a busy machine may notice this late that its connection was closed.
CLOSE_DETECTION_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Terms:
    """The limits that the settings of a test cluster allow. Times are in seconds."""

    # Kinds of requests that must not run twice.
    run_once_kinds: frozenset[str] = frozenset()
    # Time after the drain or detachment of a worker during which new attempts may still begin there.
    drain_grace: float = 1.0
    # Time after a client's timeout from which an answer counts as late; covers delays of a busy machine.
    answer_slack: float = 1.0
    # Slow start: largest amount of work that may begin at a cold worker in one window,
    # as a multiple of the work that the worker can do in that window.
    cold_multiple: float = 3.0
    cold_window: float = 1.0
    # Time after a zone's recovery during which dispatchers may still leave it for the earlier failure.
    zone_recovery_slack: float = 4.0
    # Time for which a dispatcher that was removed from the view may not know of its removal.
    view_lease: float = 3.0
    # Time after a fault of a dispatcher during which the view may remove it because of that fault.
    fault_recovery: float = 30.0


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule: its kind, what happened, and the history lines that show it."""

    kind: str
    text: str
    lines: tuple[Line, ...]


def audit(history: Iterable[Line], terms: Terms) -> list[Breach]:
    """Returns all breaches, ordered by the time of their first line."""
    lines = sorted(history, key=lambda line: line["at"])
    found = [
        *_check_answers(lines, terms),
        *_check_attempts(lines, terms),
        *_check_drains(lines, terms),
        *_check_slow_starts(lines, terms),
        *_check_zone_plans(lines, terms),
        *_check_detached_workers(lines, terms),
        *_check_lease_owners(lines),
        *_check_view_numbers(lines),
        *_check_outdated_views(lines, terms),
        *_check_removals(lines, terms),
    ]
    return sorted(found, key=lambda breach: breach.lines[0]["at"] if breach.lines else 0.0)


def _lines_by_job(lines: list[Line], *what: str) -> dict[str, list[Line]]:
    jobs: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if line["what"] in what:
            jobs[line["job"]].append(line)
    return jobs


def _check_answers(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that each request has one timely answer, unless its dispatcher was killed, stopped or paused."""
    # By dispatcher: its faults, and the spans (begin, end) of its pauses.
    faults: dict[str, list[Line]] = defaultdict(list)
    pauses: dict[str, list[list[float]]] = defaultdict(list)
    for line in lines:
        if line["what"] in ("kill", "pause", "resume", "stop"):
            faults[line["by"]].append(line)
        if line["what"] == "pause":
            pauses[line["by"]].append([line["at"], float("inf")])
        elif line["what"] == "resume" and pauses[line["by"]]:
            pauses[line["by"]][-1][1] = line["at"]
    end = lines[-1]["at"] if lines else 0.0
    for job, job_lines in _lines_by_job(lines, "sent", "answer", "lost").items():
        sent = next((line for line in job_lines if line["what"] == "sent"), None)
        if sent is None:
            continue
        answers = [line for line in job_lines if line["what"] == "answer"]
        due = sent["at"] + sent["timeout"] + terms.answer_slack
        excused = any(sent["at"] - 1.0 <= line["at"] <= due for line in faults[sent["to"]]) or any(
            paused_at <= due and sent["at"] <= resumed_at
            for paused_at, resumed_at in pauses[sent["to"]]
        )
        if len(answers) > 1:
            yield Breach("answered-twice", f"{job} has {len(answers)} answers", (sent, *answers))
        elif not answers and not excused and (due < end or len(job_lines) > 1):
            yield Breach("unanswered", f"{job} has no answer", tuple(job_lines))
        elif answers and answers[0]["at"] > due and not excused:
            text = f"{job}: {answers[0]['at'] - sent['at']:.2f} s of {sent['timeout']:g}"
            yield Breach("answered-late", text, (sent, answers[0]))


def _check_attempts(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that a request's attempts don't overlap; a request that must not run twice has only one."""
    for job, job_lines in _lines_by_job(lines, "begin", "end").items():
        running: list[Line] = []
        begun: list[Line] = []
        ended: Line | None = None
        for line in job_lines:
            if line["what"] == "end":
                ended = line
                first = next((other for other in running if other["by"] == line["by"]), None)
                running = [other for other in running if other is not first]
                continue
            for other in running:
                # The earlier attempt must have ended, but a worker detects a closed connection late.
                closing = next(
                    (
                        later
                        for later in job_lines
                        if later["what"] == "end"
                        and later["by"] == other["by"]
                        and other["at"] < later["at"] <= line["at"] + CLOSE_DETECTION_SECONDS
                    ),
                    None,
                )
                if closing is None:
                    text = f"{job} runs at {other['by']} and {line['by']}"
                    yield Breach("overlap", text, (other, line))
            if begun and line["kind"] in terms.run_once_kinds:
                between = (ended,) if ended else ()
                yield Breach("sent-again", f"{job} may not run twice", (begun[0], *between, line))
            begun.append(line)
            running.append(line)


def _check_drains(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that a draining worker gets no new attempt once the grace period is over."""
    drained: dict[str, Line] = {}
    for line in lines:
        if line["what"] == "drain":
            drained[line["by"]] = line
        elif line["what"] in ("cold", "serve"):
            drained.pop(line["by"], None)
        elif (
            line["what"] == "begin"
            and (drain := drained.get(line["by"])) is not None
            and line["at"] > drain["at"] + terms.drain_grace + CLOCK_SLACK_SECONDS
        ):
            yield Breach(
                "drained",
                f"{line['job']} began {line['at'] - drain['at']:.2f} s after the drain",
                (drain, line),
            )


def _check_detached_workers(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that a dispatcher sends nothing to a worker after it confirmed the worker's detachment.

    The rule also holds over a crash of the dispatcher.
    """
    detached: dict[tuple[str, str], Line] = {}
    for line in lines:
        if line["what"] == "taken-out":
            detached[line["by"], line["profiler"]] = line
        elif line["what"] == "begin":
            detachment = detached.get((line["job"].partition("-")[0], line["by"]))
            if (
                detachment is not None
                and line["at"] > detachment["at"] + terms.drain_grace + CLOCK_SLACK_SECONDS
            ):
                yield Breach(
                    "forgotten",
                    f"{line['job']} began at {line['by']}, which was taken out",
                    (detachment, line),
                )


def _check_lease_owners(lines: list[Line]) -> Iterable[Breach]:
    """Checks that each fencing number of a lease is granted once, and that the numbers only grow."""
    last: dict[str, Line] = {}
    for line in lines:
        if line["what"] == "owns":
            before = last.get(line["duty"])
            if (
                before is not None
                and line["number"] <= before["number"]
                and line["by"] != before["by"]
            ):
                text = (
                    f"{before['by']} owned with {before['number']}, then {line['by']} with "
                    f"{line['number']}"
                )
                yield Breach("two-owners", text, (before, line))
            last[line["duty"]] = line


def _check_view_numbers(lines: list[Line]) -> Iterable[Breach]:
    """Checks that all members install the same view under a number, and that none goes back.

    The numbers of a member's views must grow even over its restart.
    """
    by_number: dict[int, Line] = {}
    last: dict[str, Line] = {}
    for line in lines:
        if line["what"] != "view":
            continue
        first = by_number.setdefault(line["number"], line)
        if first["digest"] != line["digest"]:
            text = f"view {line['number']} is another at {first['by']} and {line['by']}"
            yield Breach("views-differ", text, (first, line))
        before = last.get(line["by"])
        if before is not None and line["number"] < before["number"]:
            yield Breach(
                "old-view",
                f"{line['by']} went from view {before['number']} to {line['number']}",
                (before, line),
            )
        last[line["by"]] = line


def _check_outdated_views(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that a dispatcher gives up a view within its lease once others have installed one without it.

    The dispatcher must give up any view once two later views have been installed.
    """
    in_view: dict[str, Line] = {}
    newest: dict[int, Line] = {}
    reported: set[tuple[str, int]] = set()
    for line in lines:
        member, what = line["by"], line["what"]
        if what == "view":
            in_view[member] = line
            newest.setdefault(line["number"], line)
        # A paused process does not act on its view.
        elif what in (
            "no-view",
            "exit",
            "kill",
            "start",
            "pause",
        ):
            in_view.pop(member, None)
        for name, held in in_view.items():
            after = newest.get(held["number"] + 1)
            later = newest.get(held["number"] + 2)
            late = (
                after is not None
                and name not in after["names"]
                and line["at"] > after["at"] + terms.view_lease + terms.answer_slack
            )
            if (late or later is not None and line["at"] > later["at"] + terms.answer_slack) and (
                name,
                held["number"],
            ) not in reported:
                reported.add((name, held["number"]))
                yield Breach(
                    "both-sides",
                    f"{name} goes on in view {held['number']}, others without it",
                    (held, after or later),
                )


def _check_removals(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that no member without a recent fault is removed from the view."""
    # By member: the time until which the view may remove it.
    removable_until: dict[str, float] = {}
    views: dict[int, Line] = {}
    for line in lines:
        if line["what"] in ("kill", "stop", "pause", "resume", "exit"):
            paused = line["what"] == "pause"
            removable_until[line["by"]] = (
                float("inf") if paused else line["at"] + terms.fault_recovery
            )
        elif line["what"] == "unwell":
            removable_until.update(dict.fromkeys(line["names"], float("inf")))
        elif line["what"] == "healed":
            removable_until.update(
                {
                    name: min(at, line["at"] + terms.fault_recovery)
                    for name, at in removable_until.items()
                }
            )
        elif line["what"] == "view" and line["number"] not in views:
            views[line["number"]] = line
            before = views.get(line["number"] - 1)
            for name in () if before is None else set(before["names"]) - set(line["names"]):
                if line["at"] > removable_until.get(name, -1.0):
                    yield Breach(
                        "false-out",
                        f"{name} is not in view {line['number']}, and was well",
                        (before, line),
                    )


def _check_slow_starts(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that the work that begins at a cold worker in one window stays within its slow start budget.

    The budget is that for the worker's age at the end of the window.
    """
    colds = [line for line in lines if line["what"] == "cold"]
    for cold in colds:
        begun = [
            line
            for line in lines
            if line["what"] == "begin"
            and line["by"] == cold["by"]
            and cold["at"] <= line["at"] < cold["at"] + cold["warm"]
        ]
        for i, first in enumerate(begun):
            window = [line for line in begun[i:] if line["at"] < first["at"] + terms.cold_window]
            age = window[-1]["at"] - cold["at"]
            warmth = min(1.0, cold["start"] + (1.0 - cold["start"]) * age / cold["warm"])
            budget = terms.cold_multiple * warmth * cold["slots"] * terms.cold_window
            work = sum(line["run"] for line in window)
            if work > budget:
                text = f"{cold['by']}: {work:.2f} s of work in {terms.cold_window:g} s, budget {budget:.2f}"
                yield Breach("cold", text, (cold, window[0], window[-1]))
                break


def _check_zone_plans(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Checks that a dispatcher's plan numbers grow, plans leave no working zone, and in the end all agree."""
    held: dict[str, Line] = {}
    # By zone: the time until which dispatchers may leave it.
    may_be_left_until: dict[str, float] = {}
    for line in lines:
        if line["what"] == "zone-fails":
            may_be_left_until[line["zone"]] = float("inf")
        elif line["what"] == "zone-well":
            may_be_left_until[line["zone"]] = line["at"] + terms.zone_recovery_slack
        elif line["what"] == "start":
            held.pop(line["by"], None)
        elif line["what"] == "plan":
            before = held.get(line["by"])
            if before is not None and line["number"] < before["number"]:
                text = f"{line['by']} went from plan {before['number']} to {line['number']}"
                yield Breach("old-plan", text, (before, line))
            for zone, share in line["shares"].items():
                was = 1.0 if before is None else before["shares"].get(zone, 1.0)
                # While a zone returns step by step, a dispatcher may adopt a plan that is a step behind.
                if zone in line.get("back", ()):
                    continue
                if (
                    share < was
                    and line["at"] > may_be_left_until.get(zone, -1.0)
                    and before is not None
                ):
                    yield Breach("false-leave", f"{line['by']} leaves {zone}, which works", (line,))
            held[line["by"]] = line
    ended = next((line for line in reversed(lines) if line["what"] == "settled"), None)
    if ended is not None:
        plans = {who: line["number"] for who, line in held.items() if who in ended["living"]}
        if len(set(plans.values())) > 1:
            yield Breach("plans-differ", f"at the end: {plans}", tuple(held[who] for who in plans))
