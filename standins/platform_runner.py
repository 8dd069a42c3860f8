"""A runner of the users' platform that answers with what it was sent."""

import json
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Runner(BaseHTTPRequestHandler):
    """Answers each request with its headers."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer with the headers as they came."""
        headers = {name.lower(): value for name, value in self.headers.items()}
        body = json.dumps({"headers": headers, "path": self.path}).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        self.send_header("Server-Signature", "signed")
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments: object) -> None:
        """Write no log."""


if __name__ == "__main__":
    ThreadingHTTPServer(("127.0.0.1", int(sys.argv[1])), Runner).serve_forever()
