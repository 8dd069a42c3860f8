"""What a stand-in did, one JSON object a line, written before it goes on."""

import os
import time
from pathlib import Path

import msgspec

__all__ = ["Entry", "Journal", "read_journal"]


class Entry(msgspec.Struct, omit_defaults=True):
    """One thing that a stand-in did.

    Attributes
    ----------
    event : str
        ``started``, ``resumed``, ``finished``, ``cancelled``, ``order``, ...
    upstream : str
        The stand-in.
    incarnation : int
        Its start.
    run : str
        The run, if it is about one.
    at_ns : int
        Wall-clock time in nanoseconds.
    tokens, prefill_tokens, recomputed_tokens : int
        Tokens given, processed, and processed again.
    request : str
        Start of the request's prompt or body, by which a test finds its own.
    detail : str
        Anything else.
    """

    event: str
    upstream: str
    incarnation: int = 0
    run: str = ""
    at_ns: int = 0
    tokens: int = 0
    prefill_tokens: int = 0
    recomputed_tokens: int = 0
    request: str = ""
    detail: str = ""


class Journal:
    """Appends entries to a file.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    upstream : str
        The stand-in.
    incarnation : int
        Its start.
    """

    def __init__(self, path: Path, upstream: str, incarnation: int):
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644)
        self._upstream = upstream
        self._incarnation = incarnation

    def write(self, event: str, run: str = "", **fields) -> None:
        """Append one entry; it outlives the process from here on."""
        entry = Entry(
            event, self._upstream, self._incarnation, run, time.time_ns(), **fields
        )
        os.write(self._file, msgspec.json.encode(entry) + b"\n")


def read_journal(path: Path) -> list[Entry]:
    """Read all entries of a journal; none for a missing file.

    An entry that is being written just now is left out.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    list of Entry
        In the order of writing.
    """
    if not path.exists():
        return []
    whole, _, _ = path.read_bytes().rpartition(b"\n")
    return [msgspec.json.decode(line, type=Entry) for line in whole.splitlines()]
