"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]

#: Libraries log below this level what operators cannot act on.
LIBRARY_LEVEL = logging.WARNING

_SHARED = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    structlog.processors.format_exc_info,
]


def configure_logs(node: str, level: str = "info") -> None:
    """Set the process's logs to JSON lines that name the node.

    What libraries log through the standard module takes the same form.

    Parameters
    ----------
    node : str
        Id of this process, added to every line.
    level : str
        Lowest level that is written: ``debug``, ``info``, ``warning`` or
        ``error``.
    """
    lowest = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[*_SHARED, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(lowest),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(node=node)
    _configure_library_logs(max(lowest, LIBRARY_LEVEL))


def _configure_library_logs(lowest: int) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[structlog.stdlib.add_logger_name, *_SHARED],
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(lowest)
