"""Simulation of a control group: real replicas, with disks and messages simulated."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import msgspec

from cranberryfield.control.consensus import (
    ApplyEntries,
    ClockTicked,
    CommandsProposed,
    GroupFormed,
    InstallSnapshot,
    MembersProposed,
    MessageReceived,
    Replica,
    ReplicaLog,
    ReplicaRole,
    SaveEntries,
    SaveMembers,
    SaveVote,
    SendMessage,
    SendSnapshot,
    SnapshotSaved,
    step,
)
from cranberryfield.control.consensus.membership import JoinRequest, next_members
from cranberryfield.core.messages.consensus import (
    Members,
    SnapshotRequest,
    node_of,
)

__all__ = ["SafetyError", "SimulatedGroup"]

NODES = ("a", "b", "c")
CHUNK_BYTES = 60
MAX_MESSAGES = 400


class SafetyError(AssertionError):
    """Raised if a safety property of Raft does not hold."""


@dataclass
class Disk:
    """Persistent state of a replica, which survives a restart."""

    term: int = 0
    voted_for: str | None = None
    members: Members = Members()
    entries: list = field(default_factory=list)
    snapshot: tuple = (0, 0, Members(), [])


@dataclass
class SimulatedGroup:
    """Simulated group: replicas, disks, and messages that may be lost or delayed."""

    rng: Random
    discards_votes: bool = False
    nodes: tuple[str, ...] = NODES
    allow_new_nodes: bool = False
    now: float = 0.0
    replicas: dict = field(default_factory=dict)
    disks: dict = field(default_factory=dict)
    applied: dict = field(default_factory=dict)
    messages: list = field(default_factory=list)
    leaders: dict = field(default_factory=dict)
    committed: dict = field(default_factory=dict)
    join_requests: dict = field(default_factory=dict)
    departures: set = field(default_factory=set)
    isolated: set = field(default_factory=set)
    commands: int = 0
    members: Members = Members()
    next_members: Callable = next_members

    def __post_init__(self):
        first = Members(tuple(f"{node}~1" for node in self.nodes))
        self.members = first
        for id in first.voters:
            self.start_replica(id)
            self.apply_event(id, GroupFormed(first))

    def start_replica(self, id):
        """Start a replica from its disk, or with an empty one."""
        disk = self.disks.setdefault(id, Disk())
        index, term, members, state = disk.snapshot
        entries = [entry for entry in disk.entries if entry.index > index]
        log = ReplicaLog(index, term, members if index else disk.members, entries)
        deadline = self.now + self.rng.uniform(0.6, 1.2)
        self.replicas[id] = Replica(
            id,
            self.rng,
            term=disk.term,
            voted_for=disk.voted_for,
            log=log,
            commit_index=index,
            last_leader_contact_at=self.now,
            deadline=deadline,
        )
        self.applied[id] = list(state)

    def apply_event(self, id, event, crash=False):
        """Apply an event; a replica that crashes starts again before it writes."""
        replica = self.replicas[id]
        was_leader = replica.role is ReplicaRole.LEADER
        actions = step(replica, event, self.now)
        if crash:
            self.start_replica(id)
            return
        for action in actions:
            self.write(id, action)
        for action in actions:
            self.perform(id, action)
        if replica.role is ReplicaRole.LEADER:
            self.check_leader(replica, was_leader)

    def write(self, id, action):
        """Perform an action that changes the disk."""
        disk = self.disks[id]
        match action:
            case SaveVote(term, voted_for):
                disk.term = term
                disk.voted_for = None if self.discards_votes else voted_for
            case SaveMembers(members):
                disk.members = members
            case SaveEntries(entries):
                first = entries[0].index
                disk.entries = [one for one in disk.entries if one.index < first]
                disk.entries += entries
            case InstallSnapshot(index, term, members, state):
                decoded = msgspec.msgpack.decode(state, type=list[tuple])
                disk.snapshot = (index, term, members, decoded)
                disk.entries = []

    def perform(self, id, action):
        """Perform any other action."""
        match action:
            case SendMessage(receiver, message):
                self.send(id, receiver, message)
            case SendSnapshot():
                index, term, members, state = self.disks[id].snapshot
                data = msgspec.msgpack.encode(state)
                offset = action.offset if action.last_index == index else 0
                request = SnapshotRequest(
                    action.term,
                    index,
                    term,
                    members,
                    offset,
                    len(data),
                    data[offset : offset + CHUNK_BYTES],
                    action.round_number,
                )
                self.send(id, action.receiver, request)
            case InstallSnapshot(state=state):
                self.applied[id] = msgspec.msgpack.decode(state, type=list[tuple])
            case ApplyEntries(entries):
                for entry in entries:
                    self.apply_entry(id, entry)

    def apply_entry(self, id, entry):
        """Apply a committed entry, the same on all replicas."""
        applied = self.applied[id]
        if entry.index != len(applied) + 1:
            raise SafetyError("entries applied with a gap")
        content = (entry.term, entry.command)
        applied.append((entry.index, *content))
        if self.committed.setdefault(entry.index, content) != content:
            raise SafetyError(
                "state-machine safety: replicas applied different entries at one index"
            )
        if entry.members is not None:
            self.members = entry.members

    def check_leader(self, replica, was_leader):
        """Check that a leader is alone in its term and has all committed entries."""
        if self.leaders.setdefault(replica.term, replica.id) != replica.id:
            raise SafetyError("election safety: two leaders in one term")
        if was_leader:
            return
        for index, (term, _) in self.committed.items():
            if index > replica.log.base_index and replica.log.term_at(index) != term:
                raise SafetyError("leader completeness: the new leader lacks an entry")

    def check_logs(self):
        """Check that the logs of all replicas match."""
        logs = [replica.log for replica in self.replicas.values()]
        for one in logs:
            for other in logs:
                check_matching(one, other)

    def send(self, sender, receiver, message):
        """Queue a message, unless a node is isolated."""
        cut = {node_of(sender), node_of(receiver)} & self.isolated
        if not cut and len(self.messages) < MAX_MESSAGES:
            self.messages.append((sender, receiver, message))

    def deliver(self, position):
        """Deliver one queued message."""
        sender, receiver, message = self.messages.pop(position)
        if receiver in self.replicas:
            self.apply_event(receiver, MessageReceived(sender, message))

    def deliver_some(self, count):
        """Deliver up to `count` messages in order."""
        for _ in range(min(count, len(self.messages))):
            self.deliver(0)

    def deliver_all(self):
        """Deliver messages until none is left."""
        while self.messages:
            self.deliver(0)

    def advance(self, seconds):
        """Let time pass on all replicas."""
        self.now += seconds
        for id in list(self.replicas):
            self.apply_event(id, ClockTicked())

    def propose(self):
        """Propose a new command on each replica; only a leader appends it."""
        self.commands += 1
        command = b"%d" % self.commands
        for id in list(self.replicas):
            self.apply_event(id, CommandsProposed((command,)))

    def compact(self, id):
        """Store a snapshot on a replica."""
        replica, disk = self.replicas[id], self.disks[id]
        index = len(self.applied[id])
        if index > replica.log.base_index:
            term, members = replica.log.term_at(index), replica.log.members_at(index)
            disk.snapshot = (index, term, members, list(self.applied[id]))
            self.apply_event(id, SnapshotSaved(index))

    def change_members(self):
        """Let each leader change the members if a change is due."""
        for node in self.join_requests:
            self.join_requests[node] = replace(
                self.join_requests[node], received_at=self.now
            )
        for id, replica in list(self.replicas.items()):
            if replica.role is ReplicaRole.LEADER:
                members = self.next_members(
                    replica,
                    self.join_requests,
                    self.now,
                    self.allow_new_nodes,
                    frozenset(self.departures),
                )
                if members is not None:
                    self.apply_event(id, MembersProposed(members))

    def lose_disk(self, node):
        """Replace a node's disk by an empty one, if no other node is being replaced."""
        alive = set(self.replicas)
        if not set(self.members.voters) <= alive or len(self.members.voters) < 3:
            return
        old = next(id for id in self.replicas if node_of(id) == node)
        new = f"{node}~{int(old.partition('~')[2]) + 1}"
        del self.replicas[old], self.disks[old]
        self.start_replica(new)
        self.join_requests[node] = JoinRequest(new, self.now)

    def run_random_actions(self, steps):
        """Perform random actions and check the logs after each."""
        for _ in range(steps):
            self.perform_random_action(
                self.rng.randrange(100), self.rng.randrange(1000)
            )
            self.check_logs()

    def perform_random_action(self, kind, number):
        """Perform the action given by two random numbers."""
        ids = sorted(self.replicas)
        id = ids[number % len(ids)]
        if kind < 45:
            self.deliver_some(1 + number % 20)
        elif kind < 60:
            self.advance((0.05, 0.15, 0.4, 0.9)[number % 4])
        elif kind < 70:
            self.propose()
        elif kind < 80 and self.messages:
            self.deliver(number % len(self.messages))
        elif kind < 84 and self.messages:
            del self.messages[number % len(self.messages)]
        elif kind < 88 and self.messages:
            self.messages.append(self.messages[number % len(self.messages)])
        elif kind < 90:
            self.start_replica(id)
        elif kind < 92:
            self.apply_event(id, ClockTicked(), crash=True)
        elif kind < 94:
            self.isolated = (
                {self.nodes[number % len(self.nodes)]} if number % 4 == 0 else set()
            )
        elif kind < 96:
            self.compact(id)
        elif kind < 99:
            self.change_members()
        else:
            self.lose_disk(self.nodes[number % len(self.nodes)])


def check_matching(one, other):
    first = max(one.base_index, other.base_index) + 1
    last = min(one.last_index, other.last_index)
    same = False
    for index in range(last, first - 1, -1):
        if one.term_at(index) == other.term_at(index):
            same = True
            if one.slice(index, index) != other.slice(index, index):
                raise SafetyError(
                    "log matching: different entries with the same index and term"
                )
        elif same:
            raise SafetyError(
                "log matching: different terms before an entry that matches"
            )
