"""Timelines of a request, built from the logs of several processes."""

import msgspec

from cranberryfield.client.logs import LogLine, estimate_clock_offsets

__all__ = ["RequestTimeline", "TimelineEvent", "build_timelines"]

MS_PER_S = 1000
#: Events of the request's host and upstreams are included from this many seconds
#: before its arrival; crashes during earlier attempts of its caller always are.
LOOKBACK_S = 5.0
REQUEST_ENDED = "request ended"
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
        "upstream crashed",
        "upstream departed",
        "upstream forgotten",
        "upstream known",
    }
)
#: Events of all hosts that name the request by its fingerprint.
SUSPECT_EVENTS = frozenset(
    {
        "connection lost, upstream still accepts",
        "request suspected",
        "request no longer suspected",
    }
)
#: Events of all hosts that name a part of the request's prompt.
PART_EVENTS = frozenset(
    {"request suspected", "prompt part refused", "prompt part no longer refused"}
)
#: Printed causes by prefix of the outcome; the first matching prefix applies.
CAUSES_BY_OUTCOME_PREFIX = {
    "refused: over_limit": "its workspace's quota was used up",
    "refused: no_upstream": "no upstream took it",
    "refused: request_crashes_upstreams": "upstreams crashed while they ran it",
    "refused: upstream_failed": "its last attempt failed after it may have run",
    "deadline passed": "its time was over",
    "caller left": "its caller closed the connection",
    "answered 5": "its upstream answered with a failure",
    "answered": "nothing failed",
    "streamed": "nothing failed",
}


class TimelineEvent(msgspec.Struct, frozen=True):
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


class RequestTimeline(msgspec.Struct, frozen=True):
    """Timeline and cause of the outcome of one request.

    Attributes
    ----------
    rows : list of TimelineEvent
        Events in chronological order.
    cause : str
        Cause of the request's outcome.
    uncompared : tuple of str
        Nodes whose clock offset from the serving host is unknown.
    """

    rows: list[TimelineEvent]
    cause: str
    uncompared: tuple[str, ...]


def build_timelines(lines: list[LogLine], request: str) -> list[RequestTimeline]:
    """Build the timelines of a request, one per ``request ended`` line.

    Parameters
    ----------
    lines : list of LogLine
        Log lines of all processes.
    request : str
        Id of the request.

    Returns
    -------
    list of RequestTimeline
        Empty if no ``request ended`` line has the id.
    """
    return [
        _build_timeline(lines, line)
        for line in lines
        if line.event == REQUEST_ENDED and line.request == request
    ]


def _build_timeline(lines: list[LogLine], end_line: LogLine) -> RequestTimeline:
    arrival_s = end_line.unix_s - end_line.took_ms / MS_PER_S
    upstreams = {attempt.partition(":")[0] for attempt in end_line.attempts}
    offsets = {**estimate_clock_offsets(lines, end_line.node), end_line.node: 0.0}
    rows, uncompared = [_event(end_line, end_line.unix_s, arrival_s)], set()
    for line in lines:
        if not _is_relevant(line, end_line, upstreams):
            continue
        event_s = line.unix_s - offsets.get(line.node, 0.0)
        is_recent = (
            event_s >= arrival_s - LOOKBACK_S
            or line.event in SUSPECT_EVENTS | PART_EVENTS
        )
        if is_recent and event_s <= end_line.unix_s:
            rows.append(_event(line, event_s, arrival_s))
            if line.node not in offsets:
                uncompared.add(line.node)
    rows.sort(key=lambda row: row.at_ms)
    return RequestTimeline(rows, _cause(end_line), tuple(sorted(uncompared)))


def _is_relevant(line: LogLine, end_line: LogLine, upstreams: set[str]) -> bool:
    if line.event in PART_EVENTS and _names_refused_part(line, end_line):
        return True
    if line.event in SUSPECT_EVENTS:
        return line.fingerprint == end_line.fingerprint
    if line.event in UPSTREAM_EVENTS:
        return line.upstream in upstreams
    return line.event in HOST_EVENTS and line.node == end_line.node


def _names_refused_part(line: LogLine, end_line: LogLine) -> bool:
    """Return whether a line is of the prompt part for which a request was refused.

    Of crashes, only the line of the host that noticed it is.
    """
    if line.told_by not in (None, line.node):
        return False
    parts = (line.prompt_part, *line.prompt_parts)
    return any(part and part in end_line.outcome for part in parts)


def _event(line: LogLine, event_s: float, arrival_s: float) -> TimelineEvent:
    omitted_fields = ("node", "event", "level", "timestamp", "request")
    details = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in omitted_fields
    ]
    at_ms = round((event_s - arrival_s) * MS_PER_S, 1)
    return TimelineEvent(at_ms, line.node, line.event, " ".join(details))


def _cause(end_line: LogLine) -> str:
    causes = [
        text
        for prefix, text in CAUSES_BY_OUTCOME_PREFIX.items()
        if end_line.outcome.startswith(prefix)
    ]
    parts = [causes[0] if causes else "unknown to this program", end_line.outcome]
    if end_line.attempts:
        parts.append(f"last attempt: {end_line.attempts[-1]}")
    elif end_line.admitted_ms is None and "over_limit" not in end_line.outcome:
        parts.append("it was not admitted before that")
    else:
        parts.append("it was sent to no upstream")
    return "; ".join(parts)
