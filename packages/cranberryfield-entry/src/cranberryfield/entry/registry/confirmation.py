"""Confirms that other control hosts know of upstreams that leave."""

from collections.abc import Callable

import anyio
import structlog

from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
)
from cranberryfield.core.ids import NodeId, UpstreamId, UpstreamProcess
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.membership import (
    AskUpstreams,
    UpstreamRecord,
    UpstreamUpdate,
)
from cranberryfield.entry.registry.table import RegistryTable

__all__ = ["LeavingConfirmer"]

#: Time for other control hosts to reply, in seconds. Upstreams call another control
#: host after a second without an answer.
REPLY_TIMEOUT_S = 0.6

logger = structlog.get_logger(__name__)


class LeavingConfirmer:
    """Asks other control hosts what they know of upstreams that leave.

    An upstream says once that it leaves. The host that acknowledges it may be lost
    at once with all that it alone knows, so most control hosts have to know first.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        Names of the control hosts.
    """

    def __init__(self, table: RegistryTable, mesh: Mesh, names: ControlHostNames):
        self._table = table
        self._mesh = mesh
        self._names = names
        self._confirmed: set[UpstreamProcess] = set()

    async def confirm(self, record: UpstreamRecord) -> None:
        """Wait until most control hosts know that an upstream leaves.

        Call it after the record has been sent to them.

        Parameters
        ----------
        record : UpstreamRecord
            Record of the upstream, which is leaving.

        Raises
        ------
        UnavailableError
            Of kind ``not_ready`` if too few of them reply in time.
        """
        if record.process in self._confirmed:
            return

        def is_known(reply: UpstreamUpdate) -> bool:
            # Without records the other table has the same digest.
            return not reply.records or any(
                (one.process == record.process and one.leaving)
                or one.incarnation > record.incarnation
                for one in reply.records
                if one.upstream == record.upstream
            )

        await self._ask(record.upstream, is_known)
        self._confirmed.add(record.process)

    async def find(self, upstream: UpstreamId) -> list[tuple[NodeId, UpstreamUpdate]]:
        """Return what most control hosts know of an upstream that is unknown here.

        Returns
        -------
        list of (NodeId, UpstreamUpdate)
            Their replies.

        Raises
        ------
        UnavailableError
            Of kind ``not_ready`` if too few of them reply in time.
        """
        return await self._ask(upstream, lambda reply: True)

    def forget_unknown(self) -> None:
        """Forget the confirmations of upstreams that are not in the table."""
        self._confirmed = {one for one in self._confirmed if self._table.is_known(one)}

    async def _ask(
        self, upstream: UpstreamId, counts: Callable[[UpstreamUpdate], bool]
    ) -> list[tuple[NodeId, UpstreamUpdate]]:
        """Return replies that count, from as many hosts as make most with this one."""
        needed = len(self._names.known()) // 2
        replies: list[tuple[NodeId, UpstreamUpdate]] = []
        request = AskUpstreams(self._table.digest, (upstream,))
        async with anyio.create_task_group() as tasks:

            async def ask(node: NodeId) -> None:
                try:
                    reply = await self._mesh.request(node, request, REPLY_TIMEOUT_S)
                except CranberryfieldError as error:
                    logger.info(
                        "control host did not say what it knows of an upstream",
                        host=node,
                        upstream=upstream,
                        detail=error.detail,
                    )
                    return
                if counts(reply):
                    replies.append((node, reply))
                if len(replies) >= needed:
                    tasks.cancel_scope.cancel()

            for node in self._names.known():
                if needed and node != self._mesh.hello.node:
                    tasks.start_soon(ask, node)
        if len(replies) < needed:
            raise UnavailableError(
                ErrorKind.NOT_READY,
                f"{len(replies)} other control hosts, not {needed}, are known to have "
                f"heard of {upstream}",
            )
        return replies
