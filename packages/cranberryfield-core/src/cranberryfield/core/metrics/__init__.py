"""Counters and histograms, in process and over statsd."""

from cranberryfield.core.metrics.registry import Metrics

__all__ = ["Metrics"]
