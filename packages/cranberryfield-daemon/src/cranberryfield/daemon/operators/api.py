"""Endpoints for operators, on every process."""

from collections.abc import Callable

import msgspec
from starlette.requests import Request as HttpRequest
from starlette.responses import Response
from starlette.routing import Route

from cranberryfield.control.runtime import ControlSection
from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.config import DaemonConfig, Role
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.http import decode_json, require_key
from cranberryfield.core.ids import ChangeId, ServiceName, WorkspaceId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.commands import ChangeSettings, LevelEdit
from cranberryfield.core.operators.views import (
    ChangeBody,
    ChangeResult,
    ControlView,
    LevelView,
    OriginView,
    SettingsView,
    StatusView,
    UpstreamView,
)
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings import explain_settings, parse_level
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.entry.membership import UpstreamsSection

__all__ = ["OperatorApi"]

CHANGE_TIMEOUT_S = 5.0
MAX_CHANGE_BYTES = 4 << 20
MS_PER_S = 1000


class OperatorApi:
    """Endpoints under ``/operator``.

    Parameters
    ----------
    config : DaemonConfig
        The process's configuration.
    board : Blackboard
        All sections.
    mesh : Mesh
        Links to other processes.
    proposer : Proposer
        Puts settings changes through the replicated log.
    ready : callable or None
        Says whether the entry role takes requests; None without that role.
    """

    def __init__(
        self,
        config: DaemonConfig,
        board: Blackboard,
        mesh: Mesh,
        proposer: Proposer,
        ready: Callable[[], bool] | None,
    ):
        self._config = config
        self._board = board
        self._mesh = mesh
        self._proposer = proposer
        self._ready = ready

    def routes(self) -> list[Route]:
        """Return the operators' routes."""
        return [
            Route("/operator/settings", self._show_settings, methods=["GET"]),
            Route("/operator/settings", self._change_settings, methods=["POST"]),
            Route("/operator/settings/effective", self._explain, methods=["GET"]),
            Route("/operator/status", self._status, methods=["GET"]),
            Route("/operator/upstreams", self._upstreams, methods=["GET"]),
        ]

    def _authorise(self, http: HttpRequest) -> None:
        require_key(http, self._config.operator_keys)

    async def _show_settings(self, http: HttpRequest) -> Response:
        self._authorise(http)
        tree = self._board.read(SettingsSection).tree
        wanted = http.query_params.get("level")
        if wanted is not None:
            parse_level(wanted)
            if wanted not in tree.levels:
                raise ControlError(
                    ErrorKind.UNKNOWN_PATH, f"nothing is set at {wanted}"
                )
        levels = [
            LevelView(name, level.revision, level.values)
            for name, level in sorted(tree.levels.items())
            if wanted in (None, name)
        ]
        return _json(SettingsView(tree.revision, levels))

    async def _explain(self, http: HttpRequest) -> Response:
        self._authorise(http)
        tree = self._board.read(SettingsSection).tree
        workspace = http.query_params.get("workspace")
        service = http.query_params.get("service")
        origins = explain_settings(
            tree,
            WorkspaceId(workspace) if workspace else None,
            ServiceName(service) if service else None,
        )
        return _json([OriginView(one.name, one.value, one.level) for one in origins])

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

    async def _status(self, http: HttpRequest) -> Response:
        self._authorise(http)
        roles = tuple(role.value for role in self._config.roles)
        is_entry = Role.ENTRY in self._config.roles
        upstreams = self._board.read(UpstreamsSection).upstreams if is_entry else ()
        return _json(
            StatusView(
                self._config.node,
                roles,
                self._config.data_centre,
                self._ready() if self._ready is not None else True,
                self._board.read(SettingsSection).tree.revision,
                tuple(sorted(peer.node for peer in self._mesh.peers)),
                len(upstreams),
                self._control_view(),
            )
        )

    def _control_view(self) -> ControlView | None:
        if Role.CONTROL not in self._config.roles:
            return None
        replica = self._board.read(ControlSection).replica
        return ControlView(
            replica.role.value,
            replica.term,
            replica.leader_node,
            replica.commit_index,
            replica.log.last_index,
            replica.voter_nodes,
        )

    async def _upstreams(self, http: HttpRequest) -> Response:
        self._authorise(http)
        if Role.ENTRY not in self._config.roles:
            return _json([])
        now = monotonic_clock()
        section = self._board.read(UpstreamsSection)
        return _json(
            [
                UpstreamView(
                    known.record.upstream,
                    known.record.service,
                    known.record.data_centre,
                    known.record.address,
                    known.record.machine_class,
                    known.record.incarnation,
                    known.record.leaving,
                    max(0, int((known.lease_ends_at() - now) * MS_PER_S)),
                    known.record.load.running,
                    known.record.load.queued,
                )
                for _, known in sorted(section.upstreams.items())
            ]
        )


def _json(value) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")
