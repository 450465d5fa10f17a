"""TLS between the processes of one fleet.

Both sides show a certificate of the fleet's own certificate authority, so a
stranger can neither serve nor ask. The authority signs nothing else, and
addresses change with the VMs; therefore names in certificates are not compared.
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
    """The contexts of control connections; None where they are plain TCP."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


class _Installed:
    """Holds what the whole process uses, as the logs do."""

    security = PeerSecurity()


def load_security(files: TlsFiles | None) -> Result[PeerSecurity, SettingsError]:
    """Read the files; an error names the one that can't be used."""
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
        places = f"{files.authority}, {files.certificate}, {files.private_key}"
        problem = f"can't be used ({error}); give PEM files that fit together"
        return Err(SettingsError(places, "tls", problem))


def install_security(security: PeerSecurity) -> None:
    """Use these contexts for every control connection of this process."""
    _Installed.security = security


def set_up_security(files: TlsFiles | None) -> str:
    """Read and install; return the problem as a text, or an empty one."""
    match load_security(files):
        case Err(error):
            return str(error)
        case Ok(security):
            install_security(security)
            return ""


def set_up_operator_security(directory: str) -> str:
    """Install what an operator's command uses: the files in a directory.

    They are named ``authority.pem``, ``peer.pem`` and ``peer-key.pem``. Without
    a directory the fleet is taken to use plain TCP.
    """
    if not directory:
        return ""
    return set_up_security(tls_files_in(Path(directory)))


def installed_security() -> PeerSecurity:
    """Return the contexts that this process uses."""
    return _Installed.security


def _context(files: TlsFiles, side: int) -> ssl.SSLContext:
    """Return the context of one side; it trusts the fleet's authority only."""
    context = ssl.SSLContext(side)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(files.authority)
    context.load_cert_chain(files.certificate, files.private_key)
    context.set_alpn_protocols(_ALPN)
    return context
