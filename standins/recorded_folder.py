"""A small data folder of a control host, as recorded for the tests of later builds.

``python -m standins.recorded_folder FILE`` writes the recording of the tree that it
runs with: a line with the name and the content in hexadecimal for each file of the
folder, and the state after all entries of its log as `FINAL_STATE`.
"""

import sys
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import anyio
import cbor2

from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.control.recovery import encode_state, recover_replica
from cranberryfield.control.storage import SnapshotHeader
from cranberryfield.core.messages.codec import decode_message, encode_message
from cranberryfield.core.messages.consensus import LogEntry, Members
from standins.recorded_messages import message_kinds

__all__ = ["FINAL_STATE", "GROUP", "NODE", "command_data", "write_folder"]

FINAL_STATE = "final-state"
GROUP = "recorded"
NODE = "control-1"
TERM = 3
#: Number of commands that the snapshot covers.
SNAPSHOT_COMMANDS = 6
MEMBERS = Members(("control-1~0a", "control-2~0b", "control-3~0c"), ("control-4~0d",))
_CLAIM = ["w1", "key-1"]
_OWNER = ["entry-1", "session-1", "token-1"]
#: Commands as written to the log. Those that a build does not know are left out.
_COMMANDS = (
    ["Noop"],
    ["ChangeSettings", "c1", "ops", [["workspace/w1", 0, {"share": 2.5}, []]]],
    ["RecordHosts", ["entry-1", "entry-2"], []],
    ["DeclareDeployment", 7, b"a deployment", False],
    ["PlaceOrder", "o1", "engine-1", "127.0.0.1:7", "load_model", "m1", True],
    ["OpenClaim", *_CLAIM, bytes(16), *_OWNER, 600_000],
    ["RaiseFeatureLevel", 1],
    ["RecordDispatch", *_CLAIM, 1, "token-1", 1, "runner-1", 5, 30_000],
    ["CloseClaim", *_CLAIM, 1, "token-1", "answered", 200, "text/plain", b"yes", b"d"],
    ["AdvanceClock", 250],
    ["RenewHolder", "entry-1", "session-1"],
    ["SettleUsage", 4, {"w1": 12, "w2": 3}],
    ["UsageReported", 4],
    ["RecordHosts", [], ["entry-2"]],
)


def command_data() -> list[bytes]:
    """Return the commands of the recording that this build knows, as it writes them."""
    kinds = message_kinds()
    return [
        encode_message(decode_message(cbor2.dumps(command)))
        for command in _COMMANDS
        if command[0] in kinds
    ]


def write_folder(path: Path, commands: list[bytes]) -> bytes:
    """Write a data folder with a vote, a log and a snapshot; return the final state."""
    stored = recover_replica(path, GROUP, NODE, Random(1), 0.0)
    entries = [
        LogEntry(index, TERM, command) for index, command in enumerate(commands, 1)
    ]
    stored.journal.queue_members(MEMBERS)
    stored.journal.queue_vote(TERM, "control-2~0b")
    stored.journal.queue_entries(tuple(entries))
    stored.journal.sync()
    state = ControlState()
    for entry in entries[:SNAPSHOT_COMMANDS]:
        apply_command(state, decode_message(entry.command))
    data = encode_state(state)
    header = SnapshotHeader(SNAPSHOT_COMMANDS, TERM, MEMBERS, len(data))
    anyio.run(stored.snapshots.write, header, data)
    for entry in entries[SNAPSHOT_COMMANDS:]:
        apply_command(state, decode_message(entry.command))
    stored.close()
    return encode_state(state)


def main(recording: Path) -> None:
    """Write the recording of this build."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "data"
        final_state = write_folder(path, command_data())
        files = {file.name: file.read_bytes() for file in sorted(path.iterdir())}
    files[FINAL_STATE] = final_state
    lines = (f"{name} {data.hex()}\n" for name, data in files.items() if data)
    recording.write_text("".join(lines))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
