"""Parser and runner of the ``console`` blocks of a page, without shell or curl."""

import os
import re
import shlex
from dataclasses import dataclass

import httpx

__all__ = ["Example", "read_examples", "run_curl"]

TIMEOUT_S = 20
_BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)


@dataclass(frozen=True)
class Example:
    """One command of a page and its expected output; ``...`` matches any text."""

    line: int
    command: str
    expected: str

    def arguments(self) -> list[str]:
        """Split the command and expand environment variables as a shell does."""
        return [os.path.expandvars(word) for word in shlex.split(self.command)]


def read_examples(page: str) -> list[Example]:
    """Return the examples of a page in their order."""
    found = []
    for block in _BLOCK.finditer(page):
        first = page.count("\n", 0, block.start()) + 2
        found += _read_block(block.group(1), first)
    return found


def _read_block(text: str, first: int) -> list[Example]:
    found: list[Example] = []
    for number, line in enumerate(text.splitlines(), start=first):
        if line.startswith("$ "):
            found.append(Example(number, line[2:], ""))
            continue
        last = found.pop()
        if last.command.endswith("\\"):
            whole = last.command[:-1].rstrip() + " " + line.strip()
            found.append(Example(last.line, whole, ""))
        else:
            found.append(Example(last.line, last.command, last.expected + line + "\n"))
    return found


def run_curl(arguments: list[str]) -> str:
    """Send the request of a curl command; supports the options used in the pages."""
    method, headers, body, url = None, {}, None, None
    rest = iter(arguments)
    for word in rest:
        if word == "-H":
            name, _, value = next(rest).partition(":")
            headers[name] = value.strip()
        elif word == "-d":
            body = next(rest)
        elif word == "-X":
            method = next(rest)
        elif word not in ("-s", "-N"):
            url = word
    method = method or ("POST" if body is not None else "GET")
    response = httpx.request(
        method, url, headers=headers, content=body, timeout=TIMEOUT_S, trust_env=False
    )
    return response.text + "\n"
