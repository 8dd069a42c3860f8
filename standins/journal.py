"""Journals of stand-ins: JSON lines, each written before the stand-in proceeds."""

import os
import time
from pathlib import Path

import msgspec

__all__ = ["Journal", "JournalEntry", "read_journal"]


class JournalEntry(msgspec.Struct, omit_defaults=True):
    """One action of a stand-in.

    Attributes
    ----------
    event : str
        ``started``, ``resumed``, ``finished``, ``cancelled``, ``order``, ...
    upstream : str
        Upstream id of the stand-in.
    incarnation : int
        Incarnation of the stand-in.
    run : str
        Id of the run; empty if the entry concerns no run.
    at_ns : int
        Wall-clock time in nanoseconds.
    tokens, prefill_tokens, recomputed_tokens : int
        Numbers of tokens produced, processed in prefill, and processed again.
    request : str
        Start of the request's prompt or body, by which tests identify requests.
    detail : str
        Further information.
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
        Upstream id of the stand-in.
    incarnation : int
        Incarnation of the stand-in.
    """

    def __init__(self, path: Path, upstream: str, incarnation: int):
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644)
        self._upstream = upstream
        self._incarnation = incarnation

    def write(self, event: str, run: str = "", **fields) -> None:
        """Append one entry, which then survives a crash of the process."""
        entry = JournalEntry(
            event, self._upstream, self._incarnation, run, time.time_ns(), **fields
        )
        os.write(self._file, msgspec.json.encode(entry) + b"\n")


def read_journal(path: Path) -> list[JournalEntry]:
    """Read all entries of a journal; a missing file has none.

    An incomplete last entry is skipped.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    list of JournalEntry
        Entries in the order of writing.
    """
    if not path.exists():
        return []
    whole, _, _ = path.read_bytes().rpartition(b"\n")
    return [msgspec.json.decode(line, type=JournalEntry) for line in whole.splitlines()]
