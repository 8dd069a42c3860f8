"""Counters and histograms, kept in process and sent to statsd."""

from cranberryfield.core.metrics.registry import Metrics

__all__ = ["Metrics"]
