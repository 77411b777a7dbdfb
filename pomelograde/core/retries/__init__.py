"""Error kinds, their answers, and what may be tried again."""

from pomelograde.core.retries import _decide, _errors

ANSWERS = _errors.ANSWERS
Answer = _errors.Answer
ErrorKind = _errors.ErrorKind
Execution = _errors.Execution
Failure = _errors.Failure
Phase = _decide.Phase
Retry = _decide.Retry
decide = _decide.decide

__all__ = [
    "ANSWERS",
    "Answer",
    "ErrorKind",
    "Execution",
    "Failure",
    "Phase",
    "Retry",
    "decide",
]
