from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryfield.core.blackboard import Blackboard
from cranberryfield.core.messages.membership import LoadReport, UpstreamRecord
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.entry.admission.queue import (
    QueueState,
    Ticket,
    admit_next,
    enqueue,
    release,
    remove_ticket,
)
from cranberryfield.entry.admission.slots import (
    UNLIMITED_SLOTS,
    make_slot_counter,
    service_slots,
)
from cranberryfield.entry.membership import (
    KnownUpstream,
    PeersSection,
    UpstreamsSection,
)
from cranberryfield.entry.routing import DispatchSection


def ticket(workspace="a", urgency=1, deadline=10.0, share=1.0, limit=1000):
    return Ticket(workspace, "s", urgency, deadline, share, limit)


def queue_of(tickets, queue_limit=1000):
    state = QueueState()
    for one in tickets:
        enqueue(state, one, queue_limit)
    return state


ADMISSION_ORDERS = [
    ("first come", [{}, {}], [0, 1]),
    ("more urgent first", [{"urgency": 2}, {"urgency": 0}], [1, 0]),
    ("earlier deadline first", [{"deadline": 9.0}, {"deadline": 5.0}], [1, 0]),
    (
        "urgency counts only inside a workspace",
        [{"urgency": 0}, {"urgency": 0}, {"workspace": "b", "urgency": 2}],
        [0, 2, 1],
    ),
    (
        "share counts",
        [{}, {}, {"workspace": "b", "share": 2.0}, {"workspace": "b", "share": 2.0}],
        [0, 2, 3, 1],
    ),
    ("limit of a workspace", [{"limit": 1}, {"limit": 1}, {"workspace": "b"}], [0, 2]),
]


@pytest.mark.parametrize(
    ("fields", "expected_order"),
    [row[1:] for row in ADMISSION_ORDERS],
    ids=[row[0] for row in ADMISSION_ORDERS],
)
def test_admission_order(fields, expected_order):
    tickets = [ticket(**one) for one in fields]
    state = queue_of(tickets)
    admitted = []
    while (one := admit_next(state, 100)) is not None:
        admitted.append(tickets.index(one))
    assert admitted == expected_order


def test_running_requests_do_not_exceed_the_slots():
    state = queue_of([ticket(), ticket()])
    first = admit_next(state, 1)
    assert admit_next(state, 1) is None
    release(state, first)
    assert admit_next(state, 1) is not None


@pytest.mark.parametrize(
    ("workspaces", "refused"),
    [("aab", 1), ("abb", 2), ("aaab", 2), ("baaa", 3)],
)
def test_full_queue_refuses_the_workspace_with_most_waiting(workspaces, refused):
    tickets = [ticket(name) for name in workspaces]
    state = QueueState()
    results = [enqueue(state, one, len(tickets) - 1) for one in tickets]
    assert results[:-1] == [None] * (len(tickets) - 1)
    assert results[-1] is tickets[refused]
    remove_ticket(state, tickets[refused])
    assert state.count_waiting() == len(tickets) - 1


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.dictionaries(
        st.sampled_from("abcde"), st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=2
    ),
    st.integers(1, 5),
)
def test_busy_workspaces_get_their_shares(shares, slots):
    state = QueueState()
    running, count = [], Counter()
    rounds = 200
    for _ in range(rounds):
        for name, share in shares.items():
            while len(state.waiting.get(name, ())) < 3:
                enqueue(state, ticket(name, share=share), 1000)
        while (one := admit_next(state, slots)) is not None:
            running.append(one)
            count[one.workspace] += 1
        release(state, running.pop(0))
    total, weight = sum(count.values()), sum(shares.values())
    for name, share in shares.items():
        due = total * share / weight
        assert abs(count[name] - due) <= 1 + share / min(shares.values())


def known(capacity=10, running=0, queued=0, name="u"):
    load = LoadReport(running, queued)
    record = UpstreamRecord(
        name, 1, 0, "s", "d", "a:1", "m", (), capacity, 2000, load=load
    )
    return KnownUpstream(record, 0.0)


SLOTS = [
    ("no upstream: the routing refuses", [], {}, 3, UNLIMITED_SLOTS),
    ("alone", [known()], {}, 1, 11),
    ("equal part while all are busy", [known(10, 11)], {"u": 1}, 3, 3),
    ("less than it has when overcommitted", [known(10, 16)], {"u": 9}, 3, 6),
    ("half of the free slots", [known(10, 0)], {}, 5, 5),
    ("own runs do not reduce the slots", [known(10, 4)], {"u": 4}, 5, 7),
    ("sum of upstreams", [known(), known(name="v")], {}, 1, 22),
]


@pytest.mark.parametrize(
    ("leased", "in_flight", "hosts", "slots"),
    [row[1:] for row in SLOTS],
    ids=[row[0] for row in SLOTS],
)
def test_slots_follow_the_capacity(leased, in_flight, hosts, slots):
    assert service_slots(leased, in_flight, hosts) == slots


def test_runs_on_a_leaving_upstream_use_no_slot_of_the_others():
    board = Blackboard()
    board.add(SettingsSection())
    board.add(PeersSection("entry-1"))
    upstreams = board.add(UpstreamsSection()).upstreams
    in_flight = board.add(DispatchSection()).in_flight
    upstreams["u"], upstreams["v"] = known(), known(name="v")
    slots = make_slot_counter(board, lambda: 0.0)
    in_flight["v"] = 8
    assert slots("s") == 22
    upstreams["v"].record = msgspec.structs.replace(upstreams["v"].record, leaving=True)
    assert slots("s") == 11 + 8
