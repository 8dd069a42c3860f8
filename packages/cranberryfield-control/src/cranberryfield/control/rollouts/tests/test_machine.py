"""Orders of rollouts as operators repeat, contradict and renew them."""

import pytest

from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.control.recovery import decode_state, encode_state
from cranberryfield.control.rollouts import machine
from cranberryfield.control.rollouts.machine import RolloutsState, rollout_view
from cranberryfield.core.messages.commands import Refused
from cranberryfield.core.messages.rollouts import (
    AdvanceRollout,
    BeginRollout,
    RolloutBegun,
    RolloutStage,
)

OBSERVING, ADVANCING, SWITCHING, COMPLETED, ROLLED_BACK = RolloutStage
ORDER = BeginRollout("s1", "v2", 12_000, 100_000, ("v1",))


def order(target="v2", duration_ms=12_000, at_ms=100_000, service="s1"):
    return BeginRollout(service, target, duration_ms, at_ms, ("v1",))


#: Stage of the first rollout, second order, and its result; an order that is repeated
#: must not begin a second rollout, and one that differs must not replace the first.
SECOND_ORDERS = [
    (OBSERVING, order(at_ms=104_900), RolloutBegun(1, False)),
    (SWITCHING, order(at_ms=99_000), RolloutBegun(1, False)),
    (OBSERVING, order("v3"), "conflict"),
    (SWITCHING, order(duration_ms=13_000), "conflict"),
    (ROLLED_BACK, order(at_ms=104_900), RolloutBegun(1, False)),
    (COMPLETED, order(at_ms=98_000), RolloutBegun(1, False)),
    (ROLLED_BACK, order(at_ms=106_000), RolloutBegun(2, True)),
    (COMPLETED, order("v3", at_ms=101_000), RolloutBegun(2, True)),
    (OBSERVING, order(service="s2"), RolloutBegun(2, True)),
]


@pytest.mark.parametrize(("stage", "second", "expected"), SECOND_ORDERS)
def test_second_orders(stage, second, expected):
    state = ControlState()
    assert apply_command(state, ORDER) == RolloutBegun(1, True)
    apply_command(state, AdvanceRollout(1, stage, "reason"))
    result = apply_command(state, second)
    if isinstance(result, Refused):
        result = result.kind
    assert result == expected


STEPS = [
    ([ADVANCING, OBSERVING], ADVANCING),
    ([SWITCHING, ADVANCING, SWITCHING], SWITCHING),
    ([SWITCHING, ROLLED_BACK, COMPLETED], ROLLED_BACK),
    ([COMPLETED, ROLLED_BACK], COMPLETED),
    ([ROLLED_BACK, SWITCHING], ROLLED_BACK),
]


@pytest.mark.parametrize(("stages", "reached"), STEPS)
def test_no_step_goes_backwards_or_follows_an_end(stages, reached):
    state = ControlState()
    apply_command(state, ORDER)
    for stage in stages:
        apply_command(state, AdvanceRollout(1, stage, stage.name))
    view = rollout_view(state.rollouts, "s1")
    assert (view.stage, view.reason) == (reached, reached.name)


def test_an_order_of_an_earlier_rollout_moves_no_later_one():
    state = ControlState()
    apply_command(state, ORDER)
    apply_command(state, AdvanceRollout(1, COMPLETED))
    apply_command(state, order("v3"))
    refused = apply_command(state, AdvanceRollout(1, ROLLED_BACK))
    assert isinstance(refused, Refused)
    assert rollout_view(state.rollouts, "s1").stage is OBSERVING


def test_rollouts_survive_in_a_snapshot():
    state = ControlState()
    apply_command(state, ORDER)
    apply_command(state, AdvanceRollout(1, ADVANCING, "9 outcomes"))
    loaded = decode_state(encode_state(state))
    assert loaded.rollouts == state.rollouts


def test_the_number_of_rollouts_is_bounded(monkeypatch):
    monkeypatch.setattr(machine, "MAX_ROLLOUTS", 2)
    state = RolloutsState()
    for service in ("a", "b"):
        machine.apply_rollout_command(state, order(service=service))
    refused = machine.apply_rollout_command(state, order(service="c"))
    assert refused.kind == "queue_full"
    machine.apply_rollout_command(state, AdvanceRollout(1, ROLLED_BACK))
    machine.apply_rollout_command(state, order(service="c"))
    assert list(state.latest) == ["b", "c"]
