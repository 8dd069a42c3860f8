"""Talks to upstreams over HTTP."""

from cranberryfield.entry.dispatch.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
