import time
import uuid

import httpx
import pytest

from cranberryfield.entry.limits.token_bucket import BURST_S
from standins.fleets import NOTARY_KEY, fleet_settings
from standins.group import UPSTREAM_KEY, HostPlan, running_group
from standins.processes import wait_until

HOSTS = [
    HostPlan("control-1", "plateau", ("control",)),
    HostPlan("entry-1", "plateau"),
    HostPlan("entry-2", "fann"),
    HostPlan("entry-3", "almadies"),
]
MAX_LEAVE_DELAY_NS = 3_000_000_000
CALL_DURATION_S = 3.5
RATE_PER_S = 20.0
RATE_LIMIT_TEST_S = 1.5


@pytest.fixture(scope="module")
def group(tmp_path_factory):
    with running_group(tmp_path_factory.mktemp("leave"), HOSTS) as running:
        running.wait_revision(running.change_settings(fleet_settings(), "f", "entry-1"))
        for name in ("booking-1", "booking-2", "booking-3"):
            running.add_service(name, "booking-app", "plateau", work_ms=1.0)
        running.wait_upstreams(3)
        yield running


def post_booking(group, host, **options):
    return httpx.post(
        f"http://{group.entry_addresses[host]}/services/booking-app/x",
        headers={
            "Authorization": f"Bearer {NOTARY_KEY}",
            "Idempotency-Key": uuid.uuid4().hex,
        },
        timeout=10,
        trust_env=False,
        **options,
    )


def post_upstream_message(group, host, action, body):
    return httpx.post(
        f"http://{group.entry_addresses[host]}/upstreams/{action}",
        headers={"Authorization": f"Bearer {UPSTREAM_KEY}"},
        json=body,
        timeout=5,
        trust_env=False,
    )


def incarnation_of(group, upstream):
    views = group.known_upstreams("entry-1")
    return next(one["incarnation"] for one in views if one["upstream"] == upstream)


def run_start_times(group, upstream):
    return [
        entry.at_ns
        for entry in group.journal()
        if entry.upstream == upstream and entry.event == "started"
    ]


def test_no_run_starts_after_a_leave_told_to_one_host(group):
    """The upstream keeps announcing itself and accepts every request."""
    for host in range(3):
        assert post_booking(group, host).status_code == 200
    left_at = time.time_ns()
    body = {"id": "booking-1", "incarnation": incarnation_of(group, "booking-1")}
    assert post_upstream_message(group, 1, "leave", body).status_code == 204
    group.hosts["entry-3"].process.freeze()
    ends_at = time.monotonic() + CALL_DURATION_S
    while time.monotonic() < ends_at:
        assert {post_booking(group, host).status_code for host in (0, 1)} == {200}
    group.hosts["entry-3"].process.thaw()
    answers = [post_booking(group, 2) for _ in range(30)]
    assert {one.status_code for one in answers} <= {200, 503}
    late_starts = [
        at
        for at in run_start_times(group, "booking-1")
        if at > left_at + MAX_LEAVE_DELAY_NS
    ]
    assert not late_starts


def test_rate_limit_holds_over_all_hosts(group):
    level = "workspace/notary"
    edit = {"level": level, "set": {"rate_limit_per_s": RATE_PER_S}}
    group.wait_revision(group.change_settings([edit], "limit", "entry-1"))
    before = len(group.journal())
    started = time.monotonic()
    answers = []
    while time.monotonic() < started + RATE_LIMIT_TEST_S:
        answers += [post_booking(group, host) for host in range(3)]
    elapsed_s = time.monotonic() - started
    unset = {"level": level, "unset": ["rate_limit_per_s"]}
    group.wait_revision(group.change_settings([unset], "no limit", "entry-1"))
    admitted = [one for one in answers if one.status_code == 200]
    refused = [one for one in answers if one.status_code == 429]
    assert len(admitted) + len(refused) == len(answers)
    assert refused
    assert len(admitted) <= RATE_PER_S * (elapsed_s + BURST_S) + 1
    assert {one.json()["was_run"] for one in refused} == {"no"}
    assert all(int(one.headers["Retry-After"]) >= 1 for one in refused)
    runs = [one for one in group.journal()[before:] if one.event == "started"]
    assert len(runs) == len(admitted)


def test_crash_is_noticed_without_a_notice(group):
    group.upstreams["booking-2"].kill()
    assert {post_booking(group, host).status_code for host in (0, 1, 2) * 5} == {200}

    def lease_ended(node):
        views = group.known_upstreams(node)
        lease_left_ms = [
            one["lease_left_ms"] for one in views if one["upstream"] == "booking-2"
        ]
        return not lease_left_ms or lease_left_ms[0] <= 0

    for node in ("entry-1", "entry-2", "entry-3"):
        wait_until(
            lambda node=node: lease_ended(node),
            f"the lease of booking-2 ends on {node}",
        )
