"""Cuts a host process off from all upstreams, as a file tells it, while it runs."""

import socket
from contextlib import suppress
from enum import Enum
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute

__all__ = ["CutMode", "cut_path", "install_cut", "set_cut"]

POLL_S = 0.02


class CutMode(Enum):
    """How connections to upstreams fail.

    ``HANG``: no byte passes on any of them. ``RESET``: they are reset, and new ones are
    refused. ``REFUSE``: they go on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


def cut_path(settings: Path) -> Path:
    """Return the file that cuts the process with the given settings file off."""
    return settings.with_suffix(".cut")


def set_cut(settings: Path, mode: CutMode | None) -> None:
    """Cut a process off, or repair its network with None."""
    path = cut_path(settings)
    if mode is None:
        path.unlink(missing_ok=True)
        return
    written = path.with_name(path.name + ".new")
    written.write_text(mode.value)
    written.rename(path)


def _read_mode(path: Path) -> CutMode | None:
    try:
        return CutMode(path.read_text())
    except FileNotFoundError:
        return None


class CutStream:
    """Connection to an upstream that a cut affects.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The connection.
    path : pathlib.Path
        File with the mode of the cut.
    """

    def __init__(self, stream, path: Path):
        self._stream = stream
        self._path = path

    async def _wait_while_silent(self) -> None:
        while (mode := _read_mode(self._path)) is CutMode.HANG:
            await anyio.sleep(POLL_S)
        if mode is CutMode.RESET:
            self._shut_down()
            raise anyio.BrokenResourceError

    def _shut_down(self) -> None:
        raw = self._stream.extra(SocketAttribute.raw_socket)
        # The other end, or the relay itself, may have closed the connection.
        with suppress(OSError):
            raw.shutdown(socket.SHUT_RDWR)

    async def send(self, data: bytes) -> None:
        """Send data; its sender does not notice that a silent connection loses it."""
        if _read_mode(self._path) is CutMode.HANG:
            return
        await self._wait_while_silent()
        await self._stream.send(data)

    async def receive(self, max_bytes: int) -> bytes:
        """Receive data once the connection is not silent."""
        while True:
            await self._wait_while_silent()
            with anyio.move_on_after(POLL_S):
                return await self._stream.receive(max_bytes)

    def extra(self, attribute, default=None):
        """Return an attribute of the connection."""
        if _read_mode(self._path) is CutMode.RESET:
            self._shut_down()
        return self._stream.extra(attribute, default)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


def install_cut(settings: Path) -> None:
    """Let the cut of a process affect the connections that it opens with anyio.

    Links between hosts are opened by another library and stay as they are.
    """
    path = cut_path(settings)
    connect = anyio.connect_tcp

    async def connect_unless_cut(host, port, **options):
        while (mode := _read_mode(path)) is CutMode.HANG:
            await anyio.sleep(POLL_S)
        if mode is not None:
            raise OSError("cut off") from ConnectionRefusedError()
        return CutStream(await connect(host, port, **options), path)

    anyio.connect_tcp = connect_unless_cut
