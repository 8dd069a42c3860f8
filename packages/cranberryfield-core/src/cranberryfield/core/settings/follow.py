"""Settings in force on one node, and the application of newer revisions."""

from dataclasses import dataclass, field

from cranberryfield.core.settings.tree import SettingsTree

__all__ = [
    "SettingsSection",
    "apply_changes",
    "may_serve",
    "record_confirmation",
    "replace_tree",
]

#: Time for which a node may serve after its revision was last confirmed, in
#: seconds. Must be shorter than the time in which a change has to be in force
#: on all nodes.
CONFIRMATION_VALIDITY_S = 3.0


@dataclass(slots=True)
class SettingsSection:
    """Blackboard section with the settings tree in force.

    Attributes
    ----------
    tree : SettingsTree
        The newest committed tree that this node has received.
    confirmed_at : float or None
        Monotonic time in seconds at which the leader of the control group was
        last known to have no newer revision; None before the first
        confirmation.
    generation : int
        Generation of the control group; answers of an older generation are
        ignored.
    hosts : int
        Number of entry hosts that must have every change, as last reported by
        the leader.
    reached_peers : int
        Number of other entry hosts that answered recently.
    lost_peers : bool
        Whether, since the last confirmation, the node was cut off from both the
        control group and most of its peers.
    """

    tree: SettingsTree = field(default_factory=SettingsTree)
    confirmed_at: float | None = None
    generation: int = 0
    hosts: int = 1
    reached_peers: int = 0
    lost_peers: bool = False


def replace_tree(section: SettingsSection, tree: SettingsTree) -> bool:
    """Replace the tree in force if the given one is newer.

    Parameters
    ----------
    section : SettingsSection
        Changed in place.
    tree : SettingsTree
        A committed tree.

    Returns
    -------
    bool
        Whether the tree was replaced.

    Examples
    --------
    >>> section = SettingsSection()
    >>> replace_tree(section, SettingsTree(4))
    True
    >>> replace_tree(section, SettingsTree(3))
    False
    >>> section.tree.revision
    4
    """
    if tree.revision <= section.tree.revision:
        return False
    section.tree = tree
    return True


def apply_changes(
    section: SettingsSection,
    base: int,
    changes: SettingsTree,
    removed: tuple[str, ...],
) -> bool:
    """Apply changed levels if their base revision is available.

    Parameters
    ----------
    section : SettingsSection
        Changed in place.
    base : int
        Base revision of the changes; 0 if they are the whole tree.
    changes : SettingsTree
        The changed levels and the resulting revision.
    removed : tuple of str
        Levels that no longer exist.

    Returns
    -------
    bool
        False if the tree in force is older than `base`, so that the changes
        cannot be applied.

    Examples
    --------
    >>> section = SettingsSection(SettingsTree(4))
    >>> apply_changes(section, 5, SettingsTree(6), ())
    False
    >>> apply_changes(section, 3, SettingsTree(6), ())
    True
    >>> section.tree.revision
    6
    """
    if base == 0:
        replace_tree(section, changes)
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


def record_confirmation(section: SettingsSection, revision: int, at: float) -> None:
    """Record that the leader had no newer revision at the time `at`.

    Parameters
    ----------
    section : SettingsSection
        Changed in place, if its tree has at least that revision.
    revision : int
        The leader's revision.
    at : float
        Monotonic time in seconds at which the leader was queried.
    """
    if section.tree.revision < revision:
        return
    if section.confirmed_at is None or at > section.confirmed_at:
        section.confirmed_at = at
        section.lost_peers = False


def may_serve(section: SettingsSection, now: float) -> bool:
    """Return whether the settings in force are recent enough to serve requests.

    Parameters
    ----------
    section : SettingsSection
        The settings; `lost_peers` is set when most peers are unreachable.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        True within `CONFIRMATION_VALIDITY_S` of a confirmation, and after that
        for as long as the node reaches most entry hosts. Once it does not,
        False until the next confirmation.

    Notes
    -----
    The leader accepts changes only while it reaches at least half of the entry
    hosts. During a network partition either the control group accepts changes
    or the entry hosts that are cut off from it serve, never both.

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
    if now - section.confirmed_at <= CONFIRMATION_VALIDITY_S:
        return True
    if (section.reached_peers + 1) * 2 <= section.hosts:
        section.lost_peers = True
    return not section.lost_peers
