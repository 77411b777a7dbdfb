"""Tests of the validation of resources that somebody else has written."""

import copy

import hypothesis
import testtools
from hypothesis import strategies as st

from pomelograde.core import resources
from tests import odd_values

MEMBER = {"name": "a", "host": "127.0.0.1", "port": 5432, "data_centre": "suva"}
SPECS = {
    "services": {"members": [MEMBER], "statement_timeout_s": 1.0},
    "accounts": {"rate_per_s": 1, "burst": 1.5, "role": "desk"},
    "keys": {
        "account": "desk",
        "verifier": {"salt": "cw==", "stored_key": "cw==", "server_key": "cw=="},
    },
    "rules": {"service": "meters", "max_staleness_s": 2},
}


class ValidationTests(testtools.TestCase):
    def test_number_too_large_is_an_error_message(self):
        spec = {"rate_per_s": 10**400, "burst": 1}
        checked = resources.validate("accounts", spec)
        self.assertIn("$.rate_per_s", checked.err_value[0])
        member = dict(MEMBER, connection_limit=10**400)
        checked = resources.validate("services", {"members": [member]})
        self.assertIn("$.members[0].connection_limit", checked.err_value[0])

    def test_text_that_cannot_be_encoded_is_an_error_message(self):
        spec = {"rate_per_s": 1, "burst": 1, "role": "\ud800"}
        checked = resources.validate("accounts", spec)
        self.assertIn("$.role", checked.err_value[0])

    def test_member_whose_host_is_no_ip_address_is_an_error_message(self):
        for host in ("", "primary.example", "127.0.0.1 ", "127.0.0.1\n", "1.2.3"):
            member = dict(MEMBER, host=host)
            checked = resources.validate("services", {"members": [member]})
            self.assertTrue(checked.is_err(), host)
            self.assertIn("$.members[0].host", checked.err_value[0])

    def test_member_with_a_control_character_in_its_name_is_an_error_message(self):
        member = dict(MEMBER, name="a\n")
        checked = resources.validate("services", {"members": [member]})
        self.assertIn("$.members[0].name", checked.err_value[0])

    def test_specs_of_the_examples_are_valid(self):
        for kind, spec in SPECS.items():
            self.assertTrue(resources.validate(kind, spec).is_ok(), kind)

    @hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
    @hypothesis.given(st.sampled_from(sorted(SPECS)), st.data())
    def test_any_spec_gives_a_resource_or_error_messages(self, kind, data):
        spec = data.draw(odd_values.mutations(copy.deepcopy(SPECS[kind])))
        checked = resources.validate(kind, spec)
        if checked.is_err():
            self.assertTrue(all("$" in error for error in checked.err_value))
        else:
            resources.dump(checked.ok_value)
