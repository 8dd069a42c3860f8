"""All processes are killed right after a departure was acknowledged; see claim.txt."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from deployment import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    KEY,
    NOT_RUN,
    Deployment,
    Record,
    Runner,
    configuration,
    has_trouble,
    run_case,
)

SERVICE = "wuno96b"
CLIENTS_PER_EDGE = 6
#: Time for which the processes are down, and age at which the late heartbeat arrives.
DOWN_S = 0.6
LATE_S = 3.0
#: Time for which the leaving runner goes on serving.
LINGER_S = 12.0
NUMBERS = itertools.count(1)


async def send_requests(deployment: Deployment, edge, sent: dict) -> None:
    """Send requests one after the other until cancelled."""
    while True:
        request = f"{next(NUMBERS):016x}"
        headers = {
            "Attempt-Id": request,
            "Deadline-Ms": "1500",
            "Authorization": f"Token {KEY}",
        }
        now = deployment.record.write(f"request {request} sent to {edge.name}")
        sent[request] = now
        status, _, _ = await deployment.request(edge, "/once/2f", headers)
        deployment.record.write(f"request {request} answered {status}")
        await asyncio.sleep(0.1)


async def case(record: Record) -> int:
    """Run the case; return its exit code."""
    deployment = Deployment(record, edges=2, cores=5)
    staying = Runner(deployment, 1, SERVICE, run_s=0.045)
    leaving = Runner(deployment, 2, SERVICE, run_s=0.045)
    clients: list[asyncio.Task] = []
    sent: dict[str, float] = {}
    try:
        await staying.start()
        await leaving.start()
        await deployment.begin(configuration(7))
        clients = [
            asyncio.create_task(send_requests(deployment, edge, sent))
            for edge in deployment.edges
            for _ in range(CLIENTS_PER_EDGE)
        ]
        # In touch: nothing has happened to any machine for `contact_ms`.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 2.0)
        if not leaving.runs:
            record.write("the runner that leaves gets no requests at first")
            return NOT_RUN
        leaving.end_heartbeats()
        late_heartbeat = leaving.heartbeat()
        record.write(f"heartbeat {late_heartbeat['seq']} sent; it will arrive late")
        await asyncio.sleep(0.3)
        if not await leaving.deregister():
            return NOT_RUN
        acknowledged_at = record.write(f"departure of {leaving.id} acknowledged")
        calm_from = acknowledged_at
        if has_trouble():
            await asyncio.sleep(0.05)
            for host in deployment.hosts:
                host.kill()
            record.write("all processes killed")
            await asyncio.sleep(DOWN_S)
            for host in deployment.hosts:
                host.start()
            calm_from = record.write("all processes started again")
        await asyncio.sleep(acknowledged_at + LATE_S - record.write("waiting"))
        arrived = await leaving.announce(late_heartbeat)
        record.write(f"late heartbeat acknowledged: {arrived}")
        await asyncio.sleep(LINGER_S - LATE_S)
        # The runner ends here; its requests of the last moment are not judged.
        since = max(
            acknowledged_at + BOUNDS["drain_ms"] / 1000,
            calm_from + BOUNDS["contact_ms"] / 1000 + 1.0,
        )
        served = sum(at > since for at, _, _ in staying.runs)
        late = [
            at
            for at, request, _ in leaving.runs
            if at > since and sent[request] > since
        ]
        record.write(f"{served} requests reached the runner that stays")
        record.write(f"{len(late)} requests reached {leaving.id} too late")
        if not served:
            return NOT_RUN
        return BROKEN if late else HELD
    finally:
        for client in clients:
            client.cancel()
        staying.stop()
        leaving.stop()
        deployment.stop()


run_case(case, FOLDER)
