"""Tells all entry hosts of crashes and of where suspected requests run."""

from contextlib import contextmanager

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CallerError,
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.ids import NodeId, UpstreamId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.requests import (
    CrashNoted,
    LeavePlace,
    PlaceTaken,
    TakePlace,
)
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.requests.holders import HostsSource, choose_holders
from cranberryfield.entry.requests.quarantine import (
    MAX_CRASHES,
    QuarantineSection,
    crashes_of,
    fingerprint_of,
    leave_place,
    note_crash,
    take_place,
)
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.routing import UpstreamSelector

__all__ = ["Suspects"]

POLL_S = 0.05
#: How much longer than its deadline a suspect keeps its place at most.
GRACE_MS = 1_000
ASK_TIMEOUT_S = 1.0
#: Stands for the workspace where the host that looks after a place is chosen.
PLACES = "upstream"
MS_PER_S = 1000


class Suspects:
    """The quarantine of this host, kept the same on all.

    Parameters
    ----------
    node : NodeId
        This process.
    section : QuarantineSection
        Owned here.
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
        mesh: Mesh,
        hosts: HostsSource,
        choose: UpstreamSelector,
        clock: Clock,
    ):
        self._node = node
        self._section = section
        self._mesh = mesh
        self._hosts = hosts
        self._choose = choose
        self._clock = clock
        mesh.handle(CrashNoted, self._on_crash)
        mesh.handle(TakePlace, self._on_take)
        mesh.handle(LeavePlace, self._on_leave)

    def refuse_if_guilty(self, request: Request) -> None:
        """Refuse a request that was in flight in too many crashes.

        Raises
        ------
        CallerError
            Of kind ``request_crashes_upstreams``.
        """
        if crashes_of(self._section, fingerprint_of(request)) >= MAX_CRASHES:
            raise CallerError(
                ErrorKind.REQUEST_CRASHES_UPSTREAMS,
                f"{MAX_CRASHES} upstreams crashed while they ran the request",
            )

    async def choose(
        self, request: Request, tried: frozenset[UpstreamId], ran_before: bool
    ) -> KnownUpstream:
        """Choose an upstream; for a suspect one that runs no other suspect.

        Parameters
        ----------
        request : Request
            The request.
        tried : frozenset of UpstreamId
            Upstreams to be avoided if there are others.
        ran_before : bool
            Whether the request may have run.

        Returns
        -------
        KnownUpstream
            For a suspect, with its place taken; see `running`.
        """
        avoided = tried
        while True:
            self.refuse_if_guilty(request)
            chosen = self._choose(request, avoided, ran_before)
            if await self._may_run(request, chosen):
                return chosen
            if self._clock() >= request.deadline:
                raise UnavailableError(
                    ErrorKind.NO_UPSTREAM,
                    "no upstream is free of other suspected requests",
                    was_run=WasRun.YES,
                    retry_after_s=1.0,
                )
            name = chosen.record.upstream
            avoided = tried if name in avoided else avoided | {name}
            await anyio.sleep(POLL_S)

    @contextmanager
    def running(self, request: Request, upstream: KnownUpstream):
        """Give a suspect's place up when it no longer runs."""
        fingerprint = fingerprint_of(request)
        is_suspect = crashes_of(self._section, fingerprint) > 0
        try:
            yield
        finally:
            if is_suspect:
                self._leave_place(upstream, fingerprint)

    def _owner(self, upstream: UpstreamId) -> NodeId:
        """Return the host that looks after an upstream's place."""
        return choose_holders(self._hosts(), PLACES, upstream)[0]

    async def _may_run(self, request: Request, upstream: KnownUpstream) -> bool:
        if self.crashed_at(upstream) is not None:
            return False
        is_suspect = crashes_of(self._section, fingerprint_of(request)) > 0
        return not is_suspect or await self._take_place(request, upstream)

    def crashed_at(self, upstream: KnownUpstream) -> float | None:
        """Return when an upstream's incarnation was noticed to have crashed."""
        record = upstream.record
        return self._section.crashed_at.get((record.upstream, record.incarnation))

    async def _take_place(self, request: Request, upstream: KnownUpstream) -> bool:
        name = upstream.record.upstream
        owner = self._owner(name)
        left_s = max(0.0, request.deadline - self._clock())
        keep_ms = int(left_s * MS_PER_S) + GRACE_MS
        message = TakePlace(name, fingerprint_of(request), keep_ms)
        if owner == self._node:
            return self._on_take(self._node, message).granted
        try:
            reply = await self._mesh.request(owner, message, ASK_TIMEOUT_S)
        except CranberryfieldError:
            return False
        return reply.granted

    def _leave_place(self, upstream: KnownUpstream, fingerprint: bytes) -> None:
        name = upstream.record.upstream
        owner = self._owner(name)
        message = LeavePlace(name, fingerprint)
        if owner == self._node:
            self._on_leave(self._node, message)
        else:
            self._mesh.send(owner, message)

    def note_crash(self, request: Request, upstream: KnownUpstream, at: float) -> None:
        """Note, here and on all hosts, that a request's upstream crashed.

        Parameters
        ----------
        request : Request
            A request that was in flight there.
        upstream : KnownUpstream
            What crashed.
        at : float
            Monotonic time in seconds at which that was noticed.
        """
        record = upstream.record
        fingerprint = fingerprint_of(request)
        name, incarnation = record.upstream, record.incarnation
        if note_crash(self._section, fingerprint, name, incarnation, at):
            age_ms = int((self._clock() - at) * MS_PER_S)
            self._tell_all(CrashNoted(name, incarnation, (fingerprint,), age_ms))

    def _tell_all(self, message: Message) -> None:
        for host in self._hosts():
            if host.node != self._node:
                self._mesh.send(host.node, message)

    def _on_crash(self, sender: NodeId, message: CrashNoted) -> None:
        at = self._clock() - message.age_ms / MS_PER_S
        for fingerprint in message.fingerprints:
            note_crash(
                self._section,
                fingerprint,
                message.upstream,
                message.incarnation,
                at,
            )

    def _on_take(self, sender: NodeId, message: TakePlace) -> PlaceTaken:
        now = self._clock()
        until = now + message.reservation_ms / MS_PER_S
        suspect = (sender, message.fingerprint)
        granted = take_place(self._section, message.upstream, suspect, now, until)
        return PlaceTaken(granted)

    def _on_leave(self, sender: NodeId, message: LeavePlace) -> None:
        leave_place(self._section, message.upstream, (sender, message.fingerprint))
