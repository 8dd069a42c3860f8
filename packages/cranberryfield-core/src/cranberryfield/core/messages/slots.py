"""Messages by which relays share the slots of a service through one owner."""

from enum import IntEnum

from cranberryfield.core.ids import (
    DataCentre,
    Incarnation,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "HeldSlot",
    "RefusedAttempt",
    "SlotAsk",
    "SlotGrant",
    "SlotRefusal",
    "SlotRefusalReason",
    "SlotReplies",
    "SlotReport",
]


class SlotAsk(NestedRecord):
    """Asks for a slot for one attempt of a request.

    Attributes
    ----------
    number : int
        Number of the ask; it grows within an incarnation of the relay.
    service : ServiceName
        Service of the request.
    workspace : WorkspaceId
        Workspace of the request; empty on a public route.
    rank : int
        Priority; 0 is the most urgent.
    left_ms : int
        Time left to the deadline, in milliseconds.
    waited_ms : int
        Time since the arrival of the request, in milliseconds.
    target_ms : int
        Target of its route from the arrival, in milliseconds; 0 for none.
    run_ms : int
        Mean time of an attempt as the relay measured it, in milliseconds; 0 if it is
        not known.
    session : str
        Key that requests of one session share; empty for none.
    data_centre : DataCentre
        Data centre of the relay.
    excluded : tuple of UpstreamId
        Upstreams that the request cannot use, such as those tried before.
    """

    number: int
    service: ServiceName
    workspace: WorkspaceId
    rank: int
    left_ms: int
    waited_ms: int = 0
    target_ms: int = 0
    run_ms: int = 0
    session: str = ""
    data_centre: DataCentre = DataCentre("")
    excluded: tuple[UpstreamId, ...] = ()


class HeldSlot(NestedRecord):
    """Slot that a relay uses, whether it was granted or not.

    Attributes
    ----------
    number : int
        Number of the ask for which it was granted, or would have been.
    service : ServiceName
        Service of the upstream.
    upstream : UpstreamId
        Upstream that runs the attempt.
    incarnation : Incarnation
        Its incarnation.
    """

    number: int
    service: ServiceName
    upstream: UpstreamId
    incarnation: Incarnation


class RefusedAttempt(NestedRecord):
    """Attempt that an upstream has refused in spite of a slot."""

    service: ServiceName
    upstream: UpstreamId
    incarnation: Incarnation


class SlotReport(Message):
    """What a relay asks for and holds; each report replaces the ones before.

    What has a number up to `last_number` and is in none of `asks`, `waiting` and `held`
    has ended: the wait is withdrawn, or the slot given back.

    Attributes
    ----------
    incarnation : Incarnation
        Incarnation of the relay.
    sequence : int
        Number of the report; it grows within the incarnation.
    last_number : int
        Highest number of an ask so far.
    wants_reply : bool
        Whether the owner has to acknowledge the report.
    asks : tuple of SlotAsk
        Asks that the owner has not acknowledged.
    waiting : tuple of int
        Numbers of the acknowledged asks that wait.
    held : tuple of HeldSlot
        Slots in use.
    refused : tuple of RefusedAttempt
        Attempts that upstreams have refused since the last report.
    """

    incarnation: Incarnation
    sequence: int
    last_number: int
    wants_reply: bool
    asks: tuple[SlotAsk, ...] = ()
    waiting: tuple[int, ...] = ()
    held: tuple[HeldSlot, ...] = ()
    refused: tuple[RefusedAttempt, ...] = ()


class SlotGrant(NestedRecord):
    """Lends a slot for an ask.

    Attributes
    ----------
    number : int
        Number of the ask.
    upstream : UpstreamId
        Upstream whose slot is lent.
    incarnation : Incarnation
        Its incarnation.
    waited_ms : int
        Time from the receipt of the ask to the grant, in milliseconds. The relay counts
        the lease from when it sent the ask plus this time, which is no later than the
        grant, so that it never relies on a lease that the owner holds to be over.
    """

    number: int
    upstream: UpstreamId
    incarnation: Incarnation
    waited_ms: int


class SlotRefusalReason(IntEnum):
    """Why a slot is refused."""

    DEADLINE = 0
    LINE_FULL = 1
    #: The owner knows no upstream of the service that the request can use.
    NO_UPSTREAM = 2


class SlotRefusal(NestedRecord):
    """Refuses a slot.

    Attributes
    ----------
    number : int
        Number of the ask.
    reason : SlotRefusalReason
        Why.
    retry_ms : int
        Time in milliseconds after which there is room for the caller.
    """

    number: int
    reason: SlotRefusalReason
    retry_ms: int


class SlotReplies(Message):
    """What the owner tells a relay.

    Attributes
    ----------
    term : int
        Term in which the sender owns the slots; 0 if it does not.
    incarnation : Incarnation
        Incarnation of the relay that the message is for.
    sequence : int
        Latest report that was received.
    lease_ms : int
        Time for which slots are lent, in milliseconds; reports of slots in use renew
        it.
    lends_in_ms : int
        Time in milliseconds for which the owner lends nothing yet.
    grants : tuple of SlotGrant
        Slots lent.
    refusals : tuple of SlotRefusal
        Asks refused.
    unknown : tuple of int
        Numbers that the relay reports as waiting and that the owner does not know.
    """

    term: int
    incarnation: Incarnation = Incarnation(0)
    sequence: int = 0
    lease_ms: int = 0
    lends_in_ms: int = 0
    grants: tuple[SlotGrant, ...] = ()
    refusals: tuple[SlotRefusal, ...] = ()
    unknown: tuple[int, ...] = ()
