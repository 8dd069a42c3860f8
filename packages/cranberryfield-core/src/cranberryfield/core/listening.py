"""Listening sockets for servers of asyncio."""

import socket

__all__ = ["ACCEPTED_AT_ONCE", "ListeningSocket"]

#: Connections that a server of asyncio accepts before it does anything else. Given to
#: it as the length of the kernel's queue, which it takes as this number too.
ACCEPTED_AT_ONCE = 16
#: Connections that the kernel queues until they are accepted.
QUEUED_CONNECTIONS = 1_024


class ListeningSocket(socket.socket):
    """Bound socket whose queue is longer than the server that listens on it asks for.

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

    def __init__(self, host: str, port: int):
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        super().__init__(family, socket.SOCK_STREAM)
        try:
            self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.bind((host, port))
        except OSError:
            self.close()
            raise
        self.setblocking(False)

    def listen(self, backlog: int = 0) -> None:
        """Listen with a queue of `QUEUED_CONNECTIONS` or `backlog` connections."""
        super().listen(max(backlog, QUEUED_CONNECTIONS))
