"""Binds the choice of upstreams to the sections that it reads."""

from collections.abc import Callable
from random import Random

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.core.settings.tree import upstream_is_drained
from cranberryfield.entry.membership import (
    KnownUpstream,
    UpstreamsSection,
    fresh_upstreams,
    usable_upstreams,
)
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.routing.choose import DispatchSection, choose_upstream

__all__ = ["Chooser", "make_chooser"]

NO_UPSTREAM_RETRY_S = 1.0

#: Takes a request, the upstreams tried before and whether it may have run.
Chooser = Callable[[Request, frozenset[UpstreamId], bool], KnownUpstream]


def make_chooser(
    board: Blackboard, own_data_centre: DataCentre, clock: Clock, rng: Random
) -> Chooser:
    """Return the function that chooses the upstream of each attempt.

    Parameters
    ----------
    board : Blackboard
        Holds settings, upstreams and this node's own runs.
    own_data_centre : DataCentre
        Where this node runs.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Seeded generator.

    Returns
    -------
    Chooser
        Raises `UnavailableError` of kind ``no_upstream`` without candidates.
    """
    settings = board.read(SettingsSection)
    upstreams = board.read(UpstreamsSection)
    dispatched = board.read(DispatchSection)

    def choose(
        request: Request, tried: frozenset[UpstreamId], ran_before: bool
    ) -> KnownUpstream:
        now = clock()
        candidates = [
            known
            for known in fresh_upstreams(upstreams, request.service, now)
            if not upstream_is_drained(settings.tree, known.record.upstream)
        ]
        candidates = usable_upstreams(candidates, now)
        untried = [one for one in candidates if one.record.upstream not in tried]
        chosen = choose_upstream(
            untried or candidates, dispatched, own_data_centre, rng
        )
        if chosen is None:
            raise UnavailableError(
                ErrorKind.NO_UPSTREAM,
                f"no upstream of {request.service} is in service",
                was_run=WasRun.UNKNOWN if ran_before else WasRun.NO,
                retry_after_s=NO_UPSTREAM_RETRY_S,
            )
        return chosen

    return choose
