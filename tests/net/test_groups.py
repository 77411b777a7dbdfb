"""Tests of the stored primary of a group, whoever has written its row."""

import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import failover
from pomelograde.net import groups, platform
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
