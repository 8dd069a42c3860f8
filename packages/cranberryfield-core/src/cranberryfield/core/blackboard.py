"""Typed sections that controllers read, each written by one owner only."""

from typing import TypeVar

__all__ = ["Blackboard"]

S = TypeVar("S")


class Blackboard:
    """Holds one section per type.

    A section is an ordinary object. Its owner adds it once and is the only
    one that changes it; everybody else reads it through `read`.

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
            The section; its type is the name under which it is read.

        Returns
        -------
        object
            The same section.

        Raises
        ------
        ValueError
            If a section of this type has an owner already.
        """
        kind = type(section)
        if kind in self._sections:
            raise ValueError(f"section {kind.__name__} has an owner already")
        self._sections[kind] = section
        return section

    def read(self, kind: type[S]) -> S:
        """Return the section of type `kind`.

        Parameters
        ----------
        kind : type
            The section's type.

        Returns
        -------
        object
            The section, for reading.

        Raises
        ------
        KeyError
            If nobody has added it.
        """
        return self._sections[kind]
