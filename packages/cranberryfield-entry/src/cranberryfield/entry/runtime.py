"""Assembly and lifecycle of the entry role."""

from functools import partial
from random import Random

import anyio
from anyio.abc import TaskGroup

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.clock import Clock
from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings import effective_settings
from cranberryfield.core.settings.follow import SettingsSection, may_serve
from cranberryfield.core.supervision import start_supervised
from cranberryfield.entry.admission import AdmissionGate
from cranberryfield.entry.admission.slots import make_slot_counter
from cranberryfield.entry.callers import CallerApi
from cranberryfield.entry.dispatch import Dispatcher
from cranberryfield.entry.limits import SharedRateLimiter
from cranberryfield.entry.membership import (
    PeersSection,
    UpstreamsSection,
    live_peers,
)
from cranberryfield.entry.membership.gossip import MembershipGossip
from cranberryfield.entry.membership.leases import LeaseManager
from cranberryfield.entry.membership.peers import other_live_peers
from cranberryfield.entry.membership.probing import UpstreamProber
from cranberryfield.entry.quarantine import (
    QuarantineSection,
    ReservationSection,
    UpstreamReserver,
)
from cranberryfield.entry.requests import RecordsSection
from cranberryfield.entry.requests.attempt_runner import AttemptRunner
from cranberryfield.entry.requests.attempts import AttemptMonitor
from cranberryfield.entry.requests.claims import ClaimManager
from cranberryfield.entry.requests.handover import HandoverManager
from cranberryfield.entry.requests.placement import (
    EntryHost,
    choose_replica_hosts,
    entry_hosts,
)
from cranberryfield.entry.requests.quarantine_coordinator import QuarantineCoordinator
from cranberryfield.entry.requests.record_coordinator import RecordCoordinator
from cranberryfield.entry.requests.records import RequestState
from cranberryfield.entry.requests.replicas import ReplicasSection
from cranberryfield.entry.requests.replication import RecordReplicator
from cranberryfield.entry.requests.request_runner import RequestRunner
from cranberryfield.entry.retries import RetryBudgetSection
from cranberryfield.entry.routing import (
    DispatchSection,
    PrefixSection,
    make_attempt_observer,
    make_upstream_selector,
)
from cranberryfield.entry.routing.cache_events import CacheEventReader
from cranberryfield.entry.settings import SettingsFollower

__all__ = ["EntryRuntime"]

DRAIN_POLL_S = 0.05
#: Part of the reclaim time reserved for failing the requests that still run, in
#: milliseconds.
FAIL_REMAINING_RESERVE_MS = 300
MS_PER_S = 1000
#: Used in place of a workspace to choose the host that grants a reservation.
RESERVATION_NAMESPACE = "upstream"
#: Maximum time that a shutdown waits for claim closures to be committed to the
#: log, in seconds.
CLAIM_CLOSE_TIMEOUT_S = 10.0


class EntryRuntime:
    """The entry role of one process.

    Parameters
    ----------
    settings : SettingsSection
        Settings in force.
    records : RecordsSection
        Request records of this host.
    follower : SettingsFollower
        Keeps the settings up to date.
    clock : Clock
        Monotonic time.
    dispatcher : Dispatcher
        Connections to upstreams.
    gossip : MembershipGossip
        Synchronises the tables of entry hosts and upstreams.
    leases : LeaseManager
        Renews the leases of upstreams.
    prober : UpstreamProber
        Renews leases by direct probes when renewals are missing.
    cache_events : CacheEventReader
        Tracks the contents of the engines' prefix caches.
    claims : ClaimManager
        Claims of non-idempotent requests.
    coordinator : RecordCoordinator
        Request records shared between the entry hosts.
    monitor : AttemptMonitor
        Monitors running attempts.

    Attributes
    ----------
    api : CallerApi or None
        Endpoints for callers and upstreams, set by `from_config`.
    handover_manager : HandoverManager or None
        Hands running requests over to other entry hosts, set by `from_config`.
    """

    def __init__(
        self,
        settings: SettingsSection,
        records: RecordsSection,
        follower: SettingsFollower,
        dispatcher: Dispatcher,
        clock: Clock,
        gossip: MembershipGossip,
        leases: LeaseManager,
        prober: UpstreamProber,
        cache_events: CacheEventReader,
        claims: ClaimManager,
        coordinator: RecordCoordinator,
        monitor: AttemptMonitor,
    ):
        self._settings = settings
        self._records = records
        self._follower = follower
        self._dispatcher = dispatcher
        self._clock = clock
        self._gossip = gossip
        self._leases = leases
        self._prober = prober
        self._cache_events = cache_events
        self._claims = claims
        self._coordinator = coordinator
        self._monitor = monitor
        self._stopping = False
        self.api: CallerApi | None = None
        self.handover_manager: HandoverManager | None = None

    @classmethod
    def from_config(
        cls,
        config: DaemonConfig,
        mesh: Mesh,
        board: Blackboard,
        metrics: Metrics,
        proposer: Proposer,
        tasks: TaskGroup,
        clock: Clock,
        rng: Random,
    ) -> "EntryRuntime":
        """Build the role.

        Parameters
        ----------
        config : DaemonConfig
            Configuration of the process.
        mesh : Mesh
            Links to other processes.
        board : Blackboard
            Shared state; must contain the settings. The sections of the entry
            role are added to it.
        metrics : Metrics
            Counters and histograms.
        proposer : Proposer
            Proposes claims to the replicated log.
        tasks : anyio.abc.TaskGroup
            Task group that runs the requests.
        clock : Clock
            Monotonic time.
        rng : random.Random
            Seeded generator.

        Returns
        -------
        EntryRuntime
            The role, with `api` and `handover_manager` set.
        """
        settings = board.read(SettingsSection)
        upstreams = board.add(UpstreamsSection())
        records = board.add(RecordsSection())
        dispatch_section = board.add(DispatchSection())
        prefixes = board.add(PrefixSection())
        board.add(RetryBudgetSection())
        dispatcher = Dispatcher.from_clock(clock)
        control = tuple(NodeId(member.node) for member in config.control)
        peers = board.add(PeersSection(config.node_id))
        follower = SettingsFollower(
            settings,
            mesh,
            config.node_id,
            control,
            partial(other_live_peers, peers, clock),
            clock,
            rng,
        )
        gossip = MembershipGossip(
            peers, upstreams, mesh, mesh.hello, config.seeds, clock, rng
        )
        leases = LeaseManager(upstreams, peers, gossip, mesh, config.zone, clock)
        prober = UpstreamProber.from_clock(upstreams, leases, clock)
        cache_events = CacheEventReader.from_sections(upstreams, prefixes)
        claims = ClaimManager(config.node_id, proposer, clock)
        own_host = EntryHost(config.node_id, config.zone)

        def hosts() -> list[EntryHost]:
            return entry_hosts(peers, own_host)

        coordinator = RecordCoordinator(
            config.node_id,
            hosts,
            mesh,
            records,
            board.add(ReplicasSection()),
            lambda: effective_settings(settings.tree, None, None),
            clock,
        )
        coordinator.replicator = RecordReplicator(
            config.node_id, mesh, tasks, coordinator.choose_peers
        )
        choose = make_upstream_selector(board, config.zone, clock, rng)
        reserver = UpstreamReserver(
            board.add(ReservationSection()),
            mesh,
            lambda upstream: choose_replica_hosts(
                hosts(), RESERVATION_NAMESPACE, upstream
            )[0],
            clock,
        )
        quarantine_coordinator = QuarantineCoordinator(
            config.node_id,
            board.add(QuarantineSection()),
            reserver,
            mesh,
            hosts,
            choose,
            clock,
        )
        monitor = AttemptMonitor(upstreams, choose, dispatcher.move_kv, tasks, clock)
        limits = SharedRateLimiter(
            config.node_id,
            lambda: [one.node for one in live_peers(peers, clock())],
            mesh,
            clock,
            rng,
        )
        runtime = cls(
            settings,
            records,
            follower,
            dispatcher,
            clock,
            gossip,
            leases,
            prober,
            cache_events,
            claims,
            coordinator,
            monitor,
        )
        attempts = AttemptRunner(
            quarantine_coordinator,
            dispatch_section,
            dispatcher,
            claims,
            monitor,
            metrics,
            clock,
            make_attempt_observer(clock),
        )
        runner = RequestRunner(
            attempts,
            AdmissionGate(make_slot_counter(board, clock), clock, rng, limits.admit),
            claims,
            coordinator,
            records,
            metrics,
            clock,
        )
        runtime.handover_manager = HandoverManager(
            mesh,
            settings,
            records,
            coordinator,
            runner.run,
            lambda node: peers.peers[node].record.callers,
            tasks,
            clock,
        )
        runtime.api = CallerApi(
            settings,
            records,
            leases,
            runner,
            claims,
            coordinator,
            metrics,
            config.upstream_keys,
            runtime.is_ready,
            tasks,
            clock,
        )
        return runtime

    def is_ready(self) -> bool:
        """Return whether new requests are accepted."""
        return not self._stopping and may_serve(self._settings, self._clock())

    def begin_stop(self) -> None:
        """Stop accepting new requests."""
        self._stopping = True

    async def wait_drained(self) -> None:
        """Wait until no request runs on this host and all claims are closed.

        The wait for the claims is limited to `CLAIM_CLOSE_TIMEOUT_S`.
        """
        while any(
            record.state is RequestState.RUNNING
            for record in self._records.records.values()
        ):
            await anyio.sleep(DRAIN_POLL_S)
        with anyio.move_on_after(CLAIM_CLOSE_TIMEOUT_S):
            while self._claims.pending_closes:
                await anyio.sleep(DRAIN_POLL_S)

    async def hand_over_and_drain(self) -> None:
        """Hand requests over to other hosts because this host is being reclaimed.

        Requests that no other host can continue may finish here until shortly
        before the time limit `entry_reclaim_ms`; the rest then fail.
        """
        self.begin_stop()
        settings = effective_settings(self._settings.tree, None, None)
        remaining_s = (settings.entry_reclaim_ms - FAIL_REMAINING_RESERVE_MS) / MS_PER_S
        with anyio.move_on_after(max(0.0, remaining_s)):
            await self.handover_manager.hand_over_all()
            await self.wait_drained()
        self.handover_manager.fail_remaining()

    async def run(self) -> None:
        """Run the background tasks of the role until cancelled."""
        async with anyio.create_task_group() as tasks:
            background = {
                "gossip": self._gossip.run,
                "leases": self._leases.run,
                "settings": self._follower.run,
                "claims": self._claims.run,
                "request records": self._coordinator.run,
                "loop monitor": self._monitor.run,
            }
            start_supervised(tasks, background)
            # Each has a client that it closes at its end, so neither can run again.
            tasks.start_soon(self._prober.run)
            tasks.start_soon(self._cache_events.run)

    async def close(self) -> None:
        """Announce that this host is leaving and close connections to upstreams."""
        self._gossip.publish_leave()
        await self._follower.leave()
        await self._dispatcher.close()
