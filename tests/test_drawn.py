"""The dispatcher starts with any valid settings and keeps the rules for retries and answers.

Settings of deployments are generated at random, and the workers end attempts in random ways. The tests guard
against rules that hold only for the settings used elsewhere in the tests.
"""

import random
import string

import trio
from helper import SETTINGS, ScriptedWorker, mock_clock_test, running_service
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

NEVER_RAN = ("returned", "turned away")  # ends of attempts that certainly did not run
ENDS = ["done", "done", "failed", "reset", "reset", "lost", "garbled", "half", "silent", *NEVER_RAN]
NAMES = st.text(string.ascii_letters + string.digits + "._-", min_size=1, max_size=24)


@st.composite
def classes(draw):
    """Generates a list of request classes in the form of the settings file."""
    found = []
    for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True)):
        deadline = draw(st.sampled_from([150.0, 400.0, 1200.0]))
        found.append(
            {
                "name": name,
                "deadline": deadline,
                "aim": deadline * draw(st.sampled_from([0.05, 0.4, 1.0])),
                "repeat": draw(st.sampled_from(["pure", "token", "token", "side_effect"])),
                "group": draw(st.sampled_from(["all", "zone", "cell", "cell"])),
                "window": draw(st.sampled_from([200.0, 5000.0, 40000.0])),
                "value": draw(st.sampled_from([0.0, 1.0, 10.0])),
                "late_value": draw(st.sampled_from([0.0, 0.5])),
            }
        )
    return found


@st.composite
def customers(draw):
    """Generates the settings of a deployment."""
    tenants = draw(st.lists(NAMES, max_size=8, unique=True))
    return {
        **SETTINGS,
        "request_classes": draw(classes()),
        "areas": ["room", *draw(st.lists(NAMES, max_size=3, unique=True))],
        "kinds": ["std", *draw(st.lists(NAMES, max_size=2, unique=True))],
        "parties": [
            {
                "name": name,
                "quota_per_s": draw(st.sampled_from([0.0, 5.0, 1000.0])),
                "share": 1.0 / len(tenants),
            }
            for name in tenants
        ],
        "instances": draw(st.sampled_from([1, 2, 5, 30, 200])),
        "index": 0,
        "registry_mode": draw(st.sampled_from(["push", "ask"])),
        "counted_by": draw(st.sampled_from(["work", "request"])),
        "limits": {
            "try_limit": draw(st.integers(1, 6)),
            "connect_timeout": draw(st.sampled_from([50.0, 150.0, 1000.0])),
            "idle_close": draw(st.sampled_from([1000.0, 30000.0])),
            "max_retry_after": 2000.0,
            "retry_after": draw(st.booleans()),
            "may_probe": draw(st.booleans()),
            "cancel": draw(st.booleans()),
        },
        "specifics": {
            "tells_start": draw(st.booleans()),
            "progress": draw(st.sampled_from([0.0, 300.0])),
            "queue_order": "fifo",
        },
        "rules": {
            **SETTINGS["rules"],
            "fall_multiple": draw(st.sampled_from([0.5, 2.5, 4.0])),
            "stop_sending_within": draw(st.sampled_from([0.0, 250.0, 3000.0])),
        },
    }


class AttemptRecorder:
    """Records the attempts at all workers: cell of the worker, times, and the way each was made to end."""

    def __init__(self, seed: int):
        self.seed = seed
        self.attempts: dict[str, list[dict]] = {}

    def script(self, cell: int):
        async def run(exchange):
            attempts = self.attempts.setdefault(exchange.id, [])
            how = random.Random(f"{self.seed} {exchange.id} {len(attempts)}").choice(ENDS)
            seen = {"at": trio.current_time(), "cell": cell, "how": how, "over": None}
            attempts.append(seen)
            try:
                await END[how](exchange)
                if how in ("garbled", "half", "silent", "lost"):
                    await exchange.wait_closed()
            finally:
                seen["over"] = trio.current_time()

        return run


async def half(exchange):
    await exchange.stream.send_all(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30\r\n{"id":'
    )


async def silent(exchange):
    pass


async def resets(exchange):
    exchange.reset()


END = {
    "done": lambda exchange: exchange.done(result=f"for {exchange.id}"),
    "failed": lambda exchange: exchange.send_status(500),
    "reset": resets,
    "half": half,
    "silent": silent,
    "lost": lambda exchange: exchange.send_message("lost"),
    "garbled": lambda exchange: exchange.send_raw("{]\n"),
    "returned": lambda exchange: exchange.send_message("returned"),
    "turned away": lambda exchange: exchange.send_status(503, "X-Not-Processed: 1"),
}


def check_rules(request_class: dict, tries: int, attempts: list[dict], status: int) -> None:
    """Checks the rules for one request, by its recorded attempts and the status that its client received."""
    assert len(attempts) <= tries
    ran = [a for a in attempts if a["how"] not in NEVER_RAN]
    for before, after in zip(attempts, attempts[1:], strict=False):
        assert before["over"] is not None and before["over"] <= after["at"], (
            "two attempts at the same time"
        )
    if request_class["repeat"] == "side_effect":
        assert len(ran) <= 1 and (not ran or ran[-1] is attempts[-1]), (
            "sent again although it may have run"
        )
    if request_class["repeat"] == "token" and ran:
        after = attempts[attempts.index(ran[0]) :]
        assert after[-1]["at"] - ran[0]["at"] <= request_class["window"] / 1000.0, (
            "sent after its window"
        )
        if request_class["group"] == "cell":
            assert len({a["cell"] for a in after}) == 1, "sent outside its group"
    must_not_be_rejected = request_class["repeat"] == "side_effect" or (
        request_class["repeat"] == "token" and request_class["group"] != "all"
    )
    assert not (status in (429, 503) and ran and must_not_be_rejected), (
        "rejected although it may have run"
    )
    assert (status == 200) == bool(attempts and attempts[-1]["how"] == "done")


@settings(
    max_examples=16,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(customer=customers(), seed=st.integers(0, 2**32))
def test_any_customers_settings_start_the_program_and_every_rule_is_kept(customer, seed):
    played(customer=customer, seed=seed)


@mock_clock_test
async def played(customer, seed):
    recorder = AttemptRecorder(seed)
    workers = [ScriptedWorker(f"d{i}", recorder.script(i // 2), cell=i // 2) for i in range(4)]
    async with running_service(*workers, settings=customer) as harness:

        async def send_one(i: int, request_class: dict) -> None:
            id, began = f"r{i}-{request_class['name']}", trio.current_time()
            tenants = [party["name"] for party in customer["parties"]]
            tenant = tenants[i % len(tenants)] if tenants else None
            timeout = request_class["deadline"]
            reply = await harness.ask(
                f"/{request_class['name']}",
                X_Request_ID=id,
                X_Tenant_Id=tenant,
                X_Timeout_Ms=f"{timeout:.0f}",
                Idempotency_Key=f"k{i}",
            )
            assert trio.current_time() - began <= timeout / 1000.0
            check_rules(
                request_class,
                customer["limits"]["try_limit"],
                recorder.attempts.get(id, []),
                reply.status,
            )
            if reply.status == 200:
                assert reply.body == f"for {id}".encode()

        async with trio.open_nursery() as nursery:
            for i in range(5):
                for request_class in customer["request_classes"]:
                    nursery.start_soon(send_one, i, request_class)
        while harness.service.engine.pending or harness.service.open_requests.ids:
            await trio.sleep(0.05)
        assert (await harness.ask("/up", method="GET")).status == 200
