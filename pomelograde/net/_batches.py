"""Batches of caller frames and their translation for an upstream connection.

A batch is what ends with one ReadyForQuery: a simple Query, or the frames of
the extended protocol up to Sync. What a Flush ends is a batch too, to which a
Sync is added upstream, so that its answers have a known end.
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

UNLIMITED = b"\0\0\0\0"

EXTENDED_KINDS = frozenset((PARSE, BIND, DESCRIBE, CLOSE, EXECUTE, FLUSH))
_CLASS = routing.StatementClass
_SYNC_FRAME = _frames.frame(b"S")
_RANK = {
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
        Name on upstream connections: a hash of text and types, so that
        sessions share it; empty for the unnamed statement.
    tail : bytes
        Rest of the Parse frame after the name: text and parameter types.
    statement : Statement
        Class of the text.
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
        Whether it is one simple Query.
    statement : Statement
        The most demanding of its statements.
    executes : bool
        Whether a statement is run, and not just parsed or described.
    synced : bool
        Whether it ends with ReadyForQuery; one that a Flush ended does not.
    keeps_portal : bool
        Whether a portal may be needed after it.
    """

    frames: list
    simple: bool
    statement: routing.Statement
    executes: bool = True
    synced: bool = True
    keeps_portal: bool = False

    @property
    def is_empty(self):
        """Whether it is a Sync alone."""
        return not self.simple and len(self.frames) == 1


@attrs.define(eq=False)
class Translation:
    """What is sent for a batch on one connection.

    Attributes
    ----------
    data : bytes
        Frames to send.
    keep_parsed, keep_closed : deque of bool
        For each ParseComplete and CloseComplete to come, whether it is
        the caller's.
    parsed_names : deque of bytes
        Names of the caller's own statements among the Parse frames.
    upstream_names : list of bytes
        Statements that are prepared on the connection by this batch.
    """

    data: bytes
    keep_parsed: collections.deque
    keep_closed: collections.deque
    parsed_names: collections.deque
    upstream_names: list


class StatementRegistry:
    """Prepared statements of one session.

    Parameters
    ----------
    classifier : Classifier
        Statement classes.
    limit : int
        Most named statements.
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
            A fault if a frame is malformed.
        """
        found = []
        parsed = []
        try:
            for kind, frame in frames:
                statement = self._read_frame(kind, frame)
                if statement is not None:
                    (parsed if kind == PARSE else found).append(statement)
        except (ValueError, IndexError, struct.error):
            return retries.ErrorKind.MALFORMED_FRAME
        kinds = [kind for kind, _ in frames]
        executions = kinds.count(EXECUTE)
        keeps_portal = kinds.count(BIND) > executions or any(
            kind == EXECUTE and frame[-4:] != UNLIMITED for kind, frame in frames
        )
        return Batch(
            frames,
            False,
            _merge(found or parsed),
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
            Statements that are prepared on the connection.

        Returns
        -------
        Translation
            What to send, and which answers are not for the caller.
        """
        translator = _Translator(self.statements, prepared)
        for kind, frame in batch.frames:
            translator.add(kind, frame)
        if not batch.synced:
            translator.out[-1] = _SYNC_FRAME
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
        known = self.statements.get(name)
        return None if known is None else known.statement

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
        self.out = []
        self.keep_parsed = collections.deque()
        self.keep_closed = collections.deque()
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
                self.keep_closed.append(True)
            self.out.append(frame)

    def finish(self):
        """Return what was built."""
        return Translation(
            b"".join(self.out),
            self.keep_parsed,
            self.keep_closed,
            self.parsed_names,
            self.upstream_names,
        )

    def _add_parse(self, frame):
        name, _ = _frames.read_cstring(frame, 5)
        known = self.statements.get(name)
        if known is None:
            self.out.append(frame)
            return
        if name:
            self._close(known.upstream_name)
        else:
            self.unnamed_is_parsed = True
        self._parse(known, is_callers=True)
        self.parsed_names.append(name)

    def _add_bind(self, frame):
        portal, start = _frames.read_cstring(frame, 5)
        name, rest = _frames.read_cstring(frame, start)
        target = self._ensure(name)
        payload = portal + b"\0" + target + b"\0" + frame[rest:]
        self.out.append(_frames.frame(b"B", payload))

    def _add_by_name(self, kind, frame):
        name, _ = _frames.read_cstring(frame, 6)
        if kind == CLOSE:
            self.keep_closed.append(True)
            known = self.statements.pop(name, None)
            target = b"" if known is None else known.upstream_name
            self.prepared.discard(target)
        else:
            target = self._ensure(name)
        self.out.append(_frames.frame(bytes((kind,)), b"S" + target + b"\0"))

    def _ensure(self, name):
        """Return the upstream name, preparing the statement where needed."""
        known = self.statements.get(name)
        if known is None:
            return name
        if not name:
            if not self.unnamed_is_parsed:
                self.unnamed_is_parsed = True
                self._parse(known, is_callers=False)
        elif known.upstream_name not in self.prepared:
            self._close(known.upstream_name)
            self._parse(known, is_callers=False)
        return known.upstream_name

    def _close(self, upstream_name):
        self.out.append(_frames.frame(b"C", b"S" + upstream_name + b"\0"))
        self.keep_closed.append(False)

    def _parse(self, known, is_callers):
        payload = known.upstream_name + b"\0" + known.tail
        self.out.append(_frames.frame(b"P", payload))
        self.keep_parsed.append(is_callers)
        if known.upstream_name:
            self.prepared.add(known.upstream_name)
            self.upstream_names.append(known.upstream_name)


def _merge(statements):
    found = routing.Statement(_CLASS.EMPTY)
    for statement in statements:
        if _RANK[statement.statement_class] > _RANK[found.statement_class]:
            found = statement
    if len(statements) < 2 or all(one is found for one in statements):
        return found
    merged = routing.merge_statements(statements)
    if merged.statement_class is _CLASS.UNSUPPORTED:
        return merged
    return attrs.evolve(merged, statement_class=found.statement_class)
