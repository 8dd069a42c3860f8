"""Reference of all settings, generated from the schema and its docstring."""

import msgspec
from docstring_parser import DocstringStyle, parse

from cranberryfield.core.settings import EffectiveSettings
from cranberryfield.core.settings.levels import LevelKind
from cranberryfield.core.settings.schema import ALLOWED_LEVELS

__all__ = ["SettingReference", "list_settings", "reference_page"]

HEADING = """\
# Settings reference

Made from the schema by `make docs`; `cranberryfield settings describe` prints
the same. [settings.md](settings.md) explains levels and changes.
"""

_DEFAULT_LEVELS = (
    LevelKind.SYSTEM,
    LevelKind.SERVICE,
    LevelKind.WORKSPACE,
    LevelKind.WORKSPACE_SERVICE,
)


class SettingReference(msgspec.Struct):
    """Description of one setting.

    Attributes
    ----------
    setting : str
        Name of the setting.
    type : str
        Type and bounds of its values.
    default : str
        Value where no level sets it, as JSON.
    levels : str
        Kinds of the levels that may set it, separated by commas.
    meaning : str
        Effect of the setting.
    """

    setting: str
    type: str
    default: str
    levels: str
    meaning: str


def list_settings() -> list[SettingReference]:
    """Return the descriptions of all settings, in the order of the schema.

    Returns
    -------
    list of SettingReference
        One description for each field of `EffectiveSettings`.

    Examples
    --------
    >>> [row.default for row in list_settings() if row.setting == "queue_limit"]
    ['256']
    """
    descriptions = _setting_descriptions()
    defaults = msgspec.to_builtins(EffectiveSettings())
    rows = []
    for field in msgspec.structs.fields(EffectiveSettings):
        levels = ALLOWED_LEVELS.get(field.name, frozenset(_DEFAULT_LEVELS))
        rows.append(
            SettingReference(
                field.name,
                _describe_type(msgspec.json.schema(field.type)),
                msgspec.json.encode(defaults[field.name]).decode(),
                ", ".join(kind.value for kind in LevelKind if kind in levels),
                descriptions.get(field.name, ""),
            )
        )
    return rows


def _setting_descriptions() -> dict[str, str]:
    parsed = parse(EffectiveSettings.__doc__ or "", DocstringStyle.NUMPYDOC)
    return {
        name.strip(): " ".join((attribute.description or "").split())
        for attribute in parsed.params
        for name in attribute.arg_name.split(",")
    }


def _describe_type(schema: dict) -> str:
    if "$ref" in schema:
        schema = schema["$defs"][schema["$ref"].rpartition("/")[2]]
    if "anyOf" in schema:
        return " or ".join(_describe_type(option) for option in schema["anyOf"])
    if "enum" in schema:
        return " or ".join(str(value) for value in schema["enum"])
    if schema["type"] == "array":
        return f"list of {_describe_type(schema.get('items', {'type': 'any'}))}"
    bounds = {
        "minimum": "at least",
        "exclusiveMinimum": "above",
        "maximum": "at most",
    }
    limits = [
        f"{words} {schema[key]}" for key, words in bounds.items() if key in schema
    ]
    if "pattern" in schema:
        limits.append(f"matching {schema['pattern']}")
    return ", ".join([schema["type"], *limits])


def reference_page() -> str:
    """Return the reference page on all settings, in Markdown.

    Returns
    -------
    str
        Contents of ``docs/operators/settings-reference.md``.
    """
    lines = [HEADING]
    for row in list_settings():
        lines += [
            f"## {row.setting}",
            "",
            row.meaning,
            "",
            f"- values: {row.type}",
            f"- default: `{row.default}`",
            f"- may stand at: {row.levels}",
            "",
        ]
    return "\n".join(lines)


if __name__ == "__main__":
    print(reference_page(), end="")
