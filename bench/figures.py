"""One measured figure."""

import msgspec

__all__ = ["Figure"]


class Figure(msgspec.Struct, omit_defaults=True):
    """What one measurement gave.

    Attributes
    ----------
    name : str
        Dotted name, as ``relay.cpu_per_event``.
    value : float
        The figure.
    unit : str
        Its unit.
    target : float or None
        What it is to be held against, in the same unit.
    higher_is_better : bool
        Which side of the target is the good one.
    note : str
        Size, seed and whatever else the figure depends on.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    higher_is_better: bool = False
    note: str = ""

    @property
    def meets_target(self) -> bool | None:
        """Whether the target is met; None without one."""
        if self.target is None:
            return None
        if self.higher_is_better:
            return self.value >= self.target
        return self.value <= self.target
