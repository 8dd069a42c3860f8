"""Counts of one rollout, summed over relays from their cumulative reports."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.rollouts import RolloutCounts, VersionCounts

__all__ = ["Cell", "CollectedCounts", "HostCounts", "Outcomes", "record_counts"]

#: Bounds on what is kept of one rollout.
MAX_HOSTS = 1_024
MAX_CELLS_PER_HOST = 512
MAX_BUCKETS = 40
MAX_NAME_CHARS = 200
#: Highest count that is believed.
MAX_COUNT = 1 << 40

#: Averaging time of the rate of requests, in seconds.
RATE_WINDOW_S = 1.5
NO_COUNTS = RolloutCounts(0, 0, 0, 0)

#: Route and data centre, within which versions are compared.
Cell = tuple[str, str]


@dataclass(slots=True)
class Outcomes:
    """Counts of attempts on one route, in one data centre, at one version.

    Attributes
    ----------
    attempts, failures : int
        Attempts sent, and attempts that the upstream failed.
    durations : list of int
        Successful attempts by duration, in the buckets of `VersionCounts`.
    """

    attempts: int = 0
    failures: int = 0
    durations: list[int] = field(default_factory=lambda: [0] * MAX_BUCKETS)

    @property
    def successes(self) -> int:
        """Number of successful attempts."""
        return sum(self.durations)

    def add(self, counts: VersionCounts, known: VersionCounts | None) -> None:
        """Add what was counted since an earlier report of the same relay."""
        self.attempts += counts.attempts
        self.failures += counts.failures
        for bucket, count in enumerate(counts.durations):
            self.durations[bucket] += count
        if known is not None:
            self.attempts -= known.attempts
            self.failures -= known.failures
            for bucket, count in enumerate(known.durations):
                self.durations[bucket] -= count


@dataclass(slots=True)
class HostCounts:
    """Latest report of one relay for the rollout.

    Attributes
    ----------
    incarnation : int
        Start of the relay to which the counts belong.
    counts : RolloutCounts
        Its cumulative counts.
    heard_at : float
        Monotonic time in seconds of the report.
    revision : int
        Revision of the grants that the relay had.
    rate_per_s : float
        Requests for the service that arrive at the relay, smoothed.
    cells : dict
        The counts by route, data centre and whether they are of the target.
    """

    incarnation: int
    counts: RolloutCounts
    heard_at: float
    revision: int
    rate_per_s: float = 0.0
    cells: dict[tuple[str, str, bool], VersionCounts] = field(default_factory=dict)


@dataclass(slots=True)
class CollectedCounts:
    """Sums over all relays, including relays that have ended since.

    Attributes
    ----------
    hosts : dict
        Latest report by relay.
    arrivals, target_attempts : int
        Requests for the service, and attempts at the target version.
    earned : float
        Attempts that the granted shares have allowed so far.
    cells : dict
        By cell, the outcomes of other versions and of the target version since the
        last `take_slice`.
    """

    hosts: dict[NodeId, HostCounts] = field(default_factory=dict)
    arrivals: int = 0
    target_attempts: int = 0
    earned: float = 0.0
    cells: dict[Cell, tuple[Outcomes, Outcomes]] = field(default_factory=dict)

    def take_slice(self) -> dict[Cell, tuple[Outcomes, Outcomes]]:
        """Return the outcomes by cell since the last call, and begin anew."""
        cells, self.cells = self.cells, {}
        return cells

    def rate_per_s(self) -> float:
        """Return the rate of requests for the service over all relays."""
        return sum(host.rate_per_s for host in self.hosts.values())

    def unreported(self, share: float, lease_s: float, now: float) -> float:
        """Return how many attempts relays may have made since their last reports."""
        return sum(
            share * host.rate_per_s * min(max(0.0, now - host.heard_at), lease_s)
            for host in self.hosts.values()
        )


def record_counts(
    collected: CollectedCounts,
    node: NodeId,
    incarnation: int,
    revision: int,
    counts: RolloutCounts,
    share: float,
    now: float,
) -> str | None:
    """Add what a relay has counted since its last report.

    Parameters
    ----------
    collected : CollectedCounts
        Changed in place.
    node : NodeId
        The relay.
    incarnation, revision : int
        Start of the relay, and revision of the grants that it has.
    counts : RolloutCounts
        Its cumulative counts for the rollout.
    share : float
        Highest share that was granted since its last report.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    str or None
        Why the report is ignored; None if it is not.
    """
    host = collected.hosts.get(node)
    if host is None and len(collected.hosts) >= MAX_HOSTS:
        return "too many relays report"
    if host is not None and incarnation < host.incarnation:
        return "of an earlier start"
    is_same_start = host is not None and incarnation == host.incarnation
    known = host.counts if is_same_start else NO_COUNTS
    known_cells = host.cells if is_same_start else {}
    # Most cells of a report are unchanged; only the others cost time.
    changed = [
        (one, known_cells.get(_key_of(one)))
        for one in counts.counts[:MAX_CELLS_PER_HOST]
        if one != known_cells.get(_key_of(one))
    ]
    problem = _problem_of(known, counts, changed)
    if problem is not None:
        return problem
    arrivals = counts.arrivals - known.arrivals
    collected.arrivals += arrivals
    collected.earned += share * arrivals
    collected.target_attempts += counts.target_attempts - known.target_attempts
    for one, earlier in changed:
        _outcomes_of(collected, one).add(one, earlier)
    rate_per_s = host.rate_per_s if host is not None else 0.0
    if is_same_start and now > host.heard_at:
        elapsed_s = now - host.heard_at
        weight = min(1.0, elapsed_s / RATE_WINDOW_S)
        rate_per_s += weight * (arrivals / elapsed_s - rate_per_s)
    cells = {_key_of(one): one for one in counts.counts}
    collected.hosts[node] = HostCounts(
        incarnation, counts, now, revision, rate_per_s, cells
    )
    return None


def _key_of(counts: VersionCounts) -> tuple[str, str, bool]:
    return counts.route, counts.data_centre, counts.is_target


def _outcomes_of(collected: CollectedCounts, counts: VersionCounts) -> Outcomes:
    cell = (counts.route, counts.data_centre)
    pair = collected.cells.get(cell)
    if pair is None:
        pair = collected.cells[cell] = (Outcomes(), Outcomes())
    return pair[counts.is_target]


def _problem_of(
    known: RolloutCounts,
    counts: RolloutCounts,
    changed: list[tuple[VersionCounts, VersionCounts | None]],
) -> str | None:
    if len(counts.counts) > MAX_CELLS_PER_HOST:
        return "too many routes"
    numbers = [counts.arrivals, counts.target_attempts, counts.running_elsewhere]
    is_lower = (
        counts.arrivals < known.arrivals
        or counts.target_attempts < known.target_attempts
    )
    for one, earlier in changed:
        if len(one.durations) > MAX_BUCKETS:
            return "too many buckets"
        if max(len(one.route), len(one.data_centre)) > MAX_NAME_CHARS:
            return "name too long"
        numbers += [one.attempts, one.failures, *one.durations]
        if earlier is not None:
            pairs = zip(one.durations, earlier.durations, strict=False)
            is_lower = (
                is_lower
                or one.attempts < earlier.attempts
                or one.failures < earlier.failures
                or len(one.durations) < len(earlier.durations)
                or any(new < old for new, old in pairs)
            )
    if min(numbers) < 0 or max(numbers) > MAX_COUNT:
        return "count out of range"
    return "counts decrease" if is_lower else None
