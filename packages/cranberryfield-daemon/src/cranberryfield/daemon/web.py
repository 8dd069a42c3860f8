"""The HTTP application of one process."""

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from cranberryfield.control.runtime import ControlRuntime
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
)
from cranberryfield.core.http import handle_error, problem_response
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.proposals import Proposer
from cranberryfield.daemon.operators import OperatorApi
from cranberryfield.entry.runtime import EntryRuntime

__all__ = ["build_web_app"]


def build_web_app(
    config: DaemonConfig,
    board: Blackboard,
    mesh: Mesh,
    metrics: Metrics,
    proposer: Proposer,
    entry: EntryRuntime | None,
    control: ControlRuntime | None,
) -> Starlette:
    """Build the application for the roles of the process.

    Parameters
    ----------
    config : DaemonConfig
        Configuration of the process.
    board : Blackboard
        All sections of this process.
    mesh : Mesh
        Links to other processes.
    metrics : Metrics
        Counters and histograms.
    proposer : Proposer
        Commits settings changes to the replicated log.
    entry : EntryRuntime or None
        The entry role; None if the process does not have it.
    control : ControlRuntime or None
        The control role; None if the process does not have it.

    Returns
    -------
    starlette.applications.Starlette
        The application.
    """

    async def live(http: HttpRequest) -> Response:
        return Response(status_code=200)

    async def ready(http: HttpRequest) -> Response:
        if entry is None or entry.is_ready():
            return Response(status_code=200)
        return problem_response(
            UnavailableError(
                ErrorKind.NOT_READY, "this host does not accept new requests"
            )
        )

    async def show_metrics(http: HttpRequest) -> Response:
        return Response(
            msgspec.json.encode(metrics.snapshot()), media_type="application/json"
        )

    operators = OperatorApi(
        config, board, mesh, proposer, entry_is_ready=entry and entry.is_ready
    )
    return Starlette(
        routes=[
            Route("/healthz/live", live),
            Route("/healthz/ready", ready),
            Route("/metrics.json", show_metrics),
            *operators.routes(),
            *(entry.api.routes() if entry is not None else []),
        ],
        exception_handlers={CranberryfieldError: handle_error},
    )
