"""Faults that are injected once a scenario has reached its step."""

from collections.abc import Callable
from dataclasses import dataclass

from standins.links import CALLERS, ENTRIES
from standins.processes import wait_until
from tests.matrix.scene import Scene

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
    inject: Callable[[Scene], None]
    announced: bool = False


def _none(scene: Scene) -> None:
    """Inject nothing."""


def _kill_front(scene: Scene) -> None:
    scene.kill_host(scene.front)


def _kill_other(number: int) -> Callable[[Scene], None]:
    def inject(scene: Scene) -> None:
        scene.kill_host(scene.others[number])

    return inject


def _kill_upstream(scene: Scene) -> None:
    for name in scene.running_upstreams():
        scene.kill_upstream(name)


def _kill_leader(scene: Scene) -> None:
    scene.kill_host(scene.leader())


def _kill_follower(scene: Scene) -> None:
    leader = scene.leader()
    scene.kill_host(next(one for one in scene.controls if one != leader))


def _reclaim_upstream(scene: Scene) -> None:
    for name in scene.running_upstreams():
        scene.reclaim_upstream(name)


def _reclaim_front(scene: Scene) -> None:
    scene.reclaim_host(scene.front)


def _stop_front(scene: Scene) -> None:
    scene.stop_host(scene.front)


def _stop_other(scene: Scene) -> None:
    scene.stop_host(scene.others[0])


def _freeze_front(scene: Scene) -> None:
    scene.freeze(scene.host(scene.front).process)


def _freeze_other(scene: Scene) -> None:
    scene.freeze(scene.host(scene.others[0]).process)


def _freeze_upstream(scene: Scene) -> None:
    for name in scene.running_upstreams():
        scene.freeze(scene.group.upstreams[name])


def _freeze_leader(scene: Scene) -> None:
    scene.freeze(scene.host(scene.leader()).process)


def _freeze_follower(scene: Scene) -> None:
    leader = scene.leader()
    follower = next(one for one in scene.controls if one != leader)
    scene.freeze(scene.host(follower).process)


def _cut_upstream(scene: Scene) -> None:
    for name in scene.running_upstreams():
        scene.links.cut(ENTRIES, name)


def _drop_to_upstream(scene: Scene) -> None:
    for name in scene.running_upstreams():
        scene.links.drop(ENTRIES, name)


def _drop_from_upstream(scene: Scene) -> None:
    for name in scene.running_upstreams():
        scene.links.drop(name, ENTRIES)


def _cut_entries(scene: Scene) -> None:
    for peer in scene.others:
        scene.links.cut(scene.front, peer)


def _drop_to_entries(scene: Scene) -> None:
    for peer in scene.others:
        scene.links.drop(scene.front, peer)


def _cut_control(scene: Scene) -> None:
    for control in scene.controls:
        scene.links.cut(scene.front, control)


def _drop_to_control(scene: Scene) -> None:
    for control in scene.controls:
        scene.links.drop(scene.front, control)


def _drop_from_control(scene: Scene) -> None:
    for control in scene.controls:
        scene.links.drop(control, scene.front)


def _cut_leader(scene: Scene) -> None:
    leader = scene.leader()
    for control in scene.controls:
        scene.links.cut(leader, control)


def _cut_callers(scene: Scene) -> None:
    scene.links.cut(CALLERS, scene.front)


def _silence_upstream(scene: Scene) -> None:
    for name in scene.running_upstreams():
        scene.links.silence(ENTRIES, name)


def _silence_mesh(scene: Scene) -> None:
    for peer in (*scene.others, *scene.controls):
        scene.links.silence(scene.front, peer)


def _silence_callers(scene: Scene) -> None:
    scene.links.silence(CALLERS, scene.front)


def _lose_data_centre(scene: Scene) -> None:
    zone = scene.host(scene.front).plan.data_centre
    for node, host in scene.group.hosts.items():
        if host.plan.data_centre == zone:
            scene.kill_host(node)
    for name in scene.group.upstreams:
        if name.endswith(f"-{zone}"):
            scene.kill_upstream(name)


def _second_loss(scene: Scene) -> None:
    """Kill the upstreams, restart them, and kill those that run the requests next."""
    first = {caller.key: scene.upstream_of(caller) for caller in scene.callers}
    _kill_upstream(scene)
    scene.links.release()
    for name in set(first.values()):
        scene.links.heal(name)
        scene.group.start_upstream(name)
    for name in set(first.values()):
        wait_until(lambda name=name: _knows(scene, name), f"{name} is back")
    for caller in scene.callers:
        wait_until(
            lambda caller=caller: (
                caller.is_done or scene.upstream_of(caller) != first[caller.key]
            ),
            f"{caller.key} runs again",
            timeout_s=15.0,
        )
    _kill_upstream(scene)


def _knows(scene: Scene, name: str) -> bool:
    incarnation = scene.group.incarnation(name)
    return all(
        any(
            one["upstream"] == name and one["incarnation"] == incarnation
            for one in scene.group.known_upstreams(node)
        )
        for node in scene.entries
    )


def _both(*injects: Callable[[Scene], None]) -> Callable[[Scene], None]:
    def inject(scene: Scene) -> None:
        for one in injects:
            one(scene)

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
        Fault("kill-front+kill-upstream", _both(_kill_upstream, _kill_front)),
        Fault("kill-front+kill-other-1", _both(_kill_front, _kill_other(0))),
        Fault("kill-front+kill-leader", _both(_kill_front, _kill_leader)),
        Fault("cut-control+kill-upstream", _both(_kill_upstream, _cut_control)),
        Fault("freeze-front+kill-leader", _both(_freeze_front, _kill_leader)),
        Fault(
            "reclaim-upstream+stop-front",
            _both(_reclaim_upstream, _stop_front),
            announced=True,
        ),
    )
}
