"""Starts and ends the processes of a small group on loopback."""

import os
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
POLL_S = 0.02
#: Below the ports that operating systems give to outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 32_000
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port on 127.0.0.1 that nobody listens on now.

    No port is returned twice, as it may not have been bound yet.
    """
    while True:
        port = randint(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        _given_ports.add(port)
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
        Returns whether it holds.
    what : str
        Named in the error.
    timeout_s : float
        Longest wait in seconds; a guard against hanging, no assertion.

    Raises
    ------
    TimeoutError
        If it does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(POLL_S)


class Process:
    """One child process, with its output in a file.

    Parameters
    ----------
    name : str
        Its name.
    arguments : list of str
        What follows ``python -m``.
    folder : pathlib.Path
        Where its output goes.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path):
        self._name = name
        self._arguments = arguments
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None

    @property
    def name(self) -> str:
        """The process's name."""
        return self._name

    @property
    def log(self) -> Path:
        """The file with its output."""
        return self._log

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Its exit code, once it has ended."""
        return self._child.poll()

    def start(self) -> None:
        """Start it, again if it has ended."""
        paths = [path for path in sys.path if path] + [str(ROOT)]
        with open(self._log, "ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if it is running."""
        if self.is_running:
            self._child.send_signal(number)

    def terminate(self) -> None:
        """Ask it to stop."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once and wait until it is gone."""
        if self._child is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self._child.wait()

    def freeze(self) -> None:
        """Stop it from running, without its knowledge."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process run on."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = 60.0) -> int:
        """Wait until it has ended and return its exit code."""
        return self._child.wait(timeout_s)
