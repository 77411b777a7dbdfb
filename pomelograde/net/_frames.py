"""Encoding and decoding of PostgreSQL protocol messages, version 3.

References
----------
PostgreSQL documentation, "Frontend/Backend Protocol".
"""

import struct

import construct
import result

from pomelograde.core import retries

HEADER = struct.Struct(">BI")
LENGTH = struct.Struct(">I")
MIN_LENGTH = 4
MAX_STARTUP_BYTES = 10_000
MAX_FRAME_BYTES = 16 * 1024 * 1024

PROTOCOL_VERSION = 196608
CANCEL_CODE = 80877102
TLS_CODE = 80877103
GSS_CODE = 80877104
SASL_MECHANISM = "SCRAM-SHA-256"

STARTUP = construct.Struct(
    "code" / construct.Int32ub,
    "parameters"
    / construct.GreedyRange(
        construct.Struct(
            "name" / construct.CString("utf8"), "value" / construct.CString("utf8")
        )
    ),
)
CANCEL = construct.Struct(
    "code" / construct.Int32ub,
    "process_id" / construct.Int32ub,
    "secret" / construct.Int32ub,
)
SASL_INITIAL = construct.Struct(
    "mechanism" / construct.CString("utf8"),
    "response" / construct.Prefixed(construct.Int32sb, construct.GreedyBytes),
)
ERROR_FIELDS = construct.GreedyRange(
    construct.Struct("code" / construct.Bytes(1), "value" / construct.CString("utf8"))
)
COLUMN = struct.Struct(">IhIhih")


class FrameReader:
    """Splits a byte stream into frames.

    Parameters
    ----------
    max_frame_bytes : int
        Maximum length of a frame, without its type byte.

    Attributes
    ----------
    failure : ErrorKind or None
        Protocol error found in the stream; nothing is read after an error.
    """

    def __init__(self, max_frame_bytes=MAX_FRAME_BYTES):
        self.max_frame_bytes = max_frame_bytes
        self.buffer = b""
        self.failure = None

    def feed(self, data):
        """Add received bytes and return the frames that are complete.

        Parameters
        ----------
        data : bytes
            Bytes read from the socket.

        Returns
        -------
        list of (int, bytes)
            Type byte and complete frame including its header, in order.
        """
        if self.failure is not None:
            return []
        if not self.buffer and len(data) >= 5:
            kind, length = HEADER.unpack_from(data)
            if MIN_LENGTH <= length == len(data) - 1 <= self.max_frame_bytes:
                return [(kind, data)]
        buffer = self.buffer + data if self.buffer else data
        frames = []
        start = 0
        end = len(buffer)
        unpack = HEADER.unpack_from
        while end - start >= 5:
            kind, length = unpack(buffer, start)
            if length < MIN_LENGTH:
                self.failure = retries.ErrorKind.MALFORMED_FRAME
                break
            if length > self.max_frame_bytes:
                self.failure = retries.ErrorKind.FRAME_TOO_LARGE
                break
            stop = start + 1 + length
            if stop > end:
                break
            frames.append((kind, buffer[start:stop]))
            start = stop
        self.buffer = b"" if self.failure is not None else buffer[start:]
        return frames


def frame(kind, payload=b""):
    """Return a complete frame.

    Parameters
    ----------
    kind : bytes
        Type byte.
    payload : bytes
        Content after the header.
    """
    return kind + LENGTH.pack(len(payload) + 4) + payload


def cstring(text):
    """Return a null-terminated string."""
    return text.encode("utf-8") + b"\0"


def read_cstring(data, start):
    """Return the bytes of a null-terminated string and the index after it.

    Raises
    ------
    ValueError
        If the terminator is missing.
    """
    stop = data.index(b"\0", start)
    return data[start:stop], stop + 1


def error_response(failure):
    """Return the ErrorResponse frame of a `Failure`."""
    answer = retries.ERROR_RESPONSES[failure.kind]
    message = answer.message
    if failure.detail:
        message = f"{message}: {failure.detail}"
    hint = answer.hint
    retry_after_s = failure.retry_after_s or answer.retry_after_s
    if retry_after_s > 0.0:
        hint = f"Retry after {retry_after_s:.3f} s."
    severity = "FATAL" if answer.fatal else "ERROR"
    fields = [
        ("S", severity),
        ("V", severity),
        ("C", answer.sqlstate),
        ("M", message),
        ("D", answer.execution.value),
    ]
    if hint:
        fields.append(("H", hint))
    return error_frame(fields)


def error_frame(fields):
    """Return an ErrorResponse frame from pairs of field code and text."""
    payload = b"".join(code.encode("ascii") + cstring(text) for code, text in fields)
    return frame(b"E", payload + b"\0")


def read_error(data):
    """Return the fields of an ErrorResponse frame by field code."""
    fields = ERROR_FIELDS.parse(data[5:])
    return {field.code.decode("ascii"): field.value for field in fields}


def parameter_status(name, value):
    """Return a ParameterStatus frame."""
    return frame(b"S", cstring(name) + cstring(value))


def ready_for_query(status=b"I"):
    """Return a ReadyForQuery frame."""
    return frame(b"Z", status)


def command_complete(tag):
    """Return a CommandComplete frame."""
    return frame(b"C", cstring(tag))


def query(sql):
    """Return a simple Query frame."""
    return frame(b"Q", cstring(sql))


def row_description(columns):
    """Return a RowDescription frame of columns in text format.

    Parameters
    ----------
    columns : list of (str, int, int)
        Name, type oid and type size of each column.
    """
    parts = [struct.pack(">H", len(columns))]
    for name, oid, size in columns:
        parts.append(cstring(name) + COLUMN.pack(0, 0, oid, size, -1, 0))
    return frame(b"T", b"".join(parts))


def data_row(values):
    """Return a DataRow frame.

    Parameters
    ----------
    values : list of bytes or None
        Column values; None for NULL.
    """
    parts = [struct.pack(">H", len(values))]
    for value in values:
        if value is None:
            parts.append(b"\xff\xff\xff\xff")
        else:
            parts.append(LENGTH.pack(len(value)) + value)
    return frame(b"D", b"".join(parts))


def read_row(data):
    """Return the values of a DataRow frame."""
    (count,) = struct.unpack_from(">H", data, 5)
    values = []
    start = 7
    for _ in range(count):
        (length,) = struct.unpack_from(">i", data, start)
        start += 4
        if length < 0:
            values.append(None)
            continue
        values.append(data[start : start + length])
        start += length
    return values


def startup(parameters):
    """Return a StartupMessage.

    Parameters
    ----------
    parameters : dict of str to str
        Parameters of the connection.
    """
    body = LENGTH.pack(PROTOCOL_VERSION)
    for name, value in parameters.items():
        body += cstring(name) + cstring(value)
    body += b"\0"
    return LENGTH.pack(len(body) + 4) + body


def cancel_request(process_id, secret):
    """Return a CancelRequest message."""
    return struct.pack(">IIII", 16, CANCEL_CODE, process_id, secret)


def read_startup(payload):
    """Parse the payload of a start-up message.

    Parameters
    ----------
    payload : bytes
        Message without its length field.

    Returns
    -------
    Result of dict of str to str or ErrorKind
        The start-up parameters.
    """
    try:
        message = STARTUP.parse(payload)
    except (construct.ConstructError, UnicodeDecodeError):
        return result.Err(retries.ErrorKind.MALFORMED_FRAME)
    if message.code >> 16 != PROTOCOL_VERSION >> 16:
        return result.Err(retries.ErrorKind.MALFORMED_FRAME)
    return result.Ok({entry.name: entry.value for entry in message.parameters})


def read_sasl_initial(payload):
    """Return the SCRAM message in the payload of a SASLInitialResponse.

    Raises
    ------
    ValueError
        If the response is malformed or names another mechanism.
    """
    try:
        message = SASL_INITIAL.parse(payload)
    except construct.ConstructError as error:
        raise ValueError("malformed SASL response") from error
    if message.mechanism != SASL_MECHANISM:
        raise ValueError("unknown SASL mechanism")
    return message.response.decode("utf-8")
