"""Tests of the store's client: eras, revisions and malformed answers."""

import base64

import hypothesis
import testtools
from hypothesis import strategies as st
from twisted.internet import defer, task
from twisted.web import http_headers

from pomelograde.platform import _rows, http, store

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


VALUES = JSON | st.sampled_from([10**400, -(10**400), 1 << 40, "\ud800", float("nan")])
FUZZ = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)


class HttpClient:
    """Returns prepared answers, and records the requests."""

    def __init__(self):
        self.reactor = task.Clock()
        self.answers = []
        self.requests = []

    def add(self, era=None, status=200, body=None, **fields):
        text = era if isinstance(era, bytes) else str(era)
        headers = {} if era is None else {"Store-Era": [text]}
        page = {"rows": [], "ver": 5, "nowMs": 1000, **fields}
        answer = http.Answer(
            status, page if body is None else body, http_headers.Headers(headers)
        )
        self.answers.append(answer)

    async def call(self, name, method, path, query=None, body=None, wait_s=0.0):
        self.requests.append(query or body)
        return self.answers.pop(0)


class StoreTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.http = HttpClient()
        self.client = store.StoreClient(self.http)

    def run_call(self, coroutine):
        """Return the result of a coroutine, or raise its exception."""
        found = []
        defer.ensureDeferred(coroutine).addBoth(found.append)
        if hasattr(found[0], "raiseException"):
            found[0].raiseException()
        return found[0]

    def read(self, **answer):
        self.http.add(**answer)
        return self.run_call(self.client.read_table("t"))

    def follow(self, revision, **answer):
        if answer:
            self.http.add(**answer)
        return self.run_call(self.client.follow_table("t", revision, 1.0))

    def test_revisions_rise_though_versions_fall(self):
        before = self.read(era=1, ver=900).revision
        after = self.read(era=2, ver=700).revision
        self.assertTrue(after > before)

    def test_store_without_eras_has_its_versions_as_revisions(self):
        self.assertEqual(900, self.read(ver=900).revision)
        self.assertEqual((0, float("-inf")), (self.client.era, self.client.era_since))

    def test_era_is_dated_by_its_first_answer(self):
        for era, wait_s in ((1, 2.0), (1, 3.0), (2, 1.0), (2, 1.0)):
            self.read(era=era)
            self.http.reactor.advance(wait_s)
        self.assertEqual(5.0, self.client.era_since)

    def test_feed_is_not_continued_over_a_return(self):
        revision = self.read(era=1, ver=900).revision
        # The new versions have already passed the one to continue from.
        self.assertRaises(store.HistoryLostError, self.follow, revision, era=2, ver=950)
        self.assertRaises(store.HistoryLostError, self.follow, revision)
        self.assertEqual(2, len(self.http.requests))

    def test_feed_continues_after_the_version_within_an_era(self):
        revision = self.read(era=2, ver=700).revision
        self.follow(revision, era=2, ver=705)
        self.assertEqual(700, self.http.requests[-1]["after"])

    def test_answer_of_an_earlier_era_is_not_used(self):
        self.read(era=2)
        self.assertRaises(store.StoreUnavailableError, self.read, era=1)
        self.assertEqual(2, self.client.era)

    def test_answer_without_an_era_keeps_the_known_one(self):
        self.read(era=2)
        self.assertEqual(store.make_revision(2, 5), self.read().revision)

    def test_pages_of_different_eras_are_not_combined(self):
        row = {"key": "k", "value": base64.b64encode(b"1").decode(), "ver": 1}
        self.http.add(era=1, rows=[row], hasMore=True)
        self.assertRaises(store.StoreUnavailableError, self.read, era=2)

    def test_commit_with_conditions_of_an_earlier_era_is_not_confirmed(self):
        self.read(era=1)
        self.http.add(era=2)
        commit = self.client.commit("t", {"k": 5}, {"k": b"1"})
        self.assertRaises(store.StoreUnavailableError, self.run_call, commit)

    def test_age_of_a_read_does_not_follow_a_clock_of_another_era(self):
        self.read(era=1, nowMs=1000)
        self.http.reactor.advance(10.0)
        self.assertEqual(10.0, self.read(era=2, nowMs=500).as_of)
        self.http.reactor.advance(1.0)
        self.assertEqual(11.0, self.read(era=2, nowMs=600).as_of)

    def test_clock_of_the_store_may_count_from_any_time(self):
        for now_ms in (1_796_000_000_000, 2**50, 12.5):
            self.assertEqual(5, self.read(nowMs=now_ms).revision)

    def test_invalid_eras_make_an_answer_unusable(self):
        for era in ("x", "-1", "1.5", "9" * 30, "8192"):
            self.assertRaises(store.StoreUnavailableError, self.read, era=era)
        self.assertEqual(0, self.client.era)

    def test_row_that_cannot_be_read_costs_that_row(self):
        good = {"key": "k", "value": base64.b64encode(b"1").decode(), "ver": 3}
        odd = [
            {**good, "key": 5},
            {**good, "key": None},
            {**good, "key": "\ud800"},
            {**good, "value": "*"},
            {**good, "value": "MQ"},
            {**good, "value": "M\u0663=="},
            {**good, "value": 7},
            {**good, "ver": "3"},
            {**good, "ver": True},
            {**good, "ver": -1},
            {**good, "ver": 10**400},
            {"key": "k", "ver": 3},
            {"key": "k", "value": good["value"]},
            {"value": good["value"], "ver": 3},
            [],
            None,
            "s3cret",
        ]
        for row in odd:
            for found in (
                self.read(rows=[row, good]),
                self.follow(0, rows=[row, good]),
            ):
                invalid, valid = found.rows
                self.assertEqual(store.Row("k", b"1", 3), valid)
                self.assertIsInstance(invalid, _rows.InvalidRow, row)
                self.assertNotIn("s3cret", invalid.reason)
                self.assertEqual(5, found.revision)

    def test_feed_goes_on_after_a_row_that_cannot_be_read(self):
        odd = {"key": "config", "value": "*", "ver": 10**400}
        revision = self.follow(0, rows=[odd], ver=9).revision
        self.follow(revision, ver=9)
        self.assertEqual([0, 9], [query["after"] for query in self.http.requests])

    def test_answer_without_its_own_fields_is_unusable(self):
        for fields in (
            {"rows": None},
            {"rows": {}},
            {"rows": "abc"},
            {"ver": 10**400},
            {"ver": None},
            {"nowMs": 10**400},
            {"nowMs": float("nan")},
            {"nowMs": float("inf")},
            {"nowMs": None},
            {"nowMs": True},
        ):
            self.assertRaises(store.StoreUnavailableError, self.read, **fields)

    def test_pages_that_do_not_advance_are_unusable(self):
        row = {"key": "k", "value": "MQ==", "ver": 1}
        for rows in ([], [row], [{**row, "key": "a"}], [row, {**row, "key": 5}]):
            self.http.answers.clear()
            self.http.add(rows=[row], hasMore=True)
            error = store.StoreUnavailableError
            self.assertRaises(error, self.read, rows=rows, hasMore=True)

    def test_read_goes_on_after_the_key_of_an_invalid_row(self):
        odd = {"key": "k", "value": "*", "ver": 1}
        self.http.add(rows=[odd], hasMore=True)
        self.assertEqual(1, len(self.read().rows))
        self.assertEqual("k\0", self.http.requests[-1]["from"])

    def test_headers_of_any_bytes_never_raise(self):
        for era in (b"\xff", "\u0663", b"9" * 5000, b"1\x00", b" 1", b"+1"):
            self.assertRaises(store.StoreUnavailableError, self.read, era=era)

    def call_with(self, **fields):
        """Return what each call makes of an answer; None if it is unusable."""
        found = []
        for call in (
            lambda client: client.read_table("t"),
            lambda client: client.follow_table("t", 0, 1.0),
            lambda client: client.commit("t", {}, {}),
        ):
            self.http = HttpClient()
            self.http.add(**fields)
            self.http.add()
            try:
                found.append(self.run_call(call(store.StoreClient(self.http))))
            except (store.StoreUnavailableError, store.HistoryLostError):
                found.append(None)
        return found

    @FUZZ
    @hypothesis.given(
        name=st.sampled_from(["rows", "ver", "nowMs", "hasMore"]), value=VALUES
    )
    def test_answer_with_an_arbitrary_value(self, name, value):
        row = {"key": "k", "value": "MQ==", "ver": 1}
        self.call_with(**{"rows": [row], name: value})

    @FUZZ
    @hypothesis.given(
        name=st.sampled_from(["key", "value", "ver", "tombstone"]), value=VALUES
    )
    def test_row_with_an_arbitrary_value(self, name, value):
        row = {"key": "k", "value": "MQ==", "ver": 1, name: value}
        read, followed, _ = self.call_with(rows=[row])
        self.assertEqual((1, 1), (len(read.rows), len(followed.rows)))

    @FUZZ
    @hypothesis.given(era=st.binary(), value=VALUES)
    def test_arbitrary_era(self, era, value):
        self.call_with(era=era.replace(b"\n", b"").replace(b"\r", b""))
        self.call_with(status=503, body=value)

    @hypothesis.given(body=JSON)
    def test_malformed_answers_count_as_unavailable(self, body):
        for call in (
            lambda client: client.read_table("t"),
            lambda client: client.follow_table("t", 0, 1.0),
            lambda client: client.commit("t", {}, {}),
        ):
            self.http = HttpClient()
            client = store.StoreClient(self.http)
            self.http.add(body=body)
            try:
                self.run_call(call(client))
            except store.StoreUnavailableError:
                continue

    @hypothesis.given(row=JSON)
    def test_malformed_rows_count_as_unavailable(self, row):
        self.http = HttpClient()
        self.client = store.StoreClient(self.http)
        try:
            self.read(rows=[row])
        except store.StoreUnavailableError:
            return
