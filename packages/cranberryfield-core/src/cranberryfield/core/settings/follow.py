"""The settings in force on one node, and how it takes in newer ones."""

from dataclasses import dataclass, field

from cranberryfield.core.settings.tree import SettingsTree

__all__ = ["SettingsSection", "take_delta", "take_snapshot"]


@dataclass(slots=True)
class SettingsSection:
    """Section of the blackboard: the tree in force.

    Attributes
    ----------
    tree : SettingsTree
        The highest committed tree this node has heard of.
    confirmed_at : float or None
        Monotonic time in seconds at which a control host last confirmed the
        revision; None before the first time.
    """

    tree: SettingsTree = field(default_factory=SettingsTree)
    confirmed_at: float | None = None


def take_snapshot(section: SettingsSection, tree: SettingsTree, now: float) -> bool:
    """Take a whole tree if it is newer than the one in force.

    Parameters
    ----------
    section : SettingsSection
        Changed in place.
    tree : SettingsTree
        A committed tree.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the tree in force is now a newer one.

    Examples
    --------
    >>> section = SettingsSection()
    >>> take_snapshot(section, SettingsTree(4), now=1.0)
    True
    >>> take_snapshot(section, SettingsTree(3), now=2.0)
    False
    >>> section.tree.revision
    4
    """
    if tree.revision < section.tree.revision:
        return False
    section.confirmed_at = now
    if tree.revision == section.tree.revision:
        return False
    section.tree = tree
    return True


def take_delta(
    section: SettingsSection,
    base: int,
    changes: SettingsTree,
    removed: tuple[str, ...],
    now: float,
) -> bool:
    """Apply changed levels if they follow from the tree in force.

    Parameters
    ----------
    section : SettingsSection
        Changed in place.
    base : int
        Revision that the changes build on.
    changes : SettingsTree
        The changed levels and the revision after them.
    removed : tuple of str
        Levels that are gone.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        False if the node lacks what the delta builds on and needs a snapshot.
    """
    if changes.revision <= section.tree.revision:
        return True
    if base > section.tree.revision:
        return False
    levels = {**section.tree.levels, **changes.levels}
    for name in removed:
        levels.pop(name, None)
    section.tree = SettingsTree(changes.revision, levels)
    section.confirmed_at = now
    return True
