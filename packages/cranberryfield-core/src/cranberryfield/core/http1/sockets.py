"""TCP socket options that bound the time to detect a dead peer."""

import socket

__all__ = ["enable_dead_peer_detection", "limit_kernel_buffers"]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Time within which sent bytes must be acknowledged, in milliseconds.
USER_TIMEOUT_MS = 3_000

#: Sizes of the kernel's buffers of a connection, in bytes. Without them it grows the
#: buffers of each connection to some megabytes if their reader is slow.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 32_768


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


def limit_kernel_buffers(raw: socket.socket) -> None:
    """Limit the bytes that wait in the kernel; sockets inherit it from a listener."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
