"""Identifier and quantity types shared by all packages."""

from typing import NewType

__all__ = [
    "ChangeId",
    "DataCentre",
    "Incarnation",
    "LogIndex",
    "NodeId",
    "ReplicaId",
    "RequestKey",
    "Revision",
    "RunId",
    "ServiceName",
    "Term",
    "UpstreamId",
    "UpstreamProcess",
    "WorkspaceId",
]

#: One process of cranberryfield.
NodeId = NewType("NodeId", str)
#: One data folder of a control host: its node and a random suffix, ``NODE~HEX``.
ReplicaId = NewType("ReplicaId", str)
#: One upstream: an engine runner or a plain service process.
UpstreamId = NewType("UpstreamId", str)
#: A data centre (an availability zone).
DataCentre = NewType("DataCentre", str)
#: A workspace (a tenant).
WorkspaceId = NewType("WorkspaceId", str)
#: A service, which callers name as the ``model`` of a completion or in the path.
ServiceName = NewType("ServiceName", str)
#: The caller's ``Idempotency-Key``, unique inside its workspace.
RequestKey = NewType("RequestKey", str)
#: One execution of a request on one upstream.
RunId = NewType("RunId", str)
#: The operator's id for one settings change; a resend carries the same id.
ChangeId = NewType("ChangeId", str)
#: Version of the settings tree; it never decreases.
Revision = NewType("Revision", int)
#: Election term of the replicated log.
Term = NewType("Term", int)
#: Position in the replicated log; the first entry has index 1.
LogIndex = NewType("LogIndex", int)
#: Number that grows with each start of an upstream or node; a higher
#: incarnation supersedes a lower one.
Incarnation = NewType("Incarnation", int)
#: One start of an upstream.
UpstreamProcess = tuple[UpstreamId, Incarnation]
