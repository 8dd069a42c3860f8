import pytest

from cranberryfield.client.settings_file import build_change, compare_levels
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.operators.views import LevelView, SettingsView

SERVICE = "service/redacteur"
CURRENT = {"kind": "model", "queue_limit": 5}


def make_view(revision=7, values=CURRENT):
    return SettingsView(revision, [LevelView(SERVICE, revision, values)])


DIFFERENCES = [
    ("the same", {SERVICE: CURRENT}, False, []),
    ("another value", {SERVICE: {"queue_limit": 6}}, False, [("queue_limit", 5, 6)]),
    ("a new value", {SERVICE: {"drained": True}}, False, [("drained", None, True)]),
    ("kept", {SERVICE: {"kind": "model"}}, False, []),
    ("gone", {SERVICE: {"kind": "model"}}, True, [("queue_limit", 5, None)]),
    ("new level", {"system": {"queue_limit": 1}}, True, [("queue_limit", None, 1)]),
]


@pytest.mark.parametrize(
    ("wanted", "exact", "expected"),
    [row[1:] for row in DIFFERENCES],
    ids=[row[0] for row in DIFFERENCES],
)
def test_compare_levels(wanted, exact, expected):
    found = compare_levels(make_view(), wanted, exact)
    assert [
        (difference.setting, difference.now, difference.wanted) for difference in found
    ] == expected


def make_change(wanted, current_view):
    return build_change(
        current_view, wanted, compare_levels(current_view, wanted, exact=True), "ana"
    )


def test_change_id_depends_on_edits_and_revisions():
    wanted = {SERVICE: {"kind": "model", "queue_limit": 6}}
    first = make_change(wanted, make_view())
    assert make_change(wanted, make_view()) == first
    assert first.edits[0].expected_revision == 7
    assert make_change(wanted, make_view(revision=9)).change_id != first.change_id
    other = {SERVICE: {"kind": "model", "queue_limit": 8}}
    assert make_change(other, make_view()).change_id != first.change_id


def test_new_level_must_not_exist_yet():
    edits = make_change({"workspace/w": {"share": 2.0}}, make_view()).edits
    assert [(edit.level, edit.expected_revision) for edit in edits] == [
        ("workspace/w", 0)
    ]


def test_invalid_tree_is_rejected_before_sending():
    with pytest.raises(ControlError) as caught:
        make_change({"service/new": {"queue_limit": 1}}, make_view())
    assert caught.value.kind is ErrorKind.INVALID_SETTING
    assert "needs the setting kind" in caught.value.detail
