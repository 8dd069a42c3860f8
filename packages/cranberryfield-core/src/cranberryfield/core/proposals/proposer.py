"""Client of the control group's leader, for commands and requests."""

from collections.abc import Callable

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    ControlError,
    ErrorKind,
    UnavailableError,
    error_of_kind,
)
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.commands import (
    ProposalRedirected,
    Propose,
    Refused,
)

__all__ = ["Proposer"]

ATTEMPT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
#: Retry delay reported when there is no leader, in seconds; longer than an
#: election takes.
RETRY_AFTER_S = 2.0


class Proposer:
    """Sends commands and requests to the leader of the control group.

    The leader is cached and searched for again when it stops answering.

    Parameters
    ----------
    mesh : Mesh
        Links to the control hosts.
    control_hosts : callable
        Returns the ids of the control hosts.
    clock : Clock
        Monotonic clock.
    """

    def __init__(
        self, mesh: Mesh, control_hosts: Callable[[], tuple[NodeId, ...]], clock: Clock
    ):
        self._mesh = mesh
        self._control_hosts = control_hosts
        self._clock = clock
        self._leader: NodeId | None = None

    async def propose(self, command: Message, timeout_s: float) -> Message:
        """Append a command to the replicated log and return its result.

        The command is resent until a result arrives, so it must be idempotent.

        Parameters
        ----------
        command : Message
            A command of the replicated log.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Message
            The result.

        Raises
        ------
        UnavailableError
            Of kind ``no_quorum`` if no leader answered in time; the command
            may still take effect.
        CranberryfieldError
            Of the kind with which the command was refused.
        """
        return await self.ask(Propose(encode_message(command)), timeout_s)

    async def ask(self, request: Message, timeout_s: float) -> Message:
        """Send a request to the leader and return its answer.

        The request is resent until an answer arrives, so it must be idempotent.

        Parameters
        ----------
        request : Message
            A request that the leader of the control group answers.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Message
            The answer.

        Raises
        ------
        UnavailableError
            Of kind ``no_quorum`` if no leader answered in time.
        CranberryfieldError
            Of the kind with which the request was refused.
        """
        deadline = self._clock() + timeout_s
        problem = "no leader of the control group answered in time"
        while (remaining_s := deadline - self._clock()) > 0:
            attempt_s = min(ATTEMPT_TIMEOUT_S, remaining_s)
            try:
                reply = await self._ask_leader(request, attempt_s)
            except ControlError as error:
                if error.kind is not ErrorKind.NO_QUORUM:
                    raise
                problem = error.detail
                reply = None
            if isinstance(reply, Refused):
                raise error_of_kind(ErrorKind(reply.kind), reply.detail)
            if reply is not None:
                return reply
            await anyio.sleep(RETRY_DELAY_S)
        raise UnavailableError(
            ErrorKind.NO_QUORUM, problem, retry_after_s=RETRY_AFTER_S
        )

    async def _ask_leader(self, request: Message, timeout_s: float) -> Message | None:
        if self._leader is None:
            self._leader = self._next_control_host(None)
        if self._leader is None:
            return None
        try:
            reply = await self._mesh.request(self._leader, request, timeout_s)
        except UnavailableError as error:
            if error.kind is not ErrorKind.NOT_READY:
                raise
            self._leader = self._next_control_host(self._leader)
            return None
        if isinstance(reply, ProposalRedirected):
            self._leader = reply.leader or self._next_control_host(self._leader)
            return None
        return reply

    def _next_control_host(self, node: NodeId | None) -> NodeId | None:
        """Return the control host to try after `node`; None if no host is known."""
        hosts = self._control_hosts()
        if not hosts:
            return None
        position = hosts.index(node) if node in hosts else -1
        return hosts[(position + 1) % len(hosts)]
