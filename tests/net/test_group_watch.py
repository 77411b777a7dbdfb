"""Tests of rows in which members report, whatever they hold."""

import types

import hypothesis
import testtools
from hypothesis import strategies as st
from twisted.internet import defer, task

from pomelograde.core import membership
from pomelograde.net import group_watch, member_connections, upstream

STATUS = ["a", "replica", "3", "3", "3", "17", "b", "f"]
FENCE = ["t", "3", "x/1", "3", "17"]
COLUMN = (
    st.none()
    | st.text(max_size=25)
    | st.integers().map(str)
    | st.sampled_from(("t", "f", "", "٣", "²", "1_0", " 1", "-1", "9" * 5000))
)


def mutate(row):
    """Return a strategy of rows that differ from one, also in their length."""
    columns = [st.just(value) | st.just(value) | COLUMN for value in row]
    whole = st.tuples(*columns).map(list)
    return whole | st.builds(lambda row, end: row[:end], whole, st.integers(0, 9))


class DecodingTests(testtools.TestCase):
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(mutate(STATUS))
    def test_any_status_is_read_or_an_error_of_the_member(self, row):
        try:
            status = group_watch.read_status(row)
        except upstream.UpstreamCallError:
            return
        self.assertTrue(0 <= status.term < 2**63)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(mutate(FENCE))
    def test_any_answer_to_a_fence_is_read_or_an_error_of_the_member(self, row):
        try:
            accepted, fenced_term, position = group_watch.read_fence_answer(row)
        except upstream.UpstreamCallError:
            return
        self.assertIsInstance(accepted, bool)
        self.assertTrue(0 <= fenced_term < 2**63)
        self.assertTrue(0 <= position.index < 2**63)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(mutate(["3", "17"]))
    def test_any_position_is_read_or_an_error_of_the_member(self, row):
        for found in (row, [None if c is None else c.encode() for c in row]):
            try:
                position = upstream.read_position(found)
            except upstream.UpstreamCallError:
                continue
            self.assertTrue(0 <= position.term < 2**63)


class ProbeTests(testtools.TestCase):
    def probe(self, row):
        """Return what a witness says of member ``a``, which answers with a row."""
        clock = task.Clock()
        own = membership.Instance("suva-1", "suva", 1, "127.0.0.1", 7432)
        context = types.SimpleNamespace(
            reactor=clock,
            now=clock.seconds,
            members=membership.Membership(own),
            random=None,
        )
        connections = member_connections.MemberConnections(context, None)

        async def connect(member, timeout_s):
            return types.SimpleNamespace(
                send=lambda handler, sql: (
                    setattr(handler, "row", row),
                    handler.on_ready(b"I"),
                ),
                is_lost=False,
                close=lambda: None,
            )

        connections._connection = connect
        group = types.SimpleNamespace(
            name="meters",
            view=types.SimpleNamespace(members={"a": None}),
            member_connections=connections,
        )
        watch = group_watch.WatchTask(context, group)
        found = []
        answer = defer.maybeDeferred(watch.check_reachable, "a")
        answer.addBoth(found.append)
        return found[0]

    def test_member_with_an_unreadable_status_is_alive(self):
        self.assertIs(True, self.probe(list(STATUS)))
        for row in (STATUS[:3], ["a", "replica", "x", "3", "3", "17", "b", "f"]):
            self.assertIs(True, self.probe(row))

    def test_address_of_another_member_does_not_count(self):
        self.assertIs(False, self.probe(["b", *STATUS[1:]]))
