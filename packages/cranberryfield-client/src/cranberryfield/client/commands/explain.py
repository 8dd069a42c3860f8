"""The ``cranberryfield explain`` command."""

from pathlib import Path

from cyclopts import App

from cranberryfield.client.logs import read_logs
from cranberryfield.client.output import print_progress, print_rows, print_value
from cranberryfield.client.timeline import build_timelines
from cranberryfield.core.errors import CallerError, ErrorKind

__all__ = ["app"]

app = App(
    name="explain",
    help="Explain the outcome of a request from log files.",
)


@app.default
def explain_request(id: str, *files: Path, json: bool = False) -> None:
    """Show the timeline of a request from the logs of several processes.

    Parameters
    ----------
    id : str
        Id of the request, as logged by its caller.
    files : Path
        Log files of relays and control hosts.
    json : bool
        Print JSON instead of a table.
    """
    logs = read_logs(files)
    for fault in logs.faults:
        print_progress(fault)
    timelines = build_timelines(logs.lines, id)
    if not timelines:
        detail = (
            f"none of {len(logs.lines)} log lines records the end of request {id!r}"
        )
        raise CallerError(ErrorKind.UNKNOWN_REQUEST, detail)
    for timeline in timelines:
        if json:
            print_value(timeline, as_json=True)
            continue
        print_rows(timeline.rows, as_json=False)
        print(f"cause: {timeline.cause}")
        for node in timeline.uncompared:
            print_progress(f"the clock of {node} could not be compared")
