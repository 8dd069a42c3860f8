"""Builds the entry role from its parts."""

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
from cranberryfield.entry.admission import AdmissionGate
from cranberryfield.entry.admission.places import make_places
from cranberryfield.entry.callers import CallerApi
from cranberryfield.entry.dispatch import Dispatcher
from cranberryfield.entry.limits import SharedLimits
from cranberryfield.entry.membership import (
    PeersSection,
    UpstreamsSection,
    live_peers,
)
from cranberryfield.entry.membership.gossip import TableGossip
from cranberryfield.entry.membership.leases import LeaseKeeper
from cranberryfield.entry.membership.peers import other_live_peers
from cranberryfield.entry.membership.probing import UpstreamProber
from cranberryfield.entry.requests import RecordsSection
from cranberryfield.entry.requests.attempt_runner import AttemptRunner
from cranberryfield.entry.requests.attempts import AttemptMonitor
from cranberryfield.entry.requests.claims import ClaimManager
from cranberryfield.entry.requests.handover import HandoverManager
from cranberryfield.entry.requests.placement import EntryHost, entry_hosts
from cranberryfield.entry.requests.quarantine import QuarantineSection
from cranberryfield.entry.requests.quarantine_coordinator import QuarantineCoordinator
from cranberryfield.entry.requests.record_coordinator import RecordCoordinator
from cranberryfield.entry.requests.records import RequestState
from cranberryfield.entry.requests.replicas import ReplicasSection
from cranberryfield.entry.requests.replication import RecordReplicator
from cranberryfield.entry.requests.request_runner import RequestRunner
from cranberryfield.entry.retries import RetrySection
from cranberryfield.entry.routing import (
    DispatchSection,
    PrefixSection,
    make_chooser,
    make_observer,
)
from cranberryfield.entry.routing.events import CacheEventReader
from cranberryfield.entry.settings import SettingsFollower

__all__ = ["EntryRuntime"]

DRAIN_POLL_S = 0.05
#: Time before the end of a reclaim in which callers are told, in milliseconds.
LAST_WORDS_MS = 300
MS_PER_S = 1000
#: Longest wait of a stop for the log to take the ends of claims, in seconds.
CLOSE_WAIT_S = 10.0


class EntryRuntime:
    """The entry role of one process.

    Parameters
    ----------
    settings : SettingsSection
        The settings in force.
    records : RecordsSection
        The records of requests.
    api : CallerApi
        Endpoints for callers and upstreams.
    follower : SettingsFollower
        Follows settings.
    clock : Clock
        Monotonic time.
    dispatcher : Dispatcher
        Connections to upstreams.
    gossip : TableGossip
        Keeps the tables of entry hosts and upstreams.
    leases : LeaseKeeper
        Renews the leases of upstreams.
    prober : UpstreamProber
        Renews those whose home has fallen silent.
    cache_events : CacheEventReader
        Follows what engines have in their prefix caches.
    claims : ClaimManager
        Claims of non-idempotent requests.
    sharing : RecordCoordinator
        Records over all entry hosts.
    watch : AttemptMonitor
        Watches running attempts.
    """

    def __init__(
        self,
        settings: SettingsSection,
        records: RecordsSection,
        follower: SettingsFollower,
        dispatcher: Dispatcher,
        clock: Clock,
        gossip: TableGossip,
        leases: LeaseKeeper,
        prober: UpstreamProber,
        cache_events: CacheEventReader,
        claims: ClaimManager,
        sharing: RecordCoordinator,
        watch: AttemptMonitor,
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
        self._sharing = sharing
        self._watch = watch
        self._stopping = False
        self.api: CallerApi | None = None
        self.hand_overs: HandoverManager | None = None

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
            The process's configuration.
        mesh : Mesh
            Links to other processes.
        board : Blackboard
            Holds the settings; gains the entry role's sections.
        metrics : Metrics
            Counters and histograms.
        proposer : Proposer
            Puts claims through the replicated log.
        tasks : anyio.abc.TaskGroup
            Where requests run.
        clock : Clock
            Monotonic time.
        rng : random.Random
            Seeded generator.

        Returns
        -------
        EntryRuntime
            The role; its routes are those of `api`.
        """
        settings = board.read(SettingsSection)
        upstreams = board.add(UpstreamsSection())
        records = board.add(RecordsSection())
        dispatched = board.add(DispatchSection())
        prefixes = board.add(PrefixSection())
        board.add(RetrySection())
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
        gossip = TableGossip(
            peers, upstreams, mesh, mesh.hello, config.seeds, clock, rng
        )
        leases = LeaseKeeper(upstreams, peers, gossip, mesh, config.zone, clock)
        prober = UpstreamProber.from_clock(upstreams, leases, clock)
        cache_events = CacheEventReader.from_sections(upstreams, prefixes)
        claims = ClaimManager(config.node_id, proposer, clock)
        own = EntryHost(config.node_id, config.zone)

        def hosts() -> list[EntryHost]:
            return entry_hosts(peers, own)

        sharing = RecordCoordinator(
            config.node_id,
            hosts,
            mesh,
            records,
            board.add(ReplicasSection()),
            lambda: effective_settings(settings.tree, None, None),
            clock,
        )
        sharing.replicator = RecordReplicator(
            config.node_id, mesh, tasks, sharing.choose_peers
        )
        choose = make_chooser(board, config.zone, clock, rng)
        quarantine = board.add(QuarantineSection())
        suspects = QuarantineCoordinator(
            config.node_id, quarantine, mesh, hosts, choose, clock
        )
        watch = AttemptMonitor(upstreams, choose, dispatcher.move_kv, tasks, clock)
        limits = SharedLimits(
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
            sharing,
            watch,
        )
        attempts = AttemptRunner(
            suspects,
            dispatched,
            dispatcher,
            claims,
            watch,
            metrics,
            clock,
            make_observer(clock),
        )
        runner = RequestRunner(
            attempts,
            AdmissionGate(make_places(board, clock), clock, rng, limits.admit),
            claims,
            sharing,
            records,
            metrics,
            clock,
        )
        runtime.hand_overs = HandoverManager(
            mesh,
            settings,
            records,
            sharing,
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
            sharing,
            metrics,
            config.upstream_keys,
            runtime.is_ready,
            tasks,
            clock,
        )
        return runtime

    def is_ready(self) -> bool:
        """Say whether new requests are taken."""
        return not self._stopping and may_serve(self._settings, self._clock())

    def begin_stop(self) -> None:
        """Take no new requests from now on."""
        self._stopping = True

    async def wait_drained(self) -> None:
        """Wait until no request is running here and no claim is left open."""
        while any(
            record.state is RequestState.RUNNING
            for record in self._records.records.values()
        ):
            await anyio.sleep(DRAIN_POLL_S)
        with anyio.move_on_after(CLOSE_WAIT_S):
            while self._claims.pending_closes:
                await anyio.sleep(DRAIN_POLL_S)

    async def leave(self) -> None:
        """Give requests to other hosts and end the rest, as the host is reclaimed.

        Requests that no other host can go on with may finish here until shortly
        before the time is over that `entry_reclaim_ms` gives.
        """
        self.begin_stop()
        settings = effective_settings(self._settings.tree, None, None)
        left_s = (settings.entry_reclaim_ms - LAST_WORDS_MS) / MS_PER_S
        with anyio.move_on_after(max(0.0, left_s)):
            await self.hand_overs.hand_over_all()
            await self.wait_drained()
        self.hand_overs.fail_remaining()

    async def run(self) -> None:
        """Follow settings and membership and renew claims until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._gossip.run)
            tasks.start_soon(self._leases.run)
            tasks.start_soon(self._prober.run)
            tasks.start_soon(self._cache_events.run)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._claims.run)
            tasks.start_soon(self._sharing.run)
            tasks.start_soon(self._watch.run)

    async def close(self) -> None:
        """Tell the other entry hosts and close connections to upstreams."""
        self._gossip.say_goodbye()
        await self._follower.leave()
        await self._dispatcher.close()
