"""SCRAM-SHA-256 verifiers for the keys of client accounts."""

import base64

import attrs
import scramp

ITERATIONS = 4096  # PBKDF2 rounds
KEY_BYTES = 24
MECHANISM = scramp.ScramMechanism("SCRAM-SHA-256")


@attrs.frozen
class Verifier:
    """Stored form of a key, from which the key can't be recovered.

    Attributes
    ----------
    salt, stored_key, server_key : str
        Values of RFC 5802, in Base64.
    iterations : int
        PBKDF2 rounds.
    """

    salt: str = attrs.field(repr=False)
    stored_key: str = attrs.field(repr=False)
    server_key: str = attrs.field(repr=False)
    iterations: int = ITERATIONS

    def auth_info(self):
        """Return the authentication information that scramp's server expects."""
        return (
            base64.b64decode(self.salt),
            base64.b64decode(self.stored_key),
            base64.b64decode(self.server_key),
            self.iterations,
        )


def make_key(random_bytes):
    """Return a new key in plain text.

    Parameters
    ----------
    random_bytes : callable
        Returns the given number of random bytes.
    """
    return base64.urlsafe_b64encode(random_bytes(KEY_BYTES)).decode("ascii")


def make_verifier(key, salt):
    """Return the verifier of a key.

    Parameters
    ----------
    key : str
        Key in plain text.
    salt : bytes
        Random salt.

    Returns
    -------
    Verifier
        Verifier to store.
    """
    salt, stored_key, server_key, iterations = MECHANISM.make_auth_info(
        key, ITERATIONS, salt
    )
    encode = base64.b64encode
    return Verifier(
        salt=encode(salt).decode("ascii"),
        stored_key=encode(stored_key).decode("ascii"),
        server_key=encode(server_key).decode("ascii"),
        iterations=iterations,
    )


def make_server(auth_info):
    """Return the server side of a SCRAM exchange.

    Parameters
    ----------
    auth_info : tuple
        Result of `Verifier.auth_info`.
    """
    return MECHANISM.make_server(lambda _: auth_info)


def set_client_first(server, message):
    """Pass the client-first message to a SCRAM server.

    Parameters
    ----------
    server : scramp.ScramServer
        Server created by `make_server`.
    message : str
        Message from the client.

    Notes
    -----
    PostgreSQL clients leave the user name empty because the startup packet
    contains it. scramp rejects an empty name, so the message gets a
    placeholder. The client's proof covers the original message, so the
    placeholder is removed from the stored message again.
    """
    if ",n=,r=" not in message:
        server.set_client_first(message)
        return
    server.set_client_first(message.replace(",n=,r=", ",n=*,r=", 1))
    server.client_first_bare = server.client_first_bare.replace("n=*,", "n=,", 1)
