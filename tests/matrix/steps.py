"""Steps of a request at which faults are injected.

A step is reached by holding traffic at fault proxies and watching journals.
"""

from collections.abc import Callable
from dataclasses import dataclass

from standins.links import CALLERS, ENTRIES
from standins.processes import wait_until
from tests.matrix.callers import Caller, RequestKind
from tests.matrix.context import ScenarioContext, upstreams_of

__all__ = ["STEPS", "Step"]

MID_EVENTS = 20
#: Bytes of an engine's stream up to the middle of an answer; an event exceeds 100.
MID_BYTES = 2500
#: Control log entries of a non-idempotent request, up to its recorded outcome.
LOG_ENTRIES_PER_CLAIM = 3

ALL_KINDS = frozenset(RequestKind)
COMPLETION_KINDS = frozenset(kind for kind in RequestKind if kind.is_completion)
NON_IDEMPOTENT_KINDS = frozenset(kind for kind in RequestKind if not kind.is_idempotent)


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
    reach: Callable[[ScenarioContext], None]
    kinds: frozenset[RequestKind] = ALL_KINDS


def _start_callers(context: ScenarioContext) -> None:
    for caller in context.callers:
        caller.start()


def _wait_each(
    context: ScenarioContext, reached: Callable[[Caller], bool], what: str
) -> None:
    for caller in context.callers:
        wait_until(
            lambda caller=caller: caller.is_done or reached(caller),
            f"{caller.key}: {what}",
            timeout_s=10.0,
        )


def _hold_requests_to_upstreams(context: ScenarioContext) -> None:
    for kind in context.kinds:
        for name in upstreams_of(kind):
            context.links.hold(ENTRIES, name)


def _before_acceptance(context: ScenarioContext) -> None:
    proxy = context.links.proxies[CALLERS, context.front]
    before = len(proxy.accept_times_ns)
    context.links.hold(CALLERS, context.front)
    _start_callers(context)
    wait_until(
        lambda: (
            len(proxy.accept_times_ns) - before >= len(context.callers)
            and context.links.held_bytes(CALLERS, context.front) > 0
        ),
        "requests sent",
    )


def _accepted(context: ScenarioContext) -> None:
    _hold_requests_to_upstreams(context)
    for control in context.control_hosts:
        context.links.hold(context.front, control)
    _start_callers(context)

    def reached(caller: Caller) -> bool:
        if caller.kind.is_idempotent:
            names = upstreams_of(caller.kind)
            return any(context.links.held_bytes(ENTRIES, name) for name in names)
        return any(
            context.links.held_bytes(context.front, one)
            for one in context.control_hosts
        )

    _wait_each(context, reached, "accepted")


def _claimed(context: ScenarioContext) -> None:
    before = context.commit_index()
    for control in context.control_hosts:
        context.links.hold(control, context.front)
    _start_callers(context)
    wait_until(
        lambda: context.commit_index() >= before + len(context.callers),
        "claims committed",
    )


def _dispatched(context: ScenarioContext) -> None:
    for kind in context.kinds:
        for name in upstreams_of(kind):
            context.links.hold(name, ENTRIES)
    _start_callers(context)
    _wait_each(
        context, lambda one: bool(context.journal_entries_of(one, "started")), "started"
    )


def _reach_answer(context: ScenarioContext, events: int, size: int) -> None:
    sent = {
        name: context.links.forwarded_bytes(name, ENTRIES)
        for kind in context.kinds
        for name in upstreams_of(kind)
    }
    _start_callers(context)

    def reached(caller: Caller) -> bool:
        if caller.kind.is_streamed:
            return caller.transcript.events >= events
        if not caller.kind.is_completion:
            return bool(context.journal_entries_of(caller, "started"))
        return any(
            context.links.forwarded_bytes(name, ENTRIES) - sent[name] >= size
            for name in upstreams_of(caller.kind)
        )

    _wait_each(context, reached, "answering")


def _first_token(context: ScenarioContext) -> None:
    _reach_answer(context, 1, 1)


def _mid_answer(context: ScenarioContext) -> None:
    _reach_answer(context, MID_EVENTS, MID_BYTES)


def _wait_finished(context: ScenarioContext) -> None:
    _wait_each(
        context,
        lambda one: bool(context.journal_entries_of(one, "finished")),
        "finished",
    )


def _last_token(context: ScenarioContext) -> None:
    _mid_answer(context)
    for peer in (*context.other_entry_hosts, *context.control_hosts):
        context.links.hold(context.front, peer)
    _wait_finished(context)


def _recorded(context: ScenarioContext) -> None:
    before = context.commit_index()
    claims = sum(not caller.kind.is_idempotent for caller in context.callers)
    context.links.hold(context.front, CALLERS)
    _start_callers(context)
    _wait_finished(context)
    wait_until(
        lambda: context.commit_index() >= before + LOG_ENTRIES_PER_CLAIM * claims,
        "outcomes committed",
        timeout_s=10.0,
    )


STEPS = {
    step.name: step
    for step in (
        Step("before-acceptance", _before_acceptance),
        Step("accepted", _accepted),
        Step("claimed", _claimed, NON_IDEMPOTENT_KINDS),
        Step("dispatched", _dispatched),
        Step("first-token", _first_token, COMPLETION_KINDS),
        Step("mid-answer", _mid_answer),
        Step("last-token", _last_token),
        Step("recorded", _recorded),
    )
}
