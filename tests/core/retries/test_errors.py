"""Tests of the error table and of retry decisions."""

import testtools

from pomelograde.core import retries, routing

CLASS = routing.StatementClass


class ErrorTableTests(testtools.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(retries.ErrorKind), set(retries.ANSWERS))

    def test_sqlstates_have_five_characters(self):
        for answer in retries.ANSWERS.values():
            self.assertEqual(5, len(answer.sqlstate))


class DecideTests(testtools.TestCase):
    def decide(self, phase, statement_class, in_transaction=False):
        return retries.decide(phase, statement_class, in_transaction, 0.0, 1.0)

    def test_write_that_was_sent_is_never_sent_again(self):
        decision = self.decide(retries.Phase.SENT, CLASS.WRITE)
        self.assertEqual(retries.Failure(retries.ErrorKind.UPSTREAM_LOST), decision)
        answer = retries.ANSWERS[decision.kind]
        self.assertIs(retries.Execution.UNKNOWN, answer.execution)

    def test_read_that_was_sent_is_tried_again(self):
        decision = self.decide(retries.Phase.SENT, CLASS.READ)
        self.assertIsInstance(decision, retries.Retry)

    def test_read_of_which_the_caller_saw_a_part_is_not_tried_again(self):
        decision = self.decide(retries.Phase.PARTLY_ANSWERED, CLASS.READ)
        self.assertIsInstance(decision, retries.Failure)

    def test_commit_that_was_sent_is_of_unknown_outcome(self):
        decision = self.decide(retries.Phase.SENT, CLASS.COMMIT, in_transaction=True)
        answer = retries.ANSWERS[decision.kind]
        self.assertIs(retries.Execution.UNKNOWN, answer.execution)
