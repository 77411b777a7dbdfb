"""HTTP interface through which operators manage resources."""

import hashlib
import hmac
import json

from twisted.internet import defer
from twisted.web import resource, server

from pomelograde.core import resources
from pomelograde.net import (
    _resource_views,
    _resource_writes,
    _watches,
    configuration,
    events,
    exposition,
    timers,
)

MAX_BODY_BYTES = 1_048_576
IDLE_TIMEOUT_S = 60.0
READ_ONLY_KINDS = ("events", "instances", "limits", "upstreams")
WWW_AUTHENTICATE = 'Bearer realm="pomelograde"'


class OperatorRequest(server.Request):
    """A request whose body size is checked while the body is received."""

    refused = False
    body_bytes = 0

    def gotLength(self, length):  # noqa: N802
        """Refuse a request whose announced body is too long."""
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse()
        super().gotLength(0 if self.refused else length)

    def handleContentChunk(self, data):  # noqa: N802
        """Receive a part of the body."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES and not self.refused:
            self._refuse()
        if not self.refused:
            super().handleContentChunk(data)

    def requestReceived(self, command, path, version):  # noqa: N802
        """Process the request, unless it was refused."""
        if not self.refused:
            super().requestReceived(command, path, version)

    def _refuse(self):
        self.refused = True
        body = json.dumps({"message": f"body exceeds {MAX_BODY_BYTES} bytes"})
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
            b"Content-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body.encode("ascii"))
        )
        self.channel.loseConnection()


class OperatorResource(resource.Resource):
    """``/v1/KIND[/NAME]``: list, get, put, delete and watch resources.

    Parameters
    ----------
    context : InstanceContext
        Context shared by all tasks of the daemon.
    gateway : Gateway
        Owner of the groups and sessions.
    configuration_task : ConfigurationTask
        Owner of the configuration in force.
    on_drain : callable
        Starts a graceful shutdown.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, context, gateway, configuration_task, on_drain):
        super().__init__()
        self.context = context
        self.gateway = gateway
        self.configuration = configuration_task
        self.on_drain = on_drain
        self.writer = _resource_writes.ResourceWriter(context, configuration_task)

    def render(self, request):
        """Answer a request of any method."""
        operator = self._authenticate(request)
        if operator is None:
            self.context.log.write(events.Event.OPERATOR_REFUSED)
            request.setHeader("www-authenticate", WWW_AUTHENTICATE)
            self._finish(request, 401, {"message": "operator token not accepted"})
            return server.NOT_DONE_YET
        handled = defer.ensureDeferred(self._handle(request, operator))
        handled.addErrback(self._on_failure, request)
        return server.NOT_DONE_YET

    def _authenticate(self, request):
        header = request.getHeader("authorization") or ""
        token = header.removeprefix("Bearer ").strip().encode("utf-8")
        digest = hashlib.sha256(token).hexdigest()
        for operator in self.context.settings.operators:
            if hmac.compare_digest(digest, operator.token_sha256.lower()):
                return operator
        return None

    async def _handle(self, request, operator):
        try:
            path = [part.decode("utf-8") for part in request.postpath if part]
        except UnicodeDecodeError:
            path = []
        if path[:1] != ["v1"] or len(path) < 2:
            self._finish(request, 404, {"message": "unknown path"})
            return
        _, kind, *rest = path
        if kind in resources.KINDS and len(rest) <= 1:
            await self._handle_resource(request, kind, rest, operator)
        elif kind in READ_ONLY_KINDS and not rest:
            self._handle_read_only(request, kind)
        else:
            self._handle_other(request, kind, rest, operator)

    async def _handle_resource(self, request, kind, rest, operator):
        method = request.method
        if method == b"GET" and rest:
            self._get(request, kind, rest[0])
        elif method == b"GET" and _query_argument(request, "watch") == "true":
            self._watch(request, kind)
        elif method == b"GET":
            self._list(request, kind)
        elif method in (b"PUT", b"DELETE") and rest:
            response = await self._write(request, kind, rest[0], operator)
            self._finish(request, response.status, response.body)
        else:
            self._finish(request, 405, {"message": "GET, PUT or DELETE"})

    async def _write(self, request, kind, name, operator):
        if self.gateway.draining:
            message = "not accepted: the instance is stopping"
            return _resource_writes.Response(503, {"message": message})
        if request.method == b"PUT":
            content = request.content.read()
            return await self.writer.put(kind, name, content, operator)
        expected = _parse_number(_query_argument(request, "resourceVersion"))
        if expected is not None and expected < 0:
            message = "must be a whole number, 0 or more @ $.resourceVersion"
            return _resource_writes.Response(422, {"message": message})
        change_id = _query_argument(request, "changeId")
        return await self.writer.delete(kind, name, expected, change_id, operator)

    def _list(self, request, kind):
        revisions = self.configuration.propagation.revisions()
        found = self.configuration.current.of_kind(kind).values()
        items = [_resource_views.describe(item, revisions) for item in found]
        revision = self.configuration.current.revision
        self._finish(request, 200, {"resourceVersion": revision, "items": items})

    def _get(self, request, kind, name):
        found = self.configuration.current.resources.get((kind, name))
        if found is None:
            self._finish(request, 404, {"message": f"{kind}/{name} does not exist"})
            return
        revisions = self.configuration.propagation.revisions()
        self._finish(request, 200, _resource_views.describe(found, revisions))

    def _watch(self, request, kind):
        revision = _parse_number(_query_argument(request, "resourceVersion") or "0")
        if revision is None or revision < 0:
            message = "must be a whole number, 0 or more @ $.resourceVersion"
            self._finish(request, 422, {"message": message})
            return
        if kind == "events":
            started = _watches.watch_events(self.context.events, request, revision)
        else:
            watch = _watches.ResourceWatch(
                self.context, self.configuration, kind, request
            )
            started = watch.start(revision)
        if not started:
            message = "resourceVersion is too old; list again"
            self._finish(request, 410, {"message": message})

    def _handle_read_only(self, request, kind):
        if request.method != b"GET":
            self._finish(request, 405, {"message": f"{kind} are read-only"})
            return
        if kind == "events" and _query_argument(request, "watch") == "true":
            self._watch(request, kind)
            return
        items = self._read_only_items(kind)
        revision = self.configuration.current.revision
        if kind == "events" and items:
            revision = items[-1]["resourceVersion"]
        self._finish(request, 200, {"resourceVersion": revision, "items": items})

    def _read_only_items(self, kind):
        if kind == "events":
            entries = self.context.events.entries
            return [_resource_views.describe_event(entry) for entry in entries]
        if kind == "instances":
            revisions = self.configuration.propagation.revisions()
            return _resource_views.list_instances(self.context, revisions)
        if kind == "limits":
            return _resource_views.list_limits(self.gateway)
        return _resource_views.list_upstreams(self.gateway)

    def _handle_other(self, request, kind, rest, operator):
        if kind == "status" and not rest and request.method == b"GET":
            self._finish(request, 200, self._status())
        elif kind == "explain" and rest and request.method == b"GET":
            self._finish(request, 200, self._explain("/".join(rest)))
        elif kind == "drain" and not rest and request.method == b"POST":
            self.context.log.write(events.Event.OPERATOR_DRAIN, operator=operator.name)
            self._finish(request, 202, {"message": "graceful shutdown begins"})
            self.on_drain()
        else:
            kinds = ", ".join([*configuration.kind_names(), *READ_ONLY_KINDS])
            message = f"kinds: {kinds}; also status, explain/ACCOUNT and drain"
            self._finish(request, 404, {"message": message})

    def _explain(self, account):
        spec = self.configuration.current.get("accounts", account)
        return {
            "instance": self.context.settings.instance,
            "exists": spec is not None,
            "limits": self.gateway.admission.describe().get(account),
            **self.context.decisions.describe(account),
        }

    def _status(self):
        now = self.context.now()
        age_s = min(self.configuration.freshness.age(now), 1e9)
        return {
            "instance": self.context.settings.instance,
            "data_centre": self.context.settings.data_centre,
            "revision": self.configuration.current.revision,
            "configuration": {
                "confirmed_age_s": round(age_s, 3),
                "current": self.configuration.is_fresh(now),
                "platform_available": self.configuration.platform_available,
            },
            "groups": {
                name: {"term": group.view.term, "primary": group.view.primary}
                for name, group in self.gateway.groups.items()
            },
            "instances": {
                found.name: {
                    "data_centre": found.data_centre,
                    "incarnation": found.incarnation,
                    "leaving": found.leaving,
                }
                for found in self.context.members.instances.values()
            },
            "metrics": exposition.summarize(self.context.metrics),
        }

    def _finish(self, request, status, value):
        """Send a JSON response, unless the operator has disconnected."""
        metrics = self.context.metrics
        metrics.count(metrics.operator_answers, str(status))
        if request.channel is None:
            return
        request.setResponseCode(status)
        request.setHeader("content-type", "application/json")
        request.write(json.dumps(value).encode("utf-8"))
        request.finish()

    def _on_failure(self, reason, request):
        self.context.log.write(
            events.Event.INTERNAL_FAULT,
            where="operator request",
            error=reason.type.__name__,
            place=timers.format_location(reason),
        )
        self._finish(request, 500, {"message": "internal error"})


def make_site(operator_site):
    """Return the HTTP factory of the operators' interface."""
    site = server.Site(
        operator_site, requestFactory=OperatorRequest, timeout=IDLE_TIMEOUT_S
    )
    site.noisy = False
    return site


def _query_argument(request, name):
    values = request.args.get(name.encode("ascii"), [b""])
    return values[-1].decode("utf-8", "replace")


def _parse_number(text):
    """Return the number in a text, None if it is empty, -1 if it is malformed."""
    if not text:
        return None
    return int(text) if text.isascii() and text.isdigit() else -1
