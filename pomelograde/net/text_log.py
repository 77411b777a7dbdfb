"""Event log that writes through absl."""

import json
import time

from absl import logging

from pomelograde.net import events, records

VERBOSITIES = {
    events.Level.DEBUG: logging.DEBUG,
    events.Level.INFO: logging.INFO,
    events.Level.WARNING: logging.WARNING,
    events.Level.ERROR: logging.ERROR,
}


class TextLog(events.Log):
    """Writes events through absl.

    Parameters
    ----------
    instance : str
        Name of this instance.
    as_json : bool
        Whether to write each event as one line of JSON.
    buffer : EventBuffer or None
        Buffer of the last events, for operators.
    """

    def __init__(self, instance, as_json=False, buffer=None):
        super().__init__(instance)
        self.as_json = as_json
        self.buffer = buffer

    def write(self, event, **fields):
        """Log an event, unless it is below the level in force."""
        level = events.LEVELS.get(event, events.Level.INFO)
        if level is not events.Level.DEBUG and self.buffer is not None:
            self.buffer.add(event, fields)
        if level is events.Level.DEBUG and not logging.level_debug():
            return
        if self.as_json:
            record = {
                "time": records.format_time(time.time()),
                "level": level.value,
                "event": event.value,
                "name": event.name,
                "instance": self.instance,
            }
            record.update(fields)
            logging.log(VERBOSITIES[level], "%s", json.dumps(record, default=str))
            return
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        logging.log(VERBOSITIES[level], "%d %s %s", event.value, event.name, text)
