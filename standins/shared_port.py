"""A shared listening port that routes each client process to its own proxy."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute, SocketStream

from standins.proxy import FaultProxy

__all__ = ["SharedPort", "find_connection_owner"]

TCP_TABLE = Path("/proc/net/tcp")
LOCAL_ADDRESS_COLUMN, REMOTE_ADDRESS_COLUMN, INODE_COLUMN = 1, 2, 9


def _find_connection_inode(port: int, remote_port: int) -> str | None:
    """Return the inode of the socket that connects a local port to another port.

    The local port alone is ambiguous: the kernel may use one local port for
    several connections to different destinations.
    """
    local, remote = f":{port:04X}", f":{remote_port:04X}"
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        is_match = fields[LOCAL_ADDRESS_COLUMN].endswith(local)
        is_match = is_match and fields[REMOTE_ADDRESS_COLUMN].endswith(remote)
        if is_match and fields[INODE_COLUMN] != "0":
            return fields[INODE_COLUMN]
    return None


def find_connection_owner(
    port: int, remote_port: int, owners: dict[str, int]
) -> str | None:
    """Find the process that owns one end of a connection.

    Parameters
    ----------
    port : int
        Local port of a connected socket.
    remote_port : int
        Port to which it is connected.
    owners : dict
        Process ids by name.

    Returns
    -------
    str or None
        Name of the process; None if it is not in `owners`.
    """
    wanted = f"socket:[{_find_connection_inode(port, remote_port)}]"
    for name, pid in owners.items():
        folder = f"/proc/{pid}/fd"
        try:
            if any(
                _read_link(f"{folder}/{file}") == wanted for file in os.listdir(folder)
            ):
                return name
        except OSError:
            continue
    return None


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""


@dataclass(slots=True)
class SharedPort:
    """Accepts connections and passes each to the proxy of its client process.

    Attributes
    ----------
    port : int
        Local port.
    owners : callable
        Returns process ids by name.
    get_proxy : callable
        Returns the proxy for the connections of a process.
    """

    port: int
    owners: Callable[[], dict[str, int]]
    get_proxy: Callable[[str], FaultProxy]

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        task_status.started()
        await listener.serve(self._accept)

    async def _accept(self, client: SocketStream) -> None:
        port = client.extra(SocketAttribute.remote_port)
        name = find_connection_owner(port, self.port, self.owners())
        if name is None:
            await anyio.aclose_forcefully(client)
            return
        await self.get_proxy(name).accept(client)
