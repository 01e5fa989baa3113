"""Runs the installations of test_cluster.py in processes of their own while all other tests run."""

import os
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import known_red
import pytest

from yewrill.lab.cluster.commands import run_scenario

CLUSTER_TESTS = "test_cluster.py"


def pytest_collection_modifyitems(config, items):
    # In a single process the tests of the installations come last: by then most runs have ended. With xdist
    # they come first, so that the runs begin at once.
    side_by_side = hasattr(config, "workerinput")
    items.sort(key=lambda item: (item.path.name == CLUSTER_TESTS) is not side_by_side)
    known_red.mark(config, items, known_red.read_known_red(known_red.KNOWN_RED_FILE.read_text()))


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item):
    report = yield
    known_red.count_broken_setup(item, report)
    return report


def pytest_terminal_summary(terminalreporter):
    """Names every known failing test, so that a green run does not hide it."""
    entries = known_red.read_known_red(known_red.KNOWN_RED_FILE.read_text())
    for line in known_red.summary(entries, terminalreporter.stats):
        terminalreporter.write_line(line)


def needs_scenario_results(item) -> bool:
    """Tells whether a test needs the results of installations."""
    return item.path.name == CLUSTER_TESTS and "breaches_of" in item.fixturenames


@pytest.fixture(scope="session", autouse=True)
def _start_installations_early(request):
    """Starts the installations with the session, so that they run while other tests do.

    With xdist (which distributes by file) the process that has their tests starts them itself.
    """
    side_by_side = "PYTEST_XDIST_WORKER" in os.environ
    if not side_by_side and any(map(needs_scenario_results, request.session.items)):
        request.getfixturevalue("scenario_results")


@pytest.fixture(scope="session")
def scenario_results(tmp_path_factory):
    """Futures of the audit of each scenario, and of each kind of broken dispatchers, by name.

    A few run at once, each in a process of its own, since all traffic of an installation passes through it.
    """
    from test_cluster import EXPECTED_BREACHES, SCENARIOS_UNDER_TEST, run_broken_dispatchers

    pool = ProcessPoolExecutor(4, get_context("spawn"))
    try:
        futures = {
            fault: pool.submit(run_broken_dispatchers, fault, tmp_path_factory.mktemp(fault))
            for fault in EXPECTED_BREACHES
        }
        yield futures | {
            name: pool.submit(run_scenario, name, tmp_path_factory.mktemp(name), 1)
            for name in SCENARIOS_UNDER_TEST
        }
    finally:
        pool.shutdown(cancel_futures=True)
