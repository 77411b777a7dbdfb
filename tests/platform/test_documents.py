"""Tests of the parsers of manifest, members' rows and settings file."""

import copy
import json

import hypothesis
import testtools
from hypothesis import strategies

from pomelograde.core import placement, pooling, statements
from pomelograde.platform import manifest, registry, settings, store
from pomelograde.standins.hosting import fleets, host

JSON = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
ROW = {
    "service": "g",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "slots": 3,
    "state": "ready",
    "dbRole": "primary",
    "seq": 4,
    "born": 17,
}


NESTED = (33, 500, *range(880, 1000))
VALUES = JSON | strategies.sampled_from(
    [10**400, -1, 1 << 64, 1.5, 1e300, "\ud800", True, float("inf"), float("nan")]
)
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=1000)


def find_places(document):
    """Yield container and key of each value within a JSON value."""
    names = document if isinstance(document, dict) else range(len(document))
    for name in names:
        yield document, name
        if isinstance(document[name], (dict, list)):
            yield from find_places(document[name])


def parse_rows(*values):
    rows = [store.Row(f"i-{number}", value, 1) for number, value in enumerate(values)]
    return registry.parse_members(rows)[0]


class ManifestTests(testtools.TestCase):
    def test_routes_accounts_and_services_are_parsed(self):
        found = manifest.parse_manifest(json.dumps(host.MANIFEST))
        route = found.routes["meters-bounded"]
        bounded = statements.RouteType.BOUNDED_STALENESS
        self.assertEqual((bounded, 1.5), (route.route_type, route.max_staleness_s))
        self.assertEqual("desk", found.account_by_key[host.KEY])
        self.assertEqual(
            host.CONNECTION_LIMIT, found.services[host.SERVICE].max_connections
        )
        self.assertEqual(3.0, found.transaction_idle_s)

    def test_regions_and_cold_starts_are_parsed(self):
        found = manifest.parse_manifest(json.dumps(host.MANIFEST))
        self.assertEqual(frozenset(), found.routes["meters"].allowed_regions)
        self.assertEqual(frozenset(), found.accounts["desk"].allowed_regions)
        self.assertEqual(0.0, found.services[host.SERVICE].cold_rate_per_s)
        document = copy.deepcopy(host.MANIFEST)
        document["routes"][0]["allowedRegions"] = ["palermo", "catania"]
        document["tenants"][0]["allowedRegions"] = ["palermo"]
        document["services"][0].update(coldStartS=8.5, coldPerS=20)
        found = manifest.parse_manifest(json.dumps(document))
        self.assertEqual({"palermo", "catania"}, found.routes["meters"].allowed_regions)
        self.assertEqual({"palermo"}, found.accounts["desk"].allowed_regions)
        service = found.services[host.SERVICE]
        self.assertEqual((8.5, 20.0), (service.cold_start_s, service.cold_rate_per_s))

    def test_fields_that_no_message_can_hold_are_rejected(self):
        account = {"name": "n", "apiKeys": ["k"], "ratePerS": 1, "burst": 1}
        service = {"name": "s", "maxConns": 5}
        changes = (
            {"version": 1 << 64},
            {"tenants": [{**account, "name": "\ud800"}]},
            {"tenants": [{**account, "name": 7}]},
            {"tenants": [{**account, "apiKeys": "abc"}]},
            {"tenants": [{**account, "apiKeys": [""]}]},
            {"tenants": [{**account, "ratePerS": float("nan")}]},
            {"tenants": [{**account, "burst": float("inf")}]},
            {"tenants": [{**account, "burst": -1}]},
            {"services": [{**service, "maxConns": float("inf")}]},
            {"services": [{**service, "name": None}]},
            {"routes": [{**host.MANIFEST["routes"][0], "host": 5}]},
            {"routes": [{**host.MANIFEST["routes"][0], "allowedRegions": "palermo"}]},
            {"routes": [{**host.MANIFEST["routes"][0], "allowedRegions": [""]}]},
            {"tenants": [{**account, "allowedRegions": None}]},
            {"tenants": [{**account, "allowedRegions": [3]}]},
            {"services": [{**service, "coldStartS": -1}]},
            {"services": [{**service, "coldPerS": float("inf")}]},
        )
        for change in changes:
            document = json.dumps({**host.MANIFEST, **change})
            error = manifest.InvalidManifestError
            self.assertRaises(error, manifest.parse_manifest, document)
        self.assertRaises(error, manifest.parse_manifest, "[" * 100_000)

    @hypothesis.given(JSON)
    def test_invalid_document_is_rejected(self, value):
        error = manifest.InvalidManifestError
        self.assertRaises(error, manifest.parse_manifest, json.dumps(value))
        self.assertRaises(error, manifest.parse_manifest, b"\xff{")

    def test_values_that_consumers_cannot_use_are_rejected(self):
        route, service = host.MANIFEST["routes"][0], host.MANIFEST["services"][0]
        account, large = host.MANIFEST["tenants"][0], 10**400
        changes = [{"version": large}, {"version": True}, {"limits": []}]
        changes += [{"limits": {"txIdleMs": large}}, {"routes": {}}, {"services": [5]}]
        for name, values in (
            ("maxConns", (large, -1, "5", 5.5, True, None)),
            ("syncReplicas", (large, -1, "1", True, None)),
            ("coldStartS", (large, "1", True, None)),
            ("coldPerS", (large, "1", True, None)),
        ):
            changes += [{"services": [{**service, name: value}]} for value in values]
        for name, values in (
            ("timeoutMs", (large, 1e300, True, None)),
            ("maxStalenessMs", (large, "1", True)),
            ("priority", (large, True, 1.0)),
            ("anonymous", ("false", 0, None, [])),
            ("routeType", (["primary"], {}, None)),
        ):
            changes += [{"routes": [{**route, name: value}]} for value in values]
        for name in ("ratePerS", "burst"):
            for value in (large, "5", True, None, [5]):
                changes.append({"tenants": [{**account, name: value}]})
        error = manifest.InvalidManifestError
        for change in changes:
            document = json.dumps({**host.MANIFEST, **change})
            self.assertRaises(error, manifest.parse_manifest, document)

    def test_texts_that_cannot_be_decoded_are_rejected(self):
        text = json.dumps({**host.MANIFEST, "x": 0, "note": "\x07"})
        error = manifest.InvalidManifestError
        for value in ("9" * 5000, "1e999", "NaN", *("[" * n + "]" * n for n in NESTED)):
            document = text.replace('"x": 0', f'"x": {value}')
            self.assertRaises(error, manifest.parse_manifest, document)
            self.assertRaises(error, manifest.parse_manifest, document.encode())
        for document in (None, 5, b"\xff", text.encode()[:-1], "\ud800" + text):
            self.assertRaises(error, manifest.parse_manifest, document)

    def test_messages_hold_no_key(self):
        account = host.MANIFEST["tenants"][0]
        for keys in ("s3cret", ["k", ["s3cret"]], {"s3cret": 1}, [{"s3cret": 1}]):
            document = {**host.MANIFEST, "tenants": [{**account, "apiKeys": keys}]}
            _, _, faults = manifest.decode_manifest(json.dumps(document))
            self.assertEqual(1, len(faults))
            self.assertNotIn("s3cret", str(faults))

    @FUZZ
    @hypothesis.given(data=strategies.data(), value=VALUES)
    def test_manifest_with_an_arbitrary_value(self, data, value):
        document = copy.deepcopy(host.MANIFEST)
        place, name = data.draw(strategies.sampled_from(list(find_places(document))))
        place[name] = value
        try:
            found = manifest.parse_manifest(json.dumps(document))
        except manifest.InvalidManifestError:
            return
        for service in found.services.values():
            pooling.divide_connections(service.max_connections, 3, 1, False)
            float(service.max_connections)
        for text in (*found.routes, *found.accounts, *found.services):
            text.encode()

    @FUZZ
    @hypothesis.given(document=strategies.binary() | strategies.text())
    def test_arbitrary_text(self, document):
        error = manifest.InvalidManifestError
        self.assertRaises(error, manifest.parse_manifest, document)


class RegistryTests(testtools.TestCase):
    def test_member_is_parsed(self):
        member = parse_rows(json.dumps(ROW).encode())["g"][0]
        self.assertEqual(
            ("i-0", "a", "10.0.0.1", 8080, placement.Role.PRIMARY, False, 3, 17),
            (
                member.name,
                member.data_centre,
                member.host,
                member.port,
                member.role,
                member.leaving,
                member.slots,
                member.started_ms,
            ),
        )

    def test_member_is_cold_while_its_row_says_so(self):
        rows = [
            {**ROW, **fields}
            for fields in ({}, {"coldRemainingMs": 0}, {"coldRemainingMs": 7400})
        ]
        found = parse_rows(*(json.dumps(row).encode() for row in rows))["g"]
        self.assertEqual([False, False, True], [member.is_cold for member in found])

    def test_invalid_rows_of_other_writers_are_skipped(self):
        invalid_rows = [
            {**ROW, "state": "resting"},
            {**ROW, "dbRole": "witness"},
            {**ROW, "slots": "3"},
            {**ROW, "slots": True},
            {**ROW, "slots": -1},
            {**ROW, "slots": 1 << 16},
            {**ROW, "born": 1 << 64},
            {**ROW, "zone": "\ud800"},
            {**ROW, "zone": {"a": float("inf")}},
            {**ROW, "zone": 5},
            {**ROW, "address": "10.0.0.1"},
            {**ROW, "address": None},
            {**ROW, "born": 1.5},
            {**ROW, "coldRemainingMs": "soon"},
            {**ROW, "coldRemainingMs": None},
            {key: value for key, value in ROW.items() if key != "service"},
            [],
        ]
        values = [json.dumps(row).encode() for row in invalid_rows]
        values += [b"\xff\xfe", b"{", b"[" * 100_000]
        found = parse_rows(*values, json.dumps(ROW).encode())
        self.assertEqual([f"i-{len(values)}"], [member.name for member in found["g"]])

    @hypothesis.given(JSON)
    def test_arbitrary_json_is_skipped(self, value):
        self.assertEqual({}, parse_rows(json.dumps(value).encode()))


class SettingsTests(testtools.TestCase):
    def make_settings(self, **changes):
        return {
            **fleets.make_settings("n", "catania-a", "h:1", [1, 2, 3, 4]),
            **changes,
        }

    def test_settings_are_parsed(self):
        found = settings.parse(self.make_settings()).ok_value
        self.assertEqual(
            (1, 2, 3, 4),
            (found.caller_port, found.ready_port, found.peer_port, found.metrics_port),
        )
        self.assertEqual(5.0, found.revocation_s)

    def test_worth_of_bytes_is_optional(self):
        found = settings.parse(self.make_settings()).ok_value
        self.assertEqual(
            (5.0, 20.0, False),
            (found.data_centre_ms_per_kb, found.region_ms_per_kb, found.shares_members),
        )
        worth = {"zoneMsPerKb": 0, "regionMsPerKb": 50}
        changed = self.make_settings(pomelograde=worth, contracts=["pool"])
        found = settings.parse(changed).ok_value
        self.assertEqual(
            (0.0, 50.0, True),
            (found.data_centre_ms_per_kb, found.region_ms_per_kb, found.shares_members),
        )
        for value in (-1, "dear", None):
            faulty = self.make_settings(pomelograde={"regionMsPerKb": value})
            self.assertTrue(settings.parse(faulty).is_err())

    def test_faults_are_reported(self):
        self.assertIn(
            "instance: must not be empty",
            settings.parse(self.make_settings(node="")).err_value,
        )
        missing = self.make_settings()
        del missing["listen"]
        self.assertTrue(settings.parse(missing).is_err())
        self.assertTrue(settings.load("/nowhere").is_err())
