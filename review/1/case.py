"""A heartbeat of another writer, whose `born` is of another type, ends the relays.

Clients send bookings on kept connections while the runners of the service are replaced
one after the other, which is planned work. With the trouble, another writer sends
heartbeats like those of a runner, whose `born` is a 128-bit integer.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import (  # noqa: E402
    Broken,
    Connection,
    Group,
    config,
    route,
    run_case,
)

SERVICE = "booking-app"
CONNECTIONS_PER_RELAY = 5
WORK_S = 0.3
RUNNERS = 3
RELEASE_S = 60.0
#: A release replaces runners one at a time. `gap_s` is 0.4 for two at a time in the
#: day of letter 9; the new one starts at the beginning of the gap, the old one drains
#: in the middle.
RELEASE_GAP_S = 0.5
BORN_OF_OTHER_WRITER = 0x9C41D07BE2A35F68_9C41D07BE2A35F68
#: LOST: a kept connection, "more than three times".
MAX_LOST = 3


async def main(group: Group, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await group.start()
    routes = [route("r-book", "/book/", "non_idempotent", SERVICE)]
    await group.replace_config(config(1, routes, [SERVICE]))
    number = 0
    fleet = []
    for _ in range(RUNNERS):
        number += 1
        fleet.append(
            await group.add_runner(f"i-{number:04d}", SERVICE, number, work_s=WORK_S)
        )
    await group.wait_ready()
    await asyncio.sleep(2.0)
    stop = asyncio.Event()
    sent: dict[str, tuple[str, str]] = {}

    async def client(relay, index: int) -> None:
        connection, count = None, 0
        while not stop.is_set():
            if not group.in_rotation[relay.name]:
                await asyncio.sleep(0.1)
                continue
            is_kept = connection is not None and connection.is_open
            count += 1
            request = f"{relay.name}-{index}-{count}"
            headers = {
                "Host": "a.example",
                "Attempt-Id": request,
                "Authorization": "Token key-1",
                "Deadline-Ms": "1500",
            }
            group.record(f"sent {request} {'kept' if is_kept else 'new'}")
            kind = "kept" if is_kept else "new"
            try:
                if not is_kept:
                    connection = await Connection.open(f"{relay.ip}:{group.front}")
                answer = await connection.request("POST", "/book/1", headers, b"slot")
                sent[request] = kind, str(answer.status)
            except (Broken, OSError, TimeoutError) as error:
                sent[request] = kind, "closed"
                group.record(f"closed {request}: {error!r}")
                await asyncio.sleep(0.1)
            group.record(f"answered {request} {sent[request][1]}")

    async def other_writer() -> None:
        sequence = 0
        while not stop.is_set():
            sequence += 1
            message = {
                "service": SERVICE, "address": f"{group.net}.99:8080",
                "zone": "regina-a", "version": "v1", "slots": 4, "state": "ready",
                "cold_left_ms": 0, "seq": sequence, "born": BORN_OF_OTHER_WRITER,
            }  # fmt: skip
            has_ack = await group.send_beat("/Instances.Heartbeat/job-77", message)
            group.record(f"other writer: heartbeat {sequence}, acknowledged {has_ack}")
            await asyncio.sleep(1.2)

    tasks = [
        asyncio.create_task(client(relay, index))
        for relay in group.relays
        for index in range(CONNECTIONS_PER_RELAY)
    ]
    if trouble:
        tasks.append(asyncio.create_task(other_writer()))
    end = time.time() + RELEASE_S
    while time.time() < end:
        # The new runner starts first, the old one drains.
        number += 1
        fleet.append(
            await group.add_runner(f"i-{number:04d}", SERVICE, number, work_s=WORK_S)
        )
        await asyncio.sleep(RELEASE_GAP_S / 2)
        old = fleet.pop(0)
        old.state = "draining"
        await old.beat()
        group.record(f"runner {old.name} drains")
        asyncio.get_running_loop().call_later(
            6.0, lambda one=old: asyncio.ensure_future(one.stop())
        )
        await asyncio.sleep(RELEASE_GAP_S / 2)
    stop.set()
    await asyncio.gather(*tasks)
    begun = {run.request for run in group.runs}
    lost: dict[str, int] = {}
    for request, (kind, end) in sent.items():
        if kind == "kept" and end == "closed" and request in begun:
            relay = request.rsplit("-", 2)[0]
            lost[relay] = lost.get(relay, 0) + 1
    ends = {one.name: len(one.own_ends) for one in group.hosts if one.own_ends}
    served = sum(end == "200" for _, end in sent.values())
    group.say(f"requests sent {len(sent)}, answered with 200 {served}")
    group.say(f"processes that ended by themselves, and how often: {ends}")
    group.say(
        "requests of kept connections that a sound runner ran and whose connection was "
        f"closed without an answer, by machine: {lost} (allowed: {MAX_LOST})"
    )
    return max(lost.values(), default=0) <= MAX_LOST


main.sizes = {"controls": 3, "relays": 6}
run_case(main)
