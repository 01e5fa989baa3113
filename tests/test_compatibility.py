"""Compatibility with version f4043a5: the code writes the same bytes to network and disk, and reads them.

The expected bytes are stored under tests/fixtures, and no test regenerates them. The tests guard against a
change that makes dispatchers of two versions misread each other's messages, or a new version its old files.
"""

from __future__ import annotations

import fixture_configuration as configuration
import fixture_conversation as conversation
import fixture_messages as messages
import fixture_service as service
import fixture_simulator as simulator
import fixture_stores as stores
import fixture_traces as traces
import msgspec
import orjson
import pytest
import trio
from fixture_files import DIRECTORY, read_encoded, read_file, read_json
from helper import trio_test

from yewrill.dispatch.attempt_log import RETRIED_OUTCOMES, SEND_DELAY_BUCKETS_MS
from yewrill.leases import format as ownership
from yewrill.leases import lease_table, raft, raft_types, states
from yewrill.leases.format import unpack as read_ownership
from yewrill.membership.format import DatagramRejected, UnknownRun
from yewrill.membership.parts import FragmentAssembler
from yewrill.reservations import asking
from yewrill.reservations.book import Book
from yewrill.store.commands import check_all
from yewrill.store.files import RealFiles
from yewrill.tracing import reading
from yewrill.views.format import (
    MessageAssembler,
    decode_bitmap,
    decode_round,
    decode_tally,
    decode_vote,
)
from yewrill.views.view import PersistedView
from yewrill.zone_failover.format import unpack as read_zones

# -- members


def test_membership_datagrams_encode_to_the_stored_bytes():
    assert messages.members_datagrams() == read_encoded("members")


def test_membership_datagrams_decode_from_the_stored_bytes():
    stored = {label: parts[0] for label, parts in read_encoded("members").items()}
    receiver, sender = messages.receiving_codec(), messages.sending_codec()
    with pytest.raises(UnknownRun) as unknown_run:
        receiver.decode(stored["to a stranger"], messages.SENDER_ADDRESS)
    assert unknown_run.value.run == messages.SENDER_RUN
    # The hello is signed with a key that the sender lacks.
    with pytest.raises(DatagramRejected, match="code"):
        sender.decode(stored["hello"], messages.RECEIVER_ADDRESS)
    for label, message in messages.DATAGRAMS:
        found = receiver.decode(stored[label], messages.SENDER_ADDRESS)
        assert found == ("alpha", message), label
    _, full = receiver.decode(stored["as much as fits"], messages.SENDER_ADDRESS)
    assert full.updates == messages.MANY_CLAIMS[: len(full.updates)] and len(full.updates) > 10
    with pytest.raises(DatagramRejected, match="replay"):
        receiver.decode(stored["ping"], messages.SENDER_ADDRESS)


def test_payloads_split_to_the_stored_fragments_and_reassemble():
    stored = read_encoded("parts")
    assert messages.parts() == stored
    for label, payload, _ in messages.PAYLOADS:
        assembler = FragmentAssembler()
        *before, last = [assembler.take("alpha", part) for part in stored[label]]
        assert last == payload and not any(before), label


# -- views


def test_view_messages_encode_to_the_stored_bytes():
    assert messages.view_messages() == read_encoded("views")


def test_view_messages_decode_from_the_stored_bytes():
    stored, size = read_encoded("views"), len(messages.ENTRIES)
    for label, message in messages.VIEW_MESSAGES:
        parts = MessageAssembler()
        assert [parts.take("d01", part) for part in stored[label]][-1] == message, label
    parts = MessageAssembler()
    beat = [parts.take("d01", part) for part in stored["beat, whole"]][-1]
    assert decode_round(beat.round, size) == messages.ROUND
    assert decode_vote(beat.vote, size) == messages.VOTE_STATE
    assert decode_tally(beat.tally, messages.VOTE_STATE, size) == messages.VOTE_STATE
    assert msgspec.msgpack.decode(stored["kept"][0], type=PersistedView) == messages.PERSISTED_VIEW


def test_values_derived_from_a_view_equal_the_stored_ones():
    stored = read_json("views_agreed")
    assert messages.derived_view_values() == stored
    widths = ((0, 3), (5, 14), (1 << 200, 300), ((1 << 300) - 2, 300))
    read = [
        decode_bitmap(bytes.fromhex(bitmap), width)
        for bitmap, (_, width) in zip(stored["bitmaps"], widths, strict=True)
    ]
    assert read == [value for value, _ in widths]


# -- zones


def test_zone_messages_encode_to_the_stored_bytes():
    assert messages.zone_messages() == read_encoded("zones")


def test_zone_messages_decode_from_the_stored_bytes():
    stored = read_encoded("zones")
    for label, message in messages.ZONE_MESSAGES:
        found = read_zones(stored[label][0])
        if message.plan is None:
            assert found == message, label
        else:
            assert found.version == message.version == found.plan.version
            assert (found.plan.number, found.plan.zones) == (
                message.plan.number,
                message.plan.zones,
            )


# -- ownership


def test_ownership_messages_encode_to_the_stored_bytes():
    assert messages.ownership_messages() == read_encoded("ownership")


def test_ownership_messages_decode_from_the_stored_bytes():
    stored = read_encoded("ownership")
    for label, message in messages.OWNERSHIP_MESSAGES:
        assert read_ownership(stored[label][0]) == message, label
    assert len(stored) == len(messages.OWNERSHIP_MESSAGES) == 17
    assert {type(message) for _, message in messages.OWNERSHIP_MESSAGES} >= {
        ownership.Request,
        ownership.Reply,
        ownership.Submit,
        ownership.Submitted,
    }


def test_recovering_voter_installs_the_stored_snapshot_and_votes_once_confirmed():
    stored = read_encoded("ownership")
    voter = raft.Raft(
        "d02",
        500,
        raft_types.PersistentRaftState(snapshot=raft_types.Snapshot(0, 0, messages.VOTERS)),
    )
    # Both other voters hold more of the log than this one, so this voter has lost the end of its log.
    for name in ("d00", "d01"):
        voter.receive(
            raft_types.RaftMessage(
                "remember", name, "d02", 8, 4, number=500, index=40, entry_term=3
            )
        )
    voter.receive(read_ownership(stored["log: snapshot"][0]))
    out = voter.take()
    assert out.installed == messages.SNAPSHOT and out.messages[-1].kind == "appended"
    assert voter.lost_tail and not voter.is_voting
    voter.receive(
        raft_types.RaftMessage("confirm", "d00", "d02", 8, 4, number=500, index=40, entry_term=3)
    )
    assert voter.is_voting


def test_log_entries_and_snapshots_encode_to_the_stored_bytes_and_decode():
    stored = read_encoded("ownership_states")
    assert messages.ownership_states() == stored
    assert lease_table.unpack_command(stored["command"][0]) == (5000, messages.COMMAND)
    entry = stored["entry of a state machine"][0]
    assert states.unpack_entry(entry) == (6000, "calendar", b"entry")
    assert lease_table.LeaseTable.unpack(stored["duties"][0]) == messages.applied_leases()
    found, missing = states.restore_all(stored["snapshot without machines"][0], {})
    assert (found, missing) == (messages.applied_leases(), "")
    machine = messages.LastEntryMachine()
    found, missing = states.restore_all(stored["snapshot with a machine"][0], {"calendar": machine})
    assert (found, missing, machine.data) == (messages.applied_leases(), "", b"kept")


def test_calendar_entries_results_and_book_encode_to_the_stored_bytes_and_decode():
    stored = read_encoded("calendar")
    assert messages.calendar() == stored
    for label, entry in messages.CALENDAR_ENTRIES:
        data, result = stored[label]
        assert asking.read_entry(data) == entry, label
        assert asking.encode(asking.read_result(result)) == result, label
    results = [asking.read_result(stored[label][1]) for label, _ in messages.CALENDAR_ENTRIES]
    assert {type(result) for result in results} == {
        asking.Booked,
        asking.Refused,
        asking.Done,
    }
    book = Book(messages.CALENDAR)
    book.restore(stored["book"][0])
    assert book.pack() == stored["book"][0]


# -- the simulator's protocol


IDENTICAL_LINES = 365  # out of 467 lines of the session


def _message_forms(lines):
    """Returns the set of message kinds, each with its fields in their order."""
    messages = [orjson.loads(line) for line in lines]
    return {(message["what"], *message) for message in messages}


def test_recorded_simulator_session_gets_the_stored_responses():
    # Identical to f4043a5 up to a request that f4043a5 rejected since its ratio of costs grew without bound.
    # From there on identical to 305f3d8, with the message kinds and fields of f4043a5.
    sent, before = read_file("simulator_in.jsonl"), read_file("simulator_out.jsonl").splitlines()
    expected = (DIRECTORY.parent / "305f3d8" / "simulator_out.jsonl").read_bytes()
    replayed = simulator.replay(sent)
    assert replayed.splitlines() == expected.splitlines()
    assert replayed == expected
    assert replayed.splitlines()[:IDENTICAL_LINES] == before[:IDENTICAL_LINES]
    assert _message_forms(replayed.splitlines()) == _message_forms(before)
    assert {orjson.loads(line)["what"] for line in sent.splitlines()} == {
        "Tick",
        "End",
        "Boot",
        "Destroy",
        "Inbound",
        "ClosedAttempt",
        "Interim",
        "Elapsed",
        "Pong",
        "First",
        "Registry",
        "TimedOutClient",
        "Whisper",
    }


def test_simulator_events_decode_to_the_stored_values():
    stored = read_json("simulator_events")
    for event, values in zip(simulator.EVENTS, stored, strict=True):
        assert simulator.event_values(event) == values, event


def test_simulator_actions_encode_to_the_stored_lines():
    assert simulator.action_lines() == read_json("simulator_actions")


def test_simulator_settings_decode_to_the_stored_values():
    whole, least = read_json("simulator_settings")
    assert simulator.settings_values(simulator.FULL_SETTINGS) == whole
    assert simulator.settings_values(simulator.MINIMAL_SETTINGS) == least


def test_load_reports_parse_to_the_stored_values():
    assert simulator.load_reports() == read_json("load_reports")


# -- stores


@pytest.mark.parametrize("name", stores.DIRECTORIES)
def test_stored_directory_verifies_and_has_the_stored_rows(name, tmp_path):
    path = stores.copy_directory(name, tmp_path)
    findings, read = check_all(RealFiles(path, make=False))
    files = [file for file in path.iterdir() if file.name != "MANIFEST"]
    assert findings == [] and read == sum(file.stat().st_size for file in files) > 0
    assert stores.rows_of(path) == read_json("store_rows")[name]
    assert not (path / "quarantine").exists()


@pytest.mark.parametrize("name", stores.DIRECTORIES)
def test_stored_directory_without_hints_and_manifest_has_the_stored_rows(name, tmp_path):
    path = stores.copy_directory(name, tmp_path)
    for file in (*path.glob("*.hint"), path / "MANIFEST"):
        file.unlink()
    assert stores.rows_of(path) == read_json("store_rows")[name]


@pytest.mark.parametrize("name", stores.DIRECTORIES)
def test_files_of_a_store_reencode_to_the_same_bytes(name):
    files = sorted((DIRECTORY / name).iterdir())
    assert {file.suffix for file in files} == {"", ".hint", ".seg"}
    for file in files:
        assert stores.reencoded(file) == file.read_bytes(), file.name


def test_written_stores_have_the_stored_rows(tmp_path):
    stored = read_json("store_rows")
    trio.run(stores.write_state, tmp_path / stores.STATE)
    stores.write_voter(tmp_path / stores.VOTER)
    trio.run(stores.write_persisted_view, tmp_path / stores.VIEW)
    stores.write_compacted(tmp_path / stores.COMPACTED)
    for name in stores.DIRECTORIES:
        assert stores.rows_of(tmp_path / name) == stored[name], name


@pytest.mark.parametrize(("clocks", "at"), [(stores.LATER, 0), (stores.REBOOTED, 1)])
def test_dispatcher_state_is_recovered_from_the_stored_directory(clocks, at, tmp_path):
    path = stores.copy_directory(stores.STATE, tmp_path)
    assert trio.run(stores.recover_state, path, clocks) == read_json("state_recovered")[at]


def test_voter_log_is_recovered_from_the_stored_directory(tmp_path):
    path = stores.copy_directory(stores.VOTER, tmp_path)
    found = stores.recover_voter(path)
    assert found == (stores.DISK, stores.INCARNATION, stores.FENCES)
    assert {entry.kind for entry in found[0].log} == {"nothing", "order", "voters", "state"}


def test_persisted_view_is_recovered_from_the_stored_directory(tmp_path):
    path = stores.copy_directory(stores.VIEW, tmp_path)
    assert stores.recover_persisted_view(path) == messages.PERSISTED_VIEW


# -- traces


def read_stored_traces() -> list[reading.Record]:
    return list(reading.read([str(DIRECTORY / "traces.jsonl")]))


def test_trace_file_is_written_with_the_stored_bytes(tmp_path):
    traces.write_trace_file(tmp_path / "traces.jsonl")
    written = (tmp_path / "traces.jsonl").read_bytes()
    assert written.splitlines() == read_file("traces.jsonl").splitlines()
    assert written == read_file("traces.jsonl")


def test_stored_trace_file_is_formatted_as_the_stored_output():
    found = read_stored_traces()
    assert traces.formatted_records(found) == read_json("traces_told")
    assert traces.report_of(found) == read_file("traces_report.html")
    kept = {cause for record in found for cause in record["kept"]}
    assert kept == {"sampled", "asked", "late", "refused", "failed", "retried", "left"}


def test_stored_traces_encode_to_the_stored_otlp_request():
    assert traces.otlp_body(read_stored_traces()) == read_file("traces.otlp")


def test_attempts_have_the_stored_trace_headers():
    found = [[list(header) for header in headers] for headers in traces.record_requests().headers]
    assert found == read_json("traces_headers")


def test_attempt_outcomes_have_the_stored_names():
    assert traces.outcome_names() == read_json("traces_endings")


# -- the management listener

ADDED_METRICS = [  # metrics that f4043a5 did not have
    ["app.held_back.window_over", "c"],
    ["app.held_back.repeats_another", "c"],
    *([f"app.retries.{outcome.name.lower()}", "c"] for outcome in RETRIED_OUTCOMES),
    *([f"app.send_delay_ms.le_{bound}", "c"] for bound in SEND_DELAY_BUCKETS_MS),
    ["app.send_delay_ms.all", "c"],
    ["app.unfinished_requests_evicted", "c"],
    ["app.attempts_forgotten", "c"],
    ["app.load_level_changes", "c"],
    *(
        [f"app.{name}", "g"]
        for name in (
            "remembered_attempts",
            "input_bytes",
            "load_level",
            "gapped_levels",
            "drain_time_ms",
            "available_slots",
        )
    ),
    *(
        [f"app.{name}.{request_class}", "g"]
        for request_class in ("tour", "save", "once")
        for name in ("run_time_ms", "time_constraint_ms")
    ),
]


@trio_test
async def test_management_listener_has_the_stored_calls_metrics_and_statuses(tmp_path):
    paths, metrics, statuses, answers = await service.management(tmp_path)
    stored_paths, stored_metrics, stored_statuses, stored_answers = read_json("management")
    assert paths == stored_paths
    assert [metric for metric in metrics if metric not in ADDED_METRICS] == stored_metrics
    assert [metric for metric in metrics if metric in ADDED_METRICS] == ADDED_METRICS
    for status, stored in zip(statuses, stored_statuses, strict=True):
        assert status == stored
    for answer, stored in zip(answers, stored_answers, strict=True):
        assert answer == stored


# -- the link between the two processes of a hot restart


@trio_test
async def test_old_process_sends_the_stored_lines_and_accepts_those_received(tmp_path):
    assert await service.run_as_old_process(tmp_path) == read_json("as_elder")


@trio_test
async def test_new_process_sends_the_stored_lines_and_accepts_those_received(tmp_path):
    assert await service.run_as_new_process(tmp_path) == read_json("as_heir")


def test_hot_restart_socket_has_the_stored_path():
    assert service.link_names() == read_json("link_names")


# -- the configuration file


def test_configuration_keys_are_read_to_the_stored_values():
    stored = read_json("configuration")
    for values, before in zip(configuration.configuration_values(), stored, strict=True):
        assert values == before


def test_reload_reports_the_stored_ignored_keys():
    assert configuration.reload_ignored() == read_json("reload_ignored")


def test_endpoint_list_is_read_to_the_stored_values():
    assert configuration.endpoint_values() == read_json("destinations")


# -- all messages of three members from their start


def test_members_exchange_the_stored_datagrams():
    assert conversation.member_conversation() == read_json("members_said")


def test_view_members_exchange_the_stored_messages():
    assert conversation.view_conversation() == read_json("views_said")


def test_voters_and_owners_exchange_the_stored_messages():
    assert conversation.ownership_conversation() == read_json("ownership_said")
