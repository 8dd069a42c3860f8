"""After a restart a relay refuses proper requests by limits that no version holds.

Every configuration of the case allows heads of 64 KiB. Clients send heads of some
30 kB, as their prompts have many parts. With the trouble, the relays are stopped and
started in turn, which is planned work.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import (  # noqa: E402
    BOUNDS,
    Broken,
    Connection,
    Group,
    config,
    route,
    run_case,
)

SERVICE = "clerk-lm"
#: Entries of `Prefix-Hash`, of some 20 bytes each.
PARTS = 1500
LIMITS = {
    "max_header_bytes": 65536,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
DRAFTS = 24
CONTACT_S = BOUNDS["contact_ms"] / 1000
#: `roll_term` of the site file: one machine after the other, each `gap_s`.
STOP_GAP_S = 2.0


async def main(group: Group, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    await group.start()
    routes = [
        route("r-draft", "/draft/", "non_idempotent", SERVICE, timeout_ms=5000),
        route("r-look", "/look/", "idempotent", SERVICE),
    ]
    await group.replace_config(config(1, routes, [SERVICE], limits=LIMITS))
    for number in (1, 2, 3):
        await group.add_runner(f"i-{number:04d}", SERVICE, number)
    await group.wait_ready()
    await asyncio.sleep(CONTACT_S)
    ends: dict[str, str] = {}

    async def send(relay, request: str, path: str, parts: int) -> None:
        headers = {
            "Host": "a.example",
            "Attempt-Id": request,
            "Authorization": "Token key-1",
            "Deadline-Ms": "5000",
        }
        if parts:
            entries = (f"{0x9BD03F06AA5C0000 + one:x}:10" for one in range(parts))
            headers["Model"] = "m"
            headers["Token-Usage"] = f"{10 * parts},80"
            headers["Prefix-Hash"] = ",".join(entries)
        connection = await Connection.open(f"{relay.ip}:{group.front}")
        size = sum(len(name) + len(value) + 4 for name, value in headers.items())
        group.record(f"sent {request} POST {path} with a head of {size} bytes")
        try:
            answer = await connection.request("POST", path, headers, b"draft", 7.0)
            own = "" if "server-signature" in answer.headers else " (of the system)"
            ends[request] = f"{answer.status}{own}"
        except (Broken, OSError, TimeoutError) as error:
            ends[request] = f"closed ({error!r})"
        connection.close()
        group.record(f"answered {request} {ends[request]}")

    # One of the few requests that show which configuration a machine has in force.
    for relay in group.relays:
        await send(relay, f"look-{relay.name}", "/look/1", 0)
    if trouble:
        for relay in group.relays:
            relay.signal(signal.SIGTERM)
            group.record(f"SIGTERM to {relay.name}")
            await asyncio.to_thread(relay.process.wait, BOUNDS["grace_s"])
            relay.start()
            group.record(f"{relay.name} started")
            await asyncio.sleep(STOP_GAP_S)
        await group.wait_ready()
    await asyncio.sleep(CONTACT_S + 0.5)
    for number in range(DRAFTS):
        relay = group.relays[number % len(group.relays)]
        await send(relay, f"draft-{number}", "/draft/1", PARTS)
    denied = [one for one, end in ends.items() if end == "431 (of the system)"]
    reset = [one for one, end in ends.items() if end.startswith("closed")]
    allowed = 5 + len(ends) / 500
    group.say(f"requests sent {len(ends)}: {sorted(set(ends.values()))}")
    group.say(
        f"proper requests ended with a 431 of the system: {len(denied)} "
        f"(allowed: {allowed:.1f}); closed without an answer: {len(reset)}"
    )
    return len(denied) <= allowed


main.sizes = {"controls": 3, "relays": 3}
run_case(main)
