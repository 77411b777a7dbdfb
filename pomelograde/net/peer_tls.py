"""Mutual TLS between instances."""

import attrs
from OpenSSL import SSL
from twisted.internet import endpoints, ssl

from pomelograde.net import events


@attrs.frozen
class Certificates:
    """Certificates of an instance, as last loaded.

    Attributes
    ----------
    own : twisted.internet.ssl.PrivateCertificate
        Certificate and key of this instance; its DNS name is the instance's name.
    authority : twisted.internet.ssl.Certificate
        Certificate authority of the fleet.
    """

    own: ssl.PrivateCertificate = attrs.field(repr=False)
    authority: ssl.Certificate

    @classmethod
    def load(cls, settings):
        """Load the files that `PeerSettings` names."""
        with open(settings.certificate_file, "rb") as file:
            certificate = file.read()
        with open(settings.key_file, "rb") as file:
            own = ssl.PrivateCertificate.loadPEM(certificate + file.read())
        with open(settings.authority_file, "rb") as file:
            authority = ssl.Certificate.loadPEM(file.read())
        return cls(own, authority)


class PeerTls:
    """Authenticates and encrypts the connections between instances.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    """

    def __init__(self, context):
        self.context = context
        self.certificates = Certificates.load(context.settings.peers)
        self.server_options = self._make_server_options(self.certificates)

    def getContext(self):  # noqa: N802
        """Return the TLS context for a new inbound connection."""
        return self.server_options.getContext()

    def listen(self, reactor, host, port, factory):
        """Listen for peers; returns the port."""
        return reactor.listenSSL(port, factory, self, interface=host)

    def wrap_endpoint(self, endpoint, name):
        """Return the endpoint for TLS connections to the named instance."""
        options = ssl.optionsForClientTLS(
            name,
            trustRoot=self.certificates.authority,
            clientCertificate=self.certificates.own,
        )
        return endpoints.wrapClientTLS(options, endpoint)

    def authenticated_name(self, transport):
        """Return the name in the peer's certificate."""
        certificate = ssl.Certificate.peerFromTransport(transport)
        name = certificate.getSubject().commonName
        return name.decode() if isinstance(name, bytes) else name

    def reload(self):
        """Load the certificates again; invalid ones are logged and not used.

        Notes
        -----
        Open connections keep their certificates. New connections in either
        direction use the new ones.
        """
        settings = self.context.settings.peers
        try:
            loaded = Certificates.load(settings)
            options = self._make_server_options(loaded)
            options.getContext()
        except (OSError, SSL.Error) as error:
            self.context.log.write(events.Event.CERTIFICATE_REJECTED, reason=str(error))
            return
        self.certificates = loaded
        self.server_options = options
        file = settings.certificate_file
        self.context.log.write(events.Event.CERTIFICATE_LOADED, file=file)

    def _make_server_options(self, certificates):
        return certificates.own.options(certificates.authority)
