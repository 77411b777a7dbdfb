"""Tests of the error table and of retry decisions."""

import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import retries, sessions


class ErrorTableTests(testtools.TestCase):
    def test_every_kind_has_a_response(self):
        self.assertEqual(set(retries.ErrorKind), set(retries.ERROR_RESPONSES))

    def test_sqlstates_have_five_characters(self):
        for response in retries.ERROR_RESPONSES.values():
            self.assertEqual(5, len(response.sqlstate))


class DecideTests(testtools.TestCase):
    def decide(self, phase, **known):
        return retries.decide(retries.Attempt(phase, **known), 0.0, 1.0)

    def test_write_that_was_sent_is_not_retried(self):
        for phase in (retries.Phase.SENT, retries.Phase.ACKNOWLEDGING):
            decision = self.decide(phase)
            self.assertIsInstance(decision, retries.Failure)
            response = retries.ERROR_RESPONSES[decision.kind]
            self.assertIs(retries.Execution.UNKNOWN, response.execution)

    def test_repeatable_statement_that_was_sent_is_retried(self):
        decision = self.decide(retries.Phase.SENT, repeatable=True)
        self.assertIsInstance(decision, retries.Retry)

    def test_partly_answered_statement_is_not_retried(self):
        decision = self.decide(retries.Phase.PARTLY_ANSWERED, repeatable=True)
        self.assertIsInstance(decision, retries.Failure)

    def test_outcome_of_a_commit_that_was_sent_is_unknown(self):
        decision = self.decide(retries.Phase.SENT, commits=True, in_transaction=True)
        response = retries.ERROR_RESPONSES[decision.kind]
        self.assertIs(retries.Execution.UNKNOWN, response.execution)

    def test_nothing_is_retried_inside_a_transaction(self):
        for phase in retries.Phase:
            decision = self.decide(phase, repeatable=True, in_transaction=True)
            self.assertIsInstance(decision, retries.Failure)

    @hypothesis.given(
        phase=strategies.sampled_from(retries.Phase),
        repeatable=strategies.booleans(),
        in_transaction=strategies.booleans(),
        commits=strategies.booleans(),
        earlier_unknown=strategies.booleans(),
    )
    def test_not_run_is_reported_only_if_certain(self, **known):
        attempt = retries.Attempt(**known)
        decision = retries.decide(attempt, 2.0, 1.0)
        kinds = {retries.expiry_kind(attempt), decision.kind}
        sent = attempt.phase not in (retries.Phase.NOT_SENT, retries.Phase.REFUSED)
        rolled_back = attempt.in_transaction and not attempt.commits
        may_have_run = sent and not rolled_back
        if may_have_run or (attempt.earlier_unknown and not attempt.in_transaction):
            for kind in kinds:
                execution = retries.ERROR_RESPONSES[kind].execution
                self.assertIs(retries.Execution.UNKNOWN, execution)


class SurvivalTests(testtools.TestCase):
    def classify(self, lower, upper, after_lower, holds_upper):
        return retries.classify_survival(lower, upper, after_lower, holds_upper)

    def test_write_survived_in_a_log_that_holds_the_position_after_it(self):
        lower, upper = sessions.Position(3, 8), sessions.Position(3, 10)
        survival = self.classify(lower, upper, None, True)
        self.assertIs(retries.Survival.SURVIVED, survival)

    def test_write_is_discarded_from_a_log_that_ends_before_it(self):
        lower, upper = sessions.Position(3, 8), sessions.Position(3, 10)
        survival = self.classify(lower, upper, False, False)
        self.assertIs(retries.Survival.DISCARDED, survival)

    def test_survival_is_unknown_if_the_log_ends_between_both_positions(self):
        lower, upper = sessions.Position(3, 8), sessions.Position(3, 10)
        survival = self.classify(lower, upper, True, False)
        self.assertIs(retries.Survival.UNKNOWN, survival)

    def test_survival_is_unknown_if_the_positions_differ_in_term(self):
        lower, upper = sessions.Position(2, 8), sessions.Position(3, 10)
        survival = self.classify(lower, upper, False, False)
        self.assertIs(retries.Survival.UNKNOWN, survival)
