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
from standins.group import Group, HostSpec, running_group
from standins.processes import wait_until

__all__ = ["measure"]

ENTRY_HOSTS = (3, 6, 9)
UPSTREAMS = (4, 8, 12)
DATA_CENTRES = ("plateau", "fann", "almadies", "rufisque")
SETTLE_S = 2.0
WINDOW_S = 4.0
BYTES_PER_KIB = 1024
MIB = 1 << 20
TARGET_CPU_CORES = 0.026
TARGET_BYTES_PER_S = 6000
TARGET_MEMORY_BYTES = 64 * MIB


@dataclass(frozen=True, slots=True)
class _NodeUsage:
    """Usage of one node: cores and bytes/s over a window, memory at its end."""

    cpu: float
    bytes_per_s: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class _RoleUsage:
    """Highest usage among the nodes of a group, by role."""

    entry: _NodeUsage
    leader: _NodeUsage
    follower: _NodeUsage


def _host_plans(entry_hosts: int) -> list[HostSpec]:
    control = [
        HostSpec(f"control-{number + 1}", DATA_CENTRES[number], ("control",))
        for number in range(3)
    ]
    entry = [
        HostSpec(f"entry-{number + 1}", DATA_CENTRES[number % len(DATA_CENTRES)])
        for number in range(entry_hosts)
    ]
    return control + entry


def _measure_usage(group: Group) -> _RoleUsage:
    time.sleep(SETTLE_S)
    before = {node: group.status(node) for node in group.hosts}
    started = time.monotonic()
    time.sleep(WINDOW_S)
    after = {node: group.status(node) for node in group.hosts}
    window_s = time.monotonic() - started
    usages: dict[str, list[_NodeUsage]] = {"entry": [], "leader": [], "follower": []}
    for node, later in after.items():
        role = later["control"]["role"] if later.get("control") else "entry"
        usages[role].append(_usage_between(before[node], later, window_s))
    return _RoleUsage(
        *(_max_usage(usages[role]) for role in ("entry", "leader", "follower"))
    )


def _usage_between(earlier: dict, later: dict, window_s: float) -> _NodeUsage:
    mesh_bytes = sum(
        later[name] - earlier[name]
        for name in ("mesh_sent_bytes", "mesh_received_bytes")
    )
    return _NodeUsage(
        (later["cpu_s"] - earlier["cpu_s"]) / window_s,
        mesh_bytes / window_s,
        later["resident_kib"] * BYTES_PER_KIB,
    )


def _max_usage(usages: list[_NodeUsage]) -> _NodeUsage:
    return _NodeUsage(
        max(usage.cpu for usage in usages),
        max(usage.bytes_per_s for usage in usages),
        max(usage.memory_bytes for usage in usages),
    )


def _apply_fleet_settings(group: Group) -> None:
    revision = group.change_settings(fleet_settings(), "fleets", "entry-1")
    group.wait_for_revision(revision)


def _measure_with_entry_hosts(count: int) -> _RoleUsage:
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), _host_plans(count)) as group,
    ):
        _apply_fleet_settings(group)
        return _measure_usage(group)


def _measure_with_upstreams() -> list[_RoleUsage]:
    usages_by_size = []
    with (
        tempfile.TemporaryDirectory() as folder,
        running_group(Path(folder), _host_plans(ENTRY_HOSTS[0])) as group,
    ):
        _apply_fleet_settings(group)
        for count in UPSTREAMS:
            for number in range(len(group.upstreams), count):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                group.add_service(f"booking-{number}", "booking-app", data_centre)
            wait_until(
                lambda count=count: len(group.known_upstreams("entry-1")) >= count,
                f"{count} upstreams",
            )
            usages_by_size.append(_measure_usage(group))
    return usages_by_size


def _figures(
    sizes: tuple[int, ...], usages_by_size: list[_RoleUsage], object_name: str
) -> list[Figure]:
    measures: list[tuple[str, str, Callable[[_NodeUsage], float], float]] = [
        ("cpu", "core", lambda usage: usage.cpu, TARGET_CPU_CORES),
        ("bytes_per_s", "bytes/s", lambda usage: usage.bytes_per_s, TARGET_BYTES_PER_S),
        ("memory", "bytes", lambda usage: usage.memory_bytes, TARGET_MEMORY_BYTES),
    ]
    figures = []
    for role in ("entry", "leader", "follower"):
        for name, unit, read_value, target in measures:
            costs = [
                read_value(getattr(role_usage, role)) for role_usage in usages_by_size
            ]
            line = fit_slope(list(sizes), costs)
            slope = f"rest.{role}.{name}_per_{object_name}"
            figures.append(line.figure(slope, unit))
            note = f"worst node of its role, at {sizes[-1]} {object_name}s"
            figures.append(
                Figure(
                    f"rest.{role}.{name}_at_{sizes[-1]}_{object_name}s",
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
    usages_by_hosts = [_measure_with_entry_hosts(count) for count in ENTRY_HOSTS]
    return [
        *_figures(ENTRY_HOSTS, usages_by_hosts, "entry_host"),
        *_figures(UPSTREAMS, _measure_with_upstreams(), "upstream"),
    ]
