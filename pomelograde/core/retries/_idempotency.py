"""SQL that stores idempotency keys and their answers on the upstream."""

import enum
import hashlib

import attrs

TABLE = "pomelograde_idempotency"
KEY_LIFETIME_S = 86_400
CLEANUP_PROBABILITY = 1 / 64  # that a claim also deletes expired keys

CREATE_TABLE_SQL = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (account TEXT NOT NULL, key TEXT NOT NULL, "
    "statement TEXT NOT NULL, answer TEXT, created_at BIGINT NOT NULL, "
    "PRIMARY KEY (account, key))"
)

_UNDEFINED_TABLE = "42P01"
# Read-only transaction, serialization failure and deadlock.
_TRANSIENT_SQLSTATES = frozenset(("25006", "40001", "40P01"))


class Claim(enum.Enum):
    """Outcome of an attempt to claim a key.

    Attributes
    ----------
    CLAIMED
        The key was free and now belongs to the statement.
    TAKEN
        Another statement has stored this key.
    NO_TABLE
        The table of idempotency keys doesn't exist.
    RETRY
        The upstream answered with a transient error.
    REFUSED
        The upstream answered with another error, or without a command tag.
    """

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
        Key chosen by the caller.
    statement : str
        Fingerprint of the statement and its parameters.
    """

    account: str
    key: str
    statement: str


def fingerprint(parts):
    """Return the fingerprint of a statement and its parameters.

    Parameters
    ----------
    parts : iterable of bytes
        Text and bound parameters, in order. The length of each part is hashed
        too, so that the boundaries between parts matter.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def claim_sql(key, now_s, delete_expired):
    """Return SQL that opens a transaction and claims a key in it.

    Parameters
    ----------
    key : Key
        Key to claim.
    now_s : int
        Current Unix time.
    delete_expired : bool
        Whether to also delete the account's expired keys.
    """
    steps = ["BEGIN"]
    if delete_expired:
        expired_before = now_s - KEY_LIFETIME_S
        steps.append(
            f"DELETE FROM {TABLE} WHERE account = {_quote(key.account)} "
            f"AND created_at < {expired_before}"
        )
    steps.append(
        f"INSERT INTO {TABLE} (account, key, statement, created_at) VALUES "
        f"({_quote(key.account)}, {_quote(key.key)}, {_quote(key.statement)}, {now_s}) "
        "ON CONFLICT (account, key) DO NOTHING"
    )
    return "; ".join(steps)


def store_sql(key, answer):
    """Return SQL that stores an answer and commits the transaction of `claim_sql`.

    Parameters
    ----------
    key : Key
        The claimed key.
    answer : bytes
        Encoded answer to the caller.
    """
    return f"UPDATE {TABLE} SET answer = '{answer.hex()}' WHERE {_matches(key)}; COMMIT"


def lookup_sql(key):
    """Return SQL that reads a key's fingerprint and answer.

    It also rolls back the transaction that `claim_sql` opened.
    """
    return f"SELECT statement, answer FROM {TABLE} WHERE {_matches(key)}; ROLLBACK"


def classify_claim(tags, sqlstate):
    """Return the outcome of running `claim_sql`.

    Parameters
    ----------
    tags : list of bytes
        Command tags of the answer.
    sqlstate : str or None
        SQLSTATE of the error, or None.

    Returns
    -------
    Claim
        `Claim.RETRY` for transient errors.
    """
    if sqlstate == _UNDEFINED_TABLE:
        return Claim.NO_TABLE
    if sqlstate in _TRANSIENT_SQLSTATES:
        return Claim.RETRY
    if sqlstate is not None or not tags:
        return Claim.REFUSED
    return Claim.CLAIMED if tags[-1] == b"INSERT 0 1" else Claim.TAKEN


def _matches(key):
    return f"account = {_quote(key.account)} AND key = {_quote(key.key)}"


def _quote(text):
    return "'" + text.replace("'", "''") + "'"
