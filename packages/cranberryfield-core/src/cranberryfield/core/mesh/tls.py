"""SSL contexts for mutual TLS on the mesh."""

import ssl

from cranberryfield.core.config.daemon import TlsFiles

__all__ = ["client_tls", "server_tls"]


def server_tls(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return a context that requires client certificates; None without files."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.private_key)
    context.load_verify_locations(files.authority)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_tls(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return a context that presents a client certificate; None without files."""
    if files is None:
        return None
    context = ssl.create_default_context(cafile=files.authority)
    context.load_cert_chain(files.certificate, files.private_key)
    return context
