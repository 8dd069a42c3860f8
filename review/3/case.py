"""A control host that acknowledges a departure and is killed takes it with it.

A runner leaves as those do that never report `draining`: it deregisters first and
serves on. With the trouble, the control host that has acknowledged it is killed at
once.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import (  # noqa: E402
    BOUNDS,
    Broken,
    CannotRunError,
    Connection,
    Group,
    Runner,
    call,
    config,
    route,
    run_case,
)

SERVICE = "booking-app"
RUNNERS = 4
WORK_S = 0.5
#: Clients come in groups, one group after each pause.
GROUP_SIZE = 16
PAUSE_S = 3.3
ROUNDS = 4
#: Time for which the leaving runner serves after the acknowledgement: `drain_ms` "and a
#: little longer (at times many seconds)".
SERVES_ON_S = 3.7
#: Time for which the killed machine is down.
DOWN_S = 5.0
DRAIN_S = BOUNDS["drain_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000


class LeavingRunner(Runner):
    """A runner that says in its answers that it leaves, once it does."""

    is_leaving = False

    async def send(self, writer, status: int, headers: dict, body: bytes) -> None:
        """Send a response, with what the runner says of itself."""
        if self.is_leaving:
            headers = {**headers, "Server-Leaving": "1"}
        await super().send(writer, status, headers, body)


async def main(group: Group, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await group.start()
    routes = [route("r-book", "/book/", "non_idempotent", SERVICE)]
    await group.replace_config(config(1, routes, [SERVICE]))
    count = 0

    async def add() -> Runner:
        nonlocal count
        count += 1
        return await group.add_runner(
            f"i-{count:04d}", SERVICE, count, LeavingRunner, work_s=WORK_S
        )

    fleet = [await add() for _ in range(RUNNERS)]
    await group.wait_ready()
    await asyncio.sleep(CONTACT_S)
    sent_at: dict[str, float] = {}
    ends: dict[str, str] = {}

    async def client(relay, request: str) -> None:
        headers = {
            "Host": "a.example",
            "Attempt-Id": request,
            "Authorization": "Token key-1",
            "Deadline-Ms": "1500",
        }
        connection = await Connection.open(f"{relay.ip}:{group.front}")
        sent_at[request] = time.time()
        group.record(f"sent {request}")
        try:
            answer = await connection.request("POST", "/book/1", headers, b"slot")
            ends[request] = str(answer.status)
        except (Broken, OSError, TimeoutError) as error:
            ends[request] = f"closed ({error!r})"
        connection.close()
        group.record(f"answered {request} {ends[request]}")

    async def clients(number: int) -> None:
        await asyncio.gather(
            *(
                client(group.relays[i % len(group.relays)], f"q-{number}-{i}")
                for i in range(GROUP_SIZE)
            )
        )

    departures: dict[str, float] = {}
    killed_at: dict[str, float] = {}
    await clients(0)
    for number in range(1, ROUNDS + 1):
        runner = fleet.pop(0)
        await runner.beat()
        host = next(one for one in group.controls if one.name == runner._control)
        runner._beats.cancel()
        runner.is_leaving = True
        answer = await call(
            f"{host.ip}:{group.control}",
            "POST",
            f"/Instances.Deregister/{runner.name}",
            {"born": runner.born},
            1.0,
        )
        if not 200 <= answer.status < 300:
            raise CannotRunError(f"the departure was answered {answer.status}")
        if trouble:
            host.signal(signal.SIGKILL)
            killed_at[runner.name] = time.time()
        departures[runner.name] = time.time()
        group.record(f"{runner.name} gone, acknowledged by {host.name}")
        if trouble:
            group.record(f"{host.name} killed")
        loop = asyncio.get_running_loop()
        loop.call_later(
            SERVES_ON_S, lambda one=runner: asyncio.ensure_future(one.stop())
        )
        await asyncio.sleep(PAUSE_S)
        await clients(number)
        await asyncio.sleep(DOWN_S - PAUSE_S)
        if trouble:
            host.kill()
            host.start()
            group.record(f"{host.name} started")
        fleet.append(await add())
        await asyncio.sleep(CONTACT_S + BOUNDS["catch_up_s"])
        await clients(100 + number)
        await asyncio.sleep(1.0)
    late = [
        run.request
        for run in group.runs
        if run.runner in departures
        and sent_at[run.request] > departures[run.runner] + DRAIN_S
        and sent_at[run.request] > killed_at.get(run.runner, 0.0) + CONTACT_S
    ]
    unanswered = [one for one in late if ends[one] != "200"]
    group.say(f"requests sent {len(sent_at)}")
    group.say(
        f"departures acknowledged {len(departures)}, hosts killed {len(killed_at)}"
    )
    group.say(
        f"requests sent by clients more than {DRAIN_S} s after a departure was "
        f"acknowledged, by machines in touch, that ran at that runner: {len(late)}"
    )
    group.say(f"of these, without the runner's answer: {len(unanswered)}")
    return not late


main.sizes = {"controls": 5, "relays": 3}
run_case(main)
