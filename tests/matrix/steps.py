"""Steps of a request at which faults are injected.

A step is reached by holding traffic at fault proxies and watching journals.
"""

from collections.abc import Callable
from dataclasses import dataclass

from standins.links import CALLERS, ENTRIES
from standins.processes import wait_until
from tests.matrix.callers import Caller, RequestKind
from tests.matrix.scene import Scene, upstreams_of

__all__ = ["STEPS", "Step"]

MID_EVENTS = 20
#: Bytes of an engine's stream up to the middle of an answer; an event exceeds 100.
MID_BYTES = 2500
#: Control log entries of a non-idempotent request, up to its recorded outcome.
ENTRIES_PER_CLAIM = 3

ALL = frozenset(RequestKind)
COMPLETIONS = frozenset(kind for kind in RequestKind if kind.is_completion)
ONCE = frozenset(kind for kind in RequestKind if not kind.is_idempotent)


@dataclass(frozen=True, slots=True)
class Step:
    """One step in the processing of a request.

    Attributes
    ----------
    name : str
        Name in the ids of cells.
    reach : callable
        Function that starts the callers and returns when all have reached the step.
    kinds : frozenset of RequestKind
        Kinds of request that pass through this step.
    """

    name: str
    reach: Callable[[Scene], None]
    kinds: frozenset[RequestKind] = ALL


def _start(scene: Scene) -> None:
    for caller in scene.callers:
        caller.start()


def _each(scene: Scene, reached: Callable[[Caller], bool], what: str) -> None:
    for caller in scene.callers:
        wait_until(
            lambda caller=caller: caller.is_done or reached(caller),
            f"{caller.key}: {what}",
            timeout_s=10.0,
        )


def _hold_upstreams(scene: Scene) -> None:
    for kind in scene.kinds:
        for name in upstreams_of(kind):
            scene.links.hold(ENTRIES, name)


def _before_acceptance(scene: Scene) -> None:
    proxy = scene.links.proxies[CALLERS, scene.front]
    before = len(proxy.accepted_ns)
    scene.links.hold(CALLERS, scene.front)
    _start(scene)
    wait_until(
        lambda: (
            len(proxy.accepted_ns) - before >= len(scene.callers)
            and scene.links.held(CALLERS, scene.front) > 0
        ),
        "requests sent",
    )


def _accepted(scene: Scene) -> None:
    _hold_upstreams(scene)
    for control in scene.controls:
        scene.links.hold(scene.front, control)
    _start(scene)

    def reached(caller: Caller) -> bool:
        if caller.kind.is_idempotent:
            names = upstreams_of(caller.kind)
            return any(scene.links.held(ENTRIES, name) for name in names)
        return any(scene.links.held(scene.front, one) for one in scene.controls)

    _each(scene, reached, "accepted")


def _claimed(scene: Scene) -> None:
    before = scene.commit_index()
    for control in scene.controls:
        scene.links.hold(control, scene.front)
    _start(scene)
    wait_until(
        lambda: scene.commit_index() >= before + len(scene.callers), "claims committed"
    )


def _dispatched(scene: Scene) -> None:
    for kind in scene.kinds:
        for name in upstreams_of(kind):
            scene.links.hold(name, ENTRIES)
    _start(scene)
    _each(scene, lambda one: bool(scene.entries_of(one, "started")), "started")


def _answering(scene: Scene, events: int, size: int) -> None:
    sent = {
        name: scene.links.sent(name, ENTRIES)
        for kind in scene.kinds
        for name in upstreams_of(kind)
    }
    _start(scene)

    def reached(caller: Caller) -> bool:
        if caller.kind.is_streamed:
            return caller.transcript.events >= events
        if not caller.kind.is_completion:
            return bool(scene.entries_of(caller, "started"))
        return any(
            scene.links.sent(name, ENTRIES) - sent[name] >= size
            for name in upstreams_of(caller.kind)
        )

    _each(scene, reached, "answering")


def _first_token(scene: Scene) -> None:
    _answering(scene, 1, 1)


def _mid_answer(scene: Scene) -> None:
    _answering(scene, MID_EVENTS, MID_BYTES)


def _finished(scene: Scene) -> None:
    _each(scene, lambda one: bool(scene.entries_of(one, "finished")), "finished")


def _last_token(scene: Scene) -> None:
    _mid_answer(scene)
    for peer in (*scene.others, *scene.controls):
        scene.links.hold(scene.front, peer)
    _finished(scene)


def _recorded(scene: Scene) -> None:
    before = scene.commit_index()
    claims = sum(not caller.kind.is_idempotent for caller in scene.callers)
    scene.links.hold(scene.front, CALLERS)
    _start(scene)
    _finished(scene)
    wait_until(
        lambda: scene.commit_index() >= before + ENTRIES_PER_CLAIM * claims,
        "outcomes committed",
        timeout_s=10.0,
    )


STEPS = {
    step.name: step
    for step in (
        Step("before-acceptance", _before_acceptance),
        Step("accepted", _accepted),
        Step("claimed", _claimed, ONCE),
        Step("dispatched", _dispatched),
        Step("first-token", _first_token, COMPLETIONS),
        Step("mid-answer", _mid_answer),
        Step("last-token", _last_token),
        Step("recorded", _recorded),
    )
}
