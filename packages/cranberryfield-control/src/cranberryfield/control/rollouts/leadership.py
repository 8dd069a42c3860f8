"""What a leader keeps of the rollouts in progress during its term."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cranberryfield.control.rollouts.counts import CollectedCounts, record_counts
from cranberryfield.control.rollouts.machine import Rollout, RolloutsState
from cranberryfield.control.rollouts.plan import (
    END_MARGIN_S,
    LEASE_S,
    ExposureBound,
    Plan,
    Situation,
    VersionsServing,
    plan_rollout,
)
from cranberryfield.control.rollouts.verdict import (
    Evidence,
    Finding,
    current_verdict,
    update_evidence,
)
from cranberryfield.core.ids import NodeId, ServiceName
from cranberryfield.core.messages.rollouts import (
    RolloutGrant,
    RolloutGrants,
    RolloutReport,
    RolloutStage,
)

__all__ = [
    "Leadership",
    "decide_rollouts",
    "find_extended",
    "follow_state",
    "make_grants",
    "record_report",
]

MS_PER_S = 1000
#: Time in which relays report to a new leader, before it grants anything, in seconds.
REPORTS_ARRIVAL_S = 0.75
#: Age of its last report up to which a relay is in touch, in seconds; a relay that
#: knows a rollout reports every 0.25 s.
IN_TOUCH_S = 1.5
#: Age of its last report from which a relay is forgotten, in seconds.
SILENT_S = 5.0
MAX_HOSTS = 1_024
#: Time after which the progress of other leaders may be unknown, in seconds.
INHERITED_S = 1.0
#: Number of bits for revisions within a term.
TERM_SHIFT = 24
#: Relative change of a share from which it is granted anew.
SHARE_STEP = 0.1


@dataclass(slots=True)
class _Track:
    """Progress of one rollout as this leader sees it."""

    elapsed_at_start_s: float
    started_at: float
    stage: RolloutStage
    stage_at: float
    is_inherited: bool
    counts: CollectedCounts = field(default_factory=CollectedCounts)
    evidence: Evidence = field(default_factory=Evidence)
    share: float = 0.0
    earlier_share: float = 0.0
    stage_revision: int = 0
    has_told_extension: bool = False


@dataclass(slots=True)
class Leadership:
    """Section of the leader for one term.

    Attributes
    ----------
    term : int
        The term.
    since : float
        Monotonic time in seconds at which it began.
    revision : int
        Revision of the grants. Those of later terms are higher, as reports name no
        term: a relay with grants of an earlier leader may not know the stage.
    tracks : dict
        Rollouts in progress by number.
    heard_at : dict
        Monotonic time in seconds of the last report of each relay.
    problems : set
        Relays and reasons of ignored reports that have been logged.
    """

    term: int
    since: float
    revision: int = 0
    tracks: dict[int, _Track] = field(default_factory=dict)
    heard_at: dict[NodeId, float] = field(default_factory=dict)
    problems: set[tuple[NodeId, str]] = field(default_factory=set)

    def __post_init__(self):
        self.revision = max(self.revision, self.term << TERM_SHIFT)

    def followers(self, now: float) -> list[NodeId]:
        """Return the relays that have reported recently."""
        return [node for node, at in self.heard_at.items() if now - at <= SILENT_S]


def follow_state(
    leadership: Leadership, state: RolloutsState, now: float, wall_now: float
) -> None:
    """Begin and end the tracks of rollouts, and note changes of stage.

    Parameters
    ----------
    leadership : Leadership
        Changed in place.
    state : RolloutsState
        State of the log.
    now, wall_now : float
        Monotonic and wall-clock time in seconds.
    """
    tracks = leadership.tracks
    active = {one.number: one for one in state.latest.values() if not one.has_ended}
    for number in tracks.keys() - active.keys():
        del tracks[number]
        leadership.revision += 1
    for number, rollout in active.items():
        track = tracks.get(number)
        if track is None:
            elapsed_s = max(0.0, wall_now - rollout.begun_at_ms / MS_PER_S)
            elapsed_s = min(elapsed_s, rollout.duration_ms / MS_PER_S)
            is_inherited = (
                elapsed_s > INHERITED_S or rollout.stage is not RolloutStage.OBSERVING
            )
            leadership.revision += 1
            tracks[number] = _Track(
                elapsed_s,
                now,
                rollout.stage,
                now,
                is_inherited,
                stage_revision=leadership.revision,
            )
        elif track.stage is not rollout.stage:
            leadership.revision += 1
            track.stage, track.stage_at = rollout.stage, now
            track.stage_revision = leadership.revision


def record_report(
    leadership: Leadership, node: NodeId, report: RolloutReport, now: float
) -> list[str]:
    """Record the report of a relay.

    Parameters
    ----------
    leadership : Leadership
        Changed in place.
    node : NodeId
        The relay.
    report : RolloutReport
        Its report.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of str
        Reasons for which parts of it are ignored, each one once for each relay.
    """
    if node not in leadership.heard_at and len(leadership.heard_at) >= MAX_HOSTS:
        _forget_silent(leadership, now)
        if len(leadership.heard_at) >= MAX_HOSTS:
            return _new_problems(leadership, node, ["too many relays report"])
    leadership.heard_at[node] = now
    problems = []
    for counts in report.counts:
        track = leadership.tracks.get(counts.number)
        if track is None:
            continue
        share = max(track.share, track.earlier_share)
        problem = record_counts(
            track.counts,
            node,
            report.incarnation,
            report.revision,
            counts,
            share,
            now,
        )
        if problem is not None:
            problems.append(problem)
    return _new_problems(leadership, node, problems)


def _forget_silent(leadership: Leadership, now: float) -> None:
    heard_at = leadership.heard_at
    for node in [one for one, at in heard_at.items() if now - at > SILENT_S]:
        del heard_at[node]


def _new_problems(
    leadership: Leadership, node: NodeId, problems: list[str]
) -> list[str]:
    new = [one for one in problems if (node, one) not in leadership.problems]
    if len(leadership.problems) < MAX_HOSTS:
        leadership.problems.update((node, one) for one in new)
    return new


def decide_rollouts(
    leadership: Leadership,
    state: RolloutsState,
    serving: Mapping[ServiceName, VersionsServing],
    bound: ExposureBound,
    now: float,
    wall_now: float,
) -> list[tuple[Rollout, Plan]]:
    """Decide on all rollouts in progress.

    Parameters
    ----------
    leadership : Leadership
        Changed in place; its shares are what `make_grants` grants.
    state : RolloutsState
        State of the log.
    serving : mapping
        Upstreams by version, for each service with a rollout.
    bound : ExposureBound
        Exposure of a version that is not known to be good.
    now, wall_now : float
        Monotonic and wall-clock time in seconds.

    Returns
    -------
    list of (Rollout, Plan)
        The rollouts whose next stage is to be proposed.
    """
    follow_state(leadership, state, now, wall_now)
    if now - leadership.since < REPORTS_ARRIVAL_S:
        return []
    due = []
    for rollout in list(state.latest.values()):
        track = leadership.tracks.get(rollout.number)
        if track is None:
            continue
        update_evidence(track.evidence, track.counts.take_slice())
        versions = serving.get(rollout.service, VersionsServing())
        situation = _situation(leadership, rollout, track, versions, now)
        plan = plan_rollout(situation, bound)
        _grant_share(leadership, track, plan.share)
        if plan.next_stage is not None:
            due.append((rollout, plan))
    return due


def find_extended(leadership: Leadership, state: RolloutsState) -> list[tuple]:
    """Return rollouts, with the reason, whose sample was too small so far.

    Each one is returned once, when more than half of its time has passed.
    """
    found = []
    for rollout in state.latest.values():
        track = leadership.tracks.get(rollout.number)
        if track is None or track.has_told_extension:
            continue
        elapsed_s = track.elapsed_at_start_s + max(
            (host.heard_at for host in track.counts.hosts.values()),
            default=track.started_at,
        )
        elapsed_s -= track.started_at
        verdict = current_verdict(track.evidence)
        is_late = elapsed_s * MS_PER_S > 0.6 * rollout.duration_ms
        if is_late and verdict.finding is Finding.UNDECIDED:
            track.has_told_extension = True
            found.append((rollout, verdict.reason))
    return found


def _situation(
    leadership: Leadership,
    rollout: Rollout,
    track: _Track,
    versions: VersionsServing,
    now: float,
) -> Situation:
    counts = track.counts
    elapsed_s = track.elapsed_at_start_s + now - track.started_at
    duration_s = rollout.duration_ms / MS_PER_S
    # Shares that relays have earned and not used yet count as used.
    unused = max(0.0, counts.earned - counts.target_attempts)
    attempts = counts.target_attempts + min(unused, len(counts.hosts))
    attempts += counts.unreported(track.share, LEASE_S, now)
    is_compared = track.stage is not RolloutStage.SWITCHING
    heard = [host.heard_at for host in counts.hosts.values()]
    return Situation(
        track.stage,
        elapsed_s,
        duration_s,
        now - track.stage_at,
        current_verdict(track.evidence, is_compared),
        counts.arrivals,
        attempts,
        counts.rate_per_s(),
        versions.target_upstreams,
        bool(versions.other_upstreams) or not versions.is_complete,
        versions.target_slots / max(1, versions.other_slots),
        now - max(heard, default=float("-inf")) <= SILENT_S,
        track.is_inherited,
        _is_drained(leadership, track, duration_s - elapsed_s, now),
        track.evidence.outcomes,
    )


def _is_drained(
    leadership: Leadership, track: _Track, left_s: float, now: float
) -> bool:
    """Return whether no relay runs anything on other versions, as far as known.

    A relay that has just fallen silent may still have runs; it is waited for until
    shortly before the deadline, or until it is forgotten.
    """
    in_touch = 0
    for node, heard_at in leadership.heard_at.items():
        age_s = now - heard_at
        if age_s > SILENT_S:
            continue
        if age_s > IN_TOUCH_S:
            if left_s > END_MARGIN_S:
                return False
            continue
        host = track.counts.hosts.get(node)
        if host is None or host.revision < track.stage_revision:
            return False
        if host.counts.running_elsewhere:
            return False
        in_touch += 1
    return in_touch > 0


def _grant_share(leadership: Leadership, track: _Track, share: float) -> None:
    track.earlier_share = track.share
    change = abs(share - track.share)
    is_limit = share in (0.0, 1.0) and change > 0.0
    if is_limit or change > SHARE_STEP * max(track.share, share):
        track.share = share
        leadership.revision += 1


def make_grants(leadership: Leadership, state: RolloutsState) -> RolloutGrants:
    """Return the grants for all relays.

    Parameters
    ----------
    leadership : Leadership
        The leader's section.
    state : RolloutsState
        State of the log.

    Returns
    -------
    RolloutGrants
        One grant for each service that has had a rollout.
    """
    grants = []
    for rollout in state.latest.values():
        track = leadership.tracks.get(rollout.number)
        if rollout.stage is RolloutStage.ROLLED_BACK:
            share = 0.0
        elif rollout.stage >= RolloutStage.SWITCHING:
            share = 1.0
        else:
            share = track.share if track is not None else 0.0
        grants.append(
            RolloutGrant(
                rollout.number,
                rollout.service,
                rollout.target,
                rollout.stage,
                share,
                int(LEASE_S * MS_PER_S),
            )
        )
    return RolloutGrants(leadership.term, leadership.revision, tuple(grants))
