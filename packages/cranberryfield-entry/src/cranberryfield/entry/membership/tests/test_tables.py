from itertools import permutations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryfield.core.errors import CallerError
from cranberryfield.core.messages.membership import (
    LoadReport,
    PeerRecord,
    PeerState,
    Renewal,
    UpstreamRecord,
)
from cranberryfield.entry.membership import announcements, following, overlay, probing
from cranberryfield.entry.membership import peers as peer_table
from cranberryfield.entry.membership import upstreams as upstream_table
from cranberryfield.entry.membership.announcements import Announcement, LeaveRequest
from cranberryfield.entry.membership.digests import bucket_digests, item_version
from cranberryfield.entry.membership.stability import (
    Stability,
    after_failure,
    after_return,
    after_success,
    is_suppressed,
)

HOMES = frozenset({"entry-1", "entry-2"})
reproducible = settings(derandomize=True, deadline=None, max_examples=200)


def upstream_record(name="u", incarnation=1, sequence=0, leaving=False, **fields):
    values = {
        "upstream": name,
        "incarnation": incarnation,
        "sequence": sequence,
        "service": "s",
        "data_centre": "d",
        "address": "127.0.0.1:1",
        "machine_class": "standard",
        "capabilities": ("load",),
        "capacity": 4,
        "lease_ms": 1000,
        "leaving": leaving,
        "home": "entry-1",
        **fields,
    }
    return UpstreamRecord(**values)


def peer_record(node="n", incarnation=1, sequence=0, state=PeerState.ALIVE):
    return PeerRecord(node, incarnation, sequence, state, "d", "m:1", "c:1")


def announcement(incarnation=1, sequence=0, lease_ms=1000):
    return Announcement(
        "u", incarnation, "s", "d", "127.0.0.1:1", lease_ms, sequence=sequence
    )


upstream_records = st.lists(
    st.builds(
        upstream_record,
        incarnation=st.integers(1, 3),
        sequence=st.integers(0, 3),
        leaving=st.booleans(),
        home=st.sampled_from(sorted(HOMES)),
    ),
    min_size=1,
    max_size=4,
)
peer_records = st.lists(
    st.builds(
        peer_record,
        incarnation=st.integers(1, 3),
        sequence=st.integers(0, 3),
        state=st.sampled_from(PeerState),
    ),
    min_size=1,
    max_size=4,
)


def merged_upstream(records):
    view = upstream_table.UpstreamsSection()
    for record in records:
        upstream_table.merge_upstream(view, record, 0.0)
    return view.upstreams["u"].record


def merged_peer(records):
    view = peer_table.PeersSection("own")
    for record in records:
        peer_table.merge_peer(view, record, 0.0)
    return view.peers["n"].record


@pytest.mark.parametrize(
    ("records", "merged"),
    [(upstream_records, merged_upstream), (peer_records, merged_peer)],
    ids=["upstreams", "peers"],
)
def test_merge_is_commutative_idempotent_and_monotonic(records, merged):
    @reproducible
    @given(records)
    def check(given_records):
        results = {merged(order) for order in permutations(given_records)}
        assert len(results) == 1
        (result,) = results
        assert merged([*given_records, *given_records]) == result
        assert all(merged([result, one]) == result for one in given_records)
        assert merged([given_records[0], result]) == result

    check()


@reproducible
@given(upstream_records)
def test_leaving_wins_within_an_incarnation(records):
    result = merged_upstream(records)
    latest = [one for one in records if one.incarnation == result.incarnation]
    assert result.incarnation == max(one.incarnation for one in records)
    assert result.leaving == any(one.leaving for one in latest)


@pytest.mark.parametrize(
    ("claim", "sequence"),
    [
        (peer_record("own", 1, 2, PeerState.SUSPECTED), 3),
        (peer_record("own", 1, 2, PeerState.DEAD), 3),
        (peer_record("own", 0, 2, PeerState.DEAD), 0),
        (peer_record("own", 1, 2, PeerState.LEFT), 0),
        (peer_record("own", 2, 0, PeerState.ALIVE), 0),
    ],
)
def test_node_refutes_claims_about_itself(claim, sequence):
    view = peer_table.PeersSection("own")
    peer_table.merge_peer(view, peer_record("own"), 0.0)
    assert peer_table.merge_peer(view, claim, 1.0) is (sequence > 0)
    record = view.peers["own"].record
    assert (record.state, record.sequence) == (PeerState.ALIVE, sequence)


def test_suspected_peer_is_dead_unless_it_refutes():
    view = peer_table.PeersSection("own")
    for node in ("a", "b"):
        peer_table.merge_peer(view, peer_record(node), 0.0)
        assert peer_table.suspect_peer(view, node, 0.0)
    assert peer_table.suspect_peer(view, "a", 0.0) is None
    peer_table.merge_peer(view, peer_record("b", 1, 1), 0.1)
    end = peer_table.SUSPICION_TIMEOUT_S
    live_at = {
        now: [one.node for one in peer_table.live_peers(view, now)]
        for now in (end - 0.01, end)
    }
    assert live_at == {end - 0.01: ["a", "b"], end: ["b"]}
    assert [one.node for one in peer_table.declare_dead_peers(view, end)] == ["a"]
    assert peer_table.forget_peers(view, end + peer_table.FORGET_PEER_AFTER_S) == ["a"]


LEASES = [
    ("fresh", {}, 0.9, True),
    ("expired", {}, 1.0, False),
    ("leaving", {"leaving": True}, 0.0, False),
    ("ended by its home", {"lease_ms": 0}, 0.0, False),
    ("other service", {"service": "t"}, 0.0, False),
]


@pytest.mark.parametrize(
    ("fields", "now", "fresh"),
    [row[1:] for row in LEASES],
    ids=[row[0] for row in LEASES],
)
def test_only_upstreams_with_a_lease_are_selected(fields, now, fresh):
    view = upstream_table.UpstreamsSection()
    upstream_table.merge_upstream(view, upstream_record(**fields), 0.0)
    assert bool(upstream_table.leased_upstreams(view, "s", now)) is fresh


RENEWALS = [
    ("newer", {}, (1, 5), True),
    ("report seen before", {}, (1, 4), False),
    ("older incarnation", {}, (0, 9), False),
    ("higher incarnation without a record", {}, (2, 9), False),
    ("left meanwhile", {"leaving": True}, (1, 5), False),
]


@pytest.mark.parametrize(
    ("fields", "renewal", "is_applied"),
    [row[1:] for row in RENEWALS],
    ids=[row[0] for row in RENEWALS],
)
def test_only_newer_renewals_are_applied(fields, renewal, is_applied):
    view = upstream_table.UpstreamsSection()
    upstream_table.merge_upstream(view, upstream_record(**fields), 0.0)
    view.upstreams["u"].report = 4
    message = Renewal("u", *renewal, LoadReport(7), 100)
    assert upstream_table.merge_renewal(view, message, 0.5) is is_applied
    known = view.upstreams["u"]
    assert (known.heard_at == 0.4, known.record.load.running == 7) == (
        is_applied,
        is_applied,
    )


def accept(view, asked, own="entry-1", now=0.0, homes=HOMES):
    return announcements.accept_announcement(view, asked, own, homes, now)


def test_granted_lease_is_capped():
    view = upstream_table.UpstreamsSection()
    granted = accept(view, announcement(lease_ms=60_000)).lease_ms
    assert granted == announcements.MAX_LEASE_MS
    assert view.upstreams["u"].lease_ends_at() == granted / 1000


TAKE_OVERS = [
    ("one stray announcement", [("entry-2", 5)], HOMES, 0.1, "entry-1"),
    ("two in a row", [("entry-2", 5), ("entry-2", 6)], HOMES, 0.1, "entry-2"),
    ("home is dead", [("entry-2", 5)], frozenset({"entry-2"}), 0.1, "entry-2"),
    ("lease expired", [("entry-2", 5)], HOMES, 5.0, "entry-2"),
    ("announced at home", [("entry-1", 5)], HOMES, 0.1, "entry-1"),
]


@pytest.mark.parametrize(
    ("steps", "homes", "now", "home"),
    [row[1:] for row in TAKE_OVERS],
    ids=[row[0] for row in TAKE_OVERS],
)
def test_home_changes_only_when_another_host_takes_over(steps, homes, now, home):
    view = upstream_table.UpstreamsSection()
    accept(view, announcement(sequence=4))
    view.upstreams["u"].reported_directly = False
    for own, sequence in steps:
        accepted = accept(view, announcement(1, sequence), own, now, homes)
    assert view.upstreams["u"].record.home == home
    assert (accepted.record is not None) == (home == "entry-2")


@pytest.mark.parametrize("known", [True, False])
def test_leave_holds_until_a_higher_incarnation(known):
    view = upstream_table.UpstreamsSection()
    if known:
        accept(view, announcement())
    record = announcements.accept_leave(view, LeaveRequest("u", 1), "entry-2", 0.0)
    assert record.leaving
    with pytest.raises(CallerError):
        accept(view, announcement(1, 9))
    accept(view, announcement(2))
    assert len(upstream_table.leased_upstreams(view, "s", 0.0)) == 1
    with pytest.raises(CallerError):
        announcements.accept_leave(view, LeaveRequest("u", 1), "entry-2", 0.0)


FORGOTTEN = [
    ("alive, followed by others", {}, HOMES, False),
    ("left", {"leaving": True}, HOMES, True),
    ("expired", {"lease_ms": 0}, HOMES, True),
    ("home gone too", {}, frozenset(), True),
]


@pytest.mark.parametrize(
    ("fields", "homes", "gone"),
    [row[1:] for row in FORGOTTEN],
    ids=[row[0] for row in FORGOTTEN],
)
def test_upstreams_gone_for_long_are_forgotten(fields, homes, gone):
    view = upstream_table.UpstreamsSection()
    upstream_table.merge_upstream(view, upstream_record(**fields), 0.0)
    assert not upstream_table.forget_upstreams(
        view, homes, upstream_table.FORGET_UPSTREAM_AFTER_S - 1
    )
    forgotten = upstream_table.forget_upstreams(
        view, homes, upstream_table.FORGET_UPSTREAM_AFTER_S
    )
    assert bool(forgotten) is gone


def test_home_ends_the_lease_of_a_silent_upstream_once():
    view = upstream_table.UpstreamsSection()
    accept(view, announcement())
    assert not upstream_table.expire_upstreams(
        view, "entry-2", upstream_table.EXPIRE_AFTER_S
    )
    (record,) = upstream_table.expire_upstreams(
        view, "entry-1", upstream_table.EXPIRE_AFTER_S
    )
    assert (record.lease_ms, record.sequence) == (0, 1)
    assert not upstream_table.expire_upstreams(
        view, "entry-1", upstream_table.EXPIRE_AFTER_S + 1
    )
    assert accept(view, announcement(1, 9), now=11.0).record.sequence == 2


def test_flapping_upstream_is_suppressed_until_stable():
    stability = Stability()
    suppressed = []
    for now in (0.0, 1.0, 2.0):
        stability = after_return(stability, now)
        suppressed.append(is_suppressed(stability, now))
    assert suppressed == [False, False, True]
    assert is_suppressed(stability, 20.0)
    assert not is_suppressed(stability, 60.0)


def test_pause_of_unreachable_upstream_grows():
    stability = after_failure(after_failure(Stability(), 0.0), 0.0)
    assert [is_suppressed(stability, now) for now in (0.9, 1.0)] == [True, False]
    assert after_success(stability) == Stability()
    known = upstream_table.KnownUpstream(upstream_record(), 0.0, stability=stability)
    other = upstream_table.KnownUpstream(upstream_record("v"), 0.0)
    assert upstream_table.preferred_upstreams([known, other], 0.0) == [other]
    assert upstream_table.preferred_upstreams([known], 0.0) == [known]


PROBES = [
    ("renews", {"incarnation": 1}, (0.7, False)),
    ("without an incarnation", {}, (0.0, False)),
    ("another incarnation", {"incarnation": 2}, (0.0, False)),
    ("leaves", {"incarnation": 1, "leaving": True}, (0.0, True)),
]


@pytest.mark.parametrize(
    ("answer", "expected"),
    [row[1:] for row in PROBES],
    ids=[row[0] for row in PROBES],
)
def test_probe_renews_only_a_confirmed_incarnation(answer, expected):
    known = upstream_table.KnownUpstream(upstream_record(), 0.0)
    due = [probing.is_probe_due(known, now) for now in (0.5, 0.7, 1.9, 2.0)]
    assert due == [False, True, True, False]
    left = probing.apply_probe_response(known, probing.ProbeResponse(**answer), 0.7)
    assert (known.heard_at, bool(left and left.leaving)) == expected


@pytest.mark.parametrize("count", [1, 2, 10, 11, 36, 360])
def test_neighbours_are_few_symmetric_and_reach_all(count):
    nodes = [f"entry-{number}" for number in range(count)]
    links = {node: overlay.neighbours(node, nodes) for node in nodes}
    for node, others in links.items():
        assert all(node in links[other] for other in others)
    dialled = [
        {node, other}
        for node in nodes
        for other in overlay.dialled_neighbours(node, links[node])
    ]
    assert len(dialled) == sum(map(len, links.values())) / 2
    assert max(map(len, links.values())) <= 10
    reached, steps = {nodes[0]}, 0
    while len(reached) < count:
        reached |= {other for node in reached for other in links[node]}
        steps += 1
    assert steps <= 8


def test_each_node_follows_few_upstreams_of_every_service_local_ones_first():
    records = [
        upstream_record(
            f"u{number}", service=f"s{number % 3}", data_centre=f"d{number % 7}"
        )
        for number in range(930)
    ]
    followers = dict.fromkeys((one.upstream for one in records), 0)
    for node in range(360):
        chosen = following.followed_upstreams(f"n{node}", f"d{node % 7}", records)
        assert chosen == following.followed_upstreams(
            f"n{node}", f"d{node % 7}", records[::-1]
        )
        assert len(chosen) <= following.FOLLOWED_UPSTREAMS
        near = [one for one in records if one.upstream in chosen]
        assert {one.service for one in near} == {"s0", "s1", "s2"}
        assert sum(one.data_centre == f"d{node % 7}" for one in near) == 18
        for upstream in chosen:
            followers[upstream] += 1
    assert min(followers.values()) >= 1
    assert len(following.followed_upstreams("n", "d0", records[:24])) == 24


def test_digests_differ_only_where_the_tables_do():
    versions = [item_version(upstream_record(f"u{number}")) for number in range(50)]
    versions += [item_version(peer_record(f"n{number}")) for number in range(50)]
    assert bucket_digests(versions) == bucket_digests(versions[::-1])
    changed = msgspec.structs.replace(upstream_record("u0"), leaving=True)
    other = bucket_digests([item_version(changed), *versions[1:]])
    differing = [
        pair
        for pair in zip(bucket_digests(versions), other, strict=True)
        if pair[0] != pair[1]
    ]
    assert len(differing) == 1
