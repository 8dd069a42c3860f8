import pytest

from cranberryfield.daemon.state_changes import (
    Observation,
    StateChange,
    UpstreamState,
    find_changes,
)

IN_USE, SILENT = UpstreamState.IN_USE, UpstreamState.SILENT
CASES = [
    ("nothing", Observation(True, 3), Observation(True, 3), []),
    ("stops", Observation(True, 3), Observation(False, 3), [StateChange("not ready")]),
    (
        "is elected",
        Observation(True, 3, "candidate", None),
        Observation(True, 3, "leader", "control-1"),
        [StateChange("control role", {"role": "leader", "leader": "control-1"})],
    ),
    (
        "upstreams come, fall silent and are forgotten",
        Observation(True, 3, upstreams={"a": IN_USE, "b": IN_USE, "c": SILENT}),
        Observation(True, 3, upstreams={"a": IN_USE, "b": SILENT, "d": IN_USE}),
        [
            StateChange("upstream", {"upstream": "b", "state": "silent"}),
            StateChange("upstream", {"upstream": "d", "state": "in use"}),
            StateChange("upstream", {"upstream": "c", "state": "forgotten"}),
        ],
    ),
]


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_find_changes(before, after, expected):
    assert find_changes(before, after) == expected
