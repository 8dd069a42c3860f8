"""Entry point of the `cranberryfield` command line."""

import sys

from cyclopts import App, CycloptsError

from cranberryfield.client.commands import (
    config,
    control,
    explain,
    requests,
    service,
    settings,
    status,
    top,
    upstream,
    workspace,
)
from cranberryfield.core.errors import CranberryfieldError, find_cranberryfield_error

__all__ = ["main"]

PROGRAM = "cranberryfield"
USAGE_EXIT_CODE = 2
INTERRUPTED_EXIT_CODE = 130

app = App(
    name=PROGRAM,
    help="Operate a cranberryfield group through any of its nodes.",
    help_epilogue="""Set CRANBERRYFIELD_NODE and CRANBERRYFIELD_KEY once in place of
--node and --key. Exit codes: 0 success; 2 usage error or invalid file; 3 key rejected;
4 not found; 5 conflict; 6 temporarily unavailable, retry; 8 invalid setting; 9 stale
revision; 12 unreadable response.
""",
)
for _command_module in (
    settings,
    service,
    workspace,
    upstream,
    status,
    top,
    requests,
    explain,
    control,
    config,
):
    app.command(_command_module.app)


@app.command(name="completion")
def print_completion(shell: str = "bash") -> None:
    """Print the completion script of a shell.

    Parameters
    ----------
    shell : str
        ``bash``, ``zsh`` or ``fish``.
    """
    print(app.generate_completion(prog_name=PROGRAM, shell=shell))


def main() -> None:
    """Run the command line; exit with the exit code of the error kind."""
    try:
        app(sys.argv[1:], exit_on_error=False, print_error=False)
    except CycloptsError as error:
        message = " ".join(str(error).split())
        _exit_with_error(f"{message} See {PROGRAM} --help.", USAGE_EXIT_CODE)
    except (CranberryfieldError, ExceptionGroup) as error:
        known_error = find_cranberryfield_error(error)
        if known_error is None:
            raise
        _exit_with_error(known_error.detail, known_error.response.exit_code)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)
    except BrokenPipeError:
        # The reader of the output, such as `head`, closed the pipe early.
        sys.stderr.close()
        sys.exit(0)


def _exit_with_error(message: str, exit_code: int) -> None:
    print(f"{PROGRAM}: {message}", file=sys.stderr)
    sys.exit(exit_code)
