"""Timelines of a request, built from the logs of several processes."""

import msgspec

from cranberryfield.client.logs import LogLine, clock_offsets

__all__ = ["Story", "StoryRow", "tell_story"]

MS_PER_S = 1000
#: Events of the request's host and upstreams are included from this many seconds
#: before its arrival.
BEFORE_S = 5.0
ENDED = "request ended"
#: Events of the host that served the request which may affect its outcome.
HOST_EVENTS = frozenset(
    {
        "deployment in force",
        "deployment lease lost",
        "deployment confirmed",
        "link closed",
        "link open",
        "started",
        "stopping",
    }
)
UPSTREAM_EVENTS = frozenset(
    {
        "upstream announced",
        "upstream departed",
        "upstream forgotten",
        "upstream known",
    }
)
#: Printed causes by prefix of the outcome; the first matching prefix applies.
CAUSES = {
    "refused: over_limit": "its workspace's quota was used up",
    "refused: no_upstream": "no upstream took it",
    "refused: upstream_failed": "its last attempt failed after it may have run",
    "deadline passed": "its time was over",
    "caller left": "its caller closed the connection",
    "answered 5": "its upstream answered with a failure",
    "answered": "nothing failed",
    "streamed": "nothing failed",
}


class StoryRow(msgspec.Struct, frozen=True):
    """One event of a timeline.

    Attributes
    ----------
    at_ms : float
        Time in milliseconds after the request's arrival, by the clock of the
        host that served it.
    node, event : str
        Node that logged the event, and its name.
    detail : str
        Further fields of the log line.
    """

    at_ms: float
    node: str
    event: str
    detail: str


class Story(msgspec.Struct, frozen=True):
    """Timeline and cause of the outcome of one request.

    Attributes
    ----------
    rows : list of StoryRow
        Events in chronological order.
    cause : str
        Cause of the request's outcome.
    uncompared : tuple of str
        Nodes whose clock offset from the serving host is unknown.
    """

    rows: list[StoryRow]
    cause: str
    uncompared: tuple[str, ...]


def tell_story(lines: list[LogLine], request: str) -> list[Story]:
    """Build the timelines of a request, one per time that it was served.

    Parameters
    ----------
    lines : list of LogLine
        Log lines of all processes.
    request : str
        Id of the request.

    Returns
    -------
    list of Story
        Empty if no ``request ended`` line has the id.
    """
    return [
        _tell(lines, line)
        for line in lines
        if line.event == ENDED and line.request == request
    ]


def _tell(lines: list[LogLine], ended: LogLine) -> Story:
    arrived_at = ended.at - ended.took_ms / MS_PER_S
    upstreams = {one.partition(":")[0] for one in ended.attempts}
    offsets = {**clock_offsets(lines, ended.node), ended.node: 0.0}
    rows, uncompared = [_row(ended, ended.at, arrived_at)], set()
    for line in lines:
        if not _may_matter(line, ended, upstreams):
            continue
        at = line.at - offsets.get(line.node, 0.0)
        if arrived_at - BEFORE_S <= at <= ended.at:
            rows.append(_row(line, at, arrived_at))
            if line.node not in offsets:
                uncompared.add(line.node)
    rows.sort(key=lambda row: row.at_ms)
    return Story(rows, _cause(ended), tuple(sorted(uncompared)))


def _may_matter(line: LogLine, ended: LogLine, upstreams: set[str]) -> bool:
    if line.event in UPSTREAM_EVENTS:
        return line.upstream in upstreams
    return line.event in HOST_EVENTS and line.node == ended.node


def _row(line: LogLine, at: float, arrived_at: float) -> StoryRow:
    hidden = ("node", "event", "level", "timestamp", "request")
    shown = [f"{k}={v}" for k, v in line.fields.items() if k not in hidden]
    after_ms = round((at - arrived_at) * MS_PER_S, 1)
    return StoryRow(after_ms, line.node, line.event, " ".join(shown))


def _cause(ended: LogLine) -> str:
    known = [text for start, text in CAUSES.items() if ended.outcome.startswith(start)]
    parts = [known[0] if known else "unknown to this program", ended.outcome]
    if ended.attempts:
        parts.append(f"last attempt: {ended.attempts[-1]}")
    elif ended.admitted_ms is None and "over_limit" not in ended.outcome:
        parts.append("it was not admitted before that")
    else:
        parts.append("it was sent to no upstream")
    return "; ".join(parts)
