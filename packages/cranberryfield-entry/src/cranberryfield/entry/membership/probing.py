"""Direct probes of upstreams whose home host sends no renewals."""

import anyio
import httpx
import msgspec
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.membership import LoadReport, UpstreamRecord
from cranberryfield.entry.membership.leases import LeaseManager
from cranberryfield.entry.membership.upstreams import KnownUpstream, UpstreamsSection

__all__ = ["LOAD_CAPABILITY", "ProbeResponse", "UpstreamProber", "is_probe_due"]

#: Capability announced by upstreams that serve ``GET /load``.
LOAD_CAPABILITY = "load"
#: Fraction of a lease after which an upstream without a renewal is probed.
PROBE_DUE_RATIO = 0.6
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.5
STATUS_OK = 200
MAX_RESPONSE_BYTES = 4096

logger = structlog.get_logger(__name__)


class ProbeResponse(msgspec.Struct, frozen=True):
    """Response of an upstream to ``GET /load``.

    Attributes
    ----------
    incarnation : int or None
        None if the upstream does not report it; the lease is then not renewed.
    leaving : bool
        Whether the upstream accepts no new requests.
    running, queued, prefill_tokens : int
        Load; see `LoadReport`.
    """

    incarnation: int | None = None
    leaving: bool = False
    running: int = 0
    queued: int = 0
    prefill_tokens: int = 0


def is_probe_due(known: KnownUpstream, now: float) -> bool:
    """Return whether an upstream should be probed to renew its lease.

    Parameters
    ----------
    known : KnownUpstream
        The upstream.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True late in the lease and until one lease duration after its end, so
        that a lost response is retried but a dead upstream is not probed
        forever.
    """
    record = known.record
    if record.leaving or LOAD_CAPABILITY not in record.capabilities:
        return False
    lease_s = known.lease_ends_at() - known.heard_at
    age_s = now - known.heard_at
    return PROBE_DUE_RATIO * lease_s <= age_s < 2 * lease_s


def apply_probe_response(
    known: KnownUpstream, response: ProbeResponse, sent_at: float
) -> UpstreamRecord | None:
    """Renew a lease from a probe response.

    Parameters
    ----------
    known : KnownUpstream
        The upstream, modified in place.
    response : ProbeResponse
        The response.
    sent_at : float
        Monotonic time in seconds at which the probe was sent.

    Returns
    -------
    UpstreamRecord or None
        Record to merge and gossip if the upstream is leaving, otherwise None.
    """
    record = known.record
    if response.incarnation != record.incarnation or record.leaving:
        return None
    if response.leaving:
        return msgspec.structs.replace(
            record, sequence=record.sequence + 1, leaving=True
        )
    load = LoadReport(response.running, response.queued, response.prefill_tokens)
    known.record = msgspec.structs.replace(record, load=load)
    known.heard_at = max(known.heard_at, sent_at)
    return None


class UpstreamProber:
    """Probes followed upstreams whose renewals do not arrive.

    Parameters
    ----------
    upstreams : UpstreamsSection
        Table of upstreams.
    leases : LeaseManager
        Provides the upstreams that this node follows.
    client : httpx.AsyncClient
        HTTP client that opens a new connection for each probe.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        upstreams: UpstreamsSection,
        leases: LeaseManager,
        client: httpx.AsyncClient,
        clock: Clock,
    ):
        self._upstreams = upstreams
        self._leases = leases
        self._client = client
        self._clock = clock
        self._probing: set[UpstreamId] = set()

    @classmethod
    def from_clock(
        cls, upstreams: UpstreamsSection, leases: LeaseManager, clock: Clock
    ) -> "UpstreamProber":
        """Build a prober with its own HTTP client."""
        client = httpx.AsyncClient(
            timeout=PROBE_TIMEOUT_S,
            limits=httpx.Limits(max_keepalive_connections=0),
            trust_env=False,
        )
        return cls(upstreams, leases, client, clock)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with self._client, anyio.create_task_group() as tasks:
            while True:
                now = self._clock()
                for upstream in self._leases.followed - self._probing:
                    known = self._upstreams.upstreams.get(upstream)
                    if known is not None and is_probe_due(known, now):
                        self._probing.add(upstream)
                        tasks.start_soon(self._probe, known)
                await anyio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, known: KnownUpstream) -> None:
        sent_at = self._clock()
        record = known.record
        try:
            http_response = await self._client.get(f"http://{record.address}/load")
            body = http_response.content[:MAX_RESPONSE_BYTES]
            if http_response.status_code == STATUS_OK:
                response = msgspec.json.decode(body, type=ProbeResponse)
                departure = apply_probe_response(known, response, sent_at)
                if departure is not None:
                    self._leases.publish_departure(departure)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return
        except Exception:
            # What one upstream says of itself must not end the probes of others.
            logger.exception("probe failed", upstream=record.upstream)
        finally:
            self._probing.discard(record.upstream)
