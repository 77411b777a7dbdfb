"""Property tests of the frame reader."""

import hypothesis
import hypothesis.strategies as st
import testtools

from pomelograde.core import retries
from pomelograde.net import _frames


class FrameReaderTests(testtools.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(st.lists(st.binary(max_size=200), max_size=20), st.data())
    def test_frames_do_not_depend_on_how_the_stream_is_split(self, payloads, data):
        frames = [_frames.frame(b"D", payload) for payload in payloads]
        stream = b"".join(frames)
        reader = _frames.FrameReader()
        found = []
        while stream:
            size = data.draw(st.integers(1, len(stream)))
            found += [frame for _, frame in reader.feed(stream[:size])]
            stream = stream[size:]
        self.assertEqual(frames, found)

    @hypothesis.settings(derandomize=True)
    @hypothesis.given(st.binary(max_size=2000))
    def test_buffer_stays_within_the_limit_for_any_input(self, data):
        reader = _frames.FrameReader(max_frame_bytes=100)
        reader.feed(data)
        self.assertTrue(len(reader.buffer) <= 101)

    def test_frame_length_of_two_gigabytes_is_refused(self):
        reader = _frames.FrameReader()
        self.assertEqual([], reader.feed(b"Q\x7f\xff\xff\xff"))
        self.assertIs(retries.ErrorKind.FRAME_TOO_LARGE, reader.failure)
