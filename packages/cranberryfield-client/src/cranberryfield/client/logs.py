"""Reads log lines of several processes, whose clocks may differ."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from statistics import median

import msgspec

__all__ = ["LogLine", "ReadLogs", "clock_offsets", "parse_lines", "read_logs"]

MS_PER_S = 1000


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process's log.

    Attributes
    ----------
    node, event : str
        Who wrote it, and what happened.
    timestamp : datetime
        When, by the node's clock.
    request, outcome, attempts, took_ms, admitted_ms
        What became of a request; times in milliseconds after it had come.
    upstream, told_by, age_ms
        Which upstream is meant, who told of it, and how old that was.
    fields : dict
        All fields as they were written.
    """

    node: str
    event: str
    timestamp: datetime
    request: str | None = None
    outcome: str = ""
    attempts: tuple[str, ...] = ()
    took_ms: float = 0.0
    admitted_ms: float | None = None
    upstream: str | None = None
    told_by: str | None = None
    age_ms: float | None = None
    fields: dict = {}

    @property
    def at(self) -> float:
        """When, in seconds since 1970."""
        return self.timestamp.timestamp()


@dataclass(frozen=True, slots=True)
class ReadLogs:
    """What was read, and what could not be.

    Attributes
    ----------
    lines : list of LogLine
        In the order of their files.
    faults : list of str
        Lines and files that were left out, and why.
    """

    lines: list[LogLine]
    faults: list[str]


def parse_lines(name: str, texts: Iterable[str]) -> ReadLogs:
    """Parse lines of a log.

    Parameters
    ----------
    name : str
        Where they come from, for messages.
    texts : iterable of str
        Lines; whatever stands before the first brace of a line is passed over.

    Returns
    -------
    ReadLogs
        The readable ones; empty lines are neither.

    Examples
    --------
    >>> line = '{"node": "n1", "event": "started", "timestamp": "2026-01-01T00:00:00Z"}'
    >>> logs = parse_lines("a.log", [line, "", '{"node": "n1", "ev'])
    >>> [one.event for one in logs.lines], logs.faults
    (['started'], ['a.log:3: no log line: Input data was truncated'])
    """
    lines, faults = [], []
    for number, text in enumerate(texts, 1):
        if not text.strip():
            continue
        data = text[max(0, text.find("{")) :]
        try:
            fields = msgspec.json.decode(data, type=dict)
            lines.append(msgspec.convert({**fields, "fields": fields}, LogLine))
        except msgspec.DecodeError as error:
            faults.append(f"{name}:{number}: no log line: {error}")
    return ReadLogs(lines, faults)


def read_logs(paths: Iterable[Path]) -> ReadLogs:
    """Read files; those that cannot be read are told, and the rest is used."""
    found = ReadLogs([], [])
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            found.faults.append(f"{path}: {error.strerror}")
            continue
        part = parse_lines(str(path), text.splitlines())
        found.lines.extend(part.lines)
        found.faults.extend(part.faults)
    return found


def clock_offsets(lines: Iterable[LogLine], node: str) -> dict[str, float]:
    """Return by how much other nodes' clocks are ahead of a node's, in seconds.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all nodes.
    node : str
        Whose clock is the measure.

    Returns
    -------
    dict
        For each node that has told it of an upstream. What a control host says
        of an upstream comes to a relay with its age, so that both clocks show
        the same moment.
    """
    announced: dict[tuple[str | None, str | None], list[float]] = {}
    for line in lines:
        if line.event == "upstream announced":
            key = (line.node, line.upstream)
            announced.setdefault(key, []).append(line.at)
    offsets: dict[str, list[float]] = {}
    for line in lines:
        if line.event != "upstream known" or line.node != node:
            continue
        moments = announced.get((line.told_by, line.upstream))
        if moments and line.age_ms is not None:
            said_at = line.at - line.age_ms / MS_PER_S
            nearest = min(moments, key=lambda at: abs(at - said_at))
            offsets.setdefault(line.told_by, []).append(nearest - said_at)
    return {teller: median(found) for teller, found in offsets.items()}
