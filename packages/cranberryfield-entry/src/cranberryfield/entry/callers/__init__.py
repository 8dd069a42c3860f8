"""HTTP interface of an entry host for callers and upstreams."""

from cranberryfield.entry.callers.app import CallerApi

__all__ = ["CallerApi"]
