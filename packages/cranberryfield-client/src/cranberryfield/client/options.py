"""Command-line options shared by all commands that call a node."""

from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

__all__ = ["Target"]


@Parameter(name="*", group="Node")
@dataclass(frozen=True, kw_only=True)
class Target:
    """Node to call, operator's key and output format.

    Attributes
    ----------
    node : str
        Address of any node, such as ``127.0.0.1:8000``, or a URL.
    key : str
        The operator's key. Prefer the environment variable: other users of the
        machine can see command-line arguments.
    as_json : bool
        Whether to print JSON instead of tables.
    """

    node: Annotated[
        str,
        Parameter(
            env_var="CRANBERRYFIELD_NODE",
            help="IP:PORT or URL of any node of the group",
        ),
    ]
    key: Annotated[
        str, Parameter(env_var="CRANBERRYFIELD_KEY", help="The operator's key")
    ]
    as_json: Annotated[
        bool, Parameter(name="--json", negative=(), help="Print JSON instead of tables")
    ] = False
