"""SCRAM towards upstream members, with its costly step remembered.

RFC 5802, section 3, lets a client keep the salted password instead of
deriving it anew for each authentication. The library has no place for it, so
its derivation function is wrapped here, once, for the whole process.
"""

import functools

import scramp
import scramp.core

MECHANISM = "SCRAM-SHA-256"
MAX_SALTED_PASSWORDS = 4096

_derive = scramp.core.hi


@functools.lru_cache(maxsize=MAX_SALTED_PASSWORDS)
def derive_once(hash_function, password, salt, iterations):
    """Derive a salted password, or return the one derived before."""
    return _derive(hash_function, password, salt, iterations)


def _derive_remembered(hash_function, password, salt, iterations):
    return derive_once(hash_function, password, salt, int(iterations))


scramp.core.hi = _derive_remembered


def make_client(user, password):
    """Return the client's side of a SCRAM exchange.

    Parameters
    ----------
    user, password : str
        Credentials.

    Returns
    -------
    scramp.ScramClient
        A client that derives each salted password once a process.
    """
    return scramp.ScramClient([MECHANISM], user, password)
