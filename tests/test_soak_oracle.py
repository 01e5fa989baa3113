"""The oracle of the soak test: a clean history breaks no rule, and each kind of breach just its own rule."""

import copy

import pytest

from yewrill.lab.soak.events import (
    Attempt,
    AttemptEnd,
    Effect,
    History,
    ProcessEvent,
    ProcessState,
    Request,
    RequestEnd,
    SlowStart,
)
from yewrill.lab.soak.oracle import Rule, Terms, allowed_when_cold, judge
from yewrill.lab.soak.plan import Kind, draw, overlapping

TERMS = Terms(
    {"tour": Effect.IDEMPOTENT, "save": Effect.IDEMPOTENT_BY_KEY, "once": Effect.NON_IDEMPOTENT},
    keyed_window=3.0,
    grace=3.7,
    slots=4,
    run=0.05,
    start_capacity=0.25,
    warm_after=3.0,
    cold_multiple=1.5,
    cold_window=1.0,
    keyed_group="cell",
    keyed_deadline=5.0,
)


def request(id, kind="tour", at=10.0, **more) -> Request:
    fields = {
        "sent": at,
        "end": RequestEnd.ANSWERED,
        "finished": at + 0.1,
        "status": 200,
        "answers": 1,
    }
    return Request(id, f"k-{id}", kind, "d0", 2.0, at, **{**fields, **more})


def attempt(id, kind="tour", at=10.02, **more) -> Attempt:
    fields = {
        "received_at": at,
        "arrived_at": at,
        "finished": at + 0.05,
        "end": AttemptEnd.ANSWERED,
    }
    return Attempt(id, f"k-{id}", kind, "w0", 1.9, at, **{**fields, **more})


def process_event(what, at, pid=1, code=0) -> ProcessEvent:
    return ProcessEvent("d0", pid, what, at, code)


def clean_history() -> History:
    history = History()
    history.requests = [request("a"), request("b", "save"), request("c", "once")]
    history.attempts = [attempt("a"), attempt("b", "save"), attempt("c", "once")]
    history.process_events = [
        process_event(ProcessState.STARTED, 0.0),
        process_event(ProcessState.READY, 1.0),
    ]
    history.process_events += [
        process_event(ProcessState.TERMINATED, 20.0),
        process_event(ProcessState.EXITED, 23.0),
    ]
    history.calm_spans = [(9.0, 12.0)]
    return history


def test_a_clean_history_breaks_no_rule():
    assert judge(clean_history(), TERMS) == []


def closed_without_answer(history):
    history.requests[0].end, history.requests[0].status = RequestEnd.CLOSED, 0


def late_answer(history):
    history.requests[0].finished = 10.0 + 2.0 + 0.6


def two_answers(history):
    history.requests[0].answers = 2


def begun_after_leaving(history):
    history.requests[0].end, history.requests[0].finished = RequestEnd.LEFT, 10.0
    history.attempts[0] = attempt("a", at=10.2)


def overlapping_attempts(history):
    history.attempts.append(attempt("a", at=10.03))
    history.attempts[0].finished = 10.5


def non_idempotent_twice(history):
    history.requests.append(request("c2", "once", at=11.0))
    second = attempt("c2", "once", at=11.02)
    second.key = "k-c"
    history.attempts.append(second)


def keyed_after_its_window(history):
    history.requests[1].client_timeout, history.requests[1].finished = 10.0, 14.0
    history.attempts.append(attempt("b", "save", at=13.5))


def keyed_last_byte_after_its_window(history):
    history.requests[1].client_timeout, history.requests[1].finished = 10.0, 14.0
    history.attempts.append(attempt("b", "save", at=12.5, arrived_at=13.5))


def key_again_after_its_window(history):
    history.requests.append(request("b2", "save", at=13.4))
    history.attempts.append(attempt("b2", "save", at=13.5))
    history.attempts[-1].key = "k-b"


def keyed_in_another_cell(history):
    history.attempts.append(attempt("b", "save", at=10.2, cell=1))


def keyed_rejected_but_ran(history):
    history.requests[1].status = 503
    history.calm_spans = []


def rejected_but_ran(history):
    history.requests[2].status = 503
    history.calm_spans = []


def timeout_too_long(history):
    history.attempts[0].announced_timeout = 2.3


def over_the_cold_budget(history):
    history.slow_starts.append(SlowStart("w0", 9.9))
    count = int(allowed_when_cold(TERMS, 1.0)) + 3
    for number in range(count):
        id = f"m{number}"
        history.requests.append(request(id))
        history.attempts.append(attempt(id, at=10.0 + 0.001 * number))


def over_the_memory_limit(history):
    history.peak_memory_mb["d0"] = TERMS.memory_mb + 1.0


def unclean_exit(history):
    history.process_events[3] = process_event(ProcessState.EXITED, 23.0, code=1)


def late_exit(history):
    history.process_events[3] = process_event(ProcessState.EXITED, 24.0)


def crash(history):
    history.process_events[2:] = [process_event(ProcessState.EXITED, 15.0, code=-11)]


def never_ready(history):
    history.process_events.pop(1)


def rejected_by_a_healthy_fleet(history):
    history.requests[0].status = 503
    history.attempts.pop(0)


def stalled_client_not_closed(history):
    history.requests[0].stalls, history.requests[0].well_formed = True, False
    history.requests[0].sent, history.requests[0].finished = None, 13.4
    history.attempts.pop(0)


def own_check(history):
    history.violations.append("rule_violation rule=overlap request=a")


EXPECTED_RULES = {
    closed_without_answer: Rule.NOT_CLOSED,
    late_answer: Rule.ANSWER,
    two_answers: Rule.ONE_ANSWER,
    begun_after_leaving: Rule.LEFT,
    overlapping_attempts: Rule.OVERLAP,
    non_idempotent_twice: Rule.UNSAFE_ONCE,
    keyed_after_its_window: Rule.KEYED_WINDOW,
    keyed_last_byte_after_its_window: Rule.KEYED_WINDOW,
    key_again_after_its_window: Rule.KEYED_WINDOW,
    keyed_in_another_cell: Rule.KEYED_GROUP,
    keyed_rejected_but_ran: Rule.REFUSED_RAN,
    rejected_but_ran: Rule.REFUSED_RAN,
    timeout_too_long: Rule.TOLD_TIME,
    over_the_cold_budget: Rule.COLD_BUDGET,
    unclean_exit: Rule.CLEAN_EXIT,
    late_exit: Rule.CLEAN_EXIT,
    crash: Rule.CRASH,
    never_ready: Rule.READY,
    rejected_by_a_healthy_fleet: Rule.WELL_FLEET,
    stalled_client_not_closed: Rule.STOPPED,
    over_the_memory_limit: Rule.MEMORY,
    own_check: Rule.OWN_CHECK,
}


@pytest.mark.parametrize("break_rule", EXPECTED_RULES, ids=lambda break_rule: break_rule.__name__)
def test_each_kind_of_breach_is_reported_as_its_rule_only(break_rule):
    history = copy.deepcopy(clean_history())
    break_rule(history)
    assert {breach.rule for breach in judge(history, TERMS)} == {EXPECTED_RULES[break_rule]}


def test_every_rule_is_covered_by_a_breach():
    assert set(EXPECTED_RULES.values()) == set(Rule)


def test_a_close_is_excused_only_by_a_kill_or_an_unread_request_on_a_reused_connection():
    history = clean_history()
    closed_without_answer(history)
    history.process_events.insert(2, process_event(ProcessState.KILLED, 10.05, pid=2))
    history.process_events.insert(2, process_event(ProcessState.STARTED, 0.0, pid=2))
    history.process_events.insert(3, process_event(ProcessState.READY, 0.5, pid=2))
    assert judge(history, TERMS) == []  # the process was killed while the request was open
    history.requests[0].begun_at = history.requests[0].sent = 10.2
    history.requests[0].finished = 10.3
    assert [breach.rule for breach in judge(history, TERMS)] == [Rule.NOT_CLOSED]
    history.requests[0].reused_connection = True
    history.attempts.pop(0)
    # The request was unread on a reused connection, so its client sends it again.
    assert judge(history, TERMS) == []


def test_two_sends_of_a_request_are_told_apart_by_the_send_number_that_the_worker_got():
    # Guards against counting the attempt of the second send for the first, which was closed unread.
    history = clean_history()
    closed_without_answer(history)
    history.requests[0].reused_connection = True
    history.attempts[0] = attempt("a", at=10.102, send_number=2)
    history.requests.append(request("a", at=10.101, send_number=2))
    assert judge(history, TERMS) == []
    # The first send was read and forwarded before the close.
    history.attempts.append(attempt("a", at=10.01, finished=10.05, send_number=1))
    assert [breach.rule for breach in judge(history, TERMS)] == [Rule.NOT_CLOSED]
    # Half of the request was forwarded.
    history.attempts[-1].send_number, history.attempts[-1].received_at = 0, None
    assert [breach.rule for breach in judge(history, TERMS)] == [Rule.NOT_CLOSED]


def test_a_key_that_comes_after_the_time_of_its_client_is_a_new_request():
    history = clean_history()
    history.requests.append(request("b2", "save", at=16.0))
    history.attempts.append(attempt("b2", "save", at=16.1, cell=1))
    history.attempts[-1].key = "k-b"
    assert judge(history, TERMS) == []


def test_a_hold_up_excuses_a_late_repeat_only_beyond_what_the_rules_allow_for():
    # Guards against an oracle that takes a pause which the dispatcher has to cover for an excuse.
    for pause, rules in ((0.15, [Rule.KEYED_WINDOW]), (0.4, [])):
        history = clean_history()
        history.requests[1].client_timeout, history.requests[1].finished = 10.0, 14.0
        history.attempts.append(attempt("b", "save", at=13.2))
        history.process_events.insert(2, process_event(ProcessState.PAUSED, 12.7))
        history.process_events.insert(3, process_event(ProcessState.RESUMED, 12.7 + pause))
        assert [breach.rule for breach in judge(history, TERMS)] == rules


def test_a_seed_draws_the_same_plan_and_faults_overlap():
    assert draw(7) == draw(7)
    assert draw(7) != draw(8)
    plans = [draw(seed) for seed in range(60)]
    assert {fault.kind for run_plan in plans for fault in run_plan.faults} == set(Kind)
    assert sum(bool(overlapping(run_plan.faults)) for run_plan in plans) > 50
    first = draw(3)
    without_first = draw(3, leave_out=(0,))
    assert [fault.number for fault in without_first.faults] == [
        fault.number for fault in first.faults if fault.number
    ]
