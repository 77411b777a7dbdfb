"""Tests of what others have written about a group: its row, and messages."""

import random
import types

import hypothesis
import testtools
from hypothesis import strategies as st
from twisted.internet import defer, task

from pomelograde.core import failover, membership, resources
from pomelograde.net import gateway, groups, metrics, peer_messages, platform
from tests import odd_values

VALUE = {"term": 3, "primary": "a"}


class StoredPrimaryTests(testtools.TestCase):
    def test_odd_row_is_an_error(self):
        for value in (
            None,
            [],
            "a",
            {},
            {"term": 3},
            {"primary": "a"},
            dict(VALUE, term="3"),
            dict(VALUE, term=0),
            dict(VALUE, term=-1),
            dict(VALUE, term=True),
            dict(VALUE, term=2**63),
            dict(VALUE, term=10**400),
            dict(VALUE, primary=["a"]),
            dict(VALUE, primary=None),
        ):
            row = platform.Row("primaries/meters", value, 7)
            self.assertTrue(groups.read_primary(row).is_err(), value)
        self.assertTrue(groups.read_primary(None).is_err())

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(odd_values.mutations(VALUE) | st.none())
    def test_any_row_is_a_primary_or_an_error(self, value):
        stored = groups.read_primary(platform.Row("primaries/meters", value, 7))
        if stored.is_ok():
            view = failover.GroupView("meters", {})
            view.update_primary(stored.ok_value.term, stored.ok_value.primary)


class MessageTests(testtools.TestCase):
    """Messages of other instances about a group."""

    def setUp(self):
        super().setUp()
        self.rejected = []
        clock = task.Clock()
        own = membership.Instance("suva-1", "suva", 1, "127.0.0.1", 7432)
        self.context = types.SimpleNamespace(
            reactor=clock,
            now=clock.seconds,
            members=membership.Membership(own),
            log=types.SimpleNamespace(write=lambda event, **fields: None),
            metrics=metrics.Metrics(),
            random=random.Random(1),
            platform=None,
            credential=None,
            settings=types.SimpleNamespace(
                addresses=types.SimpleNamespace(bind_host=""),
            ),
            peers=types.SimpleNamespace(
                reject=lambda message, sender, reason: self.rejected.append(reason),
                send=lambda instance, message: None,
            ),
        )
        self.gateway = gateway.Gateway(self.context, None, None)
        members = [
            resources.MemberSpec(name, "127.0.0.1", 5432, "suva") for name in "ab"
        ]
        spec = resources.DatabaseService(members)
        self.group = groups.GroupTask(self.context, "meters", spec)
        self.gateway.groups["meters"] = self.group

    def receive(self, message):
        envelope = peer_messages.Envelope("suva-2", 1, 0, False, message)
        decoded = peer_messages.decode(peer_messages.encode(envelope))
        return self.gateway.on_group_message(decoded.message, decoded)

    def test_term_out_of_range_hides_no_later_primary(self):
        self.receive(peer_messages.PrimaryNews("meters", 2**64 - 1, "a"))
        self.receive(peer_messages.GroupNews("meters", 2**63, "a", []))
        position = peer_messages.MemberNews("a", 1, 2**63, True, False)
        self.receive(peer_messages.GroupNews("meters", 1, "a", [position]))
        self.assertEqual(3, len(self.rejected))
        self.receive(peer_messages.PrimaryNews("meters", 2, "b"))
        self.assertEqual((2, "b"), (self.group.view.term, self.group.view.primary))

    def test_floor_out_of_range_is_not_used(self):
        answer = peer_messages.FloorAnswer(True, 1, 2**64 - 1)

        async def request(instance, message, timeout_s):
            return answer

        self.context.peers.request = request
        watcher = membership.Instance("suva-2", "suva", 1, "127.0.0.1", 7432)
        self.group.watch.nearest_watcher = lambda: watcher
        found = []
        floor = self.group.floor_task._query_watcher()
        defer.ensureDeferred(floor).addBoth(found.append)
        self.assertEqual([None], found)
        self.assertEqual(1, len(self.rejected))

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        st.builds(
            peer_messages.GroupNews,
            st.sampled_from(("meters", "gone", "")),
            st.integers(0, 2**64 - 1) | st.integers(0, 5),
            st.sampled_from(("a", "b", "gone", "")),
            st.lists(
                st.builds(
                    peer_messages.MemberNews,
                    st.sampled_from(("a", "b", "gone", "")),
                    st.integers(0, 2**64 - 1) | st.integers(0, 5),
                    st.integers(0, 2**64 - 1) | st.integers(0, 5),
                    st.booleans(),
                    st.booleans(),
                ),
                max_size=3,
            ),
        )
    )
    def test_any_state_of_a_group_can_be_passed_on(self, message):
        self.receive(message)
        news = self.group.watch._group_state()
        envelope = peer_messages.Envelope("suva-1", 1, 0, False, news)
        peer_messages.decode(peer_messages.encode(envelope))
        self.assertTrue(self.group.view.term < 2**63)
