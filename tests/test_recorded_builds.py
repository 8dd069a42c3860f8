"""Messages, log records and snapshots that earlier builds have written."""

from pathlib import Path
from random import Random

import cbor2
import msgspec
import pytest

from cranberryfield.control.features import decode_log_command
from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.control.recovery import encode_state, recover_replica
from cranberryfield.control.storage.records import scan_records
from cranberryfield.core.features import SUPPORTED_LEVEL
from cranberryfield.core.messages.codec import (
    Envelope,
    EnvelopeKind,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
)
from cranberryfield.core.messages.consensus import JoinGroup
from cranberryfield.core.messages.links import Failure
from standins.recorded_folder import (
    FINAL_STATE,
    GROUP,
    MEMBERS,
    NODE,
    TERM,
    write_folder,
)
from standins.recorded_messages import is_extension, message_kinds, read_recording

FOLDER = Path(__file__).parent / "recorded"
BUILDS = ["", "-70892fe"]
FRAME = bytes.fromhex(
    "82018383000082694a6f696e47726f757063617e3183010782694a6f696e47726f757063627e32"
    "83020883674661696c757265696e6f5f71756f72756d636f6e65"
)


def load(name):
    return read_recording((FOLDER / f"{name}.txt").read_text())


MESSAGES = [
    pytest.param(name, data, id=f"{name}{build}")
    for build in BUILDS
    for name, data in load(f"messages{build}").items()
]


# Guards against a field that is removed, moved, renamed in its values or added without
# a default, and against a message that is removed: other builds still send it.
@pytest.mark.parametrize(("name", "data"), MESSAGES)
def test_a_recorded_message_is_read_and_written_as_before(name, data):
    message = decode_message(data)
    assert type(message).__name__ == name
    assert is_extension(cbor2.loads(data), cbor2.loads(encode_message(message)))


# Guards against another form of frames or envelopes under the same format version.
def test_a_recorded_frame_is_read_and_written_as_before():
    envelopes = (
        Envelope(EnvelopeKind.SEND, 0, JoinGroup("a~1")),
        Envelope(EnvelopeKind.REQUEST, 7, JoinGroup("b~2")),
        Envelope(EnvelopeKind.REPLY, 8, Failure("no_quorum", "one")),
    )
    assert decode_frame(FRAME) == envelopes
    assert is_extension(cbor2.loads(FRAME), cbor2.loads(encode_frame(envelopes)))


# Guards against a message that later builds may change without any test that fails.
def test_each_message_is_recorded():
    missing = message_kinds().keys() - load("messages").keys()
    assert not missing, (
        "record the new messages: "
        "python -m standins.recorded_messages tests/recorded/messages.txt"
    )


def write_files(path, files):
    path.mkdir()
    for name, data in files.items():
        (path / name).write_bytes(data)


def records_of(data):
    """Return the decoded records of a log segment, also those of one batch."""
    records = []
    for payload in scan_records(data).payloads:
        record = cbor2.loads(payload)
        records += record if isinstance(record[0], list) else [record]
    return records


# Guards against a build that cannot start with the data folder of an earlier one, or
# whose replica comes to another state by the same log.
@pytest.mark.parametrize("build", BUILDS)
def test_a_recorded_data_folder_is_read(tmp_path, build):
    files = load(f"folder{build}")
    final_state = files.pop(FINAL_STATE)
    path = tmp_path / "data"
    write_files(path, files)
    stored = recover_replica(path, GROUP, NODE, Random(1), 0.0)
    replica, state = stored.replica, stored.state
    assert replica.members == MEMBERS
    assert (replica.term, replica.voted_for) == (TERM, "control-2~0b")
    first = stored.snapshots.header.last_index + 1
    for entry in replica.log.slice(first, replica.log.last_index):
        apply_command(state, decode_log_command(entry, SUPPORTED_LEVEL))
    stored.close()
    assert is_extension(
        msgspec.msgpack.decode(final_state), msgspec.msgpack.decode(encode_state(state))
    )


# Guards against a folder that an earlier build cannot read after an upgrade that is
# reversed before all hosts have the later build.
@pytest.mark.parametrize("build", BUILDS)
def test_a_data_folder_is_written_as_before(tmp_path, build):
    files = load(f"folder{build}")
    segment = next(data for name, data in files.items() if name.startswith("log-"))
    commands = [record[1][2] for record in records_of(segment) if record[0] == "e"]
    path = tmp_path / "data"
    final_state = write_folder(path, commands)
    assert {file.name for file in path.iterdir() if file.stat().st_size} == (
        files.keys() - {FINAL_STATE}
    )
    written = next(path.glob("log-*")).read_bytes()
    assert is_extension(records_of(segment), records_of(written))
    recorded_snapshot = scan_records(files["snapshot"]).payloads
    snapshot = scan_records((path / "snapshot").read_bytes()).payloads
    assert is_extension(cbor2.loads(recorded_snapshot[0])[:3], cbor2.loads(snapshot[0]))
    for before, after in [
        (recorded_snapshot[1], snapshot[1]),
        (files[FINAL_STATE], final_state),
    ]:
        assert is_extension(
            msgspec.msgpack.decode(before), msgspec.msgpack.decode(after)
        )


# Shows that the comparison finds what it is for.
@pytest.mark.parametrize(
    ("written", "extends"),
    [
        (["A", 1, ["b"]], True),
        (["A", 1, ["b", 0], None], True),
        (["A", 1], False),
        (["A", ["b"], 1], False),
        (["A", 1.0, ["b"]], False),
        (["A", True, ["b"]], False),
        (["B", 1, ["b"]], False),
    ],
)
def test_only_fields_at_the_end_are_an_extension(written, extends):
    assert is_extension(["A", 1, ["b"]], written) is extends


def test_a_state_of_the_recording_differs_from_an_empty_one():
    recorded = msgspec.msgpack.decode(load("folder")[FINAL_STATE])
    empty = msgspec.msgpack.decode(encode_state(ControlState()))
    assert not is_extension(recorded, empty)
