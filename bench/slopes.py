"""Linear fit of a cost that is measured at several sizes."""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from bench.figures import Figure

__all__ = ["Slope", "cpu_seconds", "fit_slope", "measure_slope", "memory_bytes"]

MIN_SIZES = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """Least-squares line through measured costs.

    Attributes
    ----------
    sizes, costs : tuple of float
        Sizes and the costs measured at them.
    per_unit : float
        Cost per additional unit of size (the slope).
    intercept : float
        Cost at size zero (the intercept).
    residual : float
        Root mean square of the residuals, relative to the cost at the largest
        size.
    """

    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    per_unit: float
    intercept: float
    residual: float

    def figure(self, name: str, unit: str, scale: float = 1.0) -> Figure:
        """Return the slope as a benchmark figure.

        Parameters
        ----------
        name : str
            Name of the figure.
        unit : str
            Unit of the slope.
        scale : float
            Factor that converts the unit of the costs to `unit`.

        Returns
        -------
        Figure
            Slope; the note gives the sizes, the intercept and the residual.
        """
        sizes = ", ".join(f"{size:g}" for size in self.sizes)
        note = (
            f"sizes {sizes}; base {self.intercept * scale:.4g}; "
            f"residual {self.residual:.1%}"
        )
        return Figure(name, self.per_unit * scale, unit, note=note)


def fit_slope(sizes: list[float], costs: list[float]) -> Slope:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, costs : list of float
        At least three sizes, and the cost at each.

    Returns
    -------
    Slope
        Fitted line.

    Examples
    --------
    >>> line = fit_slope([1, 2, 3], [12, 14, 16])
    >>> round(line.per_unit, 6), round(line.intercept, 6), round(line.residual, 6)
    (2.0, 10.0, 0.0)
    """
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"a slope needs at least {MIN_SIZES} sizes")
    per_unit, intercept = np.polyfit(sizes, costs, 1)
    residuals = np.asarray(costs) - (per_unit * np.asarray(sizes) + intercept)
    residual = float(np.sqrt(np.mean(residuals**2)) / max(abs(costs[-1]), 1e-12))
    return Slope(
        tuple(sizes), tuple(costs), float(per_unit), float(intercept), residual
    )


def measure_slope(sizes: list[int], cost_at: Callable[[int], float]) -> Slope:
    """Measure a cost at each size and fit a line.

    Parameters
    ----------
    sizes : list of int
        Sizes in ascending order.
    cost_at : callable
        Function that returns the cost at a size.

    Returns
    -------
    Slope
        Fitted line. The smallest size is first run once as a warm-up, so that
        one-time costs such as filling a cache are excluded.
    """
    cost_at(sizes[0])
    return fit_slope(list(sizes), [cost_at(size) for size in sizes])


def memory_bytes(build: Callable[[], object]) -> float:
    """Return the memory retained by the result of `build`, in bytes."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return float(after - before)


def cpu_seconds(work: Callable[[], object], repeats: int = 3) -> float:
    """Return the lowest processor time of `repeats` runs of `work`, in seconds."""
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best
