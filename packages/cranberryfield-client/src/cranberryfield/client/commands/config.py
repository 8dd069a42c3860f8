"""The ``cranberryfield config`` commands."""

from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from cranberryfield.client.output import print_value
from cranberryfield.core.config import read_daemon_config

__all__ = ["app"]

app = App(
    name="config",
    help="Check configuration files of daemons.",
    help_epilogue="""Examples:

    cranberryfield config check /etc/cranberryfield/entry-1.yaml
""",
)


class ConfigSummary(msgspec.Struct):
    """Summary of a valid configuration file."""

    file: str
    node: str
    group: str
    roles: tuple[str, ...]


@app.command(name="check")
def check_config(
    file: Path,
    /,
    *,
    as_json: Annotated[bool, Parameter(name="--json", negative=())] = False,
) -> None:
    """Validate a daemon's configuration file and list every error.

    Parameters
    ----------
    file : pathlib.Path
        The YAML file.
    as_json : bool
        Print JSON instead of a table.
    """
    config = read_daemon_config(file)
    roles = tuple(role.value for role in config.roles)
    print_value(ConfigSummary(str(file), config.node, config.group, roles), as_json)
