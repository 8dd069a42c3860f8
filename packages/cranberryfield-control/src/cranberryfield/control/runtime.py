"""Runs one replica: turns messages into events and performs the actions."""

from collections import deque
from dataclasses import dataclass
from pathlib import Path
from random import Random

import anyio
import structlog

from cranberryfield.control.claims import LogClock
from cranberryfield.control.consensus import (
    Action,
    ApplyEntries,
    Proposed,
    Received,
    Replica,
    ReplicaRole,
    SaveEntries,
    SaveVote,
    SendTo,
    Ticked,
    step,
)
from cranberryfield.control.consensus.replica import ReplicaLog
from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.control.storage import DataFolder, Journal
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.ids import LogIndex, NodeId, Term
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import decode_message, encode_message
from cranberryfield.core.messages.commands import ProposalRedirected, Propose
from cranberryfield.core.messages.consensus import (
    AppendReply,
    AppendRequest,
    LogEntry,
    VoteReply,
    VoteRequest,
)
from cranberryfield.core.messages.settings import (
    FollowSettings,
    SettingsDelta,
    SettingsSnapshot,
)
from cranberryfield.core.settings.follow import SettingsSection, take_snapshot

__all__ = ["ControlRuntime", "ControlSection"]

MAX_COMMANDS_PER_BATCH = 1024

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class ControlSection:
    """Section of the blackboard: this replica and the state it applied."""

    replica: Replica
    state: ControlState
    applied_index: LogIndex = LogIndex(0)


@dataclass(slots=True)
class _Proposal:
    command: bytes
    done: anyio.Event
    term: Term = Term(0)
    result: Message | None = None


class ControlRuntime:
    """The control role of one process.

    Parameters
    ----------
    section : ControlSection
        The replica, owned by this runtime.
    folder : DataFolder
        The locked data folder.
    journal : Journal
        The open log file.
    mesh : Mesh
        Links to other processes.
    board : Blackboard
        Holds the settings in force.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        section: ControlSection,
        folder: DataFolder,
        journal: Journal,
        mesh: Mesh,
        board: Blackboard,
        clock: Clock,
    ):
        self._section = section
        self._folder = folder
        self._journal = journal
        self._mesh = mesh
        self._board = board
        self._clock = clock
        self._received: deque[Received] = deque()
        self._proposals: deque[_Proposal] = deque()
        self._in_flight: dict[LogIndex, _Proposal] = {}
        self._followers: set[NodeId] = set()
        self._log_clock = LogClock()
        self._wake = anyio.Event()
        for kind in (VoteRequest, VoteReply, AppendRequest, AppendReply):
            mesh.handle(kind, self._on_consensus_message)
        mesh.handle(Propose, self._on_propose)
        mesh.handle(FollowSettings, self._on_follow_settings)

    @classmethod
    def from_config(
        cls,
        config: DaemonConfig,
        mesh: Mesh,
        board: Blackboard,
        clock: Clock,
        rng: Random,
    ) -> "ControlRuntime":
        """Open the data folder and build the replica that it holds.

        Parameters
        ----------
        config : DaemonConfig
            The process's configuration.
        mesh : Mesh
            Links to other processes.
        board : Blackboard
            Holds the settings in force; gains a `ControlSection`.
        clock : Clock
            Monotonic time.
        rng : random.Random
            Generator of election times.

        Returns
        -------
        ControlRuntime
            Ready to `run`.

        Raises
        ------
        StorageError
            If the folder cannot be used.
        """
        path = Path(config.data_folder)
        folder = DataFolder.open(path, config.group, config.node_id)
        journal, loaded = Journal.open(path)
        now = clock()
        replica = Replica(
            node=config.node_id,
            voters=tuple(NodeId(member.node) for member in config.control),
            rng=rng,
            term=loaded.term,
            voted_for=loaded.voted_for,
            log=ReplicaLog(entries=loaded.entries),
            heard_leader_at=now,
            deadline=now + rng.uniform(0.6, 1.2),
        )
        section = board.add(ControlSection(replica, ControlState()))
        return cls(section, folder, journal, mesh, board, clock)

    async def run(self) -> None:
        """Step the replica until cancelled."""
        try:
            while True:
                await self._wait_for_work()
                actions = self._step_all()
                self._write(actions)
                self._perform(actions)
        finally:
            self._journal.close()
            self._folder.close()

    async def _wait_for_work(self) -> None:
        if self._received or self._proposals:
            await anyio.sleep(0)
            return
        self._wake = anyio.Event()
        wait_s = max(0.0, self._section.replica.deadline - self._clock())
        with anyio.move_on_after(wait_s):
            await self._wake.wait()

    def _step_all(self) -> list[Action]:
        replica = self._section.replica
        now = self._clock()
        actions = []
        while self._received:
            actions += step(replica, self._received.popleft(), now)
        actions += step(replica, Ticked(), now)
        actions += self._append_proposals(now)
        if replica.role is not ReplicaRole.LEADER:
            self._redirect_waiting()
        return actions

    def _append_proposals(self, now: float) -> list[Action]:
        replica = self._section.replica
        if replica.role is not ReplicaRole.LEADER or not self._proposals:
            return []
        count = min(len(self._proposals), MAX_COMMANDS_PER_BATCH)
        batch = [self._proposals.popleft() for _ in range(count)]
        stamp = self._log_clock.advance(replica.term, now)
        stamps = (encode_message(stamp),) if stamp else ()
        first = replica.log.last_index + 1 + len(stamps)
        for offset, proposal in enumerate(batch):
            proposal.term = replica.term
            self._in_flight[LogIndex(first + offset)] = proposal
        commands = (*stamps, *(proposal.command for proposal in batch))
        return step(replica, Proposed(commands), now)

    def _redirect_waiting(self) -> None:
        waiting = [*self._proposals, *self._in_flight.values()]
        self._proposals.clear()
        self._in_flight.clear()
        for proposal in waiting:
            proposal.result = ProposalRedirected(self._section.replica.leader)
            proposal.done.set()

    def _write(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SaveVote(term, voted_for):
                    self._journal.save_vote(term, voted_for)
                case SaveEntries(entries):
                    self._journal.save_entries(entries)
        self._journal.sync()

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendTo(node, message):
                    self._mesh.send(node, message)
                case ApplyEntries(entries):
                    self._apply(entries)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        section = self._section
        before = section.state.settings.tree
        for entry in entries:
            result = apply_command(section.state, decode_message(entry.command))
            section.applied_index = entry.index
            proposal = self._in_flight.pop(entry.index, None)
            if proposal is not None:
                same = proposal.term == entry.term
                proposal.result = result if same else ProposalRedirected(None)
                proposal.done.set()
        after = section.state.settings.tree
        if after.revision != before.revision:
            self._publish_settings(before, after)

    def _publish_settings(self, before, after) -> None:
        take_snapshot(self._board.read(SettingsSection), after, self._clock())
        changed = {
            name: level
            for name, level in after.levels.items()
            if before.levels.get(name) != level
        }
        removed = tuple(name for name in before.levels if name not in after.levels)
        delta = SettingsDelta(before.revision, after.revision, changed, removed)
        for node in list(self._followers):
            if not self._mesh.send(node, delta):
                self._followers.discard(node)

    def _on_consensus_message(self, sender: NodeId, message: Message) -> None:
        self._received.append(Received(sender, message))
        self._wake.set()

    async def _on_propose(self, sender: NodeId, message: Propose) -> Message:
        replica = self._section.replica
        if replica.role is not ReplicaRole.LEADER:
            return ProposalRedirected(replica.leader)
        proposal = _Proposal(message.command, anyio.Event())
        self._proposals.append(proposal)
        self._wake.set()
        await proposal.done.wait()
        return proposal.result

    def _on_follow_settings(
        self, sender: NodeId, message: FollowSettings
    ) -> SettingsSnapshot:
        self._followers.add(sender)
        tree = self._section.state.settings.tree
        if tree.revision <= message.revision:
            return SettingsSnapshot(tree.revision, {})
        return SettingsSnapshot(tree.revision, tree.levels)
