"""Fits a straight line to what something costs at several sizes."""

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
    """A line through the measured costs.

    Attributes
    ----------
    sizes, costs : tuple of float
        What was measured.
    per_unit : float
        Cost of one more.
    base : float
        Cost of none, by the line.
    residual : float
        Root mean square of the distances from the line, as a part of the
        cost at the largest size.
    """

    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    per_unit: float
    base: float
    residual: float

    def figure(self, name: str, unit: str, scale: float = 1.0) -> Figure:
        """Return the slope as a figure of the bench.

        Parameters
        ----------
        name : str
            The figure's name.
        unit : str
            Unit of the slope.
        scale : float
            How many of that unit one unit of the costs is.

        Returns
        -------
        Figure
            Its note has the sizes, the base and the residual.
        """
        sizes = ", ".join(f"{size:g}" for size in self.sizes)
        note = (
            f"sizes {sizes}; base {self.base * scale:.4g}; residual {self.residual:.1%}"
        )
        return Figure(name, self.per_unit * scale, unit, note=note)


def fit_slope(sizes: list[float], costs: list[float]) -> Slope:
    """Fit a line by least squares.

    Parameters
    ----------
    sizes, costs : list of float
        At least three of each.

    Returns
    -------
    Slope
        The line.

    Examples
    --------
    >>> line = fit_slope([1, 2, 3], [12, 14, 16])
    >>> round(line.per_unit, 6), round(line.base, 6), round(line.residual, 6)
    (2.0, 10.0, 0.0)
    """
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"a slope needs {MIN_SIZES} sizes")
    per_unit, base = np.polyfit(sizes, costs, 1)
    distances = np.asarray(costs) - (per_unit * np.asarray(sizes) + base)
    residual = float(np.sqrt(np.mean(distances**2)) / max(abs(costs[-1]), 1e-12))
    return Slope(tuple(sizes), tuple(costs), float(per_unit), float(base), residual)


def measure_slope(sizes: list[int], cost_at: Callable[[int], float]) -> Slope:
    """Measure a cost at each size and fit a line.

    Parameters
    ----------
    sizes : list of int
        The sizes, ascending.
    cost_at : callable
        Returns the cost at a size.

    Returns
    -------
    Slope
        The line. What is built once, as a cache, is built before.
    """
    cost_at(sizes[0])
    return fit_slope(list(sizes), [cost_at(size) for size in sizes])


def memory_bytes(build: Callable[[], object]) -> float:
    """Return the memory that what `build` returns holds, in bytes."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)


def cpu_seconds(work: Callable[[], object], repeats: int = 3) -> float:
    """Return the least processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best
