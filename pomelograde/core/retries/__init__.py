"""Error kinds and responses, retry decisions and idempotency keys."""

from pomelograde.core.retries import _budget, _decide, _errors, _idempotency

ERROR_RESPONSES = _errors.ERROR_RESPONSES
ErrorResponse = _errors.ErrorResponse
Attempt = _decide.Attempt
Claim = _idempotency.Claim
ErrorKind = _errors.ErrorKind
Execution = _errors.Execution
Failure = _errors.Failure
Key = _idempotency.Key
Phase = _decide.Phase
Retry = _decide.Retry
RetryBudget = _budget.RetryBudget
CLEANUP_PROBABILITY = _idempotency.CLEANUP_PROBABILITY
CREATE_TABLE_SQL = _idempotency.CREATE_TABLE_SQL
Survival = _decide.Survival
claim_sql = _idempotency.claim_sql
decide = _decide.decide
expiry_kind = _decide.expiry_kind
lookup_sql = _idempotency.lookup_sql
fingerprint = _idempotency.fingerprint
classify_claim = _idempotency.classify_claim
classify_survival = _decide.classify_survival
store_sql = _idempotency.store_sql

__all__ = [
    "ERROR_RESPONSES",
    "ErrorResponse",
    "Attempt",
    "CLEANUP_PROBABILITY",
    "CREATE_TABLE_SQL",
    "Claim",
    "ErrorKind",
    "Execution",
    "Failure",
    "Key",
    "Phase",
    "Retry",
    "RetryBudget",
    "Survival",
    "claim_sql",
    "decide",
    "expiry_kind",
    "lookup_sql",
    "fingerprint",
    "classify_claim",
    "classify_survival",
    "store_sql",
]
