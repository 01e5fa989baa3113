"""The rig's installations are played by processes of their own while all other tests run."""

import os
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import known_red
import pytest

from yewrill.lab.cluster.commands import run_scenario

RIG = "test_cluster.py"


def pytest_collection_modifyitems(config, items):
    # In one process last: by then most have been played. Side by side first, so that they begin at once.
    side_by_side = hasattr(config, "workerinput")
    items.sort(key=lambda item: (item.path.name == RIG) is not side_by_side)
    known_red.mark(config, items, known_red.read_known_red(known_red.FILE.read_text()))


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item):
    report = yield
    known_red.count_broken_setup(item, report)
    return report


def pytest_terminal_summary(terminalreporter):
    """Name every known failing test, so that a green run does not hide it."""
    entries = known_red.read_known_red(known_red.FILE.read_text())
    for line in known_red.summary(entries, terminalreporter.stats):
        terminalreporter.write_line(line)


def plays_installations(item) -> bool:
    """Whether a test waits for what the rig's installations come to."""
    return item.path.name == RIG and "histories" in item.fixturenames


@pytest.fixture(scope="session", autouse=True)
def _installations_begin_early(request):
    """In one process, the installations play while all other tests run; side by side (by files), the process
    that has their tests begins with them."""
    side_by_side = "PYTEST_XDIST_WORKER" in os.environ
    if not side_by_side and any(map(plays_installations, request.session.items)):
        request.getfixturevalue("playing")


@pytest.fixture(scope="session")
def playing(tmp_path_factory):
    """By name, what will be what the auditor says of each scenario as it is, and of each broken dispatcher: a
    few played at once, each by a process of its own, since all that its parties say goes through it."""
    from test_cluster import BROKEN, PLAYED, broken

    pool = ProcessPoolExecutor(4, get_context("spawn"))
    try:
        played = {how: pool.submit(broken, how, tmp_path_factory.mktemp(how)) for how in BROKEN}
        yield played | {
            name: pool.submit(run_scenario, name, tmp_path_factory.mktemp(name), 1)
            for name in PLAYED
        }
    finally:
        pool.shutdown(cancel_futures=True)
