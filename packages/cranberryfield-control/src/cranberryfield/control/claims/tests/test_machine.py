from dataclasses import dataclass
from random import Random

import msgspec
import pytest
from hypothesis import given, settings, strategies

from cranberryfield.control.claims import ClaimTable, apply_claim_command
from cranberryfield.control.claims.expired import ExpiredKeys, add_expired, is_expired
from cranberryfield.core.messages.claims import (
    AdvanceClock,
    ClaimState,
    ClaimView,
    CloseClaim,
    FindClaim,
    OpenClaim,
    RecordDispatch,
    RenewHolder,
)
from cranberryfield.core.messages.commands import Refused
from cranberryfield.core.settings import EffectiveSettings

REQUEST = ("notary", "booking-7")
BOUNDS = EffectiveSettings(claim_lease_ms=3000, claim_holder_lease_ms=6000)
ANSWERED, UNKNOWN, RELEASED = (
    ClaimState.ANSWERED,
    ClaimState.UNKNOWN,
    ClaimState.RELEASED,
)


def open_claim(token, node="entry-1", session="s1", digest=b"d", name=REQUEST):
    return OpenClaim(*name, digest, node, session, token, 10_000)


def dispatch(token, attempt=1, number=1, run_ms=20_000):
    return RecordDispatch(*REQUEST, attempt, token, number, "app-1", 1, run_ms)


def close_claim(token, state, attempt=1, answer=b"ok"):
    return CloseClaim(*REQUEST, attempt, token, state, 200, "text/plain", answer, b"h")


def wait(ms):
    return AdvanceClock(ms)


FIND = FindClaim(*REQUEST)
RENEW = RenewHolder("entry-1", "s1")
RESTART = RenewHolder("entry-1", "s2")
OPEN = open_claim("a")
OTHER = open_claim("b", "entry-2", "t1")

# Commands, and the result of the last one: granted and state, or error kind.
COMMAND_SEQUENCES = [
    ("first claim", [OPEN], (True, "claimed")),
    ("resent command", [OPEN, OPEN], (True, "claimed")),
    ("second claimer is not granted", [OPEN, OTHER], (False, "claimed")),
    ("other body", [OPEN, open_claim("b", digest=b"e")], (False, "claimed")),
    ("claim lease expired", [OPEN, wait(3000), OTHER], (True, "claimed")),
    ("claimer restarted", [OPEN, RESTART, OTHER], (True, "claimed")),
    (
        "old attempt after a takeover",
        [OPEN, wait(3000), OTHER, dispatch("a")],
        (False, "claimed"),
    ),
    ("dispatch in the lease", [OPEN, wait(2999), dispatch("a")], (True, "dispatched")),
    ("dispatch too late", [OPEN, wait(3000), dispatch("a")], (False, "released")),
    ("resend during the run", [OPEN, dispatch("a"), OTHER], (False, "dispatched")),
    ("holder lease over", [OPEN, dispatch("a"), wait(6000), OTHER], (False, "unknown")),
    (
        "holder lease renewed",
        [OPEN, dispatch("a"), wait(5000), RENEW, wait(5000), OTHER],
        (False, "dispatched"),
    ),
    ("holder restarted", [OPEN, dispatch("a"), RESTART, FIND], (False, "unknown")),
    (
        "run past its deadline",
        [OPEN, dispatch("a", run_ms=4000), wait(4000), RENEW, FIND],
        (False, "unknown"),
    ),
    (
        "answer after the outcome became unknown",
        [OPEN, dispatch("a"), wait(6000), OTHER, close_claim("a", ANSWERED)],
        (True, "answered"),
    ),
    (
        "release after the outcome became unknown",
        [OPEN, dispatch("a"), wait(6000), OTHER, close_claim("a", RELEASED)],
        (False, "unknown"),
    ),
    ("answer, no dispatch", [OPEN, close_claim("a", ANSWERED)], (False, "claimed")),
    (
        "second dispatch after a refusal",
        [OPEN, dispatch("a"), dispatch("a", number=2)],
        (True, "dispatched"),
    ),
    (
        "late resend of an older dispatch",
        [OPEN, dispatch("a"), dispatch("a", number=2), dispatch("a")],
        (False, "dispatched"),
    ),
    (
        "released and claimed again",
        [OPEN, dispatch("a"), close_claim("a", RELEASED), OTHER],
        (True, "claimed"),
    ),
    (
        "answered",
        [OPEN, dispatch("a"), close_claim("a", ANSWERED), OTHER],
        (False, "answered"),
    ),
    (
        "claim after the retention",
        [OPEN, dispatch("a"), close_claim("a", ANSWERED), wait(10_000), OTHER],
        "key_expired",
    ),
    (
        "lookup after the retention",
        [OPEN, dispatch("a"), close_claim("a", UNKNOWN), wait(10_000), FIND, FIND],
        "key_expired",
    ),
    (
        "lookup of a released claim after the retention",
        [OPEN, close_claim("a", RELEASED), wait(10_000), FIND],
        "unknown_request",
    ),
    ("lookup of an unknown key", [FIND], "unknown_request"),
]  # fmt: skip


def apply_all(commands, bounds=BOUNDS, table=None):
    table = table or ClaimTable()
    results = [apply_claim_command(table, one, bounds) for one in commands]
    return table, results[-1]


@pytest.mark.parametrize(
    ("commands", "expected"),
    [row[1:] for row in COMMAND_SEQUENCES],
    ids=[row[0] for row in COMMAND_SEQUENCES],
)
def test_command_sequence(commands, expected):
    table, result = apply_all(commands)
    if isinstance(result, Refused):
        assert result.kind == expected
    else:
        assert (result.granted, result.state.value) == expected
    decoded = msgspec.convert(msgspec.to_builtins(table), ClaimTable)
    assert decoded == table
    assert table.count == sum(len(keys) for keys in table.claims.values())


def test_stored_answer_is_returned_to_every_resend():
    commands = [OPEN, dispatch("a"), close_claim("a", ANSWERED), OTHER]
    _, view = apply_all(commands)
    assert (view.status, view.answer, view.answer_digest) == (200, b"ok", b"h")


def test_answer_memory_is_bounded_but_digests_are_stored():
    bounds = msgspec.structs.replace(BOUNDS, claim_memory_bytes=1)
    commands = [OPEN, dispatch("a"), close_claim("a", ANSWERED), FIND]
    _, view = apply_all(commands, bounds)
    assert (view.answer, view.answer_digest) == (None, b"h")


@pytest.mark.parametrize("bound", ["claim_limit", "expired_key_limit"])
def test_full_table_refuses_new_keys_only(bound):
    bounds = msgspec.structs.replace(BOUNDS, **{bound: 1})
    new = open_claim("b", name=("notary", "booking-8"))
    _, refused = apply_all([OPEN, new], bounds)
    assert refused.kind == "records_full"
    _, view = apply_all([OPEN, new, OPEN], bounds)
    assert view.granted


def test_sweep_removes_expired_claims_without_a_lookup():
    commands = [OPEN, dispatch("a"), close_claim("a", ANSWERED), wait(30_000)]
    other = open_claim("b", name=("notary", "booking-8"))
    table, _ = apply_all([*commands, other])
    assert (table.count, table.answer_bytes, table.expired.count) == (1, 0, 1)


def test_keys_with_a_timestamp_expire_below_a_watermark():
    keys = ExpiredKeys()
    older, known, newer = (
        f"{ms >> 16:08x}-{ms & 0xFFFF:04x}-7000-8000-000000000000"
        for ms in (1_000_000, 2_000_000, 3_000_000)
    )
    add_expired(keys, "notary", known)
    expired = [is_expired(keys, "notary", key) for key in (older, known, newer)]
    assert (expired, keys.count) == ([True, True, False], 0)
    assert not is_expired(keys, "releve", older)


@dataclass
class Claimer:
    """One attempt at one entry host; it may stop at any time."""

    token: str
    awaited_command: object
    attempt: int = 0
    number: int = 0
    has_run: bool = False


class RandomAttempts:
    """Applies the commands of all attempts in random order, some repeatedly."""

    def __init__(self, rng):
        self.rng = rng
        self.table = ClaimTable()
        self.sent = []
        self.claimers = []
        self.runs = 0
        self.has_expired = False

    def step(self):
        actions = [self.start_attempt, self.pass_time, self.renew, self.look_up]
        actions += [self.time_out, self.deliver_last, self.deliver_any]
        self.rng.choices(actions, [3, 2, 2, 1, 1, 10, 6])[0]()

    def send(self, claimer, command):
        claimer.awaited_command = command
        self.sent.append((claimer, command))

    def start_attempt(self):
        token = f"t{len(self.claimers)}"
        claimer = Claimer(token, None)
        self.claimers.append(claimer)
        self.send(claimer, open_claim(token, self.rng.choice(["entry-1", "entry-2"])))

    def pass_time(self):
        self.apply(AdvanceClock(self.rng.choice([100, 100, 1000, 3000, 7000])))

    def renew(self):
        node = self.rng.choice(["entry-1", "entry-2"])
        self.apply(RenewHolder(node, self.rng.choice(["s1", "s1", "s2"])))

    def look_up(self):
        view = self.apply(FIND)
        if isinstance(view, ClaimView) and view.state is RELEASED:
            assert self.runs == 0

    def deliver_last(self):
        if self.sent:
            self.deliver(len(self.sent) - 1)

    def deliver_any(self):
        if self.sent:
            self.deliver(self.rng.randrange(len(self.sent)))

    def deliver(self, position):
        claimer, command = self.sent[position]
        result = self.apply(command)
        if claimer.awaited_command is command:
            self.handle_reply(claimer, command, result)

    def time_out(self):
        if not self.claimers:
            return
        claimer = self.rng.choice(self.claimers)
        if isinstance(claimer.awaited_command, RecordDispatch):
            self.send(claimer, close_claim(claimer.token, RELEASED, claimer.attempt))
        claimer.awaited_command = None

    def handle_reply(self, claimer, command, result):
        claimer.awaited_command = None
        if not isinstance(result, ClaimView) or not result.granted:
            return
        if isinstance(command, OpenClaim):
            assert self.runs == 0
            assert not self.has_expired
            claimer.attempt = result.attempt
        if isinstance(command, RecordDispatch) and not self.simulate_upstream(claimer):
            return
        if not isinstance(command, CloseClaim):
            claimer.number += 1
            number, attempt = claimer.number, claimer.attempt
            self.send(claimer, dispatch(claimer.token, attempt, number, 8000))

    def simulate_upstream(self, claimer):
        """Simulate the upstream; return whether it refused, so that a retry follows."""
        outcome = self.rng.choices(["ran", "refused", "released", "died"], [3, 3, 2, 1])
        match outcome[0]:
            case "ran":
                self.runs += 1
                assert self.runs == 1
                end = self.rng.choice([ANSWERED, UNKNOWN])
                self.send(claimer, close_claim(claimer.token, end, claimer.attempt))
            case "released":
                self.send(
                    claimer, close_claim(claimer.token, RELEASED, claimer.attempt)
                )
        return outcome[0] == "refused"

    def apply(self, command):
        result = apply_claim_command(self.table, command, BOUNDS)
        if isinstance(result, Refused) and result.kind == "key_expired":
            self.has_expired = True
        return result


@settings(derandomize=True, deadline=None, max_examples=400)
@given(seed=strategies.integers(0, 2**32))
def test_no_order_of_commands_runs_a_key_twice(seed):
    attempts = RandomAttempts(Random(seed))
    for _ in range(80):
        attempts.step()
