"""Closed-loop load over several connections in one thread."""

import selectors
import time

import attrs

from measure.throughput import _wire
from pomelograde.net import _frames

READ = _frames.query("SELECT kwh FROM readings WHERE meter = 'IT001E4471'")
WRITE = _frames.query("INSERT INTO readings (meter, kwh) VALUES ('IT001E1', 1)")


@attrs.frozen
class Target:
    """Program under load.

    Attributes
    ----------
    host, port, user, password, database : object
        Address, credentials and database.
    """

    host: str
    port: int
    user: str
    password: str = attrs.field(repr=False)
    database: str


@attrs.frozen
class Load:
    """Closed-loop load.

    Attributes
    ----------
    connections : int
        Number of connections; each has one outstanding statement.
    seconds : float
        Duration of the timed part.
    warm_up_s : float
        Duration of the warm-up before the timed part.
    write_every : int
        Number of statements of a connection per write; 0 for reads only.
    """

    connections: int
    seconds: float
    warm_up_s: float = 0.5
    write_every: int = 0


@attrs.define
class Outcome:
    """Results of a load.

    Attributes
    ----------
    statements : int
        Statements answered in the timed part.
    seconds : float
        Length of the timed part.
    errors : int
        Number of error answers in the timed part.
    latencies_s : list of float
        Latency of each statement in the timed part.
    """

    statements: int = 0
    seconds: float = 0.0
    errors: int = 0
    latencies_s: list = attrs.field(factory=list, repr=False)


@attrs.define(eq=False)
class _Channel:
    socket: object
    count: int = 0
    sent_at: float = 0.0
    answer: bytes = b""

    def send(self, write_every):
        """Send the next statement."""
        self.count += 1
        is_write = write_every and self.count % write_every == 0
        self.sent_at = time.monotonic()
        self.socket.send(WRITE if is_write else READ)


def drive(target, load, wait_for_start):
    """Run the load against a target.

    Parameters
    ----------
    target : Target
        Program under load.
    load : Load
        Load to generate.
    wait_for_start : callable
        Called when all connections are open; returns when the load may start.

    Returns
    -------
    Outcome
        Results of the timed part.
    """
    channels = [_open(target, number) for number in range(load.connections)]
    wait_for_start()
    selector = selectors.DefaultSelector()
    for channel in channels:
        selector.register(channel.socket, selectors.EVENT_READ, channel)
        channel.send(load.write_every)
    start = time.monotonic() + load.warm_up_s
    end = start + load.seconds
    outcome = Outcome(seconds=load.seconds)
    while time.monotonic() < end:
        for key, _ in selector.select(0.1):
            _receive(key.data, load, start, outcome)
    for channel in channels:
        channel.socket.close()
    selector.close()
    return outcome


def _open(target, number):
    connection = _wire.connect(*attrs.astuple(target))
    return _Channel(connection, count=number)


def _receive(channel, load, start, outcome):
    data = channel.socket.recv(_wire.RECEIVE_BYTES)
    if not data:
        raise ConnectionError("target closed a connection under load")
    channel.answer += data
    if not channel.answer.endswith(_wire.READY_IDLE):
        return
    now = time.monotonic()
    if channel.sent_at >= start:
        outcome.statements += 1
        outcome.latencies_s.append(now - channel.sent_at)
        outcome.errors += channel.answer[:1] == b"E"
    channel.answer = b""
    channel.send(load.write_every)
