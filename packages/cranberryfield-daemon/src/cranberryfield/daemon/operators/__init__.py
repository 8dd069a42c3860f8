"""The HTTP interface for operators."""

from cranberryfield.daemon.operators.api import OperatorApi

__all__ = ["OperatorApi"]
