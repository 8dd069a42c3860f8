"""A shared listening port that routes each client process to its own proxy."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute, SocketStream

from standins.proxy import FaultProxy

__all__ = ["SharedPort", "owner_of_port"]

CONNECTIONS = Path("/proc/net/tcp")
LOCAL_ADDRESS, REMOTE_ADDRESS, INODE = 1, 2, 9


def _inode_of_connection(port: int, dialled: int) -> str | None:
    """Return the inode of the socket that connects a local port to another port.

    The local port alone is ambiguous: the kernel may use one local port for
    several connections to different destinations.
    """
    local, remote = f":{port:04X}", f":{dialled:04X}"
    for line in CONNECTIONS.read_text().splitlines()[1:]:
        fields = line.split()
        is_wanted = fields[LOCAL_ADDRESS].endswith(local)
        is_wanted = is_wanted and fields[REMOTE_ADDRESS].endswith(remote)
        if is_wanted and fields[INODE] != "0":
            return fields[INODE]
    return None


def owner_of_port(port: int, dialled: int, owners: dict[str, int]) -> str | None:
    """Find the process that owns one end of a connection.

    Parameters
    ----------
    port : int
        Local port of a connected socket.
    dialled : int
        Port to which it is connected.
    owners : dict
        Process ids by name.

    Returns
    -------
    str or None
        Name of the process; None if it is not in `owners`.
    """
    wanted = f"socket:[{_inode_of_connection(port, dialled)}]"
    for name, pid in owners.items():
        folder = f"/proc/{pid}/fd"
        try:
            if any(
                _target(f"{folder}/{file}") == wanted for file in os.listdir(folder)
            ):
                return name
        except OSError:
            continue
    return None


def _target(path: str) -> str:
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
    proxy_of : callable
        Returns the proxy for the connections of a process.
    """

    port: int
    owners: Callable[[], dict[str, int]]
    proxy_of: Callable[[str], FaultProxy]

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        task_status.started()
        await listener.serve(self._accept)

    async def _accept(self, client: SocketStream) -> None:
        port = client.extra(SocketAttribute.remote_port)
        name = owner_of_port(port, self.port, self.owners())
        if name is None:
            await anyio.aclose_forcefully(client)
            return
        await self.proxy_of(name).accept(client)
