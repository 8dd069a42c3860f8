"""Reads prefix cache events from engines at a bounded rate."""

import anyio
import httpx
import msgspec
import structlog

from cranberryfield.core.ids import UpstreamId
from cranberryfield.entry.membership import UpstreamsSection
from cranberryfield.entry.routing.prefix_cache import (
    CacheEvent,
    PrefixSection,
    apply_cache_event,
)

__all__ = ["CACHE_EVENTS_CAPABILITY", "CacheEventReader"]

#: Engines that serve ``GET /cache/events`` announce this capability.
CACHE_EVENTS_CAPABILITY = "cache_events"
#: Blocks per second that all engines together may send to this host, about 20
#: bytes each. Engines omit blocks above the rate, which leaves a gap in the
#: sequence.
MAX_TOTAL_BLOCKS_PER_S = 100
REFRESH_INTERVAL_S = 1.0
MAX_LINE_BYTES = 1 << 16
_TIMEOUT = httpx.Timeout(2.0, read=30.0)

logger = structlog.get_logger(__name__)


class CacheEventReader:
    """Reads the cache events of the upstreams that this host follows.

    Parameters
    ----------
    upstreams : UpstreamsSection
        The table of upstreams.
    prefixes : PrefixSection
        Estimated contents of the prefix caches; changed by this object and by
        the upstream selection.
    client : httpx.AsyncClient
        Connections that only this object uses.
    """

    def __init__(
        self,
        upstreams: UpstreamsSection,
        prefixes: PrefixSection,
        client: httpx.AsyncClient,
    ):
        self._upstreams = upstreams
        self._prefixes = prefixes
        self._client = client
        self._readers: dict[UpstreamId, anyio.CancelScope] = {}

    @classmethod
    def from_sections(
        cls, upstreams: UpstreamsSection, prefixes: PrefixSection
    ) -> "CacheEventReader":
        """Create a reader with its own connections."""
        client = httpx.AsyncClient(timeout=_TIMEOUT, trust_env=False)
        return cls(upstreams, prefixes, client)

    async def run(self) -> None:
        """Read until cancelled."""
        async with self._client, anyio.create_task_group() as tasks:
            while True:
                followed = self._engines_to_follow()
                for upstream in self._readers.keys() - followed:
                    self._readers.pop(upstream).cancel()
                for upstream in self._prefixes.caches.keys() - (
                    self._upstreams.upstreams.keys()
                ):
                    del self._prefixes.caches[upstream]
                for upstream in followed - self._readers.keys():
                    scope = self._readers[upstream] = anyio.CancelScope()
                    rate = max(1, MAX_TOTAL_BLOCKS_PER_S // len(followed))
                    tasks.start_soon(self._read_events, upstream, rate, scope)
                await anyio.sleep(REFRESH_INTERVAL_S)

    def _engines_to_follow(self) -> set[UpstreamId]:
        followed = set()
        for upstreams in self._upstreams.followed.values():
            for upstream in upstreams:
                known = self._upstreams.upstreams.get(upstream)
                if known and CACHE_EVENTS_CAPABILITY in known.record.capabilities:
                    followed.add(upstream)
        return followed

    async def _read_events(
        self, upstream: UpstreamId, rate: int, scope: anyio.CancelScope
    ) -> None:
        address = self._upstreams.upstreams[upstream].record.address
        url = f"http://{address}/cache/events?blocks_per_s={rate}"
        with scope:
            try:
                async with self._client.stream("GET", url) as response:
                    if response.is_success:
                        await self._apply_lines(upstream, response)
            except (httpx.HTTPError, msgspec.MsgspecError):
                pass
            except Exception:
                # What one upstream sends must not end the reading from others.
                logger.exception("cache events failed", upstream=upstream)
        if self._readers.get(upstream) is scope:
            del self._readers[upstream]

    async def _apply_lines(
        self, upstream: UpstreamId, response: httpx.Response
    ) -> None:
        async for line in response.aiter_lines():
            if line and len(line) <= MAX_LINE_BYTES:
                event = msgspec.json.decode(line, type=CacheEvent)
                apply_cache_event(self._prefixes, upstream, event)
