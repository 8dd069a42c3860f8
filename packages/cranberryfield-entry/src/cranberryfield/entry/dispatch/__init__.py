"""HTTP client for upstreams."""

from cranberryfield.entry.dispatch.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
