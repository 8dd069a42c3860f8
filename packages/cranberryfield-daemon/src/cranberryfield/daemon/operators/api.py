"""HTTP endpoints for operators, served by every process."""

from collections.abc import Callable

import msgspec
from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.config import DaemonConfig, Role
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.http import decode_json, require_key
from cranberryfield.core.ids import ChangeId, RequestKey, ServiceName, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.commands import ChangeSettings, LevelEdit
from cranberryfield.core.operators.views import (
    ChangeBody,
    ChangeResult,
    EffectiveValueView,
    LevelView,
    SettingsView,
)
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings import explain_settings, parse_level
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.daemon.operators.control_api import ControlApi
from cranberryfield.daemon.operators.view_builders import (
    build_request_reports,
    build_running_views,
    build_status_view,
    build_upstream_views,
)
from cranberryfield.entry.requests import RecordsSection

__all__ = ["OperatorApi"]

CHANGE_TIMEOUT_S = 5.0
MAX_CHANGE_BYTES = 4 << 20


class OperatorApi:
    """Endpoints under ``/operator``.

    Parameters
    ----------
    config : DaemonConfig
        Configuration of the process.
    board : Blackboard
        All sections of this process.
    mesh : Mesh
        Links to other processes.
    proposer : Proposer
        Commits settings changes to the replicated log.
    entry_is_ready : callable or None
        Returns whether the entry role accepts requests; None without that role.
    """

    def __init__(
        self,
        config: DaemonConfig,
        board: Blackboard,
        mesh: Mesh,
        proposer: Proposer,
        entry_is_ready: Callable[[], bool] | None,
    ):
        self._config = config
        self._board = board
        self._mesh = mesh
        self._proposer = proposer
        self._entry_is_ready = entry_is_ready
        self._has_entry_role = Role.ENTRY in config.roles
        self._control_api = ControlApi(
            config.node_id,
            Role.CONTROL in config.roles,
            mesh,
            proposer,
            self._authorise,
        )

    def routes(self) -> list[Route]:
        """Return the routes of all operator endpoints."""
        return [
            Route("/operator/settings", self._show_settings, methods=["GET"]),
            Route("/operator/settings", self._change_settings, methods=["POST"]),
            Route(
                "/operator/settings/effective",
                self._show_effective_settings,
                methods=["GET"],
            ),
            Route("/operator/status", self._show_status, methods=["GET"]),
            Route("/operator/upstreams", self._show_upstreams, methods=["GET"]),
            Route("/operator/running", self._show_running, methods=["GET"]),
            Route("/operator/requests", self._show_requests, methods=["GET"]),
            *self._control_api.routes(),
        ]

    def _authorise(self, http: HttpRequest) -> None:
        require_key(http, self._config.operator_keys)

    async def _show_settings(self, http: HttpRequest) -> Response:
        self._authorise(http)
        tree = self._board.read(SettingsSection).tree
        requested_level = http.query_params.get("level")
        if requested_level is not None:
            parse_level(requested_level)
            if requested_level not in tree.levels:
                raise ControlError(
                    ErrorKind.UNKNOWN_PATH, f"no settings at level {requested_level}"
                )
        levels = [
            LevelView(name, level.revision, level.values)
            for name, level in sorted(tree.levels.items())
            if requested_level in (None, name)
        ]
        return _json(SettingsView(tree.revision, levels))

    async def _show_effective_settings(self, http: HttpRequest) -> Response:
        self._authorise(http)
        tree = self._board.read(SettingsSection).tree
        workspace = http.query_params.get("workspace")
        service = http.query_params.get("service")
        origins = explain_settings(
            tree,
            WorkspaceId(workspace) if workspace else None,
            ServiceName(service) if service else None,
        )
        return _json(
            [EffectiveValueView(one.name, one.value, one.level) for one in origins]
        )

    async def _change_settings(self, http: HttpRequest) -> Response:
        self._authorise(http)
        body = await decode_json(http, ChangeBody, MAX_CHANGE_BYTES)
        edits = tuple(
            LevelEdit(edit.level, edit.expected_revision, edit.set, edit.unset)
            for edit in body.edits
        )
        change = ChangeSettings(ChangeId(body.change_id), body.author, edits)
        accepted = await self._proposer.propose(change, CHANGE_TIMEOUT_S)
        return _json(ChangeResult(accepted.revision))

    async def _show_status(self, http: HttpRequest) -> Response:
        self._authorise(http)
        ready = self._entry_is_ready() if self._entry_is_ready is not None else True
        return _json(build_status_view(self._config, self._board, self._mesh, ready))

    async def _show_upstreams(self, http: HttpRequest) -> Response:
        self._authorise(http)
        if not self._has_entry_role:
            return _json([])
        return _json(build_upstream_views(self._board, monotonic_clock()))

    async def _show_running(self, http: HttpRequest) -> Response:
        self._authorise(http)
        if not self._has_entry_role:
            return _json([])
        return _json(build_running_views(self._board.read(RecordsSection)))

    async def _show_requests(self, http: HttpRequest) -> Response:
        self._authorise(http)
        if not self._has_entry_role:
            return _json([])
        workspace = http.query_params.get("workspace")
        reports = build_request_reports(
            self._config.node,
            self._board.read(RecordsSection),
            WorkspaceId(workspace) if workspace else None,
            RequestKey(http.query_params.get("key", "")),
        )
        return _json(reports)


def _json(value) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")
