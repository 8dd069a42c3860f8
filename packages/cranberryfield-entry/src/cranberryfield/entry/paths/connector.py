"""Opens connections to upstreams, directly or through other relays."""

from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.http1 import (
    ConnectionPool,
    NotSentError,
    UpstreamConnection,
    connect_directly,
)
from cranberryfield.core.ids import NodeId, UpstreamProcess
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.mesh.tunnels import TunnelError
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.tunnels import TunnelFailure, UpstreamPaused
from cranberryfield.entry.paths.relay_directory import (
    FAILED_RELAY_S,
    RelayDirectory,
    ordered_relays,
)
from cranberryfield.entry.paths.section import (
    UpstreamPaths,
    forget_dead_ends,
    is_dead_end,
    needs_tunnel,
    record_answer,
    record_dead_end,
    record_direct_path,
    record_tunnel_only,
    remove_address,
)

__all__ = ["PathConnector"]

DIRECT_TIMEOUT_S = 0.5
#: Time for a tunnel to open, over all relays that are asked, in seconds.
TUNNEL_TIMEOUT_S = 0.4
#: Relays that are asked for one connection. One that does not reach an upstream may be
#: cut off too.
MAX_RELAYS_ASKED = 3
#: Interval at which addresses without a direct path are tried again, in seconds, and
#: number of them that are tried at a time.
PROBE_INTERVAL_S = 0.5
MAX_PROBES = 4

logger = structlog.get_logger(__name__)


class PathConnector:
    """Opens connections to upstreams, directly or through other relays.

    Parameters
    ----------
    paths : UpstreamPaths
        Owned by this object.
    relays : RelayDirectory
        Other relays.
    mesh : Mesh
        Opens tunnels.
    pool : ConnectionPool
        Keeps direct connections.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Selects the relays to ask.
    """

    def __init__(
        self,
        paths: UpstreamPaths,
        relays: RelayDirectory,
        mesh: Mesh,
        pool: ConnectionPool,
        clock: Clock,
        rng: Random,
    ):
        self._paths = paths
        self._relays = relays
        self._mesh = mesh
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._suspects: set[str] = set()
        self._has_suspects = anyio.Event()

    async def dial(self, address: str) -> UpstreamConnection:
        """Open a connection to an upstream.

        Parameters
        ----------
        address : str
            ``IP:PORT``.

        Returns
        -------
        UpstreamConnection
            Ready for a request.

        Raises
        ------
        NotSentError
            If neither this host nor another relay can connect to the upstream.
        """
        if needs_tunnel(self._paths, address):
            if is_dead_end(self._paths, address, self._clock()):
                raise NotSentError(f"no relay can connect to {address}")
            connection = await self._dial_tunnel(address)
            # So that it is tried directly from time to time.
            self._paths.tunnel_only.setdefault(address, self._clock())
            return connection
        try:
            connection = await connect_directly(address, DIRECT_TIMEOUT_S)
        except NotSentError as error:
            if is_dead_end(self._paths, address, self._clock()):
                raise
            try:
                connection = await self._dial_tunnel(address)
            except NotSentError:
                raise error from None
            await self._record_tunnel_only(address, is_silent=not error.is_refused)
            return connection
        self._record_direct_path(address)
        return connection

    def _record_direct_path(self, address: str) -> None:
        if address in self._paths.tunnel_only:
            logger.info("direct path to an upstream again", address=address)
        if record_direct_path(self._paths, address, self._clock()):
            logger.info("no longer cut off from upstreams")

    def on_answer(
        self, process: UpstreamProcess, pause_s: float | None, via: NodeId | None
    ) -> None:
        """Record an answer, and pass a pause on to the relay that it came through.

        The upstream has asked that relay, of which it knows, for the pause.

        Parameters
        ----------
        process : tuple
            The upstream and its incarnation.
        pause_s : float or None
            Time for which it wants no requests, in seconds.
        via : NodeId or None
            Relay through which the answer came; None if it came directly.
        """
        if via is None:
            if record_answer(self._paths, self._clock()):
                logger.info("no longer cut off from upstreams")
        elif pause_s is not None:
            for relay in self._relays.relays:
                if relay.node == via:
                    self._mesh.learn_address(via, relay.mesh)
            self._mesh.send(via, UpstreamPaused(*process, pause_s))

    async def _dial_tunnel(self, address: str) -> UpstreamConnection:
        refusals = 0
        failures: list[TunnelFailure] = []
        with anyio.move_on_after(TUNNEL_TIMEOUT_S):
            relays = ordered_relays(self._relays, self._clock(), self._rng)
            for relay in relays[:MAX_RELAYS_ASKED]:
                try:
                    stream = await self._mesh.open_tunnel(relay.mesh, address)
                except TunnelError as error:
                    failures.append(error.failure)
                    refusals += error.failure is TunnelFailure.REFUSED
                    if error.failure is TunnelFailure.UNAVAILABLE:
                        until = self._clock() + FAILED_RELAY_S
                        self._relays.failed_until[relay.node] = until
                    continue
                return UpstreamConnection(stream, via=relay.node)
        record_dead_end(self._paths, address, self._clock())
        asked = ", ".join(failure.value for failure in failures) or "none in time"
        raise NotSentError(
            f"cannot connect to {address} through other relays: {asked}",
            is_refused=bool(refusals) and refusals == len(failures),
        )

    async def _record_tunnel_only(self, address: str, is_silent: bool) -> None:
        if address not in self._paths.tunnel_only:
            logger.info(
                "no direct path to an upstream", address=address, is_silent=is_silent
            )
        if record_tunnel_only(self._paths, address, self._clock()):
            logger.warning(
                "cut off from upstreams",
                addresses=sorted(self._paths.tunnel_only),
                is_silent=is_silent,
            )
            if is_silent:
                # Open connections are silent too.
                await self._pool.close_all()

    async def is_refused(self, address: str) -> bool:
        """Return whether no process listens at an address, as far as any relay knows.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        """
        if not needs_tunnel(self._paths, address):
            try:
                connection = await connect_directly(address, DIRECT_TIMEOUT_S)
            except NotSentError as error:
                if not (error.is_refused and self._relays.relays):
                    return error.is_refused
            else:
                await self._pool.keep(address, connection)
                return False
        try:
            connection = await self._dial_tunnel(address)
        except NotSentError as error:
            return error.is_refused
        await connection.close()
        await self._record_tunnel_only(address, is_silent=False)
        return False

    def on_announcement(self, record: UpstreamRecord) -> None:
        """Let an upstream be tried at once that announces itself after a start."""
        if not record.leaving:
            self._paths.dead_end_until.pop(record.address, None)

    def suspect(self, address: str) -> None:
        """Check soon whether an upstream that does not respond can be reached."""
        if not needs_tunnel(self._paths, address):
            self._suspects.add(address)
            self._has_suspects.set()

    async def run(self) -> None:
        """Try addresses without a direct path again, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._check_suspects)
            while True:
                await anyio.sleep(PROBE_INTERVAL_S)
                addresses = sorted(self._paths.tunnel_only)
                count = min(MAX_PROBES, len(addresses))
                async with anyio.create_task_group() as probes:
                    for address in self._rng.sample(addresses, count):
                        probes.start_soon(self._probe, address)
                forget_dead_ends(self._paths, self._clock())

    async def _probe(self, address: str) -> None:
        try:
            connection = await connect_directly(address, DIRECT_TIMEOUT_S)
        except NotSentError:
            # It may be gone; then it needs no path any more.
            if is_dead_end(self._paths, address, self._clock()):
                remove_address(self._paths, address)
            return
        await self._pool.keep(address, connection)
        self._record_direct_path(address)

    async def _check_suspects(self) -> None:
        while True:
            await self._has_suspects.wait()
            self._has_suspects = anyio.Event()
            suspects, self._suspects = self._suspects, set()
            async with anyio.create_task_group() as checks:
                for address in suspects:
                    checks.start_soon(self._check, address)

    async def _check(self, address: str) -> None:
        try:
            connection = await self.dial(address)
        except NotSentError as error:
            logger.debug("suspected upstream not reached", detail=str(error))
            return
        if connection.via is None:
            await self._pool.keep(address, connection)
        else:
            await connection.close()
