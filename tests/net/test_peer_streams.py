"""Tests of the compression of the messages of one connection."""

import random
import zlib

import testtools

from pomelograde.net import peer_messages, peer_streams


def make_envelope(number):
    request = peer_messages.BorrowRequest(f"account-{number % 3}", 1.0, 0.0, 300)
    return peer_messages.Envelope("palermo-a-1", 2**41 + 7, number, False, request)


class StreamTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.encoder = peer_streams.StreamEncoder()
        self.decoder = peer_streams.StreamDecoder()

    def test_messages_arrive_unchanged_and_short(self):
        sent = [make_envelope(number) for number in range(1, 200)]
        encoded = [self.encoder.encode(envelope) for envelope in sent]
        self.assertEqual(sent, [self.decoder.decode(data) for data in encoded])
        alone = sum(len(peer_messages.encode(envelope)) for envelope in sent)
        self.assertTrue(sum(map(len, encoded)) < 0.5 * alone)

    def test_messages_without_a_stream_are_decoded_between_those_with_one(self):
        for number in range(1, 9):
            envelope = make_envelope(number)
            encode = self.encoder.encode if number % 2 else peer_messages.encode
            self.assertEqual(envelope, self.decoder.decode(encode(envelope)))

    def test_malformed_data_is_rejected(self):
        rng = random.Random(1)
        good = self.encoder.encode(make_envelope(1))
        for _ in range(300):
            data = bytearray(good)
            data[rng.randrange(1, len(data))] = rng.randrange(256)
            decoder = peer_streams.StreamDecoder()
            try:
                decoder.decode(bytes(data[: rng.randrange(2, len(data))]))
            except Exception as error:
                expected = ("KjException", "ValueError", "UnicodeDecodeError")
                self.assertIn(type(error).__name__, expected)

    def test_message_that_expands_too_much_is_rejected(self):
        compressor = zlib.compressobj(9, zlib.DEFLATED, -12, 4)
        data = compressor.compress(bytes(peer_messages.MAX_UNPACKED_BYTES + 1))
        data += compressor.flush(zlib.Z_SYNC_FLUSH)
        self.assertRaises(
            ValueError, self.decoder.decode, peer_messages.FORMAT_STREAM + data
        )
