"""Scenarios about settings changes: each combination of step and fault."""

import os
import time
from collections.abc import Callable
from itertools import count

from standins.group import Group
from standins.processes import wait_until
from tests.matrix.cells import CellResult, Scenario
from tests.matrix.checks import check_changes
from tests.matrix.operators import Operator, Watch, probe_edit
from tests.matrix.scene import FRONTS, Scene

__all__ = ["control_scenarios"]

OPERATOR_TIMEOUT_S = 20.0
FAULT_TIME_S = 3.0
WATCH_AFTER_S = 4.2
WATCH_POLL_S = 0.05
#: Longer than the interval at which hosts send settings to their peers.
REVERT_TIME_S = 1.0
#: Longer than the leases and election timeouts of the control group.
ELECTION_TIME_S = 3.0
TORN_RECORD = bytes(7)
CUT_BYTES = 9
_numbers = count(1)


class ChangeScene:
    """State of a scenario with one settings change.

    Parameters
    ----------
    group : Group
        Running group.
    front : str
        Entry host to which the operator sends the change first.
    """

    def __init__(self, group: Group, front: str):
        self.scene = Scene(group, front)
        self.leader = self.scene.leader()
        self.followers = [one for one in self.scene.controls if one != self.leader]
        base = next(_numbers)
        group.wait_revision(
            group.change_settings([probe_edit(base)], f"probe-{base}", front)
        )
        hosts = [group.hosts[node].callers for node in self.scene.entries]
        self.operator = Operator(next(_numbers), hosts)
        self.watch = Watch(group, [base, self.operator.number])

    @property
    def links(self):
        """The group's fault proxies."""
        return self.scene.links

    def control(self, node: str) -> dict:
        """Return the log state that a control host reports, or zeros."""
        view = self.scene.group.status(node)
        return view["control"] if view else {"last_index": 0, "commit_index": 0}

    def log_size(self, node: str) -> int:
        """Return the size of a control host's data folder in bytes."""
        folder = self.scene.group.data_folder(node)
        return sum(file.stat().st_size for file in folder.rglob("*") if file.is_file())


def _hold(change: ChangeScene, senders: list[str], receivers: list[str]) -> None:
    for sender in senders:
        for receiver in receivers:
            if sender != receiver:
                change.links.hold(sender, receiver)


def _wait(condition: Callable[[], bool], what: str) -> None:
    wait_until(condition, what, timeout_s=8.0)


def _before_append(change: ChangeScene) -> None:
    scene = change.scene
    _hold(change, [scene.front], scene.controls)
    change.operator.start()
    _wait(
        lambda: any(change.links.held(scene.front, one) for one in scene.controls),
        "change sent to control",
    )


def _appended(change: ChangeScene) -> None:
    _hold(change, [change.leader], change.followers)
    before = change.control(change.leader)["last_index"]
    change.operator.start()
    _wait(lambda: change.control(change.leader)["last_index"] > before, "appended")


def _synced(change: ChangeScene) -> None:
    _hold(change, [change.leader], change.followers)
    before = change.log_size(change.leader)
    change.operator.start()
    _wait(lambda: change.log_size(change.leader) > before, "on the leader's disk")


def _replicated(change: ChangeScene) -> None:
    _hold(change, change.followers, [change.leader])
    before = change.control(change.leader)["last_index"]
    change.operator.start()
    _wait(
        lambda: all(
            change.control(one)["last_index"] > before for one in change.followers
        ),
        "on the followers' disks",
    )


def _committed(change: ChangeScene) -> None:
    everyone = list(change.scene.group.hosts)
    before = change.control(change.leader)["commit_index"]
    # Status requests of this process do not pass through the held links.
    _hold(change, [change.leader], change.scene.entries)
    _hold(change, change.followers, [*change.scene.entries])
    change.operator.start()
    _wait(lambda: change.control(change.leader)["commit_index"] > before, "committed")
    _hold(change, [change.leader], everyone)


def _applied(change: ChangeScene) -> None:
    before = change.control(change.leader)["commit_index"]
    _hold(change, change.scene.controls, [change.scene.front])
    change.operator.start()
    _wait(
        lambda: all(
            change.control(one)["commit_index"] > before
            for one in change.scene.controls
        ),
        "applied by all",
    )


def _acknowledged(change: ChangeScene) -> None:
    change.operator.start()
    _wait(lambda: bool(change.operator.accepted), "acknowledged")


STEPS = {
    "before-append": _before_append,
    "appended": _appended,
    "synced": _synced,
    "replicated": _replicated,
    "committed": _committed,
    "applied": _applied,
    "acknowledged": _acknowledged,
}
#: Steps at which only the leader has its newest entry.
LEADER_ALONE = ("appended", "synced")


def _none(change: ChangeScene) -> None:
    """Inject nothing."""


def _kill_leader(change: ChangeScene) -> None:
    change.scene.kill_host(change.leader)


def _kill_follower(change: ChangeScene) -> None:
    change.scene.kill_host(change.followers[0])


def _kill_front(change: ChangeScene) -> None:
    change.scene.kill_host(change.scene.front)


def _freeze_leader(change: ChangeScene) -> None:
    change.scene.freeze(change.scene.host(change.leader).process)


def _freeze_follower(change: ChangeScene) -> None:
    change.scene.freeze(change.scene.host(change.followers[0]).process)


def _cut_leader(change: ChangeScene) -> None:
    for node in change.scene.group.hosts:
        change.links.cut(change.leader, node)


def _drop_from_leader(change: ChangeScene) -> None:
    for node in change.scene.group.hosts:
        change.links.drop(change.leader, node)


def _drop_to_leader(change: ChangeScene) -> None:
    for node in change.scene.group.hosts:
        change.links.drop(node, change.leader)


def _cut_front(change: ChangeScene) -> None:
    for control in change.scene.controls:
        change.links.cut(change.scene.front, control)


def _silence_leader(change: ChangeScene) -> None:
    for node in change.scene.group.hosts:
        change.links.silence(change.leader, node)


def _lose_data_centre(change: ChangeScene) -> None:
    zone = change.scene.host(change.leader).plan.data_centre
    for node, host in change.scene.group.hosts.items():
        if host.plan.data_centre == zone:
            change.scene.kill_host(node)


def _restart_all(change: ChangeScene) -> None:
    group = change.scene.group
    for node in group.hosts:
        change.scene.kill_host(node)
    change.links.release()
    change.links.heal()
    for host in group.hosts.values():
        host.process.start()


def _torn_tail(change: ChangeScene) -> None:
    """Append an incomplete record to the leader's log and restart the leader."""
    change.scene.kill_host(change.leader)
    folder = change.scene.group.data_folder(change.leader)
    newest = max(folder.rglob("log*"), key=lambda path: path.stat().st_mtime_ns)
    with open(newest, "ab") as file:
        file.write(TORN_RECORD)
        os.fsync(file.fileno())
    _restart(change, change.leader)


def _cut_tail(change: ChangeScene) -> None:
    """Truncate the leader's newest entry, which only it has, and restart the leader."""
    change.scene.kill_host(change.leader)
    change.scene.group.tear_tail(change.leader, CUT_BYTES)
    _restart(change, change.leader)


def _restart(change: ChangeScene, node: str) -> None:
    change.links.release()
    change.links.heal(node)
    change.scene.host(node).process.start()


def _disk_lost(change: ChangeScene) -> None:
    follower = change.followers[0]
    change.scene.kill_host(follower)
    change.scene.group.lose_disk(follower)
    _restart(change, follower)


def _disk_lost_then_leader(change: ChangeScene) -> None:
    """Restart a follower with an empty disk, then kill the leader.

    The follower must not help to elect a leader without the newest entry.
    """
    _disk_lost(change)
    time.sleep(ELECTION_TIME_S)
    change.scene.kill_host(change.leader)


def _kill_leader_twice(change: ChangeScene) -> None:
    change.scene.kill_host(change.leader)
    change.links.release()
    successor = change.scene.leader()
    change.links.heal(change.leader)
    change.scene.host(change.leader).process.start()
    wait_until(lambda: change.scene.group.status(change.leader), "leader is back")
    change.scene.kill_host(successor)


def _resent(change: ChangeScene) -> None:
    change.links.release()
    change.operator.finish(OPERATOR_TIMEOUT_S)
    for host in change.operator.hosts:
        change.operator.send(host)


FAULTS = {
    "none": _none,
    "kill-leader": _kill_leader,
    "kill-follower": _kill_follower,
    "kill-front": _kill_front,
    "freeze-leader": _freeze_leader,
    "freeze-follower": _freeze_follower,
    "cut-leader": _cut_leader,
    "drop-from-leader": _drop_from_leader,
    "drop-to-leader": _drop_to_leader,
    "cut-front": _cut_front,
    "silence-leader": _silence_leader,
    "lose-data-centre": _lose_data_centre,
    "restart-all": _restart_all,
    "torn-tail": _torn_tail,
    "disk-lost": _disk_lost,
    "disk-lost+kill-leader": _disk_lost_then_leader,
    "second-loss": _kill_leader_twice,
    "change-resent": _resent,
}
OWN_GROUP = frozenset({"disk-lost", "disk-lost+kill-leader"})


def control_scenarios() -> list[Scenario]:
    """Return the scenarios about settings changes in the order of their runs."""
    rows = [
        _scenario(f"{step}/{fault}", reach, inject, fault in OWN_GROUP)
        for step, reach in STEPS.items()
        for fault, inject in FAULTS.items()
    ]
    rows += [
        _scenario(f"{step}/cut-tail", STEPS[step], _cut_tail) for step in LEADER_ALONE
    ]
    rows.append(_race_scenario())
    return rows


def _scenario(
    name: str, reach: Callable, inject: Callable, own_group: bool = False
) -> Scenario:
    cell = f"{name}/change"

    def run(group: Group, turn: int) -> list[CellResult]:
        change = ChangeScene(group, FRONTS[turn % len(FRONTS)])
        change.watch.start()
        result = CellResult(cell)
        try:
            reach(change)
            inject(change)
            change.links.release()
            change.operator.finish(FAULT_TIME_S)
        except TimeoutError as error:
            result.wrong.append(f"step or fault not reached: {error}")
        _let_end(change, result, repaired=not own_group)
        return [result]

    return Scenario(name, (cell,), run, own_group)


def _let_end(change: ChangeScene, result: CellResult, *, repaired: bool) -> None:
    """Undo the fault, resend the change until it is accepted, and run the checks."""
    scene = change.scene
    scene.links.release()
    if repaired:
        scene.repair()
    elif not scene.host(change.leader).process.is_running:
        _restart(change, change.leader)
    if not change.operator.accepted:
        again = Operator(change.operator.number, change.operator.hosts)
        again.start()
        again.finish(OPERATOR_TIMEOUT_S)
        change.operator.accepted += again.accepted
        change.operator.revisions += again.revisions
    if not change.operator.accepted:
        result.wrong.append(f"I7 not accepted: {change.operator.statuses}")
    if len(set(change.operator.revisions)) > 1:
        result.wrong.append(f"I7 two answers: {change.operator.revisions}")
    _watch_on(change)
    end_ns = change.watch.stop()
    accepted = change.operator.accepted[:1]
    result.wrong += check_changes(accepted, change.watch.observations, end_ns)
    result.wrong += _unseen(change)


def _watch_on(change: ChangeScene) -> None:
    """Keep probing until the change is in force on all entry hosts or time is out.

    Probing goes on for ``REVERT_TIME_S`` after that, to detect a revert.
    """
    deadline = time.monotonic() + WATCH_AFTER_S
    while _unseen(change) and time.monotonic() < deadline:
        time.sleep(WATCH_POLL_S)
    time.sleep(REVERT_TIME_S)


def _unseen(change: ChangeScene) -> list[str]:
    """Return a message for each entry host last observed without the newest change."""
    last = {one.host: one.number for one in change.watch.observations}
    return [
        f"I7 {node}: last seen at {last.get(node)}, not {change.operator.number}"
        for node in change.scene.entries
        if last.get(node) != change.operator.number
    ]


def _race_scenario() -> Scenario:
    cell = "before-append/operators-race/change"

    def run(group: Group, turn: int) -> list[CellResult]:
        result = CellResult(cell)
        for _ in range(5):
            result.wrong += _race_once(Scene(group, FRONTS[turn % len(FRONTS)]))
        return [result]

    return Scenario("before-append/operators-race", (cell,), run)


def _race_once(scene: Scene) -> list[str]:
    """Send three concurrent changes based on one revision; exactly one must succeed."""
    group = scene.group
    base = next(_numbers)
    revision = group.change_settings([probe_edit(base)], f"probe-{base}", scene.front)
    group.wait_revision(revision)
    hosts = [group.hosts[node].callers for node in scene.entries]
    rivals = [
        Operator(next(_numbers), hosts[turn:], expected_revision=revision)
        for turn in range(3)
    ]
    watch = Watch(group, [base, *(one.number for one in rivals)])
    for rival in rivals:
        rival.start()
    for rival in rivals:
        rival.finish(OPERATOR_TIMEOUT_S)
    winners = [one for one in rivals if one.accepted]
    if len(winners) != 1:
        return [f"I7 {len(winners)} of 3 changes on one revision were accepted"]
    group.wait_revision(winners[0].revisions[0])
    watch.start()
    wait_until(
        lambda: {one.host for one in watch.observations} >= set(scene.entries),
        "all hosts were seen",
    )
    watch.stop()
    return [
        f"I7 {one.host}: at the loser {one.number}"
        for one in watch.observations
        if one.number != winners[0].number
    ]
