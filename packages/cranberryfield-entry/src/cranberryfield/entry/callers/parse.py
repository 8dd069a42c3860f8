"""Parsing of HTTP requests of callers into `Request` objects."""

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
from cranberryfield.entry.quarantine import body_digest
from cranberryfield.entry.requests.records import RequestRecord
from cranberryfield.entry.requests.request import Request

__all__ = [
    "KEY_HEADER",
    "CompletionBody",
    "LastEvent",
    "parse_completion",
    "parse_last_event",
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

_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
_EVENT_ID_PATTERN = re.compile(r"([0-9]{1,9})(?:-([0-9a-f]{8})\.([0-9]{1,9}))?")
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class CompletionBody(msgspec.Struct):
    """Fields of the body of a completion request that routing needs."""

    model: Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
    stream: bool = False


def service_settings(
    tree: SettingsTree, workspace: WorkspaceId, service: str, kind: ServiceKind
) -> EffectiveSettings:
    """Return the settings of a service and check its existence and kind.

    Parameters
    ----------
    tree : SettingsTree
        The settings in force.
    workspace : WorkspaceId
        The caller's workspace.
    service : str
        Name of the service.
    kind : ServiceKind
        Kind that the path requires.

    Returns
    -------
    EffectiveSettings
        Settings in force for the workspace at the service.

    Raises
    ------
    CallerError
        Of kind ``unknown_service`` if there is no such service of this kind.
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
    """Parse a completion request.

    Parameters
    ----------
    http : starlette.requests.Request
        HTTP request; its headers and path are used.
    body : bytes
        Body of the request.
    tree : SettingsTree
        The settings in force.
    workspace : WorkspaceId
        The caller's workspace.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    request : Request
        Parsed request.
    stream : bool
        Whether the caller requests an event stream.

    Raises
    ------
    CallerError
        If a header or the body is malformed.
    """
    try:
        fields = msgspec.json.decode(body, type=CompletionBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CallerError(
            ErrorKind.BAD_REQUEST,
            f"the body is not a valid completion request: {error}",
        ) from error
    settings = service_settings(tree, workspace, fields.model, ServiceKind.MODEL)
    _check_size(body, settings)
    request = _build_request(
        http, body, settings, workspace, fields.model, http.url.path, now, is_safe=False
    )
    return request, fields.stream


def parse_service_call(
    http: HttpRequest,
    body: bytes,
    tree: SettingsTree,
    workspace: WorkspaceId,
    now: float,
) -> Request:
    """Parse a call of a plain service; see `parse_completion`."""
    service = http.path_params["service"]
    settings = service_settings(tree, workspace, service, ServiceKind.PLAIN)
    _check_size(body, settings)
    path = "/" + http.path_params["path"]
    if http.url.query:
        path += f"?{http.url.query}"
    is_safe = http.method in _SAFE_METHODS
    return _build_request(
        http, body, settings, workspace, service, path, now, is_safe=is_safe
    )


def _check_size(body: bytes, settings: EffectiveSettings) -> None:
    if len(body) > settings.max_body_bytes:
        raise CallerError(
            ErrorKind.BODY_TOO_LARGE,
            f"the body exceeds the limit of {settings.max_body_bytes} bytes",
        )


def _build_request(
    http: HttpRequest,
    body: bytes,
    settings: EffectiveSettings,
    workspace: WorkspaceId,
    service: str,
    path: str,
    now: float,
    *,
    is_safe: bool,
) -> Request:
    key = _parse_key(http)
    idempotent = _parse_idempotent(http, settings, is_safe)
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
        priority=_parse_priority(http, settings),
        deadline=now + _parse_timeout_s(http, settings),
        settings=settings,
    )


def _parse_key(http: HttpRequest) -> RequestKey | None:
    value = http.headers.get(KEY_HEADER)
    if value is None:
        return None
    if not _KEY_PATTERN.fullmatch(value) or value.startswith("run:"):
        raise CallerError(
            ErrorKind.BAD_REQUEST,
            f"{KEY_HEADER} must be 1 to 255 visible ASCII characters "
            "and not begin with 'run:'",
        )
    return RequestKey(value)


def _parse_idempotent(
    http: HttpRequest, settings: EffectiveSettings, is_safe: bool
) -> bool:
    value = http.headers.get(IDEMPOTENT_HEADER)
    if value is None:
        return is_safe or settings.idempotent
    if value not in ("true", "false"):
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"{IDEMPOTENT_HEADER} must be true or false"
        )
    return value == "true"


def _parse_priority(http: HttpRequest, settings: EffectiveSettings) -> str:
    value = http.headers.get(PRIORITY_HEADER, settings.default_priority)
    if value not in settings.priority_classes:
        known = ", ".join(settings.priority_classes)
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"{PRIORITY_HEADER} must be one of {known}"
        )
    return value


def _parse_timeout_s(http: HttpRequest, settings: EffectiveSettings) -> float:
    value = http.headers.get(DEADLINE_HEADER)
    if value is None:
        return settings.request_timeout_ms / MS_PER_S
    if (
        not value.isascii()
        or not value.isdigit()
        or not 0 < int(value) <= MAX_DEADLINE_MS
    ):
        raise CallerError(
            ErrorKind.BAD_REQUEST,
            f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds",
        )
    return min(int(value), settings.request_timeout_ms) / MS_PER_S


@dataclass(frozen=True, slots=True)
class LastEvent:
    """Position in an event stream up to which the caller has received it.

    Attributes
    ----------
    number : int
        Number of the last received event; 0 for none.
    run_tag : str or None
        Prefix of the run id; None if the caller did not send it.
    epoch : int
        Epoch of the runner that sent the event.
    """

    number: int = 0
    run_tag: str | None = None
    epoch: int = 0

    def is_part_of(self, record: RequestRecord) -> bool:
        """Return whether the event is part of the answer of a record."""
        if self.run_tag is None or self.number == 0 or not record.request.idempotent:
            return True
        same_run = record.run.startswith(self.run_tag)
        return same_run and record.contains_event(self.number, self.epoch)


def parse_last_event(http: HttpRequest) -> LastEvent:
    """Parse the header ``Last-Event-ID``.

    Parameters
    ----------
    http : starlette.requests.Request
        HTTP request.

    Returns
    -------
    LastEvent
        Last event that the caller has received. The header contains the full id of
        the event or only its number.

    Raises
    ------
    CallerError
        Of kind ``bad_request`` if it is neither.
    """
    value = http.headers.get(LAST_EVENT_HEADER, "0")
    match = _EVENT_ID_PATTERN.fullmatch(value)
    if match is None:
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"{LAST_EVENT_HEADER} is not a valid event id"
        )
    number, run_tag, epoch = match.groups()
    return LastEvent(int(number), run_tag, int(epoch or 0))
