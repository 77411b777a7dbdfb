"""Tests of the line protocol."""

import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import retries, sessions, statements
from pomelograde.platform import _lines

OP = statements.Operation
PROMISES = {b"RETRY", b"ABORTED", b"LAGGING", b"READONLY", b"MISROUTED", b"OVERLOAD"}


class ReaderTests(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=20)), strategies.integers(1, 7)
    )
    def test_any_split_of_the_stream_gives_the_same_lines(self, parts, size):
        lines = [part.replace(b"\r", b"").replace(b"\n", b"") for part in parts]
        data = b"".join(line + b"\r\n" for line in lines)
        reader = _lines.LineReader()
        found = []
        for start in range(0, len(data), size):
            found += reader.feed(data[start : start + size])
        self.assertEqual(lines, found)

    def test_line_without_an_end_is_refused_at_its_limit(self):
        reader = _lines.LineReader()
        reader.feed(b"x" * _lines.MAX_LINE_BYTES)
        self.assertRaises(_lines.LineTooLongError, reader.feed, b"x")


class StatementTests(testtools.TestCase):
    def read(self, text):
        return _lines.read_statement(b"QUERY q1 " + text)

    def test_statements_are_read(self):
        cases = {
            b"BEGIN": (OP.BEGIN, b"", b""),
            b"BEGIN READ": (OP.BEGIN_READ_ONLY, b"", b""),
            b"COMMIT": (OP.COMMIT, b"", b""),
            b"ROLLBACK": (OP.ROLLBACK, b"", b""),
            b"READ 1a4": (OP.READ, b"", b""),
            b"WRITE 1a4 some data": (OP.WRITE, b"", b""),
            b"SET zone a b": (OP.SET, b"zone", b"a b"),
            b"PARSE s1 WRITE q2c": (OP.PREPARE, b"s1", b"q2c"),
            b"EXECUTE s1 1a4 x y": (OP.EXECUTE, b"s1", b"1a4 x y"),
            b"CLOSE s1": (OP.DEALLOCATE, b"s1", b""),
        }
        for text, expected in cases.items():
            found = self.read(text)
            self.assertEqual(expected, (found.operation, found.name, found.value))
            self.assertEqual((b"q1", text), (found.request_id, found.text))

    def test_what_callers_may_not_send_is_malformed(self):
        texts = (
            b"",
            b"AFTER 3.1 READ a",
            b"STATUS",
            b"DISCARD",
            b"PAUSE 4",
            b"STEPDOWN 4",
            b"BEGIN WRITE",
            b"COMMIT now",
            b"READ",
            b"READ a b",
            b"READ a\nQUERY x WRITE a b",
            b"READ a\rb",
            b"WRITE a",
            b"PARSE s1 DELETE q",
            b"EXECUTE s1",
            b"SET zone",
        )
        for text in texts:
            self.assertRaises(_lines.MalformedLineError, self.read, text)
        for line in (b"QUERY - READ a", b"QUERY  READ a", b"READ a", b"QUERY q1"):
            self.assertRaises(_lines.MalformedLineError, _lines.read_statement, line)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_read_or_malformed_and_forwarded_as_one_line(self, text):
        try:
            found = self.read(text)
        except _lines.MalformedLineError:
            return
        sent = _lines.write_statement(found, None, None)
        self.assertEqual(b"QUERY q1 " + text + b"\r\n", sent)
        self.assertEqual(1, sent.count(b"\n"))


class ForwardingTests(testtools.TestCase):
    def test_position_goes_before_an_unchanged_text(self):
        statement = _lines.read_statement(b"QUERY q1 READ 1a4")
        sent = _lines.write_statement(statement, None, sessions.Position(3, 1207))
        self.assertEqual(b"QUERY q1 AFTER 3.1207 READ 1a4\r\n", sent)

    def test_prepared_statement_runs_under_a_name_of_the_proxy(self):
        statement = _lines.read_statement(b"QUERY q1 EXECUTE s1 1a4 x y")
        sent = _lines.write_statement(statement, b"p0", None)
        self.assertEqual(b"QUERY q1 EXECUTE p0 1a4 x y\r\n", sent)

    def test_connection_gets_the_session_settings_and_no_others(self):
        self.assertEqual([], _lines.write_settings({b"a": b"1"}, {b"a": b"1"}))
        added = _lines.write_settings({b"a": b"1"}, {b"a": b"1", b"b": b"2"})
        self.assertEqual([b"QUERY - SET b 2\r\n"], added)
        for present in ({b"c": b"3"}, None):
            replaced = _lines.write_settings(present, {b"a": b"1"})
            expected = [b"QUERY - DISCARD\r\n", b"QUERY - SET a 1\r\n"]
            self.assertEqual(expected, replaced)


class CodeTests(testtools.TestCase):
    def test_every_kind_of_error_has_a_code(self):
        self.assertEqual(set(retries.ErrorKind), set(_lines.CODES))

    def test_promises_stand_only_beside_what_has_not_run(self):
        untrue = [
            kind
            for kind, code in _lines.CODES.items()
            if code in PROMISES
            and retries.ANSWERS[kind].execution is not retries.Execution.NOT_RUN
        ]
        self.assertEqual([], untrue)

    def test_refusal_says_when_to_come_back(self):
        failure = retries.Failure(retries.ErrorKind.RATE_EXCEEDED, "desk", 0.25)
        text = _lines.write_failure(failure, b"I")
        self.assertEqual(
            b"ERROR OVERLOAD client account is over its rate: desk; "
            b"retry after 250 ms\r\nREADY I -\r\n",
            text,
        )
