"""The log and the metrics tell, at the default level, why a request was retried or given up."""

import logging

from helper import SETTINGS, ScriptedWorker, done, running_service, trio_test


async def reset(exchange):
    await exchange.send_message("started")
    exchange.reset()


def _resets_first(count: int):
    async def script(exchange):
        if len(seen) < count:
            seen.append(exchange)
            await reset(exchange)
        else:
            await done(exchange)

    seen: list = []
    return script


@trio_test
async def test_a_keyed_retry_is_logged_with_its_reason_and_what_is_left_of_the_window(caplog):
    """Guards against an incident whose log does not mention the request."""
    caplog.set_level(logging.INFO)
    script = _resets_first(1)
    workers = [ScriptedWorker("d1", script), ScriptedWorker("d2", script)]
    async with running_service(*workers, mgmt="127.0.0.1:0") as harness:
        assert (await harness.ask("/save", X_Request_ID="r1", Idempotency_Key="k")).status == 200
        [failed] = [line for line in caplog.messages if line.startswith("attempt_failed ")]
        assert "request=r1" in failed and "outcome=reset" in failed
        [line] = [line for line in caplog.messages if line.startswith("attempt_repeated ")]
        assert " request=r1 class=save key=" in line and " last_outcome=reset " in line
        left = float(line.partition("window_left_ms=")[2].split()[0])
        assert 0.0 < left <= SETTINGS["request_classes"][1]["window"]
        metrics = (await harness.call("GET /_vars")).body.decode()
        assert "app.retries.reset:1|c" in metrics
        assert "app.send_delay_ms.all:2|c" in metrics


@trio_test
async def test_a_request_that_is_given_up_after_an_attempt_is_logged_with_the_reason(caplog):
    """Guards against a failure of which the log tells neither the attempt nor the reason."""
    caplog.set_level(logging.INFO)
    async with running_service(ScriptedWorker("d1", reset)) as harness:
        assert (await harness.ask("/once", X_Request_ID="r1")).status == 502
        [line] = [line for line in caplog.messages if line.startswith("request_given_up ")]
        assert "request=r1 class=once " in line and " last_outcome=reset " in line
        assert " answer=failed reason=" in line


@trio_test
async def test_an_idempotent_retry_is_counted_and_not_logged_at_the_default_level(caplog):
    caplog.set_level(logging.INFO)
    script = _resets_first(1)
    workers = [ScriptedWorker("d1", script), ScriptedWorker("d2", script)]
    async with running_service(*workers) as harness:
        assert (await harness.ask("/tour")).status == 200
        assert not [line for line in caplog.messages if line.startswith("attempt_")]
        assert harness.service.worker_client.attempt_log.metrics()["retries.reset"] == 1
