"""Schema of the daemon's configuration file."""

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec

from cranberryfield.core.config.yaml_lines import (
    check_struct,
    load_yaml,
    raise_problems,
)
from cranberryfield.core.errors import ConfigError, ErrorKind
from cranberryfield.core.ids import DataCentre, NodeId

__all__ = [
    "ControlMember",
    "DaemonConfig",
    "LogLevel",
    "Role",
    "TlsFiles",
    "read_daemon_config",
    "read_text",
    "split_address",
]

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
IpAddress = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
LOOPBACK_PREFIXES = ("127.", "[::1]")


class Role(Enum):
    """Roles that a process can have."""

    ENTRY = "entry"
    CONTROL = "control"


class LogLevel(Enum):
    """Lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class ControlMember(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One process of the control group as listed in the file."""

    node: Name
    mesh: IpAddress


class TlsFiles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """PEM files for mutual TLS on the mesh."""

    authority: str
    certificate: str
    private_key: str


class DaemonConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of one process.

    Attributes
    ----------
    node : str
        Id of this process, unique in the group.
    group : str
        Name of the installation; links from other groups are refused.
    data_centre, region : str
        Location of the process.
    roles : tuple of Role
        Roles of the process.
    mesh : str
        ``IP:PORT`` for other processes of the group.
    mesh_bind : str, optional
        ``IP:PORT`` to bind if different from `mesh`, for example behind network
        address translation.
    callers : str
        ``IP:PORT`` for callers, upstreams and operators over HTTP.
    control : tuple of ControlMember
        The control group.
    seeds : tuple of str
        Mesh addresses of some entry hosts, from which all others are found.
    mesh_key : str
        Shared key of the mesh. Sufficient on its own only on loopback.
    operator_keys, upstream_keys : tuple of str
        SHA-256 digests, in hexadecimal, of the accepted keys.
    data_folder : str, optional
        Folder of the replicated log; required for the control role.
    tls : TlsFiles, optional
        Files for mutual TLS; required if `mesh` is not a loopback address.
    statsd : str, optional
        ``IP:PORT`` of the statsd daemon.
    memory_mb : float
        Memory that the process may use, in MiB.
    max_descriptors : int, optional
        Descriptors that the process may open; by default its limit at the start.
    max_connections : int, optional
        Connections of callers that may be open; by default a share of the descriptors
        and of the memory.
    max_held_mb : float, optional
        Memory for bodies of requests that are read or handled, in MiB; by default a
        share of the memory.
    log_level : LogLevel
        Lowest level that is logged.
    """

    node: Name
    group: Name
    data_centre: Name
    roles: Annotated[tuple[Role, ...], msgspec.Meta(min_length=1)]
    mesh: IpAddress
    callers: IpAddress
    control: Annotated[tuple[ControlMember, ...], msgspec.Meta(min_length=1)]
    mesh_key: Annotated[str, msgspec.Meta(min_length=16)]
    mesh_bind: IpAddress | None = None
    region: Name = "default"
    seeds: tuple[IpAddress, ...] = ()
    operator_keys: tuple[KeyHash, ...] = ()
    upstream_keys: tuple[KeyHash, ...] = ()
    data_folder: str | None = None
    tls: TlsFiles | None = None
    statsd: IpAddress | None = None
    memory_mb: Annotated[float, msgspec.Meta(ge=64)] = 300.0
    max_descriptors: Annotated[int, msgspec.Meta(ge=256)] | None = None
    max_connections: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_held_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None
    log_level: LogLevel = LogLevel.INFO

    @property
    def mesh_listen_address(self) -> str:
        """Address that the mesh listener binds."""
        return self.mesh_bind or self.mesh

    @property
    def node_id(self) -> NodeId:
        """Id of the process."""
        return NodeId(self.node)

    @property
    def zone(self) -> DataCentre:
        """Data centre of the process."""
        return DataCentre(self.data_centre)

    @classmethod
    def from_yaml(cls, text: str, source: str) -> "DaemonConfig":
        """Parse and validate the configuration, reporting every problem in it.

        Parameters
        ----------
        text : str
            Content of the file.
        source : str
            Name of the file, for error messages.

        Returns
        -------
        DaemonConfig
            The valid configuration.

        Raises
        ------
        ConfigError
            With one line per problem: file, line, key and reason.
        """
        document = load_yaml(text, source)
        config, problems = check_struct(document, (), document.data, cls)
        if config is not None:
            problems = [
                document.problem_at((key,), message)
                for key, message in _find_conflicts(config)
            ]
        raise_problems(problems)
        return config


def read_daemon_config(path: Path) -> DaemonConfig:
    """Read and validate the configuration file of a daemon.

    Parameters
    ----------
    path : pathlib.Path
        The YAML file.

    Returns
    -------
    DaemonConfig
        The valid configuration.

    Raises
    ------
    ConfigError
        If the file cannot be read, or with one line per problem in it.
    """
    return DaemonConfig.from_yaml(read_text(path), str(path))


def read_text(path: Path) -> str:
    """Read a configuration file.

    Raises
    ------
    ConfigError
        If the file cannot be read or is not UTF-8 text.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError(ErrorKind.INVALID_CONFIG, f"{path}: {reason}") from error


def _find_conflicts(config: DaemonConfig) -> list[tuple[str, str]]:
    conflicts = []
    if Role.CONTROL in config.roles:
        if config.data_folder is None:
            conflicts.append(("roles", "the control role needs data_folder"))
        if config.node not in {member.node for member in config.control}:
            conflicts.append(("control", f"does not list this node, {config.node!r}"))
    if len({member.node for member in config.control}) != len(config.control):
        conflicts.append(("control", "names a node twice"))
    if not config.mesh.startswith(LOOPBACK_PREFIXES) and config.tls is None:
        conflicts.append(("mesh", "an address off loopback needs tls"))
    return conflicts


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``.

    Parameters
    ----------
    address : str
        An IPv4 address, or an IPv6 one in brackets, and a port.

    Returns
    -------
    host : str
        IP address without brackets.
    port : int
        Port number.

    Examples
    --------
    >>> split_address("[::1]:9000")
    ('::1', 9000)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
