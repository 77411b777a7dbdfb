"""Batches of caller frames and their translation for an upstream connection.

A batch is a unit that is answered with one ReadyForQuery: a simple Query, or
the frames of the extended protocol up to Sync. Frames that end with a Flush
also form a batch; the Flush is replaced by a Sync towards the upstream, so that
the end of the answers can be recognised.
"""

import collections
import struct

import attrs
import xxhash

from pomelograde.core import retries, routing
from pomelograde.net import _frames

PARSE = ord("P")
BIND = ord("B")
DESCRIBE = ord("D")
CLOSE = ord("C")
EXECUTE = ord("E")
SYNC = ord("S")
FLUSH = ord("H")
QUERY = ord("Q")
TERMINATE = ord("X")

NO_ROW_LIMIT = b"\0\0\0\0"

EXTENDED_KINDS = frozenset((PARSE, BIND, DESCRIBE, CLOSE, EXECUTE, FLUSH))
_CLASS = routing.StatementClass
_SYNC_FRAME = _frames.frame(b"S")
_PRECEDENCE = {
    _CLASS.EMPTY: 0,
    _CLASS.READ: 1,
    _CLASS.PROXY_SHOW: 2,
    _CLASS.PROXY_SET: 2,
    _CLASS.DISCARD: 2,
    _CLASS.SET: 3,
    _CLASS.BEGIN_READ_ONLY: 4,
    _CLASS.BEGIN: 5,
    _CLASS.ROLLBACK: 6,
    _CLASS.COMMIT: 7,
    _CLASS.WRITE: 8,
    _CLASS.UNSUPPORTED: 9,
}


@attrs.frozen
class PreparedStatement:
    """A statement that a caller has parsed.

    Attributes
    ----------
    upstream_name : bytes
        Name on upstream connections: a hash of text and parameter types, so
        that sessions share it; empty for the unnamed statement.
    tail : bytes
        Rest of the Parse frame after the name: text and parameter types.
    statement : Statement
        Classification of the text.
    """

    upstream_name: bytes
    tail: bytes
    statement: routing.Statement


@attrs.define(eq=False)
class Batch:
    """Frames of a caller that are answered together.

    Attributes
    ----------
    frames : list of (int, bytes)
        Type bytes and frames, in order.
    simple : bool
        Whether the batch is one simple Query.
    statement : Statement
        Merged classification of the batch's statements; the class is the one
        with the highest precedence in `_PRECEDENCE`.
    executes : bool
        Whether a statement is executed, not only parsed or described.
    synced : bool
        Whether the caller is sent ReadyForQuery after the batch; not the case
        for a batch that ends with a Flush.
    keeps_portal : bool
        Whether a portal may be used again after the batch.
    """

    frames: list
    simple: bool
    statement: routing.Statement
    executes: bool = True
    synced: bool = True
    keeps_portal: bool = False

    @property
    def is_empty(self):
        """Whether the batch consists of a Sync alone."""
        return not self.simple and len(self.frames) == 1


@attrs.define(eq=False)
class Translation:
    """Frames to send for a batch on one connection.

    Attributes
    ----------
    data : bytes
        Frames to send.
    forward_parse_complete, forward_close_complete : deque of bool
        For each expected ParseComplete and CloseComplete, whether it answers a
        frame of the caller and is forwarded.
    parsed_names : deque of bytes
        Names of the statements that the caller parses, until each is confirmed.
    upstream_names : list of bytes
        Upstream names of the statements that this batch prepares on the
        connection.
    """

    data: bytes
    forward_parse_complete: collections.deque
    forward_close_complete: collections.deque
    parsed_names: collections.deque
    upstream_names: list


class StatementRegistry:
    """Prepared statements of one session.

    Parameters
    ----------
    classifier : Classifier
        Classifier of statement texts.
    limit : int
        Maximum number of named statements.

    Attributes
    ----------
    statements : dict of bytes to PreparedStatement
        Statements by the caller's name for them.
    """

    def __init__(self, classifier, limit):
        self.classifier = classifier
        self.limit = limit
        self.statements = {}

    def read_simple(self, frame):
        """Return the batch of a simple Query frame."""
        statement = self.classifier.classify(frame[5:-1])
        return Batch([(QUERY, frame)], True, statement)

    def read_extended(self, frames):
        """Return the batch of extended frames that end with Sync or Flush.

        Returns
        -------
        Batch or ErrorKind
            The batch, or the kind of error if a frame is malformed.
        """
        referenced = []
        parsed = []
        try:
            for kind, frame in frames:
                statement = self._read_frame(kind, frame)
                if statement is not None:
                    (parsed if kind == PARSE else referenced).append(statement)
        except (ValueError, IndexError, struct.error):
            return retries.ErrorKind.MALFORMED_FRAME
        kinds = [kind for kind, _ in frames]
        executions = kinds.count(EXECUTE)
        keeps_portal = kinds.count(BIND) > executions or any(
            kind == EXECUTE and frame[-4:] != NO_ROW_LIMIT for kind, frame in frames
        )
        return Batch(
            frames,
            False,
            _merge(referenced or parsed),
            executes=executions > 0,
            synced=kinds[-1] == SYNC,
            keeps_portal=keeps_portal,
        )

    def forget(self, names):
        """Drop statements whose Parse failed."""
        for name in names:
            self.statements.pop(name, None)

    def translate(self, batch, prepared):
        """Rewrite a batch for an upstream connection.

        Parameters
        ----------
        batch : Batch
            Batch of this session.
        prepared : set of bytes
            Upstream names of the statements prepared on the connection.

        Returns
        -------
        Translation
            Frames to send, and which confirmations to withhold from the caller.
        """
        translator = _Translator(self.statements, prepared)
        for kind, frame in batch.frames:
            translator.add(kind, frame)
        if not batch.synced:
            translator.frames[-1] = _SYNC_FRAME
        return translator.finish()

    def _read_frame(self, kind, frame):
        if kind == PARSE:
            return self._read_parse(frame)
        if kind == BIND:
            _, start = _frames.read_cstring(frame, 5)
            name, _ = _frames.read_cstring(frame, start)
        elif kind in (DESCRIBE, CLOSE):
            name, _ = _frames.read_cstring(frame, 6)
            if frame[5:6] != b"S" or kind == CLOSE:
                return None
        else:
            return None
        entry = self.statements.get(name)
        return None if entry is None else entry.statement

    def _read_parse(self, frame):
        name, start = _frames.read_cstring(frame, 5)
        text, _ = _frames.read_cstring(frame, start)
        tail = frame[start:]
        upstream_name = b""
        if name:
            upstream_name = b"p" + xxhash.xxh128_hexdigest(tail).encode("ascii")
            if len(self.statements) >= self.limit and name not in self.statements:
                raise ValueError("too many prepared statements")
        statement = self.classifier.classify(text)
        self.statements[name] = PreparedStatement(upstream_name, tail, statement)
        return statement


class _Translator:
    """Builds a `Translation`."""

    def __init__(self, statements, prepared):
        self.statements = statements
        self.prepared = prepared
        self.frames = []
        self.forward_parse_complete = collections.deque()
        self.forward_close_complete = collections.deque()
        self.parsed_names = collections.deque()
        self.upstream_names = []
        self.unnamed_is_parsed = False

    def add(self, kind, frame):
        """Translate one frame."""
        if kind == PARSE:
            self._add_parse(frame)
        elif kind == BIND:
            self._add_bind(frame)
        elif kind in (DESCRIBE, CLOSE) and frame[5:6] == b"S":
            self._add_by_name(kind, frame)
        else:
            if kind == CLOSE:
                self.forward_close_complete.append(True)
            self.frames.append(frame)

    def finish(self):
        """Return the translation of the frames added."""
        return Translation(
            b"".join(self.frames),
            self.forward_parse_complete,
            self.forward_close_complete,
            self.parsed_names,
            self.upstream_names,
        )

    def _add_parse(self, frame):
        name, _ = _frames.read_cstring(frame, 5)
        entry = self.statements.get(name)
        if entry is None:
            self.frames.append(frame)
            return
        if name:
            self._close(entry.upstream_name)
        else:
            self.unnamed_is_parsed = True
        self._parse(entry, from_caller=True)
        self.parsed_names.append(name)

    def _add_bind(self, frame):
        portal, start = _frames.read_cstring(frame, 5)
        name, rest = _frames.read_cstring(frame, start)
        target = self._ensure(name)
        payload = portal + b"\0" + target + b"\0" + frame[rest:]
        self.frames.append(_frames.frame(b"B", payload))

    def _add_by_name(self, kind, frame):
        name, _ = _frames.read_cstring(frame, 6)
        if kind == CLOSE:
            self.forward_close_complete.append(True)
            entry = self.statements.pop(name, None)
            target = b"" if entry is None else entry.upstream_name
            self.prepared.discard(target)
        else:
            target = self._ensure(name)
        self.frames.append(_frames.frame(bytes((kind,)), b"S" + target + b"\0"))

    def _ensure(self, name):
        """Return the upstream name; prepare the statement where it is missing."""
        entry = self.statements.get(name)
        if entry is None:
            return name
        if not name:
            if not self.unnamed_is_parsed:
                self.unnamed_is_parsed = True
                self._parse(entry, from_caller=False)
        elif entry.upstream_name not in self.prepared:
            self._close(entry.upstream_name)
            self._parse(entry, from_caller=False)
        return entry.upstream_name

    def _close(self, upstream_name):
        """Close a name before its Parse, which is an error for an existing name."""
        self.frames.append(_frames.frame(b"C", b"S" + upstream_name + b"\0"))
        self.forward_close_complete.append(False)

    def _parse(self, entry, from_caller):
        """Parse a statement; the confirmation is forwarded if `from_caller`."""
        payload = entry.upstream_name + b"\0" + entry.tail
        self.frames.append(_frames.frame(b"P", payload))
        self.forward_parse_complete.append(from_caller)
        if entry.upstream_name:
            self.prepared.add(entry.upstream_name)
            self.upstream_names.append(entry.upstream_name)


def _merge(statements):
    """Return one classification for the statements of a batch."""
    highest = routing.Statement(_CLASS.EMPTY)
    for statement in statements:
        if (
            _PRECEDENCE[statement.statement_class]
            > _PRECEDENCE[highest.statement_class]
        ):
            highest = statement
    if len(statements) < 2 or all(statement is highest for statement in statements):
        return highest
    merged = routing.merge_statements(statements)
    if merged.statement_class is _CLASS.UNSUPPORTED:
        return merged
    return attrs.evolve(merged, statement_class=highest.statement_class)
