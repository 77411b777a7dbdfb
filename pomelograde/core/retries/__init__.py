"""Error kinds, their answers, and what may be tried again."""

from pomelograde.core.retries import _decide, _errors

ANSWERS = _errors.ANSWERS
Answer = _errors.Answer
Attempt = _decide.Attempt
ErrorKind = _errors.ErrorKind
Execution = _errors.Execution
Failure = _errors.Failure
Phase = _decide.Phase
Retry = _decide.Retry
Survival = _decide.Survival
decide = _decide.decide
expiry_kind = _decide.expiry_kind
judge_survival = _decide.judge_survival

__all__ = [
    "ANSWERS",
    "Answer",
    "Attempt",
    "ErrorKind",
    "Execution",
    "Failure",
    "Phase",
    "Retry",
    "Survival",
    "decide",
    "expiry_kind",
    "judge_survival",
]
