"""A workspace that asks for several times its quota, over many hosts in virtual time.

The urgent and the small requests go first, the others are not starved, and all hosts
together stay within the tolerance in any window.
"""

from collections import Counter, deque
from random import Random

import anyio
import pytest

from cranberryfield.core.deployment import Deployment, WorkspaceSpec
from cranberryfield.core.errors import UnavailableError
from cranberryfield.core.messages.reports import LeaseQuota
from cranberryfield.entry.quota import QuotaClient, QuotaLeeway, QuotaServer

RATE = 50_000.0
SPEC = WorkspaceSpec("notary", rate_per_s=RATE, burst=RATE, counts_tokens=True)
WINDOW_S = 8.0
OVERAGE, TOLERANCE = 0.1, 140_000.0
#: Name of each kind of request, its cost, the rank of its route, and its share.
KINDS = [
    ("urgent", 1_100, 0, 0.25),
    ("large", 12_000, 1, 0.2),
    ("ordinary", 2_400, 2, 0.35),
    ("small", 200, 2, 0.2),
]


class LocalMesh:
    """Mesh on which the leader replies at once."""

    def __init__(self):
        self.handlers = {}

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    async def request(self, node, message, timeout_s):
        return self.handlers[LeaseQuota]("host", message)


class Cluster:
    """Clients of all hosts before the server of a leader."""

    def __init__(self, hosts, seed):
        self.now, self.rng = 0.0, Random(seed)
        mesh = LocalMesh()
        QuotaServer(
            mesh,
            lambda: 1,
            lambda: Deployment(1, workspaces=(SPEC,)),
            lambda: 0.0,
            QuotaLeeway.from_tolerance(OVERAGE, TOLERANCE),
            lambda: self.now,
        )
        self.clients = [
            QuotaClient(
                mesh, lambda: "leader", lambda: hosts, lambda: self.now, Random(one)
            )
            for one in range(hosts)
        ]
        self.admitted = []

    async def serve(self, kinds, load, seconds):
        """Send requests for `load` times the quota; return (sent, admitted) counts."""
        weights = [kind[3] for kind in kinds]
        mean = sum(kind[1] * kind[3] for kind in kinds) / sum(weights)
        sent, admitted = Counter(), Counter()
        ends_at = self.now + seconds
        while (step := self.rng.expovariate(load * RATE / mean)) + self.now < ends_at:
            self.now += step
            ((name, cost, rank, _),) = self.rng.choices(kinds, weights)
            sent[name] += 1
            try:
                await self.rng.choice(self.clients).admit(SPEC, cost, rank)
            except UnavailableError:
                continue
            admitted[name] += 1
            self.admitted.append((self.now, cost))
        return sent, admitted

    def most_in_window(self):
        window, used, most = deque(), 0.0, 0.0
        for at, cost in self.admitted:
            window.append((at, cost))
            used += cost
            while window[0][0] < at - WINDOW_S:
                used -= window.popleft()[1]
            most = max(most, used)
        return most


@pytest.mark.parametrize("hosts", [9, 195, 360])
@pytest.mark.parametrize("load", [2.0, 4.0])
def test_urgent_and_small_requests_go_first(hosts, load):
    cluster = Cluster(hosts, seed=1)
    sent, admitted = anyio.run(cluster.serve, KINDS, load, 20.0)
    shares = {name: admitted[name] / sent[name] for name in sent}
    assert shares["urgent"] >= 0.95
    assert shares["small"] >= 0.95
    assert min(shares.values()) >= 0.1
    # The quota is used, and no more than it in any window.
    assert sum(cost for _, cost in cluster.admitted) >= 0.9 * RATE * 20.0
    allowed = RATE * (WINDOW_S + 1.0) * (1.0 + OVERAGE) + TOLERANCE
    assert cluster.most_in_window() <= allowed


# Guards against a caller that takes a whole quota with urgent or small requests.
@pytest.mark.parametrize("hosts", [9, 195])
@pytest.mark.parametrize("flood", ["urgent", "small"])
def test_a_flood_of_favoured_requests_does_not_starve_the_others(hosts, flood):
    kinds = [
        (name, cost, rank, 30.0 if name == flood else share)
        for name, cost, rank, share in KINDS
    ]
    cluster = Cluster(hosts, seed=1)
    sent, admitted = anyio.run(cluster.serve, kinds, 3.0, 30.0)
    others = [name for name in sent if name != flood]
    served = sum(admitted[name] for name in others) / sum(sent[one] for one in others)
    assert served >= 0.1
    allowed = RATE * (WINDOW_S + 1.0) * (1.0 + OVERAGE) + TOLERANCE
    assert cluster.most_in_window() <= allowed


@pytest.mark.parametrize("hosts", [9, 195])
def test_no_request_is_refused_below_the_quota(hosts):
    cluster = Cluster(hosts, seed=2)
    anyio.run(cluster.serve, KINDS, 0.5, 4.0)
    sent, admitted = anyio.run(cluster.serve, KINDS, 0.7, 20.0)
    assert sum(admitted.values()) >= 0.98 * sum(sent.values())
