"""Parts of an exchange: what is done with the frames of an upstream's answers."""

import enum

from pomelograde.net import _batches, _frames, upstream

FLUSH_BYTES = 32_768
HELD_BYTES = 4_194_304  # most that is kept back until an acknowledgement
READ_ONLY_SQLSTATE = "25006"

_COMMAND_COMPLETE = ord("C")
_ERROR = ord("E")
_PARSE_COMPLETE = ord("1")
_CLOSE_COMPLETE = ord("3")
_EMPTY_RESPONSE = ord("I")


class Gate(enum.Enum):
    """What happens to the frames of an answer."""

    WAITING = "waiting"
    OPEN = "open"
    DISCARDING = "discarding"


class PositionCheckHandler:
    """Reads the position of a member ahead of a statement.

    Parameters
    ----------
    exchange : Exchange
        Told by `on_checked`.
    connection : UpstreamConnection
        Where the part is sent.
    """

    __slots__ = ("connection", "exchange", "position")

    def __init__(self, exchange, connection):
        self.exchange = exchange
        self.connection = connection
        self.position = None

    def on_frame(self, kind, frame):
        """Keep the position."""
        if kind == upstream.DATA_ROW:
            self.position = upstream.read_position(_frames.read_row(frame))

    def on_ready(self, status):
        """Tell the exchange."""
        if self.connection is self.exchange.connection:
            self.exchange.on_checked(self.position)

    def on_lost(self):
        """Tell the exchange that the connection is gone."""
        self.exchange.on_lost(self.connection)


class PositionHandler(PositionCheckHandler):
    """Reads the position of the primary after a write."""

    __slots__ = ()

    def on_ready(self, status):
        """Tell the exchange."""
        if self.connection is self.exchange.connection:
            self.exchange.on_position(self.position)


class InternalQueryHandler(PositionCheckHandler):
    """Runs statements of the proxy's own, such as a session's settings.

    Parameters
    ----------
    exchange : Exchange
        Told through `on_done`.
    connection : UpstreamConnection
        Where the part is sent.
    on_done : callable
        Called with this part once it is answered.

    Attributes
    ----------
    error : dict or None
        Fields of the first error.
    tags : list of bytes
        Command tags.
    row : list of bytes or None
        The last row.
    status : bytes
        Transaction status after it.
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
        """Keep what the proxy needs to know."""
        if kind == upstream.DATA_ROW:
            self.row = _frames.read_row(frame)
        elif kind == _COMMAND_COMPLETE:
            self.tags.append(frame[5:-1])
        elif kind == _ERROR and self.error is None:
            self.error = _frames.read_error(frame)

    def on_ready(self, status):
        """Tell the exchange."""
        self.status = status
        if self.connection is self.exchange.connection:
            self.on_done(self)


class AnswerHandler:
    """Passes an upstream's answer on to the caller.

    Parameters
    ----------
    exchange : Exchange
        Told by `on_answer_end`.
    connection : UpstreamConnection
        Where the part is sent.
    translation : Translation or None
        Which answers are not for the caller.
    gate : Gate
        What happens to the frames.
    hold : bool
        Whether the answer waits for an acknowledgement.

    Attributes
    ----------
    failed : bool
        Whether there was an error.
    completed : bool
        Whether a command was completed.
    refused : bool
        Whether the member refused to write.
    """

    __slots__ = (
        "completed",
        "connection",
        "exchange",
        "failed",
        "gate",
        "hold",
        "holding",
        "out",
        "out_bytes",
        "refused",
        "translation",
    )

    def __init__(self, exchange, connection, translation, gate, hold):
        self.exchange = exchange
        self.connection = connection
        self.translation = translation
        self.gate = gate
        self.hold = hold
        self.holding = False
        self.failed = False
        self.completed = False
        self.refused = False
        self.out = []
        self.out_bytes = 0

    def on_frame(self, kind, frame):
        """Pass a frame on, keep it or drop it."""
        if self.gate is Gate.DISCARDING or self.connection is not (
            self.exchange.connection
        ):
            return
        if kind == _ERROR:
            self._on_error(frame)
            if self.gate is Gate.DISCARDING:
                return
        elif self.translation is not None and self._is_internal(kind):
            return
        if kind in (_COMMAND_COMPLETE, _EMPTY_RESPONSE):
            self.completed = True
            self.holding = self.hold
        self.out.append(frame)
        self.out_bytes += len(frame)
        if self.out_bytes > FLUSH_BYTES:
            self._on_many()

    def on_ready(self, status):
        """Tell the exchange."""
        exchange = self.exchange
        if self.connection is not exchange.connection:
            return
        exchange.status = status
        exchange.on_answer_end(self)

    def on_lost(self):
        """Tell the exchange that the connection is gone."""
        self.exchange.on_lost(self.connection)

    def take(self):
        """Return the frames that the caller has not been sent."""
        out, self.out = self.out, []
        self.out_bytes = 0
        return out

    def _on_many(self):
        if not self.holding and not self.exchange.holds_all:
            self.exchange.answered = True
            self.exchange.session.write(b"".join(self.take()))
        elif self.out_bytes > HELD_BYTES:
            self.exchange.on_too_large()

    def _is_internal(self, kind):
        translation = self.translation
        if kind == _PARSE_COMPLETE and translation.keep_parsed:
            keep = translation.keep_parsed.popleft()
            if keep and translation.parsed_names:
                translation.parsed_names.popleft()
            return not keep
        if kind == _CLOSE_COMPLETE and translation.keep_closed:
            return not translation.keep_closed.popleft()
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
                self.gate = Gate.DISCARDING


def answer_locally(session, batch, columns, row, tag):
    """Answer a batch without an upstream.

    Parameters
    ----------
    session : Session
        Session of the caller.
    batch : Batch
        What the caller sent.
    columns : list of str
        Names of the result's text columns; empty for no result.
    row : list of bytes
        The one row of the result.
    tag : str
        Command tag.
    """
    description = _frames.row_description([(name, 25, -1) for name in columns])
    result_frames = _frames.data_row(row) if columns else b""
    if batch.simple:
        out = description if columns else b""
        out += result_frames + _frames.command_complete(tag)
        session.write(out + _frames.ready_for_query(session.status))
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
