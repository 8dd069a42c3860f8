"""Memory and descriptors of a process, as Linux reports them."""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["ProcessUsage", "measure_usage"]

#: Columns of /proc/net/tcp, and the state of a listening socket.
LOCAL, STATE, QUEUES, INODE = 1, 3, 4, 9
LISTENING = "0A"
BYTES_PER_KB = 1024


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Usage of one process.

    Attributes
    ----------
    resident_bytes : int
        Memory of the process itself.
    queued_bytes : int
        Bytes that wait in the kernel: received ones that the process has not read, also
        on connections that it has not accepted, and sent ones that the peer has not
        taken.
    descriptors : int
        Open descriptors.
    """

    resident_bytes: int
    queued_bytes: int
    descriptors: int

    @property
    def memory_bytes(self) -> int:
        """Memory of the process with its bytes in the kernel."""
        return self.resident_bytes + self.queued_bytes


def measure_usage(pid: int) -> ProcessUsage | None:
    """Return the usage of a process; None if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        inodes = _socket_inodes(pid)
    except (FileNotFoundError, ProcessLookupError, PermissionError):
        return None
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            resident_bytes = int(line.split()[1]) * BYTES_PER_KB
            break
    else:
        # A process that has ended but was not waited for has no memory.
        return None
    sockets = {inode for inode in inodes if inode is not None}
    return ProcessUsage(resident_bytes, _queued_bytes(sockets), len(inodes))


def _socket_inodes(pid: int) -> list[str | None]:
    """Return the inode of each descriptor that is a socket, and None for others."""
    inodes = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except FileNotFoundError:
            continue
        is_socket = target.startswith("socket:[")
        inodes.append(target[len("socket:[") : -1] if is_socket else None)
    return inodes


def _queued_bytes(sockets: set[str]) -> int:
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = [line.split() for line in lines]
    listening = {
        row[LOCAL] for row in rows if row[STATE] == LISTENING and row[INODE] in sockets
    }
    total = 0
    for row in rows:
        is_own = row[INODE] in sockets or row[LOCAL] in listening
        if is_own and row[STATE] != LISTENING:
            sent, received = row[QUEUES].split(":")
            total += int(sent, 16) + int(received, 16)
    return total
