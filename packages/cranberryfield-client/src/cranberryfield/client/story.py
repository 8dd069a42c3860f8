"""The story of one request, from the logs of the processes that saw it."""

import msgspec

from cranberryfield.client.logs import LogLine, clock_offsets

__all__ = ["Story", "StoryRow", "tell_story"]

MS_PER_S = 1000
#: Time before a request's arrival in which what happened to its upstreams and to
#: its host may matter, in seconds.
BEFORE_S = 5.0
ENDED = "request ended"
#: Events of the request's own host that may decide about it.
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
#: What decided, by the beginning of an outcome.
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
    """One thing that happened.

    Attributes
    ----------
    at_ms : float
        When, in milliseconds after the request's arrival, by its host's clock.
    node, event : str
        Who wrote it, and what happened.
    detail : str
        The fields of the line.
    """

    at_ms: float
    node: str
    event: str
    detail: str


class Story(msgspec.Struct, frozen=True):
    """What became of a request, and why.

    Attributes
    ----------
    rows : list of StoryRow
        In the order in which things happened.
    cause : str
        What decided its end.
    uncompared : tuple of str
        Nodes whose clocks could not be compared with the host's.
    """

    rows: list[StoryRow]
    cause: str
    uncompared: tuple[str, ...]


def tell_story(lines: list[LogLine], request: str) -> list[Story]:
    """Tell the stories of a request, one for each time that it came.

    Parameters
    ----------
    lines : list of LogLine
        Lines of all processes.
    request : str
        Its id.

    Returns
    -------
    list of Story
        Empty if no line has the id.
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
