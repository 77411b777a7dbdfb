"""Configuration documents, as operators write them and the store holds them."""

import base64
import http.client
import json
import urllib.error
import urllib.parse
import urllib.request

from pomelograde.platform import manifest, source

CALL_TIMEOUT_S = 10.0


class UnreadableError(Exception):
    """The store gave no configuration that can be read."""


def is_document(value):
    """Return whether a JSON value has the form of a configuration document."""
    return isinstance(value, dict) and {"routes", "services"} <= set(value)


def decode(text):
    """Decode a document.

    Returns
    -------
    configuration : FleetConfiguration or None
        The configuration that it describes; None if it has a fault.
    entries : FleetEntries
        All entries that could be decoded, with their places.
    faults : list of Finding
        Why instances would refuse it.
    """
    return manifest.decode_manifest(text)


def read_in_force(address):
    """Return the configuration that the store holds.

    Parameters
    ----------
    address : str
        Host and port of the store, with or without ``http://``.

    Returns
    -------
    FleetConfiguration

    Raises
    ------
    UnreadableError
        If the store does not answer, or holds no valid configuration.
    """
    base = address if "://" in address else f"http://{address}"
    query = urllib.parse.urlencode(
        {"table": source.OPERATOR_TABLE, "part": "", "from": source.CONFIGURATION_KEY}
    )
    try:
        with urllib.request.urlopen(
            f"{base.rstrip('/')}/rows-get?{query}", timeout=CALL_TIMEOUT_S
        ) as response:
            rows = json.load(response)["rows"]
        text = next(
            base64.b64decode(row["value"])
            for row in rows
            if row["key"] == source.CONFIGURATION_KEY
        )
        return manifest.parse_manifest(text)
    except StopIteration as error:
        raise UnreadableError(f"{address} holds no configuration") from error
    except (
        OSError,
        http.client.HTTPException,
        ValueError,
        KeyError,
        TypeError,
        manifest.InvalidManifestError,
    ) as error:
        raise UnreadableError(f"{address}: {error}") from error
