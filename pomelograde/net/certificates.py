"""TLS certificates presented to callers and operators, reloaded at run time."""

import pathlib

import OpenSSL.SSL
from twisted.internet import interfaces
from zope import interface

from pomelograde.net import events, timers

CHECK_INTERVAL_S = 5.0


class CertificateError(Exception):
    """Raised if a certificate or its key can't be used."""


@interface.implementer(interfaces.IOpenSSLContextFactory)
class ReloadingContextFactory:
    """Context factory that reloads the certificate when its files change.

    Parameters
    ----------
    context : InstanceContext
        Context shared by all tasks of the daemon.
    tls : TlsSettings
        Settings with the files of the certificate and its key.
    """

    def __init__(self, context, tls):
        self.context = context
        self.tls = tls
        self.tls_context = load(tls)
        self.file_stamps = _file_stamps(tls)
        self.loop = None

    def getContext(self):  # noqa: N802
        """Return the TLS context of a new connection."""
        return self.tls_context

    def start(self):
        """Start checking the files for changes."""
        self.loop = timers.start_loop(self.context, CHECK_INTERVAL_S, self._check)

    def stop(self):
        """Stop checking the files."""
        if self.loop is not None and self.loop.running:
            self.loop.stop()

    def reload(self):
        """Load the files; an unusable pair leaves the old one in use."""
        self.file_stamps = _file_stamps(self.tls)
        try:
            self.tls_context = load(self.tls)
        except CertificateError as error:
            self.context.log.write(events.Event.CERTIFICATE_REJECTED, reason=str(error))
            return
        self.context.log.write(
            events.Event.CERTIFICATE_LOADED, file=self.tls.certificate_file
        )

    def _check(self):
        if _file_stamps(self.tls) != self.file_stamps:
            self.reload()


def load(tls):
    """Return a TLS context with the certificate and key of the settings.

    Raises
    ------
    CertificateError
        If a file can't be read or the key doesn't match the certificate.

    Notes
    -----
    Twisted's `CertificateOptions` isn't used: with its contexts, the TLS
    handshake of libpq 18 fails with an internal error of OpenSSL.
    """
    for path in (tls.certificate_file, tls.key_file):
        try:
            pathlib.Path(path).read_bytes()
        except OSError as error:
            raise CertificateError(f"{path}: {error.strerror}") from None
    tls_context = OpenSSL.SSL.Context(OpenSSL.SSL.TLS_SERVER_METHOD)
    tls_context.set_min_proto_version(OpenSSL.SSL.TLS1_2_VERSION)
    tls_context.set_options(
        OpenSSL.SSL.OP_NO_COMPRESSION | OpenSSL.SSL.OP_NO_RENEGOTIATION
    )
    tls_context.set_session_cache_mode(OpenSSL.SSL.SESS_CACHE_OFF)
    try:
        tls_context.use_certificate_chain_file(tls.certificate_file)
        tls_context.use_privatekey_file(tls.key_file)
        tls_context.check_privatekey()
    except OpenSSL.SSL.Error:
        message = f"{tls.certificate_file}: not a certificate with its key"
        raise CertificateError(message) from None
    return tls_context


def _file_stamps(tls):
    """Return modification time, inode and size of both files, None if missing."""
    stamps = []
    for path in (tls.certificate_file, tls.key_file):
        try:
            status = pathlib.Path(path).stat()
        except OSError:
            stamps.append(None)
        else:
            stamps.append((status.st_mtime_ns, status.st_ino, status.st_size))
    return stamps
