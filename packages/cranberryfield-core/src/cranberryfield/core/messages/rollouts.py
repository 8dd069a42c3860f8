"""Messages about rollouts, which move a service to another software version."""

from enum import IntEnum

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AdvanceRollout",
    "BeginRollout",
    "ReadRollout",
    "RolloutBegun",
    "RolloutCounts",
    "RolloutGrant",
    "RolloutGrants",
    "RolloutReport",
    "RolloutStage",
    "RolloutView",
    "VersionCounts",
]


class RolloutStage(IntEnum):
    """Stage of a rollout; a rollout only goes to a higher one."""

    OBSERVING = 0
    ADVANCING = 1
    SWITCHING = 2
    COMPLETED = 3
    ROLLED_BACK = 4


class BeginRollout(Message):
    """Log command that begins a rollout; the same order again has no effect.

    Attributes
    ----------
    service : ServiceName
        Service to move.
    target : str
        Software version to move it to.
    duration_ms : int
        Time from the order to the deadline, in milliseconds.
    begun_at_ms : int
        Wall-clock time of the order, in milliseconds.
    previous : tuple of str
        Software versions that serve at the order.
    """

    service: ServiceName
    target: str
    duration_ms: int
    begun_at_ms: int
    previous: tuple[str, ...] = ()


class RolloutBegun(Message):
    """Result of a `BeginRollout`.

    Attributes
    ----------
    number : int
        Number of the rollout.
    took_effect : bool
        Whether the command began it; False for a repeated order.
    """

    number: int
    took_effect: bool


class AdvanceRollout(Message):
    """Log command that moves a rollout to a later stage.

    Attributes
    ----------
    number : int
        Number of the rollout.
    stage : RolloutStage
        Next stage; a stage that is not later has no effect.
    reason : str
        Why, with the figures that decided it.
    """

    number: int
    stage: RolloutStage
    reason: str = ""


class ReadRollout(Message):
    """Requests the latest rollout of a service from the leader."""

    service: ServiceName


class RolloutView(Message):
    """A rollout as the replicated log has it.

    Attributes
    ----------
    number : int
        Number of the rollout; 0 if the service has had none.
    service, target : str
        Service, and version to which it moves.
    stage : RolloutStage
        Stage reached.
    reason : str
        Why it reached this stage.
    begun_at_ms, duration_ms : int
        Wall-clock time of the order, and time to the deadline.
    previous : tuple of str
        Versions that served at the order.
    """

    number: int
    service: ServiceName
    target: str
    stage: RolloutStage
    reason: str = ""
    begun_at_ms: int = 0
    duration_ms: int = 0
    previous: tuple[str, ...] = ()


class VersionCounts(NestedRecord):
    """Outcomes on one route at one version, since the relay has known the rollout.

    Attributes
    ----------
    route : str
        Name of the route.
    data_centre : str
        Data centre of the upstreams.
    is_target : bool
        Whether the upstreams have the target version; else any other.
    attempts : int
        Attempts sent.
    failures : int
        Attempts that the upstream failed: server errors, broken or wrong answers.
    durations : tuple of int
        Number of successful attempts by time to the first event, or to the answer
        of a plain service: bucket `i` counts times from 2**(i/2) to 2**((i+1)/2) ms,
        the last one also all longer times.
    """

    route: str
    data_centre: str
    is_target: bool
    attempts: int
    failures: int
    durations: tuple[int, ...] = ()


class RolloutCounts(NestedRecord):
    """Cumulative counts of one relay for one rollout.

    Attributes
    ----------
    number : int
        Number of the rollout.
    arrivals : int
        Requests for the service that the relay has received.
    target_attempts : int
        Attempts sent to upstreams of the target version.
    running_elsewhere : int
        Runs in progress at upstreams of other versions.
    counts : tuple of VersionCounts
        Outcomes by route, data centre and version.
    """

    number: int
    arrivals: int
    target_attempts: int
    running_elsewhere: int
    counts: tuple[VersionCounts, ...] = ()


class RolloutReport(Message):
    """Report of a relay to the leader.

    Attributes
    ----------
    incarnation : int
        Number that grows with each start of the relay, at which counts restart.
    revision : int
        Revision of the grants that the relay has.
    counts : tuple of RolloutCounts
        Counts of the rollouts that it knows.
    """

    incarnation: int
    revision: int
    counts: tuple[RolloutCounts, ...] = ()


class RolloutGrant(NestedRecord):
    """What a relay may send to the target version of a rollout.

    Attributes
    ----------
    number : int
        Number of the rollout.
    service, target : str
        Service and its target version.
    stage : RolloutStage
        Stage reached.
    share : float
        Fraction of the relay's own requests for the service, 0 to 1.
    lease_ms : int
        Time for which `share` is valid, in milliseconds.
    """

    number: int
    service: ServiceName
    target: str
    stage: RolloutStage
    share: float
    lease_ms: int


class RolloutGrants(Message):
    """Grants for all rollouts, as reply to a report or pushed by the leader.

    Attributes
    ----------
    term : int
        Term of the leader; 0 if the sender is not the leader.
    revision : int
        Number that grows with each change within the term.
    grants : tuple of RolloutGrant
        One for each service that has had a rollout.
    """

    term: int
    revision: int = 0
    grants: tuple[RolloutGrant, ...] = ()
