"""Makes self-signed certificates for tests, measurements and the demo."""

import argparse
import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

_HALF_VALIDITY = datetime.timedelta(days=3650)
_NOT_BEFORE = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
DEFAULT_NAME = "jujuberun.test"


@dataclass(frozen=True, slots=True)
class TestCertificate:
    """A self-signed certificate.

    Attributes:
        name: DNS name in the certificate.
        certificate: certificate as PEM text.
        private_key: private key as PEM text.
    """

    name: str
    certificate: bytes
    private_key: bytes

    def write(self, directory: Path) -> tuple[Path, Path]:
        """Writes certificate and key as PEM files and returns their paths."""
        certificate = directory / "certificate.pem"
        private_key = directory / "private_key.pem"
        certificate.write_bytes(self.certificate)
        private_key.write_bytes(self.private_key)
        return certificate, private_key


def make_certificate(name: str = DEFAULT_NAME) -> TestCertificate:
    """Makes a self-signed certificate with a new P-256 key.

    Args:
        name: DNS name that callers will verify.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    names = x509.SubjectAlternativeName([x509.DNSName(name)])
    constraints = x509.BasicConstraints(ca=True, path_length=0)
    key_identifier = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(_NOT_BEFORE)
        .not_valid_after(_NOT_BEFORE + 2 * _HALF_VALIDITY)
        .add_extension(names, critical=False)
        .add_extension(constraints, critical=True)
        .add_extension(key_identifier, critical=False)
        .sign(key, hashes.SHA256())
    )
    return TestCertificate(
        name,
        certificate.public_bytes(serialization.Encoding.PEM),
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )


def main() -> None:
    """Writes a certificate and its key into a directory."""
    parser = argparse.ArgumentParser(
        prog="python -m jujuberun.standin_certificate",
        description="Make a self-signed certificate for tests.",
    )
    parser.add_argument(
        "directory", type=Path, help="directory for both PEM files"
    )
    parser.add_argument("--name", default=DEFAULT_NAME, help="DNS name")
    options = parser.parse_args()
    options.directory.mkdir(parents=True, exist_ok=True)
    for path in make_certificate(options.name).write(options.directory):
        print(path)


if __name__ == "__main__":
    main()
