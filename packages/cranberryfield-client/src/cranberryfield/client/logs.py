"""Parsing of log files and estimation of clock offsets between nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from statistics import median

import msgspec

__all__ = [
    "LogLine",
    "ParsedLogs",
    "estimate_clock_offsets",
    "parse_lines",
    "read_logs",
]

MS_PER_S = 1000


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process log.

    Attributes
    ----------
    node, event : str
        Node that wrote the line, and name of the event.
    timestamp : datetime
        Time of the event by the node's clock.
    request, outcome, attempts, took_ms, admitted_ms
        Id and outcome of a request; times in milliseconds since its arrival.
    fingerprint : str or None
        Digest that a request keeps when its caller sends it under another id.
    upstream, told_by, age_ms
        Id of an upstream, the node that reported it, and the age of the report in
        milliseconds.
    prompt_part, prompt_parts
        Digest of a prompt part that is refused, or no more, and digests of the parts
        that may have caused a crash.
    fields : dict
        All fields of the line.
    """

    node: str
    event: str
    timestamp: datetime
    request: str | None = None
    outcome: str = ""
    attempts: tuple[str, ...] = ()
    took_ms: float = 0.0
    admitted_ms: float | None = None
    fingerprint: str | None = None
    upstream: str | None = None
    told_by: str | None = None
    age_ms: float | None = None
    prompt_part: str | None = None
    prompt_parts: tuple[str, ...] = ()
    fields: dict = {}

    @property
    def unix_s(self) -> float:
        """Time of the event in seconds since the Unix epoch."""
        return self.timestamp.timestamp()


@dataclass(frozen=True, slots=True)
class ParsedLogs:
    """Parsed log lines and the errors met while reading them.

    Attributes
    ----------
    lines : list of LogLine
        Parsed lines in the order of the files.
    faults : list of str
        Lines and files that were skipped, with the reason.
    """

    lines: list[LogLine]
    faults: list[str]


def parse_lines(name: str, texts: Iterable[str]) -> ParsedLogs:
    """Parse lines of a log.

    Parameters
    ----------
    name : str
        Name of the source, used in error messages.
    texts : iterable of str
        Lines; text before the first brace of a line is ignored.

    Returns
    -------
    ParsedLogs
        Parsed lines and errors; empty lines are skipped.

    Examples
    --------
    >>> line = '{"node": "n1", "event": "started", "timestamp": "2026-01-01T00:00:00Z"}'
    >>> logs = parse_lines("a.log", [line, "", '{"node": "n1", "ev'])
    >>> [one.event for one in logs.lines], logs.faults
    (['started'], ['a.log:3: not a log line: Input data was truncated'])
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
            faults.append(f"{name}:{number}: not a log line: {error}")
    return ParsedLogs(lines, faults)


def read_logs(paths: Iterable[Path]) -> ParsedLogs:
    """Read log files; unreadable files are reported in `ParsedLogs.faults`."""
    logs = ParsedLogs([], [])
    for path in paths:
        try:
            text = path.read_text(errors="replace")
        except OSError as error:
            logs.faults.append(f"{path}: {error.strerror}")
            continue
        parsed = parse_lines(str(path), text.splitlines())
        logs.lines.extend(parsed.lines)
        logs.faults.extend(parsed.faults)
    return logs


def estimate_clock_offsets(lines: Iterable[LogLine], node: str) -> dict[str, float]:
    """Estimate the clock offsets of other nodes from a reference node.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines of all nodes.
    node : str
        Reference node.

    Returns
    -------
    dict
        Offset by node in seconds, positive if that node's clock is ahead. Only
        nodes that reported an upstream to the reference node are included. A
        control host logs the announcement of an upstream by its own clock; the
        relay logs the report of it with its age. Both give the time of the
        announcement, each by its own clock.
    """
    announced: dict[tuple[str | None, str | None], list[float]] = {}
    for line in lines:
        if line.event == "upstream announced":
            key = (line.node, line.upstream)
            announced.setdefault(key, []).append(line.unix_s)
    offsets: dict[str, list[float]] = {}
    for line in lines:
        if line.event != "upstream known" or line.node != node:
            continue
        announcement_times = announced.get((line.told_by, line.upstream))
        if announcement_times and line.age_ms is not None:
            reported_s = line.unix_s - line.age_ms / MS_PER_S
            nearest_s = min(
                announcement_times, key=lambda unix_s: abs(unix_s - reported_s)
            )
            offsets.setdefault(line.told_by, []).append(nearest_s - reported_s)
    return {reporter: median(estimates) for reporter, estimates in offsets.items()}
