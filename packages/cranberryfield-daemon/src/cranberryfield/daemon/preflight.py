"""Checks a host before the start: ports, certificates and the data folder.

All checks run before a port is bound, so that a host that cannot serve never
responds to a load balancer, and all faults are reported at once.
"""

import os
import socket
import ssl
from pathlib import Path

from cranberryfield.control.storage import is_folder_in_use
from cranberryfield.core.config import DaemonConfig, Role
from cranberryfield.core.config.daemon import split_address
from cranberryfield.core.errors import (
    ConfigError,
    CranberryfieldError,
    ErrorKind,
    StorageError,
)

__all__ = ["check_host"]


def check_host(config: DaemonConfig) -> list[CranberryfieldError]:
    """Check whether a process can start on this host.

    Parameters
    ----------
    config : DaemonConfig
        A checked configuration.

    Returns
    -------
    list of CranberryfieldError
        All faults found; empty if the process can start.
    """
    faults = [
        *_check_tls(config),
        *_check_data_folder(config),
        *_check_port("callers", config.callers),
        *_check_port("mesh", config.mesh_listen_address),
    ]
    return faults


def _check_tls(config: DaemonConfig) -> list[CranberryfieldError]:
    if config.tls is None:
        return []
    faults = []
    for key in ("authority", "certificate", "private_key"):
        path = Path(getattr(config.tls, key))
        try:
            path.read_bytes()
        except OSError as error:
            faults.append(_config_error(f"tls.{key}: {path}: {error.strerror}"))
    if faults:
        return faults
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_verify_locations(config.tls.authority)
    except (ssl.SSLError, OSError) as error:
        faults.append(_config_error(f"tls.authority: {_error_reason(error)}"))
    try:
        context.load_cert_chain(config.tls.certificate, config.tls.private_key)
    except (ssl.SSLError, OSError) as error:
        faults.append(
            _config_error(
                f"tls.certificate and tls.private_key: {_error_reason(error)}"
            )
        )
    return faults


def _check_data_folder(config: DaemonConfig) -> list[CranberryfieldError]:
    if Role.CONTROL not in config.roles:
        return []
    folder = Path(config.data_folder)
    existing = folder
    while not existing.exists() and existing != existing.parent:
        existing = existing.parent
    if not existing.is_dir():
        return [_storage_error(f"data_folder: {existing} is not a folder")]
    if not os.access(existing, os.W_OK | os.X_OK):
        return [_storage_error(f"data_folder: {existing} cannot be written")]
    if is_folder_in_use(folder):
        return [_storage_error(f"{folder}: another process holds the folder")]
    return []


def _check_port(key: str, address: str) -> list[CranberryfieldError]:
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except (OSError, OverflowError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            fault = ConfigError(
                ErrorKind.ADDRESS_UNAVAILABLE, f"{key}: {address}: {reason}"
            )
            return [fault]
    return []


def _error_reason(error: OSError) -> str:
    return getattr(error, "reason", None) or error.strerror or str(error)


def _config_error(detail: str) -> ConfigError:
    return ConfigError(ErrorKind.INVALID_CONFIG, detail)


def _storage_error(detail: str) -> StorageError:
    return StorageError(ErrorKind.DATA_IN_USE, detail)
