"""A session of the simulator's wire, played by a small stand-in for the simulator, and the settings in it."""

from __future__ import annotations

import io
import random
from dataclasses import astuple
from typing import Any

import orjson

from yewrill.dispatch import load_report
from yewrill.policy import interface as api
from yewrill.policy.settings_codec import decode_settings
from yewrill.simulator.codec import decode_event, encode_action
from yewrill.simulator.host import serve

SITE = {
    "instances": 2,
    "index": 1,
    "zone": 1,
    "kinds": ["std", "wide"],
    "areas": ["north", "south"],
    "counted_by": "work",
    "over_share_worth": 0.25,
    "registry_mode": "ask",
    "tick": 2.0,
    "client_habits": {"marks_retry": True},
    "load_report": {"via": "on_probe", "fields": ["inflight", "x0"]},
    "limits": {
        "may_probe": True,
        "cancel": True,
        "try_limit": 3,
        "retry_after": True,
        "max_retry_after": 2000.0,
    },
    "rules": {
        "answer_slack": 8.0,
        "fall": 3000.0,
        "fall_multiple": 3.0,
        "start_capacity": 0.3,
        "warm_after": 6000.0,
    },
    "specifics": {
        "tells_start": True,
        "progress": 1000.0,
        "queue_order": "fifo",
        "report_x0": "free slots",
        "class_stretch": [1.5, 2.0],
        "class_kind": [-1, -1, 1],
    },
    "fees": {"probe": 0.01, "waste": 0.25},
    "parties": [
        {"name": "acme", "quota_per_s": 20.0, "share": 0.75},
        {"name": "zenith", "quota_per_s": 5.0, "share": 0.25},
    ],
    "request_classes": [
        {"name": "tour", "aim": 100.0, "deadline": 600.0, "repeat": "pure", "value": 1.0},
        {
            "name": "save",
            "aim": 150.0,
            "deadline": 900.0,
            "repeat": "token",
            "group": "cell",
            "window": 5000.0,
            "value": 3.0,
            "late_value": 0.5,
        },
        {"name": "once", "deadline": 800.0, "repeat": "side_effect", "aim_stretch": 3.0},
    ],
}
OUTCOMES = (
    "served",
    "served",
    "served",
    "server_error",
    "turned_away",
    "no_answer",
    "no_connection",
    "connection_lost",
    "called_off",
    "not_sent",
)
BATCHES = 60
STEP = 15.0  # ms between batches


def _row(number: int, phase: str = "Running", launched: float = 0.0) -> dict[str, Any]:
    return {
        "worker": f"w{number}",
        "zone": number % 2,
        "machine": number % 2,
        "group": number // 2,
        "phase": phase,
        "heft": 1.0 + number % 2,
        "launched": launched,
    }


class Player:
    """Arrivals, attempts' ends and timers for one instance, drawn by chance."""

    def __init__(self, number: int):
        self.number = number
        self.rng = random.Random(number)
        self.tickets = 0
        self.due: list[tuple[float, dict[str, Any]]] = []
        self.attempts: dict[str, int] = {}

    def first(self) -> list[dict[str, Any]]:
        return [
            {"what": "Boot", "entropy": 5 + self.number, "config": SITE},
            {
                "what": "Registry",
                "revision": 1,
                "form": "cached",
                "rows": [_row(number) for number in range(5)],
            },
        ]

    def batch(self, now: float, number: int) -> list[dict[str, Any]]:
        found = [message for at, message in self.due if at <= now]
        self.due = [(at, message) for at, message in self.due if at > now]
        for _ in range(self.rng.choice((0, 1, 1, 2, 6))):
            found.append(self._arrival(now))
        if number == 20:
            rows = [_row(1, "Stopping"), _row(2, "Deleted"), _row(5, launched=now)]
            found.append({"what": "Registry", "form": "delta", "rows": rows})
        if number == 30:
            found.append({"what": "Registry", "form": "failed"})
        if number == 40:
            rows = [_row(number) for number in (0, 3, 4, 5, 6)]
            found.append({"what": "Registry", "form": "full", "rows": rows})
        if number % 10 == 7 and self.tickets:
            found.append({"what": "TimedOutClient", "ticket": f"t{self.tickets - 1}"})
            found.append({"what": "Whisper", "text": "of no use"})
        return found

    def _arrival(self, now: float) -> dict[str, Any]:
        tier = self.rng.randrange(3)
        self.tickets += 1
        return {
            "what": "Inbound",
            "ticket": f"t{self.tickets - 1}",
            "tier_class": tier,
            "client_deadline": now + SITE["request_classes"][tier]["deadline"],
            "billing": self.rng.randrange(2),
            "width": 1.0 + self.rng.randrange(2),
            "memory": 0.5,
            "expected": self.rng.choice((0.0, 40.0)),
            "again_by_client": self.rng.random() < 0.1,
            "route_key": f"k{self.rng.randrange(4)}",
        }

    def hear(self, now: float, action: dict[str, Any]) -> None:
        what, draw = action["what"], self.rng.random()
        if what == "SetTimer":
            event = {"what": "Elapsed", "key_back": action["key_back"]}
            self.due.append((now + action["sleep_for"], event))
        elif what == "Touch":
            event = {"what": "Pong", "worker": action["worker"], "outcome": "served"}
            event["report"] = {"inflight": 1.0, "x0": 3.0} if draw < 0.9 else None
            self.due.append((now + 20.0, event))
        elif what == "Assign":
            self._run(now, action, draw)

    def _run(self, now: float, action: dict[str, Any], draw: float) -> None:
        ticket = action["ticket"]
        attempt = self.attempts.get(ticket, -1) + 1
        self.attempts[ticket] = attempt
        about = {"ticket": ticket, "attempt": attempt, "worker": action["worker"]}
        outcome, length = self.rng.choice(OUTCOMES), 20.0 + 300.0 * draw * draw
        if draw > 0.3:
            self.due.append((now + 10.0, {"what": "Interim", "sort": 1, **about}))
        if draw > 0.6:
            half = {"what": "Interim", "sort": 2, "level": 0.5, **about}
            self.due.append((now + length / 2.0, half))
            self.due.append((now + length / 2.0, {"what": "Interim", "sort": 3, **about}))
        if 0.4 < draw < 0.45:
            self.due.append((now + length / 2.0, {"what": "First", **about}))
        end = {
            "what": "ClosedAttempt",
            **about,
            "outcome": outcome,
            "time_taken": length,
            "final": outcome == "served",
        }
        self.due.append((now + length, end))


def record_session() -> tuple[bytes, bytes]:
    """What the simulator said, and what it was answered. Played again from its start for each batch, so that
    the program under record is only used by its two streams."""
    players = [Player(0), Player(1)]
    said, answered = b"", b""
    for number in range(BATCHES):
        now = 1000.0 + STEP * number
        lines = [{"what": "Tick", "sim_time": now}]
        for player in players:
            messages = player.first() if number == 0 else player.batch(now, number)
            lines += [{**message, "dispatcher_id": player.number} for message in messages]
        if number == BATCHES - 1:
            lines.append({"what": "Destroy", "dispatcher_id": 0})
        lines.append({"what": "End"})
        said += b"".join(orjson.dumps(line) + b"\n" for line in lines)
        answer = replay(said)
        for line in answer[len(answered) :].splitlines():
            action = orjson.loads(line)
            if action["what"] != "End":
                players[action["dispatcher_id"]].hear(now, action)
        answered = answer
    return said, answered


def replay(said: bytes) -> bytes:
    """What this code answers."""
    sink = io.BytesIO()
    serve(io.BytesIO(said), sink)
    return sink.getvalue()


ACTIONS = (
    api.Send("t1", "w1", 250.0, 3, "no room"),
    api.Send("t2", "w2"),
    api.Reject("t3", 125.5, "overload"),
    api.Fail("t4", "too late"),
    api.Cancel("t5", 2),
    api.SetTimer(7, 30.0),
    api.Probe("w3"),
    api.WatchList(True),
    api.WatchList(False),
    api.Log("a line"),
)


def action_lines() -> list[str]:
    """A line for each kind of action, as the second instance sends it."""
    return [encode_action(1, action).decode() for action in ACTIONS]


EFFECT_WORDS = {
    api.Idempotency.IDEMPOTENT: "pure",
    api.Idempotency.IDEMPOTENT_BY_KEY: "token",
    api.Idempotency.NON_IDEMPOTENT: "side_effect",
}


def settings_values(config: dict[str, Any]) -> list[Any]:
    """Every value of the settings in a configuration, in an order of its own."""
    read = decode_settings(config)
    classes = [
        [
            one.name,
            one.latency_objective,
            one.deadline,
            one.priority_weight,
            one.late_weight_fraction,
            EFFECT_WORDS[one.idempotency],
            one.group,
            one.window,
            one.objective_run_factor,
            one.kind,
        ]
        for one in read.classes
    ]
    return [
        classes,
        [[one.name, one.quota_per_s, one.share] for one in read.tenants],
        [read.kinds, read.zone, read.dispatchers, read.index, read.over_quota_weight],
        [read.weight_by_work, read.list_on_request, read.reports_start, read.progress_interval],
        [list(read.report_fields), read.free_slots_field, read.reports_on_probe],
        [read.may_probe, read.may_cancel, read.fifo, read.marks_retry],
        [read.max_attempts, read.max_retry_after, read.answer_slack],
        [
            read.slow_start_multiple,
            read.slow_start_window,
            read.start_capacity,
            read.warm_after,
            read.tick,
        ],
        dict(read.fees),
    ]


OUTCOME_WORDS = {
    api.PolicyOutcome.SERVED: "served",
    api.PolicyOutcome.ERROR: "server_error",
    api.PolicyOutcome.REJECTED: "turned_away",
    api.PolicyOutcome.TIMEOUT: "no_answer",
    api.PolicyOutcome.NO_CONNECTION: "no_connection",
    api.PolicyOutcome.CONNECTION_LOST: "connection_lost",
    api.PolicyOutcome.CANCELLED: "called_off",
    api.PolicyOutcome.NOT_SENT: "not_sent",
}
STATE_WORDS = {
    api.WorkerState.RUNNING: "Running",
    api.WorkerState.DRAINING: "Stopping",
    api.WorkerState.REMOVED: "Deleted",
}
FORM_WORDS = {
    api.ListForm.CHANGES: "delta",
    api.ListForm.FULL: "full",
    api.ListForm.CACHED: "cached",
    api.ListForm.FAILED: "failed",
}
ABOUT = {"ticket": "t1", "attempt": 2, "worker": "w1"}
EVENTS: tuple[dict[str, Any], ...] = (
    {
        "what": "Inbound",
        "ticket": "t1",
        "tier_class": 2,
        "client_deadline": 900.5,
        "billing": 1,
        "width": 2.0,
        "memory": 0.5,
        "expected": 40.0,
        "again_by_client": True,
        "route_key": "k1",
    },
    {"what": "Inbound", "ticket": "t2", "tier_class": 0, "client_deadline": 900.0},
    *(
        {"what": "ClosedAttempt", **ABOUT, "outcome": outcome, "time_taken": 12.5, "final": True}
        for outcome in OUTCOME_WORDS.values()
    ),
    {"what": "ClosedAttempt", **ABOUT, "outcome": "served", "report": {"x0": 3.0}},
    {"what": "Interim", "sort": 1, **ABOUT},
    {"what": "Interim", "sort": 2, "level": 0.25, **ABOUT},
    {"what": "Interim", "sort": 3, **ABOUT},
    {"what": "Elapsed", "key_back": 7},
    {"what": "Pong", "worker": "w1", "outcome": "no_answer", "report": {"x0": 3.0}},
    {"what": "First", **ABOUT},
    *({"what": "Registry", "form": form} for form in FORM_WORDS.values()),
    {
        "what": "Registry",
        "form": "full",
        "rows": [
            {
                "worker": f"w{at}",
                "zone": 1,
                "machine": 2,
                "group": 3,
                "phase": phase,
                "heft": 4.5,
                "launched": 600.0,
            }
            for at, phase in enumerate(STATE_WORDS.values())
        ],
    },
    {"what": "Registry", "form": "full", "rows": [{"worker": "w9", "phase": "Running"}]},
    {"what": "TimedOutClient", "ticket": "t1"},
    {"what": "Whisper"},
)


def event_values(message: dict[str, Any]) -> list[Any] | None:
    """What a message is read to: the values by position, words of the module as the wire has them."""
    event = decode_event(message["what"], message)
    if event is None:
        return None
    if isinstance(event, api.AttemptEnded):
        attempt = [event.request_id, event.attempt, event.worker, OUTCOME_WORDS[event.outcome]]
        return [*attempt, event.elapsed, event.final, event.report]
    if isinstance(event, api.ProbeEnded):
        return [event.worker, OUTCOME_WORDS[event.outcome], event.report]
    if isinstance(event, api.WorkerList):
        rows = [
            [
                row.worker,
                row.zone,
                row.kind,
                row.cell,
                STATE_WORDS[row.state],
                row.weight,
                row.launched,
            ]
            for row in event.entries
        ]
        return [FORM_WORDS[event.form], rows]
    return list(astuple(event))


LEAST_SITE = {"request_classes": [{"deadline": 50.0}]}
REPORTS = (
    ("inflight=7,x0=1.5", ("inflight", "x0")),
    ("inflight=7, x0=1.5,more=2", ("x0",)),
    ("inflight=7", ("inflight", "x0")),
    ("inflight=-1", ("inflight",)),
    ("inflight=1,inflight=2", ("inflight",)),
    ("nothing", ("inflight",)),
)


def load_reports() -> list[list[Any]]:
    """Headers, the fields asked for, and what is read of them."""
    return [
        [header, list(fields), load_report.read(load_report.from_header(header), fields)]
        for header, fields in REPORTS
    ]
