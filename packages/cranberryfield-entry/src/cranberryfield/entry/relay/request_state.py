"""State of a relayed request, and its log line and metrics at the end."""

from dataclasses import dataclass, field

import structlog

from cranberryfield.core.deployment import WorkspaceSpec
from cranberryfield.core.http1 import Response
from cranberryfield.core.ids import UpstreamProcess
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.relay.request import RelayRequest
from cranberryfield.entry.streams import StreamOrigin

__all__ = [
    "RelayRequestState",
    "log_outcome",
    "metric_labels",
    "record_outcome_metrics",
]

MS_PER_S = 1000

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class RelayRequestState:
    """State of a request over all its attempts.

    Attributes
    ----------
    fingerprint : bytes
        Fingerprint of the request.
    prompt_parts : tuple of bytes
        Digests of the parts of its prompt that others may share.
    tried_processes : set of UpstreamProcess
        Upstreams that were attempted, whether or not they could be reached.
    sent_attempts, refusals, possible_runs, lost_runs : int
        Number of attempts that reached any process, of those that the upstream
        refused, of those that may have run the request, and of those whose upstream
        has crashed, which are counted apart.
    may_have_run, has_pending_attempt : bool
        Whether a finished attempt may have run the request, and whether an
        attempt is in progress.
    charged_workspace : WorkspaceSpec or None
        Workspace whose quota was charged.
    origin : StreamOrigin or None
        What began the stream, once it has begun.
    admitted_at, first_event_at : float or None
        Monotonic time in seconds at which the quota was granted and at which
        the first event arrived.
    waited_s : float
        Time spent waiting for an upstream that it may run on, in seconds.
    fallback_response : Response or None
        Error response to return if no further attempt succeeds.
    attempt_log : list of str
        One entry per attempt, for the log.
    """

    fingerprint: bytes
    prompt_parts: tuple[bytes, ...] = ()
    tried_processes: set[UpstreamProcess] = field(default_factory=set)
    sent_attempts: int = 0
    refusals: int = 0
    possible_runs: int = 0
    lost_runs: int = 0
    may_have_run: bool = False
    has_pending_attempt: bool = False
    charged_workspace: WorkspaceSpec | None = None
    origin: StreamOrigin | None = None
    admitted_at: float | None = None
    first_event_at: float | None = None
    waited_s: float = 0.0
    fallback_response: Response | None = None
    attempt_log: list[str] = field(default_factory=list)


def metric_labels(request: RelayRequest) -> dict[str, str]:
    """Return the metric labels of a request."""
    workspace = request.workspace.name if request.workspace is not None else "-"
    return {"workspace": workspace, "priority": str(request.rank)}


def record_outcome_metrics(
    metrics: Metrics, request: RelayRequest, outcome: str, now: float
) -> None:
    """Record the duration and the outcome of a finished request as metrics."""
    labels = metric_labels(request)
    metrics.observe("request", now - request.arrived_at, **labels)
    name = outcome.partition(":")[0].replace(" ", "_")
    metrics.count(f"requests_{name}", **labels)


def log_outcome(
    request: RelayRequest, state: RelayRequestState, outcome: str, now: float
) -> None:
    """Log a finished request."""

    def elapsed_ms(moment: float | None) -> float | None:
        if moment is None:
            return None
        return round((moment - request.arrived_at) * MS_PER_S, 1)

    # Fields that most lines do not need.
    further = {}
    if state.lost_runs:
        further["prompt_parts"] = [part.id for part in request.prompt_parts]
    if request.last_event_id is not None:
        further["first_request"] = request.first_request
        further["last_event_id"] = request.last_event_id
    logger.info(
        "request ended",
        request=request.id,
        fingerprint=state.fingerprint.hex(),
        route=request.route.name,
        workspace=request.workspace.name if request.workspace else None,
        service=request.service,
        outcome=outcome,
        attempts=state.attempt_log,
        quota_cost=request.quota_cost,
        admitted_ms=elapsed_ms(state.admitted_at),
        first_event_ms=elapsed_ms(state.first_event_at),
        waited_ms=round(state.waited_s * MS_PER_S),
        took_ms=elapsed_ms(now),
        left_ms=round((request.deadline - now) * MS_PER_S),
        **further,
    )
