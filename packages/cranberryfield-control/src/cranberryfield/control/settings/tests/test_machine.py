from random import Random

import pytest

from cranberryfield.control.followers import removed_levels
from cranberryfield.control.settings import (
    SettingsState,
    adopt_tree,
    apply_change,
    difference,
    history,
)
from cranberryfield.control.settings.machine import KEPT_CHANGES, _edited
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
        "service removed under its child",
        [edit("service/s", unset=("kind",))],
        "invalid_setting",
    ),
    (
        "child without a workspace",
        [edit("workspace/v/service/s", {"queue_limit": 1})],
        "invalid_setting",
    ),
    (
        "priority that no class names",
        [edit("system", {"default_priority": "urgent"})],
        "invalid_setting",
    ),
    ("stale", [edit("service/s", {"queue_limit": 1}, revision=0)], "stale_revision"),
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


def test_of_two_operators_with_equal_numbers_one_wins_and_is_shown(state):
    ana = edit("service/s", {"queue_limit": 1}, revision=1)
    bo = edit("service/s", {"queue_limit": 2}, revision=1)
    assert change(state, "a", ana) == SettingsAccepted(2)
    lost = change(state, "b", bo, author="bo")
    assert lost.kind == "stale_revision"
    for shown in ("at revision 2", "ana", "'queue_limit': 1"):
        assert shown in lost.detail


def test_a_resent_change_gets_its_first_answer(state):
    first = edit("service/s", {"queue_limit": 1}, revision=1)
    answers = [change(state, "a", first)]
    change(state, "b", edit("service/s", {"queue_limit": 2}))
    answers.append(change(state, "a", first))
    assert answers == [SettingsAccepted(2), SettingsAccepted(2)]
    other = change(state, "a", edit("service/s", {"queue_limit": 9}))
    assert other.kind == "key_reused"


def test_kept_changes_are_bounded(state):
    for number in range(KEPT_CHANGES + 5):
        change(state, f"n{number}", edit("system", {"queue_limit": number}))
    assert len(state.changes) == KEPT_CHANGES
    assert len(history(state, limit=3)) == 3
    with pytest.raises(ControlError):
        difference(state, 1, 5)


def test_difference_leaves_out_what_was_undone(state):
    change(state, "a", edit("system", {"queue_limit": 1, "claim_limit": 2}))
    change(state, "b", edit("system", unset=("queue_limit",)))
    change(state, "c", edit("workspace/w/service/s", unset=("queue_limit",)))
    found = [
        (one.level, one.name, one.set_before, one.set_after)
        for one in difference(state, 1, 4)
    ]
    assert found == [
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
def test_looking_at_what_changed_finds_what_the_whole_check_finds(seed):
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
            assert check_tree(_edited(before, (one,), before.revision + 1))


def fetch(state, section, source):
    """Fetch what a node lacks, slice by slice; return the number of slices."""
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
def test_a_node_behind_gets_what_changed_and_what_is_gone(state, keeps_changes):
    section = SettingsSection()
    fetch(state, section, SettingsTreeCache())
    edits = [edit(f"workspace/w{number}", {"share": 1.0}) for number in range(450)]
    change(state, "many", *edits)
    change(state, "gone", edit("workspace/w/service/s", unset=("queue_limit",)))
    if not keeps_changes:
        state.changes.clear()
    assert fetch(state, section, SettingsTreeCache()) == 3
    assert section.tree.levels == state.tree.levels


def test_a_tree_that_moves_on_between_slices_is_not_mixed(state):
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


@pytest.mark.parametrize(("revision", "taken"), [(1, False), (2, True)])
def test_a_replaced_group_adopts_newer_trees_only(state, revision, taken):
    levels = {"system": LevelState(revision, {"queue_limit": 1})}
    result = adopt_tree(state, AdoptSettings(revision, levels))
    assert isinstance(result, SettingsAccepted) is taken
    assert (state.tree.levels == levels) is taken
