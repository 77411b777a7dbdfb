"""Messages between instances with empty or extreme fields, to real instances."""

import socket
import struct
import time

import attrs

from pomelograde.net import peer_messages
from tests.net.hosted import test_fleet

EMPTY_VALUES = {int: 0, float: 0.0, str: "", bytes: b"", bool: False}
ODD_VALUES = {
    int: 1,
    float: float("nan"),
    str: "a\r\nb",
    bytes: b"a\r\nb",
    bool: True,
}
LARGE_VALUES = {
    int: 2**8 - 1,
    float: float("inf"),
    str: "x" * 2000,
    bytes: b"\xff\r\n" * 700,
    bool: True,
}


def make_message(cls, values, count=0):
    """Return a message whose scalar fields have given values, and lists of items."""
    return cls(
        **{field.name: make_value(field, values, count) for field in attrs.fields(cls)}
    )


def make_value(field, values, count):
    if field.name in peer_messages.ITEM_CLASSES:
        item_class = peer_messages.ITEM_CLASSES[field.name]
        return [make_message(item_class, values, 0)] * count
    return values.get(field.type, [])


def frame(message, request_id, is_reply):
    envelope = peer_messages.Envelope("stranger", 1, request_id, is_reply, message)
    data = peer_messages.encode(envelope)
    return struct.pack(">I", len(data)) + data


class MalformedMessageTests(test_fleet.FleetTests):
    def send(self, data):
        """Send bytes to the first instance as another instance does."""
        address = ("127.0.0.1", self.fleet.instances[0].peer_port)
        with socket.create_connection(address, 3.0) as connection:
            connection.sendall(data)
            time.sleep(0.05)

    def assert_serves(self):
        self.assertIsNone(self.fleet.instances[0].child.poll())
        self.assertTrue(self.call().query("READ k1")[0].startswith("DATAROW"))
        # The instances learn of each other within 2 s of their start.
        self.assertTrue(test_fleet.wait_until(lambda: len(self.find_names()) == 3, 2.0))

    def test_messages_with_empty_or_large_fields_end_no_instance(self):
        for cls in peer_messages.MESSAGE_CLASSES:
            for values in (EMPTY_VALUES, LARGE_VALUES):
                message = make_message(cls, values)
                for request_id, is_reply in ((0, False), (7, False), (7, True)):
                    self.send(frame(message, request_id, is_reply))
        self.assert_serves()

    def test_messages_with_odd_items_end_no_instance(self):
        for cls in peer_messages.MESSAGE_CLASSES:
            for values in (EMPTY_VALUES, LARGE_VALUES, ODD_VALUES):
                message = make_message(cls, values, count=2)
                for request_id, is_reply in ((0, False), (7, False), (7, True)):
                    self.send(frame(message, request_id, is_reply))
        self.assert_serves()

    def test_bytes_that_are_no_messages_end_no_instance(self):
        good = frame(make_message(peer_messages.Ping, EMPTY_VALUES), 1, False)
        for data in (
            b"\xff" * 50,
            struct.pack(">I", 20) + b"\x00" * 20,
            struct.pack(">I", 20) + b"\x01" * 20,
            struct.pack(">I", 20) + b"\x02" * 20,
            good[:-3],
            struct.pack(">I", 8) + bytes.fromhex("0011010101050000"),
            good[:4] + b"\x09" + good[5:],
        ):
            self.send(data)
        self.assert_serves()
