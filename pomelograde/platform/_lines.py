"""The line protocol of callers and upstream members.

A message is one line: a word, then fields separated by blanks, then CR LF. The
last field takes the rest of the line, so each kind of message has a fixed
number of fields.
"""

import re

from pomelograde.core import retries, sessions, statements

MAX_LINE_BYTES = 1024 * 1024  # stated by the protocol
END = b"\r\n"
OWN_ID = b"-"  # id of statements that the proxy issues itself
NO_POSITION = b"-"
NO_DIGEST = b"-"

_TOKEN = re.compile(rb"[\x21-\x7e\x80-\xff]+")
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
_POSITION = re.compile(rb"(\d{1,18})\.(\d{1,18})")
_OP = statements.Operation
_KIND = retries.ErrorKind
_ERROR = statements.UpstreamError

# Codes that promise that nothing of the attempt is kept: RETRY, ABORTED,
# LAGGING, READONLY, MISROUTED and OVERLOAD. They may stand only beside kinds
# whose statement has not run.
CODES = {
    _KIND.MALFORMED_FRAME: b"MALFORMED",
    _KIND.FRAME_TOO_LARGE: b"TOOLARGE",
    _KIND.STARTUP_TIMEOUT: b"TIMEOUT",
    _KIND.TOO_MANY_CONNECTIONS: b"OVERLOAD",
    _KIND.TLS_REQUIRED: b"DENIED",
    _KIND.AUTHENTICATION_FAILED: b"DENIED",
    _KIND.UNKNOWN_DATABASE: b"NODATABASE",
    _KIND.KEY_WITHDRAWN: b"DENIED",
    _KIND.KEY_WITHDRAWN_IN_FLIGHT: b"INDOUBT",
    _KIND.SERVICE_DELETED: b"NODATABASE",
    _KIND.SERVICE_DELETED_IN_FLIGHT: b"INDOUBT",
    _KIND.ROUTE_FORBIDDEN: b"DENIED",
    _KIND.INVALID_SETTING: b"MALFORMED",
    _KIND.UNSUPPORTED: b"MALFORMED",
    _KIND.UNKNOWN_STATEMENT: b"UNKNOWN",
    _KIND.RATE_EXCEEDED: b"OVERLOAD",
    _KIND.NO_RATE_SHARE: b"RETRY",
    _KIND.QUEUE_FULL: b"RETRY",
    _KIND.DEADLINE_BEFORE_RUN: b"RETRY",
    _KIND.DEADLINE_AFTER_SEND: b"TIMEOUT",
    _KIND.NO_PRIMARY: b"RETRY",
    _KIND.SESSION_BEHIND: b"LAGGING",
    _KIND.UPSTREAM_UNREACHABLE: b"RETRY",
    _KIND.UPSTREAM_LOST: b"INDOUBT",
    _KIND.UPSTREAM_FAILED: b"FAILED",
    _KIND.UPSTREAM_TIMEOUT: b"TIMEOUT",
    _KIND.TRANSACTION_LOST: b"ABORTED",
    _KIND.TRANSACTION_EXPIRED: b"ABORTED",
    _KIND.TRANSACTION_ABORTED: b"MALFORMED",
    _KIND.INVALID_TRANSACTION_STATE: b"MALFORMED",
    _KIND.ACKNOWLEDGEMENT_LOST: b"INDOUBT",
    _KIND.ANSWER_TOO_LARGE: b"INDOUBT",
    _KIND.IDEMPOTENCY_KEY_REUSED: b"MALFORMED",
    _KIND.IDEMPOTENCY_UNAVAILABLE: b"MALFORMED",
    _KIND.WRITE_DISCARDED: b"ABORTED",
    _KIND.CONFIGURATION_STALE: b"RETRY",
    _KIND.DRAINING: b"RETRY",
    _KIND.INTERNAL: b"FAILED",
}

UPSTREAM_ERRORS = {
    b"RETRY": _ERROR.BUSY,
    b"LAGGING": _ERROR.BEHIND,
    b"READONLY": _ERROR.READ_ONLY,
    b"MISROUTED": _ERROR.MISDIRECTED,
    b"OVERLOAD": _ERROR.TOO_MANY_CONNECTIONS,
    b"UNKNOWN": _ERROR.UNKNOWN_STATEMENT,
    b"FAILED": _ERROR.FAILED,
    b"TIMEOUT": _ERROR.TIMEOUT,
}


class LineReader:
    """Splits a stream of bytes into lines.

    Raises
    ------
    LineTooLongError
        From `feed`, if a line has no end within `MAX_LINE_BYTES`.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data):
        """Return the lines that `data` completes, without their ends."""
        if self.rest:
            data = self.rest + data
        lines = data.split(END)
        self.rest = lines.pop()
        if len(self.rest) > MAX_LINE_BYTES:
            raise LineTooLongError
        if any(len(line) > MAX_LINE_BYTES for line in lines):
            raise LineTooLongError
        return lines


class LineTooLongError(Exception):
    """A line is longer than the protocol allows."""


class MalformedLineError(Exception):
    """A line is no message of the protocol."""


def is_token(field):
    """Return whether a field has no blanks and no control characters."""
    return _TOKEN.fullmatch(field) is not None


def read_position(field):
    """Read ``TERM.NUMBER``; anything else names no position."""
    match = _POSITION.fullmatch(field)
    if match is None:
        return None
    return sessions.Position(int(match[1]), int(match[2]))


def write_position(position):
    """Return the text of a position, or of none."""
    if position is None:
        return NO_POSITION
    return b"%d.%d" % (position.term, position.index)


def read_status(answer):
    """Return what a member's status row states, or None.

    Returns
    -------
    tuple of (bool, int, Position) or None
        Whether it leads, newest term, and position up to which it has received.

    Notes
    -----
    The fields are role, term, position received, term held, lag, statements
    under way, and connections.
    """
    if answer.error is not None or not answer.rows:
        return None
    fields = answer.rows[0].split(b" ")
    if len(fields) < 3 or not fields[1].isdigit():
        return None
    position = read_position(fields[2])
    if position is None:
        return None
    return fields[0] == b"primary", int(fields[1]), position


def read_statement(line):
    """Read a caller's statement from ``QUERY id text``.

    Raises
    ------
    MalformedLineError
        If it is none that a caller may send.
    """
    word, _, rest = line.partition(b" ")
    request_id, _, text = rest.partition(b" ")
    if word != b"QUERY" or not is_token(request_id) or request_id == OWN_ID:
        raise MalformedLineError
    if _CONTROL.search(text):
        raise MalformedLineError
    verb, _, arguments = text.partition(b" ")
    reader = _READERS.get(verb)
    if reader is None:
        raise MalformedLineError
    return reader(request_id, text, arguments)


def _read_begin(request_id, text, arguments):
    if text == b"BEGIN":
        return statements.Statement(request_id, _OP.BEGIN, text)
    if arguments == b"READ":
        return statements.Statement(request_id, _OP.BEGIN_READ_ONLY, text)
    raise MalformedLineError


def _plain_reader(operation):
    def read(request_id, text, arguments):
        if b" " in text:
            raise MalformedLineError
        return statements.Statement(request_id, operation, text)

    return read


def _read_read(request_id, text, arguments):
    if not is_token(arguments):
        raise MalformedLineError
    return statements.Statement(request_id, _OP.READ, text)


def _read_write(request_id, text, arguments):
    item, blank, _ = arguments.partition(b" ")
    if not is_token(item) or not blank:
        raise MalformedLineError
    return statements.Statement(request_id, _OP.WRITE, text)


def _read_set(request_id, text, arguments):
    name, blank, value = arguments.partition(b" ")
    if not is_token(name) or not blank:
        raise MalformedLineError
    return statements.Statement(request_id, _OP.SET, text, name, value)


def _read_prepare(request_id, text, arguments):
    name, _, rest = arguments.partition(b" ")
    kind, _, shape = rest.partition(b" ")
    if not is_token(name) or kind not in (b"READ", b"WRITE") or not shape:
        raise MalformedLineError
    writes = kind == b"WRITE"
    return statements.Statement(request_id, _OP.PREPARE, text, name, shape, writes)


def _read_execute(request_id, text, arguments):
    name, _, rest = arguments.partition(b" ")
    if not is_token(name) or not rest:
        raise MalformedLineError
    return statements.Statement(request_id, _OP.EXECUTE, text, name, rest)


def _read_deallocate(request_id, text, arguments):
    if not is_token(arguments):
        raise MalformedLineError
    return statements.Statement(request_id, _OP.DEALLOCATE, text, arguments)


_READERS = {
    b"BEGIN": _read_begin,
    b"COMMIT": _plain_reader(_OP.COMMIT),
    b"ROLLBACK": _plain_reader(_OP.ROLLBACK),
    b"READ": _read_read,
    b"WRITE": _read_write,
    b"SET": _read_set,
    b"PARSE": _read_prepare,
    b"EXECUTE": _read_execute,
    b"CLOSE": _read_deallocate,
}


def write_answer(answer, status):
    """Return the lines that answer a caller with success."""
    lines = [b"DATAROW " + row for row in answer.rows]
    lines.append(b"COMPLETE " + (answer.digest or NO_DIGEST))
    lines.append(b"READY " + status + b" " + write_position(answer.position))
    lines.append(b"")
    return END.join(lines)


def write_failure(failure, status):
    """Return the lines that answer a caller with an error."""
    text = retries.ANSWERS[failure.kind].message
    if failure.detail:
        text = f"{text}: {failure.detail}"
    if failure.retry_after_s > 0.0:
        text = f"{text}; retry after {failure.retry_after_s * 1000.0:.0f} ms"
    error = b"ERROR " + CODES[failure.kind] + b" " + text.encode()
    return error + END + b"READY " + status + b" " + NO_POSITION + END


def write_start_failure(failure):
    """Return the line that refuses a session."""
    message = retries.ANSWERS[failure.kind].message.encode()
    return b"ERROR " + CODES[failure.kind] + b" " + message + END


def write_settings(present, wanted):
    """Return the lines that give a member's connection a session's settings.

    Notes
    -----
    Settings can't be taken back one by one. A connection that has some that
    the session lacks, or that has unknown ones, is reset first, which drops
    its prepared statements as well.
    """
    lines = []
    if present is None or any(name not in wanted for name in present):
        lines.append(b"QUERY - DISCARD\r\n")
        present = {}
    for name, value in wanted.items():
        if present.get(name) != value:
            lines.append(b"QUERY - SET %s %s\r\n" % (name, value))
    return lines


def write_prepare(name, prepared):
    """Return the line that prepares a statement under a name of the proxy."""
    kind = b"WRITE" if prepared.writes else b"READ"
    return b"QUERY - PARSE %s %s %s\r\n" % (name, kind, prepared.shape)


def write_begin(read_only, after):
    """Return the line that opens a transaction on a member."""
    text = b"BEGIN READ" if read_only else b"BEGIN"
    return b"QUERY - " + _after(after) + text + END


def write_statement(statement, name, after):
    """Return the line that runs a caller's statement on a member.

    Parameters
    ----------
    statement : Statement
        The statement; its id and text are kept.
    name : bytes or None
        Name of the prepared statement on the member's connection.
    after : Position or None
        What the member's log must hold.
    """
    text = statement.text
    if name is not None:
        text = b"EXECUTE %s %s" % (name, statement.value)
    return b"QUERY " + statement.request_id + b" " + _after(after) + text + END


def write_start(service, account, member):
    """Return the line that opens a connection to a member.

    Notes
    -----
    The member's id is always named: addresses are used again, and a member of
    another id then refuses.
    """
    return f"START {service} {account or '-'} {member}\r\n".encode()


ROLLBACK = b"QUERY - ROLLBACK\r\n"
STATUS = b"QUERY - STATUS\r\n"
RESET = b"QUERY - DISCARD\r\n"
RESUME = b"QUERY - RESUME\r\n"


def write_pause(term):
    """Return the line that stops a replica from receiving."""
    return b"QUERY - PAUSE %d\r\n" % term


def write_step_down(term):
    """Return the line that makes a primary of a lower term a replica."""
    return b"QUERY - STEPDOWN %d\r\n" % term


def _after(position):
    if position is None:
        return b""
    return b"AFTER " + write_position(position) + b" "
