"""A runner of the users' platform that echoes the request headers and path."""

import json
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

__all__ = ["EchoRunner"]

#: Simulated duration of a run in seconds.
RUN_DURATION_S = 0.01


class EchoRunner(BaseHTTPRequestHandler):
    """Records each run in a journal and responds with the request headers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    journal = None

    def do_GET(self) -> None:
        """Serve a request: append a journal line, then respond."""
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        headers = {name.lower(): value for name, value in self.headers.items()}
        if self.journal is not None:
            self.journal.write(f"{headers['attempt-id']} {headers.get('tenant')}\n")
            time.sleep(RUN_DURATION_S)
        body = json.dumps({"headers": headers, "path": self.path}).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        self.send_header("Server-Signature", "signed")
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_GET  # noqa: N815 - the name that the library calls

    def log_message(self, *arguments: object) -> None:
        """Suppress the request log."""


if __name__ == "__main__":
    if len(sys.argv) > 2:
        EchoRunner.journal = open(sys.argv[2], "a", buffering=1)  # noqa: SIM115
    server = ThreadingHTTPServer(("127.0.0.1", int(sys.argv[1])), EchoRunner)
    server.request_queue_size = 128
    server.serve_forever()
