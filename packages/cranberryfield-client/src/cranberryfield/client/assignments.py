"""Parsing of ``NAME=VALUE`` arguments."""

import yaml

from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.settings import SettingValue, check_value, parse_level

__all__ = ["read_assignments"]


def read_assignments(
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
    >>> read_assignments("system", ("queue_limit=64", "idempotent=false"))
    {'queue_limit': 64, 'idempotent': False}
    """
    kind = parse_level(level).kind
    values: dict[str, SettingValue] = {}
    faults: list[ControlError] = []
    if not assignments:
        faults.append(
            ControlError(ErrorKind.INVALID_SETTING, "no NAME=VALUE argument was given")
        )
    for assignment in assignments:
        try:
            name, value = _read_one(assignment)
            if name in values:
                raise ControlError(
                    ErrorKind.INVALID_SETTING, f"{name} is assigned twice"
                )
            check_value(kind, name, value)
            values[name] = value
        except ControlError as fault:
            faults.append(fault)
    if faults:
        detail = "; ".join(fault.detail for fault in faults)
        raise ControlError(faults[0].kind, detail)
    return values


def _read_one(assignment: str) -> tuple[str, SettingValue]:
    name, equals, text = assignment.partition("=")
    if not equals or not name:
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
