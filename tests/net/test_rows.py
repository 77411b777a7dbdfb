"""Tests of the decoding of configuration rows and news of other writers."""

import json

import attrs
import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import resources
from pomelograde.net import _rows, peer_messages, platform
from tests import odd_values

SPEC = {"rate_per_s": 5.0, "burst": 5.0}
VALUE = {"revision": 7, "change_id": "x", "operator": "ann", "spec": SPEC}
HEAD = {"revision": 8, "horizon": 2, "recent": [["x", 7]]}
NEWS = {
    "after": 4,
    "horizon": 2,
    "changes": [dict(VALUE, kind="accounts", name="desk")],
    "confirmed_age_ms": 250,
    "unresolved": False,
}
GOOD = resources.Resource(
    "accounts", "desk", resources.ClientAccount(5.0, 5.0), 7, "ann"
)


class BatchTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rejected = []

    def read(self, values, after=4, is_complete=True):
        rows = [
            platform.Row(key, value, version)
            for version, (key, value) in enumerate(values.items(), start=1)
        ]
        read = platform.TableRead(len(rows), rows, is_complete)
        return _rows.read_batch(
            read, after, lambda key, reason: self.rejected.append(key)
        )

    def test_odd_row_costs_itself_only(self):
        for key, value in (
            ("config/accounts/odd", {"revision": 7}),
            ("config/accounts/odd", {"spec": SPEC}),
            ("config/accounts/odd", dict(VALUE, revision="7")),
            ("config/accounts/odd", dict(VALUE, revision=7.5)),
            ("config/accounts/odd", dict(VALUE, revision=-1)),
            ("config/accounts/odd", dict(VALUE, revision=9)),
            ("config/accounts/odd", dict(VALUE, operator=5)),
            ("config/accounts/odd", dict(VALUE, spec=[])),
            ("config/accounts/odd", [VALUE]),
            ("config/accounts/odd", ""),
            ("config/accounts/odd", 0),
            ("config/accounts/", VALUE),
            ("config/accounts/a/b", VALUE),
            ("config/accounts/a b", VALUE),
            ("config/accounts/\u0660", VALUE),
            ("config/accounts/postgres", VALUE),
            ("config/unknown/odd", VALUE),
            ("config/odd", VALUE),
        ):
            self.rejected.clear()
            batch = self.read(
                {"config/accounts/desk": VALUE, key: value, "config/revision": HEAD}
            )
            self.assertEqual(resources.Batch(4, 8, [GOOD], 2), batch, (key, value))
            self.assertEqual(1, len(self.rejected), (key, value))

    def test_changes_beside_an_odd_revision_row_are_in_force(self):
        for head in (None, 5, [], {}, {"revision": "8"}, {"revision": 1, "horizon": 2}):
            batch = self.read({"config/accounts/desk": VALUE, "config/revision": head})
            self.assertEqual(resources.Batch(4, 7, [GOOD]), batch, head)

    def test_revision_out_of_reach_beside_an_odd_revision_row_is_rejected(self):
        batch = self.read(
            {
                "config/accounts/desk": VALUE,
                "config/accounts/odd": dict(VALUE, revision=10**9),
                "config/revision": {},
            }
        )
        self.assertEqual(resources.Batch(4, 7, [GOOD]), batch)

    def test_row_without_a_change_of_the_revision_row_is_rejected(self):
        self.assertIsNone(self.read({"config/accounts/odd": dict(VALUE, revision=99)}))
        self.assertEqual(["config/accounts/odd"], self.rejected)

    def test_revision_row_that_could_not_be_read_hides_no_change(self):
        batch = self.read({"config/accounts/desk": VALUE}, is_complete=False)
        self.assertEqual(resources.Batch(4, 7, [GOOD]), batch)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(st.data(), st.sampled_from((0, 4)), st.booleans())
    def test_any_rows_give_a_batch_that_can_be_applied(self, data, after, is_complete):
        keys = st.sampled_from(
            ("accounts/odd", "keys/odd", "services/odd", "rules/a/b", "accounts/", "x")
        )
        odd = data.draw(st.dictionaries(keys, odd_values.mutations(VALUE), max_size=3))
        values = {f"config/{key}": value for key, value in odd.items()}
        values["config/accounts/desk"] = VALUE
        if data.draw(st.booleans()):
            values["config/revision"] = data.draw(odd_values.mutations(HEAD))
        batch = self.read(values, after, is_complete)
        if batch is None:
            return
        log = resources.ConfigurationLog()
        log.apply_batch(attrs.evolve(batch, after=0))
        message = _rows.encode_news(log.changes_since(0).ok_value)
        self.assertEqual(log.current.revision, message.revision)
        envelope = peer_messages.Envelope("a", 1, 0, False, message)
        self.assertEqual(
            message, peer_messages.decode(peer_messages.encode(envelope)).message
        )


class NewsTests(testtools.TestCase):
    def decode(self, body, revision=8):
        self.rejected = []
        text = body if isinstance(body, str) else json.dumps(body)
        return _rows.decode_news(
            peer_messages.ConfigurationNews(revision, text),
            lambda name, reason: self.rejected.append(name),
        )

    def test_news_are_decoded(self):
        expected = _rows.News(resources.Batch(4, 8, [GOOD], 2), 0.25, False)
        self.assertEqual(expected, self.decode(NEWS).ok_value)

    def test_news_without_an_age_confirm_nothing(self):
        body = {name: NEWS[name] for name in ("after", "horizon", "changes")}
        decoded = self.decode(body).ok_value
        self.assertEqual((float("inf"), True), attrs.astuple(decoded)[1:])

    def test_odd_news_are_an_error(self):
        deep = "[" * odd_values.DEPTH + "]" * odd_values.DEPTH
        for body in (
            "",
            "[]",
            "5",
            deep,
            dict(NEWS, after=-1),
            dict(NEWS, after="4"),
            dict(NEWS, horizon=None),
            dict(NEWS, changes={}),
            dict(NEWS, confirmed_age_ms=-(10**9)),
            dict(NEWS, confirmed_age_ms="1"),
            dict(NEWS, confirmed_age_ms=float("nan")),
        ):
            self.assertTrue(self.decode(body).is_err(), body)
        self.assertTrue(self.decode(NEWS, 2**64 - 1).is_err())

    def test_odd_change_costs_itself_only(self):
        for item in (
            None,
            [],
            {},
            {"kind": "accounts", "name": ["a"], "revision": 7, "spec": None},
            {"kind": "accounts", "name": "odd", "revision": 7},
            {"kind": "accounts", "name": "odd", "revision": 99, "spec": None},
            {"kind": "later", "name": "odd", "revision": 7, "spec": None},
        ):
            body = dict(NEWS, changes=[item, *NEWS["changes"]])
            self.assertEqual([GOOD], self.decode(body).ok_value.batch.changes)
            self.assertEqual(1, len(self.rejected))

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(odd_values.mutations(NEWS), st.integers(0, 2**64 - 1))
    def test_any_news_are_decoded_or_an_error(self, body, revision):
        decoded = self.decode(body, revision)
        if decoded.is_ok():
            self.assertTrue(decoded.ok_value.confirmed_age_s >= 0.0)
            resources.ConfigurationLog().apply_batch(decoded.ok_value.batch)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(st.text(max_size=60) | st.text('[]{}",:\\1a', max_size=40))
    def test_any_text_is_decoded_or_an_error(self, text):
        self.assertTrue(self.decode(text).is_err())
