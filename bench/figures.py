"""Result type shared by all benchmarks."""

import msgspec

__all__ = ["Figure"]


class Figure(msgspec.Struct, omit_defaults=True):
    """One measured value with its unit and target.

    Attributes
    ----------
    name : str
        Dotted name, such as ``relay.bare_cpu``.
    value : float
        Measured value.
    unit : str
        Unit of `value` and `target`.
    target : float or None
        Limit that `value` should meet, if there is one.
    higher_is_better : bool
        Whether `target` is a minimum rather than a maximum.
    note : str
        Conditions of the measurement, such as sizes and the seed.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    higher_is_better: bool = False
    note: str = ""

    @property
    def meets_target(self) -> bool | None:
        """Whether the target is met; None without a target."""
        if self.target is None:
            return None
        if self.higher_is_better:
            return self.value >= self.target
        return self.value <= self.target
