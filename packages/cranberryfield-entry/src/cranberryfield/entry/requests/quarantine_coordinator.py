"""Coordination of the request quarantine among entry hosts."""

from contextlib import contextmanager

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CallerError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.ids import NodeId, UpstreamId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.quarantine import SuspectReport
from cranberryfield.core.messages.requests import CrashNoted
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.quarantine import (
    Crash,
    QuarantineSection,
    UpstreamReserver,
    count_crashes,
    is_quarantined,
    record_crash,
    request_fingerprint,
)
from cranberryfield.entry.quarantine.reports import make_report, merge_report
from cranberryfield.entry.quarantine.section import (
    completed_recently,
    record_completion,
)
from cranberryfield.entry.requests.placement import HostsSource
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.routing import UpstreamSelector

__all__ = ["QuarantineCoordinator"]

POLL_INTERVAL_S = 0.05
#: Number of crashes after which a request is refused. From the first one on, it
#: shares no upstream with other suspects.
MAX_CRASHES = 2
MS_PER_S = 1000


class QuarantineCoordinator:
    """Keeps the quarantine of requests that crash upstreams in step on all hosts.

    A request that was in flight in a crash is a suspect. It runs only on an
    upstream that is reserved for it, so that no other suspect runs there.

    Parameters
    ----------
    node : NodeId
        This process.
    section : QuarantineSection
        Quarantine state; owned by this object.
    reserver : UpstreamReserver
        Reserves upstreams for suspects.
    mesh : Mesh
        Links to other hosts.
    hosts : callable
        Returns the live entry hosts.
    choose : UpstreamSelector
        Chooses upstreams.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        node: NodeId,
        section: QuarantineSection,
        reserver: UpstreamReserver,
        mesh: Mesh,
        hosts: HostsSource,
        choose: UpstreamSelector,
        clock: Clock,
    ):
        self._node = node
        self._section = section
        self._reserver = reserver
        self._mesh = mesh
        self._hosts = hosts
        self._choose = choose
        self._clock = clock
        mesh.handle(CrashNoted, self._on_crash)
        mesh.handle(SuspectReport, self._on_report)

    def refuse_if_quarantined(self, request: Request) -> None:
        """Raise an error for a request that was in flight in too many crashes.

        Raises
        ------
        CallerError
            Of kind ``request_crashes_upstreams``.
        """
        fingerprint = request_fingerprint(request.workspace, request.digest)
        if is_quarantined(self._section, fingerprint, MAX_CRASHES):
            crash_count = count_crashes(self._section, fingerprint)
            raise CallerError(
                ErrorKind.REQUEST_CRASHES_UPSTREAMS,
                f"{crash_count} upstreams crashed while they ran the request",
            )

    async def choose(
        self, request: Request, tried: frozenset[UpstreamId], ran_before: bool
    ) -> KnownUpstream:
        """Choose an upstream; for a suspect, one that runs no other suspect.

        Parameters
        ----------
        request : Request
            The request.
        tried : frozenset of UpstreamId
            Upstreams to avoid if there are others.
        ran_before : bool
            Whether the request may have started to run.

        Returns
        -------
        KnownUpstream
            The upstream; for a suspect, reserved until `release_after` exits.
        """
        excluded = tried
        while True:
            self.refuse_if_quarantined(request)
            chosen = self._choose(request, excluded, ran_before)
            if await self._may_run(request, chosen):
                return chosen
            if self._clock() >= request.deadline:
                raise UnavailableError(
                    ErrorKind.NO_UPSTREAM,
                    "no upstream without another request suspected of crashes",
                    was_run=WasRun.YES,
                    retry_after_s=1.0,
                )
            name = chosen.record.upstream
            excluded = tried if name in excluded else excluded | {name}
            await anyio.sleep(POLL_INTERVAL_S)

    @contextmanager
    def release_after(self, request: Request, upstream: KnownUpstream):
        """Release a suspect's reservation on exit."""
        try:
            yield
        finally:
            fingerprint = request_fingerprint(request.workspace, request.digest)
            self._reserver.release(upstream.record.upstream, fingerprint)

    async def _may_run(self, request: Request, upstream: KnownUpstream) -> bool:
        if self.crashed_at(upstream) is not None:
            return False
        fingerprint = request_fingerprint(request.workspace, request.digest)
        if not count_crashes(self._section, fingerprint):
            return True
        return await self._reserver.reserve(
            upstream.record.upstream, fingerprint, request.deadline
        )

    def crashed_at(self, upstream: KnownUpstream) -> float | None:
        """Return when the crash of an upstream's incarnation was noticed, or None."""
        record = upstream.record
        return self._section.crashed_at.get(record.process)

    def report_crash(
        self, request: Request, upstream: KnownUpstream, at: float
    ) -> None:
        """Record on all hosts that a request was in flight in a crash.

        Parameters
        ----------
        request : Request
            A request that was in flight on the upstream.
        upstream : KnownUpstream
            The upstream that crashed.
        at : float
            Monotonic time in seconds at which the crash was noticed.
        """
        record = upstream.record
        fingerprint = request_fingerprint(request.workspace, request.digest)
        name, incarnation = record.upstream, record.incarnation
        if completed_recently(self._section, fingerprint, self._clock()):
            return
        if record_crash(self._section, fingerprint, Crash(name, incarnation, at)):
            age_ms = int((self._clock() - at) * MS_PER_S)
            self._broadcast(CrashNoted(name, incarnation, (fingerprint,), age_ms))

    def report_completion(self, request: Request) -> None:
        """Record that a request ran to its end, so that its crashes do not count."""
        now = self._clock()
        fingerprint = request_fingerprint(request.workspace, request.digest)
        if record_completion(self._section, fingerprint, now):
            self._broadcast(make_report(self._section, [fingerprint], now))

    def _broadcast(self, message: Message) -> None:
        for host in self._hosts():
            if host.node != self._node:
                self._mesh.send(host.node, message)

    def _on_crash(self, sender: NodeId, message: CrashNoted) -> None:
        at = self._clock() - message.age_ms / MS_PER_S
        for fingerprint in message.fingerprints:
            crash = Crash(message.upstream, message.incarnation, at)
            record_crash(self._section, fingerprint, crash)

    def _on_report(self, sender: NodeId, report: SuspectReport) -> None:
        merge_report(self._section, report, self._clock())
