"""The leader's part in rollouts: takes orders and reports, decides and grants."""

from collections.abc import Callable

import anyio
import msgspec
import structlog

from cranberryfield.control.consensus import ReplicaRole
from cranberryfield.control.rollouts import (
    ExposureBound,
    Plan,
    Rollout,
    RolloutsState,
    VersionsServing,
    rollout_view,
)
from cranberryfield.control.rollouts.leadership import (
    Leadership,
    decide_rollouts,
    find_extended,
    follow_state,
    make_grants,
    record_report,
)
from cranberryfield.control.runtime import ControlRuntime, ControlSection
from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import Deployment
from cranberryfield.core.errors import CranberryfieldError, ErrorKind
from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.ids import NodeId, ServiceName
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.commands import ProposalRedirected, Refused
from cranberryfield.core.messages.rollouts import (
    AdvanceRollout,
    BeginRollout,
    ReadRollout,
    RolloutBegun,
    RolloutGrants,
    RolloutReport,
)
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable

__all__ = ["RolloutCoordinator"]

#: Interval of decisions, in seconds. With the interval of reports (0.25 s) it is the
#: time in which a fault becomes known.
DECIDE_INTERVAL_S = 0.2
PROPOSE_TIMEOUT_S = 2.0
#: Time after its start in which a control host may not have heard of all upstreams,
#: which announce themselves every 1.2 s, in seconds.
REGISTRY_ARRIVAL_S = 3.0
MS_PER_S = 1000

logger = structlog.get_logger(__name__)


class RolloutCoordinator:
    """Moves rollouts forward while this host leads the control group.

    Parameters
    ----------
    section : ControlSection
        State applied from the replicated log.
    runtime : ControlRuntime
        Replica through which commands are proposed.
    table : RegistryTable
        Announced upstreams.
    mesh : Mesh
        Links to other processes.
    deployment : callable
        Returns the deployment that this host has applied.
    bound : ExposureBound
        Exposure of a version that is not known to be good.
    clock, wall : Clock
        Monotonic time, and the system clock.
    metrics : Metrics
        Counts orders, stages and ignored reports.
    """

    def __init__(
        self,
        section: ControlSection,
        runtime: ControlRuntime,
        table: RegistryTable,
        mesh: Mesh,
        deployment: Callable[[], Deployment | None],
        bound: ExposureBound,
        clock: Clock,
        wall: Clock,
        metrics: Metrics,
    ):
        self._section = section
        self._runtime = runtime
        self._table = table
        self._mesh = mesh
        self._deployment = deployment
        self._bound = bound
        self._clock = clock
        self._wall = wall
        self._metrics = metrics
        self._logged_shares: dict[int, float] = {}
        self._has_silence = False
        self._started_at = clock()
        self._leadership: Leadership | None = None
        self._pushed_revision = 0
        mesh.handle(RolloutReport, self._on_report)
        mesh.handle(BeginRollout, self._on_begin)
        mesh.handle(ReadRollout, self._on_read)

    @property
    def _state(self) -> RolloutsState:
        return self._section.state.rollouts

    async def run(self) -> None:
        """Decide and push grants until cancelled."""
        while True:
            await anyio.sleep(DECIDE_INTERVAL_S)
            leadership = self._current_leadership()
            if leadership is None:
                continue
            serving = {one: self._versions_serving(one) for one in self._state.latest}
            due = decide_rollouts(
                leadership,
                self._state,
                serving,
                self._bound,
                self._clock(),
                self._wall(),
            )
            self._log_progress(leadership)
            for rollout, reason in find_extended(leadership, self._state):
                logger.info(
                    "rollout observes longer",
                    number=rollout.number,
                    service=rollout.service,
                    reason=reason,
                )
            for rollout, plan in due:
                await self._advance(rollout, plan)
            self._push()

    def _log_progress(self, leadership: Leadership) -> None:
        """Log shares that have changed, and that no relay reports any more."""
        shares = {}
        for number, track in leadership.tracks.items():
            shares[number] = track.share
            if self._logged_shares.get(number) != track.share:
                logger.info(
                    "rollout share",
                    number=number,
                    share=round(track.share, 4),
                    arrivals=track.counts.arrivals,
                    target_attempts=track.counts.target_attempts,
                    outcomes=track.evidence.outcomes,
                )
        self._logged_shares = shares
        is_silent = bool(shares) and not leadership.followers(self._clock())
        if is_silent and not self._has_silence:
            logger.warning("no relay reports on rollouts", numbers=sorted(shares))
        self._has_silence = is_silent

    def _current_leadership(self) -> Leadership | None:
        """Return the section of the term that this host leads, if it does.

        It is kept while the leader lease has expired for a moment: revisions of one
        term must not begin again.
        """
        term = self._runtime.leading_term()
        if term is None:
            return None
        if self._leadership is None or self._leadership.term != term:
            if not self._has_current_state():
                return None
            self._leadership = Leadership(term, self._clock())
            self._pushed_revision = 0
        return self._leadership

    def _has_current_state(self) -> bool:
        """Return whether all that earlier leaders have committed is applied.

        A new leader knows that once it has committed an entry of its own term; before,
        it could grant an earlier stage.
        """
        replica = self._section.replica
        commit_index = replica.commit_index
        is_own_entry = replica.log.term_at(commit_index) == replica.term
        return is_own_entry and self._section.applied_index >= commit_index

    def _versions_serving(self, service: ServiceName) -> VersionsServing:
        target = self._state.latest[service].target
        counts = {True: [0, 0], False: [0, 0]}
        for record in self._table.active_upstreams(service):
            count = counts[record.software_version == target]
            count[0] += 1
            count[1] += record.capacity
        is_complete = self._clock() - self._started_at >= REGISTRY_ARRIVAL_S
        return VersionsServing(*counts[True], *counts[False], is_complete)

    async def _advance(self, rollout: Rollout, plan: Plan) -> None:
        command = AdvanceRollout(rollout.number, plan.next_stage, plan.reason)
        result = await self._propose(command)
        if result is not None:
            self._metrics.count(f"rollouts_{plan.next_stage.name.lower()}")
        logger.info(
            "rollout advances" if result is not None else "rollout cannot be advanced",
            number=rollout.number,
            service=rollout.service,
            to=rollout.target,
            stage=plan.next_stage.name.lower(),
            reason=plan.reason,
        )
        leadership = self._current_leadership()
        if leadership is not None:
            follow_state(leadership, self._state, self._clock(), self._wall())

    async def _propose(self, command: Message) -> Message | None:
        """Commit a command; None if that failed, so that it is proposed again."""
        if self._section.state.feature_level < FeatureLevel.ROLLOUTS:
            return None
        with anyio.move_on_after(PROPOSE_TIMEOUT_S):
            try:
                return await self._runtime.propose(encode_message(command))
            except CranberryfieldError as error:
                logger.info("rollout command not committed", detail=error.detail)
        return None

    def _push(self) -> None:
        leadership = self._current_leadership()
        if leadership is None or leadership.revision == self._pushed_revision:
            return
        self._pushed_revision = leadership.revision
        grants = make_grants(leadership, self._state)
        for node in leadership.followers(self._clock()):
            self._mesh.send(node, grants)

    def _on_report(self, sender: NodeId, report: RolloutReport) -> RolloutGrants:
        leadership = self._current_leadership()
        if leadership is None:
            return RolloutGrants(0)
        now = self._clock()
        follow_state(leadership, self._state, now, self._wall())
        for problem in record_report(leadership, sender, report, now):
            self._metrics.count("rollout_reports_ignored")
            logger.warning("report ignored", sender=sender, problem=problem)
        return make_grants(leadership, self._state)

    async def _on_begin(self, sender: NodeId, order: BeginRollout) -> Message:
        redirect = await self._confirm_leadership()
        if redirect is not None:
            return redirect
        if self._section.state.feature_level < FeatureLevel.ROLLOUTS:
            detail = "not all control hosts understand rollouts yet"
            return Refused(ErrorKind.NOT_READY.value, detail)
        deployment = self._deployment()
        services = deployment.services if deployment is not None else ()
        if order.service not in {one.name for one in services}:
            detail = f"the service {order.service!r} is not in the deployment"
            return Refused(ErrorKind.UNKNOWN_SERVICE.value, detail)
        versions = {
            one.software_version for one in self._table.active_upstreams(order.service)
        }
        command = msgspec.structs.replace(
            order,
            begun_at_ms=int(self._wall() * MS_PER_S),
            previous=tuple(sorted(versions - {order.target}))[:16],
        )
        result = await self._runtime.propose(encode_message(command))
        if isinstance(result, RolloutBegun) and result.took_effect:
            self._metrics.count("rollouts_begun")
            logger.info(
                "rollout begins",
                number=result.number,
                service=order.service,
                to=order.target,
                duration_ms=order.duration_ms,
                previous=command.previous,
            )
            leadership = self._current_leadership()
            if leadership is not None:
                follow_state(leadership, self._state, self._clock(), self._wall())
                self._push()
        return result

    async def _on_read(self, sender: NodeId, message: ReadRollout) -> Message:
        redirect = await self._confirm_leadership()
        return redirect or rollout_view(self._state, message.service)

    async def _confirm_leadership(self) -> ProposalRedirected | None:
        """Wait until the state is current; return a redirect if not the leader."""
        replica = self._section.replica
        if replica.role is not ReplicaRole.LEADER:
            return ProposalRedirected(replica.leader_node)
        await self._runtime.wait_until_current()
        return None
