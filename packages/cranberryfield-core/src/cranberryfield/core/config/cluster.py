"""Configuration of a host that discovers its control group."""

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

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


class RelaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of a host that accepts callers' requests.

    Attributes
    ----------
    callers : str
        ``IP:PORT`` for callers.
    readiness : str
        ``IP:PORT`` of the readiness check, for the load balancer.
    """

    callers: IpAddress
    readiness: IpAddress


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and storage of a host of the control group.

    Attributes
    ----------
    operators : str
        ``IP:PORT`` for operators and upstreams.
    data_folder : str
        Folder in which the replicated log is stored.
    """

    operators: IpAddress
    data_folder: str


class CloudSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the cloud API.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the API.
    """

    address: IpAddress


class ClusterConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of a host in a cluster that forms its control group itself.

    Attributes
    ----------
    node : str
        Id of this process.
    data_centre, region : str
        Location of this process.
    mesh : str
        ``IP:PORT`` for other processes; all hosts use the same port.
    seeds : tuple of str
        Addresses of some of the control hosts. Their ports are ignored; the
        port of `mesh` is used instead.
    first_start : bool
        Whether the hosts at the seeds may form a new control group.
    relay : RelaySettings, optional
        Set for a host that accepts callers' requests.
    control : ControlSettings, optional
        Set for a host of the control group.
    cloud : CloudSettings, optional
        API that orders upstreams and receives usage reports.
    metrics : str, optional
        ``IP:PORT`` at which counters and histograms are served as text.
    key_validity_ms : float
        Maximum time for which a key is still accepted after its withdrawal was
        acknowledged, in milliseconds.
    stop_s : float
        Time from a request to stop until the process is killed, in seconds.
    retry_ratio, retry_allowance, retry_window_s : float
        Limit on attempts beyond the first, over all hosts: a ratio of the
        requests plus a fixed number in each window, and the length of the
        window in seconds.
    usage_window_s : float
        Length of the windows in which usage is counted, in seconds; 0 disables
        usage reports.
    usage_due_s : float
        Time after the end of a window within which its report is due, in
        seconds.
    quota_overage, quota_tolerance : float
        Tolerated usage of a workspace beyond its quota in a window: a ratio of
        the quota plus a fixed amount.
    duty_handover_ms : float
        Time after an election in which the previous leader may still act, in
        milliseconds.
    rollout_exposure_ratio : float, optional
        Fraction of a service's requests that the new version may get until a rollout
        is found good; not set if the deployment has no rollouts.
    rollout_exposure_allowance : float
        Number of requests that it may get beyond that.
    rollback_ms : float
        Time after a rollout has failed within which the new version must get no more
        requests, in milliseconds.
    shared_slots : bool
        Whether relays share the slots of services that have fewer slots than there
        are relays.
    least_cost : bool
        Whether relays choose what to delay or refuse by what it costs callers.
    announce_interval_ms : float
        Time between two announcements of an upstream, in milliseconds.
    memory_mb : float
        Memory that the process may use, in MiB.
    max_descriptors : int, optional
        Descriptors that the process may open; by default its limit at the start.
    max_connections : int, optional
        Connections of callers that may be open; by default a share of the descriptors
        and of the memory.
    max_held_mb : float, optional
        Memory for bodies of requests and for responses that wait for their caller, in
        MiB; by default a share of the memory.
    group : str
        Name of the installation; links from other groups are refused.
    mesh_key : str
        Shared key of the mesh. The network between hosts is assumed to be
        private.
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
    key_validity_ms: PositiveFloat = 5_000.0
    stop_s: PositiveFloat = 8.0
    retry_ratio: NonNegativeFloat = 0.2
    retry_allowance: NonNegativeFloat = 50.0
    retry_window_s: PositiveFloat = 10.0
    usage_window_s: NonNegativeFloat = 0.0
    usage_due_s: PositiveFloat = 10.0
    duty_handover_ms: PositiveFloat = 3_000.0
    quota_overage: NonNegativeFloat = 0.0
    quota_tolerance: NonNegativeFloat = 0.0
    rollout_exposure_ratio: PositiveFloat | None = None
    rollout_exposure_allowance: NonNegativeFloat = 0.0
    rollback_ms: PositiveFloat = 5_000.0
    shared_slots: bool = False
    least_cost: bool = False
    announce_interval_ms: PositiveFloat = 1_200.0
    memory_mb: Annotated[float, msgspec.Meta(ge=64)] = 160.0
    max_descriptors: Annotated[int, msgspec.Meta(ge=256)] | None = None
    max_connections: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_held_mb: PositiveFloat | None = None
    group: Name = "cranberryfield"
    log_level: LogLevel = LogLevel.INFO

    @property
    def node_id(self) -> NodeId:
        """Id of the process."""
        return NodeId(self.node)

    @property
    def zone(self) -> DataCentre:
        """Data centre of the process."""
        return DataCentre(self.data_centre)

    @property
    def data_folder(self) -> str | None:
        """Folder of the replicated log; None without the control role."""
        return self.control.data_folder if self.control is not None else None

    @property
    def roles(self) -> tuple[str, ...]:
        """Roles of the process, as announced to other processes."""
        roles = []
        if self.relay is not None:
            roles.append("relay")
        if self.control is not None:
            roles.append("control")
        return tuple(roles)

    @property
    def mesh_seeds(self) -> tuple[str, ...]:
        """Mesh addresses of the seeds."""
        _, port = split_address(self.mesh)
        seed_hosts = (seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{host}:{port}" for host in seed_hosts)

    @classmethod
    def from_yaml(cls, text: str, source: str) -> "ClusterConfig":
        """Parse and validate the configuration, reporting every problem in it.

        Raises
        ------
        ConfigError
            With one line per problem: file, line, key and reason.
        """
        document = load_yaml(text, source)
        values = document.data
        if isinstance(values, dict):
            # Rendered files contain empty values, which mean the default.
            values = {key: value for key, value in values.items() if value is not None}
        config, problems = check_struct(document, (), values, cls)
        if config is not None and not config.roles:
            problems = [document.problem_at(("relay",), "neither relay nor control")]
        raise_problems(problems)
        return config


def read_cluster_config(path: Path) -> ClusterConfig:
    """Read and validate a host's file; see `ClusterConfig.from_yaml`."""
    return ClusterConfig.from_yaml(read_text(path), str(path))
