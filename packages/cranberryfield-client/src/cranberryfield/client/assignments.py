"""Parsing of ``NAME=VALUE`` arguments."""

import yaml

from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.settings import SettingValue, check_value, parse_level

__all__ = ["parse_assignments"]


def parse_assignments(
    level: str, assignments: tuple[str, ...]
) -> dict[str, SettingValue]:
    """Parse assignments and validate each against the settings schema.

    Parameters
    ----------
    level : str
        Level for which the values are meant.
    assignments : tuple of str
        Assignments of the form ``NAME=VALUE``, the value in YAML.

    Returns
    -------
    dict
        Values by setting name.

    Raises
    ------
    ControlError
        Of kind ``invalid_setting`` or ``unknown_path``, listing every error.

    Examples
    --------
    >>> parse_assignments("system", ("queue_limit=64", "idempotent=false"))
    {'queue_limit': 64, 'idempotent': False}
    """
    kind = parse_level(level).kind
    values: dict[str, SettingValue] = {}
    errors: list[ControlError] = []
    if not assignments:
        errors.append(
            ControlError(ErrorKind.INVALID_SETTING, "no NAME=VALUE argument was given")
        )
    for assignment in assignments:
        try:
            name, value = _parse_assignment(assignment)
            if name in values:
                raise ControlError(
                    ErrorKind.INVALID_SETTING, f"{name} is assigned twice"
                )
            check_value(kind, name, value)
            values[name] = value
        except ControlError as error:
            errors.append(error)
    if errors:
        detail = "; ".join(error.detail for error in errors)
        raise ControlError(errors[0].kind, detail)
    return values


def _parse_assignment(assignment: str) -> tuple[str, SettingValue]:
    name, separator, text = assignment.partition("=")
    if not separator or not name:
        raise ControlError(
            ErrorKind.INVALID_SETTING, f"{assignment!r} is not of the form NAME=VALUE"
        )
    if not text.strip():
        raise ControlError(
            ErrorKind.INVALID_SETTING,
            f"{name} has no value; use {name}=null to set it to null",
        )
    try:
        return name, yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        reason = getattr(error, "problem", None) or type(error).__name__
        raise ControlError(
            ErrorKind.INVALID_SETTING, f"{name}: value is not YAML: {reason}"
        ) from error
