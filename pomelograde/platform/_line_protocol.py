"""Codec of the line protocol that callers and upstream members speak.

A message is one line that ends with CR LF: a keyword, then fields separated by
single spaces. Each type of message has a fixed number of fields; the last one
extends to the end of the line and may contain spaces.
"""

import re

from pomelograde.core import retries, sessions, statements

MAX_LINE_BYTES = 1024 * 1024  # limit of the protocol, without the line end
LINE_END = b"\r\n"
PROXY_REQUEST_ID = b"-"  # request id of statements that the proxy itself issues
NO_POSITION = b"-"
NO_DIGEST = b"-"

_TOKEN = re.compile(rb"[\x21-\x7e\x80-\xff]+")
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
_POSITION = re.compile(rb"(\d{1,18})\.(\d{1,18})")
_TERM = re.compile(rb"\d{1,18}")
_OP = statements.Operation
_KIND = retries.ErrorKind
_ERROR = statements.UpstreamError

# The codes RETRY, ABORTED, LAGGING, READONLY, MISROUTED and OVERLOAD guarantee
# that the attempt had no lasting effect. Only errors of statements that have not
# run may be mapped to them.
ERROR_CODES = {
    _KIND.MALFORMED_FRAME: b"MALFORMED",
    _KIND.FRAME_TOO_LARGE: b"TOOLARGE",
    _KIND.STARTUP_TIMEOUT: b"TIMEOUT",
    _KIND.TOO_MANY_CONNECTIONS: b"OVERLOAD",
    _KIND.TLS_REQUIRED: b"DENIED",
    _KIND.AUTHENTICATION_FAILED: b"DENIED",
    _KIND.UNKNOWN_DATABASE: b"NODATABASE",
    _KIND.KEY_WITHDRAWN: b"DENIED",
    _KIND.KEY_WITHDRAWN_IN_FLIGHT: b"INDOUBT",
    _KIND.KEY_MOVED: b"ABORTED",
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
    _KIND.NO_ALLOWED_MEMBER: b"RETRY",
    _KIND.EVACUATED: b"RETRY",
    _KIND.SESSION_BEHIND: b"LAGGING",
    _KIND.UPSTREAM_UNREACHABLE: b"RETRY",
    _KIND.UPSTREAM_LOST: b"INDOUBT",
    _KIND.UPSTREAM_FAILED: b"FAILED",
    _KIND.UPSTREAM_TIMEOUT: b"TIMEOUT",
    _KIND.TRANSACTION_LOST: b"ABORTED",
    _KIND.TRANSACTION_EXPIRED: b"ABORTED",
    _KIND.TRANSACTION_IDLE: b"ABORTED",
    _KIND.TRANSACTION_ABORTED: b"MALFORMED",
    _KIND.INVALID_TRANSACTION_STATE: b"MALFORMED",
    _KIND.ACKNOWLEDGEMENT_LOST: b"INDOUBT",
    _KIND.ANSWER_TOO_LARGE: b"INDOUBT",
    _KIND.IDEMPOTENCY_KEY_REUSED: b"MALFORMED",
    _KIND.IDEMPOTENCY_UNAVAILABLE: b"MALFORMED",
    _KIND.WRITE_DISCARDED: b"ABORTED",
    _KIND.CONFIGURATION_STALE: b"RETRY",
    _KIND.DRAINING: b"RETRY",
    _KIND.DRAINING_IN_FLIGHT: b"INDOUBT",
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
    """Splits a byte stream into lines.

    Raises
    ------
    LineTooLongError
        From `feed`, if a line is longer than `MAX_LINE_BYTES`.
    """

    def __init__(self):
        self.buffer = b""

    def feed(self, data):
        """Return the lines that `data` completes, without their line ends."""
        if self.buffer:
            data = self.buffer + data
        lines = data.split(LINE_END)
        self.buffer = lines.pop()
        for number, line in enumerate(lines):
            if len(line) > MAX_LINE_BYTES:
                raise LineTooLongError(lines[:number])
        if len(self.buffer) > MAX_LINE_BYTES:
            raise LineTooLongError(lines)
        return lines


class LineTooLongError(Exception):
    """A line is longer than `MAX_LINE_BYTES`.

    Parameters
    ----------
    lines : list of bytes
        Lines before it that have been completed at the same time.
    """

    def __init__(self, lines):
        super().__init__("line too long")
        self.lines = lines


class MalformedLineError(Exception):
    """A line is not a valid message of the protocol."""


def is_token(field):
    """Return whether a field is non-empty, without spaces and control characters."""
    return _TOKEN.fullmatch(field) is not None


def decode_position(field):
    """Return the Position written as ``TERM.INDEX``, or None for any other text."""
    match = _POSITION.fullmatch(field)
    if match is None:
        return None
    return sessions.Position(int(match[1]), int(match[2]))


def encode_position(position):
    """Encode a position; None is encoded as `NO_POSITION`."""
    if position is None:
        return NO_POSITION
    return b"%d.%d" % (position.term, position.index)


def decode_status(answer):
    """Decode the answer to a status request.

    Returns
    -------
    tuple of (bool, int, Position) or None
        Whether the member is the primary, the highest term that it knows, and
        the last log position that it has received. None for an error or an
        invalid answer.

    Notes
    -----
    The fields of the row are role, term, received position, term held, lag,
    statements in progress, and connections.
    """
    if answer.error is not None or not answer.rows:
        return None
    fields = answer.rows[0].split(b" ")
    if len(fields) < 3 or not _TERM.fullmatch(fields[1]):
        return None
    position = decode_position(fields[2])
    if position is None:
        return None
    return fields[0] == b"primary", int(fields[1]), position


def decode_statement(line):
    """Decode a caller's statement from ``QUERY id text``.

    Raises
    ------
    MalformedLineError
        If the line is invalid, or is a statement that only the proxy may send.
    """
    keyword, _, rest = line.partition(b" ")
    request_id, _, text = rest.partition(b" ")
    if (
        keyword != b"QUERY"
        or not is_token(request_id)
        or request_id == PROXY_REQUEST_ID
    ):
        raise MalformedLineError
    if _CONTROL.search(text):
        raise MalformedLineError
    verb, _, arguments = text.partition(b" ")
    decoder = _DECODERS.get(verb)
    if decoder is None:
        raise MalformedLineError
    return decoder(request_id, text, arguments)


def _decode_begin(request_id, text, arguments):
    if text == b"BEGIN":
        return statements.Statement(request_id, _OP.BEGIN, text)
    if arguments == b"READ":
        return statements.Statement(request_id, _OP.BEGIN_READ_ONLY, text)
    raise MalformedLineError


def _make_no_argument_decoder(operation):
    def decode(request_id, text, arguments):
        if b" " in text:
            raise MalformedLineError
        return statements.Statement(request_id, operation, text)

    return decode


def _decode_read(request_id, text, arguments):
    if not is_token(arguments):
        raise MalformedLineError
    return statements.Statement(request_id, _OP.READ, text)


def _decode_write(request_id, text, arguments):
    item, separator, _ = arguments.partition(b" ")
    if not is_token(item) or not separator:
        raise MalformedLineError
    return statements.Statement(request_id, _OP.WRITE, text)


def _decode_set(request_id, text, arguments):
    name, separator, value = arguments.partition(b" ")
    if not is_token(name) or not separator:
        raise MalformedLineError
    return statements.Statement(request_id, _OP.SET, text, name, value)


def _decode_prepare(request_id, text, arguments):
    name, _, rest = arguments.partition(b" ")
    mode, _, shape = rest.partition(b" ")
    if not is_token(name) or mode not in (b"READ", b"WRITE") or not shape:
        raise MalformedLineError
    writes = mode == b"WRITE"
    return statements.Statement(request_id, _OP.PREPARE, text, name, shape, writes)


def _decode_execute(request_id, text, arguments):
    name, _, rest = arguments.partition(b" ")
    if not is_token(name) or not rest:
        raise MalformedLineError
    return statements.Statement(request_id, _OP.EXECUTE, text, name, rest)


def _decode_deallocate(request_id, text, arguments):
    if not is_token(arguments):
        raise MalformedLineError
    return statements.Statement(request_id, _OP.DEALLOCATE, text, arguments)


_DECODERS = {
    b"BEGIN": _decode_begin,
    b"COMMIT": _make_no_argument_decoder(_OP.COMMIT),
    b"ROLLBACK": _make_no_argument_decoder(_OP.ROLLBACK),
    b"READ": _decode_read,
    b"WRITE": _decode_write,
    b"SET": _decode_set,
    b"PARSE": _decode_prepare,
    b"EXECUTE": _decode_execute,
    b"CLOSE": _decode_deallocate,
}


def encode_answer(answer, status):
    """Encode a successful answer to a caller's statement.

    `status` is the transaction status of the session.
    """
    lines = [b"DATAROW " + row for row in answer.rows]
    lines.append(b"COMPLETE " + (answer.digest or NO_DIGEST))
    lines.append(b"READY " + status + b" " + encode_position(answer.position))
    lines.append(b"")
    return LINE_END.join(lines)


def encode_failure(failure, status):
    """Encode an error as the answer to a caller's statement.

    `status` is the transaction status of the session.
    """
    return encode_error(failure) + encode_ready(status)


def encode_error(failure):
    """Encode an error without the status that follows an answer."""
    message = retries.ERROR_RESPONSES[failure.kind].message
    if failure.detail:
        message = f"{message}: {failure.detail}"
    if failure.retry_after_s > 0.0:
        message = f"{message}; retry after {failure.retry_after_s * 1000.0:.0f} ms"
    return b"ERROR " + ERROR_CODES[failure.kind] + b" " + message.encode() + LINE_END


def encode_ready(status):
    """Encode the transaction status of a session, without a log position."""
    return b"READY " + status + b" " + NO_POSITION + LINE_END


def encode_start_failure(failure):
    """Encode the refusal of a session."""
    message = retries.ERROR_RESPONSES[failure.kind].message.encode()
    return b"ERROR " + ERROR_CODES[failure.kind] + b" " + message + LINE_END


def encode_settings(current, wanted):
    """Return the lines that apply a session's settings to an upstream connection.

    Parameters
    ----------
    current : dict of bytes to bytes or None
        Settings of the connection; None if they are unknown.
    wanted : dict of bytes to bytes
        Settings of the session.

    Notes
    -----
    The protocol cannot unset a single setting. A connection whose settings are
    unknown, or include one that the session does not have, is therefore reset
    first, which also drops its prepared statements.
    """
    lines = []
    if current is None or any(name not in wanted for name in current):
        lines.append(b"QUERY - DISCARD\r\n")
        current = {}
    for name, value in wanted.items():
        if current.get(name) != value:
            lines.append(b"QUERY - SET %s %s\r\n" % (name, value))
    return lines


def encode_prepare(name, prepared):
    """Encode the preparation of a statement under a name chosen by the proxy."""
    mode = b"WRITE" if prepared.writes else b"READ"
    return b"QUERY - PARSE %s %s %s\r\n" % (name, mode, prepared.shape)


def encode_begin(read_only, after):
    """Encode the start of a transaction on a member.

    `after` is the position that the member's log must have reached, or None.
    """
    text = b"BEGIN READ" if read_only else b"BEGIN"
    return b"QUERY - " + _encode_after(after) + text + LINE_END


def encode_statement(statement, name, after):
    """Encode a caller's statement for a member.

    Parameters
    ----------
    statement : Statement
        The statement; its request id and text are forwarded unchanged.
    name : bytes or None
        Name of the prepared statement on the upstream connection; None if the
        statement is not prepared.
    after : Position or None
        Position that the member's log must have reached.
    """
    text = statement.text
    if name is not None:
        text = b"EXECUTE %s %s" % (name, statement.value)
    return (
        b"QUERY " + statement.request_id + b" " + _encode_after(after) + text + LINE_END
    )


def encode_start(service, account, member):
    """Encode the first line on a connection to a member.

    Notes
    -----
    The line always includes the member's id. Addresses are reused, and a member
    refuses a connection that is meant for another id.
    """
    return f"START {service} {account or '-'} {member}\r\n".encode()


ROLLBACK = b"QUERY - ROLLBACK\r\n"
STATUS = b"QUERY - STATUS\r\n"
RESET = b"QUERY - DISCARD\r\n"
RESUME = b"QUERY - RESUME\r\n"


def encode_pause(term):
    """Encode the request that a replica stop receiving the log."""
    return b"QUERY - PAUSE %d\r\n" % term


def encode_step_down(term):
    """Encode the request that a primary of a lower term become a replica."""
    return b"QUERY - STEPDOWN %d\r\n" % term


def _encode_after(position):
    if position is None:
        return b""
    return b"AFTER " + encode_position(position) + b" "
