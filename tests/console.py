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
    examples = []
    for block in _BLOCK.finditer(page):
        first_line = page.count("\n", 0, block.start()) + 2
        examples += _read_block(block.group(1), first_line)
    return examples


def _read_block(text: str, first_line: int) -> list[Example]:
    examples: list[Example] = []
    for number, line in enumerate(text.splitlines(), start=first_line):
        if line.startswith("$ "):
            examples.append(Example(number, line[2:], ""))
            continue
        previous = examples.pop()
        if previous.command.endswith("\\"):
            joined = previous.command[:-1].rstrip() + " " + line.strip()
            examples.append(Example(previous.line, joined, ""))
        else:
            examples.append(
                Example(
                    previous.line, previous.command, previous.expected + line + "\n"
                )
            )
    return examples


def run_curl(arguments: list[str]) -> str:
    """Send the request of a curl command; supports the options used in the pages."""
    method, headers, body, url = None, {}, None, None
    words = iter(arguments)
    for word in words:
        if word == "-H":
            name, _, value = next(words).partition(":")
            headers[name] = value.strip()
        elif word == "-d":
            body = next(words)
        elif word == "-X":
            method = next(words)
        elif word not in ("-s", "-N"):
            url = word
    method = method or ("POST" if body is not None else "GET")
    response = httpx.request(
        method, url, headers=headers, content=body, timeout=TIMEOUT_S, trust_env=False
    )
    return response.text + "\n"
