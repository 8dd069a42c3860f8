"""Applies the state of rollouts to the requests that a relay forwards."""

from dataclasses import dataclass
from random import Random

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.rollouts import RolloutStage
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.rollouts.exposure import (
    Exposure,
    costs_credit,
    decide_exposure,
    may_still_send,
)
from cranberryfield.entry.rollouts.outcomes import Judgement, count_answer, count_end
from cranberryfield.entry.rollouts.section import (
    KnownRollout,
    RolloutSection,
    add_run,
    begun_attempt,
    record_arrival,
    remove_run,
)
from cranberryfield.entry.streams import known_versions

__all__ = ["RolloutRun", "RolloutTraffic"]

#: Time for which credits are kept for a waiting stream after it has looked for one, in
#: seconds; it looks again every 0.02 s.
RESUMPTION_HOLD_S = 0.1


@dataclass(slots=True)
class RolloutRun:
    """An attempt in progress, as far as rollouts are concerned.

    Attributes
    ----------
    record : UpstreamRecord
        Upstream of the attempt.
    route : str
        Name of the request's route.
    rollout : KnownRollout or None
        Rollout that was known of its service when it began.
    started_at : float
        Monotonic time in seconds at which it began.
    has_answered : bool
        Whether its first event has arrived.
    """

    record: UpstreamRecord
    route: str
    rollout: KnownRollout | None
    started_at: float
    has_answered: bool = False

    @property
    def is_target(self) -> bool:
        """Whether it runs at the target version of its rollout."""
        return self.record.software_version == self.rollout.grant.target


class RolloutTraffic:
    """Chooses and counts attempts while services are rolled out.

    Parameters
    ----------
    section : RolloutSection
        Rollouts; credits and counts are updated by this object.
    table : RegistryTable
        Announced upstreams.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time that counts suspensions.
    rng : random.Random
        Decides which requests use a credit. It is not used without a rollout.
    """

    def __init__(
        self,
        section: RolloutSection,
        table: RegistryTable,
        metrics: Metrics,
        clock: Clock,
        rng: Random,
    ):
        self._section = section
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._rng = rng

    def record_arrival(self, service: ServiceName) -> None:
        """Count a request for a service, which may earn a part of a credit."""
        record_arrival(self._section, service, self._clock())

    def expose(
        self, service: ServiceName, candidates: list[UpstreamRecord], has_begun: bool
    ) -> Exposure:
        """Return which of the candidates an attempt may use now.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        candidates : list of UpstreamRecord
            Its announced upstreams; those of one version if a stream has begun there.
        has_begun : bool
            Whether the request is a stream that has begun.
        """
        exposure = self._decide(service, candidates, has_begun, self._rng)
        if exposure.is_pending and has_begun and service in self._section.rollouts:
            rollout = self._section.rollouts[service]
            rollout.resumption_until = self._clock() + RESUMPTION_HOLD_S
        return exposure

    def _decide(
        self,
        service: ServiceName,
        candidates: list[UpstreamRecord],
        has_begun: bool,
        rng: Random,
    ) -> Exposure:
        return decide_exposure(
            self._section,
            service,
            candidates,
            has_begun,
            lambda: known_versions(self._table, service),
            rng.random,
            self._clock(),
        )

    def take(self, record: UpstreamRecord, has_begun: bool) -> bool:
        """Take the credit for an attempt that begins now.

        Between the choice of its upstream and this moment others may have been asked
        for permission, while the stage has changed or another request has taken the
        credit.

        Parameters
        ----------
        record : UpstreamRecord
            Upstream of the attempt.
        has_begun : bool
            Whether the request is a stream that has begun.

        Returns
        -------
        bool
            False if the upstream may not be used any more.
        """
        if not self._section.is_used:
            return True
        rollout = self._section.rollouts.get(record.service)
        if rollout is not None and rollout.grant.stage is RolloutStage.COMPLETED:
            return True
        candidates = self._table.active_upstreams(record.service)
        if has_begun:
            version = record.software_version
            candidates = [one for one in candidates if one.software_version == version]
        exposure = self._decide(record.service, candidates, has_begun, self._rng)
        if all(one.process != record.process for one in exposure.candidates):
            return False
        if rollout is not None and costs_credit(rollout, record):
            rollout.credit -= 1.0
        return True

    def may_send(self, record: UpstreamRecord) -> bool:
        """Return whether a chosen attempt may still be written to its upstream."""
        rollout = self._section.rollouts.get(record.service)
        if rollout is None:
            return True
        entry = self._table.entries.get(record.upstream)
        is_replaced = (
            (entry is not None and entry.record.incarnation != record.incarnation)
            # Another upstream, of any service, has announced itself at the address.
            or self._table.newest_at.get(record.address, 0) > record.incarnation
        )
        return not is_replaced and may_still_send(rollout, record, self._clock())

    def without_rolled_back(
        self, service: ServiceName, candidates: list[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return the candidates that may be used now or later."""
        rollout = self._section.rollouts.get(service)
        if rollout is None or rollout.grant.stage is not RolloutStage.ROLLED_BACK:
            return candidates
        target = rollout.grant.target
        return [one for one in candidates if one.software_version != target]

    def begin(self, record: UpstreamRecord, route: str) -> RolloutRun | None:
        """Count an attempt that begins; return None if there are no rollouts."""
        if not self._section.is_used:
            return None
        service, version = record.service, record.software_version
        add_run(self._section, service, version)
        rollout = begun_attempt(self._section, service, version)
        run = RolloutRun(record, route, rollout, self._clock())
        if rollout is not None:
            self._metrics.count(f"rollout_{_side(run)}_attempts")
        return run

    def record_answer(self, run: RolloutRun | None) -> None:
        """Count the first event of an attempt."""
        if run is None or run.has_answered:
            return
        run.has_answered = True
        if not _is_counted(run):
            return
        took_s = self._clock() - run.started_at
        count_answer(_row_of(run), took_s)
        self._metrics.observe(f"rollout_{_side(run)}_answer", took_s)

    def end(self, run: RolloutRun | None, judgement: Judgement) -> None:
        """Count the end of an attempt.

        Parameters
        ----------
        run : RolloutRun or None
            The attempt, as `begin` has returned it.
        judgement : Judgement
            How it ended.
        """
        if run is None:
            return
        record = run.record
        remove_run(self._section, record.service, record.software_version)
        if not _is_counted(run):
            return
        took_s = self._clock() - run.started_at
        count_end(_row_of(run), judgement, took_s, run.has_answered)
        if judgement is Judgement.FAILURE:
            self._metrics.count(f"rollout_{_side(run)}_failures")
        elif judgement is Judgement.SUCCESS and not run.has_answered:
            self._metrics.observe(f"rollout_{_side(run)}_answer", took_s)


def _is_counted(run: RolloutRun) -> bool:
    return run.rollout is not None and not run.rollout.has_ended


def _row_of(run: RolloutRun):
    data_centre = run.record.data_centre
    return run.rollout.outcomes.row_of(run.route, data_centre, run.is_target)


def _side(run: RolloutRun) -> str:
    """Return the part of a metric's name for the version of a run."""
    return "target" if run.is_target else "other"
