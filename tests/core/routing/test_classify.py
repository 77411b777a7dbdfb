"""Tests of statement classification."""

import testtools

from pomelograde.core import routing

CLASS = routing.StatementClass


class ClassifierTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.classifier = routing.Classifier()

    def check(self, expected, text):
        found = self.classifier.classify(text.encode("utf-8"))
        self.assertEqual(expected, found.statement_class, text)

    def test_reads(self):
        self.check(CLASS.READ, "SELECT 1")
        self.check(CLASS.READ, "WITH a AS (SELECT 1) SELECT * FROM a")
        self.check(CLASS.READ, "SHOW server_version")

    def test_selects_that_write_are_writes(self):
        self.check(CLASS.WRITE, "SELECT nextval('s')")
        self.check(CLASS.WRITE, "SELECT * FROM t FOR UPDATE")
        self.check(CLASS.WRITE, "WITH a AS (DELETE FROM t RETURNING 1) SELECT 1")
        self.check(CLASS.WRITE, "EXPLAIN ANALYZE INSERT INTO t VALUES (1)")

    def test_set_config_is_a_write_whatever_it_sets(self):
        self.check(CLASS.WRITE, "SELECT set_config('a.b', 'x', false)")
        self.check(CLASS.WRITE, "SELECT set_config('pomelograde.x', 'x', false)")

    def test_set_values_are_not_shared_by_fingerprint(self):
        first = self.classifier.classify(b"SET pomelograde.session = 'a'")
        second = self.classifier.classify(b"SET pomelograde.session = 'b'")
        self.assertEqual(("a", "b"), (first.value, second.value))

    def test_unsupported(self):
        self.check(CLASS.UNSUPPORTED, "COPY t FROM STDIN")
        self.check(CLASS.UNSUPPORTED, "LISTEN a")
        self.check(CLASS.UNSUPPORTED, "SELECT 1; SET pomelograde.session = 'a'")

    def test_text_that_is_not_sql_goes_to_the_primary(self):
        self.check(CLASS.WRITE, "SELEC 1")

    def test_only_built_in_functions_are_known_to_be_read_only(self):
        for text, known_read_only in (
            ("SELECT count(*) FROM t", True),
            ("SELECT pg_catalog.count(*) FROM t", True),
            ("SELECT book_pallet(1)", False),
            ("SELECT stores.count(1)", False),
        ):
            found = self.classifier.classify(text.encode("utf-8"))
            self.assertEqual(
                (CLASS.READ, known_read_only),
                (found.statement_class, found.known_read_only),
            )

    def test_session_state_that_pooled_connections_lose_is_unsupported(self):
        self.check(CLASS.UNSUPPORTED, "SELECT pg_advisory_lock(1)")
        self.check(CLASS.UNSUPPORTED, "CREATE TEMP TABLE a (b int)")
        self.check(CLASS.UNSUPPORTED, "DECLARE c CURSOR WITH HOLD FOR SELECT 1")
        self.check(CLASS.UNSUPPORTED, "SELECT set_config($1, $2, false)")
        self.check(CLASS.WRITE, "SELECT set_config($1, $2, true)")

    def test_state_in_which_a_text_leaves_the_transaction(self):
        for text, opens, commits in (
            ("BEGIN", True, False),
            ("BEGIN; INSERT INTO t VALUES (1)", True, False),
            ("BEGIN; INSERT INTO t VALUES (1); COMMIT", False, True),
            ("COMMIT; BEGIN", True, True),
            ("BEGIN; ROLLBACK", False, False),
        ):
            found = self.classifier.classify(text.encode("utf-8"))
            self.assertEqual((opens, commits), (found.opens, found.commits), text)

    def test_set_changes_session_settings_and_set_local_does_not(self):
        found = self.classifier.classify(b"SET search_path TO a, b; RESET ALL")
        self.assertEqual(
            ["search_path", ""], [change.name for change in found.setting_changes]
        )
        self.assertEqual(
            (), self.classifier.classify(b"SET LOCAL a = 1").setting_changes
        )
