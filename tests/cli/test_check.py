"""Tests of `pomelogradectl check`."""

import copy
import json
import pathlib
import tempfile

import hypothesis
import testtools
from click import testing
from hypothesis import strategies

from pomelograde.cli import _json_lines
from pomelograde.cli import main as cli
from pomelograde.core import resources, review
from pomelograde.platform import documents, manifest
from pomelograde.standins.hosting import host

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
ROUTE = host.MANIFEST["routes"][0]
ACCOUNT = host.MANIFEST["tenants"][0]
SERVICE = host.MANIFEST["services"][0]
BOUNDED = {**host.MANIFEST["routes"][1], "host": "m2"}

# Each spoils one field, or adds one entry; with a part of the finding's message.
SPOILED = (
    ({"version": -1}, "expected an integer"),
    ({"version": "7"}, "expected an integer"),
    ({"routes": None}, "expected a list"),
    ({"routes": [{**ROUTE, "host": ""}]}, "expected a string with content"),
    (
        {"routes": [{**ROUTE, "routeType": "fast"}]},
        "routeType is 'fast', expected one of primary,",
    ),
    (
        {"routes": [{**ROUTE, "timeoutMs": "soon"}]},
        "timeoutMs: expected a number of milliseconds, got 'soon'",
    ),
    (
        {"routes": [{**BOUNDED, "maxStalenessMs": "9"}]},
        "maxStalenessMs: expected a number of milliseconds, got '9'",
    ),
    (
        {"routes": [{**ROUTE, "timeoutMs": 500, "latencySloMs": 600}]},
        "a latency objective of 0.6 s is above the time limit of 0.5 s",
    ),
    ({"routes": [{**ROUTE, "timeoutMs": 0}]}, "refuses every statement"),
    ({"routes": [{**ROUTE, "latencySloMs": -5}]}, "refuses every statement"),
    ({"routes": [{**ROUTE, "priority": 256}]}, "expected an integer"),
    ({"routes": [{**ROUTE, "service": "other"}]}, "does not exist"),
    ({"routes": [ROUTE, ROUTE]}, "can never match"),
    ({"routes": [{**ROUTE, "maxStalenessMs": 500}]}, "has no effect"),
    ({"routes": [{**BOUNDED, "maxStalenessMs": 80}]}, "no replica can prove"),
    ({"routes": [{**ROUTE, "allowedRegions": "a"}]}, "expected a list"),
    ({"tenants": [{**ACCOUNT, "apiKeys": []}]}, "has no key"),
    ({"tenants": [ACCOUNT, {**ACCOUNT, "name": "b"}]}, "has a key that"),
    ({"tenants": [ACCOUNT, {**ACCOUNT, "apiKeys": ["z"]}]}, "can never match"),
    ({"tenants": [{**ACCOUNT, "ratePerS": 0}]}, "refuses every operation"),
    ({"tenants": [{**ACCOUNT, "burst": 0.5}]}, "never holds the one token"),
    ({"tenants": [{**ACCOUNT, "ratePerS": -1}]}, "not below 0"),
    ({"services": [SERVICE, {**SERVICE, "name": "s2"}]}, "used by no route"),
    ({"services": [{**SERVICE, "maxConns": 0}]}, "refuses every statement"),
    ({"services": [{**SERVICE, "coldPerS": 5}]}, "has no effect"),
    (
        {
            "routes": [{**ROUTE, "allowedRegions": ["north"]}],
            "tenants": [{**ACCOUNT, "allowedRegions": ["south"]}],
        },
        "shares no region",
    ),
)
MEMBER = {"name": "m1", "host": "10.0.0.1", "port": 5432, "data_centre": "a"}
RESOURCES = [
    {"kind": "services", "name": "meters", "spec": {"members": [MEMBER]}},
    {"kind": "accounts", "name": "desk", "spec": {"rate_per_s": 9, "burst": 9}},
    {"kind": "keys", "name": "desk-1", "spec": {"account": "desk"}},
    {"kind": "rules", "name": "fresh", "spec": {"service": "meters"}},
]


def run_check(content, *arguments):
    """Return exit code and output of the command for a file with some content."""
    text = content if isinstance(content, str) else json.dumps(content)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "file.json"
        path.write_bytes(text.encode("utf-8", "surrogatepass"))
        command = ["check", str(path), *arguments]
        invocation = testing.CliRunner().invoke(cli.main, command)
    if invocation.exception and not isinstance(invocation.exception, SystemExit):
        raise invocation.exception
    return invocation.exit_code, invocation.output


class DocumentTests(testtools.TestCase):
    def test_valid_document_has_no_error(self):
        code, output = run_check(host.MANIFEST)
        self.assertEqual((0, "0 errors, 0 warnings\n"), (code, output))

    def test_each_fault_is_found(self):
        for fields, message in SPOILED:
            _, output = run_check({**host.MANIFEST, **fields}, "-o", "json")
            messages = [found["message"] for found in json.loads(output)["findings"]]
            self.assertTrue(any(message in text for text in messages), (fields, output))

    def test_errors_and_strict_warnings_set_the_exit_code(self):
        refused = {**host.MANIFEST, "version": -1}
        unused = {**host.MANIFEST, "services": [SERVICE, {**SERVICE, "name": "s2"}]}
        self.assertEqual(1, run_check(refused)[0])
        self.assertEqual(0, run_check(unused)[0])
        self.assertEqual(1, run_check(unused, "--strict")[0])

    def test_line_of_a_fault_is_shown(self):
        document = {**host.MANIFEST, "tenants": [{**ACCOUNT, "burst": -3}]}
        text = json.dumps(document, indent=1)
        line = next(
            number
            for number, found in enumerate(text.splitlines(), 1)
            if '"tenants"' in found
        )
        self.assertIn(f"line {line + 1}, $.tenants[0]", run_check(text)[1])

    def test_store_that_cannot_be_reached_is_reported(self):
        code, _ = run_check(host.MANIFEST, "--against", "127.0.0.1:1")
        self.assertEqual(cli.EXIT_UNREACHABLE, code)

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(JSON | strategies.text(max_size=20))
    def test_any_file_is_answered(self, content):
        self.assertIn(run_check(content)[0], (0, 1))

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        strategies.sampled_from(("routes", "services", "tenants", "limits", "version")),
        JSON,
    )
    def test_what_passes_is_accepted_by_instances(self, name, value):
        document = copy.deepcopy(host.MANIFEST)
        if isinstance(document[name], list) and isinstance(value, dict):
            document[name][0].update(value)
        else:
            document[name] = value
        text = json.dumps(document)
        if run_check(text)[0] == 0:
            manifest.parse_manifest(text)


class ChangeTests(testtools.TestCase):
    def compare(self, **fields):
        current, _, _ = documents.decode(json.dumps(host.MANIFEST))
        changed = {**host.MANIFEST, "version": 2, **fields}
        new, _, _ = documents.decode(json.dumps(changed))
        return [
            (change.subject, change.message, change.effect)
            for change in review.compare_fleets(current, new)
        ]

    def test_same_document_has_no_change(self):
        self.assertEqual([], self.compare())

    def test_version_must_rise(self):
        ((subject, _, effect),) = self.compare(version=1)
        self.assertEqual("version", subject)
        self.assertIn("must rise", effect)

    def test_withdrawn_key_and_lowered_rate_are_shown_with_their_effect(self):
        changed = {**ACCOUNT, "apiKeys": ["new"], "ratePerS": 5}
        found = self.compare(tenants=[changed, host.MANIFEST["tenants"][1]])
        self.assertEqual(
            [
                ("account desk", "1 keys withdrawn", "their sessions end"),
                ("account desk", "1 keys added", ""),
                (
                    "account desk",
                    "rate_per_s 500 to 5",
                    "operations above it are refused",
                ),
            ],
            found,
        )

    def test_removed_route_ends_sessions(self):
        ((subject, message, effect),) = self.compare(routes=host.MANIFEST["routes"][1:])
        self.assertEqual(("route meters", "removed"), (subject, message))
        self.assertIn("sessions end", effect)


class ResourceTests(testtools.TestCase):
    def messages(self, items):
        _, output = run_check(items, "-o", "json")
        return [found["message"] for found in json.loads(output)["findings"]]

    def test_valid_resources_have_no_error(self):
        code, output = run_check(RESOURCES)
        self.assertEqual((0, "0 errors, 0 warnings\n"), (code, output))

    def test_order_of_references_matters_as_when_they_are_applied(self):
        code, output = run_check([RESOURCES[3], RESOURCES[0]])
        self.assertEqual(1, code)
        self.assertIn("services/meters does not exist", output)

    def test_faults_are_found(self):
        second = {**RESOURCES[3], "name": "other"}
        leaving = {"members": [{**MEMBER, "leaving": True}]}
        for items, message in (
            ([*RESOURCES, second], "can never match"),
            ([*RESOURCES[:2]], "has no key"),
            ([{**RESOURCES[0], "spec": leaving}], "all members are leaving"),
            ([{**RESOURCES[1], "spec": {"rate_per_s": 9, "burst": 0.5}}], "one token"),
            ([{**RESOURCES[1], "spec": {"rate_per_s": -9, "burst": 1}}], "above 0"),
            ([{**RESOURCES[1], "name": "Desk"}], "lower-case"),
            ([*RESOURCES, RESOURCES[3]], "replaces rules/fresh"),
            ([{"kind": "users", "name": "x", "spec": {}}], "must be one of"),
            (["x"], "expected an object"),
        ):
            found = self.messages(items)
            self.assertTrue(any(message in text for text in found), (items, found))

    @hypothesis.given(JSON, JSON)
    def test_any_item_is_answered(self, spec, name):
        for kind in resources.KINDS:
            item = {"kind": kind, "name": name, "spec": spec}
            resources.review_resources([item, spec], resources.Configuration())


class LineTests(testtools.TestCase):
    def test_lines_of_nested_values(self):
        text = '{"a": [1,\n {"b": "x,}"},\n 3],\n "c":\n true}'
        self.assertEqual(
            {"$": 1, "$.a": 1, "$.a[0]": 1, "$.a[1]": 2, "$.a[1].b": 2, "$.a[2]": 3}
            | {"$.c": 5},
            _json_lines.find_lines(text),
        )

    @hypothesis.given(strategies.text(alphabet='{}[],:"\\ \n12truefalsn', max_size=30))
    def test_any_text_is_scanned(self, text):
        _json_lines.find_lines(text)
