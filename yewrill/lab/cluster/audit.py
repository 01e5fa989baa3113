"""Reads what all parties wrote and names every breach, with the lines of both sides. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from yewrill.lab.cluster.history import Line

SLACK = 0.05  # seconds by which two parties may see one moment apart
CLOSING = (
    0.3  # seconds by which a stand-in of a busy machine may see late that its connection was closed
)


@dataclass(frozen=True, slots=True)
class Terms:
    """What the settings allow. Seconds."""

    once: frozenset[str] = frozenset()  # kinds of jobs that may not run twice
    grace: float = 1.0  # after a drain, until nothing new may come
    late: float = (
        1.0  # after a client's time, until an answer counts as late: a busy machine's own delay
    )
    cold_multiple: float = 3.0
    cold_window: float = 1.0
    doubt: float = 4.0  # after a zone failed, in which it may still be left for it
    lease: float = 3.0  # for which one that is taken out of the views may not know it
    unwell: float = 30.0  # after a fault of a dispatcher, in which it may be taken out for it


@dataclass(frozen=True, slots=True)
class Breach:
    kind: str
    text: str
    lines: tuple[Line, ...]


def audit(history: Iterable[Line], terms: Terms) -> list[Breach]:
    """All breaches, in the order of their time."""
    lines = sorted(history, key=lambda line: line["at"])
    found = [
        *_answers(lines, terms),
        *_attempts(lines, terms),
        *_drains(lines, terms),
        *_cold(lines, terms),
        *_plans(lines, terms),
        *_orders(lines, terms),
        *_owners(lines),
        *_views(lines),
        *_sides(lines, terms),
        *_taken_out(lines, terms),
    ]
    return sorted(found, key=lambda breach: breach.lines[0]["at"] if breach.lines else 0.0)


def _by_job(lines: list[Line], *what: str) -> dict[str, list[Line]]:
    jobs: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if line["what"] in what:
            jobs[line["job"]].append(line)
    return jobs


def _answers(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    troubled: dict[str, list[Line]] = defaultdict(list)  # dispatchers that were killed or stopped
    asleep: dict[str, list[list[float]]] = defaultdict(list)  # from when until when
    for line in lines:
        if line["what"] in ("kill", "pause", "resume", "stop"):
            troubled[line["by"]].append(line)
        if line["what"] == "pause":
            asleep[line["by"]].append([line["at"], float("inf")])
        elif line["what"] == "resume" and asleep[line["by"]]:
            asleep[line["by"]][-1][1] = line["at"]
    end = lines[-1]["at"] if lines else 0.0
    for job, told in _by_job(lines, "sent", "answer", "lost").items():
        sent = next((line for line in told if line["what"] == "sent"), None)
        if sent is None:
            continue
        answers = [line for line in told if line["what"] == "answer"]
        due = sent["at"] + sent["timeout"] + terms.late
        excused = any(
            sent["at"] - 1.0 <= line["at"] <= due for line in troubled[sent["to"]]
        ) or any(began <= due and sent["at"] <= over for began, over in asleep[sent["to"]])
        if len(answers) > 1:
            yield Breach("answered-twice", f"{job} has {len(answers)} answers", (sent, *answers))
        elif not answers and not excused and (due < end or len(told) > 1):
            yield Breach("unanswered", f"{job} has no answer", tuple(told))
        elif answers and answers[0]["at"] > due and not excused:
            text = f"{job}: {answers[0]['at'] - sent['at']:.2f} s of {sent['timeout']:g}"
            yield Breach("answered-late", text, (sent, answers[0]))


def _attempts(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    for job, told in _by_job(lines, "begin", "end").items():
        running: list[Line] = []
        began: list[Line] = []
        ended: Line | None = None
        for line in told:
            if line["what"] == "end":
                ended = line
                first = next((other for other in running if other["by"] == line["by"]), None)
                running = [other for other in running if other is not first]
                continue
            for other in running:
                # Who closed it must have been seen to do so, but for the time that a closing takes.
                closing = next(
                    (
                        e
                        for e in told
                        if e["what"] == "end"
                        and e["by"] == other["by"]
                        and other["at"] < e["at"] <= line["at"] + CLOSING
                    ),
                    None,
                )
                if closing is None:
                    text = f"{job} runs at {other['by']} and {line['by']}"
                    yield Breach("overlap", text, (other, line))
            if began and line["kind"] in terms.once:
                between = (ended,) if ended else ()
                yield Breach("sent-again", f"{job} may not run twice", (began[0], *between, line))
            began.append(line)
            running.append(line)


def _drains(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    drained: dict[str, Line] = {}
    for line in lines:
        if line["what"] == "drain":
            drained[line["by"]] = line
        elif line["what"] in ("cold", "serve"):
            drained.pop(line["by"], None)
        elif (
            line["what"] == "begin"
            and (drain := drained.get(line["by"])) is not None
            and line["at"] > drain["at"] + terms.grace + SLACK
        ):
            yield Breach(
                "drained",
                f"{line['job']} began {line['at'] - drain['at']:.2f} s after the drain",
                (drain, line),
            )


def _orders(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """What operators were told is done holds, whatever befell the dispatcher since."""
    out: dict[tuple[str, str], Line] = {}
    for line in lines:
        if line["what"] == "taken-out":
            out[line["by"], line["profiler"]] = line
        elif line["what"] == "begin":
            order = out.get((line["job"].partition("-")[0], line["by"]))
            if order is not None and line["at"] > order["at"] + terms.grace + SLACK:
                yield Breach(
                    "forgotten",
                    f"{line['job']} began at {line['by']}, which was taken out",
                    (order, line),
                )


def _owners(lines: list[Line]) -> Iterable[Breach]:
    """A number is granted once, and numbers grow."""
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


def _views(lines: list[Line]) -> Iterable[Breach]:
    """One view to a number, for all, and numbers never go back: not over a restart either."""
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


def _sides(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Who goes by a view does not go on for longer than its lease once others have one without it; nor by
    one that two have followed."""
    in_view: dict[str, Line] = {}
    newest: dict[int, Line] = {}
    told: set[tuple[str, int]] = set()
    for line in lines:
        who, what = line["by"], line["what"]
        if what == "view":
            in_view[who] = line
            newest.setdefault(line["number"], line)
        elif what in (
            "no-view",
            "exit",
            "kill",
            "start",
            "pause",
        ):  # asleep it does nothing by its view
            in_view.pop(who, None)
        for name, held in in_view.items():
            after = newest.get(held["number"] + 1)
            later = newest.get(held["number"] + 2)
            late = (
                after is not None
                and name not in after["names"]
                and line["at"] > after["at"] + terms.lease + terms.late
            )
            if (late or later is not None and line["at"] > later["at"] + terms.late) and (
                name,
                held["number"],
            ) not in told:
                told.add((name, held["number"]))
                yield Breach(
                    "both-sides",
                    f"{name} goes on in view {held['number']}, others without it",
                    (held, after or later),
                )


def _taken_out(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Nobody is taken out of a view who was well."""
    unwell: dict[str, float] = {}  # until when
    views: dict[int, Line] = {}
    for line in lines:
        if line["what"] in ("kill", "stop", "pause", "resume", "exit"):
            asleep = line["what"] == "pause"
            unwell[line["by"]] = float("inf") if asleep else line["at"] + terms.unwell
        elif line["what"] == "unwell":
            unwell.update(dict.fromkeys(line["names"], float("inf")))
        elif line["what"] == "healed":
            unwell.update({name: min(at, line["at"] + terms.unwell) for name, at in unwell.items()})
        elif line["what"] == "view" and line["number"] not in views:
            views[line["number"]] = line
            before = views.get(line["number"] - 1)
            for name in () if before is None else set(before["names"]) - set(line["names"]):
                if line["at"] > unwell.get(name, -1.0):
                    yield Breach(
                        "false-out",
                        f"{name} is not in view {line['number']}, and was well",
                        (before, line),
                    )


def _cold(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """No window of a cold worker's time may see more work begin than the budget of its warmth at its end, and
    one job of each dispatcher that had begun none yet."""
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


def _plans(lines: list[Line], terms: Terms) -> Iterable[Breach]:
    """Each dispatcher's plan only rises, and leaves no zone that works."""
    held: dict[str, Line] = {}
    failing: dict[str, float] = {}  # zone: since when; well again: until when it may still be left
    for line in lines:
        if line["what"] == "zone-fails":
            failing[line["zone"]] = float("inf")
        elif line["what"] == "zone-well":
            failing[line["zone"]] = line["at"] + terms.doubt
        elif line["what"] == "start":
            held.pop(line["by"], None)
        elif line["what"] == "plan":
            before = held.get(line["by"])
            if before is not None and line["number"] < before["number"]:
                text = f"{line['by']} went from plan {before['number']} to {line['number']}"
                yield Breach("old-plan", text, (before, line))
            for zone, share in line["shares"].items():
                was = 1.0 if before is None else before["shares"].get(zone, 1.0)
                if zone in line.get(
                    "back", ()
                ):  # a step of the way back, met by one that was ahead of it
                    continue
                if share < was and line["at"] > failing.get(zone, -1.0) and before is not None:
                    yield Breach("false-leave", f"{line['by']} leaves {zone}, which works", (line,))
            held[line["by"]] = line
    ended = next((line for line in reversed(lines) if line["what"] == "settled"), None)
    if ended is not None:
        plans = {who: line["number"] for who, line in held.items() if who in ended["living"]}
        if len(set(plans.values())) > 1:
            yield Breach("plans-differ", f"at the end: {plans}", tuple(held[who] for who in plans))
