"""Execution of writes that carry an idempotency key."""

import time

from pomelograde.core import retries
from pomelograde.net import _answers, _batches, _frames, exchanges

_PARSE_COMPLETE = ord("1")
_BIND_COMPLETE = ord("2")
_CLOSE_COMPLETE = ord("3")
_PARAMETERS = ord("t")
_ROW_DESCRIPTION = ord("T")
_NO_DATA = ord("n")
_CONFIRMATIONS = (_PARSE_COMPLETE, _BIND_COMPLETE, _CLOSE_COMPLETE)
_DESCRIPTIONS = (_PARAMETERS, _ROW_DESCRIPTION, _NO_DATA)

_PARSED = _frames.frame(b"1")
_BOUND = _frames.frame(b"2")
_CLOSED = _frames.frame(b"3")
_NO_PARAMETERS = _frames.frame(b"t", b"\0\0")
_NOTHING = _frames.frame(b"n")


class IdempotentExchange(exchanges.Exchange):
    """Executes a write whose idempotency key and answer are stored upstream.

    Parameters
    ----------
    session : Session
        Session of the caller.
    batch : Batch
        Batch to execute.
    deadline : float
        Deadline of the statement, in monotonic seconds.

    Attributes
    ----------
    created : bool
        Whether this attempt has created the table of keys.
    key : Key
        The idempotency key with the fingerprint of the statement.

    Notes
    -----
    Claiming the key, the write itself and storing its answer happen in one
    transaction. An attempt that finds the key taken returns the stored answer
    instead. A claim blocks on a transaction that has inserted the same key, so
    a retry that races the first attempt waits until that one has ended.
    """

    __slots__ = ("created", "key")

    def __init__(self, session, batch, deadline):
        super().__init__(session, batch, deadline)
        self.on_primary = True
        self.idempotent = True
        self.holds_whole_answer = True
        self.created = False
        self.key = retries.Key(
            session.account,
            session.proxy_settings.idempotency_key,
            retries.fingerprint(_fingerprint_input(session.statement_registry, batch)),
        )

    def on_answer_end(self, handler):
        """Store the answer, or roll back after an error."""
        if handler.refused:
            self._retry_write("refused_by_primary")
        elif handler.failed:
            self._run_internal("ROLLBACK", self._on_rolled_back)
        else:
            answer = b"".join(handler.buffered_frames)
            self._run_internal(retries.store_sql(self.key, answer), self._on_stored)

    def _send_statement(self):
        self.phase = retries.Phase.SENT
        self.writing = True
        self.position_before = None
        context = self.session.context
        delete_expired = context.random.random() < retries.CLEANUP_PROBABILITY
        sql = retries.claim_sql(self.key, int(time.time()), delete_expired)
        self._run_internal(sql, self._on_claim)

    def _run_internal(self, sql, on_done):
        handler = _answers.InternalQueryHandler(self, self.connection, on_done)
        self.connection.send(handler, _frames.query(sql))

    def _on_claim(self, handler):
        sqlstate = None if handler.error is None else handler.error.get("C", "")
        claim = retries.classify_claim(handler.tags, sqlstate)
        if claim is retries.Claim.CLAIMED:
            self._send_caller_statement()
        elif claim is retries.Claim.TAKEN:
            self._run_internal(retries.lookup_sql(self.key), self._on_found)
        elif claim is retries.Claim.RETRY:
            self._retry_write("idempotency_claim")
        elif claim is retries.Claim.NO_TABLE and not self.created:
            self.created = True
            self._run_internal("ROLLBACK", self._create_table)
        else:
            self._refuse(handler)

    def _create_table(self, handler):
        self._run_internal(retries.CREATE_TABLE_SQL, lambda _: self._send_statement())

    def _send_caller_statement(self):
        batch = self.batch
        connection = self.connection
        translation = None
        data = batch.frames[0][1]
        if not batch.simple:
            translation = self.session.statement_registry.translate(
                batch, connection.prepared
            )
            data = translation.data
        self.answer_handler = _answers.AnswerHandler(
            self,
            connection,
            translation,
            _answers.ForwardingMode.OPEN,
            hold_until_ack=True,
        )
        connection.send(self.answer_handler, data)

    def _on_rolled_back(self, handler):
        self.status = handler.status
        self.answer_handler.hold_until_ack = False
        self._finish()

    def _on_stored(self, handler):
        if handler.error is not None:
            claim = retries.classify_claim([], handler.error.get("C", ""))
            if claim is retries.Claim.RETRY:
                self._retry_write("idempotency_claim")
            else:
                self._refuse(handler)
            return
        self.status = handler.status
        self.session.on_answered(
            self.batch.statement, self.connection, False, self.status
        )
        self._query_position()

    def _on_found(self, handler):
        if handler.error is not None:
            self._refuse(handler)
            return
        if handler.row is None or handler.row[1] is None:
            self._retry_write("idempotency_claim")
            return
        statement, answer = handler.row
        if statement.decode("ascii") != self.key.statement:
            kind = retries.ErrorKind.IDEMPOTENCY_KEY_REUSED
            self._fail(retries.Failure(kind))
            return
        self._count_retry("idempotency_replay")
        self.status = handler.status
        self.answer_handler = _answers.AnswerHandler(
            self,
            self.connection,
            None,
            _answers.ForwardingMode.OPEN,
            hold_until_ack=True,
        )
        self.answer_handler.completed = True
        self.answer_handler.buffered_frames = _replay(
            self.batch, bytes.fromhex(answer.decode("ascii"))
        )
        self._query_position()

    def _retry_write(self, reason):
        connection = self._detach()
        connection.close()
        self._count_retry(reason)
        self._restart(exchanges.PRIMARY_RETRY_INTERVAL_S)

    def _restart(self, delay_s=0.0):
        # The table can be lost together with the primary that created it.
        self.created = False
        super()._restart(delay_s)

    def _refuse(self, handler):
        kind = retries.ErrorKind.IDEMPOTENCY_UNAVAILABLE
        detail = "" if handler.error is None else handler.error.get("M", "")
        self._fail(retries.Failure(kind, detail))

    def _finish(self):
        settings = self.session.proxy_settings
        if not self.answer_handler.failed and settings.idempotency_key == self.key.key:
            settings.idempotency_key = ""
        super()._finish()


def _fingerprint_input(statement_registry, batch):
    """Return texts and parameters without portal and statement names."""
    if batch.simple:
        return [batch.frames[0][1][5:]]
    pieces = []
    for kind, frame in batch.frames:
        if kind == _batches.BIND:
            _, start = _frames.read_cstring(frame, 5)
            name, rest = _frames.read_cstring(frame, start)
            entry = statement_registry.statements.get(name)
            pieces.append(b"" if entry is None else entry.tail)
            pieces.append(frame[rest:])
    return pieces


def _replay(batch, answer):
    """Return the frames that answer a batch with the stored answer."""
    frames = _frames.FrameReader(len(answer) + 1).feed(answer)
    if batch.simple:
        return [frame for _, frame in frames]
    row_descriptions = [frame for kind, frame in frames if kind == _ROW_DESCRIPTION]
    parameters = [frame for kind, frame in frames if kind == _PARAMETERS]
    execution_frames = [
        frame
        for kind, frame in frames
        if kind not in _CONFIRMATIONS and kind not in _DESCRIPTIONS
    ]
    answer_frames = []
    for kind, frame in batch.frames:
        if kind == _batches.PARSE:
            answer_frames.append(_PARSED)
        elif kind == _batches.BIND:
            answer_frames.append(_BOUND)
        elif kind == _batches.CLOSE:
            answer_frames.append(_CLOSED)
        elif kind == _batches.DESCRIBE:
            if frame[5:6] == b"S":
                answer_frames.append(
                    parameters.pop(0) if parameters else _NO_PARAMETERS
                )
            answer_frames.append(
                row_descriptions.pop(0) if row_descriptions else _NOTHING
            )
        elif kind == _batches.EXECUTE:
            answer_frames.extend(_take_execution(execution_frames))
    return answer_frames


def _take_execution(execution_frames):
    """Remove and return the frames of the first execution."""
    for number, frame in enumerate(execution_frames, start=1):
        if frame[:1] in (b"C", b"I", b"s"):
            taken = execution_frames[:number]
            del execution_frames[:number]
            return taken
    return []
