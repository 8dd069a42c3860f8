"""Hosts of an earlier build from the repository's history beside the current one."""

import subprocess
import sys
import time
import warnings

import msgspec
import pytest

from cranberryfield.core.messages.codec import decode_message, encode_message
from cranberryfield.core.messages.commands import RaiseFeatureLevel
from standins.mixed_cluster import MixedCluster, Traffic, unpack_build
from standins.platform_cluster import CONTROL, RELAYS
from standins.processes import ROOT, wait_until
from standins.recorded_folder import command_data, write_folder
from standins.recorded_messages import (
    is_extension,
    message_kinds,
    sample_message,
)

#: The last build without feature levels.
EARLIER = "70892fe"
#: Requests for each restart below which the traffic would show nothing.
MIN_REQUESTS = 10

_READ_MESSAGES = """
import sys
sys.path[:0] = sys.argv[1:]
from cranberryfield.core.messages.codec import decode_message
for line in sys.stdin:
    name, data = line.split()
    assert type(decode_message(bytes.fromhex(data))).__name__ == name
    print(name)
"""


_READ_FOLDER = """
import sys
from pathlib import Path
from random import Random
sys.path[:0] = sys.argv[2:]
from cranberryfield.control.machine import apply_command
from cranberryfield.control.recovery import encode_state, recover_replica
from cranberryfield.core.messages.codec import decode_message
stored = recover_replica(Path(sys.argv[1]), "recorded", "control-1", Random(1), 0.0)
log = stored.replica.log
first = stored.snapshots.header.last_index + 1
for entry in log.slice(first, log.last_index):
    apply_command(stored.state, decode_message(entry.command))
print(encode_state(stored.state).hex())
"""


@pytest.fixture(scope="module")
def earlier(tmp_path_factory):
    """Sources of the earlier build; those of the current one without its history."""
    folder = tmp_path_factory.mktemp("earlier")
    build = unpack_build(EARLIER, folder)
    if build is None:
        warnings.warn(
            f"the history lacks {EARLIER}: hosts of the current build only are "
            "replaced, and nothing is tested beside the earlier one",
            stacklevel=2,
        )
    return build


# Guards against a change by which hosts that run the earlier build lose messages that
# they know, as they close the link at such a message.
def test_the_earlier_build_reads_what_this_one_writes(earlier):
    if earlier is None:
        return
    names = (ROOT / "tests" / "recorded" / f"messages-{EARLIER}.txt").read_text()
    known = [line.split()[0] for line in names.splitlines()]
    kinds = message_kinds()
    lines = [
        f"{name} {encode_message(sample_message(kinds[name])).hex()}\n"
        for name in known
    ]
    paths = [str(path) for path in earlier.glob("packages/*/src")]
    read = subprocess.run(
        [sys.executable, "-c", _READ_MESSAGES, *paths],
        input="".join(lines),
        capture_output=True,
        text=True,
        check=True,
    )
    assert read.stdout.split() == known


# Guards against an upgrade that cannot be reversed: a data folder that this build has
# written below the first level must lead the earlier build to the same state.
def test_the_earlier_build_goes_on_with_a_data_folder_of_this_one(tmp_path, earlier):
    if earlier is None:
        return
    commands = [
        command
        for command in command_data()
        if not isinstance(decode_message(command), RaiseFeatureLevel)
    ]
    path = tmp_path / "data"
    final_state = msgspec.msgpack.decode(write_folder(path, commands))
    paths = [str(path) for path in earlier.glob("packages/*/src")]
    read = subprocess.run(
        [sys.executable, "-c", _READ_FOLDER, str(path), *paths],
        capture_output=True,
        text=True,
        check=True,
    )
    earlier_state = msgspec.msgpack.decode(bytes.fromhex(read.stdout))
    assert is_extension(earlier_state, final_state)
    assert [7, b"a deployment"] in earlier_state


def roll(cluster, names, build):
    """Restart hosts one by one, with a change of the deployment after each."""
    for name in names:
        cluster.restart(name, build)
        cluster.declare_next(next(one for one in CONTROL if one != name))


def hosts_at_level(cluster):
    """Return the hosts that have logged that the feature level was raised."""
    return {
        name
        for name in CONTROL
        for line in cluster.log_lines(name)
        if line["event"] == "feature level raised"
    }


def refused_hosts(cluster):
    return {
        line["host"]
        for name in CONTROL
        for line in cluster.log_lines(name)
        if line["event"].startswith("control host refused")
    }


def roll_leaders(cluster, build, left):
    """Restart control hosts, the leader first, until `left` still have another build.

    A host of `build` leads then.
    """
    while others := [one for one, its in cluster.builds().items() if its != build]:
        leader = cluster.leader()
        if len(others) > left:
            roll(cluster, [leader if leader in others else others[0]], build)
        elif leader in others:
            roll(cluster, [leader], cluster.builds()[leader])
        else:
            return


# Guards against links that close at messages of the other build, requests and
# acknowledged deployments that an upgrade or its reversal costs, a log record that the
# earlier build cannot read, and an earlier host that disturbs a group above its level.
def test_hosts_are_replaced_one_by_one_in_both_directions(tmp_path, earlier):
    current = ROOT
    cluster = MixedCluster(tmp_path, earlier or current)
    try:
        cluster.start()
        with Traffic(cluster) as traffic:
            roll(cluster, ["relay-1"], current)
            if earlier is not None:
                roll_leaders(cluster, current, left=1)
                roll(cluster, ["relay-1"], earlier)
                roll_leaders(cluster, earlier, left=1)
                assert not hosts_at_level(cluster)
            others = [one for one, its in cluster.builds().items() if its != current]
            roll(cluster, others or CONTROL, current)
            wait_until(
                lambda: hosts_at_level(cluster) == set(CONTROL),
                "the feature level is raised",
            )
            roll(cluster, RELAYS, current)
            if earlier is not None:
                check_refused(cluster, earlier)
                cluster.declare_next("control-1")
                cluster.restart("control-4", current)
            time.sleep(1.0)
        assert traffic.failures == []
        assert traffic.statuses[200] > MIN_REQUESTS * len(cluster.restarts)
        assert cluster.fallen_links() == []
        for name in CONTROL:
            assert cluster.read_version(name) == cluster.acknowledged_version
    finally:
        cluster.stop()


def check_refused(cluster, earlier):
    """Start a host with the earlier build in a group above its level."""
    process = cluster.processes["control-4"]
    began = time.time()
    process.terminate()
    process.wait()
    process.build = earlier
    process.start()
    wait_until(lambda: "control-4" in refused_hosts(cluster), "control-4 is refused")
    cluster.declare_next("control-1")
    cluster.restarts.append(("control-4", began, time.time() + 60.0))
