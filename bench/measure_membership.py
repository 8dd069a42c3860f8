"""Membership traffic per entry host, and propagation time of a departure."""

import logging
import time

import anyio
import structlog

from bench.figures import Figure
from cranberryfield.core.clock import monotonic_clock
from cranberryfield.entry.membership import live_peers
from cranberryfield.entry.membership.announcements import Announcement, LeaveRequest
from standins.membership_host import MembershipHost, wait_until_async

#: Ratio at the design size: 930 upstreams on 360 entry hosts.
UPSTREAMS_PER_HOST = 930 / 360
HOSTS = (9, 18, 36)
SERVICES = 3
DATA_CENTRES = 7
LEASE_MS = 2000
RENEWALS_PER_LEASE = 3
SETTLE_S = 6.0
WINDOW_S = 8.0
LEAVES = 5
TARGET_BYTES_PER_S = 6000
TARGET_LEAVE_S = 3.0
TARGET_CPU_PERCENT = 2.6


def measure() -> list[Figure]:
    """Measure groups of several sizes in sequence, all within this process."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    figures = []
    for count in HOSTS:
        figures += anyio.run(_measure_group, count)
    return figures


async def _measure_group(count: int) -> list[Figure]:
    async with anyio.create_task_group() as tasks:
        hosts: list[MembershipHost] = []
        for number in range(count):
            seeds = (hosts[0].address,) if hosts else ()
            data_centre = f"d{number % DATA_CENTRES}"
            host = MembershipHost(f"entry-{number}", data_centre, seeds=seeds)
            await host.start(tasks)
            hosts.append(host)
        await wait_until_async(lambda: _all_known(hosts), "all hosts are known", 60)
        upstreams = round(count * UPSTREAMS_PER_HOST)
        for number in range(upstreams):
            tasks.start_soon(_announce_until_leaving, hosts[number % count], number)
        await anyio.sleep(SETTLE_S)
        before = [host.mesh.traffic_bytes for host in hosts]
        cpu_s = time.process_time()
        await anyio.sleep(WINDOW_S)
        cpu_s = time.process_time() - cpu_s
        after = [host.mesh.traffic_bytes for host in hosts]
        rates = [
            (sum(end) - sum(start)) / WINDOW_S
            for start, end in zip(before, after, strict=True)
        ]
        leave_delays_s = [await _time_leave(hosts, number) for number in range(LEAVES)]
        tasks.cancel_scope.cancel()
    note = f"{count} hosts, {upstreams} upstreams, sent and received payload"
    link_counts = [len(host.mesh.peers) for host in hosts]
    return [
        Figure(
            f"membership.bytes_per_host.{count}",
            sum(rates) / count,
            "B/s",
            TARGET_BYTES_PER_S,
            note=note,
        ),
        Figure(
            f"membership.bytes_busiest_host.{count}",
            max(rates),
            "B/s",
            TARGET_BYTES_PER_S,
            note=note,
        ),
        Figure(f"membership.links_busiest_host.{count}", max(link_counts), "links"),
        Figure(
            f"membership.cpu_per_host.{count}",
            cpu_s / WINDOW_S / count * 100,
            "% of a core",
            TARGET_CPU_PERCENT,
        ),
        Figure(
            f"membership.leave_known_everywhere.{count}",
            max(leave_delays_s),
            "s",
            TARGET_LEAVE_S,
            note=f"slowest of {LEAVES}",
        ),
    ]


def _all_known(hosts: list[MembershipHost]) -> bool:
    now = monotonic_clock()
    return all(len(live_peers(host.peers, now)) == len(hosts) for host in hosts)


async def _announce_until_leaving(host: MembershipHost, number: int) -> None:
    announcement = Announcement(
        f"upstream-{number}",
        1,
        f"service-{number % SERVICES}",
        f"d{number % DATA_CENTRES}",
        "127.0.0.1:9",
        LEASE_MS,
        capabilities=("resume", "cancel", "kv", "orders"),
        capacity=16,
    )
    pause_s = LEASE_MS / 1000 / RENEWALS_PER_LEASE
    await anyio.sleep(number % 10 / 10 * pause_s)
    while not _is_leaving(host, number):
        host.leases.announce(announcement)
        await anyio.sleep(pause_s)


def _is_leaving(host: MembershipHost, number: int) -> bool:
    known = host.upstreams.upstreams.get(f"upstream-{number}")
    return known is not None and known.record.leaving


async def _time_leave(hosts: list[MembershipHost], number: int) -> float:
    started = monotonic_clock()
    hosts[(number * 7) % len(hosts)].leases.leave(LeaveRequest(f"upstream-{number}", 1))
    await wait_until_async(
        lambda: all(_is_leaving(host, number) for host in hosts), "leave"
    )
    return monotonic_clock() - started
