"""Rate-limited, non-blocking JSON log on standard output."""

import json
import os

from pomelograde.net import events

MAX_LINES_PER_S = 400  # about three lines per statement in a busy second
STDOUT_FD = 1


class JsonLog(events.Log):
    """Writes one line of JSON for each event.

    Parameters
    ----------
    instance : str
        Name of this instance.
    clock : callable
        Returns seconds since the epoch.
    write : callable
        Writes the bytes of a line; raises BlockingIOError if the output is
        full. Writes to standard output by default.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the last one that was written.

    Notes
    -----
    Lines beyond `MAX_LINES_PER_S` and lines that don't fit into the output
    are dropped. The next line that is written has their number in its field
    ``dropped``.
    """

    def __init__(self, instance, clock, write=None):
        super().__init__(instance)
        self.clock = clock
        self.write_line = write or _write_to_stdout
        self.current_second = 0
        self.lines_in_second = 0
        self.dropped = 0

    def write(self, event, **fields):
        """Log an event."""
        now = self.clock()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_in_second = 0
        self.lines_in_second += 1
        if self.lines_in_second > MAX_LINES_PER_S:
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


def _write_to_stdout(line):
    os.write(STDOUT_FD, line)


def make_standard_output_non_blocking():
    """Make writes to standard output fail instead of block when it is full."""
    os.set_blocking(STDOUT_FD, False)
