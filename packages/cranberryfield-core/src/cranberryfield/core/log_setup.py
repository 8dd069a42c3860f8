"""Structured logging as JSON lines on standard output, without blocking."""

import logging
import os

import msgspec
import structlog

from cranberryfield.core.log_output import NonBlockingOutput

__all__ = ["configure_logging"]

#: Lowest level at which messages of libraries are logged. Operators cannot act
#: on what libraries log below it.
LIBRARY_LEVEL = logging.WARNING
STDOUT = 1

_SHARED_PROCESSORS = [
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    structlog.processors.format_exc_info,
]


class _OutputLogger:
    """Logger for structlog that writes rendered lines to the output."""

    def __init__(self, output: NonBlockingOutput):
        self._output = output

    def msg(self, line: str) -> None:
        """Write a line."""
        self._output.write(line)

    log = debug = info = warning = warn = error = critical = exception = fatal = msg


class _OutputHandler(logging.Handler):
    """Handler that writes the log records of libraries to the output."""

    def __init__(self, output: NonBlockingOutput):
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line."""
        self._output.write(self.format(record))


def _dump_json(value: object, **options: object) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()


def configure_logging(node: str, level: str = "info") -> None:
    """Configure the process to log JSON lines that contain the node id.

    Records that libraries log through `logging` are written in the same form.

    Parameters
    ----------
    node : str
        Id of this process, added to every line.
    level : str
        Lowest level that is written: ``debug``, ``info``, ``warning`` or
        ``error``.
    """
    # Uses the descriptor of sys.stdout without its buffer.
    stream = os.fdopen(STDOUT, "wb", buffering=0, closefd=False)
    output = NonBlockingOutput(stream)
    lowest_level = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[*_SHARED_PROCESSORS, structlog.processors.JSONRenderer(_dump_json)],
        wrapper_class=structlog.make_filtering_bound_logger(lowest_level),
        logger_factory=lambda *names: _OutputLogger(output),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(node=node)
    _configure_library_logging(output, max(lowest_level, LIBRARY_LEVEL))


def _configure_library_logging(output: NonBlockingOutput, lowest_level: int) -> None:
    handler = _OutputHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[structlog.stdlib.add_logger_name, *_SHARED_PROCESSORS],
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(lowest_level)
