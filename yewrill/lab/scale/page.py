"""Renders the tables of docs/CAPACITY.md from the JSON that benchmarks/capacity.py writes.

The page always shows the last measurement: tests/test_capacity_page.py fails if it was edited by hand.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from yewrill.lab.scale import plan
from yewrill.lab.scale.fit import MAX_QUADRATIC_FRACTION

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- measured: {} -->", "<!-- end: {} -->"
Result = Mapping[str, Any]


def _format_number(value: float | None, digits: int = 0) -> str:
    return "never" if value is None else f"{value:,.{digits}f}"


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _fit_cells(fit: Mapping[str, float], scale: float, digits: int) -> list[str]:
    """Returns the cells of a fit: the line, its residual and the contribution of a quadratic term."""
    bent = " (bent)" if abs(fit["square"]) > MAX_QUADRATIC_FRACTION else ""
    return [
        f"{scale * fit['slope']:.3g} × size + {_format_number(scale * fit['constant'], digits)}",
        f"{100 * fit['residual']:.0f}%",
        f"{100 * fit['square']:.0f}%{bent}",
    ]


def control_table(result: Result) -> str:
    """Returns the table of a dispatcher's control plane at rest, against its budget."""
    rows = {row["dispatchers"]: row for row in result["fleet"]["rows"]}
    quantities = (
        ("core", "processor, % of a core", 100.0, 2, 100 * plan.BUDGET_CORES),
        ("wire_out", "sent, bytes a second", 1.0, 0, plan.BUDGET_BYTES_PER_S_AT_REST),
        ("datagrams_out", "sent, datagrams a second", 1.0, 1, None),
        ("wakeups", "wake-ups of the process a second", 1.0, 1, None),
        ("proportional_mb", "memory, MB", 1.0, 2, plan.BUDGET_MEMORY_MB),
    )
    table = []
    for key, name, scale, digits, budget in quantities:
        fit = result["fleet"]["fits"].get(key)
        values = [_format_number(scale * rows[size][key], digits) for size in (24, 60, 200)]
        ratio = "" if budget is None else f"{scale * rows[200][key] / budget:.2f}"
        fitted = _fit_cells(fit, scale, digits) if fit else ["", "", ""]
        at_22 = _format_number(scale * (fit["slope"] * 22 + fit["constant"]), digits) if fit else ""
        limit = "" if budget is None else _format_number(budget, 1)
        table.append([name, *fitted, at_22, *values, limit, ratio])
    head = ["a dispatcher, control on less off", "fit", "residual", "square at 200", "22 (fit)"]
    return _table([*head, "24", "60", "200", "budget", "ratio at 200"], table)


def fleets_table(result: Result) -> str:
    """Returns the table of all fleets that were run."""
    table = [
        [
            f"{row['real']} + {row['dispatchers'] - row['real']}",
            _format_number(row["formed_s"], 1) + (" s" if row["formed_s"] is not None else ""),
            str(row["leases"]),
            f"{100 * row['core']:.2f} ({100 * row['core_worst']:.2f})",
            f"{100 * row['core_off']:.2f}",
            f"{_format_number(row['wire_out'])} ({_format_number(row['wire_worst'])})",
            _format_number(row["wire_hollow"]),
            f"{row['proportional_mb']:.1f}, {row['resident_mb']:.1f}",
            f"{row['held_back']}, {row['flooded']}",
            "not played: starved" if row["starved"] else f"{100 * row['idle']:.0f}%",
        ]
        for row in [*result["fleet"]["rows"], *result["real"]]
    ]
    head = [
        "real + hollow",
        "one view after",
        "leases",
        "control, % of a core (worst)",
        "without control, %",
    ]
    head += ["bytes a second (worst)", "of a hollow one", "MB of control, whole process"]
    return _table([*head, "held back, flooded", "machine idle"], table)


def events_table(result: Result) -> str:
    """Returns the table of the events measured in virtual time."""
    table = []
    for name, found in result["virtual"].items():
        if name.startswith("rest"):
            continue
        agreed = found.get("agreed_s", found.get("formed_s"))
        first = "" if name == "rolling" else _format_number(agreed, 2)
        back = _format_number(found["back_s"], 2) if "back_s" in found else ""
        over = found["worst_10s"] / plan.BUDGET_BYTES_PER_S
        lost = str(found.get("lost", ""))
        gone = str(found.get("gone", ""))
        table.append(
            [name, gone, first, back, _format_number(found["worst_10s"]), f"{over:.2f}", lost]
        )
    head = ["event", "dispatchers", "the rest agrees, s", "all agree again, s"]
    return _table(
        [*head, "worst ten seconds, bytes a second", "of the budget", "leases lost"], table
    )


def rest_table(result: Result) -> str:
    """Returns the table of the fleets at rest in virtual time, by size."""
    table = [
        [
            name.removeprefix("rest_"),
            _format_number(found["bytes_per_s"]),
            _format_number(found["bytes_per_s_worst"]),
            _format_number(found["datagrams_per_s"], 1),
            str(found["lost"]),
        ]
        for name, found in sorted(
            result["virtual"].items(),
            key=lambda item: (
                int(item[0].rpartition("_")[2] or 0) if item[0].startswith("rest") else 0
            ),
        )
        if name.startswith("rest")
    ]
    head = ["dispatchers", "bytes a second", "worst", "datagrams a second"]
    return _table([*head, "leases lost"], table)


def serving_table(result: Result) -> str:
    """Returns the table of the policy module, its state and the endpoint list."""
    module, lists = result["module"], result["lists"]
    fits = [
        ("processor a job, µs", module["fits"]["us_a_job"], plan.WORKERS, "workers"),
        ("state of workers, bytes", module["fits"]["bytes_a_worker"], plan.WORKERS, "workers"),
        ("state of teams, bytes", module["fits"]["bytes_a_team"], plan.TENANTS, "teams"),
        ("a whole list, bytes", lists["fits"]["bytes"], plan.WORKERS, "workers"),
        ("reading a whole list, ms", lists["fits"]["ms"], plan.WORKERS, "workers"),
    ]
    table = [
        [
            name,
            *_fit_cells(fit, 1.0, 1),
            f"{_format_number(fit['slope'] * size + fit['constant'], 1)} at {size} {of}",
            f"{fit['largest']:.0f}",
        ]
        for name, fit, size, of in fits
    ]
    return _table(["quantity", "fit", "residual", "square", "planned size", "largest run"], table)


def voters_table(result: Result) -> str:
    """Returns the table of the lease voters at rest."""
    table = [
        [
            str(row["dispatchers"]),
            _format_number(row["voter_bytes_per_s"]),
            _format_number(row["voter_datagrams_per_s"], 1),
            _format_number(row["other_bytes_per_s"]),
        ]
        for row in result["voters"]
    ]
    head = ["dispatchers", "a voter, bytes a second", "datagrams a second"]
    return _table([*head, "another, bytes a second"], table)


TABLES: dict[str, Callable[[Result], str]] = {
    "control": control_table,
    "whole": fleets_table,
    "events": events_table,
    "rest": rest_table,
    "serving": serving_table,
    "voters": voters_table,
}


def render(text: str, result: Result) -> str:
    """Returns the page's text with the tables of a result. Raises ValueError if a marker is missing."""
    for name, table in TABLES.items():
        begin, end = BEGIN.format(name), END.format(name)
        head, _, after_begin = text.partition(begin)
        _, found, tail = after_begin.partition(end)
        if not found:
            raise ValueError(f"no marks for {name}")
        text = f"{head}{begin}\n{table(result)}\n{end}{tail}"
    return text


def update(path: Path, result: Result) -> None:
    """Rewrites the page's tables if the result is complete; does nothing if some parts were not run."""
    if all(part in result for part in ("fleet", "real", "module", "lists", "voters", "virtual")):
        path.write_text(render(path.read_text(), result))
