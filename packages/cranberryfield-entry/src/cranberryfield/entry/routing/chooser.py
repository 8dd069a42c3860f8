"""Binds the choice of upstreams to the sections that it reads."""

from collections.abc import Callable
from random import Random

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import DataCentre, UpstreamId
from cranberryfield.core.settings import ServiceKind, parse_level
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.core.settings.tree import SettingsTree, upstream_is_drained
from cranberryfield.entry.membership import (
    KnownUpstream,
    UpstreamsSection,
    leased_upstreams,
    preferred_upstreams,
)
from cranberryfield.entry.membership.upstreams import has_lease
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.retries import (
    RetrySection,
    note_first_attempt,
    spread_retry_after_s,
    take_retry,
)
from cranberryfield.entry.routing.choose import (
    Dispatch,
    DispatchSection,
    RoutingModel,
    choose_upstream,
    note_own_dispatch,
)
from cranberryfield.entry.routing.prefix import (
    PrefixSection,
    PromptPrefix,
    note_dispatch,
    prompt_prefix,
)

__all__ = ["Chooser", "make_chooser"]

NO_UPSTREAM_RETRY_S = 1.0
MS_PER_S = 1000

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
        Raises `UnavailableError` of kind ``no_upstream`` without candidates, or
        ``upstream_failed`` when the service's retry budget is spent. What an
        upstream that has left or crashed did not finish costs no budget.
    """
    settings = board.read(SettingsSection)
    upstreams = board.read(UpstreamsSection)
    dispatched = board.read(DispatchSection)
    prefixes = board.read(PrefixSection)
    retries = board.read(RetrySection)
    model = RoutingModel()

    drained_at: tuple[SettingsTree | None, frozenset[UpstreamId]] = (None, frozenset())

    def drained_upstreams() -> frozenset[UpstreamId]:
        nonlocal drained_at
        tree = settings.tree
        if drained_at[0] is not tree:
            names = (parse_level(name).upstream for name in tree.levels)
            drained_at = (
                tree,
                frozenset(
                    one for one in names if one and upstream_is_drained(tree, one)
                ),
            )
        return drained_at[1]

    def prefix_of(request: Request) -> PromptPrefix:
        if request.settings.kind is ServiceKind.PLAIN:
            return PromptPrefix()
        return prompt_prefix(request.body)

    def check_budget(
        request: Request, tried: frozenset[UpstreamId], ran_before: bool
    ) -> None:
        if not tried:
            ratio = request.settings.retry_budget
            note_first_attempt(retries, request.service, ratio)
            return
        now = clock()
        known = (upstreams.upstreams.get(name) for name in tried)
        left = any(one is None or not has_lease(one, now) for one in known)
        if ran_before or left or take_retry(retries, request.service):
            return
        raise UnavailableError(
            ErrorKind.UPSTREAM_FAILED,
            f"the upstreams of {request.service} refuse too many requests",
            was_run=WasRun.NO,
            retry_after_s=spread_retry_after_s(NO_UPSTREAM_RETRY_S, rng),
        )

    def choose(
        request: Request, tried: frozenset[UpstreamId], ran_before: bool
    ) -> KnownUpstream:
        now = clock()
        drained = drained_upstreams()
        candidates = [
            known
            for known in leased_upstreams(upstreams, request.service, now)
            if known.record.upstream not in drained
        ]
        untried = [one for one in candidates if one.record.upstream not in tried]
        candidates = preferred_upstreams(untried or candidates, now)
        check_budget(request, tried, ran_before)
        prefix = prefix_of(request)
        chosen = choose_upstream(
            candidates,
            dispatched,
            prefixes,
            prefix,
            own_data_centre,
            rng,
            request.settings.first_token_target_ms / MS_PER_S,
            model,
        )
        if chosen is None:
            raise UnavailableError(
                ErrorKind.NO_UPSTREAM,
                f"no upstream of {request.service} is in service",
                was_run=WasRun.UNKNOWN if ran_before else WasRun.NO,
                retry_after_s=spread_retry_after_s(NO_UPSTREAM_RETRY_S, rng),
            )
        upstream = chosen.known.record.upstream
        note_own_dispatch(dispatched, upstream, Dispatch(now, chosen.prefill_tokens))
        note_dispatch(prefixes, upstream, prefix)
        return chosen.known

    return choose
