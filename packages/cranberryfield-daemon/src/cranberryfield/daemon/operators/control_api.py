"""Operator endpoints that query or change the control group from any process."""

from collections.abc import Callable

import msgspec
from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.http import decode_json
from cranberryfield.core.ids import NodeId, RequestKey, Revision, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.claims import FindClaim
from cranberryfield.core.messages.control import (
    ChangeControl,
    ControlMembers,
    ForgetHost,
    ReadDifference,
    ReadHistory,
    ReadHolders,
    ReplaceControl,
)
from cranberryfield.core.messages.settings import SettingDifference, SettingsChange
from cranberryfield.core.operators.views import (
    ClaimRow,
    DifferenceRow,
    GroupReplacement,
    HistoryRow,
    HoldersRow,
    HostRemoval,
    MemberChange,
    MembersView,
)
from cranberryfield.core.proposals import Proposer

__all__ = ["ControlApi"]

READ_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 12.0
MAX_BODY_BYTES = 4096
DEFAULT_HISTORY_LIMIT = 50


class ControlApi:
    """Endpoints for settings history, claims and members of the control group.

    Parameters
    ----------
    node : NodeId
        This process.
    has_control_role : bool
        Whether this process has the control role.
    mesh : Mesh
        Links to other processes.
    proposer : Proposer
        Sends commands and queries to the leader of the control group.
    authorise : callable
        Raises an error for a request without a valid operator key.
    """

    def __init__(
        self,
        node: NodeId,
        has_control_role: bool,
        mesh: Mesh,
        proposer: Proposer,
        authorise: Callable[[HttpRequest], None],
    ):
        self._node = node
        self._has_control_role = has_control_role
        self._mesh = mesh
        self._proposer = proposer
        self._authorise = authorise

    def routes(self) -> list[Route]:
        """Return the routes of these endpoints."""
        return [
            Route("/operator/settings/history", self._show_history),
            Route("/operator/settings/difference", self._show_difference),
            Route("/operator/settings/holders", self._show_holders),
            Route("/operator/claim", self._show_claim),
            Route("/operator/control/members", self._change_members, methods=["POST"]),
            Route("/operator/control/replace", self._replace_group, methods=["POST"]),
            Route("/operator/hosts/forget", self._forget_host, methods=["POST"]),
        ]

    async def _show_history(self, http: HttpRequest) -> Response:
        self._authorise(http)
        level = http.query_params.get("level")
        limit = _int_parameter(http, "limit", DEFAULT_HISTORY_LIMIT)
        view = await self._proposer.ask(ReadHistory(level, limit), READ_TIMEOUT_S)
        return _json([row for change in view.changes for row in _history_rows(change)])

    async def _show_difference(self, http: HttpRequest) -> Response:
        self._authorise(http)
        first, last = _int_parameter(http, "first"), _int_parameter(http, "last")
        view = await self._proposer.ask(
            ReadDifference(Revision(first), Revision(last)), READ_TIMEOUT_S
        )
        return _json([_difference_row(one) for one in view.settings])

    async def _show_holders(self, http: HttpRequest) -> Response:
        self._authorise(http)
        revision = Revision(_int_parameter(http, "revision"))
        view = await self._proposer.ask(ReadHolders(revision), READ_TIMEOUT_S)
        return _json(HoldersRow(view.revision, view.holders, view.lagging, view.silent))

    async def _show_claim(self, http: HttpRequest) -> Response:
        self._authorise(http)
        workspace = WorkspaceId(http.query_params.get("workspace", ""))
        key = RequestKey(http.query_params.get("key", ""))
        find = FindClaim(workspace, key)
        try:
            claim = await self._proposer.propose(find, READ_TIMEOUT_S)
        except CallerError as error:
            if error.kind is not ErrorKind.UNKNOWN_REQUEST:
                raise
            return _json(None)
        return _json(
            ClaimRow(claim.state.value, claim.attempt, claim.node, claim.status)
        )

    async def _change_members(self, http: HttpRequest) -> Response:
        self._authorise(http)
        body = await decode_json(http, MemberChange, MAX_BODY_BYTES)
        add = NodeId(body.add) if body.add is not None else None
        remove = NodeId(body.remove) if body.remove is not None else None
        view = await self._proposer.ask(ChangeControl(add, remove), CHANGE_TIMEOUT_S)
        return _json(_members_view(view))

    async def _replace_group(self, http: HttpRequest) -> Response:
        self._authorise(http)
        body = await decode_json(http, GroupReplacement, MAX_BODY_BYTES)
        if not self._has_control_role:
            raise CallerError(
                ErrorKind.BAD_REQUEST,
                f"{self._node} has no control role; call the surviving control host",
            )
        request = ReplaceControl(NodeId(body.node))
        view = await self._mesh.request(self._node, request, CHANGE_TIMEOUT_S)
        return _json(_members_view(view))

    async def _forget_host(self, http: HttpRequest) -> Response:
        self._authorise(http)
        body = await decode_json(http, HostRemoval, MAX_BODY_BYTES)
        request = ForgetHost(NodeId(body.node))
        view = await self._proposer.ask(request, CHANGE_TIMEOUT_S)
        return _json(HoldersRow(view.revision, view.holders, view.lagging, view.silent))


def _int_parameter(http: HttpRequest, name: str, default: int | None = None) -> int:
    text = http.query_params.get(name, "" if default is None else str(default))
    if not text.isascii() or not text.isdigit():
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"{name} must be a non-negative integer"
        )
    return int(text)


def _history_rows(change: SettingsChange) -> list[HistoryRow]:
    rows = []
    for edit in change.edits:
        before = change.before.get(edit.level, {})
        after = {**edit.set_values, **dict.fromkeys(edit.unset)}
        rows += [
            HistoryRow(
                change.revision,
                change.author,
                change.change_id,
                edit.level,
                name,
                before.get(name),
                value,
            )
            for name, value in after.items()
        ]
    return rows


def _difference_row(one: SettingDifference) -> DifferenceRow:
    return DifferenceRow(one.level, one.name, one.before, one.after)


def _members_view(view: ControlMembers) -> MembersView:
    return MembersView(
        view.voters, view.learners, view.leader, view.generation, view.term
    )


def _json(value) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")
