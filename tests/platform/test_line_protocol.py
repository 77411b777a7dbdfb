"""Tests of the line protocol."""

import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import retries, sessions, statements
from pomelograde.platform import _line_protocol

OP = statements.Operation
# Codes that guarantee that the attempt had no lasting effect.
NO_EFFECT_CODES = {
    b"RETRY",
    b"ABORTED",
    b"LAGGING",
    b"READONLY",
    b"MISROUTED",
    b"OVERLOAD",
}


class ReaderTests(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=20)), strategies.integers(1, 7)
    )
    def test_any_split_of_the_stream_gives_the_same_lines(self, parts, size):
        lines = [part.replace(b"\r", b"").replace(b"\n", b"") for part in parts]
        data = b"".join(line + b"\r\n" for line in lines)
        reader = _line_protocol.LineReader()
        found = []
        for start in range(0, len(data), size):
            found += reader.feed(data[start : start + size])
        self.assertEqual(lines, found)

    def test_overlong_line_is_rejected_before_its_end(self):
        reader = _line_protocol.LineReader()
        reader.feed(b"x" * _line_protocol.MAX_LINE_BYTES)
        self.assertRaises(_line_protocol.LineTooLongError, reader.feed, b"x")

    def test_lines_before_an_overlong_one_are_returned(self):
        long_line = b"x" * (_line_protocol.MAX_LINE_BYTES + 1)
        for data in (b"a\r\nb\r\n" + long_line, b"a\r\nb\r\n" + long_line + b"\r\nc"):
            reader = _line_protocol.LineReader()
            try:
                reader.feed(data)
            except _line_protocol.LineTooLongError as error:
                self.assertEqual([b"a", b"b"], error.lines)
            else:
                self.fail("not rejected")


class StatementTests(testtools.TestCase):
    def decode(self, text):
        return _line_protocol.decode_statement(b"QUERY q1 " + text)

    def test_statements_are_decoded(self):
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
            found = self.decode(text)
            self.assertEqual(expected, (found.operation, found.name, found.value))
            self.assertEqual((b"q1", text), (found.request_id, found.text))

    def test_statements_that_callers_may_not_send_are_malformed(self):
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
            self.assertRaises(_line_protocol.MalformedLineError, self.decode, text)
        for line in (b"QUERY - READ a", b"QUERY  READ a", b"READ a", b"QUERY q1"):
            self.assertRaises(
                _line_protocol.MalformedLineError, _line_protocol.decode_statement, line
            )

    @hypothesis.given(strategies.binary(max_size=60))
    def test_arbitrary_bytes_are_malformed_or_forwarded_as_one_line(self, text):
        try:
            found = self.decode(text)
        except _line_protocol.MalformedLineError:
            return
        sent = _line_protocol.encode_statement(found, None, None)
        self.assertEqual(b"QUERY q1 " + text + b"\r\n", sent)
        self.assertEqual(1, sent.count(b"\n"))


class ForwardingTests(testtools.TestCase):
    def test_position_precedes_the_unchanged_text(self):
        statement = _line_protocol.decode_statement(b"QUERY q1 READ 1a4")
        sent = _line_protocol.encode_statement(
            statement, None, sessions.Position(3, 1207)
        )
        self.assertEqual(b"QUERY q1 AFTER 3.1207 READ 1a4\r\n", sent)

    def test_prepared_statement_is_executed_under_the_proxys_name(self):
        statement = _line_protocol.decode_statement(b"QUERY q1 EXECUTE s1 1a4 x y")
        sent = _line_protocol.encode_statement(statement, b"p0", None)
        self.assertEqual(b"QUERY q1 EXECUTE p0 1a4 x y\r\n", sent)

    def test_connection_has_exactly_the_settings_of_the_session(self):
        self.assertEqual([], _line_protocol.encode_settings({b"a": b"1"}, {b"a": b"1"}))
        added = _line_protocol.encode_settings({b"a": b"1"}, {b"a": b"1", b"b": b"2"})
        self.assertEqual([b"QUERY - SET b 2\r\n"], added)
        for current in ({b"c": b"3"}, None):
            replaced = _line_protocol.encode_settings(current, {b"a": b"1"})
            expected = [b"QUERY - DISCARD\r\n", b"QUERY - SET a 1\r\n"]
            self.assertEqual(expected, replaced)


class CodeTests(testtools.TestCase):
    def test_every_error_kind_has_a_code(self):
        self.assertEqual(set(retries.ErrorKind), set(_line_protocol.ERROR_CODES))

    def test_no_effect_codes_are_used_only_if_the_statement_has_not_run(self):
        wrong_kinds = [
            kind
            for kind, code in _line_protocol.ERROR_CODES.items()
            if code in NO_EFFECT_CODES
            and retries.ERROR_RESPONSES[kind].execution is not retries.Execution.NOT_RUN
        ]
        self.assertEqual([], wrong_kinds)

    def test_refusal_states_when_to_retry(self):
        failure = retries.Failure(retries.ErrorKind.RATE_EXCEEDED, "desk", 0.25)
        text = _line_protocol.encode_failure(failure, b"I")
        self.assertEqual(
            b"ERROR OVERLOAD client account is over its rate: desk; "
            b"retry after 250 ms\r\nREADY I -\r\n",
            text,
        )


VERBS = [b"BEGIN", b"COMMIT", b"READ", b"WRITE", b"SET", b"PARSE", b"EXECUTE", b"CLOSE"]


class ArbitraryLineTests(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=1000)
    @hypothesis.given(
        words=strategies.lists(
            strategies.binary(max_size=6) | strategies.sampled_from(VERBS), max_size=5
        ),
        is_query=strategies.booleans(),
    )
    def test_line_is_a_statement_or_malformed(self, words, is_query):
        line = b" ".join([b"QUERY", b"q1", *words] if is_query else words)
        try:
            found = _line_protocol.decode_statement(line)
        except _line_protocol.MalformedLineError:
            return
        self.assertIsInstance(found, statements.Statement)
        sent = _line_protocol.encode_statement(found, None, None)
        self.assertEqual(line + b"\r\n", sent)
