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
    Compacted,
    Formed,
    GroupReplaced,
    InstallSnapshot,
    MembersProposed,
    Proposed,
    Received,
    Replica,
    ReplicaLog,
    ReplicaRole,
    SaveEntries,
    SaveMembers,
    SaveVote,
    SendSnapshot,
    SendTo,
    Ticked,
    election,
    membership,
    step,
)
from cranberryfield.control.consensus.membership import Joiner, next_members
from cranberryfield.control.consensus.replication import leader_lease_until
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
class World:
    """Simulated group: replicas, disks, and messages that may be lost or delayed."""

    rng: Random
    forgets_votes: bool = False
    now: float = 0.0
    replicas: dict = field(default_factory=dict)
    disks: dict = field(default_factory=dict)
    applied: dict = field(default_factory=dict)
    messages: list = field(default_factory=list)
    leaders: dict = field(default_factory=dict)
    committed: dict = field(default_factory=dict)
    joiners: dict = field(default_factory=dict)
    isolated: set = field(default_factory=set)
    commands: int = 0
    members: Members = Members()
    next_members: Callable = next_members

    def __post_init__(self):
        first = Members(tuple(f"{node}~1" for node in NODES))
        self.members = first
        for id in first.voters:
            self.boot(id)
            self.run(id, Formed(first))

    def boot(self, id):
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
            heard_leader_at=self.now,
            deadline=deadline,
        )
        self.applied[id] = list(state)

    def run(self, id, event, crash=False):
        replica = self.replicas[id]
        was_leader = replica.role is ReplicaRole.LEADER
        actions = step(replica, event, self.now)
        if crash:
            self.boot(id)
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
                disk.voted_for = None if self.forgets_votes else voted_for
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
            case SendTo(receiver, message):
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
                    self.apply(id, entry)

    def apply(self, id, entry):
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

    def deliver(self, place):
        sender, receiver, message = self.messages.pop(place)
        if receiver in self.replicas:
            self.run(receiver, Received(sender, message))

    def deliver_some(self, count):
        for _ in range(min(count, len(self.messages))):
            self.deliver(0)

    def deliver_all(self):
        while self.messages:
            self.deliver(0)

    def advance(self, seconds):
        self.now += seconds
        for id in list(self.replicas):
            self.run(id, Ticked())

    def propose(self):
        self.commands += 1
        command = b"%d" % self.commands
        for id in list(self.replicas):
            self.run(id, Proposed((command,)))

    def compact(self, id):
        replica, disk = self.replicas[id], self.disks[id]
        index = len(self.applied[id])
        if index > replica.log.base_index:
            term, members = replica.log.term_at(index), replica.log.members_at(index)
            disk.snapshot = (index, term, members, list(self.applied[id]))
            self.run(id, Compacted(index))

    def change_members(self):
        for node in self.joiners:
            self.joiners[node] = replace(self.joiners[node], heard_at=self.now)
        for id, replica in list(self.replicas.items()):
            if replica.role is ReplicaRole.LEADER:
                members = self.next_members(replica, self.joiners, self.now)
                if members is not None:
                    self.run(id, MembersProposed(members))

    def lose_disk(self, node):
        """Replace a node's disk by an empty one, if no other node is being replaced."""
        alive = set(self.replicas)
        if not set(self.members.voters) <= alive or len(self.members.voters) < 3:
            return
        old = next(id for id in self.replicas if node_of(id) == node)
        new = f"{node}~{int(old.partition('~')[2]) + 1}"
        del self.replicas[old], self.disks[old]
        self.boot(new)
        self.joiners[node] = Joiner(new, self.now)

    def walk(self, steps):
        """Perform random actions and check the logs after each."""
        for _ in range(steps):
            self.do(self.rng.randrange(100), self.rng.randrange(1000))
            self.check_logs()

    def do(self, kind, number):
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
            self.boot(id)
        elif kind < 92:
            self.run(id, Ticked(), crash=True)
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


class GroupMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World(Random(1))

    @rule(kind=st.integers(0, 99), number=st.integers(0, 999))
    def do(self, kind, number):
        self.world.do(kind, number)

    @rule(count=st.integers(1, 40))
    def deliver_some(self, count):
        self.world.deliver_some(count)

    @rule()
    def elect(self):
        self.world.isolated = set()
        self.world.advance(1.3)
        self.world.deliver_some(20)

    @invariant()
    def logs_match(self):
        self.world.check_logs()


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=60,
)


def test_group_is_safe_whatever_happens():
    run_state_machine_as_test(GroupMachine, settings=SETTINGS)


@pytest.mark.parametrize("seed", range(6))
def test_long_walks_are_safe_and_make_progress(seed):
    world = World(Random(seed))
    world.walk(1500)
    assert len(world.committed) > 20


def break_quorum(monkeypatch, world):
    half = property(lambda replica: max(1, len(replica.voters) // 2))
    monkeypatch.setattr(Replica, "quorum", half)


def break_one_at_a_time(monkeypatch, world):
    def remove_all_others(replica, joiners, now):
        return Members((replica.id,)) if len(replica.voters) > 1 else None

    monkeypatch.setattr(membership, "members_problem", lambda replica, members: None)
    world.next_members = remove_all_others


@pytest.mark.parametrize("break_rule", [break_quorum, break_one_at_a_time])
def test_a_broken_rule_is_caught(monkeypatch, break_rule):
    with pytest.raises(SafetyError):
        for seed in range(40):
            world = World(Random(seed))
            break_rule(monkeypatch, world)
            world.walk(1500)


def elect_lagging_candidate(world):
    """Make a replica that lacks a committed entry request votes."""
    lead(world, "a~1")
    world.isolated = {"c"}
    world.propose()
    world.deliver_all()
    world.isolated = {"a"}
    world.now += 2.0
    world.run("c~1", Ticked())
    world.deliver_all()


def test_a_candidate_without_a_committed_entry_is_not_elected():
    world = World(Random(1))
    elect_lagging_candidate(world)
    assert world.replicas["c~1"].role is not ReplicaRole.LEADER


def test_a_vote_without_the_log_check_is_caught(monkeypatch):
    monkeypatch.setattr(election, "_log_is_current", lambda replica, request: True)
    with pytest.raises(SafetyError, match="leader completeness"):
        elect_lagging_candidate(World(Random(1)))


def ask_twice_in_one_term(world):
    """Restart a voter between two vote requests in the same term."""
    world.messages.clear()
    world.now += 1.0
    request = VoteRequest(5, 0, 0, pre_vote=False)
    world.run("c~1", Received("a~1", request))
    world.boot("c~1")
    world.now += 1.0
    world.run("c~1", Received("b~1", request))
    return [message.granted for _, _, message in world.messages]


@pytest.mark.parametrize(
    ("forgets", "granted"), [(False, [True, False]), (True, [True, True])]
)
def test_a_vote_is_kept_through_a_restart(forgets, granted):
    world = World(Random(1), forgets_votes=forgets)
    assert ask_twice_in_one_term(world) == granted


def test_a_replica_denies_votes_just_after_its_start():
    world = World(Random(1))
    request = VoteRequest(5, 0, 0, pre_vote=False)
    world.run("c~1", Received("a~1", request))
    assert [message.granted for _, _, message in world.messages] == [False]


def lead(world, id):
    """Make one replica the leader of a group without pending messages."""
    world.now += 2.0
    world.run(id, Ticked())
    world.deliver_all()
    assert world.replicas[id].role is ReplicaRole.LEADER
    return world.replicas[id]


def test_a_leader_without_a_quorum_steps_down():
    world = World(Random(1))
    leader = lead(world, "a~1")
    world.isolated = {"a"}
    assert leader_lease_until(leader) > world.now
    for _ in range(14):
        world.now += 0.1
        world.run("a~1", Ticked())
        lease = leader_lease_until(leader)
        assert leader.role is ReplicaRole.LEADER or lease < world.now
    assert leader.role is ReplicaRole.FOLLOWER


def test_a_new_data_folder_joins_as_a_new_member():
    world = World(Random(1))
    lead(world, "a~1")
    world.lose_disk("c")
    for _ in range(40):
        world.now += 0.25
        world.run("a~1", Ticked())
        world.change_members()
        world.deliver_all()
    assert set(world.members.voters) == {"a~1", "b~1", "c~2"}


def test_a_far_behind_replica_gets_a_snapshot_in_chunks():
    world = World(Random(1))
    leader = lead(world, "a~1")
    world.isolated = {"c"}
    for _ in range(40):
        world.propose()
        world.deliver_all()
    world.compact("a~1")
    world.isolated = set()
    requests = 0
    for _ in range(10):
        world.now += 0.25
        world.run("a~1", Ticked())
        while world.messages:
            requests += isinstance(world.messages[0][2], SnapshotRequest)
            world.deliver(0)
    assert requests > 2
    assert world.replicas["c~1"].commit_index == leader.commit_index
    assert world.applied["c~1"] == world.applied["a~1"]


def test_conflicts_are_found_in_one_round_trip_a_term():
    world = World(Random(1))
    lead(world, "a~1")
    world.isolated = {"a"}
    for _ in range(50):
        world.run("a~1", Proposed((b"lost",)))
    world.now += 2.0
    world.run("a~1", Ticked())
    lead(world, "b~1")
    world.isolated = set()
    world.now += 0.25
    world.run("b~1", Ticked())
    requests = 0
    while world.messages:
        sender, receiver, message = world.messages[0]
        requests += receiver == "a~1" and isinstance(message, AppendRequest)
        world.deliver(0)
    assert world.replicas["a~1"].log.last_index == world.replicas["b~1"].log.last_index
    assert requests <= 3


def test_a_replaced_group_goes_on_with_one_replica():
    world = World(Random(1))
    lead(world, "a~1")
    world.run("a~1", Proposed((b"kept",)))
    world.isolated = {"b", "c"}
    world.now += 3.0
    world.run("a~1", Ticked())
    world.run("a~1", GroupReplaced())
    world.run("a~1", Ticked())
    replica = world.replicas["a~1"]
    assert replica.role is ReplicaRole.LEADER
    assert (replica.voters, replica.members.generation) == (("a~1",), 1)
    assert b"kept" in [command for _, _, command in world.applied["a~1"]]
