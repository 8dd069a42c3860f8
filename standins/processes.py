"""Management of child processes on loopback."""

import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import randint

__all__ = ["Process", "free_port", "wait_until"]

ROOT = Path(__file__).resolve().parent.parent
POLL_INTERVAL_S = 0.02
#: The range is below the ephemeral ports of common operating systems.
FIRST_PORT = 12_000
LAST_PORT = 32_000
_returned_ports: set[int] = set()


def free_port() -> int:
    """Return a port of 127.0.0.1 that is not in use.

    No port is returned twice, as a returned port may not be bound yet.
    """
    while True:
        port = randint(FIRST_PORT, LAST_PORT)
        if port in _returned_ports:
            continue
        _returned_ports.add(port)
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = 30.0):
    """Poll until a condition holds.

    Parameters
    ----------
    condition : callable
        Returns whether the condition holds.
    what : str
        Description of the condition for the error message.
    timeout_s : float
        Wait limit in seconds; a guard against hanging, not an assertion.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition not met within {timeout_s} s: {what}")
        time.sleep(POLL_INTERVAL_S)


class Process:
    """A child process whose output goes to a file.

    Parameters
    ----------
    name : str
        Name of the process.
    arguments : list of str
        Arguments of ``python -m``.
    folder : pathlib.Path
        Folder of the output file.
    inherited : tuple of int
        File descriptors that the child inherits.
    max_descriptors : int, optional
        Number of descriptors that the child may open; by default as this process.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        folder: Path,
        inherited: tuple[int, ...] = (),
        max_descriptors: int | None = None,
    ):
        self.max_descriptors = max_descriptors
        self._name = name
        self._arguments = arguments
        self._inherited = inherited
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None

    @property
    def name(self) -> str:
        """Name of the process."""
        return self._name

    @property
    def log(self) -> Path:
        """The file with its output."""
        return self._log

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._child is not None and self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process is running."""
        return self._child.poll()

    def start(self) -> None:
        """Start or restart the process."""
        paths = [path for path in sys.path if path] + [str(ROOT)]
        with open(self._log, "ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                pass_fds=self._inherited,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
            )
        if self.max_descriptors is not None:
            # The interpreter takes longer to start than this call.
            limits = (self.max_descriptors, self.max_descriptors)
            resource.prlimit(self._child.pid, resource.RLIMIT_NOFILE, limits)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._child.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        if self._child is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self._child.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue a suspended process."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = 60.0) -> int:
        """Wait until the process has ended and return its exit code."""
        return self._child.wait(timeout_s)
