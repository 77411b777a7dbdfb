"""Compression of the messages of one connection between instances.

Messages repeat the names of instances, accounts and members, so each is
compressed with the previous ones as the dictionary. As in RFC 7692, a message
ends with a flush whose constant last bytes are not sent.
"""

import zlib

from pomelograde.net import peer_messages

COMPRESS_LEVEL = 6
# A window of 4 KB holds several messages. Both directions of a connection take
# about 35 KB in all.
WINDOW_BITS = 12
MEMORY_LEVEL = 4
FLUSH_TAIL = b"\0\0\xff\xff"


class StreamEncoder:
    """Encodes the messages that are sent over one connection, in order."""

    def __init__(self):
        self.compressor = zlib.compressobj(
            COMPRESS_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )

    def encode(self, envelope):
        """Encode an envelope, which must be sent next."""
        packed = peer_messages.pack(envelope)
        data = self.compressor.compress(packed)
        data += self.compressor.flush(zlib.Z_SYNC_FLUSH)
        return peer_messages.FORMAT_STREAM + data.removesuffix(FLUSH_TAIL)


class StreamDecoder:
    """Decodes the messages that arrive over one connection, in order."""

    def __init__(self):
        self.decompressor = zlib.decompressobj(-WINDOW_BITS)

    def decode(self, data):
        """Decode an envelope, in a stream or by itself.

        Raises
        ------
        capnp.KjException, ValueError
            If the data is malformed; the connection can't be used any more.
        """
        if data[:1] != peer_messages.FORMAT_STREAM:
            return peer_messages.decode(data)
        try:
            packed = self.decompressor.decompress(
                data[1:] + FLUSH_TAIL, peer_messages.MAX_UNPACKED_BYTES
            )
        except zlib.error as error:
            raise ValueError(str(error)) from error
        if self.decompressor.unconsumed_tail or self.decompressor.eof:
            raise ValueError("message in a stream is truncated or too long")
        return peer_messages.unpack(packed)
