"""Command line of the daemon."""

import sys
from pathlib import Path

import anyio
from cyclopts import App

from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.errors import ConfigError, CranberryfieldError, ErrorKind
from cranberryfield.core.logs import configure_logs
from cranberryfield.daemon.process import run_process

__all__ = ["main"]

app = App(name="cranberryfieldd", help="One process of a cranberryfield group.")


@app.default
def serve(*, config: Path) -> None:
    """Run the process that a configuration file describes.

    Parameters
    ----------
    config : pathlib.Path
        The YAML file.
    """
    checked = _read_config(config)
    configure_logs(checked.node, checked.log_level)
    anyio.run(run_process, checked)


def _read_config(path: Path) -> DaemonConfig:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(ErrorKind.INVALID_CONFIG, f"{path}: {error}") from error
    return DaemonConfig.from_yaml(text, str(path))


def _first_known_error(error: BaseException) -> CranberryfieldError | None:
    if isinstance(error, CranberryfieldError):
        return error
    for inner in getattr(error, "exceptions", ()):
        found = _first_known_error(inner)
        if found is not None:
            return found
    return None


def main() -> None:
    """Run the command line; exit with the code of the error's kind."""
    try:
        app()
    except (CranberryfieldError, ExceptionGroup) as error:
        known = _first_known_error(error)
        if known is None:
            raise
        print(f"cranberryfieldd: {known.detail}", file=sys.stderr)
        sys.exit(known.answer.exit_code)
