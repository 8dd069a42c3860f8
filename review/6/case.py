"""The keys of the last tenant are taken away; see claim.txt."""

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
UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz"
NUMBERS = itertools.count(1)


async def send(deployment: Deployment, edge, key: str) -> str:
    """Send a client's request; return its id."""
    request = f"{next(NUMBERS):016x}"
    headers = {
        "Attempt-Id": request,
        "Deadline-Ms": "1500",
        "Authorization": f"Token {key}",
    }
    deployment.record.write(f"request {request} with key {key} sent to {edge.name}")
    status, _, _ = await deployment.request(edge, "/once/2f", headers)
    deployment.record.write(f"request {request} answered {status}")
    return request


async def case(record: Record) -> int:
    """Run the case; return its exit code."""
    deployment = Deployment(record, edges=2, cores=5)
    runner = Runner(deployment, 1, SERVICE, run_s=0.02)
    try:
        await runner.start()
        await deployment.begin(configuration(7))
        await asyncio.sleep(3.0)
        before = [await send(deployment, edge, KEY) for edge in deployment.edges]
        if not set(before) <= {request for _, request, _ in runner.runs}:
            record.write("requests with the key do not run before it is taken away")
            return NOT_RUN
        # Without the disruption the same configuration keeps the tenant and its key.
        changes = {"tenants": []} if has_trouble() else {}
        core = deployment.cores[1]
        status = await deployment.control(
            core, "POST", "/Config.Replace", configuration(9, **changes)
        )
        record.write(f"version 9 answered {status} by {core.name}")
        if status != 200:
            return NOT_RUN
        await asyncio.sleep(BOUNDS["revoke_ms"] / 1000 + 1.0)
        revoked, unknown = [], []
        for _ in range(5):
            for edge in deployment.edges:
                revoked.append(await send(deployment, edge, KEY))
                unknown.append(await send(deployment, edge, UNKNOWN_KEY))
        ran = {request for _, request, _ in runner.runs}
        late = [request for request in revoked if request in ran]
        strange = [request for request in unknown if request in ran]
        record.write(f"{len(late)} of {len(revoked)} requests with the key have run")
        record.write(
            f"{len(strange)} of {len(unknown)} requests with a key that no "
            "configuration ever held have run"
        )
        if not has_trouble():
            return BROKEN if strange else HELD
        return BROKEN if late or strange else HELD
    finally:
        runner.stop()
        deployment.stop()


run_case(case, FOLDER)
