"""Tests of the choice of a routing rule."""

import testtools

from pomelograde.core import resources, routing


def configure(*rules):
    found = {
        ("rules", str(number)): resources.Resource("rules", str(number), rule, 1)
        for number, rule in enumerate(rules)
    }
    return resources.Configuration(1, found)


class RuleTests(testtools.TestCase):
    def test_rule_for_the_client_account_takes_precedence(self):
        general_rule = resources.RoutingRule("cases", max_staleness_s=5.0)
        account_rule = resources.RoutingRule(
            "cases", account="desk", max_staleness_s=1.0
        )
        for rules in ((general_rule, account_rule), (account_rule, general_rule)):
            configuration = configure(*rules)
            self.assertEqual(
                account_rule, routing.find_rule(configuration, "cases", "desk")
            )
            self.assertEqual(
                general_rule, routing.find_rule(configuration, "cases", "legal")
            )
            self.assertIsNone(routing.find_rule(configuration, "bills", "desk"))

    def test_caller_without_a_key_matches_open_rules_only(self):
        closed_rule = resources.RoutingRule("cases", max_staleness_s=5.0)
        open_rule = resources.RoutingRule("cases", open=True, rate_per_s=1.0, burst=1.0)
        self.assertIsNone(routing.find_rule(configure(closed_rule), "cases", ""))
        self.assertEqual(
            open_rule, routing.find_rule(configure(closed_rule, open_rule), "cases", "")
        )
