import pytest

from cranberryfield.daemon.watch import (
    Change,
    Observation,
    UpstreamState,
    find_changes,
)

USED, SILENT = UpstreamState.IN_USE, UpstreamState.SILENT
CASES = [
    ("nothing", Observation(True, 3), Observation(True, 3), []),
    ("stops", Observation(True, 3), Observation(False, 3), [Change("not ready")]),
    (
        "is elected",
        Observation(True, 3, "candidate", None),
        Observation(True, 3, "leader", "control-1"),
        [Change("control role", {"role": "leader", "leader": "control-1"})],
    ),
    (
        "upstreams come, fall silent and are forgotten",
        Observation(True, 3, upstreams={"a": USED, "b": USED, "c": SILENT}),
        Observation(True, 3, upstreams={"a": USED, "b": SILENT, "d": USED}),
        [
            Change("upstream", {"upstream": "b", "state": "silent"}),
            Change("upstream", {"upstream": "d", "state": "in use"}),
            Change("upstream", {"upstream": "c", "state": "forgotten"}),
        ],
    ),
]


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_changes_are_named(before, after, expected):
    assert find_changes(before, after) == expected
