"""Messages between instances with empty or extreme fields, to real instances."""

import random
import socket
import struct
import time

import attrs

from pomelograde.net import peer_messages
from pomelograde.net.hosted import relay
from pomelograde.standins.hosting import host
from tests.net.hosted import test_fleet

ROUNDS = 30  # of one message of each class
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


def draw_message(chance, cls, names):
    """Return a message of random fields, of which some names are those of the fleet.

    Takeovers are of a service that nobody has: a true one would be carried out.
    """
    values = {}
    for field in attrs.fields(cls):
        if field.name in peer_messages.ITEM_CLASSES:
            item_class = peer_messages.ITEM_CLASSES[field.name]
            count = chance.choice((0, 0, 1, 3))
            values[field.name] = [
                draw_message(chance, item_class, names) for _ in range(count)
            ]
        elif cls is peer_messages.TakeoverNews and field.name == "service":
            values[field.name] = "no-such-service"
        elif field.name == "rows" and field.type is not str:
            values[field.name] = [b"row"] * chance.randrange(3)
        elif field.name == "step":
            values[field.name] = chance.choice((*sorted(relay.STEPS), "later"))
        elif field.type is int:
            values[field.name] = chance.choice((0, 1, 2, 200, 255))
        elif field.type is float:
            values[field.name] = chance.choice((0.0, 1.0, -1.0, float("nan"), 1e30))
        elif field.type is bool:
            values[field.name] = chance.random() < 0.5
        elif field.type is bytes:
            values[field.name] = chance.choice((b"", b"READ k1", b"\xff\r\n"))
        else:
            values[field.name] = chance.choice(names)
    return cls(**values)


def frame(message, request_id, is_reply, sender="stranger"):
    envelope = peer_messages.Envelope(sender, 1, request_id, is_reply, message)
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

    def test_random_messages_end_no_instance(self):
        chance = random.Random(1)
        instances = [found.name for found in self.fleet.instances]
        members = [f"i-{place}" for place in host.ZONES]
        names = ["", "-", "later", "x" * 300, host.SERVICE, *instances, *members]
        for _ in range(ROUNDS):
            sender = chance.choice(("stranger", instances[1]))
            messages = [
                frame(
                    draw_message(chance, cls, names),
                    chance.choice((0, 7)),
                    chance.random() < 0.1,
                    sender,
                )
                for cls in peer_messages.MESSAGE_CLASSES
                if cls is not peer_messages.Leaving
            ]
            chance.shuffle(messages)
            self.send(b"".join(messages))
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
