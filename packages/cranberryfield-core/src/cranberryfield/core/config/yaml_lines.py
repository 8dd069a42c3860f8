"""YAML loading with line numbers, and validation that reports all problems."""

from dataclasses import dataclass

import msgspec
import yaml

from cranberryfield.core.errors import ConfigError, ErrorKind

__all__ = ["Document", "Problem", "check_struct", "load_yaml", "raise_problems"]

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 32

KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a file.

    Attributes
    ----------
    source : str
        Name of the file.
    line : int
        Line of the invalid key, from 1.
    key : str
        Dotted path of the key.
    message : str
        Description of the problem.
    """

    source: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.source}:{self.line}: {self.key}: {self.message}"


@dataclass(frozen=True, slots=True)
class Document:
    """Data loaded from YAML and the line number of each path in it."""

    source: str
    data: object
    lines: dict[KeyPath, int]

    def problem_at(self, path: KeyPath, message: str) -> Problem:
        """Build the `Problem` for the key at `path`."""
        nearest = path
        while nearest and nearest not in self.lines:
            nearest = nearest[:-1]
        key = ".".join(str(part) for part in path) or "(document)"
        return Problem(self.source, self.lines.get(nearest, 1), key, message)


def load_yaml(text: str, source: str) -> Document:
    r"""Load YAML with the safe loader and record the line of each key.

    Parameters
    ----------
    text : str
        The document.
    source : str
        Name of the file, for error messages.

    Returns
    -------
    Document
        The data and its line numbers.

    Raises
    ------
    ConfigError
        If the text is too large, nested too deeply or not YAML, or a mapping
        contains a key twice.

    Examples
    --------
    >>> load_yaml("a:\n  b: 1", "x.yaml").lines[("a", "b")]
    2
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise ConfigError(
            ErrorKind.INVALID_CONFIG,
            f"{source}: larger than {MAX_DOCUMENT_BYTES} bytes",
        )
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        reason = getattr(error, "problem", None) or type(error).__name__
        raise ConfigError(
            ErrorKind.INVALID_CONFIG, f"{source}:{line}: not YAML: {reason}"
        ) from error
    lines: dict[KeyPath, int] = {}
    problems: list[Problem] = []
    data = _construct_value(node, (), lines, problems, source) if node else None
    raise_problems(problems)
    return Document(source, data, lines)


def _construct_value(node, path: KeyPath, lines, problems: list[Problem], source: str):
    line = node.start_mark.line + 1
    lines.setdefault(path, line)
    if len(path) > MAX_DEPTH:
        problems.append(Problem(source, line, str(path[0]), "nested too deep"))
        return None
    if isinstance(node, yaml.MappingNode):
        return _construct_mapping(node, path, lines, problems, source)
    if isinstance(node, yaml.SequenceNode):
        return [
            _construct_value(item, (*path, number), lines, problems, source)
            for number, item in enumerate(node.value)
        ]
    try:
        return yaml.SafeLoader("").construct_object(node)
    except (yaml.YAMLError, ValueError) as error:
        problems.append(Problem(source, line, str(path), f"bad value: {error}"))
        return None


def _construct_mapping(
    node, path: KeyPath, lines, problems: list[Problem], source: str
):
    mapping = {}
    for key_node, value_node in node.value:
        key = str(key_node.value)
        line = key_node.start_mark.line + 1
        if key in mapping:
            dotted = ".".join(str(part) for part in (*path, key))
            problems.append(Problem(source, line, dotted, "given twice"))
            continue
        lines[(*path, key)] = line
        mapping[key] = _construct_value(
            value_node, (*path, key), lines, problems, source
        )
    return mapping


def check_struct(
    document: Document, path: KeyPath, data: object, struct: type
) -> tuple[object | None, list[Problem]]:
    """Convert loaded data to a msgspec Struct and report every invalid key.

    Parameters
    ----------
    document : Document
        Document that contains the data.
    path : tuple of str or int
        Path of `data` in the document.
    data : object
        Data to convert.
    struct : type
        A `msgspec.Struct` subclass.

    Returns
    -------
    value : object or None
        The instance; None if there is any problem.
    problems : list of Problem
        All problems found, sorted by line.
    """
    if not isinstance(data, dict):
        return None, [document.problem_at(path, "must be a mapping")]
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    problems = [
        document.problem_at((*path, key), "unknown key")
        for key in data
        if key not in fields
    ]
    for name, field in fields.items():
        if name not in data:
            if field.required:
                problems.append(document.problem_at((*path, name), "is required"))
            continue
        try:
            msgspec.convert(data[name], field.type)
        except msgspec.ValidationError as error:
            problems.append(document.problem_at((*path, name), str(error)))
    if problems:
        return None, sorted(problems, key=lambda problem: problem.line)
    return msgspec.convert(data, struct), []


def raise_problems(problems: list[Problem]) -> None:
    """Raise one `ConfigError` that lists all problems; do nothing for none.

    Parameters
    ----------
    problems : list of Problem
        Problems found.

    Raises
    ------
    ConfigError
        If the list is not empty.
    """
    if problems:
        detail = "\n".join(str(problem) for problem in problems)
        raise ConfigError(ErrorKind.INVALID_CONFIG, detail)
