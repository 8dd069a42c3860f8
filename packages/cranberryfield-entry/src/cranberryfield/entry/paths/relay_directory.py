"""Other relays, which a relay learns from the control hosts."""

from dataclasses import dataclass, field
from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.tunnels import AskRelays, RelayAddress, Relays

__all__ = ["RelayDirectory", "RelayFinder", "answer_relay_queries", "ordered_relays"]

RELAY_ROLE = "relay"
#: Maximum number of relays in an answer.
MAX_RELAYS = 8
#: Intervals at which a relay asks for others, later and while it knows none, in s.
REFRESH_INTERVAL_S = 5.0
FIRST_INTERVAL_S = 0.5
QUERY_TIMEOUT_S = 0.5
#: Time for which a relay that could not help comes after the others, in seconds.
FAILED_RELAY_S = 2.0

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class RelayDirectory:
    """Section of the blackboard: some other relays.

    Attributes
    ----------
    relays : tuple of RelayAddress
        The relays, without this host.
    failed_until : dict
        By relay that could not help, the monotonic time in seconds until which it comes
        after the others.
    """

    relays: tuple[RelayAddress, ...] = ()
    failed_until: dict[NodeId, float] = field(default_factory=dict)


def ordered_relays(
    directory: RelayDirectory, now: float, rng: Random
) -> list[RelayAddress]:
    """Return the relays in the order in which to ask them, those that failed last.

    The order is random, so that hosts that are cut off do not all load the same one.
    """
    relays = rng.sample(directory.relays, len(directory.relays))
    return sorted(
        relays, key=lambda relay: directory.failed_until.get(relay.node, now) > now
    )


def answer_relay_queries(mesh: Mesh, rng: Random) -> None:
    """Answer the queries of relays on a control host.

    Parameters
    ----------
    mesh : Mesh
        Links to other processes.
    rng : random.Random
        Selects the relays of an answer.
    """

    def answer(sender: NodeId, message: AskRelays) -> Relays:
        relays = [
            RelayAddress(peer.node, peer.data_centre, peer.mesh)
            for peer in mesh.peers
            if RELAY_ROLE in peer.roles and peer.node != sender
        ]
        return Relays(tuple(rng.sample(relays, min(MAX_RELAYS, len(relays)))))

    mesh.handle(AskRelays, answer)


class RelayFinder:
    """Keeps the directory of other relays up to date.

    Parameters
    ----------
    directory : RelayDirectory
        Owned by this object.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        The control hosts.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Selects the control host to ask.
    """

    def __init__(
        self,
        directory: RelayDirectory,
        mesh: Mesh,
        names: ControlHostNames,
        clock: Clock,
        rng: Random,
    ):
        self._directory = directory
        self._mesh = mesh
        self._names = names
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Ask a control host for other relays from time to time, until cancelled."""
        while True:
            await self._refresh()
            is_empty = not self._directory.relays
            await anyio.sleep(FIRST_INTERVAL_S if is_empty else REFRESH_INTERVAL_S)

    async def _refresh(self) -> None:
        linked = [one for one in self._names.known() if self._mesh.is_linked(one)]
        if not linked:
            return
        host = self._rng.choice(linked)
        try:
            found = await self._mesh.request(host, AskRelays(), QUERY_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug("relay query failed", host=host, detail=error.detail)
            return
        if found.relays:
            self._directory.relays = found.relays
        now = self._clock()
        failed_until = self._directory.failed_until
        for node in [one for one, until in failed_until.items() if until <= now]:
            del failed_until[node]
