"""Makes the certificates and keys of a fleet."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from pomelotrail_core.settings.tls_files import TlsFiles, tls_files_in


def write_certificate(directory: Path) -> tuple[Path, Path]:
    """Write a self-signed certificate and its key; return both paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=7))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("localhost")]), False)
        .sign(key, hashes.SHA256())
    )
    certificate_path = directory / "certificate.pem"
    key_path = directory / "private-key.pem"
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_path, key_path


def write_fleet_certificates(directory: Path) -> TlsFiles:
    """Write a fleet's certificate authority and one certificate signed by it."""
    directory.mkdir(parents=True, exist_ok=True)
    authority_key = ec.generate_private_key(ec.SECP256R1())
    key = ec.generate_private_key(ec.SECP256R1())
    authority_name = _name("fleet authority")
    authority = (
        _builder(authority_name, authority_name, authority_key.public_key())
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(authority_key, hashes.SHA256())
    )
    certificate = _builder(
        _name("fleet process"), authority_name, key.public_key()
    ).sign(authority_key, hashes.SHA256())
    files = tls_files_in(directory)
    pem = serialization.Encoding.PEM
    files.authority.write_bytes(authority.public_bytes(pem))
    files.certificate.write_bytes(certificate.public_bytes(pem))
    files.private_key.write_bytes(
        key.private_bytes(
            pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return files


def _name(text: str) -> x509.Name:
    """Return a certificate name with this common name."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    """Return a builder for a certificate that is valid for a week."""
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=7))
    )
