"""Faults that are injected once a scenario has reached its step."""

from collections.abc import Callable
from dataclasses import dataclass

from standins.links import CALLERS, ENTRIES
from standins.processes import wait_until
from tests.matrix.context import ScenarioContext

__all__ = ["FAULTS", "Fault"]


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, or two together.

    Attributes
    ----------
    name : str
        Name in the ids of cells.
    inject : callable
        Function that injects the fault.
    announced : bool
        Whether processes get notice before they end, so that no request may end as
        ``outcome_unknown``.
    """

    name: str
    inject: Callable[[ScenarioContext], None]
    announced: bool = False


def _none(context: ScenarioContext) -> None:
    """Inject nothing."""


def _kill_front(context: ScenarioContext) -> None:
    context.kill_host(context.front)


def _kill_other(number: int) -> Callable[[ScenarioContext], None]:
    def inject(context: ScenarioContext) -> None:
        context.kill_host(context.other_entry_hosts[number])

    return inject


def _kill_upstream(context: ScenarioContext) -> None:
    for name in context.running_upstreams():
        context.kill_upstream(name)


def _kill_leader(context: ScenarioContext) -> None:
    context.kill_host(context.leader())


def _kill_follower(context: ScenarioContext) -> None:
    leader = context.leader()
    context.kill_host(next(one for one in context.control_hosts if one != leader))


def _reclaim_upstream(context: ScenarioContext) -> None:
    for name in context.running_upstreams():
        context.reclaim_upstream(name)


def _reclaim_front(context: ScenarioContext) -> None:
    context.reclaim_host(context.front)


def _stop_front(context: ScenarioContext) -> None:
    context.stop_host(context.front)


def _stop_other(context: ScenarioContext) -> None:
    context.stop_host(context.other_entry_hosts[0])


def _freeze_front(context: ScenarioContext) -> None:
    context.freeze(context.host(context.front).process)


def _freeze_other(context: ScenarioContext) -> None:
    context.freeze(context.host(context.other_entry_hosts[0]).process)


def _freeze_upstream(context: ScenarioContext) -> None:
    for name in context.running_upstreams():
        context.freeze(context.group.upstreams[name])


def _freeze_leader(context: ScenarioContext) -> None:
    context.freeze(context.host(context.leader()).process)


def _freeze_follower(context: ScenarioContext) -> None:
    leader = context.leader()
    follower = next(one for one in context.control_hosts if one != leader)
    context.freeze(context.host(follower).process)


def _cut_upstream(context: ScenarioContext) -> None:
    for name in context.running_upstreams():
        context.links.cut(ENTRIES, name)


def _drop_to_upstream(context: ScenarioContext) -> None:
    for name in context.running_upstreams():
        context.links.drop(ENTRIES, name)


def _drop_from_upstream(context: ScenarioContext) -> None:
    for name in context.running_upstreams():
        context.links.drop(name, ENTRIES)


def _cut_entries(context: ScenarioContext) -> None:
    for peer in context.other_entry_hosts:
        context.links.cut(context.front, peer)


def _drop_to_entries(context: ScenarioContext) -> None:
    for peer in context.other_entry_hosts:
        context.links.drop(context.front, peer)


def _cut_control(context: ScenarioContext) -> None:
    for control in context.control_hosts:
        context.links.cut(context.front, control)


def _drop_to_control(context: ScenarioContext) -> None:
    for control in context.control_hosts:
        context.links.drop(context.front, control)


def _drop_from_control(context: ScenarioContext) -> None:
    for control in context.control_hosts:
        context.links.drop(control, context.front)


def _cut_leader(context: ScenarioContext) -> None:
    leader = context.leader()
    for control in context.control_hosts:
        context.links.cut(leader, control)


def _cut_callers(context: ScenarioContext) -> None:
    context.links.cut(CALLERS, context.front)


def _silence_upstream(context: ScenarioContext) -> None:
    for name in context.running_upstreams():
        context.links.silence(ENTRIES, name)


def _silence_mesh(context: ScenarioContext) -> None:
    for peer in (*context.other_entry_hosts, *context.control_hosts):
        context.links.silence(context.front, peer)


def _silence_callers(context: ScenarioContext) -> None:
    context.links.silence(CALLERS, context.front)


def _lose_data_centre(context: ScenarioContext) -> None:
    zone = context.host(context.front).spec.data_centre
    for node, host in context.group.hosts.items():
        if host.spec.data_centre == zone:
            context.kill_host(node)
    for name in context.group.upstreams:
        if name.endswith(f"-{zone}"):
            context.kill_upstream(name)


def _second_loss(context: ScenarioContext) -> None:
    """Kill the upstreams, restart them, and kill those that run the requests next."""
    first = {caller.key: context.upstream_of(caller) for caller in context.callers}
    _kill_upstream(context)
    context.links.release()
    for name in set(first.values()):
        context.links.heal(name)
        context.group.start_upstream(name)
    for name in set(first.values()):
        wait_until(
            lambda name=name: _is_known_to_entries(context, name), f"{name} is back"
        )
    for caller in context.callers:
        wait_until(
            lambda caller=caller: (
                caller.is_done or context.upstream_of(caller) != first[caller.key]
            ),
            f"{caller.key} runs on another upstream",
            timeout_s=15.0,
        )
    _kill_upstream(context)


def _is_known_to_entries(context: ScenarioContext, name: str) -> bool:
    incarnation = context.group.incarnation(name)
    return all(
        any(
            one["upstream"] == name and one["incarnation"] == incarnation
            for one in context.group.known_upstreams(node)
        )
        for node in context.entry_hosts
    )


def _inject_each(
    *injects: Callable[[ScenarioContext], None],
) -> Callable[[ScenarioContext], None]:
    def inject(context: ScenarioContext) -> None:
        for one in injects:
            one(context)

    return inject


FAULTS = {
    fault.name: fault
    for fault in (
        Fault("none", _none, announced=True),
        Fault("kill-front", _kill_front),
        Fault("kill-other-1", _kill_other(0)),
        Fault("kill-other-2", _kill_other(1)),
        Fault("kill-upstream", _kill_upstream),
        Fault("kill-leader", _kill_leader),
        Fault("kill-follower", _kill_follower),
        Fault("reclaim-upstream", _reclaim_upstream, announced=True),
        Fault("reclaim-front", _reclaim_front, announced=True),
        Fault("stop-front", _stop_front, announced=True),
        Fault("stop-other", _stop_other, announced=True),
        Fault("freeze-front", _freeze_front),
        Fault("freeze-other", _freeze_other),
        Fault("freeze-upstream", _freeze_upstream),
        Fault("freeze-leader", _freeze_leader),
        Fault("freeze-follower", _freeze_follower),
        Fault("cut-upstream", _cut_upstream),
        Fault("drop-to-upstream", _drop_to_upstream),
        Fault("drop-from-upstream", _drop_from_upstream),
        Fault("cut-entries", _cut_entries),
        Fault("drop-to-entries", _drop_to_entries),
        Fault("cut-control", _cut_control),
        Fault("drop-to-control", _drop_to_control),
        Fault("drop-from-control", _drop_from_control),
        Fault("cut-leader", _cut_leader),
        Fault("cut-callers", _cut_callers),
        Fault("silence-upstream", _silence_upstream),
        Fault("silence-mesh", _silence_mesh),
        Fault("silence-callers", _silence_callers),
        Fault("lose-data-centre", _lose_data_centre),
        Fault("second-loss", _second_loss),
        Fault("kill-front+kill-upstream", _inject_each(_kill_upstream, _kill_front)),
        Fault("kill-front+kill-other-1", _inject_each(_kill_front, _kill_other(0))),
        Fault("kill-front+kill-leader", _inject_each(_kill_front, _kill_leader)),
        Fault("cut-control+kill-upstream", _inject_each(_kill_upstream, _cut_control)),
        Fault("freeze-front+kill-leader", _inject_each(_freeze_front, _kill_leader)),
        Fault(
            "reclaim-upstream+stop-front",
            _inject_each(_reclaim_upstream, _stop_front),
            announced=True,
        ),
    )
}
