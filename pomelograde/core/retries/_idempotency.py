"""Statements that keep idempotency keys and their answers on the upstream."""

import enum
import hashlib

import attrs

TABLE = "pomelograde_idempotency"
KEY_LIFETIME_S = 86_400
CLEANUP_PROBABILITY = 1 / 64  # of claims that also delete expired keys

CREATE_TABLE_SQL = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (account TEXT NOT NULL, key TEXT NOT NULL, "
    "statement TEXT NOT NULL, answer TEXT, created_at BIGINT NOT NULL, "
    "PRIMARY KEY (account, key))"
)

_UNDEFINED_TABLE = "42P01"
_TRANSIENT = frozenset(("25006", "40001", "40P01"))


class Claim(enum.Enum):
    """What came of the attempt to claim a key."""

    CLAIMED = "claimed"
    TAKEN = "taken"
    NO_TABLE = "no_table"
    RETRY = "again"
    REFUSED = "refused"


@attrs.frozen
class Key:
    """An idempotency key of a client account.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Key that the caller chose.
    statement : str
        Fingerprint of the statement with its parameters.
    """

    account: str
    key: str
    statement: str


def fingerprint(pieces):
    """Return the fingerprint of a statement with its parameters.

    Parameters
    ----------
    pieces : iterable of bytes
        Text and bound parameters, in order.
    """
    digest = hashlib.sha256()
    for piece in pieces:
        digest.update(len(piece).to_bytes(8, "big"))
        digest.update(piece)
    return digest.hexdigest()


def claim_sql(key, now_s, delete_expired):
    """Return the SQL that opens a transaction and claims a key in it.

    Parameters
    ----------
    key : Key
        The key.
    now_s : int
        Seconds since the epoch.
    delete_expired : bool
        Whether to delete the account's expired keys as well.
    """
    steps = ["BEGIN"]
    if delete_expired:
        oldest = now_s - KEY_LIFETIME_S
        steps.append(
            f"DELETE FROM {TABLE} WHERE account = {_quote(key.account)} "
            f"AND created_at < {oldest}"
        )
    steps.append(
        f"INSERT INTO {TABLE} (account, key, statement, created_at) VALUES "
        f"({_quote(key.account)}, {_quote(key.key)}, {_quote(key.statement)}, {now_s}) "
        "ON CONFLICT (account, key) DO NOTHING"
    )
    return "; ".join(steps)


def store_sql(key, answer):
    """Return the SQL that keeps the answer and commits.

    Parameters
    ----------
    key : Key
        The claimed key.
    answer : bytes
        Answer to the caller.
    """
    return f"UPDATE {TABLE} SET answer = '{answer.hex()}' WHERE {_is(key)}; COMMIT"


def lookup_sql(key):
    """Return the SQL that reads fingerprint and answer, and ends the transaction."""
    return f"SELECT statement, answer FROM {TABLE} WHERE {_is(key)}; ROLLBACK"


def classify_claim(tags, sqlstate):
    """Judge the answer to `claim_sql`.

    Parameters
    ----------
    tags : list of bytes
        Command tags.
    sqlstate : str or None
        SQLSTATE of the error, if there was one.
    """
    if sqlstate == _UNDEFINED_TABLE:
        return Claim.NO_TABLE
    if sqlstate in _TRANSIENT:
        return Claim.RETRY
    if sqlstate is not None or not tags:
        return Claim.REFUSED
    return Claim.CLAIMED if tags[-1] == b"INSERT 0 1" else Claim.TAKEN


def _is(key):
    return f"account = {_quote(key.account)} AND key = {_quote(key.key)}"


def _quote(text):
    return "'" + text.replace("'", "''") + "'"
