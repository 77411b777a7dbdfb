"""Response handlers of an exchange, which process the frames of upstream answers."""

import enum

from pomelograde.net import _batches, _frames, upstream

FLUSH_BYTES = 32_768
MAX_HELD_BYTES = 4_194_304  # limit of an answer that waits for an acknowledgement
READ_ONLY_SQLSTATE = "25006"

_COMMAND_COMPLETE = ord("C")
_ERROR = ord("E")
_PARSE_COMPLETE = ord("1")
_CLOSE_COMPLETE = ord("3")
_EMPTY_RESPONSE = ord("I")


class ForwardingMode(enum.Enum):
    """How the frames of an answer are treated.

    Attributes
    ----------
    WAITING
        The check of the member's position has not been answered yet.
    OPEN
        Frames are forwarded to the caller.
    DISCARDING
        Frames are discarded; the statement is sent to another member.
    """

    WAITING = "waiting"
    OPEN = "open"
    DISCARDING = "discarding"


class PositionCheckHandler:
    """Reads the position of a member before a statement runs on it.

    Parameters
    ----------
    exchange : Exchange
        Notified through `on_position_checked`.
    connection : UpstreamConnection
        Connection on which the query is sent.
    """

    __slots__ = ("connection", "exchange", "position")

    def __init__(self, exchange, connection):
        self.exchange = exchange
        self.connection = connection
        self.position = None

    def on_frame(self, kind, frame):
        """Store the reported position."""
        if kind == upstream.DATA_ROW:
            self.position = upstream.read_position(_frames.read_row(frame))

    def on_ready(self, status):
        """Notify the exchange that the answer is complete."""
        if self.connection is self.exchange.connection:
            self.exchange.on_position_checked(self.position)

    def on_lost(self):
        """Notify the exchange that the connection was lost."""
        self.exchange.on_lost(self.connection)


class PositionHandler(PositionCheckHandler):
    """Reads the position of the primary after a write."""

    __slots__ = ()

    def on_ready(self, status):
        """Notify the exchange that the answer is complete."""
        if self.connection is self.exchange.connection:
            self.exchange.on_position(self.position)


class InternalQueryHandler(PositionCheckHandler):
    """Handles statements that the proxy itself issues, such as session settings.

    Parameters
    ----------
    exchange : Exchange
        Exchange that the statements belong to.
    connection : UpstreamConnection
        Connection on which the statements are sent.
    on_done : callable
        Called with this handler once the answer is complete.

    Attributes
    ----------
    error : dict or None
        Fields of the first error.
    tags : list of bytes
        Command tags received.
    row : list of bytes or None
        The last row.
    status : bytes
        Transaction status after the statements.
    """

    __slots__ = ("error", "on_done", "row", "status", "tags")

    def __init__(self, exchange, connection, on_done):
        super().__init__(exchange, connection)
        self.on_done = on_done
        self.error = None
        self.tags = []
        self.row = None
        self.status = b"I"

    def on_frame(self, kind, frame):
        """Store the last row, the command tags and the first error."""
        if kind == upstream.DATA_ROW:
            self.row = _frames.read_row(frame)
        elif kind == _COMMAND_COMPLETE:
            self.tags.append(frame[5:-1])
        elif kind == _ERROR and self.error is None:
            self.error = _frames.read_error(frame)

    def on_ready(self, status):
        """Notify the exchange that the answer is complete."""
        self.status = status
        if self.connection is self.exchange.connection:
            self.on_done(self)


class AnswerHandler:
    """Forwards an upstream's answer to the caller.

    Parameters
    ----------
    exchange : Exchange
        Notified through `on_answer_end`.
    connection : UpstreamConnection
        Connection on which the statement is sent.
    translation : Translation or None
        Tells which confirmations are withheld from the caller.
    forwarding : ForwardingMode
        How frames are treated.
    hold_until_ack : bool
        Whether CommandComplete and what follows is held until the write is
        acknowledged.

    Attributes
    ----------
    is_holding : bool
        Whether CommandComplete has arrived and is being held.
    failed : bool
        Whether an error was received.
    completed : bool
        Whether a command was completed.
    refused : bool
        Whether the member refused to write because it is read-only.
    buffered_frames : list of bytes
        Frames that have not been sent to the caller.
    buffered_bytes : int
        Total size of `buffered_frames`.
    """

    __slots__ = (
        "completed",
        "connection",
        "exchange",
        "failed",
        "forwarding",
        "hold_until_ack",
        "is_holding",
        "buffered_frames",
        "buffered_bytes",
        "refused",
        "translation",
    )

    def __init__(self, exchange, connection, translation, forwarding, hold_until_ack):
        self.exchange = exchange
        self.connection = connection
        self.translation = translation
        self.forwarding = forwarding
        self.hold_until_ack = hold_until_ack
        self.is_holding = False
        self.failed = False
        self.completed = False
        self.refused = False
        self.buffered_frames = []
        self.buffered_bytes = 0

    def on_frame(self, kind, frame):
        """Buffer, forward or discard a frame."""
        if self.forwarding is ForwardingMode.DISCARDING or self.connection is not (
            self.exchange.connection
        ):
            return
        if kind == _ERROR:
            self._on_error(frame)
            if self.forwarding is ForwardingMode.DISCARDING:
                return
        elif self.translation is not None and self._is_internal(kind):
            return
        if kind in (_COMMAND_COMPLETE, _EMPTY_RESPONSE):
            self.completed = True
            self.is_holding = self.hold_until_ack
        self.buffered_frames.append(frame)
        self.buffered_bytes += len(frame)
        if self.buffered_bytes > FLUSH_BYTES:
            self._flush_or_limit()

    def on_ready(self, status):
        """Notify the exchange that the answer is complete."""
        exchange = self.exchange
        if self.connection is not exchange.connection:
            return
        exchange.status = status
        exchange.on_answer_end(self)

    def on_lost(self):
        """Notify the exchange that the connection was lost."""
        self.exchange.on_lost(self.connection)

    def take_frames(self):
        """Remove and return the frames that have not been sent to the caller."""
        frames, self.buffered_frames = self.buffered_frames, []
        self.buffered_bytes = 0
        return frames

    def _flush_or_limit(self):
        if not self.is_holding and not self.exchange.holds_whole_answer:
            self.exchange.answered = True
            self.exchange.session.write(b"".join(self.take_frames()))
        elif self.buffered_bytes > MAX_HELD_BYTES:
            self.exchange.on_answer_too_large()

    def _is_internal(self, kind):
        translation = self.translation
        if kind == _PARSE_COMPLETE and translation.forward_parse_complete:
            keep = translation.forward_parse_complete.popleft()
            if keep and translation.parsed_names:
                translation.parsed_names.popleft()
            return not keep
        if kind == _CLOSE_COMPLETE and translation.forward_close_complete:
            return not translation.forward_close_complete.popleft()
        return False

    def _on_error(self, frame):
        exchange = self.exchange
        self.failed = True
        if self.translation is not None:
            exchange.session.statement_registry.forget(self.translation.parsed_names)
            for name in self.translation.upstream_names:
                self.connection.prepared.discard(name)
        if exchange.was_in_transaction or exchange.answered:
            return
        if _frames.read_error(frame).get("C") == READ_ONLY_SQLSTATE:
            self.refused = True
            if exchange.role == "replica" and exchange.reading:
                self.forwarding = ForwardingMode.DISCARDING


def answer_locally(session, batch, columns, row, tag):
    """Answer a batch without an upstream.

    Parameters
    ----------
    session : Session
        Session of the caller.
    batch : Batch
        Batch to answer.
    columns : list of str
        Names of the result's text columns; empty for a command without result.
    row : list of bytes
        The single row of the result.
    tag : str
        Command tag.
    """
    description = _frames.row_description([(name, 25, -1) for name in columns])
    result_frames = _frames.data_row(row) if columns else b""
    if batch.simple:
        answer = description if columns else b""
        answer += result_frames + _frames.command_complete(tag)
        session.write(answer + _frames.ready_for_query(session.status))
        return
    answers = {
        _batches.PARSE: _frames.frame(b"1"),
        _batches.BIND: _frames.frame(b"2"),
        _batches.CLOSE: _frames.frame(b"3"),
        _batches.EXECUTE: result_frames + _frames.command_complete(tag),
        _batches.SYNC: _frames.ready_for_query(session.status),
    }
    out = b""
    for kind, frame in batch.frames:
        if kind == _batches.DESCRIBE:
            if frame[5:6] == b"S":
                out += _frames.frame(b"t", b"\0\0")
            out += description if columns else _frames.frame(b"n")
        else:
            out += answers.get(kind, b"")
    session.write(out)
