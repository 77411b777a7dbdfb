"""Certificates towards callers and operators, reloaded while in use."""

import pathlib

import OpenSSL.SSL
from twisted.internet import interfaces
from zope import interface

from pomelograde.net import events, timers

CHECK_INTERVAL_S = 5.0


class CertificateError(Exception):
    """Certificate and key can't be used."""


@interface.implementer(interfaces.IOpenSSLContextFactory)
class ReloadingContextFactory:
    """Gives each new connection the certificate that was last loaded.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    tls : TlsSettings
        Files of the certificate and its key.
    """

    def __init__(self, context, tls):
        self.context = context
        self.tls = tls
        self.loaded = load(tls)
        self.seen = _stamps(tls)
        self.loop = None

    def getContext(self):  # noqa: N802
        """Return the TLS context of a new connection."""
        return self.loaded

    def start(self):
        """Begin to look for new files."""
        self.loop = timers.start_loop(self.context, CHECK_INTERVAL_S, self._check)

    def stop(self):
        """Look for new files no more."""
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    def reload(self):
        """Load the files; a pair that can't be used changes nothing."""
        self.seen = _stamps(self.tls)
        try:
            self.loaded = load(self.tls)
        except CertificateError as error:
            self.context.log.write(events.Event.CERTIFICATE_REJECTED, reason=str(error))
            return
        self.context.log.write(
            events.Event.CERTIFICATE_LOADED, file=self.tls.certificate_file
        )

    def _check(self):
        if _stamps(self.tls) != self.seen:
            self.reload()


def load(tls):
    """Return a TLS context from the files that settings name.

    Raises
    ------
    CertificateError
        If a file can't be read or the key isn't the certificate's.

    Notes
    -----
    The context is not made by Twisted's `CertificateOptions`: with it, the
    handshake of libpq 18 ends in an internal error of OpenSSL.
    """
    for path in (tls.certificate_file, tls.key_file):
        try:
            pathlib.Path(path).read_bytes()
        except OSError as error:
            raise CertificateError(f"{path}: {error.strerror}") from None
    made = OpenSSL.SSL.Context(OpenSSL.SSL.TLS_SERVER_METHOD)
    made.set_min_proto_version(OpenSSL.SSL.TLS1_2_VERSION)
    made.set_options(OpenSSL.SSL.OP_NO_COMPRESSION | OpenSSL.SSL.OP_NO_RENEGOTIATION)
    made.set_session_cache_mode(OpenSSL.SSL.SESS_CACHE_OFF)
    try:
        made.use_certificate_chain_file(tls.certificate_file)
        made.use_privatekey_file(tls.key_file)
        made.check_privatekey()
    except OpenSSL.SSL.Error:
        message = f"{tls.certificate_file}: not a certificate with its key"
        raise CertificateError(message) from None
    return made


def _stamps(tls):
    stamps = []
    for path in (tls.certificate_file, tls.key_file):
        try:
            found = pathlib.Path(path).stat()
        except OSError:
            stamps.append(None)
        else:
            stamps.append((found.st_mtime_ns, found.st_ino, found.st_size))
    return stamps
