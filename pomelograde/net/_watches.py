"""Streams of changes to operators, as lines of JSON."""

import json

from twisted.internet import interfaces
from zope import interface

from pomelograde.net import _resource_views, timers

BOOKMARK_INTERVAL_S = 5.0
MAX_PENDING_LINES = 10_000


@interface.implementer(interfaces.IPushProducer)
class Stream:
    """Lines to one operator; a reader that falls far behind is cut off.

    Parameters
    ----------
    request : twisted.web.server.Request
        Request that is answered by the stream.
    on_closed : callable
        Called once when the stream has ended.
    """

    def __init__(self, request, on_closed):
        self.request = request
        self.on_closed = on_closed
        self.pending = []
        self.paused = False
        self.closed = False
        request.setHeader("content-type", "application/jsonlines")
        request.registerProducer(self, True)
        request.notifyFinish().addBoth(lambda _: self._on_finished())

    def send(self, value):
        """Send one JSON value as a line."""
        if self.closed:
            return
        self.pending.append(json.dumps(value).encode("utf-8") + b"\n")
        if len(self.pending) > MAX_PENDING_LINES:
            self.request.loseConnection()
        elif not self.paused:
            self._flush()

    def pauseProducing(self):  # noqa: N802
        """Keep lines until the reader has caught up."""
        self.paused = True

    def resumeProducing(self):  # noqa: N802
        """Send the lines that were kept."""
        self.paused = False
        self._flush()

    def stopProducing(self):  # noqa: N802
        """Take the end of the connection."""
        self._on_finished()

    def close(self):
        """End the stream."""
        if not self.closed:
            self.request.unregisterProducer()
            self.request.finish()
            self._on_finished()

    def _flush(self):
        lines, self.pending = self.pending, []
        if lines:
            self.request.write(b"".join(lines))

    def _on_finished(self):
        if not self.closed:
            self.closed = True
            self.on_closed()


class ResourceWatch:
    """Sends the changes of one kind after a revision.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    configuration : ConfigurationTask
        Configuration in force.
    kind : str
        Kind of resources.
    request : twisted.web.server.Request
        Request that is answered by the stream.
    """

    def __init__(self, context, configuration, kind, request):
        self.context = context
        self.configuration = configuration
        self.kind = kind
        self.request = request
        self.position = 0
        self.stream = None
        self.loop = None

    def start(self, revision):
        """Begin after a revision; returns False where that is too old."""
        batch = self.configuration.log.changes_since(revision)
        if batch.is_err():
            return False
        self.position = revision
        self.stream = Stream(self.request, self._on_closed)
        kind = "ADDED" if revision == 0 else "MODIFIED"
        for change in batch.ok_value.changes:
            if revision or change.spec is not None:
                self._send_change(change, kind)
        self.configuration.listeners.append(self._on_changed)
        self.configuration.in_force_listeners.append(self._on_in_force)
        self.loop = timers.start_loop(self.context, BOOKMARK_INTERVAL_S, self._bookmark)
        return True

    def _on_changed(self, changed):
        for change in changed.changes:
            if change.revision > self.position:
                known = (change.kind, change.name) in changed.old.resources
                self._send_change(change, "MODIFIED" if known else "ADDED")
        self.position = max(self.position, changed.new.revision)

    def _on_in_force(self, change):
        if change.spec is not None:
            self._send_change(change, "MODIFIED")

    def _send_change(self, change, kind):
        if change.kind != self.kind:
            return
        kind = "DELETED" if change.spec is None else kind
        revisions = self.configuration.propagation.revisions()
        described = _resource_views.describe(change, revisions)
        self.stream.send({"type": kind, "object": described})

    def _bookmark(self):
        revision = max(self.position, self.configuration.current.revision)
        self.stream.send({"type": "BOOKMARK", "resourceVersion": revision})

    def _on_closed(self):
        self.configuration.listeners.remove(self._on_changed)
        self.configuration.in_force_listeners.remove(self._on_in_force)
        if self.loop is not None and self.loop.running:
            self.loop.stop()


def watch_events(record, request, number):
    """Send the recorded events after a number; returns False if some are lost."""
    entries = record.after(number)
    if entries is None:
        return False

    def send(entry):
        described = _resource_views.describe_event(entry)
        stream.send({"type": "ADDED", "object": described})

    stream = Stream(request, lambda: record.listeners.remove(send))
    record.listeners.append(send)
    for entry in entries:
        send(entry)
    return True
