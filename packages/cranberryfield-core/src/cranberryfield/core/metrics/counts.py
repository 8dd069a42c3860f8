"""Arithmetic on histograms that are stored as sparse bucket counts.

Percentiles of several nodes cannot be merged; counts of equal buckets can. All
nodes use the buckets of `cranberryfield.core.metrics.registry`.
"""

from collections import Counter
from collections.abc import Iterable

__all__ = ["merge_counts", "percentile_of_counts", "subtract_counts"]

#: Number of observations by the upper end of their bucket, in microseconds.
BucketCounts = dict[int, int]


def merge_counts(histograms: Iterable[BucketCounts]) -> BucketCounts:
    """Add up the bucket counts of several nodes.

    Parameters
    ----------
    histograms : iterable of dict
        Counts by bucket, for each node.

    Returns
    -------
    dict
        Total counts by bucket.

    Examples
    --------
    >>> merge_counts([{10: 1}, {10: 2, 20: 1}])
    {10: 3, 20: 1}
    """
    total: Counter[int] = Counter()
    for histogram in histograms:
        total.update(histogram)
    return dict(total)


def subtract_counts(later: BucketCounts, earlier: BucketCounts) -> BucketCounts:
    """Return the observations between two readings of one histogram.

    Parameters
    ----------
    later, earlier : dict
        Counts by bucket.

    Returns
    -------
    dict
        Difference of the counts. If a count fell, the node restarted in
        between, and all of `later` is returned.

    Examples
    --------
    >>> subtract_counts({10: 5, 20: 1}, {10: 3})
    {10: 2, 20: 1}
    """
    restarted = any(later.get(bucket, 0) < count for bucket, count in earlier.items())
    if restarted:
        return dict(later)
    difference = {
        bucket: count - earlier.get(bucket, 0) for bucket, count in later.items()
    }
    return {bucket: count for bucket, count in difference.items() if count}


def percentile_of_counts(counts: BucketCounts, percentile: float) -> float:
    """Return a percentile of the observations.

    Parameters
    ----------
    counts : dict
        Counts by bucket.
    percentile : float
        Percentile from 0 to 100.

    Returns
    -------
    float
        Upper end of the bucket, in microseconds; 0 without observations.

    Examples
    --------
    >>> percentile_of_counts({10: 95, 400: 5}, 95)
    10
    >>> percentile_of_counts({10: 95, 400: 5}, 96)
    400
    """
    target_count = sum(counts.values()) * percentile / 100
    cumulative_count = 0
    for bucket, count in sorted(counts.items()):
        cumulative_count += count
        if cumulative_count >= target_count:
            return bucket
    return 0
