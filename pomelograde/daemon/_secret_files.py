"""Secrets of the settings that are kept in files of their own."""

import hashlib
import pathlib

import attrs
import result


def read_secrets(settings):
    """Fill in the secrets that settings name files for.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Returns
    -------
    Result of Settings or list of str
        The settings with their secrets, or a message for each fault; no
        message has a secret in it.
    """
    faults = []
    path = settings.upstream.password_file
    if path:
        password = _read_file(path, "$.upstream.password_file", faults)
        upstream = attrs.evolve(settings.upstream, password=password)
        settings = attrs.evolve(settings, upstream=upstream)
    operators = []
    for index, operator in enumerate(settings.operators):
        if operator.token_file:
            place = f"$.operators[{index}].token_file"
            token = _read_file(operator.token_file, place, faults)
            digest = hashlib.sha256(token.encode("utf-8")).hexdigest()
            operator = attrs.evolve(operator, token_sha256=digest)
        operators.append(operator)
    if faults:
        return result.Err(faults)
    return result.Ok(attrs.evolve(settings, operators=operators))


def _read_file(path, place, faults):
    try:
        secret = pathlib.Path(path).read_text("utf-8").strip()
    except OSError as error:
        faults.append(f"{path}: {error.strerror} @ {place}")
        return ""
    except UnicodeDecodeError:
        faults.append(f"{path}: not UTF-8 text @ {place}")
        return ""
    if not secret:
        faults.append(f"{path}: must not be empty @ {place}")
    return secret
