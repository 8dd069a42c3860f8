"""Feature level of the group: when it is raised, and who takes part in the group.

Builds differ in the log commands that they can apply. The level of the group, which
is part of the replicated state, says what all of its replicas understand.
"""

from collections.abc import Iterable, Mapping

import anyio
import structlog

from cranberryfield.control.consensus import ReplicaRole
from cranberryfield.control.consensus.membership import JoinRequest
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    ProtocolError,
    StorageError,
)
from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import decode_message, encode_message
from cranberryfield.core.messages.commands import RaiseFeatureLevel
from cranberryfield.core.messages.consensus import LogEntry, Members, node_of

__all__ = [
    "FeatureLevelRaiser",
    "HostFilter",
    "check_level_supported",
    "decode_log_command",
    "hosts_that_block",
    "next_feature_level",
]

#: A new group reaches its level within 2 s of its first leader.
CHECK_INTERVAL_S = 0.1
#: Maximum number of refused hosts that are remembered, so that each is logged once.
MAX_LOGGED_HOSTS = 100

logger = structlog.get_logger(__name__)


def next_feature_level(
    current: int,
    members: Members,
    known_hosts: Iterable[NodeId],
    linked_levels: Mapping[NodeId, int],
) -> int | None:
    """Return the level to raise the group to.

    Parameters
    ----------
    current : int
        Level of the group.
    members : Members
        Its voters and learners.
    known_hosts : iterable of NodeId
        Control hosts known to this one, also those that have just stopped and are no
        members any more: they may come back with the build that they had.
    linked_levels : mapping
        Levels that linked hosts, and this one, understand.

    Returns
    -------
    int or None
        Highest level that all of them understand; None if it is not higher than
        `current`, or one of them is not linked.

    Examples
    --------
    >>> group = Members(("a~1", "b~2"), ("c~3",))
    >>> next_feature_level(0, group, "abc", {"a": 2, "b": 1, "c": 1})
    1
    >>> next_feature_level(0, group, "abc", {"a": 2, "b": 1})
    >>> next_feature_level(1, group, "abc", {"a": 2, "b": 1, "c": 1})
    """
    hosts = _control_hosts(members, known_hosts)
    if not hosts <= linked_levels.keys():
        return None
    level = min(linked_levels[host] for host in hosts)
    return level if level > current else None


def hosts_that_block(
    target: int,
    members: Members,
    known_hosts: Iterable[NodeId],
    linked_levels: Mapping[NodeId, int],
) -> tuple[NodeId, ...]:
    """Return the hosts that are not linked or do not understand level `target`.

    The parameters are those of `next_feature_level`.
    """
    hosts = _control_hosts(members, known_hosts)
    return tuple(sorted(host for host in hosts if linked_levels.get(host, -1) < target))


def _control_hosts(members: Members, known_hosts: Iterable[NodeId]) -> set[NodeId]:
    replicas = (*members.voters, *members.learners)
    return {*map(node_of, replicas), *known_hosts}


def check_level_supported(level: int, supported: int) -> None:
    """Check that this build understands the level of a group.

    Parameters
    ----------
    level : int
        Level of the group.
    supported : int
        Highest level that this build understands.

    Raises
    ------
    StorageError
        Of kind ``foreign_data`` if it does not.
    """
    if level > supported:
        raise StorageError(
            ErrorKind.FOREIGN_DATA,
            f"the control group is at feature level {level}, but this build "
            f"understands only {supported}; start this host with a later build",
        )


def decode_log_command(entry: LogEntry, supported: int) -> Message:
    """Decode the command of a committed entry.

    Parameters
    ----------
    entry : LogEntry
        The entry.
    supported : int
        Highest level that this build understands.

    Returns
    -------
    Message
        The command.

    Raises
    ------
    StorageError
        Of kind ``foreign_data`` if this build does not understand it. Skipping it
        would make the state of this replica differ from that of the others.
    """
    try:
        command = decode_message(entry.command)
    except ProtocolError as error:
        raise StorageError(
            ErrorKind.FOREIGN_DATA,
            f"entry {entry.index} of the log holds a command that this build does "
            f"not understand ({error.detail}); start this host with a later build",
        ) from error
    if isinstance(command, RaiseFeatureLevel):
        check_level_supported(command.level, supported)
        logger.info("feature level raised", level=command.level, index=entry.index)
    return command


class HostFilter:
    """Keeps hosts out of the group whose build does not understand its level.

    A build without feature levels does not know that it must not take part. It could
    neither apply the log nor keep all of the state in its snapshots.

    Parameters
    ----------
    section : ControlSection
        The applied state, read-only.
    mesh : Mesh
        Links to other processes.
    """

    def __init__(self, section, mesh: Mesh):
        self._section = section
        self._mesh = mesh
        self._logged: set[tuple[NodeId, int]] = set()

    def may_take_part(self, node: NodeId) -> bool:
        """Return whether messages of the log may be exchanged with a host."""
        required = self._section.state.feature_level
        if required == FeatureLevel.BASE:
            return True
        level = self._mesh.feature_level_of(node)
        # The host may be unlinked just now; only its greeting can exclude it.
        if level is None or level >= required:
            return True
        self._log_refused(node, level, required)
        return False

    def admissible(
        self, requests: dict[NodeId, JoinRequest]
    ) -> dict[NodeId, JoinRequest]:
        """Return the requests to join of hosts that may take part."""
        return {
            node: request
            for node, request in requests.items()
            if self.may_take_part(node)
        }

    def _log_refused(self, node: NodeId, level: int, required: int) -> None:
        if (node, required) in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED_HOSTS:
            self._logged.clear()
        self._logged.add((node, required))
        logger.warning(
            "control host refused: its build does not understand the feature level",
            host=node,
            host_level=level,
            feature_level=required,
        )


class FeatureLevelRaiser:
    """Proposes a higher level once all control hosts understand it.

    Parameters
    ----------
    section : ControlSection
        The replica and its applied state, read-only.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        The known control hosts.
    propose : callable
        Proposes an encoded command and returns its result.
    """

    def __init__(self, section, mesh: Mesh, names: ControlHostNames, propose):
        self._section = section
        self._mesh = mesh
        self._names = names
        self._propose = propose
        self._logged_blockers: tuple[NodeId, ...] = ()

    async def run(self) -> None:
        """Check periodically, while this replica is the leader, until cancelled."""
        while True:
            replica = self._section.replica
            if replica.role is ReplicaRole.LEADER:
                await self._raise_if_possible(replica.members)
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _raise_if_possible(self, members: Members) -> None:
        current = self._section.state.feature_level
        target = self._mesh.hello.feature_level
        if current >= target:
            return
        known_hosts = self._names.known()
        linked_levels = self._linked_levels(members, known_hosts)
        level = next_feature_level(current, members, known_hosts, linked_levels)
        if level is not None:
            await self._propose_level(level)
            return
        blockers = hosts_that_block(target, members, known_hosts, linked_levels)
        if blockers != self._logged_blockers:
            self._logged_blockers = blockers
            logger.info(
                "feature level waits for control hosts",
                feature_level=current,
                target=target,
                hosts=blockers,
            )

    async def _propose_level(self, level: int) -> None:
        try:
            await self._propose(encode_message(RaiseFeatureLevel(level)))
        except CranberryfieldError as error:
            logger.debug("feature level not raised yet", detail=error.detail)

    def _linked_levels(
        self, members: Members, known_hosts: Iterable[NodeId]
    ) -> dict[NodeId, int]:
        levels = {
            host: self._mesh.feature_level_of(host)
            for host in _control_hosts(members, known_hosts)
        }
        return {host: level for host, level in levels.items() if level is not None}
