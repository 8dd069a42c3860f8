"""One port for all who dial a process, each through a fault proxy of its own."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute, SocketStream

from standins.proxy import FaultProxy

__all__ = ["SharedPort", "owner_of_port"]

CONNECTIONS = Path("/proc/net/tcp")
LOCAL_ADDRESS, INODE = 1, 9


def _inode_of_port(port: int) -> str | None:
    """Return the socket that has a local port and is connected."""
    wanted = f":{port:04X}"
    for line in CONNECTIONS.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL_ADDRESS].endswith(wanted) and fields[INODE] != "0":
            return fields[INODE]
    return None


def owner_of_port(port: int, owners: dict[str, int]) -> str | None:
    """Find which process has a local port.

    Parameters
    ----------
    port : int
        Local port of a connected socket.
    owners : dict
        Process ids by name.

    Returns
    -------
    str or None
        The name; None if it is none of them.
    """
    wanted = f"socket:[{_inode_of_port(port)}]"
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
    """Accepts connections and hands each to the proxy of who dialled.

    Attributes
    ----------
    port : int
        Local port.
    owners : callable
        Returns process ids by name.
    proxy_of : callable
        Returns the proxy for the connections of one process.
    """

    port: int
    owners: Callable[[], dict[str, int]]
    proxy_of: Callable[[str], FaultProxy]

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Accept until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        task_status.started()
        await listener.serve(self._accept)

    async def _accept(self, client: SocketStream) -> None:
        port = client.extra(SocketAttribute.remote_port)
        name = owner_of_port(port, self.owners())
        if name is None:
            await anyio.aclose_forcefully(client)
            return
        await self.proxy_of(name).accept(client)
