"""Schema of the settings: types, bounds, defaults and allowed levels."""

from enum import Enum
from typing import Annotated

import msgspec

from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.settings.levels import LevelKind

__all__ = [
    "ALLOWED_LEVELS",
    "EffectiveSettings",
    "ServiceKind",
    "SettingValue",
    "check_value",
]

#: A setting's value as stored in the tree, before conversion to its type.
SettingValue = bool | int | float | str | list[str] | None

Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Bytes = Annotated[int, msgspec.Meta(ge=1, le=1 << 32)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class ServiceKind(Enum):
    """Type of the upstreams of a service."""

    MODEL = "model"
    PLAIN = "plain"


class EffectiveSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings in force for one workspace at one service.

    Attributes
    ----------
    kind : ServiceKind
        Whether upstreams are model engines or plain services.
    idempotent : bool
        Whether a request may be run again when its outcome is unknown.
    request_timeout_ms : int
        Maximum duration of one request, in milliseconds.
    max_body_bytes, max_answer_bytes : int
        Maximum size of a request body and of a stored answer, in bytes.
    queue_limit : int
        Maximum number of requests that wait at one entry host.
    concurrency_limit : int
        Maximum number of requests that run at once from one entry host.
    share : float
        Weight of the workspace among the workspaces with waiting requests.
    rate_limit_per_s : float or None
        Maximum requests per second over all entry hosts; None for no limit.
    priority_classes : tuple of str
        Allowed priority classes, most urgent first.
    default_priority : str
        Priority class of requests that do not specify one.
    retention_ms : int
        Time for which a finished answer stays available, in milliseconds.
    record_memory_bytes : int
        Maximum memory for request records on one entry host, in bytes.
    claim_limit : int
        Maximum number of claims in the state of the replicated log.
    claim_memory_bytes, kept_answer_bytes : int
        Maximum memory for answers in the state of the replicated log, and
        maximum size of an answer that is stored there, in bytes.
    expired_key_limit : int
        Maximum number of keys that are remembered after their claims have
        expired. Version 7 UUIDs, which contain a timestamp, do not count.
    claim_lease_ms : int
        Time within which the holder of a new claim must start its run, in
        milliseconds.
    claim_holder_lease_ms : int
        Time without a renewal after which a process that holds claims is
        considered lost, in milliseconds.
    retry_budget : float
        Maximum ratio of retries to first attempts.
    silence_factor : float
        Number of token gaps without an event after which a stream is abandoned.
    silence_floor_ms : int
        Minimum time without an event before a stream is abandoned, in
        milliseconds.
    reclaim_margin_ms : int
        Time before the end of a reclaimed upstream at which its runs are moved,
        in milliseconds.
    entry_reclaim_ms : int
        Time between the reclaim notice and the end of an entry host, in
        milliseconds.
    first_token_target_ms, token_gap_target_ms : int
        Latency targets at the 95th percentile, in milliseconds.
    key_hashes : tuple of str
        SHA-256 digests of the workspace's API keys, in hexadecimal.
    drained : bool
        Whether the service, workspace or upstream accepts no new requests.
    """

    kind: ServiceKind = ServiceKind.MODEL
    idempotent: bool = True
    request_timeout_ms: Milliseconds = 120_000
    max_body_bytes: Bytes = 1 << 20
    max_answer_bytes: Bytes = 8 << 20
    queue_limit: Count = 256
    concurrency_limit: Count = 256
    share: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    rate_limit_per_s: Annotated[float, msgspec.Meta(gt=0)] | None = None
    priority_classes: tuple[str, ...] = ("interactive", "standard", "batch")
    default_priority: str = "standard"
    retention_ms: Milliseconds = 600_000
    record_memory_bytes: Bytes = 8 << 20
    claim_limit: Count = 100_000
    claim_memory_bytes: Bytes = 16 << 20
    kept_answer_bytes: Bytes = 16 << 10
    expired_key_limit: Count = 1_000_000
    claim_lease_ms: Milliseconds = 3_000
    claim_holder_lease_ms: Milliseconds = 6_000
    retry_budget: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2
    silence_floor_ms: Milliseconds = 2_000
    reclaim_margin_ms: Milliseconds = 800
    entry_reclaim_ms: Milliseconds = 2_000
    silence_factor: Annotated[float, msgspec.Meta(ge=2, le=1000)] = 8.0
    first_token_target_ms: Milliseconds = 340
    token_gap_target_ms: Milliseconds = 28
    key_hashes: tuple[KeyHash, ...] = ()
    drained: bool = False


_REQUEST_LEVELS = frozenset(
    {
        LevelKind.SYSTEM,
        LevelKind.SERVICE,
        LevelKind.WORKSPACE,
        LevelKind.WORKSPACE_SERVICE,
    }
)
_SYSTEM_AND_SERVICE = frozenset({LevelKind.SYSTEM, LevelKind.SERVICE})
_SYSTEM_ONLY = frozenset({LevelKind.SYSTEM})
_WORKSPACE_ONLY = frozenset({LevelKind.WORKSPACE})

#: Levels at which each setting may be set. Settings not listed here may be set
#: at every level that requests inherit from.
ALLOWED_LEVELS: dict[str, frozenset[LevelKind]] = {
    "kind": frozenset({LevelKind.SERVICE}),
    "max_answer_bytes": _SYSTEM_AND_SERVICE,
    "priority_classes": _SYSTEM_ONLY,
    "record_memory_bytes": _SYSTEM_ONLY,
    "claim_limit": _SYSTEM_ONLY,
    "claim_memory_bytes": _SYSTEM_ONLY,
    "kept_answer_bytes": _SYSTEM_ONLY,
    "expired_key_limit": _SYSTEM_ONLY,
    "claim_lease_ms": _SYSTEM_ONLY,
    "claim_holder_lease_ms": _SYSTEM_ONLY,
    "retry_budget": _SYSTEM_AND_SERVICE,
    "silence_factor": _SYSTEM_AND_SERVICE,
    "silence_floor_ms": _SYSTEM_AND_SERVICE,
    "reclaim_margin_ms": _SYSTEM_AND_SERVICE,
    "entry_reclaim_ms": _SYSTEM_ONLY,
    "share": _WORKSPACE_ONLY | {LevelKind.WORKSPACE_SERVICE},
    "rate_limit_per_s": _WORKSPACE_ONLY | {LevelKind.WORKSPACE_SERVICE},
    "key_hashes": _WORKSPACE_ONLY,
    "drained": frozenset({LevelKind.SERVICE, LevelKind.WORKSPACE, LevelKind.UPSTREAM}),
}

_SETTING_TYPES = {
    field.name: field.type for field in msgspec.structs.fields(EffectiveSettings)
}


def check_value(level_kind: LevelKind, name: str, value: SettingValue) -> None:
    """Validate one value against the schema.

    Parameters
    ----------
    level_kind : LevelKind
        Kind of the level at which the value is set.
    name : str
        Name of the setting.
    value : SettingValue
        Value to validate.

    Raises
    ------
    ControlError
        Of kind ``unknown_path`` for an unknown setting, or ``invalid_setting``
        for a level, type or value that is not allowed.

    Examples
    --------
    >>> check_value(LevelKind.SYSTEM, "queue_limit", 64)
    >>> check_value(LevelKind.SYSTEM, "queue_limit", -1)
    Traceback (most recent call last):
    ...
    cranberryfield.core.errors.ControlError: queue_limit: Expected `int` >= 0
    """
    if name not in _SETTING_TYPES:
        raise ControlError(ErrorKind.UNKNOWN_PATH, f"no setting is named {name!r}")
    if level_kind not in ALLOWED_LEVELS.get(name, _REQUEST_LEVELS):
        raise ControlError(
            ErrorKind.INVALID_SETTING,
            f"{name}: may not be set for a {level_kind.value}",
        )
    try:
        msgspec.convert(value, _SETTING_TYPES[name])
    except msgspec.ValidationError as error:
        raise ControlError(ErrorKind.INVALID_SETTING, f"{name}: {error}") from error
