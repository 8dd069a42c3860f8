"""Reads ``NAME=VALUE`` as it is typed on the command line."""

import yaml

from cranberryfield.core.errors import ControlError, ErrorKind
from cranberryfield.core.settings import SettingValue, check_value, parse_level

__all__ = ["read_assignments"]


def read_assignments(
    level: str, assignments: tuple[str, ...]
) -> dict[str, SettingValue]:
    """Read assignments and check each against the schema.

    Parameters
    ----------
    level : str
        Where the values are to stand.
    assignments : tuple of str
        Each as ``NAME=VALUE``, the value in YAML.

    Returns
    -------
    dict
        Values by name.

    Raises
    ------
    ControlError
        Of kind ``invalid_setting`` or ``unknown_path``, naming every fault.

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
            ControlError(ErrorKind.INVALID_SETTING, "no NAME=VALUE was given")
        )
    for assignment in assignments:
        try:
            name, value = _read_one(assignment)
            if name in values:
                raise ControlError(ErrorKind.INVALID_SETTING, f"{name}: given twice")
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
            ErrorKind.INVALID_SETTING, f"{name}: no value; write {name}=null for none"
        )
    try:
        return name, yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        reason = getattr(error, "problem", None) or type(error).__name__
        raise ControlError(
            ErrorKind.INVALID_SETTING, f"{name}: the value is not YAML: {reason}"
        ) from error
