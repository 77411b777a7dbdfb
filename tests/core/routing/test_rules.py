"""Tests of routing rules."""

import testtools

from pomelograde.core import resources, routing


def configure(*rules):
    found = {
        ("rules", str(number)): resources.Resource("rules", str(number), rule, 1)
        for number, rule in enumerate(rules)
    }
    return resources.Configuration(1, found)


class RuleTests(testtools.TestCase):
    def test_rule_of_the_client_account_goes_before_one_for_all(self):
        general = resources.RoutingRule("cases", max_staleness_s=5.0)
        own = resources.RoutingRule("cases", account="desk", max_staleness_s=1.0)
        for rules in ((general, own), (own, general)):
            configuration = configure(*rules)
            self.assertEqual(own, routing.find_rule(configuration, "cases", "desk"))
            self.assertEqual(
                general, routing.find_rule(configuration, "cases", "legal")
            )
            self.assertIsNone(routing.find_rule(configuration, "bills", "desk"))

    def test_caller_without_a_key_matches_open_rules_only(self):
        closed = resources.RoutingRule("cases", max_staleness_s=5.0)
        opened = resources.RoutingRule("cases", open=True, rate_per_s=1.0, burst=1.0)
        self.assertIsNone(routing.find_rule(configure(closed), "cases", ""))
        self.assertEqual(
            opened, routing.find_rule(configure(closed, opened), "cases", "")
        )
