"""TCP socket options that bound the time to detect a dead peer."""

import socket

__all__ = ["enable_dead_peer_detection"]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Time within which sent bytes must be acknowledged, in milliseconds.
USER_TIMEOUT_MS = 3_000


def enable_dead_peer_detection(raw: socket.socket) -> None:
    """Set options that make the kernel close a connection to a dead peer.

    ``TCP_NODELAY`` is set too.
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        ("TCP_KEEPCNT", KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
    ):
        number = getattr(socket, option, None)
        if number is not None:
            raw.setsockopt(socket.IPPROTO_TCP, number, value)
