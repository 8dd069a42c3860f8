"""The settings in force on one node, and how it takes in newer ones."""

from dataclasses import dataclass, field

from cranberryfield.core.settings.tree import SettingsTree

__all__ = ["SettingsSection", "confirm", "may_serve", "take_changes", "take_snapshot"]

#: Time for which a node serves after its revision was last confirmed, in
#: seconds. Less than the time in which a change must be in force everywhere.
CONFIRMATION_S = 3.0


@dataclass(slots=True)
class SettingsSection:
    """Section of the blackboard: the tree in force.

    Attributes
    ----------
    tree : SettingsTree
        The highest committed tree this node has heard of.
    confirmed_at : float or None
        Monotonic time in seconds at which the leader of the control group was
        last known to have no newer revision; None before the first time.
    generation : int
        The control group's; answers of an older one are ignored.
    hosts : int
        Entry hosts that must have every change, as the leader last said.
    reached_peers : int
        Other entry hosts that answered lately.
    lost_peers : bool
        Whether the node has missed control and most of its peers since it was
        last confirmed.
    """

    tree: SettingsTree = field(default_factory=SettingsTree)
    confirmed_at: float | None = None
    generation: int = 0
    hosts: int = 1
    reached_peers: int = 0
    lost_peers: bool = False


def take_snapshot(section: SettingsSection, tree: SettingsTree) -> bool:
    """Take a whole tree if it is newer than the one in force.

    Parameters
    ----------
    section : SettingsSection
        Changed in place.
    tree : SettingsTree
        A committed tree.

    Returns
    -------
    bool
        Whether the tree in force is now a newer one.

    Examples
    --------
    >>> section = SettingsSection()
    >>> take_snapshot(section, SettingsTree(4))
    True
    >>> take_snapshot(section, SettingsTree(3))
    False
    >>> section.tree.revision
    4
    """
    if tree.revision <= section.tree.revision:
        return False
    section.tree = tree
    return True


def take_changes(
    section: SettingsSection,
    base: int,
    changes: SettingsTree,
    removed: tuple[str, ...],
) -> bool:
    """Apply changed levels if they follow from the tree in force.

    Parameters
    ----------
    section : SettingsSection
        Changed in place.
    base : int
        Revision that the changes build on; 0 if they are the whole tree.
    changes : SettingsTree
        The changed levels and the revision after them.
    removed : tuple of str
        Levels that are gone.

    Returns
    -------
    bool
        False if the node lacks what the changes build on.

    Examples
    --------
    >>> section = SettingsSection(SettingsTree(4))
    >>> take_changes(section, 5, SettingsTree(6), ())
    False
    >>> take_changes(section, 3, SettingsTree(6), ())
    True
    >>> section.tree.revision
    6
    """
    if base == 0:
        take_snapshot(section, changes)
        return True
    if changes.revision <= section.tree.revision:
        return True
    if base > section.tree.revision:
        return False
    levels = {**section.tree.levels, **changes.levels}
    for name in removed:
        levels.pop(name, None)
    section.tree = SettingsTree(changes.revision, levels)
    return True


def confirm(section: SettingsSection, revision: int, at: float) -> None:
    """Note that the leader had no newer revision at `at`.

    Parameters
    ----------
    section : SettingsSection
        Changed in place, if it holds that revision.
    revision : int
        The leader's revision.
    at : float
        Monotonic time in seconds at which the question was sent.
    """
    if section.tree.revision < revision:
        return
    if section.confirmed_at is None or at > section.confirmed_at:
        section.confirmed_at = at
        section.lost_peers = False


def may_serve(section: SettingsSection, now: float) -> bool:
    """Say whether the settings in force are current enough to serve with.

    Parameters
    ----------
    section : SettingsSection
        The settings; notes that most peers were missed.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True within `CONFIRMATION_S` of a confirmation, and after it for as
        long as the node reaches most entry hosts. False from when it does not
        until the next confirmation.

    Notes
    -----
    The leader accepts changes only while it reaches at least half of the
    entry hosts. Of two sides of a partition either control accepts changes, or
    the entry hosts cut off from it serve, never both.

    Examples
    --------
    >>> section = SettingsSection(confirmed_at=10.0, hosts=5, reached_peers=2)
    >>> may_serve(section, 12.0), may_serve(section, 14.0)
    (True, True)
    >>> section.reached_peers = 1
    >>> may_serve(section, 14.0)
    False
    >>> section.reached_peers = 4
    >>> may_serve(section, 15.0)
    False
    """
    if section.confirmed_at is None:
        return False
    if now - section.confirmed_at <= CONFIRMATION_S:
        return True
    if (section.reached_peers + 1) * 2 <= section.hosts:
        section.lost_peers = True
    return not section.lost_peers
