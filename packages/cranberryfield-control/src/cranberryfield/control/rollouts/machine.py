"""State machine that replicates the latest rollout of each service."""

import msgspec

from cranberryfield.core.errors import ErrorKind
from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.commands import Refused
from cranberryfield.core.messages.rollouts import (
    AdvanceRollout,
    BeginRollout,
    RolloutBegun,
    RolloutStage,
    RolloutView,
)

__all__ = [
    "Rollout",
    "RolloutsState",
    "apply_rollout_command",
    "rollout_view",
]

#: Time from an order in which the same order is a repeat although its rollout has
#: ended; operators repeat an order without an answer for 5,000 ms.
REPEAT_WINDOW_MS = 6_000
#: Number of services whose latest rollout is kept.
MAX_ROLLOUTS = 256
MAX_REASON_CHARS = 500


class Rollout(msgspec.Struct, array_like=True):
    """The latest rollout of a service.

    Attributes
    ----------
    number : int
        Number of the rollout; later rollouts have higher ones.
    service, target : str
        Service, and version to which it moves.
    begun_at_ms, duration_ms : int
        Wall-clock time of the order by the leader's clock, and time to the deadline.
    previous : tuple of str
        Versions that served at the order.
    stage : RolloutStage
        Stage reached.
    reason : str
        Why it reached this stage, with the figures that decided it.
    """

    number: int
    service: ServiceName
    target: str
    begun_at_ms: int
    duration_ms: int
    previous: tuple[str, ...] = ()
    stage: RolloutStage = RolloutStage.OBSERVING
    reason: str = ""

    @property
    def has_ended(self) -> bool:
        """Whether the rollout is completed or rolled back."""
        return self.stage >= RolloutStage.COMPLETED


class RolloutsState(msgspec.Struct, array_like=True):
    """Latest rollout by service, and the number of rollouts begun so far."""

    latest: dict[ServiceName, Rollout] = msgspec.field(default_factory=dict)
    begun: int = 0

    def numbered(self, number: int) -> Rollout | None:
        """Return a rollout by its number, if it is the latest of its service."""
        for rollout in self.latest.values():
            if rollout.number == number:
                return rollout
        return None


def apply_rollout_command(
    state: RolloutsState, command: BeginRollout | AdvanceRollout
) -> RolloutBegun | Refused | RolloutView:
    """Apply one committed command to the rollouts.

    Parameters
    ----------
    state : RolloutsState
        Changed in place.
    command : BeginRollout or AdvanceRollout
        The command. Applying it again has no further effect.

    Returns
    -------
    RolloutBegun, Refused or RolloutView
        The number of the rollout, the reason for a refusal, or the rollout after
        an `AdvanceRollout`.

    Examples
    --------
    >>> state = RolloutsState()
    >>> order = BeginRollout("notary", "v2", 12_000, begun_at_ms=1_000)
    >>> apply_rollout_command(state, order)
    RolloutBegun(number=1, took_effect=True)
    >>> apply_rollout_command(state, order)
    RolloutBegun(number=1, took_effect=False)
    >>> advance = AdvanceRollout(1, RolloutStage.SWITCHING, "no failures")
    >>> apply_rollout_command(state, advance).stage.name
    'SWITCHING'
    """
    if isinstance(command, BeginRollout):
        return _begin(state, command)
    return _advance(state, command)


def rollout_view(state: RolloutsState, service: ServiceName) -> RolloutView:
    """Return the latest rollout of a service; number 0 if it has had none."""
    rollout = state.latest.get(service)
    if rollout is None:
        return RolloutView(0, service, "", RolloutStage.OBSERVING)
    return _view_of(rollout)


def _begin(state: RolloutsState, command: BeginRollout) -> RolloutBegun | Refused:
    known = state.latest.get(command.service)
    if known is not None:
        is_same = (known.target, known.duration_ms) == (
            command.target,
            command.duration_ms,
        )
        # The clocks of two leaders may differ, so the time may also be negative.
        age_ms = abs(command.begun_at_ms - known.begun_at_ms)
        if is_same and (not known.has_ended or age_ms < REPEAT_WINDOW_MS):
            return RolloutBegun(known.number, False)
        if not known.has_ended:
            detail = f"rollout {known.number} to {known.target} is in progress"
            return Refused(ErrorKind.CONFLICT.value, detail)
    elif len(state.latest) >= MAX_ROLLOUTS and not _forget_oldest_ended(state):
        return Refused(ErrorKind.QUEUE_FULL.value, "too many rollouts are in progress")
    state.begun += 1
    state.latest[command.service] = Rollout(
        state.begun,
        command.service,
        command.target,
        command.begun_at_ms,
        command.duration_ms,
        command.previous,
    )
    return RolloutBegun(state.begun, True)


def _forget_oldest_ended(state: RolloutsState) -> bool:
    ended = [one for one in state.latest.values() if one.has_ended]
    if not ended:
        return False
    del state.latest[min(ended, key=lambda one: one.number).service]
    return True


def _advance(state: RolloutsState, command: AdvanceRollout) -> RolloutView | Refused:
    rollout = state.numbered(command.number)
    if rollout is None:
        detail = f"rollout {command.number} is not the latest of any service"
        return Refused(ErrorKind.UNKNOWN_REQUEST.value, detail)
    if command.stage > rollout.stage and not rollout.has_ended:
        rollout.stage = command.stage
        rollout.reason = command.reason[:MAX_REASON_CHARS]
    return _view_of(rollout)


def _view_of(rollout: Rollout) -> RolloutView:
    return RolloutView(
        rollout.number,
        rollout.service,
        rollout.target,
        rollout.stage,
        rollout.reason,
        rollout.begun_at_ms,
        rollout.duration_ms,
        rollout.previous,
    )
