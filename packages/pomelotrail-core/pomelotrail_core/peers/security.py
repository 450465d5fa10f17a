"""TLS between the processes of one fleet.

Both sides present a certificate of the fleet's own certificate authority, so an
untrusted process can be neither server nor client. The authority signs nothing
else, and addresses change with the VMs; therefore host names in certificates
are not checked.
"""

import ssl
from pathlib import Path
from typing import Final

import attrs
from result import Err, Ok, Result

from pomelotrail_core.settings import SettingsError
from pomelotrail_core.settings.tls_files import TlsFiles, tls_files_in

_ALPN: Final = ["h2"]


@attrs.frozen
class PeerSecurity:
    """TLS contexts of control connections; None means plain TCP."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


class _Installed:
    """The TLS contexts of the whole process, installed once like the logging."""

    security = PeerSecurity()


def load_security(files: TlsFiles | None) -> Result[PeerSecurity, SettingsError]:
    """Load the files; an error names those that can't be used."""
    if files is None:
        return Ok(PeerSecurity())
    try:
        return Ok(
            PeerSecurity(
                _context(files, ssl.PROTOCOL_TLS_SERVER),
                _context(files, ssl.PROTOCOL_TLS_CLIENT),
            )
        )
    except OSError as error:
        paths = f"{files.authority}, {files.certificate}, {files.private_key}"
        problem = f"can't be used ({error}); give PEM files that fit together"
        return Err(SettingsError(paths, "tls", problem))


def install_security(security: PeerSecurity) -> None:
    """Use these contexts for every control connection of this process."""
    _Installed.security = security


def set_up_security(files: TlsFiles | None) -> str:
    """Load and install the files; return the problem, or an empty text."""
    match load_security(files):
        case Err(error):
            return str(error)
        case Ok(security):
            install_security(security)
            return ""


def set_up_operator_security(directory: str) -> str:
    """Install the files in a directory for an operator's command.

    They are named ``authority.pem``, ``peer.pem`` and ``peer-key.pem``. Without
    a directory, control connections use plain TCP.
    """
    if not directory:
        return ""
    return set_up_security(tls_files_in(Path(directory)))


def installed_security() -> PeerSecurity:
    """Return the TLS contexts that this process uses."""
    return _Installed.security


def _context(files: TlsFiles, side: int) -> ssl.SSLContext:
    """Return the TLS context of one side; it trusts only the fleet's authority."""
    context = ssl.SSLContext(side)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(files.authority)
    context.load_cert_chain(files.certificate, files.private_key)
    context.set_alpn_protocols(_ALPN)
    return context
