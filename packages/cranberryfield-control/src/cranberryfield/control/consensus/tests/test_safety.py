"""Model-based tests of the Raft safety properties on several replicas."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cranberryfield.control.consensus import (
    ApplyEntries,
    ClockTicked,
    CommandsProposed,
    GroupFormed,
    GroupReplaced,
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
    election,
    membership,
    step,
)
from cranberryfield.control.consensus.leader_replication import leader_lease_expiry
from cranberryfield.control.consensus.membership import JoinRequest, next_members
from cranberryfield.core.messages.consensus import (
    AppendRequest,
    Members,
    SnapshotRequest,
    VoteRequest,
    node_of,
)

NODES = ("a", "b", "c")
CHUNK_BYTES = 60
MAX_MESSAGES = 400


class SafetyError(AssertionError):
    pass


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
    now: float = 0.0
    replicas: dict = field(default_factory=dict)
    disks: dict = field(default_factory=dict)
    applied: dict = field(default_factory=dict)
    messages: list = field(default_factory=list)
    leaders: dict = field(default_factory=dict)
    committed: dict = field(default_factory=dict)
    join_requests: dict = field(default_factory=dict)
    isolated: set = field(default_factory=set)
    commands: int = 0
    members: Members = Members()
    next_members: Callable = next_members

    def __post_init__(self):
        first = Members(tuple(f"{node}~1" for node in NODES))
        self.members = first
        for id in first.voters:
            self.start_replica(id)
            self.apply_event(id, GroupFormed(first))

    def start_replica(self, id):
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
        if self.leaders.setdefault(replica.term, replica.id) != replica.id:
            raise SafetyError("election safety: two leaders in one term")
        if was_leader:
            return
        for index, (term, _) in self.committed.items():
            if index > replica.log.base_index and replica.log.term_at(index) != term:
                raise SafetyError("leader completeness: the new leader lacks an entry")

    def check_logs(self):
        logs = [replica.log for replica in self.replicas.values()]
        for one in logs:
            for other in logs:
                check_matching(one, other)

    def send(self, sender, receiver, message):
        cut = {node_of(sender), node_of(receiver)} & self.isolated
        if not cut and len(self.messages) < MAX_MESSAGES:
            self.messages.append((sender, receiver, message))

    def deliver(self, position):
        sender, receiver, message = self.messages.pop(position)
        if receiver in self.replicas:
            self.apply_event(receiver, MessageReceived(sender, message))

    def deliver_some(self, count):
        for _ in range(min(count, len(self.messages))):
            self.deliver(0)

    def deliver_all(self):
        while self.messages:
            self.deliver(0)

    def advance(self, seconds):
        self.now += seconds
        for id in list(self.replicas):
            self.apply_event(id, ClockTicked())

    def propose(self):
        self.commands += 1
        command = b"%d" % self.commands
        for id in list(self.replicas):
            self.apply_event(id, CommandsProposed((command,)))

    def compact(self, id):
        replica, disk = self.replicas[id], self.disks[id]
        index = len(self.applied[id])
        if index > replica.log.base_index:
            term, members = replica.log.term_at(index), replica.log.members_at(index)
            disk.snapshot = (index, term, members, list(self.applied[id]))
            self.apply_event(id, SnapshotSaved(index))

    def change_members(self):
        for node in self.join_requests:
            self.join_requests[node] = replace(
                self.join_requests[node], received_at=self.now
            )
        for id, replica in list(self.replicas.items()):
            if replica.role is ReplicaRole.LEADER:
                members = self.next_members(replica, self.join_requests, self.now)
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
            self.isolated = {NODES[number % 3]} if number % 4 == 0 else set()
        elif kind < 96:
            self.compact(id)
        elif kind < 99:
            self.change_members()
        else:
            self.lose_disk(NODES[number % 3])


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


class GroupStateMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.group = SimulatedGroup(Random(1))

    @rule(kind=st.integers(0, 99), number=st.integers(0, 999))
    def perform_random_action(self, kind, number):
        self.group.perform_random_action(kind, number)

    @rule(count=st.integers(1, 40))
    def deliver_some(self, count):
        self.group.deliver_some(count)

    @rule()
    def elect(self):
        self.group.isolated = set()
        self.group.advance(1.3)
        self.group.deliver_some(20)

    @invariant()
    def logs_match(self):
        self.group.check_logs()


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=60,
)


def test_group_is_safe_under_random_actions():
    run_state_machine_as_test(GroupStateMachine, settings=SETTINGS)


@pytest.mark.parametrize("seed", range(6))
def test_long_random_runs_are_safe_and_make_progress(seed):
    group = SimulatedGroup(Random(seed))
    group.run_random_actions(1500)
    assert len(group.committed) > 20


def break_quorum_size(monkeypatch, group):
    half = property(lambda replica: max(1, len(replica.voters) // 2))
    monkeypatch.setattr(Replica, "quorum", half)


def break_single_voter_changes(monkeypatch, group):
    def remove_all_others(replica, join_requests, now):
        return Members((replica.id,)) if len(replica.voters) > 1 else None

    monkeypatch.setattr(
        membership, "membership_change_problem", lambda replica, members: None
    )
    group.next_members = remove_all_others


@pytest.mark.parametrize("break_rule", [break_quorum_size, break_single_voter_changes])
def test_broken_safety_rule_is_detected(monkeypatch, break_rule):
    with pytest.raises(SafetyError):
        for seed in range(40):
            group = SimulatedGroup(Random(seed))
            break_rule(monkeypatch, group)
            group.run_random_actions(1500)


def start_election_of_lagging_replica(group):
    """Make a replica that lacks a committed entry request votes."""
    elect_leader(group, "a~1")
    group.isolated = {"c"}
    group.propose()
    group.deliver_all()
    group.isolated = {"a"}
    group.now += 2.0
    group.apply_event("c~1", ClockTicked())
    group.deliver_all()


def test_candidate_without_a_committed_entry_is_not_elected():
    group = SimulatedGroup(Random(1))
    start_election_of_lagging_replica(group)
    assert group.replicas["c~1"].role is not ReplicaRole.LEADER


def test_vote_without_log_check_is_detected(monkeypatch):
    monkeypatch.setattr(election, "_is_log_up_to_date", lambda replica, request: True)
    with pytest.raises(SafetyError, match="leader completeness"):
        start_election_of_lagging_replica(SimulatedGroup(Random(1)))


def request_votes_around_restart(group):
    """Restart a voter between two vote requests in the same term."""
    group.messages.clear()
    group.now += 1.0
    request = VoteRequest(5, 0, 0, pre_vote=False)
    group.apply_event("c~1", MessageReceived("a~1", request))
    group.start_replica("c~1")
    group.now += 1.0
    group.apply_event("c~1", MessageReceived("b~1", request))
    return [message.granted for _, _, message in group.messages]


@pytest.mark.parametrize(
    ("discards_votes", "granted"), [(False, [True, False]), (True, [True, True])]
)
def test_vote_survives_a_restart(discards_votes, granted):
    group = SimulatedGroup(Random(1), discards_votes=discards_votes)
    assert request_votes_around_restart(group) == granted


def test_replica_denies_votes_just_after_its_start():
    group = SimulatedGroup(Random(1))
    request = VoteRequest(5, 0, 0, pre_vote=False)
    group.apply_event("c~1", MessageReceived("a~1", request))
    assert [message.granted for _, _, message in group.messages] == [False]


def elect_leader(group, id):
    """Make one replica the leader of a group without pending messages."""
    group.now += 2.0
    group.apply_event(id, ClockTicked())
    group.deliver_all()
    assert group.replicas[id].role is ReplicaRole.LEADER
    return group.replicas[id]


def test_leader_without_quorum_steps_down():
    group = SimulatedGroup(Random(1))
    leader = elect_leader(group, "a~1")
    group.isolated = {"a"}
    assert leader_lease_expiry(leader) > group.now
    for _ in range(14):
        group.now += 0.1
        group.apply_event("a~1", ClockTicked())
        lease = leader_lease_expiry(leader)
        assert leader.role is ReplicaRole.LEADER or lease < group.now
    assert leader.role is ReplicaRole.FOLLOWER


def test_new_data_folder_joins_as_new_member():
    group = SimulatedGroup(Random(1))
    elect_leader(group, "a~1")
    group.lose_disk("c")
    for _ in range(40):
        group.now += 0.25
        group.apply_event("a~1", ClockTicked())
        group.change_members()
        group.deliver_all()
    assert set(group.members.voters) == {"a~1", "b~1", "c~2"}


def test_lagging_replica_receives_a_snapshot_in_chunks():
    group = SimulatedGroup(Random(1))
    leader = elect_leader(group, "a~1")
    group.isolated = {"c"}
    for _ in range(40):
        group.propose()
        group.deliver_all()
    group.compact("a~1")
    group.isolated = set()
    requests = 0
    for _ in range(10):
        group.now += 0.25
        group.apply_event("a~1", ClockTicked())
        while group.messages:
            requests += isinstance(group.messages[0][2], SnapshotRequest)
            group.deliver(0)
    assert requests > 2
    assert group.replicas["c~1"].commit_index == leader.commit_index
    assert group.applied["c~1"] == group.applied["a~1"]


def test_log_conflicts_take_one_round_trip_per_term():
    group = SimulatedGroup(Random(1))
    elect_leader(group, "a~1")
    group.isolated = {"a"}
    for _ in range(50):
        group.apply_event("a~1", CommandsProposed((b"lost",)))
    group.now += 2.0
    group.apply_event("a~1", ClockTicked())
    elect_leader(group, "b~1")
    group.isolated = set()
    group.now += 0.25
    group.apply_event("b~1", ClockTicked())
    requests = 0
    while group.messages:
        sender, receiver, message = group.messages[0]
        requests += receiver == "a~1" and isinstance(message, AppendRequest)
        group.deliver(0)
    assert group.replicas["a~1"].log.last_index == group.replicas["b~1"].log.last_index
    assert requests <= 3


def test_replaced_group_continues_with_one_replica():
    group = SimulatedGroup(Random(1))
    elect_leader(group, "a~1")
    group.apply_event("a~1", CommandsProposed((b"kept",)))
    group.isolated = {"b", "c"}
    group.now += 3.0
    group.apply_event("a~1", ClockTicked())
    group.apply_event("a~1", GroupReplaced())
    group.apply_event("a~1", ClockTicked())
    replica = group.replicas["a~1"]
    assert replica.role is ReplicaRole.LEADER
    assert (replica.voters, replica.members.generation) == (("a~1",), 1)
    assert b"kept" in [command for _, _, command in group.applied["a~1"]]
