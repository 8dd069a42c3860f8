"""Control group: claim throughput, settings propagation, elections, idle cost."""

import os
import statistics
import tempfile
import time
import uuid
from contextlib import contextmanager
from pathlib import Path

import anyio
import httpx

from bench.figures import Figure
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.claims import OpenClaim
from cranberryfield.core.messages.commands import ChangeSettings, LevelEdit
from cranberryfield.core.messages.control import ReadHolders, ReadTraffic
from cranberryfield.core.proposals import Proposer
from standins.control_client import ControlClient, make_mesh, running_client
from standins.group import Group, HostSpec, running_group
from standins.processes import wait_until

__all__ = ["measure"]

CONTROL_HOSTS = [f"control-{number}" for number in (1, 2, 3)]
CLAIMS = 20_000
CONCURRENT_CLAIMS = 32
SETTINGS_CHANGES = 20
MISSED_CHANGES = 500
ELECTIONS = 4
REST_WINDOW_S = 6.0
REST_ENTRY_HOSTS = (3, 6, 9)
TIMEOUT_S = 15.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

TARGET_CLAIMS_PER_S = 2000
TARGET_CLAIM_P95_S = 0.020
TARGET_IN_FORCE_S = 1.0
TARGET_RESTART_S = 2.0
TARGET_ELECTION_S = 2.0
TARGET_REST_BYTES_PER_S = 6000
TARGET_REST_CORES = 0.026
TARGET_REST_MEMORY_BYTES = 64e6


def _host_plans(entry_hosts: int) -> list[HostSpec]:
    control = [HostSpec(node, "plateau", ("control",)) for node in CONTROL_HOSTS]
    entry = [
        HostSpec(f"entry-{number + 1}", "plateau") for number in range(entry_hosts)
    ]
    return control + entry


@contextmanager
def _group(entry_hosts: int):
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), _host_plans(entry_hosts)) as group,
        running_client(group) as client,
    ):
        wait_until(
            lambda: len(client.ask(ReadHolders(0)).holders) == entry_hosts,
            "all entry hosts follow",
        )
        yield group, client


def _change_queue_limit(client: ControlClient, limit: int) -> int:
    edit = LevelEdit("system", None, {"queue_limit": limit})
    change = ChangeSettings(uuid.uuid4().hex, "bench", (edit,))
    return client.propose(change).revision


def _percentile(values: list[float], percent: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


async def _run_claim_load(addresses: dict[NodeId, str]) -> tuple[float, list[float]]:
    mesh = make_mesh("bench-load")
    latencies: list[float] = []
    async with anyio.create_task_group() as dials:
        for address in addresses.values():
            dials.start_soon(mesh.dial, address)
        while not all(mesh.is_linked(node) for node in addresses):
            await anyio.sleep(0.01)
        proposer = Proposer(mesh, lambda: tuple(addresses), monotonic_clock)
        await proposer.propose(_open_claim("first"), TIMEOUT_S)
        started = time.perf_counter()
        async with anyio.create_task_group() as load:
            for worker in range(CONCURRENT_CLAIMS):
                load.start_soon(_propose_claims, proposer, worker, latencies)
        elapsed_s = time.perf_counter() - started
        dials.cancel_scope.cancel()
    return elapsed_s, latencies


async def _propose_claims(
    proposer: Proposer, worker: int, latencies: list[float]
) -> None:
    for number in range(CLAIMS // CONCURRENT_CLAIMS):
        started = time.perf_counter()
        await proposer.propose(_open_claim(f"{worker}-{number}"), TIMEOUT_S)
        latencies.append(time.perf_counter() - started)


def _open_claim(key: str) -> OpenClaim:
    digest = b"d" * 32
    return OpenClaim("notary", key, digest, "bench-load", "session", key, 600_000)


def _measure_claims() -> list[Figure]:
    with _group(0) as (group, _):
        addresses = {NodeId(node): group.hosts[node].mesh for node in CONTROL_HOSTS}
        elapsed_s, latencies = anyio.run(_run_claim_load, addresses)
    note = f"{CONCURRENT_CLAIMS} at a time, one client process, synced"
    return [
        Figure(
            "control.claims_per_s",
            len(latencies) / elapsed_s,
            "1/s",
            TARGET_CLAIMS_PER_S,
            True,
            note,
        ),
        Figure(
            "control.claim_p95",
            _percentile(latencies, 95),
            "s",
            TARGET_CLAIM_P95_S,
            note=note,
        ),
        Figure("control.claim_p50", _percentile(latencies, 50), "s", note=note),
    ]


def _measure_settings() -> list[Figure]:
    with _group(9) as (group, client):
        delays_s = [
            _time_in_force(client, limit) for limit in range(1, SETTINGS_CHANGES + 1)
        ]
        restart_s = _time_restart(group, client)
        elections_s = [_time_election(group, client) for _ in range(ELECTIONS)]
    return [
        Figure(
            "settings.in_force_p50",
            statistics.median(delays_s),
            "s",
            TARGET_IN_FORCE_S,
            note=f"{SETTINGS_CHANGES} changes, 9 entry hosts, "
            "read back through the leader",
        ),
        Figure("settings.in_force_max", max(delays_s), "s", 4.0),
        Figure(
            "settings.restart",
            restart_s,
            "s",
            TARGET_RESTART_S,
            note=f"from the start of a process that missed {MISSED_CHANGES} changes",
        ),
        Figure(
            "control.election_max",
            max(elections_s),
            "s",
            TARGET_ELECTION_S,
            note=f"{ELECTIONS} leaders killed; until a change is accepted",
        ),
        Figure("control.election_p50", statistics.median(elections_s), "s"),
    ]


def _time_in_force(client: ControlClient, limit: int) -> float:
    started = time.perf_counter()
    revision = _change_queue_limit(client, limit)
    while len(client.ask(ReadHolders(revision)).holders) < 9:
        time.sleep(0.005)
    return time.perf_counter() - started


def _time_restart(group: Group, client: ControlClient) -> float:
    process = group.hosts["entry-1"].process
    process.kill()
    for limit in range(MISSED_CHANGES):
        revision = _change_queue_limit(client, limit)
    started = time.perf_counter()
    process.start()
    url = f"http://{group.hosts['entry-1'].callers}/healthz/ready"
    wait_until(lambda: _is_ready(url), "the restarted host is ready")
    elapsed_s = time.perf_counter() - started
    if group.status("entry-1")["settings_revision"] < revision:
        raise RuntimeError(
            "entry-1 reported ready before it had applied the last settings revision"
        )
    return elapsed_s


def _is_ready(url: str) -> bool:
    try:
        return httpx.get(url, trust_env=False).is_success
    except httpx.HTTPError:
        return False


def _find_leader(group: Group) -> str:
    leaders: list[str] = []

    def has_leader() -> bool:
        for node in CONTROL_HOSTS:
            view = group.status(node)
            if view and view["control"]["role"] == "leader":
                leaders.append(node)
        return bool(leaders)

    wait_until(has_leader, "a leader")
    return leaders[-1]


def _time_election(group: Group, client: ControlClient) -> float:
    leader = _find_leader(group)
    process = group.hosts[leader].process
    process.kill()
    started = time.perf_counter()
    _change_queue_limit(client, 1)
    elapsed_s = time.perf_counter() - started
    process.start()
    wait_until(
        lambda: (view := group.status(leader)) and view["control"]["leader"],
        "the killed host follows",
    )
    return elapsed_s


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _memory_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def _bytes_by_node(group: Group, client: ControlClient) -> dict[str, int]:
    views = {node: client.ask_node(node, ReadTraffic()) for node in group.hosts}
    return {node: view.sent + view.received for node, view in views.items()}


def _measure_rest(entry_hosts: int) -> dict[str, dict[str, float]]:
    """Return the idle cost of a node (bytes/s, cores, memory) by kind of node."""
    with _group(entry_hosts) as (group, client):
        _change_queue_limit(client, 1)
        leader = _find_leader(group)
        time.sleep(1.0)
        pids = {node: host.process.pid for node, host in group.hosts.items()}
        cpu_before = {node: _cpu_s(pid) for node, pid in pids.items()}
        bytes_before = _bytes_by_node(group, client)
        started = time.perf_counter()
        time.sleep(REST_WINDOW_S)
        elapsed_s = time.perf_counter() - started
        bytes_after = _bytes_by_node(group, client)
        kinds = {
            "leader": [leader],
            "follower": [node for node in CONTROL_HOSTS if node != leader],
            "entry": [node for node in pids if node not in CONTROL_HOSTS],
        }
        return {
            kind: {
                "bytes_per_s": statistics.mean(
                    (bytes_after[node] - bytes_before[node]) / elapsed_s
                    for node in nodes
                ),
                "cores": statistics.mean(
                    (_cpu_s(pids[node]) - cpu_before[node]) / elapsed_s
                    for node in nodes
                ),
                "memory": statistics.mean(_memory_bytes(pids[node]) for node in nodes),
            }
            for kind, nodes in kinds.items()
        }


def _fitted_slope(sizes: tuple[int, ...], values: list[float]) -> float:
    return statistics.linear_regression(sizes, values).slope


def _measure_rest_slopes() -> list[Figure]:
    rests = [_measure_rest(size) for size in REST_ENTRY_HOSTS]
    targets = {
        "bytes_per_s": ("B/s", TARGET_REST_BYTES_PER_S),
        "cores": ("core", TARGET_REST_CORES),
        "memory": ("B", TARGET_REST_MEMORY_BYTES),
    }
    sizes = ", ".join(map(str, REST_ENTRY_HOSTS))
    figures = []
    for kind in ("leader", "follower", "entry"):
        for name, (unit, target) in targets.items():
            values = [rest[kind][name] for rest in rests]
            figures.append(
                Figure(
                    f"rest.{kind}.{name}",
                    values[-1],
                    unit,
                    target,
                    note=f"3 control and {REST_ENTRY_HOSTS[-1]} entry hosts, "
                    f"{REST_WINDOW_S:g} s, payload on the mesh",
                )
            )
            figures.append(
                Figure(
                    f"rest.{kind}.{name}_per_entry_host",
                    _fitted_slope(REST_ENTRY_HOSTS, values),
                    f"{unit} per host",
                    note=f"slope over {sizes} entry hosts",
                )
            )
    return figures


def measure() -> list[Figure]:
    """Measure the control group.

    Returns
    -------
    list of Figure
        Throughput, latencies, and the cost of an idle node.
    """
    return [*_measure_claims(), *_measure_settings(), *_measure_rest_slopes()]
