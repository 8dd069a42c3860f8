"""Event loop of one replica: feeds it events and performs its actions."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

import anyio
import structlog

from cranberryfield.control.bootstrap import GroupBootstrap
from cranberryfield.control.claims import LogClock
from cranberryfield.control.compaction import Compactor
from cranberryfield.control.consensus import (
    Action,
    ApplyEntries,
    ClockTicked,
    CommandsProposed,
    Event,
    HeartbeatRequested,
    InstallSnapshot,
    MembersProposed,
    MessageReceived,
    Replica,
    ReplicaRole,
    SaveEntries,
    SaveMembers,
    SaveVote,
    SendMessage,
    SendSnapshot,
    step,
)
from cranberryfield.control.consensus.leader_replication import (
    is_first_leader,
    leader_lease_expiry,
)
from cranberryfield.control.consensus.membership import next_members
from cranberryfield.control.deployment import DeploymentPublisher
from cranberryfield.control.features import (
    FeatureLevelRaiser,
    HostFilter,
    check_level_supported,
    decode_log_command,
)
from cranberryfield.control.leadership_log import LeadershipLog
from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.control.operator_requests import OperatorRequestHandler
from cranberryfield.control.orders.sender import OrderSender
from cranberryfield.control.proposals import ProposalQueue
from cranberryfield.control.reads import ReadQueue
from cranberryfield.control.recovery import (
    StoredReplica,
    decode_state,
    recover_replica,
)
from cranberryfield.control.settings_publisher import SettingsPublisher
from cranberryfield.control.storage import SnapshotHeader
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.ids import LogIndex, NodeId, Term
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import decode_message, encode_message
from cranberryfield.core.messages.commands import (
    ProposalRedirected,
    Propose,
    RaiseFeatureLevel,
    Refused,
)
from cranberryfield.core.messages.consensus import (
    LogEntry,
    ReplicaEnvelope,
    SnapshotRequest,
    node_of,
)
from cranberryfield.core.process_start import PROCESS_STARTED_AT
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.core.supervision import start_supervised

__all__ = ["ControlRuntime", "ControlSection"]

#: Delay before a failed write to disk is retried, in seconds.
DISK_RETRY_DELAY_S = 0.2
#: Maximum time for a learner to take the place of a host that stops, in seconds.
DEPARTURE_TIMEOUT_S = 1.0
DEPARTURE_POLL_S = 0.02

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class ControlSection:
    """Blackboard section with this replica and its applied state."""

    replica: Replica
    state: ControlState
    applied_index: LogIndex = LogIndex(0)


class ControlRuntime:
    """The control role of one process.

    Parameters
    ----------
    section : ControlSection
        The replica and its applied state, owned by this runtime.
    stored : StoredReplica
        Open files of the data folder.
    names : ControlHostNames
        The control hosts.
    mesh : Mesh
        Links to other processes.
    board : Blackboard
        Contains the settings in force.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        section: ControlSection,
        stored: StoredReplica,
        names: ControlHostNames,
        mesh: Mesh,
        board: Blackboard,
        clock: Clock,
    ):
        self._section = section
        self._stored = stored
        self._mesh = mesh
        self._clock = clock
        self._events: deque[Event] = deque()
        self._proposals = ProposalQueue()
        self._reads = ReadQueue(section.replica, self._wake_up)
        self._log_clock = LogClock()
        self._leadership_log = LeadershipLog(clock())
        self._work_available = anyio.Event()
        self._grows = names.grows
        self._bootstrap = GroupBootstrap(
            section.replica,
            names,
            mesh,
            self.submit,
            clock,
            lambda: section.state.feature_level,
        )
        self._host_filter = HostFilter(section, mesh)
        self._level_raiser = FeatureLevelRaiser(section, mesh, names, self.propose)
        self._compactor = Compactor(section, stored, self.submit)
        self._settings_publisher = SettingsPublisher(
            section, board.read(SettingsSection), mesh, self.propose, clock
        )
        self._deployment_publisher = DeploymentPublisher(
            section, mesh, self.wait_until_current, clock
        )
        self._order_sender = OrderSender(section, self.propose, clock)
        self._operator_requests = OperatorRequestHandler(
            section,
            self._bootstrap,
            self._settings_publisher,
            mesh,
            self.submit,
            self.wait_until_current,
            clock,
        )
        self._settings_publisher.publish(section.state.settings.tree)
        mesh.handle(ReplicaEnvelope, self._on_envelope)
        mesh.handle(Propose, self._on_propose)

    @classmethod
    def from_config(
        cls,
        config: DaemonConfig,
        mesh: Mesh,
        board: Blackboard,
        clock: Clock,
        rng: Random,
        names: ControlHostNames,
    ) -> "ControlRuntime":
        """Open the data folder and recover its replica.

        Parameters
        ----------
        config : DaemonConfig
            Configuration of the process.
        mesh : Mesh
            Links to other processes.
        board : Blackboard
            Contains the settings in force; a `ControlSection` is added.
        clock : Clock
            Monotonic time.
        rng : random.Random
            Random generator for election timeouts.
        names : ControlHostNames
            The control hosts.

        Returns
        -------
        ControlRuntime
            The runtime, not yet running.

        Raises
        ------
        StorageError
            If the folder cannot be opened, its contents are invalid, or this build
            does not understand the group's feature level.
        """
        path = Path(config.data_folder)
        now = clock()
        started_at = min(now, PROCESS_STARTED_AT)
        stored = recover_replica(
            path, config.group, config.node_id, rng, now, started_at
        )
        try:
            check_level_supported(stored.state.feature_level, mesh.hello.feature_level)
        except StorageError:
            stored.close()
            raise
        applied = stored.snapshots.header.last_index
        section = board.add(ControlSection(stored.replica, stored.state, applied))
        return cls(section, stored, names, mesh, board, clock)

    async def run(self) -> None:
        """Process events and proposals until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                background = {
                    "bootstrap": self._bootstrap.run,
                    "feature level": self._level_raiser.run,
                    "compaction": self._compactor.run,
                    "settings": self._settings_publisher.run,
                    "orders": self._order_sender.run,
                }
                start_supervised(tasks, background)
                # The steps of the replica are not supervised: after a failure its state
                # cannot be relied on.
                while True:
                    await self._wait_for_work()
                    actions = self._step_all()
                    await self._persist(actions)
                    self._perform(actions)
                    self._reads.complete_reads()
        finally:
            self._stored.close()

    async def depart(self) -> None:
        """Let a learner that waits take the place of this replica, before a stop."""
        replica = self._section.replica
        if not (self._grows and replica.is_voter):
            return
        self._bootstrap.announce_departure()
        with anyio.move_on_after(DEPARTURE_TIMEOUT_S):
            while replica.is_voter and replica.members.learners:
                self._wake_up()
                await anyio.sleep(DEPARTURE_POLL_S)

    def submit(self, event: Event) -> None:
        """Queue an event for the next step of the replica."""
        self._events.append(event)
        self._wake_up()

    def _wake_up(self) -> None:
        self._work_available.set()

    async def wait_until_current(self) -> None:
        """Wait until the applied state includes every change acknowledged so far.

        Raises
        ------
        ControlError
            Of kind ``no_quorum`` if this replica is not the leader, or cannot
            confirm it with a majority.
        """
        await self._reads.wait()

    @property
    def section(self) -> ControlSection:
        """The replica and its applied state, read-only."""
        return self._section

    @property
    def leader_since(self) -> float:
        """Monotonic time in seconds at which this replica last became leader."""
        return self._section.replica.leader_since

    def leading_term(self) -> Term | None:
        """Return the term that this replica leads; None without a leader lease."""
        replica = self._section.replica
        if leader_lease_expiry(replica) <= self._clock():
            return None
        return replica.term

    def is_first_leader(self) -> bool:
        """Return whether no earlier leader has committed an entry.

        Leaders act on committed entries only, so an earlier leader cannot have
        acted either.
        """
        return is_first_leader(self._section.replica)

    async def propose(self, command: bytes) -> Message:
        """Append a command to the log and wait for its result.

        Parameters
        ----------
        command : bytes
            An encoded command.

        Returns
        -------
        Message
            The result; a `ProposalRedirected` if this replica is not the leader.
        """
        replica = self._section.replica
        if replica.role is not ReplicaRole.LEADER:
            return ProposalRedirected(replica.leader_node)
        return await self._proposals.submit(command, self._wake_up)

    async def _wait_for_work(self) -> None:
        if self._events or not self._proposals.is_empty:
            await anyio.sleep(0)
            return
        self._work_available = anyio.Event()
        wait_s = max(0.0, self._next_deadline() - self._clock())
        with anyio.move_on_after(wait_s):
            await self._work_available.wait()

    def _next_deadline(self) -> float:
        deadline = self._section.replica.deadline
        read_deadline = self._reads.next_deadline()
        return deadline if read_deadline is None else min(deadline, read_deadline)

    def _step_all(self) -> list[Action]:
        replica = self._section.replica
        now = self._clock()
        actions = []
        while self._events:
            actions += step(replica, self._events.popleft(), now)
        read_deadline = self._reads.next_deadline()
        if read_deadline is not None and read_deadline <= now:
            actions += step(replica, HeartbeatRequested(), now)
        actions += step(replica, ClockTicked(), now)
        self._leadership_log.record(replica, now)
        if replica.role is ReplicaRole.LEADER:
            actions += self._append_proposals(now)
            actions += self._change_members(now)
        else:
            self._proposals.redirect_all(replica.leader_node)
        return actions

    def _append_proposals(self, now: float) -> list[Action]:
        if self._proposals.is_empty:
            return []
        replica = self._section.replica
        clock_command = self._log_clock.next_command(replica.term, now)
        clock_commands = (encode_message(clock_command),) if clock_command else ()
        first = LogIndex(replica.log.last_index + 1 + len(clock_commands))
        commands = (*clock_commands, *self._proposals.next_batch(first, replica.term))
        return step(replica, CommandsProposed(commands), now)

    def _change_members(self, now: float) -> list[Action]:
        replica = self._section.replica
        if replica.log.members_index > replica.commit_index:
            return []
        members = next_members(
            replica,
            self._host_filter.admissible(self._bootstrap.join_requests),
            now,
            self._grows,
            self._bootstrap.departures,
        )
        if members is None:
            return []
        logger.info("group changes", voters=members.voters, learners=members.learners)
        return step(replica, MembersProposed(members), now)

    async def _persist(self, actions: list[Action]) -> None:
        journal = self._stored.journal
        for action in actions:
            match action:
                case SaveVote(term, voted_for):
                    journal.queue_vote(term, voted_for)
                case SaveMembers(members):
                    journal.queue_members(members)
                case SaveEntries(entries):
                    journal.queue_entries(entries)
                case InstallSnapshot():
                    await self._store_snapshot(action)
        await self._retry_write(journal.sync)

    async def _retry_write(self, write: Callable[[], None]) -> None:
        """Retry a write until it succeeds; nothing is acknowledged before that.

        The other replicas can elect another leader in the meantime.
        """
        is_failing = False
        while True:
            try:
                write()
            except OSError as error:
                if not is_failing:
                    logger.error("write to disk failed; retrying", why=str(error))
                is_failing = True
                await anyio.sleep(DISK_RETRY_DELAY_S)
                continue
            if is_failing:
                logger.info("write to disk succeeded after retries")
            return

    async def _store_snapshot(self, action: InstallSnapshot) -> None:
        header = SnapshotHeader(
            action.last_index, action.last_term, action.members, len(action.state)
        )
        await self._stored.snapshots.write(header, action.state)
        self._stored.journal.queue_reset(action.last_index)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(receiver, message):
                    self._send(receiver, message)
                case SendSnapshot():
                    self._send_snapshot(action)
                case ApplyEntries(entries):
                    self._apply(entries)
                case InstallSnapshot(last_index, _, _, state):
                    self._section.state = self._checked_state(state)
                    self._section.applied_index = last_index
                    self._publish()

    def _checked_state(self, data: bytes) -> ControlState:
        state = decode_state(data)
        check_level_supported(state.feature_level, self._mesh.hello.feature_level)
        return state

    def _send(self, receiver, message) -> None:
        if not self._host_filter.may_take_part(node_of(receiver)):
            return
        envelope = ReplicaEnvelope(self._section.replica.id, receiver, message)
        self._mesh.send(node_of(receiver), envelope)

    def _send_snapshot(self, action: SendSnapshot) -> None:
        store = self._stored.snapshots
        is_current = action.last_index == store.header.last_index
        offset = action.offset if is_current else 0
        header = store.header
        request = SnapshotRequest(
            action.term,
            header.last_index,
            header.last_term,
            header.members,
            offset,
            header.size,
            store.read_chunk(offset),
            action.round_number,
        )
        self._send(action.receiver, request)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        section = self._section
        for entry in entries:
            command = decode_log_command(entry, self._mesh.hello.feature_level)
            result = apply_command(section.state, command)
            section.applied_index = entry.index
            self._proposals.complete(entry.index, entry.term, result)
        self._publish()

    def _publish(self) -> None:
        self._settings_publisher.publish(self._section.state.settings.tree)
        self._deployment_publisher.publish()

    def _on_envelope(self, sender: NodeId, envelope: ReplicaEnvelope) -> None:
        # Ignores messages to a replica in another data folder of this node.
        if envelope.receiver != self._section.replica.id:
            return
        if node_of(envelope.sender) != sender:
            return
        if not self._host_filter.may_take_part(sender):
            return
        self.submit(MessageReceived(envelope.sender, envelope.message))

    async def _on_propose(self, sender: NodeId, message: Propose) -> Message:
        command = decode_message(message.command)
        if isinstance(command, RaiseFeatureLevel):
            # Only the leader knows what all control hosts understand.
            return Refused(ErrorKind.PROTOCOL.value, "only the leader raises the level")
        await self._settings_publisher.wait_until_writable(command)
        result = await self.propose(message.command)
        await self._settings_publisher.wait_until_in_force(result)
        return result
