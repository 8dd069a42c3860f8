"""Reads a caller's HTTP request into a `Request`."""

import re
from dataclasses import dataclass
from typing import Annotated
from uuid import uuid4

import msgspec
from starlette.requests import Request as HttpRequest

from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.ids import RequestKey, RunId, ServiceName, WorkspaceId
from cranberryfield.core.settings import (
    EffectiveSettings,
    ServiceKind,
    SettingsTree,
    effective_settings,
)
from cranberryfield.entry.requests.records import RequestRecord
from cranberryfield.entry.requests.request import Request, body_digest

__all__ = [
    "KEY_HEADER",
    "CompletionBody",
    "LastEvent",
    "last_event",
    "parse_completion",
    "parse_service_call",
    "service_settings",
]

KEY_HEADER = "Idempotency-Key"
IDEMPOTENT_HEADER = "Cranberryfield-Idempotent"
DEADLINE_HEADER = "Cranberryfield-Deadline-Ms"
PRIORITY_HEADER = "Cranberryfield-Priority"
LAST_EVENT_HEADER = "Last-Event-ID"
MAX_DEADLINE_MS = 86_400_000
MS_PER_S = 1000

_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_EVENT_ID = re.compile(r"([0-9]{1,9})(?:-([0-9a-f]{8})\.([0-9]{1,9}))?")
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class CompletionBody(msgspec.Struct):
    """The part of a completion's body that routing needs."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
    stream: bool = False


def service_settings(
    tree: SettingsTree, workspace: WorkspaceId, service: str, kind: ServiceKind
) -> EffectiveSettings:
    """Return the settings of a service that must exist and be of a kind.

    Parameters
    ----------
    tree : SettingsTree
        The settings in force.
    workspace : WorkspaceId
        The caller's workspace.
    service : str
        The service's name.
    kind : ServiceKind
        What the path calls for.

    Returns
    -------
    EffectiveSettings
        Those in force for the workspace at the service.

    Raises
    ------
    CallerError
        Of kind ``unknown_service``.
    """
    if f"service/{service}" in tree.levels:
        settings = effective_settings(tree, workspace, ServiceName(service))
        if settings.kind is kind:
            return settings
    raise CallerError(
        ErrorKind.UNKNOWN_SERVICE, f"there is no {kind.value} service {service!r}"
    )


def parse_completion(
    http: HttpRequest,
    body: bytes,
    tree: SettingsTree,
    workspace: WorkspaceId,
    now: float,
) -> tuple[Request, bool]:
    """Read a completion request.

    Parameters
    ----------
    http : starlette.requests.Request
        Headers and path.
    body : bytes
        The body.
    tree : SettingsTree
        The settings in force.
    workspace : WorkspaceId
        The caller's workspace.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    request : Request
        The request.
    stream : bool
        Whether the caller wants events.

    Raises
    ------
    CallerError
        If anything about it is malformed.
    """
    try:
        fields = msgspec.json.decode(body, type=CompletionBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"the body cannot be read: {error}"
        ) from error
    settings = service_settings(tree, workspace, fields.model, ServiceKind.MODEL)
    _check_size(body, settings)
    request = _build(
        http, body, settings, workspace, fields.model, http.url.path, now, safe=False
    )
    return request, fields.stream


def parse_service_call(
    http: HttpRequest,
    body: bytes,
    tree: SettingsTree,
    workspace: WorkspaceId,
    now: float,
) -> Request:
    """Read a call of a plain service; see `parse_completion`."""
    service = http.path_params["service"]
    settings = service_settings(tree, workspace, service, ServiceKind.PLAIN)
    _check_size(body, settings)
    path = "/" + http.path_params["path"]
    if http.url.query:
        path += f"?{http.url.query}"
    safe = http.method in _SAFE_METHODS
    return _build(http, body, settings, workspace, service, path, now, safe=safe)


def _check_size(body: bytes, settings: EffectiveSettings) -> None:
    if len(body) > settings.max_body_bytes:
        raise CallerError(
            ErrorKind.BODY_TOO_LARGE,
            f"the body is larger than {settings.max_body_bytes} bytes",
        )


def _build(
    http: HttpRequest,
    body: bytes,
    settings: EffectiveSettings,
    workspace: WorkspaceId,
    service: str,
    path: str,
    now: float,
    *,
    safe: bool,
) -> Request:
    key = _key(http)
    idempotent = _idempotent(http, settings, safe)
    if not idempotent and key is None:
        raise CallerError(
            ErrorKind.KEY_REQUIRED,
            f"a non-idempotent request needs the header {KEY_HEADER}",
        )
    run = RunId(uuid4().hex)
    return Request(
        workspace=workspace,
        service=ServiceName(service),
        key=key or RequestKey(f"run:{run}"),
        has_caller_key=key is not None,
        run=run,
        idempotent=idempotent,
        method=http.method,
        path=path,
        content_type=http.headers.get("Content-Type", "application/octet-stream"),
        body=body,
        digest=body_digest(http.method, path, body),
        priority=_priority(http, settings),
        deadline=now + _budget_s(http, settings),
        settings=settings,
    )


def _key(http: HttpRequest) -> RequestKey | None:
    text = http.headers.get(KEY_HEADER)
    if text is None:
        return None
    if not _KEY.fullmatch(text) or text.startswith("run:"):
        raise CallerError(
            ErrorKind.BAD_REQUEST,
            f"{KEY_HEADER} must be 1 to 255 visible ASCII characters "
            "and not begin with 'run:'",
        )
    return RequestKey(text)


def _idempotent(http: HttpRequest, settings: EffectiveSettings, safe: bool) -> bool:
    text = http.headers.get(IDEMPOTENT_HEADER)
    if text is None:
        return safe or settings.idempotent
    if text not in ("true", "false"):
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"{IDEMPOTENT_HEADER} must be true or false"
        )
    return text == "true"


def _priority(http: HttpRequest, settings: EffectiveSettings) -> str:
    text = http.headers.get(PRIORITY_HEADER, settings.default_priority)
    if text not in settings.priority_classes:
        known = ", ".join(settings.priority_classes)
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"{PRIORITY_HEADER} must be one of {known}"
        )
    return text


def _budget_s(http: HttpRequest, settings: EffectiveSettings) -> float:
    text = http.headers.get(DEADLINE_HEADER)
    if text is None:
        return settings.request_timeout_ms / MS_PER_S
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise CallerError(
            ErrorKind.BAD_REQUEST,
            f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds",
        )
    return min(int(text), settings.request_timeout_ms) / MS_PER_S


@dataclass(frozen=True, slots=True)
class LastEvent:
    """The last event that a caller has.

    Attributes
    ----------
    number : int
        Its number; 0 for none.
    run_tag : str or None
        First letters of the run's name; None if the caller does not say.
    epoch : int
        Epoch in which it was given out.
    """

    number: int = 0
    run_tag: str | None = None
    epoch: int = 0

    def is_part_of(self, record: RequestRecord) -> bool:
        """Say whether the event is part of a record's answer."""
        if self.run_tag is None or self.number == 0 or not record.request.idempotent:
            return True
        same_run = record.run.startswith(self.run_tag)
        return same_run and record.contains_event(self.number, self.epoch)


def last_event(http: HttpRequest) -> LastEvent:
    """Return the last event that the caller has.

    Parameters
    ----------
    http : starlette.requests.Request
        The request.

    Returns
    -------
    LastEvent
        What ``Last-Event-ID`` says: an id as it was given out, or only the
        event's number.

    Raises
    ------
    CallerError
        Of kind ``bad_request`` if it is neither.
    """
    text = http.headers.get(LAST_EVENT_HEADER, "0")
    match = _EVENT_ID.fullmatch(text)
    if match is None:
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"{LAST_EVENT_HEADER} is no id of an event"
        )
    number, run_tag, epoch = match.groups()
    return LastEvent(int(number), run_tag, int(epoch or 0))
