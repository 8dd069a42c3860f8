"""Recent versions of the deployment, and the encoded differences between them."""

from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

from cranberryfield.control.deployment.machine import NO_VERSION, DeploymentState
from cranberryfield.core.deployment import Deployment, Route, decode_deployment
from cranberryfield.core.deployment.delta import (
    NO_BASE,
    RouteKey,
    encode_delta,
    routes_by_key,
    share_unchanged_routes,
)
from cranberryfield.core.loop_monitor import timed_step
from cranberryfield.core.messages.deployment import DeploymentTransfer

__all__ = ["DeploymentHistory", "read_part", "record_version", "transfer_to"]

#: Versions from which a host can be sent a difference.
MAX_VERSIONS = 8
#: Encoded differences in memory. A host goes on with one while newer versions follow.
MAX_ENCODED = 16
#: Size of a part, in bytes: 26 ms on a link of 5 Mbit/s.
PART_BYTES = 16 << 10
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class _Version:
    deployment: Deployment
    routes: dict[RouteKey, Route]


@dataclass(frozen=True, slots=True)
class _Encoded:
    data: bytes
    digest: bytes


@dataclass(slots=True)
class DeploymentHistory:
    """Versions that this control host has applied, and encoded differences.

    Attributes
    ----------
    versions : dict
        The latest versions by number, oldest first; they share equal routes.
    encoded : dict
        Encoded differences by version and base, the least recently used first.
    """

    versions: OrderedDict[int, _Version] = field(default_factory=OrderedDict)
    encoded: OrderedDict[tuple[int, int], _Encoded] = field(default_factory=OrderedDict)


def record_version(history: DeploymentHistory, state: DeploymentState) -> None:
    """Record the applied version; versions that are skipped are not needed."""
    if state.version == NO_VERSION or state.version in history.versions:
        return
    with timed_step("decoding of a deployment"):
        deployment = decode_deployment(state.content)
    routes = routes_by_key(deployment)
    if history.versions:
        latest = next(reversed(history.versions.values()))
        routes = share_unchanged_routes(routes, latest.routes)
    history.versions[state.version] = _Version(deployment, routes)
    while len(history.versions) > MAX_VERSIONS:
        history.versions.popitem(last=False)


def transfer_to(history: DeploymentHistory, known_version: int) -> DeploymentTransfer:
    """Return the difference from the version that a host has to the latest one.

    Parameters
    ----------
    history : DeploymentHistory
        At least one version; the encoded difference is added.
    known_version : int
        Version that the host has. If it is not in the history, the difference
        contains the whole deployment.
    """
    version, latest = next(reversed(history.versions.items()))
    base = known_version if known_version in history.versions else NO_BASE
    encoded = history.encoded.get((version, base))
    if encoded is None:
        before = history.versions.get(base)
        base_routes = before.routes if before is not None else {}
        with timed_step("encoding of a deployment"):
            data = encode_delta(latest.deployment, latest.routes, base, base_routes)
        digest = blake2b(data, digest_size=DIGEST_BYTES).digest()
        encoded = history.encoded[version, base] = _Encoded(data, digest)
        while len(history.encoded) > MAX_ENCODED:
            history.encoded.popitem(last=False)
    history.encoded.move_to_end((version, base))
    size = len(encoded.data)
    content = encoded.data if size <= PART_BYTES else b""
    return DeploymentTransfer(version, base, size, encoded.digest, content)


def read_part(
    history: DeploymentHistory, version: int, base: int, digest: bytes, offset: int
) -> bytes:
    """Return a part of a difference; empty if it is not known, or another one.

    Another control host may have encoded the same difference to other bytes, which
    the digest tells apart.
    """
    encoded = history.encoded.get((version, base))
    if encoded is None or encoded.digest != digest:
        return b""
    return encoded.data[max(0, offset) : max(0, offset) + PART_BYTES]
