"""The file that `cranberryfieldd` is started with."""

from cranberryfield.core.config.daemon import ControlMember, DaemonConfig, Role
from cranberryfield.core.config.yaml_lines import Problem, check_struct, load_yaml

__all__ = [
    "ControlMember",
    "DaemonConfig",
    "Problem",
    "Role",
    "check_struct",
    "load_yaml",
]
