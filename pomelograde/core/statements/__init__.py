"""Execution of callers' statements: sessions, statements, routes and actions.

Used by the daemon for a hosting platform (`daemon.hosted`), whose members speak
the platform's line protocol. For PostgreSQL members, see `core.routing` and
`core.sessions`.
"""

from pomelograde.core.statements import _actions, _session, _statements

Abandon = _actions.Abandon
Acquire = _actions.Acquire
Admit = _actions.Admit
Answer = _statements.Answer
Begin = _actions.Begin
CancelPending = _actions.CancelPending
Close = _actions.Close
Discard = _actions.Discard
Execute = _actions.Execute
RefundToken = _actions.RefundToken
RecordRetry = _actions.RecordRetry
MEMBER_FAILURES = _statements.MEMBER_FAILURES
Operation = _statements.Operation
Prepared = _statements.Prepared
RespondError = _actions.RespondError
Release = _actions.Release
Respond = _actions.Respond
Route = _statements.Route
RouteType = _statements.RouteType
Session = _session.Session
Statement = _statements.Statement
UpstreamError = _statements.UpstreamError
StartTimer = _actions.StartTimer

__all__ = [
    "Abandon",
    "Acquire",
    "Admit",
    "Answer",
    "Begin",
    "CancelPending",
    "Close",
    "Discard",
    "Execute",
    "RefundToken",
    "RecordRetry",
    "MEMBER_FAILURES",
    "Operation",
    "Prepared",
    "RespondError",
    "Release",
    "Respond",
    "Route",
    "RouteType",
    "Session",
    "Statement",
    "UpstreamError",
    "StartTimer",
]
