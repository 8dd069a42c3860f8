"""Cost of an idle node: processor time, mesh traffic and memory.

The groups have three control hosts and 3, 6 or 9 entry hosts without upstreams,
or three entry hosts with 4, 8 or 12 upstreams that announce themselves. The cost
includes the two HTTP requests per window that read a node's counters.
"""

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bench.figures import Figure
from bench.slopes import fit_slope
from standins.fleets import fleet_settings
from standins.group import Group, HostPlan, running_group
from standins.processes import wait_until

__all__ = ["measure"]

ENTRY_HOSTS = (3, 6, 9)
UPSTREAMS = (4, 8, 12)
DATA_CENTRES = ("plateau", "fann", "almadies", "rufisque")
SETTLE_S = 2.0
WINDOW_S = 4.0
BYTES_PER_KIB = 1024
MIB = 1 << 20
CPU_TARGET = 0.026
BYTES_TARGET = 6000
MEMORY_TARGET = 64 * MIB


@dataclass(frozen=True, slots=True)
class _Cost:
    """Usage of one node: cores and bytes/s over a window, memory at its end."""

    cpu: float
    bytes_per_s: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class _Reading:
    """Highest usage among the nodes of a group, by role."""

    entry: _Cost
    leader: _Cost
    follower: _Cost


def _plans(entry_hosts: int) -> list[HostPlan]:
    control = [
        HostPlan(f"control-{number + 1}", DATA_CENTRES[number], ("control",))
        for number in range(3)
    ]
    entry = [
        HostPlan(f"entry-{number + 1}", DATA_CENTRES[number % len(DATA_CENTRES)])
        for number in range(entry_hosts)
    ]
    return control + entry


def _read(group: Group) -> _Reading:
    time.sleep(SETTLE_S)
    before = {node: group.status(node) for node in group.hosts}
    started = time.monotonic()
    time.sleep(WINDOW_S)
    after = {node: group.status(node) for node in group.hosts}
    window_s = time.monotonic() - started
    costs: dict[str, list[_Cost]] = {"entry": [], "leader": [], "follower": []}
    for node, later in after.items():
        role = later["control"]["role"] if later.get("control") else "entry"
        costs[role].append(_cost(before[node], later, window_s))
    return _Reading(*(_worst(costs[role]) for role in ("entry", "leader", "follower")))


def _cost(earlier: dict, later: dict, window_s: float) -> _Cost:
    moved = sum(
        later[name] - earlier[name]
        for name in ("mesh_sent_bytes", "mesh_received_bytes")
    )
    return _Cost(
        (later["cpu_s"] - earlier["cpu_s"]) / window_s,
        moved / window_s,
        later["resident_kib"] * BYTES_PER_KIB,
    )


def _worst(costs: list[_Cost]) -> _Cost:
    return _Cost(
        max(cost.cpu for cost in costs),
        max(cost.bytes_per_s for cost in costs),
        max(cost.memory_bytes for cost in costs),
    )


def _start(group: Group) -> None:
    revision = group.change_settings(fleet_settings(), "fleets", "entry-1")
    group.wait_revision(revision)


def _with_entry_hosts(count: int) -> _Reading:
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), _plans(count)) as group,
    ):
        _start(group)
        return _read(group)


def _with_upstreams() -> list[_Reading]:
    readings = []
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), _plans(ENTRY_HOSTS[0])) as group,
    ):
        _start(group)
        for count in UPSTREAMS:
            for number in range(len(group.upstreams), count):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                group.add_service(f"booking-{number}", "booking-app", data_centre)
            wait_until(
                lambda count=count: len(group.known_upstreams("entry-1")) >= count,
                f"{count} upstreams",
            )
            readings.append(_read(group))
    return readings


def _figures(
    sizes: tuple[int, ...], readings: list[_Reading], what: str
) -> list[Figure]:
    parts: list[tuple[str, str, Callable[[_Cost], float], float]] = [
        ("cpu", "core", lambda cost: cost.cpu, CPU_TARGET),
        ("bytes_per_s", "bytes/s", lambda cost: cost.bytes_per_s, BYTES_TARGET),
        ("memory", "bytes", lambda cost: cost.memory_bytes, MEMORY_TARGET),
    ]
    figures = []
    for role in ("entry", "leader", "follower"):
        for name, unit, part, target in parts:
            costs = [part(getattr(reading, role)) for reading in readings]
            line = fit_slope(list(sizes), costs)
            slope = f"rest.{role}.{name}_per_{what}"
            figures.append(line.figure(slope, unit))
            note = f"worst node of its role, at {sizes[-1]} {what}s"
            figures.append(
                Figure(
                    f"rest.{role}.{name}_at_{sizes[-1]}_{what}s",
                    costs[-1],
                    unit,
                    target,
                    note=note,
                )
            )
    return figures


def measure() -> list[Figure]:
    """Measure idle nodes.

    Returns
    -------
    list of Figure
        Slopes over entry hosts and over upstreams, and the cost at the largest
        size against the limit for the control overhead of a node.
    """
    by_hosts = [_with_entry_hosts(count) for count in ENTRY_HOSTS]
    return [
        *_figures(ENTRY_HOSTS, by_hosts, "entry_host"),
        *_figures(UPSTREAMS, _with_upstreams(), "upstream"),
    ]
