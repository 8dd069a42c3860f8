import pytest

from cranberryfield.client.settings_file import change_of_levels, compare_levels
from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.operators.views import LevelView, SettingsView

SERVICE = "service/redacteur"
STANDING = {"kind": "model", "queue_limit": 5}


def view(revision=7, values=STANDING):
    return SettingsView(revision, [LevelView(SERVICE, revision, values)])


DIFFERENCES = [
    ("the same", {SERVICE: STANDING}, False, []),
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
def test_what_differs(wanted, exact, expected):
    found = compare_levels(view(), wanted, exact)
    assert [(one.setting, one.now, one.wanted) for one in found] == expected


def change(wanted, standing):
    return change_of_levels(
        standing, wanted, compare_levels(standing, wanted, exact=True), "ana"
    )


def test_change_id_names_the_edits_and_what_they_build_on():
    wanted = {SERVICE: {"kind": "model", "queue_limit": 6}}
    first = change(wanted, view())
    assert change(wanted, view()) == first
    assert first.edits[0].expected_revision == 7
    assert change(wanted, view(revision=9)).change_id != first.change_id
    other = {SERVICE: {"kind": "model", "queue_limit": 8}}
    assert change(other, view()).change_id != first.change_id


def test_level_that_is_new_must_not_exist():
    edits = change({"workspace/w": {"share": 2.0}}, view()).edits
    assert [(edit.level, edit.expected_revision) for edit in edits] == [
        ("workspace/w", 0)
    ]


def test_tree_that_could_not_work_is_refused_before_it_is_sent():
    with pytest.raises(ControlError) as caught:
        change({"service/new": {"queue_limit": 1}}, view())
    assert caught.value.kind is ErrorKind.INVALID_SETTING
    assert "needs the setting kind" in caught.value.detail
