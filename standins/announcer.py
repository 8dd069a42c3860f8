"""Announcement of a stand-in upstream to entry hosts."""

from collections.abc import Callable
from itertools import count, cycle

import anyio
import httpx

__all__ = ["Announcer"]

RENEWALS_PER_LEASE = 3
TIMEOUT_S = 0.5
MS_PER_S = 1000


class Announcer:
    """Renews an upstream's lease at one entry host, at the next one on failure.

    Parameters
    ----------
    hosts : list of str
        ``IP:PORT`` of entry hosts.
    key : str
        Key of the upstreams.
    description : dict
        Body of the announcement without sequence and load.
    load : callable
        Returns the load to report.
    """

    def __init__(
        self,
        hosts: list[str],
        key: str,
        description: dict,
        load: Callable[[], dict],
    ):
        self._hosts = hosts
        self._description = description
        self._load = load
        self._sequence = count(1)
        self._client = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )

    async def run(self) -> None:
        """Announce until cancelled."""
        pause_s = self._description["lease_ms"] / MS_PER_S / RENEWALS_PER_LEASE
        hosts = cycle(self._hosts)
        host = next(hosts)
        while True:
            body = {
                **self._description,
                "sequence": next(self._sequence),
                "load": self._load(),
            }
            if not await self._post(host, "announce", body):
                host = next(hosts)
                await anyio.sleep(0.05)
                continue
            await anyio.sleep(pause_s)

    async def leave(self, deadline_ms: int) -> bool:
        """Announce the departure to the first entry host that accepts it.

        Returns whether one accepted it.
        """
        body = {
            "id": self._description["id"],
            "incarnation": self._description["incarnation"],
            "deadline_ms": deadline_ms,
        }
        for host in self._hosts:
            if await self._post(host, "leave", body):
                return True
        return False

    async def _post(self, host: str, verb: str, body: dict) -> bool:
        try:
            response = await self._client.post(
                f"http://{host}/upstreams/{verb}", json=body
            )
        except httpx.HTTPError:
            return False
        return response.is_success
