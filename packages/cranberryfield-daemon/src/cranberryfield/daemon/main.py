"""Command line of the daemon."""

import sys
from pathlib import Path
from typing import Annotated

import anyio
import structlog
from cyclopts import App, CycloptsError, Parameter

from cranberryfield.core.config import DaemonConfig, read_daemon_config
from cranberryfield.core.errors import (
    ConfigError,
    CranberryfieldError,
    ErrorKind,
    find_cranberryfield_error,
)
from cranberryfield.core.log_setup import configure_logging
from cranberryfield.daemon.preflight import check_host

__all__ = ["main"]

PROGRAM = "cranberryfieldd"
USAGE_EXIT_CODE = 2

logger = structlog.get_logger(__name__)

app = App(
    name=PROGRAM,
    help="Run one process of a cranberryfield group.",
    help_epilogue="""Examples:

    cranberryfieldd --config /etc/cranberryfield/entry-1.yaml
    cranberryfieldd --config /etc/cranberryfield/entry-1.yaml --check
""",
)


@app.default
def serve(
    *,
    config: Path,
    check: Annotated[bool, Parameter(negative=())] = False,
) -> None:
    """Run the process that a configuration file describes.

    Parameters
    ----------
    config : pathlib.Path
        The YAML file.
    check : bool
        Check the file and this host (ports, certificates, data folder), then exit.
    """
    daemon_config = read_daemon_config(config)
    configure_logging(daemon_config.node, daemon_config.log_level.value)
    faults = check_host(daemon_config)
    if faults:
        for fault in faults:
            logger.error("cannot start", kind=fault.kind.value, detail=fault.detail)
        sys.exit(faults[0].response.exit_code)
    if check:
        print(f"{config}: {daemon_config.node} can start")
        return
    _run(daemon_config)


def _run(config: DaemonConfig) -> None:
    # Imported here so that an invalid file is reported without loading the roles.
    from cranberryfield.daemon.process import run_process

    try:
        anyio.run(run_process, config)
    except (CranberryfieldError, ExceptionGroup, OSError) as error:
        known_error = find_cranberryfield_error(error) or _find_address_error(error)
        if known_error is None:
            raise
        logger.error(
            "stopped by an error",
            kind=known_error.kind.value,
            detail=known_error.detail,
        )
        sys.exit(known_error.response.exit_code)


def _find_address_error(error: BaseException) -> CranberryfieldError | None:
    if isinstance(error, OSError):
        return ConfigError(ErrorKind.ADDRESS_UNAVAILABLE, str(error))
    for inner in getattr(error, "exceptions", ()):
        found = _find_address_error(inner)
        if found is not None:
            return found
    return None


def main() -> None:
    """Run the command line; exit with the code of the error's kind."""
    try:
        app(exit_on_error=False, print_error=False)
    except CycloptsError as error:
        message = " ".join(str(error).split())
        _exit_with_message(f"{message} See {PROGRAM} --help.", USAGE_EXIT_CODE)
    except CranberryfieldError as error:
        _exit_with_message(error.detail, error.response.exit_code)


def _exit_with_message(message: str, exit_code: int) -> None:
    for line in message.splitlines():
        print(f"{PROGRAM}: {line}", file=sys.stderr)
    sys.exit(exit_code)
