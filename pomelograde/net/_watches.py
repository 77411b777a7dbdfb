"""Streams of changes to operators, in the JSON Lines format."""

import json

from twisted.internet import interfaces
from zope import interface

from pomelograde.net import _resource_views, timers

BOOKMARK_INTERVAL_S = 5.0
MAX_PENDING_LINES = 10_000


@interface.implementer(interfaces.IPushProducer)
class Stream:
    """A response of JSON lines to one operator.

    Parameters
    ----------
    request : twisted.web.server.Request
        Request that is answered by the stream.
    on_closed : callable
        Called once when the stream has ended.

    Notes
    -----
    Lines are buffered while the reader is slow. The connection of a reader
    that falls more than `MAX_PENDING_LINES` behind is closed.
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
        """Buffer lines until the reader has caught up."""
        self.paused = True

    def resumeProducing(self):  # noqa: N802
        """Send the buffered lines."""
        self.paused = False
        self._flush()

    def stopProducing(self):  # noqa: N802
        """Handle the end of the connection."""
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
    """Streams the changes of resources of one kind after a revision.

    Parameters
    ----------
    context : InstanceContext
        Context shared by all tasks of the daemon.
    configuration : ConfigurationTask
        Owner of the configuration in force.
    kind : str
        Kind of the resources.
    request : twisted.web.server.Request
        Request that is answered by the stream.
    """

    def __init__(self, context, configuration, kind, request):
        self.context = context
        self.configuration = configuration
        self.kind = kind
        self.request = request
        self.sent_revision = 0
        self.stream = None
        self.bookmark_loop = None

    def start(self, revision):
        """Start after a revision; returns False if it is below the horizon.

        Revision 0 streams all resources first, as added.
        """
        batch = self.configuration.log.changes_since(revision)
        if batch.is_err():
            return False
        self.sent_revision = revision
        self.stream = Stream(self.request, self._on_closed)
        event_type = "ADDED" if revision == 0 else "MODIFIED"
        for change in batch.ok_value.changes:
            if revision or change.spec is not None:
                self._send_change(change, event_type)
        self.configuration.listeners.append(self._on_changed)
        self.configuration.in_force_listeners.append(self._on_in_force)
        self.bookmark_loop = timers.start_loop(
            self.context, BOOKMARK_INTERVAL_S, self._send_bookmark
        )
        return True

    def _on_changed(self, changed):
        for change in changed.changes:
            if change.revision > self.sent_revision:
                known = (change.kind, change.name) in changed.old.resources
                self._send_change(change, "MODIFIED" if known else "ADDED")
        self.sent_revision = max(self.sent_revision, changed.new.revision)

    def _on_in_force(self, change):
        if change.spec is not None:
            self._send_change(change, "MODIFIED")

    def _send_change(self, change, event_type):
        if change.kind != self.kind:
            return
        event_type = "DELETED" if change.spec is None else event_type
        revisions = self.configuration.propagation.revisions()
        described = _resource_views.describe(change, revisions)
        self.stream.send({"type": event_type, "object": described})

    def _send_bookmark(self):
        revision = max(self.sent_revision, self.configuration.current.revision)
        self.stream.send({"type": "BOOKMARK", "resourceVersion": revision})

    def _on_closed(self):
        self.configuration.listeners.remove(self._on_changed)
        self.configuration.in_force_listeners.remove(self._on_in_force)
        if self.bookmark_loop is not None and self.bookmark_loop.running:
            self.bookmark_loop.stop()


def watch_events(buffer, request, number):
    """Stream the events after a number; returns False if some were evicted."""
    entries = buffer.after(number)
    if entries is None:
        return False

    def send(entry):
        described = _resource_views.describe_event(entry)
        stream.send({"type": "ADDED", "object": described})

    stream = Stream(request, lambda: buffer.listeners.remove(send))
    buffer.listeners.append(send)
    for entry in entries:
        send(entry)
    return True
