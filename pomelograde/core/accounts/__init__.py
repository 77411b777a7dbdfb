"""Keys of client accounts and their SCRAM verifiers."""

from pomelograde.core.accounts import _verifier

ITERATIONS = _verifier.ITERATIONS
Verifier = _verifier.Verifier
make_key = _verifier.make_key
make_server = _verifier.make_server
make_verifier = _verifier.make_verifier
set_client_first = _verifier.set_client_first

__all__ = [
    "ITERATIONS",
    "MECHANISM",
    "Verifier",
    "make_key",
    "make_server",
    "make_verifier",
    "set_client_first",
]
