"""Refuses requests that crash upstreams, and keeps suspected ones apart."""

from math import inf

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.quarantine import (
    QuarantineSection,
    UpstreamReserver,
    count_crashes,
    crashing_part,
    is_quarantined,
    must_be_isolated,
    part_crashes,
    quarantine_ends_at,
    refused_until,
)
from cranberryfield.entry.relay.request_state import RelayRequestState

__all__ = ["RelayQuarantine"]

#: Time for which an upstream process that has crashed is avoided, in seconds.
CRASH_BACKOFF_S = 5.0
#: Time for which a request that was in flight in one crash waits for an upstream
#: without other suspects, in seconds for each recent crash. Several at once show that
#: requests cause them.
ISOLATION_WAIT_PER_CRASH_S = 0.15


class RelayQuarantine:
    """Refuses requests that crash upstreams, as noticed by any host.

    Parameters
    ----------
    section : QuarantineSection
        Suspects known to this host.
    reserver : UpstreamReserver
        Reserves upstreams for suspects.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, section: QuarantineSection, reserver: UpstreamReserver, clock: Clock
    ):
        self._section = section
        self._reserver = reserver
        self._clock = clock

    def is_quarantined(self, state: RelayRequestState) -> bool:
        """Return whether a request is refused, as it or its prompt crashes upstreams.

        Parameters
        ----------
        state : RelayRequestState
            State of the request.
        """
        return self.refusal(state, WasRun.NO) is not None

    def refusal(
        self, state: RelayRequestState, was_run: WasRun
    ) -> UnavailableError | None:
        """Return the error for a quarantined request; None for any other.

        Parameters
        ----------
        state : RelayRequestState
            State of the request.
        was_run : WasRun
            Whether this attempt of its caller was run.
        """
        section, now = self._section, self._clock()
        if is_quarantined(section, state.fingerprint):
            ends_at = quarantine_ends_at(section, state.fingerprint)
            crash_count = count_crashes(section, state.fingerprint)
            cause = "the request"
        else:
            part = crashing_part(section, state.prompt_parts, now)
            if part is None:
                return None
            ends_at = refused_until(section, part)
            crash_count = len(part_crashes(section, part))
            cause = f"requests with the prompt part {part.hex()}"
        return UnavailableError(
            ErrorKind.REQUEST_CRASHES_UPSTREAMS,
            f"{crash_count} upstreams crashed while they ran {cause}",
            was_run=was_run,
            retry_after_s=max(0.0, ends_at - now),
        )

    def crashed_among(self, candidates: list[UpstreamRecord]) -> frozenset[UpstreamId]:
        """Return the upstreams that have just crashed, as noticed by any host."""
        crashed_at = self._section.crashed_at
        if not crashed_at:
            return frozenset()
        since = self._clock() - CRASH_BACKOFF_S
        return frozenset(
            one.upstream
            for one in candidates
            if crashed_at.get(one.process, -inf) > since
        )

    def isolate_until(self, fingerprint: bytes, deadline: float) -> float:
        """Return until when a request waits for an upstream without other suspects.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.
        deadline : float
            Monotonic time in seconds of the request's deadline.

        Returns
        -------
        float
            Monotonic time in seconds; minus infinity for requests that need no
            isolation. Suspects run apart so that the next crash tells which of
            them caused it. If it would quarantine the request, it waits as long as
            it may; otherwise it soon shares an upstream.
        """
        if must_be_isolated(self._section, fingerprint):
            return deadline
        crashes = self._section.crashes.get(fingerprint, ())
        if all(crash.had_answered for crash in crashes):
            return -inf
        now = self._clock()
        crashed_at = self._section.crashed_at.values()
        recent_crashes = sum(now - at < CRASH_BACKOFF_S for at in crashed_at)
        return now + ISOLATION_WAIT_PER_CRASH_S * recent_crashes

    async def reserve(
        self, fingerprint: bytes, upstream: UpstreamId, deadline: float
    ) -> bool:
        """Reserve an upstream for a suspect until `release`.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.
        upstream : UpstreamId
            The upstream.
        deadline : float
            Monotonic time in seconds of the request's deadline.

        Returns
        -------
        bool
            Whether no other suspect runs there on behalf of any host.
        """
        return await self._reserver.reserve(upstream, fingerprint, deadline)

    def release(self, fingerprint: bytes, upstream: UpstreamId) -> None:
        """Release the reservation of an upstream, if there is one."""
        self._reserver.release(upstream, fingerprint)
