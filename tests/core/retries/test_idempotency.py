"""Tests of the statements that keep idempotency keys."""

import testtools

from pomelograde.core import retries


class IdempotencyTests(testtools.TestCase):
    def test_fingerprint_depends_on_where_pieces_end(self):
        one = retries.fingerprint([b"ab", b"c"])
        other = retries.fingerprint([b"a", b"bc"])
        self.assertNotEqual(one, other)

    def test_key_cannot_leave_its_quotes(self):
        key = retries.Key("a", "it's'); DROP TABLE t; --", "f")
        sql = retries.claim_sql(key, 5, delete_expired=False)
        self.assertIn("'it''s''); DROP TABLE t; --'", sql)

    def test_claims(self):
        judge = retries.classify_claim
        self.assertIs(retries.Claim.CLAIMED, judge([b"BEGIN", b"INSERT 0 1"], None))
        self.assertIs(retries.Claim.TAKEN, judge([b"BEGIN", b"INSERT 0 0"], None))
        self.assertIs(retries.Claim.NO_TABLE, judge([b"BEGIN"], "42P01"))
        self.assertIs(retries.Claim.RETRY, judge([b"BEGIN"], "25006"))
        self.assertIs(retries.Claim.REFUSED, judge([b"BEGIN"], "42501"))
