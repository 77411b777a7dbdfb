"""Certificates for stand-in fleets and tests."""

import datetime
import ipaddress
import pathlib

import attrs
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

LIFETIME = datetime.timedelta(days=2)
CLOCK_SKEW = datetime.timedelta(hours=1)


@attrs.frozen
class Authority:
    """Certificate authority whose key exists only in this process.

    Attributes
    ----------
    directory : pathlib.Path
        Directory that certificates and keys are written to.
    """

    directory: pathlib.Path
    key: object = attrs.field(repr=False)
    certificate: x509.Certificate

    @property
    def file(self):
        """File with the authority's certificate."""
        return self.directory / "authority.pem"

    def issue(self, name, host="127.0.0.1"):
        """Write a certificate and its key and return the paths of both files.

        Parameters
        ----------
        name : str
            DNS name and common name of the subject.
        host : str
            IP address of the subject.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        names = x509.SubjectAlternativeName(
            [x509.DNSName(name), x509.IPAddress(ipaddress.ip_address(host))]
        )
        certificate = (
            _builder(name, self.certificate.subject, key)
            .add_extension(names, critical=False)
            .sign(self.key, hashes.SHA256())
        )
        certificate_file = self.directory / f"{name}.crt"
        key_file = self.directory / f"{name}.key"
        certificate_file.write_bytes(_pem(certificate))
        key_file.write_bytes(_key_pem(key))
        return certificate_file, key_file

    def peer_settings(self, name, host="127.0.0.1"):
        """Return the peer settings of an instance as a JSON value."""
        certificate_file, key_file = self.issue(name, host)
        return {
            "certificate_file": str(certificate_file),
            "key_file": str(key_file),
            "authority_file": str(self.file),
        }


def make_authority(directory):
    """Create an authority that writes its files to a directory."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = _subject("pomelograde fleet")
    constraints = x509.BasicConstraints(ca=True, path_length=0)
    certificate = (
        _builder("pomelograde fleet", subject, key)
        .add_extension(constraints, critical=True)
        .sign(key, hashes.SHA256())
    )
    authority = Authority(pathlib.Path(directory), key, certificate)
    authority.file.write_bytes(_pem(certificate))
    return authority


def _builder(name, issuer, key):
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_subject(name))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW)
        .not_valid_after(now + LIFETIME)
    )


def _subject(name):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)


def _key_pem(key):
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
