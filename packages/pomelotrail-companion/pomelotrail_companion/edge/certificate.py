"""Loads the certificate that callers see."""

from pathlib import Path

from aioquic.quic.configuration import QuicConfiguration
from result import Err, Ok, Result

from pomelotrail_core.settings import SettingsError

from .quic_edge import quic_configuration


def load_certificate(
    certificate: Path, private_key: Path
) -> Result[QuicConfiguration, SettingsError]:
    """Return the QUIC settings with a certificate and its key.

    A pair that does not fit together is refused: while both files are being replaced,
    one may be older than the other, and callers would be turned away.
    """
    try:
        loaded = quic_configuration(str(certificate), str(private_key))
    except (OSError, ValueError, TypeError, IndexError) as error:
        problem = f"can't be used ({error}); give PEM files"
        return Err(_error(certificate, private_key, problem))
    key, own = loaded.private_key, loaded.certificate
    if key is None or own is None or key.public_key() != own.public_key():
        problem = "don't fit together; give the key of the certificate"
        return Err(_error(certificate, private_key, problem))
    return Ok(loaded)


def _error(certificate: Path, private_key: Path, problem: str) -> SettingsError:
    """Return the error of a pair of files."""
    return SettingsError(f"{certificate}, {private_key}", "certificate", problem)
