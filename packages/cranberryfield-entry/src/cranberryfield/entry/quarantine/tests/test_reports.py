"""Exchange of suspects among hosts that miss messages and restart, without I/O."""

from random import Random

import pytest

from cranberryfield.entry.quarantine.reports import (
    MAX_LEARNED_AGE_S,
    answer_comparison,
    digest_suspects,
    make_full_report,
    make_report,
    merge_report,
)
from cranberryfield.entry.quarantine.section import (
    MAX_CRASHES,
    Crash,
    QuarantineSection,
    count_crashes,
    is_quarantined,
    record_completion,
    record_crash,
)

CONTROL_HOSTS = 5
RELAYS = 9
CULPRITS = [f"culprit-{number}".encode() for number in range(8)]
INNOCENTS = [f"innocent-{number}".encode() for number in range(60)]
#: Largest age of a report when it arrives, in seconds.
MAX_DELAY_S = 2.0


class SimulatedHost:
    """A host with a clock of its own that may lose all that it knows."""

    def __init__(self, clock_offset_s):
        self.clock_offset_s = clock_offset_s
        self.section = QuarantineSection()

    def now(self, true_time):
        return true_time + self.clock_offset_s


class SimulatedCluster:
    """Hosts that exchange suspects over a network that loses messages."""

    def __init__(self, seed, loss):
        self.rng = Random(seed)
        self.loss = loss
        self.time = 0.0
        hosts = [
            SimulatedHost(self.rng.uniform(0, 1_000))
            for _ in range(CONTROL_HOSTS + RELAYS)
        ]
        self.control, self.relays = hosts[:CONTROL_HOSTS], hosts[CONTROL_HOSTS:]
        self.in_transit = []

    @property
    def hosts(self):
        return [*self.control, *self.relays]

    def send(self, receiver, report):
        if self.rng.random() >= self.loss:
            delay_s = self.rng.uniform(0, MAX_DELAY_S)
            self.in_transit.append((self.time + delay_s, receiver, report))

    def advance(self, seconds):
        self.time += seconds
        arrived = [one for one in self.in_transit if one[0] <= self.time]
        self.in_transit = [one for one in self.in_transit if one[0] > self.time]
        for _, receiver, report in arrived:
            self.receive(receiver, report)

    def receive(self, host, report):
        merged = merge_report(host.section, report, host.now(self.time))
        news = [*merged.cleared, *dict(merged.crashes)]
        if news and host in self.control:
            self.publish(host, news, self.hosts)

    def publish(self, host, fingerprints, receivers):
        report = make_report(host.section, fingerprints, host.now(self.time))
        for receiver in receivers:
            if receiver is not host:
                self.send(receiver, report)

    def crash(self, host, fingerprints, upstream):
        for fingerprint in fingerprints:
            crash = Crash(upstream, 1, host.now(self.time))
            record_crash(host.section, fingerprint, crash)
        self.publish(host, fingerprints, self.control)

    def complete(self, host, fingerprint):
        if fingerprint in host.section.crashes:
            record_completion(host.section, fingerprint, host.now(self.time))
            self.publish(host, [fingerprint], self.control)

    def compare(self, host):
        other = self.rng.choice([one for one in self.control if one is not host])
        if self.rng.random() < self.loss:
            return
        digest = digest_suspects(host.section)
        report = answer_comparison(other.section, digest, other.now(self.time))
        merge_report(host.section, report, host.now(self.time))
        if report.digest != digest_suspects(host.section):
            self.send(other, make_full_report(host.section, host.now(self.time)))


def run_until_equal(cluster, rounds=40):
    """Let hosts compare without further losses until they know the same."""
    cluster.loss = 0.0
    for _ in range(rounds):
        cluster.advance(MAX_DELAY_S)
        for host in cluster.hosts:
            cluster.compare(host)
        if len({digest_suspects(host.section) for host in cluster.hosts}) == 1:
            return
    raise AssertionError("the hosts do not know the same suspects")


# Guards against hosts that restart, miss messages or hear late and run a request
# that others refuse.
@pytest.mark.parametrize("loss", [0.0, 0.3, 0.8])
@pytest.mark.parametrize("seed", range(5))
def test_all_hosts_refuse_each_culprit_although_messages_are_lost(seed, loss):
    cluster = SimulatedCluster(seed, loss)
    rng = Random(seed)
    for number in range(MAX_CRASHES):
        for culprit in CULPRITS:
            beside = rng.sample(INNOCENTS, 4)
            # Each request in flight has its own relay, the culprit one that stays up.
            upstream = f"{culprit.decode()}-{number}"
            for fingerprint in [culprit, *beside]:
                relay = cluster.relays[0]
                if fingerprint is not culprit:
                    relay = rng.choice(cluster.relays)
                cluster.crash(relay, [fingerprint], upstream)
            cluster.advance(rng.uniform(0, 0.3))
            for innocent in beside:
                cluster.complete(rng.choice(cluster.relays), innocent)
        rng.choice(cluster.hosts[1:CONTROL_HOSTS]).section = QuarantineSection()
        rng.choice(cluster.relays[1:]).section = QuarantineSection()
        for host in cluster.hosts:
            cluster.compare(host)
    run_until_equal(cluster)
    for host in cluster.hosts:
        assert all(is_quarantined(host.section, one) for one in CULPRITS)


def test_a_completion_outlasts_a_late_report_of_the_crash():
    knows_crash, knows_both = QuarantineSection(), QuarantineSection()
    for section in (knows_crash, knows_both):
        record_crash(section, b"f", Crash("u1", 1, 5.0))
    record_completion(knows_both, b"f", 6.0)
    merge_report(knows_both, make_full_report(knows_crash, 7.0), 7.1)
    assert not knows_both.crashes
    merge_report(knows_crash, make_full_report(knows_both, 8.0), 8.1)
    assert not knows_crash.crashes


# Guards against a delay between hosts that lets one crash count several times, or
# a completion clear the crashes that follow it.
def test_delayed_reports_change_nothing():
    cluster = SimulatedCluster(2, 0.0)
    relay = cluster.relays[0]
    cluster.crash(relay, [CULPRITS[0], INNOCENTS[0]], "u1")
    cluster.complete(relay, INNOCENTS[0])
    cluster.crash(relay, [INNOCENTS[0]], "u2")
    for _ in range(10):
        cluster.advance(MAX_DELAY_S)
    for host in cluster.hosts:
        counts = [count_crashes(host.section, one[0]) for one in (CULPRITS, INNOCENTS)]
        assert counts == [1, 1]


# Guards against control hosts that pass one report back and forth without end.
def test_a_report_is_passed_on_only_while_it_is_news():
    cluster = SimulatedCluster(1, 0.0)
    cluster.crash(cluster.relays[0], INNOCENTS, "u1")
    cluster.advance(MAX_DELAY_S)
    cluster.complete(cluster.relays[0], INNOCENTS[0])
    for _ in range(10):
        cluster.advance(MAX_DELAY_S)
    assert not cluster.in_transit


@pytest.mark.parametrize(
    ("age_s", "count"), [(MAX_LEARNED_AGE_S - 1, 1), (MAX_LEARNED_AGE_S, 0)]
)
def test_expired_crashes_are_not_learned_again(age_s, count):
    old, new = QuarantineSection(), QuarantineSection()
    record_crash(old, b"f", Crash("u1", 1, 0.0))
    merge_report(new, make_full_report(old, age_s), 0.0)
    assert count_crashes(new, b"f") == count
