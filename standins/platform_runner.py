"""A runner of the users' platform that echoes the request headers and path."""

import json
import os
import socket
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

__all__ = [
    "ANSWER_HEADER",
    "CRASH_BODY",
    "CRASH_PART",
    "CRASH_WORD",
    "DURATION_HEADER",
    "INTERVAL_HEADER",
    "LEAVING_SUFFIX",
    "LIMIT_SUFFIX",
    "PAUSE_SUFFIX",
    "REFUSED_WORD",
    "STREAM_EVENTS",
    "STREAM_PATH",
    "UNFRAMED_HEADER",
    "EchoRunner",
]

#: Simulated duration of a run in seconds, unless the request gives another one.
RUN_DURATION_S = 0.01
#: Request header with the duration of the run in milliseconds.
DURATION_HEADER = "Run-Ms"
#: Beginning of the body of a request that ends the process when it begins to run.
CRASH_BODY = b"crash"
#: Beginning of the id of a prompt part, other than the last, that ends the process when
#: a request with it begins to run.
CRASH_PART = "dead"
#: Last word of the journal line of a run that ended the process.
CRASH_WORD = "crashed"
CRASH_EXIT_CODE = 70
#: Suffix of the file beside the journal with the limit that answers state, in requests
#: a second; without the file they state none.
LIMIT_SUFFIX = ".limit"
#: Suffix of the file beside the journal while which exists answers say that the runner
#: leaves.
LEAVING_SUFFIX = ".leaving"
#: Suffix of the file beside the journal with the pause in seconds that it wants;
#: while it exists, all requests are refused, and recorded with `REFUSED_WORD`.
PAUSE_SUFFIX = ".pause"
REFUSED_WORD = "refused"
#: Beginning of the paths whose requests get a stream of events, the number of these,
#: and the time between two in seconds. The data of an event is the id of its runner.
STREAM_PATH = "/stream/"
STREAM_EVENTS = 20
EVENT_INTERVAL_S = 0.05
#: Request headers with another time between two events, in milliseconds, and of a
#: stream whose response has no length and ends with its connection.
INTERVAL_HEADER = "Event-Ms"
UNFRAMED_HEADER = "Unframed"
#: Request header with the size of the body of the answer, in bytes.
ANSWER_HEADER = "Answer-Bytes"
MISDIRECTED = 421
REFUSED = 503


def _has_crash_part(headers: dict[str, str]) -> bool:
    *shared_parts, _ = headers.get("prefix-hash", "").split(",")
    return any(part.startswith(CRASH_PART) for part in shared_parts)


class EchoRunner(BaseHTTPRequestHandler):
    """Records each run in a journal and responds with the request headers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    journal = None
    runner_id = None
    journal_path = None

    def do_GET(self) -> None:
        """Serve a request: append a journal line, then respond."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        headers = {name.lower(): value for name, value in self.headers.items()}
        if self.runner_id not in (None, headers.get("target-instance")):
            self._refuse(MISDIRECTED)
            return
        pause_s = self._statement(PAUSE_SUFFIX)
        if pause_s is not None:
            self._record(headers, REFUSED_WORD)
            self._refuse(REFUSED, pause_s)
            return
        crashes = body.startswith(CRASH_BODY) or _has_crash_part(headers)
        if self.journal is not None:
            self._record(headers, *([CRASH_WORD] if crashes else []))
            duration_ms = headers.get(DURATION_HEADER.lower())
            time.sleep(float(duration_ms) / 1000 if duration_ms else RUN_DURATION_S)
        if crashes:
            os._exit(CRASH_EXIT_CODE)
        if self.path.startswith(STREAM_PATH):
            self._stream(headers)
            return
        body = json.dumps({"headers": headers, "path": self.path}).encode()
        if ANSWER_HEADER.lower() in headers:
            body = b"a" * int(headers[ANSWER_HEADER.lower()])
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        self.send_header("Server-Signature", "signed")
        limit = self._statement(LIMIT_SUFFIX)
        if limit is not None:
            self.send_header("Server-Limit", limit)
        if self._statement(LEAVING_SUFFIX) is not None:
            self.send_header("Server-Leaving", "1")
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_GET  # noqa: N815 - the name that the library calls

    def _stream(self, headers: dict[str, str]) -> None:
        last_event = int(headers.get("last-event-id") or 0)
        interval_ms = headers.get(INTERVAL_HEADER.lower())
        interval_s = float(interval_ms) / 1000 if interval_ms else EVENT_INTERVAL_S
        is_framed = UNFRAMED_HEADER.lower() not in headers
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        if is_framed:
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.send_header("Connection", "close")
        self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        self.send_header("Server-Signature", "signed")
        self.end_headers()
        for number in range(last_event + 1, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: {self.runner_id}\n\n".encode()
            if is_framed:
                event = b"%x\r\n" % len(event) + event + b"\r\n"
            self.wfile.write(event)
            time.sleep(interval_s)
        if is_framed:
            self.wfile.write(b"0\r\n\r\n")

    def _record(self, headers: dict[str, str], *words: str) -> None:
        request = [headers["attempt-id"], str(headers.get("tenant"))]
        line = [*request, f"{time.monotonic():.3f}", *words]
        self.journal.write(" ".join(line) + "\n")

    def _statement(self, suffix: str) -> str | None:
        """Return what the file of a statement says; None if there is no such file."""
        if self.journal_path is None:
            return None
        try:
            return Path(self.journal_path + suffix).read_text()
        except FileNotFoundError:
            return None

    def _refuse(self, status: int, pause_s: str | None = None) -> None:
        self.send_response(status)
        if pause_s is not None:
            self.send_header("Retry-After", pause_s)
        self.send_header("Content-Length", "0")
        self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        self.send_header("Not-Executed", "1")
        self.end_headers()

    def log_message(self, *arguments: object) -> None:
        """Suppress the request log."""


if __name__ == "__main__":
    if len(sys.argv) > 2:
        EchoRunner.journal = open(sys.argv[2], "a", buffering=1)  # noqa: SIM115
        EchoRunner.journal_path = sys.argv[2]
    if len(sys.argv) > 3:
        EchoRunner.runner_id = sys.argv[3]
    address = ("127.0.0.1", int(sys.argv[1]))
    inherited = len(sys.argv) > 4
    server = ThreadingHTTPServer(address, EchoRunner, bind_and_activate=not inherited)
    if inherited:
        server.socket.close()
        server.socket = socket.socket(fileno=int(sys.argv[4]))
    server.request_queue_size = 128
    server.serve_forever()
