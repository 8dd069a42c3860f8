"""Control hosts of one process whose greetings state different feature levels."""

import time
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace

import anyio
import cbor2
import pytest
import structlog

from cranberryfield.control.consensus import ReplicaRole
from cranberryfield.control.recovery import encode_state
from cranberryfield.control.runtime import ControlRuntime, ControlSection
from cranberryfield.control.storage import SnapshotHeader, SnapshotStore
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.errors import (
    ErrorKind,
    StorageError,
    find_cranberryfield_error,
)
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.commands import (
    Noop,
    Propose,
    RaiseFeatureLevel,
    Refused,
)
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.settings.follow import SettingsSection
from standins.processes import free_port

NODES = ("a", "b", "c")
TIMEOUT_S = 15.0
#: Time from the first leader of a new group to its level.
RAISE_LIMIT_S = 2.0


class Host:
    """A control host, which can be stopped and started with another build's level."""

    def __init__(self, folder, addresses, node):
        self._folder = folder
        self._addresses = addresses
        self.node = node
        self._scope = None
        self._disks = 0
        self.mesh = None
        self.section = None
        self.runtime = None
        self.error = None

    @property
    def level(self):
        return self.section.state.feature_level

    @property
    def leads(self):
        return self.section.replica.role is ReplicaRole.LEADER

    @property
    def data_folder(self):
        return self._folder / f"{self.node}-{self._disks}"

    def lose_disk(self):
        self._disks += 1

    async def run(self, level, *, task_status):
        address = self._addresses[self.node]
        hello = Hello(
            self.node, "g", time.time_ns(), "d", ("control",), address, "", level
        )
        mesh = self.mesh = Mesh(hello, "key")
        board = Blackboard()
        board.add(SettingsSection())
        config = SimpleNamespace(
            data_folder=str(self.data_folder), group="g", node_id=self.node
        )
        self.error = None
        try:
            self.runtime = ControlRuntime.from_config(
                config,
                mesh,
                board,
                monotonic_clock,
                Random(self.node),
                ControlHostNames.from_list(NODES),
            )
            self.section = board.read(ControlSection)
            with anyio.CancelScope() as self._scope:
                async with anyio.create_task_group() as tasks:
                    await tasks.start(mesh.listen, address)
                    for node, other in self._addresses.items():
                        if node > self.node:
                            tasks.start_soon(mesh.dial, other)
                    tasks.start_soon(self.runtime.run)
                    task_status.started()
                    await anyio.sleep_forever()
        except (StorageError, ExceptionGroup) as error:
            self.error = find_cranberryfield_error(error)
            if self.error is None:
                raise
            if self._scope is None:
                task_status.started()
        finally:
            self._scope = None

    async def stop(self):
        self._scope.cancel()
        await wait_for(lambda: self._scope is None)


async def wait_for(condition):
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)


@asynccontextmanager
async def running_group(folder, levels):
    addresses = {node: f"127.0.0.1:{free_port()}" for node in NODES}
    hosts = {node: Host(folder, addresses, node) for node in NODES}
    async with anyio.create_task_group() as tasks:

        async def start(node, level):
            await tasks.start(hosts[node].run, level)

        for node, level in zip(NODES, levels, strict=True):
            await start(node, level)
        await wait_for(lambda: any(host.leads for host in hosts.values()))
        yield hosts, start
        tasks.cancel_scope.cancel()


def levels_of(hosts):
    return [host.level for host in hosts.values()]


# Guards against new features that a group of one build waits for.
def test_a_new_group_reaches_its_level_soon(tmp_path):
    async def run():
        async with running_group(tmp_path, (1, 1, 1)) as (hosts, _):
            led_at = time.monotonic()
            await wait_for(lambda: levels_of(hosts) == [1, 1, 1])
            assert time.monotonic() - led_at < RAISE_LIMIT_S

    anyio.run(run)


# Guards against a level above what a host of the group understands, also if that host
# is down, and against one that a host of a lost disk lowers once it is raised.
def test_the_level_follows_the_last_host_that_is_replaced(tmp_path):
    async def run():
        async with running_group(tmp_path, (1, 0, 1)) as (hosts, start):
            await anyio.sleep(1.0)
            assert levels_of(hosts) == [0, 0, 0]
            await hosts["b"].stop()
            await anyio.sleep(1.0)
            assert (hosts["a"].level, hosts["c"].level) == (0, 0)
            await start("b", 1)
            await wait_for(lambda: levels_of(hosts) == [1, 1, 1])
            await hosts["c"].stop()
            hosts["c"].lose_disk()
            await anyio.sleep(0.5)
            await start("c", 1)
            await wait_for(lambda: hosts["c"].section.replica.is_voter)
            await wait_for(lambda: levels_of(hosts) == [1, 1, 1])

    with structlog.testing.capture_logs() as logs:
        anyio.run(run)
    waiting = [
        one["hosts"]
        for one in logs
        if one["event"] == "feature level waits for control hosts"
    ]
    assert ("b",) in waiting


# Guards against a host of an earlier build that takes part in a group whose log it
# cannot apply: with its log, with a new disk, and with a snapshot.
@pytest.mark.parametrize("state", ["log", "lost disk", "snapshot"])
def test_a_host_of_an_earlier_build_is_refused(tmp_path, state):
    async def run():
        async with running_group(tmp_path, (2, 2, 2)) as (hosts, start):
            await wait_for(lambda: levels_of(hosts) == [2, 2, 2])
            host = hosts["b"]
            await host.stop()
            if state == "lost disk":
                host.lose_disk()
            elif state == "snapshot":
                await write_snapshot(host)
            await start("b", 1)
            await wait_for(lambda: host.error is not None)
            assert host.error.kind is ErrorKind.FOREIGN_DATA
            assert "feature level 2" in host.error.detail
            # The others go on, and the host returns with a later build.
            others = (hosts["a"], hosts["c"])
            await wait_for(lambda: any(one.leads for one in others))
            leader = next(one for one in others if one.leads)
            with anyio.fail_after(TIMEOUT_S):
                await leader.runtime.propose(encode_message(Noop()))
            await start("b", 2)
            await wait_for(lambda: host.section.replica.is_voter and host.level == 2)

    anyio.run(run)


async def write_snapshot(host):
    """Have the stopped host keep its state in a snapshot."""
    index = host.section.applied_index
    log = host.section.replica.log
    state = encode_state(host.section.state)
    header = SnapshotHeader(
        index, log.term_at(index), log.members_at(index), len(state)
    )
    store, _ = SnapshotStore.open(host.data_folder)
    await store.write(header, state)


# Guards against another host that stops the group with a level it cannot understand.
def test_no_other_host_may_raise_the_level(tmp_path):
    async def run():
        async with running_group(tmp_path, (1, 1, 1)) as (hosts, _):
            leader = next(one for one in hosts.values() if one.leads)
            follower = next(one for one in hosts.values() if not one.leads)
            proposal = Propose(encode_message(RaiseFeatureLevel(9)))
            reply = await follower.mesh.request(leader.node, proposal, TIMEOUT_S)
            assert isinstance(reply, Refused)
            await wait_for(lambda: levels_of(hosts) == [1, 1, 1])

    anyio.run(run)


# Guards against a replica that skips a command and differs from the others, or ends
# with a traceback in place of one clear line.
@pytest.mark.parametrize(
    ("command", "detail"),
    [
        (cbor2.dumps(["FromALaterBuild", 1]), "does not understand"),
        (encode_message(RaiseFeatureLevel(9)), "feature level 9"),
    ],
)
def test_an_unknown_command_in_the_log_stops_the_host(tmp_path, command, detail):
    async def run():
        async with running_group(tmp_path, (1, 1, 1)) as (hosts, _):
            await wait_for(lambda: levels_of(hosts) == [1, 1, 1])
            leader = next(one for one in hosts.values() if one.leads)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leader.runtime.propose, command)
                await wait_for(lambda: leader.error is not None)
                tasks.cancel_scope.cancel()
            assert leader.error.kind is ErrorKind.FOREIGN_DATA
            assert detail in leader.error.detail
            assert leader.level == 1

    anyio.run(run)
