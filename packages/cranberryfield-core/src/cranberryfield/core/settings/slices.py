"""Cuts what a node lacks into answers of bounded size."""

from dataclasses import dataclass, field
from heapq import nsmallest

from cranberryfield.core.ids import Revision
from cranberryfield.core.messages.settings import (
    AskPeerSettings,
    FollowSettings,
    SettingsSnapshot,
)
from cranberryfield.core.settings.tree import SettingsTree

__all__ = ["SliceSource", "next_slice"]

LEVELS_PER_SLICE = 200
KEPT_TREES = 8


@dataclass(slots=True)
class SliceSource:
    """Trees that nodes are fetching in slices.

    Attributes
    ----------
    trees : dict
        The last trees of which a part was sent, by revision.
    """

    trees: dict[Revision, SettingsTree] = field(default_factory=dict)


def next_slice(
    source: SliceSource,
    tree: SettingsTree,
    request: FollowSettings | AskPeerSettings,
    removed: tuple[str, ...] | None,
) -> SettingsSnapshot:
    """Return the next part of what a node lacks.

    Parameters
    ----------
    source : SliceSource
        Changed in place.
    tree : SettingsTree
        The newest tree.
    request : FollowSettings or AskPeerSettings
        What the node has, and which slice it wants.
    removed : tuple of str or None
        Levels removed since the node's revision; None if that is not known,
        so that it needs the whole tree.

    Returns
    -------
    SettingsSnapshot
        Of another revision than asked for if that tree is not kept any more;
        the node then begins again.

    Examples
    --------
    >>> from cranberryfield.core.settings import LevelState
    >>> tree = SettingsTree(2, {"system": LevelState(1, {}), "service/s":
    ...     LevelState(2, {"kind": "plain"})})
    >>> reply = next_slice(SliceSource(), tree, FollowSettings(1), ())
    >>> list(reply.levels), reply.base, reply.next_after
    (['service/s'], 1, None)
    >>> sorted(next_slice(SliceSource(), tree, FollowSettings(1), None).levels)
    ['service/s', 'system']
    """
    after = request.after
    if request.slice_of in source.trees:
        tree = source.trees[request.slice_of]
    else:
        after = ""
    if request.revision >= tree.revision:
        return SettingsSnapshot(tree.revision, {}, tree.revision)
    base = request.revision if removed is not None else Revision(0)
    lacking = (
        name
        for name, level in tree.levels.items()
        if name > after and level.revision > base
    )
    names = nsmallest(LEVELS_PER_SLICE + 1, lacking)
    levels = {name: tree.levels[name] for name in names[:LEVELS_PER_SLICE]}
    if len(names) <= LEVELS_PER_SLICE:
        return SettingsSnapshot(tree.revision, levels, base, removed or ())
    source.trees[tree.revision] = tree
    while len(source.trees) > KEPT_TREES:
        del source.trees[min(source.trees)]
    last = names[LEVELS_PER_SLICE - 1]
    return SettingsSnapshot(tree.revision, levels, base, removed or (), last)
