"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(node: str, level: str = "info") -> None:
    """Set the process's logs to JSON lines that name the node.

    Parameters
    ----------
    node : str
        Id of this process, added to every line.
    level : str
        Lowest level that is written: ``debug``, ``info``, ``warning`` or
        ``error``.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    structlog.contextvars.bind_contextvars(node=node)
