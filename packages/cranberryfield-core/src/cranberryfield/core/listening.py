"""Listening sockets for servers of asyncio."""

import socket

__all__ = ["ACCEPTED_AT_ONCE", "open_listener"]

#: Connections that a server of asyncio accepts before it does anything else. Given to
#: it as the length of the kernel's queue, which it takes as this number too.
ACCEPTED_AT_ONCE = 16
#: Connections that the kernel queues until they are accepted.
QUEUED_CONNECTIONS = 1_024


class _ListeningSocket(socket.socket):
    """Socket whose queue is longer than the server that listens on it asks for."""

    def listen(self, backlog: int = 0) -> None:
        super().listen(max(backlog, QUEUED_CONNECTIONS))


def open_listener(host: str, port: int) -> socket.socket:
    """Return a bound socket that a server of asyncio can listen on.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = _ListeningSocket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
