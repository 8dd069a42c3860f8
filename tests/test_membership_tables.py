import anyio

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.entry.membership import leased_upstreams, live_peers
from cranberryfield.entry.membership.announcements import Announcement, LeaveRequest
from standins.processes import free_port
from standins.proxy import FaultProxy
from standins.tables import TableHost, wait_for


def run_hosts(scenario, count=3):
    """Run a scenario on hosts that connect to each other only through proxies."""

    async def run():
        async with anyio.create_task_group() as tasks:
            hosts, proxies = [], []
            for number in range(count):
                port = free_port()
                proxy = FaultProxy(free_port(), port)
                await tasks.start(proxy.run)
                host = TableHost(
                    f"entry-{number}",
                    "d",
                    f"127.0.0.1:{port}",
                    f"127.0.0.1:{proxy.port}",
                    tuple(one.told_address for one in hosts[:1]),
                )
                await host.start(tasks)
                hosts.append(host)
                proxies.append(proxy)
            await wait_for(
                lambda: all(live_peer_count(one) == count for one in hosts),
                "all hosts are peers",
            )
            await scenario(tasks, hosts, proxies)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def live_peer_count(host):
    return len(live_peers(host.peers, monotonic_clock()))


def leased_upstream_count(host):
    return len(leased_upstreams(host.upstreams, "s", monotonic_clock()))


def announce(host, sequence=0, incarnation=1):
    return host.leases.announce(
        Announcement("u", incarnation, "s", "d", "127.0.0.1:1", 1500, sequence)
    )


async def announce_until_leaving(host):
    while not getattr(host.upstreams.upstreams.get("u"), "record", None) or not (
        host.upstreams.upstreams["u"].record.leaving
    ):
        announce(host)
        await anyio.sleep(0.2)


def test_cut_off_host_stops_within_the_lease_and_learns_of_the_leave_later():
    async def scenario(tasks, hosts, proxies):
        tasks.start_soon(announce_until_leaving, hosts[0])
        await wait_for(
            lambda: all(map(leased_upstream_count, hosts)), "the upstream is known"
        )
        await anyio.sleep(2.0)
        assert all(map(leased_upstream_count, hosts)), (
            "renewals extend the lease on every host"
        )
        for proxy in proxies:
            proxy.faults.silence_new = True
            proxy.silence_open()
        hosts[0].leases.leave(LeaveRequest("u", 1))
        left_at = monotonic_clock()
        await wait_for(lambda: not leased_upstream_count(hosts[2]), "the lease ends")
        upstream = hosts[2].upstreams.upstreams["u"]
        assert not upstream.record.leaving
        assert upstream.lease_ends_at() <= left_at + 3.0
        await wait_for(lambda: live_peer_count(hosts[2]) == 1, "the other peers expire")
        for proxy in proxies:
            proxy.faults.silence_new = False
            await proxy.cut_open()
        await wait_for(
            lambda: upstream.record.leaving, "the departure reaches the host"
        )
        await wait_for(
            lambda: all(live_peer_count(one) == 3 for one in hosts),
            "all hosts are peers again",
        )

    run_hosts(scenario)


def test_upstream_that_fell_silent_returns_with_a_higher_incarnation():
    async def scenario(tasks, hosts, proxies):
        announce(hosts[0])
        await wait_for(
            lambda: all(map(leased_upstream_count, hosts)), "the upstream is known"
        )
        await wait_for(
            lambda: not any(map(leased_upstream_count, hosts)),
            "the lease of the upstream ends",
        )
        announce(hosts[1], incarnation=2)
        await wait_for(
            lambda: all(map(leased_upstream_count, hosts)), "the upstream is back"
        )
        homes = {one.upstreams.upstreams["u"].record.home for one in hosts}
        assert homes == {"entry-1"}

    run_hosts(scenario)


def test_hosts_leave_and_return_with_a_higher_incarnation():
    async def scenario(tasks, hosts, proxies):
        async with anyio.create_task_group() as other_tasks:
            seeds = (hosts[0].told_address,)
            joining_host = TableHost("entry-9", "d", seeds=seeds)
            await joining_host.start(other_tasks)
            everyone = [*hosts, joining_host]
            await wait_for(
                lambda: all(live_peer_count(one) == 4 for one in everyone),
                "entry-9 joined",
            )
            joining_host.gossip.publish_leave()
            await wait_for(
                lambda: all(live_peer_count(one) == 3 for one in hosts), "entry-9 left"
            )
            other_tasks.cancel_scope.cancel()
        returned_host = TableHost("entry-9", "d", seeds=seeds, incarnation=2)
        await returned_host.start(tasks)
        everyone = [*hosts, returned_host]
        await wait_for(
            lambda: all(live_peer_count(one) == 4 for one in everyone),
            "entry-9 is back",
        )
        assert hosts[2].peers.peers["entry-9"].record.mesh == returned_host.address

    run_hosts(scenario)
