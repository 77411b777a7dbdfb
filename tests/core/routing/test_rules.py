"""Tests of routing rules and of the choice of replicas."""

import testtools

from pomelograde.core import resources, routing, sessions

POSITION = sessions.Position
REQUIRED = POSITION(1, 5)


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
            self.assertEqual(own, routing.match(configuration, "cases", "desk"))
            self.assertEqual(general, routing.match(configuration, "cases", "legal"))
            self.assertIsNone(routing.match(configuration, "bills", "desk"))

    def test_caller_without_a_key_matches_open_rules_only(self):
        closed = resources.RoutingRule("cases", max_staleness_s=5.0)
        opened = resources.RoutingRule("cases", open=True, rate_per_s=1.0, burst=1.0)
        self.assertIsNone(routing.match(configure(closed), "cases", ""))
        self.assertEqual(opened, routing.match(configure(closed, opened), "cases", ""))


class ChoiceTests(testtools.TestCase):
    def choose(self, *members, required=REQUIRED, now=10.0):
        found = routing.choose_replicas(list(members), "p", required, "here", now)
        return [member.name for member in found]

    def view(self, name, place="here", index=5, position_at=10.0, **known):
        position = POSITION(1, index)
        return routing.MemberView(name, place, position, position_at, **known)

    def test_near_and_idle_replicas_go_first(self):
        found = self.choose(
            self.view("far", "there"), self.view("busy", outstanding=5), self.view("a")
        )
        self.assertEqual(["a", "far", "busy"], found)

    def test_replica_that_was_behind_just_now_is_left_alone(self):
        stale = self.view("stale", index=4, position_at=9.0)
        behind = self.view("behind", index=4)
        self.assertEqual(["stale"], self.choose(stale, behind))

    def test_leaving_and_unreachable_replicas_are_left_out(self):
        found = self.choose(
            self.view("p"),
            self.view("a", leaving=True),
            self.view("b", reachable=False),
        )
        self.assertEqual([], found)
