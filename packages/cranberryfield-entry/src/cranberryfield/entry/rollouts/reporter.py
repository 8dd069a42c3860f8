"""Reports to the leader about rollouts, and receives its grants."""

from collections import defaultdict
from collections.abc import Callable

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId, ServiceName
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.rollouts import RolloutGrants, RolloutReport
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.rollouts.grants import AppliedGrants, apply_grants
from cranberryfield.entry.rollouts.section import (
    LIMITED_STAGES,
    RolloutSection,
    is_lease_valid,
    make_counts,
)

__all__ = ["RolloutReporter"]

#: Time between reports, in seconds: while a rollout is in progress, at rest, and until
#: the first grants.
REPORT_INTERVAL_S = 0.25
REST_INTERVAL_S = 1.0
FIRST_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.5
#: Shortest time until a report that a new version has caused, in seconds. Upstreams
#: often start together.
ANNOUNCEMENT_DELAY_S = 0.02
#: Time for which a host waits for its first grants while it knows the leader, in
#: seconds. It serves without them after that, as all hosts would be out of service if
#: the leader did not know of rollouts.
FIRST_GRANTS_WAIT_S = 5.0
#: Reasons for ignoring grants that are remembered, so that each is logged once for
#: each sender.
MAX_LOGGED = 256

logger = structlog.get_logger(__name__)


class RolloutReporter:
    """Exchanges counts and grants with the leader.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    leader : callable
        Returns the leader of the control group, or None if unknown.
    supports_rollouts : callable
        Returns whether a linked process understands the messages. They are not sent to
        one that does not, which would close its link.
    section : RolloutSection
        Rollouts; grants are written by this object.
    table : RegistryTable
        Announced upstreams.
    clock : Clock
        Monotonic time that counts suspensions.
    """

    def __init__(
        self,
        mesh: Mesh,
        leader: Callable[[], NodeId | None],
        supports_rollouts: Callable[[NodeId], bool],
        section: RolloutSection,
        table: RegistryTable,
        clock: Clock,
    ):
        self._mesh = mesh
        self._leader = leader
        self._supports_rollouts = supports_rollouts
        self._section = section
        self._table = table
        self._clock = clock
        self._wake = anyio.Event()
        self._leader_known_at: float | None = None
        self._without_lease: set[ServiceName] = set()
        self._logged: set[tuple[NodeId, str]] = set()
        section.is_used = True
        mesh.handle(RolloutGrants, self._on_grants)

    @property
    def is_ready(self) -> bool:
        """Whether the host may serve as far as rollouts are concerned.

        A host that has just started does not know which versions are restricted.
        """
        is_waiting = self._leader() is not None and not self._section.has_grants
        return not is_waiting or self._has_waited

    @property
    def _has_waited(self) -> bool:
        """Whether the first grants have not come in time."""
        since = self._leader_known_at
        return since is not None and self._clock() - since > FIRST_GRANTS_WAIT_S

    async def run(self) -> None:
        """Report until cancelled."""
        is_warned = False
        while True:
            with anyio.move_on_after(self._interval_s()):
                await self._wake.wait()
                await anyio.sleep(ANNOUNCEMENT_DELAY_S)
            self._wake = anyio.Event()
            leader = self._leader()
            if leader is not None:
                await self.report(leader)
            if self._has_waited and not (self._section.has_grants or is_warned):
                is_warned = True
                logger.warning("serving without rollout grants", leader=leader)
            self._log_leases()

    def on_announcement(self, record: UpstreamRecord) -> None:
        """Report soon if a version appears that may be the target of a rollout.

        Parameters
        ----------
        record : UpstreamRecord
            Changed record of an upstream.
        """
        confirmed = self._section.confirmed.get(record.service, ())
        if not record.leaving and record.software_version not in confirmed:
            self._wake.set()

    def _interval_s(self) -> float:
        if not (self._section.has_grants or self._has_waited):
            return FIRST_INTERVAL_S
        return REPORT_INTERVAL_S if self._section.has_unended else REST_INTERVAL_S

    async def report(self, leader: NodeId) -> None:
        """Send a report to the leader and apply its reply."""
        sent_at = self._clock()
        if self._leader_known_at is None:
            self._leader_known_at = sent_at
        if not self._mesh.is_linked(leader):
            return
        announced = announced_versions(self._table)
        if not self._supports_rollouts(leader):
            # No rollout begins before all control hosts understand them.
            self._section.confirmed = announced
            self._section.has_grants = True
            return
        report = RolloutReport(
            self._mesh.hello.incarnation,
            self._section.revision,
            make_counts(self._section),
        )
        try:
            grants = await self._mesh.request(leader, report, REQUEST_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug(
                "rollout report to the leader failed", host=leader, detail=error.detail
            )
            return
        had_grants = self._section.has_grants
        applied = apply_grants(self._section, grants, sent_at, announced)
        if applied.is_applied and not had_grants:
            logger.info(
                "first rollout grants received",
                told_by=leader,
                term=grants.term,
                revision=grants.revision,
                rollouts=len(self._section.rollouts),
            )
        self._log_grants(leader, grants, applied)

    def _on_grants(self, sender: NodeId, grants: RolloutGrants) -> None:
        self._log_grants(sender, grants, apply_grants(self._section, grants))

    def _log_grants(
        self, sender: NodeId, grants: RolloutGrants, applied: AppliedGrants
    ) -> None:
        for grant in applied.changed:
            logger.info(
                "rollout grant changed",
                service=grant.service,
                number=grant.number,
                target=grant.target,
                stage=grant.stage.name.lower(),
                share=grant.share,
                lease_ms=grant.lease_ms,
                told_by=sender,
                term=grants.term,
                revision=grants.revision,
            )
        for reason, grant in applied.ignored:
            if (sender, reason) in self._logged or len(self._logged) >= MAX_LOGGED:
                continue
            self._logged.add((sender, reason))
            logger.warning(
                "rollout grant ignored",
                reason=reason,
                service=grant.service[:64],
                number=grant.number,
                share=grant.share,
                lease_ms=grant.lease_ms,
                told_by=sender,
            )

    def _log_leases(self) -> None:
        """Log leases that have run out, or are valid again."""
        now = self._clock()
        expired = {
            service
            for service, one in self._section.rollouts.items()
            if one.grant.stage in LIMITED_STAGES and not is_lease_valid(one, now)
        }
        for service in expired ^ self._without_lease:
            is_expired = service in expired
            event = "rollout lease expired" if is_expired else "rollout lease renewed"
            logger.info(
                event,
                service=service,
                number=self._section.rollouts[service].grant.number,
                age_ms=round((now - self._section.confirmed_at) * 1000),
            )
        self._without_lease = expired


def announced_versions(
    table: RegistryTable,
) -> dict[ServiceName, frozenset[str]]:
    """Return the versions of each service's upstreams that are not leaving."""
    versions: defaultdict[ServiceName, set[str]] = defaultdict(set)
    for entry in table.entries.values():
        if not entry.record.leaving:
            versions[entry.record.service].add(entry.record.software_version)
    return {service: frozenset(one) for service, one in versions.items()}
