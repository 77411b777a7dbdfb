"""Logs rows and messages of other writers that can't be used."""

INTERVAL_S = 60.0
MAX_PER_INTERVAL = 20
MAX_TEXT_CHARACTERS = 200


class RejectionLog:
    """Writes one event for each rejected item, at a bounded rate.

    Parameters
    ----------
    context : InstanceContext or HostedContext
        State and services shared by all tasks of the daemon.
    event : Event
        Event to log.

    Attributes
    ----------
    logged : set of tuple
        Items logged since `started_at`, of which none is logged twice.
    started_at : float
        Monotonic time since which events are counted.
    omitted : int
        Number of events that were not written since the last one.
    """

    def __init__(self, context, event):
        self.context = context
        self.event = event
        self.logged = set()
        self.started_at = float("-inf")
        self.omitted = 0

    def write(self, reason, **names):
        """Log an item.

        Parameters
        ----------
        reason : str
            Why it is rejected.
        **names : object
            What identifies it; may be of any content.
        """
        now = self.context.now()
        if now - self.started_at >= INTERVAL_S:
            self.started_at = now
            self.logged.clear()
        names = {name: _shorten(found) for name, found in names.items()}
        item = (*names.values(), reason)
        if item in self.logged or len(self.logged) >= MAX_PER_INTERVAL:
            self.omitted += 1
            return
        self.logged.add(item)
        omitted, self.omitted = self.omitted, 0
        self.context.log.write(
            self.event, **names, reason=_shorten(reason), omitted=omitted
        )


def _shorten(value):
    """Return a value as text of printable characters."""
    text = value if isinstance(value, str) else repr(value)
    text = text[:MAX_TEXT_CHARACTERS]
    return text if text.isprintable() else ascii(text)
