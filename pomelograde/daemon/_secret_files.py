"""Reads the secrets that the settings keep in separate files."""

import hashlib
import pathlib

import attrs
import result


def read_secrets(settings):
    """Replace references to secret files by the secrets.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Returns
    -------
    Result of Settings or list of str
        The settings with `password` and `token_sha256` filled in, or the error
        messages. No message contains a secret.
    """
    errors = []
    path = settings.upstream.password_file
    if path:
        password = _read_file(path, "$.upstream.password_file", errors)
        upstream = attrs.evolve(settings.upstream, password=password)
        settings = attrs.evolve(settings, upstream=upstream)
    operators = []
    for index, operator in enumerate(settings.operators):
        if operator.token_file:
            field_path = f"$.operators[{index}].token_file"
            token = _read_file(operator.token_file, field_path, errors)
            digest = hashlib.sha256(token.encode("utf-8")).hexdigest()
            operator = attrs.evolve(operator, token_sha256=digest)
        operators.append(operator)
    if errors:
        return result.Err(errors)
    return result.Ok(attrs.evolve(settings, operators=operators))


def _read_file(path, field_path, errors):
    try:
        secret = pathlib.Path(path).read_text("utf-8").strip()
    except OSError as error:
        errors.append(f"{path}: {error.strerror} @ {field_path}")
        return ""
    except UnicodeDecodeError:
        errors.append(f"{path}: not UTF-8 text @ {field_path}")
        return ""
    if not secret:
        errors.append(f"{path}: must not be empty @ {field_path}")
    return secret
