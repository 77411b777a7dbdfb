"""Error kinds, their answers, and what may be tried again."""

from pomelograde.core.retries import _decide, _errors, _idempotency

ANSWERS = _errors.ANSWERS
Answer = _errors.Answer
Attempt = _decide.Attempt
Claim = _idempotency.Claim
ErrorKind = _errors.ErrorKind
Execution = _errors.Execution
Failure = _errors.Failure
Key = _idempotency.Key
Phase = _decide.Phase
Retry = _decide.Retry
CLEANING_SHARE = _idempotency.CLEANING_SHARE
CREATE = _idempotency.CREATE
Survival = _decide.Survival
claim_sql = _idempotency.claim_sql
decide = _decide.decide
expiry_kind = _decide.expiry_kind
find_sql = _idempotency.find_sql
fingerprint = _idempotency.fingerprint
judge_claim = _idempotency.judge_claim
judge_survival = _decide.judge_survival
store_sql = _idempotency.store_sql

__all__ = [
    "ANSWERS",
    "Answer",
    "Attempt",
    "CLEANING_SHARE",
    "CREATE",
    "Claim",
    "ErrorKind",
    "Execution",
    "Failure",
    "Key",
    "Phase",
    "Retry",
    "Survival",
    "claim_sql",
    "decide",
    "expiry_kind",
    "find_sql",
    "fingerprint",
    "judge_claim",
    "judge_survival",
    "store_sql",
]
