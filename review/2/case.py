"""A relay that stops makes answers that lead through it look complete.

Clients read streams of runners whose answers have no length and end with their
connection. With the trouble, one runner of five has lost its path to one relay of four
as the streams begin, so that this relay reaches it through another one, and the three
other relays are then stopped in turn, which is planned work.
"""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import (  # noqa: E402
    BOUNDS,
    Broken,
    Connection,
    Group,
    Runner,
    config,
    route,
    run_case,
)

SERVICE = "clerk-lm"
RUNNERS = 5
STREAMS = 10
EVENTS = 36
EVENT_GAP_S = 0.3
DEADLINE_MS = 12_000
#: Time after the start of the streams for which the path is lost.
CUT_S = 0.46
#: `roll_term` of the site file: one machine after the other, each `gap_s`.
FIRST_STOP_S = 1.0
STOP_GAP_S = 1.0


class StreamRunner(Runner):
    """A runner whose streams have no length and end with their connection."""

    has_path = True

    async def start(self) -> None:
        """Listen; without a path, opening packets are lost until `open_path`."""
        if self.has_path:
            await super().start()
            return
        # A listener with a full queue drops opening packets.
        self._listener = socket.socket()
        self._listener.bind((self.ip, self.port))
        self._listener.listen(0)
        self._listener.setblocking(False)
        self._filler = socket.create_connection((self.ip, self.port))
        self._beats = asyncio.create_task(self._send_beats())

    async def open_path(self) -> None:
        """Accept connections from now on."""
        self._filler.close()
        self._listener.listen(128)
        self._server = await asyncio.start_server(self._serve, sock=self._listener)

    async def answer(self, method, path, headers, body, reader, writer) -> bool:
        """Send the whole stream, then close the connection."""
        request = headers.get("attempt-id", "")
        self.record_run(method, path, headers, body)
        head = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {request}",
            f"Server-Signature: {self.name}.{request}",
            "Content-Type: text/event-stream",
            "Connection: close",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number} of {EVENTS}\n\n"
            writer.write(event.encode())
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        self.group.record(f"{self.name} has sent all {EVENTS} events of {request}")
        return False


async def main(group: Group, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await group.start()
    routes = [
        route(
            "r-draft",
            "/draft/",
            "streaming",
            SERVICE,
            timeout_ms=DEADLINE_MS,
            latency_goal_ms=500,
            max_attempts=1,
            itl_target_ms=500,
        )
    ]
    await group.replace_config(config(1, routes, [SERVICE]))
    runners = [
        await group.add_runner(
            f"i-{number:04d}",
            SERVICE,
            number,
            StreamRunner,
            has_path=not (trouble and number == 1),
        )
        for number in range(1, RUNNERS + 1)
    ]
    await group.wait_ready()
    await asyncio.sleep(2 * BOUNDS["contact_ms"] / 1000)
    relay, *others = group.relays
    ends: dict[str, str] = {}
    early: list[str] = []

    async def client(number: int) -> None:
        request = f"q-{number}"
        headers = {
            "Host": "a.example",
            "Attempt-Id": request,
            "Authorization": "Token key-1",
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": "m",
            "Token-Usage": "1460,80",
            "Prefix-Hash": f"{number:08x}:800",
        }
        connection = await Connection.open(f"{relay.ip}:{group.front}")
        group.record(f"sent {request}")
        try:
            answer = await connection.request(
                "POST", "/draft/1", headers, b"draft", DEADLINE_MS / 1000 + 2
            )
            events = answer.body.count(b"\ndata: ")
            ends[request] = f"{answer.status}, whole, {events} of {EVENTS} events"
            if answer.status == 200 and events < EVENTS:
                early.append(request)
        except (Broken, OSError, TimeoutError) as error:
            ends[request] = f"broken off ({error!r})"
        connection.close()
        group.record(f"answered {request}: {ends[request]}")

    tasks = [asyncio.create_task(client(number)) for number in range(STREAMS)]
    began = time.time()
    if trouble:
        await asyncio.sleep(CUT_S)
        await runners[0].open_path()
        for number, other in enumerate(others):
            await asyncio.sleep(
                began + FIRST_STOP_S + number * STOP_GAP_S - time.time()
            )
            other.signal(signal.SIGTERM)
            group.record(f"SIGTERM to {other.name}")
            asyncio.get_running_loop().call_later(
                BOUNDS["grace_s"], other.signal, signal.SIGKILL
            )
    await asyncio.gather(*tasks)
    for request, end in sorted(ends.items()):
        group.say(f"{request}: {end}")
    group.say(
        "answers with a success that look complete without being the runner's whole "
        f"body: {len(early)}"
    )
    return not early


main.sizes = {"controls": 3, "relays": 4}
run_case(main)
