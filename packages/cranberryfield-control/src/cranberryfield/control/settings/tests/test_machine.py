from random import Random

import pytest

from cranberryfield.control.settings import (
    SettingsState,
    adopt_tree,
    apply_change,
    diff_revisions,
    latest_changes,
)
from cranberryfield.control.settings.machine import RETAINED_CHANGES, _apply_edits
from cranberryfield.control.settings_publisher import removed_levels
from cranberryfield.core.errors import ControlError
from cranberryfield.core.messages.commands import (
    AdoptSettings,
    ChangeSettings,
    LevelEdit,
    Refused,
    SettingsAccepted,
)
from cranberryfield.core.messages.settings import FollowSettings
from cranberryfield.core.settings import LevelState, SettingsTree, check_tree
from cranberryfield.core.settings.follow import SettingsSection, apply_changes
from cranberryfield.core.settings.slices import SettingsTreeCache, next_slice

SERVICE = {"kind": "model"}


def change(state, change_id, *edits, author="ana"):
    return apply_change(state, ChangeSettings(change_id, author, edits))


@pytest.fixture
def state():
    state = SettingsState()
    change(
        state,
        "first",
        LevelEdit("service/s", 0, SERVICE),
        LevelEdit("workspace/w", 0, {"share": 2.0}),
        LevelEdit("workspace/w/service/s", 0, {"queue_limit": 3}),
    )
    return state


def edit(level, values=None, unset=(), revision=None):
    return LevelEdit(level, revision, values or {}, unset)


REFUSED = [
    ("unknown level", [edit("team/x", {"share": 1})], "unknown_path"),
    ("unknown setting", [edit("system", {"colour": 1})], "unknown_path"),
    ("wrong type", [edit("system", {"queue_limit": "many"})], "invalid_setting"),
    ("out of range", [edit("system", {"queue_limit": -1})], "invalid_setting"),
    ("wrong level", [edit("system", {"share": 1.0})], "invalid_setting"),
    ("no kind", [edit("service/t", {"queue_limit": 1})], "invalid_setting"),
    (
        "service removed that has a child",
        [edit("service/s", unset=("kind",))],
        "invalid_setting",
    ),
    (
        "child without a workspace",
        [edit("workspace/v/service/s", {"queue_limit": 1})],
        "invalid_setting",
    ),
    (
        "unknown default priority",
        [edit("system", {"default_priority": "urgent"})],
        "invalid_setting",
    ),
    (
        "stale revision",
        [edit("service/s", {"queue_limit": 1}, revision=0)],
        "stale_revision",
    ),
    (
        "one of two edits stale",
        [
            edit("system", {"queue_limit": 1}, revision=0),
            edit("service/s", {"queue_limit": 1}, revision=7),
        ],
        "stale_revision",
    ),
]


@pytest.mark.parametrize(
    ("edits", "kind"), [row[1:] for row in REFUSED], ids=[row[0] for row in REFUSED]
)
def test_a_refused_change_changes_nothing(state, edits, kind):
    before = state.tree
    result = change(state, "bad", *edits)
    assert isinstance(result, Refused)
    assert result.kind == kind
    assert state.tree is before
    assert list(state.changes) == ["first"]


def test_conflicting_change_is_refused_and_names_the_accepted_one(state):
    ana = edit("service/s", {"queue_limit": 1}, revision=1)
    bo = edit("service/s", {"queue_limit": 2}, revision=1)
    assert change(state, "a", ana) == SettingsAccepted(2)
    refused = change(state, "b", bo, author="bo")
    assert refused.kind == "stale_revision"
    for shown in ("at revision 2", "ana", "'queue_limit': 1"):
        assert shown in refused.detail


def test_resent_change_gets_its_first_result(state):
    first = edit("service/s", {"queue_limit": 1}, revision=1)
    results = [change(state, "a", first)]
    change(state, "b", edit("service/s", {"queue_limit": 2}))
    results.append(change(state, "a", first))
    assert results == [SettingsAccepted(2), SettingsAccepted(2)]
    conflicting = change(state, "a", edit("service/s", {"queue_limit": 9}))
    assert conflicting.kind == "key_reused"


def test_retained_changes_are_bounded(state):
    for number in range(RETAINED_CHANGES + 5):
        change(state, f"n{number}", edit("system", {"queue_limit": number}))
    assert len(state.changes) == RETAINED_CHANGES
    assert len(latest_changes(state, limit=3)) == 3
    with pytest.raises(ControlError):
        diff_revisions(state, 1, 5)


def test_diff_omits_reverted_values(state):
    change(state, "a", edit("system", {"queue_limit": 1, "claim_limit": 2}))
    change(state, "b", edit("system", unset=("queue_limit",)))
    change(state, "c", edit("workspace/w/service/s", unset=("queue_limit",)))
    differing = [
        (one.level, one.name, one.set_before, one.set_after)
        for one in diff_revisions(state, 1, 4)
    ]
    assert differing == [
        ("system", "claim_limit", False, True),
        ("workspace/w/service/s", "queue_limit", True, False),
    ]


RANDOM_EDITS = [
    ("system", {"default_priority": "batch"}),
    ("system", {"priority_classes": ["standard"]}),
    ("service/s", {"kind": "plain"}),
    ("service/s", {"default_priority": "interactive"}),
    ("workspace/w", {"default_priority": "batch"}),
    ("workspace/w/service/s", {"default_priority": "interactive"}),
    ("workspace/w/service/t", {"queue_limit": 1}),
    ("service/t", {"kind": "model"}),
]


@pytest.mark.parametrize("seed", range(8))
def test_check_of_changed_levels_finds_the_faults_of_a_full_check(seed):
    rng, state = Random(seed), SettingsState()
    for number in range(60):
        level, values = rng.choice(RANDOM_EDITS)
        removes = rng.random() < 0.4
        one = edit(level, unset=tuple(values)) if removes else edit(level, values)
        before = state.tree
        result = change(state, str(number), one)
        assert check_tree(state.tree) == []
        if isinstance(result, Refused):
            assert state.tree is before
            assert check_tree(_apply_edits(before, (one,), before.revision + 1))


def fetch(state, section, source):
    """Fetch the levels a node is missing; return the number of slices."""
    levels, request, count = {}, FollowSettings(section.tree.revision), 0
    removed = removed_levels(state, section.tree.revision)
    while True:
        part = next_slice(source, state.tree, request, removed)
        levels.update(part.levels)
        count += 1
        if part.next_after is None:
            break
        request = FollowSettings(request.revision, part.revision, part.next_after)
    changes = SettingsTree(part.revision, levels)
    assert apply_changes(section, part.base, changes, part.removed)
    return count


@pytest.mark.parametrize("keeps_changes", [True, False])
def test_lagging_node_receives_changed_and_removed_levels(state, keeps_changes):
    section = SettingsSection()
    fetch(state, section, SettingsTreeCache())
    edits = [edit(f"workspace/w{number}", {"share": 1.0}) for number in range(450)]
    change(state, "many", *edits)
    change(state, "gone", edit("workspace/w/service/s", unset=("queue_limit",)))
    if not keeps_changes:
        state.changes.clear()
    assert fetch(state, section, SettingsTreeCache()) == 3
    assert section.tree.levels == state.tree.levels


def test_slices_of_one_fetch_come_from_one_revision(state):
    source = SettingsTreeCache()
    edits = [edit(f"workspace/w{number}", {"share": 1.0}) for number in range(450)]
    change(state, "many", *edits)
    old = state.tree
    part = next_slice(source, old, FollowSettings(0), None)
    change(state, "next", edit("workspace/w449", {"share": 5.0}))
    request = FollowSettings(0, part.revision, part.next_after)
    again = next_slice(source, state.tree, request, None)
    assert again.revision == old.revision
    assert min(again.levels) > part.next_after


@pytest.mark.parametrize(("revision", "is_adopted"), [(1, False), (2, True)])
def test_a_replaced_group_adopts_newer_trees_only(state, revision, is_adopted):
    levels = {"system": LevelState(revision, {"queue_limit": 1})}
    result = adopt_tree(state, AdoptSettings(revision, levels))
    assert isinstance(result, SettingsAccepted) is is_adopted
    assert (state.tree.levels == levels) is is_adopted
