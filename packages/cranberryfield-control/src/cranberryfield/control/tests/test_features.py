import pytest
import structlog

from cranberryfield.control.consensus.membership import JoinRequest
from cranberryfield.control.features import (
    HostFilter,
    hosts_that_block,
    next_feature_level,
)
from cranberryfield.control.machine import ControlState, apply_command
from cranberryfield.control.recovery import decode_state, encode_state
from cranberryfield.core.messages.commands import RaiseFeatureLevel
from cranberryfield.core.messages.consensus import Members

GROUP = Members(("a~1", "b~1", "c~1"), ("d~1",))
ALL = {"a": 1, "b": 1, "c": 1, "d": 1}


# Guards against a level that a member cannot read, and one that is never reached.
@pytest.mark.parametrize(
    ("current", "members", "known", "linked", "level", "blockers"),
    [
        pytest.param(0, GROUP, "abcd", ALL, 1, (), id="all understand it"),
        pytest.param(0, GROUP, "abcd", ALL | {"b": 0}, None, ("b",), id="old voter"),
        pytest.param(0, GROUP, "abcd", ALL | {"d": 0}, None, ("d",), id="old learner"),
        pytest.param(
            0, GROUP, "abc", {"a": 1, "b": 1, "d": 1}, None, ("c",), id="unlinked voter"
        ),
        pytest.param(
            0, GROUP, "abcde", ALL, None, ("e",), id="a host that has left just now"
        ),
        pytest.param(
            0, GROUP, "abcde", ALL | {"e": 0}, None, ("e",), id="an old host waits"
        ),
        pytest.param(0, GROUP, "abcd", ALL | {"a": 3}, 1, (), id="newer build"),
        pytest.param(1, GROUP, "abcd", ALL, None, (), id="raised already"),
        pytest.param(1, GROUP, "abcd", ALL | {"b": 0}, None, ("b",), id="not lowered"),
        pytest.param(
            0,
            Members(("a~1", "b~1", "b~2")),
            "ab",
            {"a": 1, "b": 1},
            1,
            (),
            id="lost disk",
        ),
        pytest.param(0, Members(("a~1",)), "a", {"a": 2}, 2, (), id="alone"),
    ],
)
def test_the_level_is_what_all_control_hosts_understand(
    current, members, known, linked, level, blockers
):
    assert next_feature_level(current, members, known, linked) == level
    assert hosts_that_block(1, members, known, linked) == blockers


def test_the_level_is_never_lowered_and_is_part_of_snapshots():
    state = ControlState()
    for level, result in [(1, 1), (0, 1), (3, 3), (2, 3)]:
        apply_command(state, RaiseFeatureLevel(level))
        assert state.feature_level == result
        assert decode_state(encode_state(state)).feature_level == result


class FakeMesh:
    def __init__(self, levels):
        self.feature_level_of = levels.get


class FakeSection:
    def __init__(self, level):
        self.state = ControlState(feature_level=level)


# Guards against a build without feature levels that joins a group whose log it cannot
# read, and against a host that is kept out although it may take part.
@pytest.mark.parametrize(
    ("group_level", "host_level", "admitted"),
    [
        (0, 0, True),
        (0, 1, True),
        (1, 0, False),
        (1, 1, True),
        (1, 2, True),
        (2, 1, False),
    ],
)
def test_only_hosts_that_understand_the_level_are_admitted(
    group_level, host_level, admitted
):
    host_filter = HostFilter(FakeSection(group_level), FakeMesh({"e": host_level}))
    requests = {"e": JoinRequest("e~1", 0.0)}
    with structlog.testing.capture_logs() as logs:
        for _ in range(3):
            assert host_filter.admissible(requests) == (requests if admitted else {})
    assert len(logs) == (0 if admitted else 1)
