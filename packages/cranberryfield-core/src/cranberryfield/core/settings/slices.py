"""Splitting of the settings that a node lacks into snapshots of bounded size."""

from dataclasses import dataclass, field
from heapq import nsmallest

from cranberryfield.core.ids import Revision
from cranberryfield.core.messages.settings import (
    AskPeerSettings,
    FollowSettings,
    SettingsSnapshot,
)
from cranberryfield.core.settings.tree import SettingsTree

__all__ = ["SettingsTreeCache", "next_slice"]

LEVELS_PER_SLICE = 200
MAX_CACHED_TREES = 8


@dataclass(slots=True)
class SettingsTreeCache:
    """Cache of the trees that nodes are fetching in slices.

    Attributes
    ----------
    trees : dict
        The latest trees of which a slice was sent, by revision.
    """

    trees: dict[Revision, SettingsTree] = field(default_factory=dict)


def next_slice(
    cache: SettingsTreeCache,
    tree: SettingsTree,
    request: FollowSettings | AskPeerSettings,
    removed: tuple[str, ...] | None,
) -> SettingsSnapshot:
    """Return the next slice of the settings that a node lacks.

    Parameters
    ----------
    cache : SettingsTreeCache
        Changed in place.
    tree : SettingsTree
        The newest tree.
    request : FollowSettings or AskPeerSettings
        Request with the node's revision and the slice that it needs.
    removed : tuple of str or None
        Levels removed since the node's revision; None if not known, in which
        case the whole tree is sent.

    Returns
    -------
    SettingsSnapshot
        The slice. Its revision differs from the requested one if that tree is
        no longer cached; the node then restarts from the first slice.

    Examples
    --------
    >>> from cranberryfield.core.settings import LevelState
    >>> tree = SettingsTree(2, {"system": LevelState(1, {}), "service/s":
    ...     LevelState(2, {"kind": "plain"})})
    >>> reply = next_slice(SettingsTreeCache(), tree, FollowSettings(1), ())
    >>> list(reply.levels), reply.base, reply.next_after
    (['service/s'], 1, None)
    >>> sorted(next_slice(SettingsTreeCache(), tree, FollowSettings(1), None).levels)
    ['service/s', 'system']
    """
    after = request.after
    if request.slice_of in cache.trees:
        tree = cache.trees[request.slice_of]
    else:
        after = ""
    if request.revision >= tree.revision:
        return SettingsSnapshot(tree.revision, {}, tree.revision)
    base = request.revision if removed is not None else Revision(0)
    missing_levels = (
        name
        for name, level in tree.levels.items()
        if name > after and level.revision > base
    )
    names = nsmallest(LEVELS_PER_SLICE + 1, missing_levels)
    levels = {name: tree.levels[name] for name in names[:LEVELS_PER_SLICE]}
    if len(names) <= LEVELS_PER_SLICE:
        return SettingsSnapshot(tree.revision, levels, base, removed or ())
    cache.trees[tree.revision] = tree
    while len(cache.trees) > MAX_CACHED_TREES:
        del cache.trees[min(cache.trees)]
    last = names[LEVELS_PER_SLICE - 1]
    return SettingsSnapshot(tree.revision, levels, base, removed or (), last)
