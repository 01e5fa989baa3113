"""Writes the fixtures of test_compatibility.py with the current code.

The directory of the fixtures is named after the version that wrote them. Run this on that version only, never
to make a failing test pass. In the repository's root: `PYTHONPATH=. python tests/make_fixtures.py`.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

import fixture_configuration as configuration
import fixture_conversation as conversation
import fixture_messages as messages
import fixture_service as service
import fixture_simulator as simulator
import fixture_stores as stores
import fixture_traces as traces
import trio
from fixture_files import DIRECTORY, write_encoded, write_file, write_json

from yewrill.tracing import reading


def write_messages() -> None:
    write_encoded("members", messages.members_datagrams())
    write_encoded("parts", messages.parts())
    write_encoded("views", messages.view_messages())
    write_json("views_agreed", messages.derived_view_values())
    write_encoded("zones", messages.zone_messages())
    write_encoded("ownership", messages.ownership_messages())
    write_encoded("ownership_states", messages.ownership_states())
    write_encoded("calendar", messages.calendar())


def write_simulator() -> None:
    sent, received = simulator.record_session()
    write_file("simulator_in.jsonl", sent)
    write_file("simulator_out.jsonl", received)
    write_json("simulator_events", [simulator.event_values(event) for event in simulator.EVENTS])
    write_json("simulator_actions", simulator.action_lines())
    write_json(
        "simulator_settings",
        [
            simulator.settings_values(site)
            for site in (simulator.FULL_SETTINGS, simulator.MINIMAL_SETTINGS)
        ],
    )
    write_json("load_reports", simulator.load_reports())


def write_stores() -> None:
    with tempfile.TemporaryDirectory() as directory, stores.fixed_clock_and_randomness():
        path = Path(directory)
        stores.write_voter(path / stores.VOTER)
        stores.write_compacted(path / stores.COMPACTED)
        trio.run(stores.write_persisted_view, path / stores.VIEW)
        trio.run(stores.write_state, path / stores.STATE)
        for name in stores.DIRECTORIES:
            stores.save_directory(path / name, name)
        rows = {name: stores.rows_of(path / name) for name in stores.DIRECTORIES}
        recovered = [
            trio.run(stores.recover_state, path / stores.STATE, clocks)
            for clocks in (stores.LATER, stores.REBOOTED)
        ]
    write_json("store_rows", rows)
    write_json("state_recovered", recovered)


def write_traces() -> None:
    (DIRECTORY / "traces.jsonl").unlink(missing_ok=True)
    traces.write_trace_file(DIRECTORY / "traces.jsonl")
    found = list(reading.read([str(DIRECTORY / "traces.jsonl")]))
    write_json("traces_told", traces.formatted_records(found))
    write_json("traces_headers", traces.record_requests().headers)
    write_json("traces_endings", traces.outcome_names())
    write_file("traces_report.html", traces.report_of(found))
    write_file("traces.otlp", traces.otlp_body(found))


def write_service() -> None:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory)
        write_json("management", trio.run(service.management, path / "management"))
        write_json("as_elder", trio.run(service.run_as_old_process, path / "elder"))
        write_json("as_heir", trio.run(service.run_as_new_process, path / "heir"))
    write_json("link_names", service.link_names())


def write_configuration() -> None:
    write_json("configuration", configuration.configuration_values())
    write_json("reload_ignored", configuration.reload_ignored())
    write_json("destinations", configuration.endpoint_values())


def write_conversations() -> None:
    write_json("members_said", conversation.member_conversation())
    write_json("views_said", conversation.view_conversation())
    write_json("ownership_said", conversation.ownership_conversation())


def main() -> None:
    write_messages()
    write_simulator()
    write_stores()
    write_traces()
    write_service()
    write_configuration()
    write_conversations()
    print(f"written: {DIRECTORY}")


if __name__ == "__main__":
    main()
