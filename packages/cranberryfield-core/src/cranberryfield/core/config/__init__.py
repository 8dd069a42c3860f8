"""Configuration file of the daemon `cranberryfieldd`."""

from cranberryfield.core.config.cluster import ClusterConfig, read_cluster_config
from cranberryfield.core.config.daemon import (
    ControlMember,
    DaemonConfig,
    LogLevel,
    Role,
    read_daemon_config,
)
from cranberryfield.core.config.yaml_lines import Problem, check_struct, load_yaml

__all__ = [
    "ClusterConfig",
    "ControlMember",
    "DaemonConfig",
    "LogLevel",
    "Problem",
    "Role",
    "check_struct",
    "load_yaml",
    "read_cluster_config",
    "read_daemon_config",
]
