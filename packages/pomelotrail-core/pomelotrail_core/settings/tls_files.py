"""Paths of the certificates for control connections."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

import attrs
import voluptuous as vol

TLS_SCHEMA: Final = {
    vol.Required("authority"): str,
    vol.Required("certificate"): str,
    vol.Required("private_key"): str,
}


@attrs.frozen
class TlsFiles:
    """PEM files: the fleet's certificate authority, the own certificate and key."""

    authority: Path
    certificate: Path
    private_key: Path


def build_tls_files(entry: Mapping[str, str] | None) -> TlsFiles | None:
    """Return the paths of a validated mapping, or None without one."""
    if entry is None:
        return None
    return TlsFiles(**{key: Path(value) for key, value in entry.items()})


def tls_files_in(directory: Path) -> TlsFiles:
    """Return the files in a directory by their default names."""
    return TlsFiles(
        directory / "authority.pem", directory / "peer.pem", directory / "peer-key.pem"
    )
