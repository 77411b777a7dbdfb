"""Tests of bookmarks and session tokens."""

import hypothesis
import hypothesis.strategies as st
import testtools

from pomelograde.core import sessions


class BookmarkTests(testtools.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(
        st.text(min_size=1, max_size=50),
        st.integers(min_value=0, max_value=2**63),
        st.integers(min_value=0, max_value=2**63),
    )
    def test_token_round_trip(self, group, term, index):
        bookmark = sessions.Bookmark(group, sessions.Position(term, index))
        decoded = sessions.decode_token(sessions.encode_token(bookmark))
        self.assertEqual(bookmark, decoded.ok_value)

    def test_invalid_tokens_are_rejected(self):
        for token in ("", "a", "a:b:c", ":1:2", "a:-1:2", "x" * 600):
            self.assertTrue(sessions.decode_token(token).is_err(), token)

    def test_positions_are_ordered_by_term_first(self):
        self.assertTrue(sessions.Position(2, 5) > sessions.Position(1, 5))
