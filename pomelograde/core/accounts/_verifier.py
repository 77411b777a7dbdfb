"""SCRAM-SHA-256 verifiers of client account keys."""

import base64

import attrs
import scramp

ITERATIONS = 4096  # PBKDF2 rounds
KEY_BYTES = 24
MECHANISM = scramp.ScramMechanism("SCRAM-SHA-256")


@attrs.frozen
class Verifier:
    """What the platform keeps of a key; the key can't be had back from it.

    Attributes
    ----------
    salt, stored_key, server_key : str
        Base64.
    iterations : int
        PBKDF2 rounds.
    """

    salt: str = attrs.field(repr=False)
    stored_key: str = attrs.field(repr=False)
    server_key: str = attrs.field(repr=False)
    iterations: int = ITERATIONS

    def auth_info(self):
        """Return the tuple that scramp's server wants."""
        return (
            base64.b64decode(self.salt),
            base64.b64decode(self.stored_key),
            base64.b64decode(self.server_key),
            self.iterations,
        )


def make_key(random_bytes):
    """Return a new key in clear.

    Parameters
    ----------
    random_bytes : callable
        Maps a number of bytes to that many random bytes.
    """
    return base64.urlsafe_b64encode(random_bytes(KEY_BYTES)).decode("ascii")


def make_verifier(key, salt):
    """Return the verifier of a key.

    Parameters
    ----------
    key : str
        Key in clear.
    salt : bytes
        Random salt.

    Returns
    -------
    Verifier
        What may be stored.
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
    """Return the server's side of a SCRAM exchange.

    Parameters
    ----------
    auth_info : tuple
        What `Verifier.auth_info` returns.
    """
    return MECHANISM.make_server(lambda _: auth_info)


def read_client_first(server, message):
    """Give a SCRAM server the client's first message.

    Parameters
    ----------
    server : scramp.ScramServer
        Made by `make_server`.
    message : str
        As the client sent it.

    Notes
    -----
    PostgreSQL's clients leave the user name empty, since the start-up packet
    has it. The library refuses that, so it is given a placeholder, while the
    proof is checked over the message as it was sent.
    """
    if ",n=,r=" not in message:
        server.set_client_first(message)
        return
    server.set_client_first(message.replace(",n=,r=", ",n=*,r=", 1))
    server.client_first_bare = server.client_first_bare.replace("n=*,", "n=,", 1)
