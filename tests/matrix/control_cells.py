"""Scenarios about settings changes: each combination of step and fault."""

import os
import time
from collections.abc import Callable
from itertools import count

from standins.group import Group
from standins.processes import wait_until
from tests.matrix.cells import CellResult, Scenario
from tests.matrix.checks import check_changes
from tests.matrix.context import FRONTS, ScenarioContext
from tests.matrix.operators import ChangeProbe, Operator, probe_edit

__all__ = ["control_scenarios"]

OPERATOR_TIMEOUT_S = 20.0
FAULT_TIME_S = 3.0
PROBE_AFTER_FAULT_S = 4.2
PROBE_POLL_S = 0.05
#: Longer than the interval at which hosts send settings to their peers.
REVERT_TIME_S = 1.0
#: Longer than the leases and election timeouts of the control group.
ELECTION_TIME_S = 3.0
TORN_RECORD = bytes(7)
CUT_BYTES = 9
_change_numbers = count(1)


class ChangeContext:
    """State of a scenario with one settings change.

    Parameters
    ----------
    group : Group
        Running group.
    front : str
        Entry host to which the operator sends the change first.
    """

    def __init__(self, group: Group, front: str):
        self.context = ScenarioContext(group, front)
        self.leader = self.context.leader()
        self.followers = [
            one for one in self.context.control_hosts if one != self.leader
        ]
        base = next(_change_numbers)
        group.wait_for_revision(
            group.change_settings([probe_edit(base)], f"probe-{base}", front)
        )
        hosts = [group.hosts[node].callers for node in self.context.entry_hosts]
        self.operator = Operator(next(_change_numbers), hosts)
        self.probe = ChangeProbe(group, [base, self.operator.number])

    @property
    def links(self):
        """The group's fault proxies."""
        return self.context.links

    def control(self, node: str) -> dict:
        """Return the log state that a control host reports, or zeros."""
        view = self.context.group.status(node)
        return view["control"] if view else {"last_index": 0, "commit_index": 0}

    def log_size(self, node: str) -> int:
        """Return the size of a control host's data folder in bytes."""
        folder = self.context.group.data_folder(node)
        return sum(file.stat().st_size for file in folder.rglob("*") if file.is_file())


def _hold_links(
    change: ChangeContext, senders: list[str], receivers: list[str]
) -> None:
    for sender in senders:
        for receiver in receivers:
            if sender != receiver:
                change.links.hold(sender, receiver)


def _wait_step(condition: Callable[[], bool], what: str) -> None:
    wait_until(condition, what, timeout_s=8.0)


def _before_append(change: ChangeContext) -> None:
    context = change.context
    _hold_links(change, [context.front], context.control_hosts)
    change.operator.start()
    _wait_step(
        lambda: any(
            change.links.held_bytes(context.front, one) for one in context.control_hosts
        ),
        "change sent to control",
    )


def _appended(change: ChangeContext) -> None:
    _hold_links(change, [change.leader], change.followers)
    before = change.control(change.leader)["last_index"]
    change.operator.start()
    _wait_step(lambda: change.control(change.leader)["last_index"] > before, "appended")


def _synced(change: ChangeContext) -> None:
    _hold_links(change, [change.leader], change.followers)
    before = change.log_size(change.leader)
    change.operator.start()
    _wait_step(lambda: change.log_size(change.leader) > before, "on the leader's disk")


def _replicated(change: ChangeContext) -> None:
    _hold_links(change, change.followers, [change.leader])
    before = change.control(change.leader)["last_index"]
    change.operator.start()
    _wait_step(
        lambda: all(
            change.control(one)["last_index"] > before for one in change.followers
        ),
        "on the followers' disks",
    )


def _committed(change: ChangeContext) -> None:
    all_hosts = list(change.context.group.hosts)
    before = change.control(change.leader)["commit_index"]
    # Status requests of this process do not pass through the held links.
    _hold_links(change, [change.leader], change.context.entry_hosts)
    _hold_links(change, change.followers, [*change.context.entry_hosts])
    change.operator.start()
    _wait_step(
        lambda: change.control(change.leader)["commit_index"] > before, "committed"
    )
    _hold_links(change, [change.leader], all_hosts)


def _applied(change: ChangeContext) -> None:
    before = change.control(change.leader)["commit_index"]
    _hold_links(change, change.context.control_hosts, [change.context.front])
    change.operator.start()
    _wait_step(
        lambda: all(
            change.control(one)["commit_index"] > before
            for one in change.context.control_hosts
        ),
        "applied by all",
    )


def _acknowledged(change: ChangeContext) -> None:
    change.operator.start()
    _wait_step(lambda: bool(change.operator.accepted), "acknowledged")


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
LEADER_ONLY_STEPS = ("appended", "synced")


def _none(change: ChangeContext) -> None:
    """Inject nothing."""


def _kill_leader(change: ChangeContext) -> None:
    change.context.kill_host(change.leader)


def _kill_follower(change: ChangeContext) -> None:
    change.context.kill_host(change.followers[0])


def _kill_front(change: ChangeContext) -> None:
    change.context.kill_host(change.context.front)


def _freeze_leader(change: ChangeContext) -> None:
    change.context.freeze(change.context.host(change.leader).process)


def _freeze_follower(change: ChangeContext) -> None:
    change.context.freeze(change.context.host(change.followers[0]).process)


def _cut_leader(change: ChangeContext) -> None:
    for node in change.context.group.hosts:
        change.links.cut(change.leader, node)


def _drop_from_leader(change: ChangeContext) -> None:
    for node in change.context.group.hosts:
        change.links.drop(change.leader, node)


def _drop_to_leader(change: ChangeContext) -> None:
    for node in change.context.group.hosts:
        change.links.drop(node, change.leader)


def _cut_front(change: ChangeContext) -> None:
    for control in change.context.control_hosts:
        change.links.cut(change.context.front, control)


def _silence_leader(change: ChangeContext) -> None:
    for node in change.context.group.hosts:
        change.links.silence(change.leader, node)


def _lose_data_centre(change: ChangeContext) -> None:
    zone = change.context.host(change.leader).spec.data_centre
    for node, host in change.context.group.hosts.items():
        if host.spec.data_centre == zone:
            change.context.kill_host(node)


def _restart_all(change: ChangeContext) -> None:
    group = change.context.group
    for node in group.hosts:
        change.context.kill_host(node)
    change.links.release()
    change.links.heal()
    for host in group.hosts.values():
        host.process.start()


def _append_torn_record(change: ChangeContext) -> None:
    """Append an incomplete record to the leader's log and restart the leader."""
    change.context.kill_host(change.leader)
    folder = change.context.group.data_folder(change.leader)
    newest = max(folder.rglob("log*"), key=lambda path: path.stat().st_mtime_ns)
    with open(newest, "ab") as file:
        file.write(TORN_RECORD)
        os.fsync(file.fileno())
    _restart(change, change.leader)


def _truncate_tail(change: ChangeContext) -> None:
    """Truncate the leader's newest entry, which only it has, and restart the leader."""
    change.context.kill_host(change.leader)
    change.context.group.truncate_log(change.leader, CUT_BYTES)
    _restart(change, change.leader)


def _restart(change: ChangeContext, node: str) -> None:
    change.links.release()
    change.links.heal(node)
    change.context.host(node).process.start()


def _lose_disk(change: ChangeContext) -> None:
    follower = change.followers[0]
    change.context.kill_host(follower)
    change.context.group.delete_data(follower)
    _restart(change, follower)


def _lose_disk_then_kill_leader(change: ChangeContext) -> None:
    """Restart a follower with an empty disk, then kill the leader.

    The follower must not help to elect a leader without the newest entry.
    """
    _lose_disk(change)
    time.sleep(ELECTION_TIME_S)
    change.context.kill_host(change.leader)


def _kill_leader_twice(change: ChangeContext) -> None:
    change.context.kill_host(change.leader)
    change.links.release()
    successor = change.context.leader()
    change.links.heal(change.leader)
    change.context.host(change.leader).process.start()
    wait_until(lambda: change.context.group.status(change.leader), "leader is back")
    change.context.kill_host(successor)


def _resend_change(change: ChangeContext) -> None:
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
    "torn-tail": _append_torn_record,
    "disk-lost": _lose_disk,
    "disk-lost+kill-leader": _lose_disk_then_kill_leader,
    "second-loss": _kill_leader_twice,
    "change-resent": _resend_change,
}
GROUP_DISCARDING_FAULTS = frozenset({"disk-lost", "disk-lost+kill-leader"})


def control_scenarios() -> list[Scenario]:
    """Return the scenarios about settings changes in the order of their runs."""
    scenarios = [
        _scenario(f"{step}/{fault}", reach, inject, fault in GROUP_DISCARDING_FAULTS)
        for step, reach in STEPS.items()
        for fault, inject in FAULTS.items()
    ]
    scenarios += [
        _scenario(f"{step}/cut-tail", STEPS[step], _truncate_tail)
        for step in LEADER_ONLY_STEPS
    ]
    scenarios.append(_race_scenario())
    return scenarios


def _scenario(
    name: str, reach: Callable, inject: Callable, discards_group: bool = False
) -> Scenario:
    cell = f"{name}/change"

    def run(group: Group, index: int) -> list[CellResult]:
        change = ChangeContext(group, FRONTS[index % len(FRONTS)])
        change.probe.start()
        result = CellResult(cell)
        try:
            reach(change)
            inject(change)
            change.links.release()
            change.operator.finish(FAULT_TIME_S)
        except TimeoutError as error:
            result.failures.append(f"step or fault not reached: {error}")
        _finish_cell(change, result, repaired=not discards_group)
        return [result]

    return Scenario(name, (cell,), run, discards_group)


def _finish_cell(change: ChangeContext, result: CellResult, *, repaired: bool) -> None:
    """Undo the fault, resend the change until it is accepted, and run the checks."""
    context = change.context
    context.links.release()
    if repaired:
        context.repair()
    elif not context.host(change.leader).process.is_running:
        _restart(change, change.leader)
    if not change.operator.accepted:
        again = Operator(change.operator.number, change.operator.hosts)
        again.start()
        again.finish(OPERATOR_TIMEOUT_S)
        change.operator.accepted += again.accepted
        change.operator.revisions += again.revisions
    if not change.operator.accepted:
        result.failures.append(f"I7 not accepted: {change.operator.statuses}")
    if len(set(change.operator.revisions)) > 1:
        result.failures.append(
            f"I7 responses with different revisions: {change.operator.revisions}"
        )
    _probe_until_in_force(change)
    end_ns = change.probe.stop()
    accepted = change.operator.accepted[:1]
    result.failures += check_changes(accepted, change.probe.observations, end_ns)
    result.failures += _outdated_hosts(change)


def _probe_until_in_force(change: ChangeContext) -> None:
    """Keep probing until the change is in force on all entry hosts or time is out.

    Probing goes on for ``REVERT_TIME_S`` after that, to detect a revert.
    """
    deadline = time.monotonic() + PROBE_AFTER_FAULT_S
    while _outdated_hosts(change) and time.monotonic() < deadline:
        time.sleep(PROBE_POLL_S)
    time.sleep(REVERT_TIME_S)


def _outdated_hosts(change: ChangeContext) -> list[str]:
    """Return a message for each entry host without the newest change at the end."""
    last = {one.host: one.number for one in change.probe.observations}
    return [
        f"I7 {node}: last observed with change {last.get(node)} in force, not "
        f"{change.operator.number}"
        for node in change.context.entry_hosts
        if last.get(node) != change.operator.number
    ]


def _race_scenario() -> Scenario:
    cell = "before-append/operators-race/change"

    def run(group: Group, index: int) -> list[CellResult]:
        result = CellResult(cell)
        for _ in range(5):
            result.failures += _race_once(
                ScenarioContext(group, FRONTS[index % len(FRONTS)])
            )
        return [result]

    return Scenario("before-append/operators-race", (cell,), run)


def _race_once(context: ScenarioContext) -> list[str]:
    """Send three concurrent changes based on one revision; exactly one must succeed."""
    group = context.group
    base = next(_change_numbers)
    revision = group.change_settings([probe_edit(base)], f"probe-{base}", context.front)
    group.wait_for_revision(revision)
    hosts = [group.hosts[node].callers for node in context.entry_hosts]
    rivals = [
        Operator(next(_change_numbers), hosts[index:], expected_revision=revision)
        for index in range(3)
    ]
    probe = ChangeProbe(group, [base, *(one.number for one in rivals)])
    for rival in rivals:
        rival.start()
    for rival in rivals:
        rival.finish(OPERATOR_TIMEOUT_S)
    winners = [one for one in rivals if one.accepted]
    if len(winners) != 1:
        return [f"I7 {len(winners)} of 3 changes on one revision were accepted"]
    group.wait_for_revision(winners[0].revisions[0])
    probe.start()
    wait_until(
        lambda: {one.host for one in probe.observations} >= set(context.entry_hosts),
        "observations of all entry hosts",
    )
    probe.stop()
    return [
        f"I7 {one.host}: change in force is the rejected {one.number}"
        for one in probe.observations
        if one.number != winners[0].number
    ]
