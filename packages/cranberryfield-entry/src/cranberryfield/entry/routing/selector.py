"""Selects upstreams from the blackboard's state and enforces the retry budget."""

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
    RetryBudgetSection,
    credit_first_attempt,
    jittered_retry_after_s,
    spend_retry,
)
from cranberryfield.entry.routing.prefix_cache import (
    PrefixSection,
    PromptPrefix,
    mark_prompt_cached,
    prompt_prefix,
)
from cranberryfield.entry.routing.scoring import (
    DispatchedRun,
    DispatchSection,
    RoutingCostModel,
    choose_upstream,
    record_dispatched_run,
)

__all__ = ["UpstreamSelector", "make_upstream_selector"]

NO_UPSTREAM_RETRY_S = 1.0
MS_PER_S = 1000

#: Returns the upstream of the next attempt. Takes a request, the upstreams tried
#: before and whether the request may have run.
UpstreamSelector = Callable[[Request, frozenset[UpstreamId], bool], KnownUpstream]


def make_upstream_selector(
    board: Blackboard, own_data_centre: DataCentre, clock: Clock, rng: Random
) -> UpstreamSelector:
    """Return the function that chooses the upstream of each attempt.

    Parameters
    ----------
    board : Blackboard
        Holds the settings, the upstreams and the runs that this host sent.
    own_data_centre : DataCentre
        Data centre of this host.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Seeded generator.

    Returns
    -------
    UpstreamSelector
        Raises `UnavailableError` of kind ``no_upstream`` without candidates, or
        ``upstream_failed`` when the service's retry budget is spent. An attempt
        costs no budget if an earlier one may have run the request, or if an
        upstream that was tried has left or crashed.
    """
    settings = board.read(SettingsSection)
    upstreams = board.read(UpstreamsSection)
    dispatches = board.read(DispatchSection)
    prefixes = board.read(PrefixSection)
    retries = board.read(RetryBudgetSection)
    model = RoutingCostModel()

    drained_cache: tuple[SettingsTree | None, frozenset[UpstreamId]] = (
        None,
        frozenset(),
    )

    def drained_upstreams() -> frozenset[UpstreamId]:
        nonlocal drained_cache
        tree = settings.tree
        if drained_cache[0] is not tree:
            names = (parse_level(name).upstream for name in tree.levels)
            drained_cache = (
                tree,
                frozenset(
                    one for one in names if one and upstream_is_drained(tree, one)
                ),
            )
        return drained_cache[1]

    def prefix_of(request: Request) -> PromptPrefix:
        if request.settings.kind is ServiceKind.PLAIN:
            return PromptPrefix()
        return prompt_prefix(request.body)

    def check_retry_budget(
        request: Request, tried_upstreams: frozenset[UpstreamId], ran_before: bool
    ) -> None:
        if not tried_upstreams:
            ratio = request.settings.retry_budget
            credit_first_attempt(retries, request.service, ratio)
            return
        now = clock()
        known = (upstreams.upstreams.get(name) for name in tried_upstreams)
        has_lost_upstream = any(one is None or not has_lease(one, now) for one in known)
        if ran_before or has_lost_upstream or spend_retry(retries, request.service):
            return
        raise UnavailableError(
            ErrorKind.UPSTREAM_FAILED,
            f"retry budget of {request.service} exhausted; the request was not run",
            was_run=WasRun.NO,
            retry_after_s=jittered_retry_after_s(NO_UPSTREAM_RETRY_S, rng),
        )

    def choose(
        request: Request, tried_upstreams: frozenset[UpstreamId], ran_before: bool
    ) -> KnownUpstream:
        now = clock()
        drained_ids = drained_upstreams()
        candidates = [
            known
            for known in leased_upstreams(upstreams, request.service, now)
            if known.record.upstream not in drained_ids
        ]
        untried = [
            one for one in candidates if one.record.upstream not in tried_upstreams
        ]
        candidates = preferred_upstreams(untried or candidates, now)
        check_retry_budget(request, tried_upstreams, ran_before)
        prefix = prefix_of(request)
        candidate = choose_upstream(
            candidates,
            dispatches,
            prefixes,
            prefix,
            own_data_centre,
            rng,
            request.settings.first_token_target_ms / MS_PER_S,
            model,
        )
        if candidate is None:
            raise UnavailableError(
                ErrorKind.NO_UPSTREAM,
                f"no upstream of {request.service} is available",
                was_run=WasRun.UNKNOWN if ran_before else WasRun.NO,
                retry_after_s=jittered_retry_after_s(NO_UPSTREAM_RETRY_S, rng),
            )
        upstream = candidate.known_upstream.record.upstream
        record_dispatched_run(
            dispatches, upstream, DispatchedRun(now, candidate.prefill_tokens)
        )
        mark_prompt_cached(prefixes, upstream, prefix)
        return candidate.known_upstream

    return choose
