"""Tests of validated conversion."""

import math

import attrs
import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import checks, resources
from pomelograde.daemon import settings

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELD_NAMES = [field.name for field in attrs.fields(settings.Settings)]


class StructureTests(testtools.TestCase):
    def test_all_errors_are_reported_together(self):
        value = {"rate_per_s": -1, "burst": "many", "weight": 0, "rate": 1}
        errors = checks.structure(value, resources.ClientAccount).err_value
        self.assertEqual(4, len(errors), errors)
        for path in ("$.rate_per_s", "$.burst", "$.weight"):
            self.assertTrue(any(error.endswith(path) for error in errors), errors)

    def test_error_in_a_nested_list_names_its_path(self):
        member = {"name": "a", "host": "h", "port": 70000, "data_centre": "x"}
        checked = checks.structure({"members": [member]}, resources.DatabaseService)
        self.assertIn("$.members[0].port", checked.err_value[0])

    def test_number_that_is_not_finite_is_rejected(self):
        for number in (math.inf, -math.inf, math.nan):
            value = {"rate_per_s": number, "burst": 1}
            checked = checks.structure(value, resources.ClientAccount)
            self.assertTrue(checked.is_err(), number)

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        st.dictionaries(st.sampled_from(FIELD_NAMES) | st.text(max_size=5), JSON)
    )
    def test_any_settings_give_a_value_or_error_messages(self, value):
        checked = settings.parse(value)
        if checked.is_err():
            self.assertTrue(all("$" in error for error in checked.err_value))
