"""Settings of a host that finds its control group by itself."""

from pathlib import Path
from typing import Annotated

import msgspec

from cranberryfield.core.config.daemon import (
    IpAddress,
    LogLevel,
    Name,
    read_text,
    split_address,
)
from cranberryfield.core.config.yaml_lines import (
    check_struct,
    load_yaml,
    raise_problems,
)
from cranberryfield.core.ids import DataCentre, NodeId

__all__ = ["ClusterConfig", "ControlSettings", "RelaySettings", "read_cluster_config"]

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class RelaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of a host that takes callers' requests.

    Attributes
    ----------
    callers : str
        ``IP:PORT`` for callers.
    readiness : str
        ``IP:PORT`` at which the balancer asks whether the host takes requests.
    """

    callers: IpAddress
    readiness: IpAddress


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of a host that belongs to the control group.

    Attributes
    ----------
    operators : str
        ``IP:PORT`` for operators and upstreams.
    data_folder : str
        Where the replicated log is kept.
    """

    operators: IpAddress
    data_folder: str


class CloudSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of the cloud API.

    Attributes
    ----------
    address : str
        Its ``IP:PORT``.
    """

    address: IpAddress


class ClusterConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that a host of a self-forming cluster is told.

    Attributes
    ----------
    node : str
        Id of this process.
    data_centre, region : str
        Where it runs.
    mesh : str
        ``IP:PORT`` for other processes; all hosts use the same port.
    seeds : tuple of str
        Addresses of some control hosts. Their ports are not those of the mesh
        and are ignored.
    first_start : bool
        Whether the hosts at the seeds may form a new control group.
    relay : RelaySettings, optional
        Set for a host that takes callers' requests.
    control : ControlSettings, optional
        Set for a host of the control group.
    cloud : CloudSettings, optional
        Where upstreams are ordered and usage is reported.
    metrics : str, optional
        ``IP:PORT`` at which counters and histograms are served as text.
    key_validity_ms : float
        A key must not be honoured for longer after its withdrawal was
        acknowledged, in milliseconds.
    stop_s : float
        Time from a request to stop until the process is killed, in seconds.
    retry_ratio, retry_allowance, retry_window_s : float
        Bound, over all hosts, of what is sent beyond first attempts: a part of
        the requests and a fixed number in each window.
    usage_window_s : float
        Length of the windows in which usage is counted; 0 for no reports.
    usage_due_s : float
        Time after the end of a window in which its report is due.
    quota_overage, quota_tolerance : float
        What is tolerated of a workspace beyond its quota in a window: a part of
        the quota, and a fixed number besides.
    duty_handover_ms : float
        Time after an election in which the leader before may still act, in
        milliseconds.
    group : str
        Name of the installation; processes of another group are refused.
    mesh_key : str
        Shared key of the mesh. The network between hosts is taken for private.
    log_level : LogLevel
        Lowest level that is logged.
    """

    node: Name
    data_centre: Name
    mesh: IpAddress
    seeds: tuple[IpAddress, ...]
    mesh_key: Annotated[str, msgspec.Meta(min_length=16)]
    region: Name = "default"
    first_start: bool = False
    relay: RelaySettings | None = None
    control: ControlSettings | None = None
    cloud: CloudSettings | None = None
    metrics: IpAddress | None = None
    key_validity_ms: Positive = 5_000.0
    stop_s: Positive = 8.0
    retry_ratio: NotNegative = 0.2
    retry_allowance: NotNegative = 50.0
    retry_window_s: Positive = 10.0
    usage_window_s: NotNegative = 0.0
    usage_due_s: Positive = 10.0
    duty_handover_ms: Positive = 3_000.0
    quota_overage: NotNegative = 0.0
    quota_tolerance: NotNegative = 0.0
    group: Name = "cranberryfield"
    log_level: LogLevel = LogLevel.INFO

    @property
    def node_id(self) -> NodeId:
        """The process's id."""
        return NodeId(self.node)

    @property
    def zone(self) -> DataCentre:
        """The process's data centre."""
        return DataCentre(self.data_centre)

    @property
    def data_folder(self) -> str | None:
        """Where the control role keeps its log."""
        return self.control.data_folder if self.control is not None else None

    @property
    def roles(self) -> tuple[str, ...]:
        """What the process does, as other processes are told."""
        found = []
        if self.relay is not None:
            found.append("relay")
        if self.control is not None:
            found.append("control")
        return tuple(found)

    @property
    def mesh_seeds(self) -> tuple[str, ...]:
        """Mesh addresses of the seeds."""
        _, port = split_address(self.mesh)
        hosts = (seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{host}:{port}" for host in hosts)

    @classmethod
    def from_yaml(cls, text: str, source: str) -> "ClusterConfig":
        """Read and check the file, reporting every fault in it.

        Raises
        ------
        ConfigError
            With one line per fault: file, line, key and reason.
        """
        document = load_yaml(text, source)
        given = document.data
        if isinstance(given, dict):
            # What a rendered file leaves empty has its default.
            given = {key: value for key, value in given.items() if value is not None}
        config, problems = check_struct(document, (), given, cls)
        if config is not None and not config.roles:
            problems = [document.problem(("relay",), "neither relay nor control")]
        raise_problems(problems)
        return config


def read_cluster_config(path: Path) -> ClusterConfig:
    """Read and check a host's file; see `ClusterConfig.from_yaml`."""
    return ClusterConfig.from_yaml(read_text(path), str(path))
