"""Streams taken up after releases, losses of relays and restarts of control hosts.

The hosts have their real sections and decisions; messages arrive at once, and time is
virtual. Each case ends with a relay at which the caller takes its stream up, and says
at which version it goes on. ``refused`` and ``later`` are refusals as not run.
"""

import pytest

from tests.stream_hosts import CONTROL, RELAYS, StreamHosts

ALL = (*CONTROL, *RELAYS)
STREAMS = 18


def begin(hosts, version, relay="r1"):
    for number in range(STREAMS):
        hosts.begin(relay, f"{version}-{number}", version)


def lose(hosts, *nodes, **disk):
    hosts.kill(*nodes)
    hosts.start(*nodes, **disk)


def roll(hosts, nodes):
    for node in nodes:
        lose(hosts, node)


def one_version(hosts):
    hosts.appear("v1")
    begin(hosts, "v1")


def second_appears(hosts):
    one_version(hosts)
    hosts.appear("v2")


def second_appears_unheard(hosts):
    """Relays are lost before they hear of the second version."""
    one_version(hosts)
    hosts.appear("v2", hears=CONTROL)


def first_leaves(hosts):
    second_appears(hosts)
    hosts.leave("v1")


def streams_of_both(hosts):
    hosts.appear("v1")
    hosts.appear("v2")
    begin(hosts, "v1")
    begin(hosts, "v2")


def streams_of_second(hosts):
    hosts.appear("v1")
    hosts.wait(100)
    hosts.appear("v2")
    hosts.wait(1)
    begin(hosts, "v2")


# Names of the releases, with the version whose streams are taken up and whether it
# serves then.
RELEASES = {
    "one version": (one_version, "v1", True),
    "the second appears": (second_appears, "v1", True),
    "the second appears, unheard": (second_appears_unheard, "v1", True),
    "the first leaves": (first_leaves, "v1", False),
    "streams of both": (streams_of_both, "v1", True),
    "streams of the second": (streams_of_second, "v2", True),
}

# What is lost between the beginning of the streams and the caller's return, and
# whether every memory of single streams is lost with it.
LOSSES = {
    "nothing": (lambda hosts: None, False),
    "one relay": (lambda hosts: lose(hosts, "r1"), False),
    "all relays": (lambda hosts: lose(hosts, *RELAYS), False),
    "all relays, twice": (
        lambda hosts: [lose(hosts, *RELAYS) for _ in range(2)],
        False,
    ),
    "control hosts one by one, then all relays": (
        lambda hosts: (roll(hosts, CONTROL), lose(hosts, *RELAYS)),
        False,
    ),
    "all relays, then control hosts one by one": (
        lambda hosts: (lose(hosts, *RELAYS), roll(hosts, CONTROL)),
        False,
    ),
    "all control hosts, then all relays": (
        lambda hosts: (lose(hosts, *CONTROL), lose(hosts, *RELAYS)),
        False,
    ),
    "one control host for good and all relays": (
        lambda hosts: (hosts.kill("c1"), lose(hosts, *RELAYS)),
        False,
    ),
    "two control hosts one after the other and all relays": (
        lambda hosts: (hosts.kill("c1"), hosts.kill("c2"), lose(hosts, *RELAYS)),
        False,
    ),
    "all relays, then all control hosts": (
        lambda hosts: (lose(hosts, *RELAYS), lose(hosts, *CONTROL)),
        True,
    ),
    "all hosts at once": (lambda hosts: lose(hosts, *ALL), True),
    "all hosts at once, and two disks": (
        lambda hosts: (
            hosts.kill(*ALL),
            hosts.start(*CONTROL[2:], *RELAYS),
            hosts.start(*CONTROL[:2], has_disk=False),
        ),
        True,
    ),
}


# Guards against a stream that is joined to text of another version, and against one
# that is refused although its version serves. Without any memory of single streams it
# may go on only where no second version has been in service.
@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("release", RELEASES)
def test_streams_after_a_loss(release, loss):
    prepare, version, serves = RELEASES[release]
    lose_hosts, is_forgotten = LOSSES[loss]
    hosts = StreamHosts()
    prepare(hosts)
    lose_hosts(hosts)
    goes_on = serves and (not is_forgotten or release == "one version")
    expected = version if goes_on else "refused"
    for relay in RELAYS:
        for number in range(STREAMS):
            assert hosts.take_up(relay, f"{version}-{number}") == expected


def only_second_announces(hosts):
    """All hosts lose power; the upstream of the first version is gone with them."""
    one_version(hosts)
    hosts.appear("v2")
    hosts.kill(*ALL)
    hosts.leave("v1")
    hosts.start(*CONTROL, *RELAYS)
    return "r2"


def first_left_long_before(hosts):
    """The first version has left before any stream that can be taken up began."""
    hosts.appear("v1")
    hosts.appear("v2")
    hosts.leave("v1")
    hosts.wait(130)
    for table in hosts.tables.values():
        if "u-v1" in table.entries:
            table.remove("u-v1")
    lose(hosts, *ALL)
    hosts.wait(80)
    begin(hosts, "v2")
    lose(hosts, *ALL)
    hosts.wait(80)
    return "r2"


def relay_hears_of_second_only(hosts):
    """The relay that came back knows the second version only, control hosts both."""
    second_appears(hosts)
    lose(hosts, *RELAYS)
    hosts.tables["r2"].remove("u-v1")
    return "r2"


def relay_hears_of_second_only_and_nobody_knows(hosts):
    only_second = relay_hears_of_second_only(hosts)
    for host in CONTROL:
        hosts.hosts[host]._section.origins.clear()
    return only_second


def cut_off_from_holders(hosts):
    """The relay that came back reaches three control hosts, and no holder."""
    second_appears(hosts)
    holders = [one for one in CONTROL if hosts.hosts[one]._section.origins]
    hosts.kill(*RELAYS)
    told = hosts.hosts["c1"]._control_hosts(_digest("v1-0"))[:2]
    assert set(told) <= set(holders)
    hosts.cut_off("r2", *told)
    hosts.leave("v1")
    hosts.start(*RELAYS)
    return "r2"


def cut_off_from_most(hosts):
    """The relay reaches two control hosts that have heard of one version only."""
    hosts.appear("v1", hears=("c3", "c4", "c5", "r1"))
    begin(hosts, "v1")
    hosts.records.clear()
    hosts.kill(*RELAYS)
    hosts.appear("v2", hears=CONTROL)
    for node in ("c1", "c2"):
        hosts.hosts[node]._section.origins.clear()
        hosts.served[node].last_served.pop("drafts")
    hosts.cut_off("r2", "c3", "c4", "c5")
    hosts.start("r2")
    return "r2"


def cut_off_from_all(hosts):
    one_version(hosts)
    hosts.kill("r1")
    hosts.cut_off("r2", *CONTROL)
    return "r2"


def retried_at_another_version(hosts):
    """The first attempt, without an event, was told to hosts that then lost touch."""
    hosts.appear("v1")
    hosts.appear("v2")
    begin(hosts, "v1")
    told = hosts.hosts["c1"]._control_hosts(_digest("v1-0"))[:2]
    hosts.cut_off("r1", *told)
    hosts.begin("r1", "v1-0", "v2")
    hosts.kill("r1")
    return "r2"


def new_group(hosts):
    """All control hosts have lost their disks, and nobody knows for how long."""
    second_appears(hosts)
    hosts.leave("v1")
    hosts.kill(*ALL)
    hosts.start(*CONTROL, *RELAYS, has_disk=False)
    return "r2"


def new_group_later(hosts):
    new_group(hosts)
    hosts.wait(80)
    begin(hosts, "v2")
    lose(hosts, *ALL)
    return "r2"


def _digest(request):
    from cranberryfield.entry.streams.directory import _digest

    return _digest(request)


def out_of_step_while_the_second_joins(hosts):
    """The relay reaches no control host while another version joins and serves."""
    hosts.appear("v1")
    hosts.wait(100)
    hosts.cut_off("r2", *CONTROL)
    hosts.appear("v2", hears=(*CONTROL, "r1"))
    begin(hosts, "v2")
    return "r2"


def out_of_step_while_versions_are_stated(hosts):
    """The same; the version that it knows is the empty one."""
    hosts.appear("")
    hosts.wait(100)
    hosts.cut_off("r2", *CONTROL)
    hosts.appear("v2", hears=(*CONTROL, "r1"))
    begin(hosts, "v2")
    return "r2"


def in_touch_with_few_while_the_second_joins(hosts):
    """The relay reaches two control hosts, which have not heard of it either."""
    hosts.appear("v1")
    hosts.wait(100)
    hosts.cut_off("r2", "c3", "c4", "c5")
    hosts.cut_off("r1", "c1", "c2")
    hosts.appear("v2", hears=("c3", "c4", "c5", "r1"))
    begin(hosts, "v2")
    return "r2"


def back_in_step(hosts):
    """The relay reaches all control hosts again, before it hears of the upstreams."""
    out_of_step_while_the_second_joins(hosts)
    hosts.cut.clear()
    return "r2"


# Events, the stream that is taken up, and how it ends.
SINGLE_CASES = [
    (out_of_step_while_the_second_joins, "v2-0", "later"),
    (out_of_step_while_versions_are_stated, "v2-0", "later"),
    (in_touch_with_few_while_the_second_joins, "v2-0", "later"),
    (back_in_step, "v2-0", "later"),
    (only_second_announces, "v1-0", "refused"),
    (first_left_long_before, "v2-0", "v2"),
    (relay_hears_of_second_only, "v1-0", "later"),
    (relay_hears_of_second_only_and_nobody_knows, "v1-0", "refused"),
    (cut_off_from_holders, "v1-0", "refused"),
    (cut_off_from_most, "v1-0", "later"),
    (cut_off_from_all, "v1-0", "later"),
    (retried_at_another_version, "v1-0", "v2"),
    (new_group, "v1-0", "refused"),
    (new_group_later, "v2-0", "v2"),
]


# Guards against the same in orders of events that the table above does not have.
@pytest.mark.parametrize(
    ("events", "stream", "expected"),
    SINGLE_CASES,
    ids=[events.__name__ for events, _, _ in SINGLE_CASES],
)
def test_streams_after_single_orders_of_events(events, stream, expected):
    hosts = StreamHosts()
    relay = events(hosts)
    assert hosts.take_up(relay, stream) == expected


# Guards against ORDER: a relay that only a minority of the control hosts was in touch
# with sent streams to a version of which the others had not heard. They took the first
# version for the only one, and the streams went on there.
@pytest.mark.parametrize("in_touch", [(), ("c1",), ("c1", "c2")])
def test_no_stream_begins_at_a_version_that_most_do_not_know(in_touch):
    hosts = StreamHosts()
    hosts.appear("v1")
    hosts.wait(100)
    begin(hosts, "v1")
    hosts.cut_off("r1", *set(CONTROL) - set(in_touch))
    hosts.appear("v2", hears=(*in_touch, "r1"))
    assert not hosts.begin("r1", "v2-0", "v2")
    # Streams go on to begin at the version that most know.
    assert hosts.begin("r1", "v1-new", "v1")
    # It may once the others have heard of the version too.
    hosts.cut.clear()
    hosts.appear("v2")
    hosts.now += 1.0
    assert hosts.begin("r1", "v2-0", "v2")
    assert hosts.take_up("r2", "v2-0") == "v2"


# Guards against ORDER: an attempt at another version, which nobody could be told of,
# had the first event, and the stream went on at the version of the attempt before.
@pytest.mark.parametrize("in_touch", [(), ("c1",), ("c1", "c2")])
def test_no_attempt_changes_the_version_unless_most_know(in_touch):
    hosts = StreamHosts()
    hosts.appear("v1")
    hosts.appear("v2")
    assert hosts.begin("r1", "other", "v2")
    assert hosts.begin("r1", "stream", "v1")
    hosts.cut_off("r1", *set(CONTROL) - set(in_touch))
    assert not hosts.begin("r1", "stream", "v2")


# Guards against messages on streams in deployments whose upstreams state no version,
# and against refusals there.
def test_nobody_is_told_where_upstreams_state_no_version():
    hosts = StreamHosts()
    hosts.appear("")
    begin(hosts, "")
    lose(hosts, *ALL)
    assert not hosts.sent
    assert hosts.take_up("r2", "-0") == ""
    # It cannot know whether upstreams state versions now.
    hosts.cut_off("r2", *CONTROL)
    assert hosts.take_up("r2", "-1") == "later"


# Guards against streams of upstreams without a version that nobody hears of when
# upstreams with one appear beside them.
def test_streams_without_version_are_told_once_one_is_stated():
    hosts = StreamHosts()
    hosts.appear("")
    begin(hosts, "")
    hosts.appear("v1")
    lose(hosts, *RELAYS)
    assert hosts.take_up("r2", "-0") == ""
