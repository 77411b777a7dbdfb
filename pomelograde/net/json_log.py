"""Structured log lines on standard output, bounded and without waiting."""

import json
import os

from pomelograde.net import events

MAX_LINES_PER_S = 400  # about three for each statement of a busy second
STANDARD_OUTPUT = 1


class JsonLog(events.Log):
    """Writes one line of JSON for each event.

    Parameters
    ----------
    instance : str
        Name of this instance.
    clock : callable
        Returns seconds since the epoch.
    write : callable
        Takes the bytes of a line; raises BlockingIOError if there is no room.

    Attributes
    ----------
    dropped : int
        Lines left out since the last one that was written.

    Notes
    -----
    Lines beyond the rate, and lines that the reader of standard output does
    not take in time, are left out; the next line says how many.
    """

    def __init__(self, instance, clock, write=None):
        super().__init__(instance, as_json=True)
        self.clock = clock
        self.write_line = write or _write
        self.second = 0
        self.lines = 0
        self.dropped = 0

    def write(self, event, **fields):
        """Log an event."""
        now = self.clock()
        if int(now) != self.second:
            self.second = int(now)
            self.lines = 0
        self.lines += 1
        if self.lines > MAX_LINES_PER_S:
            self.dropped += 1
            return
        record = {
            "time": round(now, 3),
            "event": event.value,
            "name": event.name,
            "instance": self.instance,
            **fields,
        }
        if self.dropped:
            record["dropped"] = self.dropped
        line = json.dumps(record, default=str, separators=(",", ":"))
        try:
            self.write_line(line.encode() + b"\n")
        except BlockingIOError:
            self.dropped += 1
            return
        self.dropped = 0


def _write(line):
    os.write(STANDARD_OUTPUT, line)


def make_standard_output_non_blocking():
    """Let writes to standard output fail instead of wait."""
    os.set_blocking(STANDARD_OUTPUT, False)
