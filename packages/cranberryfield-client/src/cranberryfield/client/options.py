"""Options that every command which calls a node takes."""

from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

__all__ = ["Target"]


@Parameter(name="*", group="Node")
@dataclass(frozen=True, kw_only=True)
class Target:
    """Where to ask, with which key, and how to print.

    Attributes
    ----------
    node : str
        Address of any node, as ``127.0.0.1:8000`` or a URL.
    key : str
        The operator's key. Better given in the environment, where other users
        of the machine do not see it.
    as_json : bool
        Whether to print JSON in place of tables.
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
        bool, Parameter(name="--json", negative=(), help="Print JSON, not tables")
    ] = False
