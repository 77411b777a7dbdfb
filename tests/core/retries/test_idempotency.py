"""Tests of the SQL for idempotency keys."""

import testtools

from pomelograde.core import retries


class IdempotencyTests(testtools.TestCase):
    def test_fingerprint_depends_on_the_boundaries_of_parts(self):
        one = retries.fingerprint([b"ab", b"c"])
        other = retries.fingerprint([b"a", b"bc"])
        self.assertNotEqual(one, other)

    def test_quotes_in_a_key_are_escaped(self):
        key = retries.Key("a", "it's'); DROP TABLE t; --", "f")
        sql = retries.claim_sql(key, 5, delete_expired=False)
        self.assertIn("'it''s''); DROP TABLE t; --'", sql)

    def test_classify_claim(self):
        classify = retries.classify_claim
        self.assertIs(retries.Claim.CLAIMED, classify([b"BEGIN", b"INSERT 0 1"], None))
        self.assertIs(retries.Claim.TAKEN, classify([b"BEGIN", b"INSERT 0 0"], None))
        self.assertIs(retries.Claim.NO_TABLE, classify([b"BEGIN"], "42P01"))
        self.assertIs(retries.Claim.RETRY, classify([b"BEGIN"], "25006"))
        self.assertIs(retries.Claim.REFUSED, classify([b"BEGIN"], "42501"))
