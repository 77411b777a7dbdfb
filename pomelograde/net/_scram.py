"""SCRAM client for upstream members, with cached key derivation.

RFC 5802, section 3, allows a client to cache the salted password instead of
deriving it for each authentication. scramp has no such cache, so importing this
module replaces its derivation function for the whole process.
"""

import functools

import scramp
import scramp.core

MECHANISM = "SCRAM-SHA-256"
SALTED_PASSWORD_CACHE_SIZE = 4096

_derive = scramp.core.hi


@functools.lru_cache(maxsize=SALTED_PASSWORD_CACHE_SIZE)
def derive_salted_password(hash_function, password, salt, iterations):
    """Return the salted password, derived once for each set of arguments."""
    return _derive(hash_function, password, salt, iterations)


def _derive_cached(hash_function, password, salt, iterations):
    return derive_salted_password(hash_function, password, salt, int(iterations))


scramp.core.hi = _derive_cached


def make_client(user, password):
    """Return the client side of a SCRAM authentication.

    Parameters
    ----------
    user, password : str
        Credentials of the client.

    Returns
    -------
    scramp.ScramClient
        A client that derives each salted password once in a process.
    """
    return scramp.ScramClient([MECHANISM], user, password)
