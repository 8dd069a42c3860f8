"""State shared between controllers, in typed sections with a single writer."""

from typing import TypeVar

__all__ = ["Blackboard"]

S = TypeVar("S")


class Blackboard:
    """Collection of shared sections, one for each type.

    A section is an ordinary object. The controller that owns it adds it once
    and is the only one to change it; others get it from `read` and must not
    change it.

    Examples
    --------
    >>> class Peers:
    ...     count = 3
    >>> board = Blackboard()
    >>> own = board.add(Peers())
    >>> board.read(Peers).count
    3
    """

    def __init__(self):
        self._sections: dict[type, object] = {}

    def add(self, section: S) -> S:
        """Add a section and return it to its owner.

        Parameters
        ----------
        section : object
            The section; its type is the key for `read`.

        Returns
        -------
        object
            The same section.

        Raises
        ------
        ValueError
            If a section of this type was added before.
        """
        kind = type(section)
        if kind in self._sections:
            raise ValueError(f"section {kind.__name__} was already added by its owner")
        self._sections[kind] = section
        return section

    def read(self, kind: type[S]) -> S:
        """Return the section of type `kind`.

        Parameters
        ----------
        kind : type
            Type of the section.

        Returns
        -------
        object
            The section, which the caller must not change.

        Raises
        ------
        KeyError
            If no section of this type was added.
        """
        return self._sections[kind]
