"""Builds a self-contained HTML page from many records: bad requests by class and cause, the breakdown of
their time by percentile, and the slowest ones."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Iterable
from html import escape
from typing import Any

from yewrill.tracing import breakdown, reading, sampling

PERCENTILES = (50.0, 90.0, 99.0)
MAX_WORST = 20
# Maximum number of durations kept for each class and part. When it is reached, every second one is dropped.
MAX_VALUES = 100_000
_COLOURS = {
    "receiving": "#9aa5b1",
    "held": "#e0b64a",
    "connecting": "#7fb3d5",
    "queued": "#d98880",
    "running": "#58a672",
    "lost": "#b03a48",
    "answering": "#8e7cc3",
}
_STYLE = """body{font:14px/1.5 system-ui,sans-serif;margin:2em auto;max-width:64em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;border-bottom:1px solid
#ddd;text-align:right}
td:first-child,th:first-child{text-align:left}.bar{display:flex;height:1.1em;background:#f4f4f4;margin:.15em
0} .bar i{display:block;height:100%}.key i{display:inline-block;width:1em;height:.8em;margin:0 .3em 0 1em}
pre{background:#f7f7f7;padding:.6em;white-space:pre-wrap}summary{cursor:pointer}"""


class Report:
    """Collects records one by one; memory is bounded by the number of classes and MAX_VALUES."""

    def __init__(self) -> None:
        self.count = 0
        self.causes: dict[str, Counter] = defaultdict(Counter)
        self.reasons: Counter = Counter()
        self.outcomes: Counter = Counter()
        self.values: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
        self.worst: list[tuple[int, int, Any]] = []

    def add(self, record: reading.Record) -> None:
        """Adds a record."""
        self.count += 1
        request_class, bad = record["class"], [c for c in record["kept"] if c in sampling.BAD]
        self.causes[request_class].update(bad or ["ordinary"])
        if record["why"]:
            self.reasons[record["answer"], record["why"]] += 1
        self.outcomes.update(
            (a["to"], a["ending"]) for a in record["attempts"] if a["ending"] != "served"
        )
        values = self.values[request_class]
        for part, spent in record["parts"].items():
            if len(values[part]) >= MAX_VALUES:
                del values[part][::2]
            values[part].append(spent)
        if bad:
            entry = (record["end"] - record["start"], self.count, record)
            if len(self.worst) < MAX_WORST:
                heapq.heappush(self.worst, entry)
            else:
                heapq.heappushpop(self.worst, entry)

    def html(self) -> str:
        """Returns the page."""
        causes = (*sampling.BAD, "ordinary")
        legend = "".join(
            f'<i style="background:{colour}"></i>{part}' for part, colour in _COLOURS.items()
        )
        sections = [
            "<h1>Where the time went</h1>",
            f"<p>{self.count} records.</p>",
            "<h2>By class and cause</h2>",
            _table(
                ["class", *causes],
                (
                    [name, *(counter[cause] for cause in causes)]
                    for name, counter in sorted(self.causes.items())
                ),
            ),
            "<h2>Grounds of refusals and failures</h2>",
            _table(
                ["answer", "ground", "jobs"],
                ([*reason, count] for reason, count in self.reasons.most_common(30)),
            ),
            "<h2>Attempts that came to nothing</h2>",
            _table(
                ["destination", "ending", "attempts"],
                ([*outcome, count] for outcome, count in self.outcomes.most_common(30)),
            ),
            "<h2>Breakdown by percentile, ms</h2>",
            self._breakdown(),
            f"<h2>The worst {len(self.worst)}</h2>",
            f'<p class="key">{legend}</p>',
            *(_worst_record(record) for _, _, record in sorted(self.worst, reverse=True)),
        ]
        return (
            "<!doctype html><html lang=en><meta charset=utf-8><title>yewrill trace report</title>"
            f"<style>{_STYLE}</style><body>{''.join(sections)}</body></html>\n"
        )

    def _breakdown(self) -> str:
        rows = []
        for name, values in sorted(self.values.items()):
            for part in breakdown.PARTS:
                durations = breakdown.percentiles(values[part], PERCENTILES)
                rows.append([name, part, *(f"{value / 1e6:.1f}" for value in durations)])
        return _table(["class", "part", *(f"p{at:g}" for at in PERCENTILES)], rows)


def _table(headers: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    if not body:
        return "<p>None.</p>"
    return (
        "<table><tr>"
        + "".join(f"<th>{escape(head)}</th>" for head in headers)
        + f"</tr>{body}</table>"
    )


def _worst_record(record: reading.Record) -> str:
    duration = max(1, record["end"] - record["start"])
    bar = "".join(
        f'<i title="{part} {reading.format_ms(end - begin)}" style="background:{_COLOURS[part]};'
        f'width:{100 * (end - begin) / duration:.2f}%"></i>'
        for part, begin, end in breakdown.segments(record)
    )
    text = escape("\n".join(reading.why(record)))
    return (
        f"<details><summary>{escape(record['class'])} {escape(record['id'])}: {reading.format_ms(duration)}, "
        f"{escape(','.join(record['kept']))}</summary>"
        f"<div class=bar>{bar}</div><pre>{text}</pre></details>"
    )
