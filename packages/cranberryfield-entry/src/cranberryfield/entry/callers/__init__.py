"""The HTTP interface for callers and upstreams."""

from cranberryfield.entry.callers.app import CallerApi

__all__ = ["CallerApi"]
