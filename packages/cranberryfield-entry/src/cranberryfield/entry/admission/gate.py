"""Bounds the requests that run at once from this entry host."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cranberryfield.core.errors import ErrorKind, UnavailableError
from cranberryfield.core.ids import ServiceName, WorkspaceId
from cranberryfield.entry.requests.request import Request

__all__ = ["AdmissionGate"]

RETRY_AFTER_S = 1.0
DRAINED_RETRY_AFTER_S = 30.0


class AdmissionGate:
    """Counts running requests per workspace and service."""

    def __init__(self):
        self._running: dict[tuple[WorkspaceId, ServiceName], int] = {}

    @asynccontextmanager
    async def enter(self, request: Request) -> AsyncIterator[None]:
        """Hold a place while a request runs.

        Parameters
        ----------
        request : Request
            The request; its settings give the limit.

        Yields
        ------
        None
            While the place is held.

        Raises
        ------
        UnavailableError
            Of kind ``queue_full`` if there is no place; ``drained`` if operators
            have taken the workspace or the service out of use.
        """
        workspace, service = request.workspace, request.service
        if request.settings.drained:
            raise UnavailableError(
                ErrorKind.DRAINED,
                f"{workspace} at {service} takes no new requests",
                retry_after_s=DRAINED_RETRY_AFTER_S,
            )
        name = (workspace, service)
        running = self._running.get(name, 0)
        if running >= request.settings.concurrency_limit:
            raise UnavailableError(
                ErrorKind.QUEUE_FULL,
                f"{running} requests of {workspace} at {service} are running",
                retry_after_s=RETRY_AFTER_S,
            )
        self._running[name] = running + 1
        try:
            yield
        finally:
            self._running[name] -= 1
            if not self._running[name]:
                del self._running[name]
