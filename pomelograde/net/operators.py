"""The operators' resource interface over HTTP, and the metrics address."""

import hashlib
import hmac
import json

from twisted.internet import defer
from twisted.web import resource, server

from pomelograde.core import resources
from pomelograde.net import configuration, events

MAX_BODY_BYTES = 1_048_576


class OperatorSite(resource.Resource):
    """``/v1/KIND[/NAME]``: list, get, put and delete resources.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    gateway : Gateway
        Groups and sessions.
    configuration_task : ConfigurationTask
        Configuration in force.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, context, gateway, configuration_task):
        super().__init__()
        self.context = context
        self.gateway = gateway
        self.configuration = configuration_task

    def render(self, request):
        """Answer any request."""
        operator = self._authenticate(request)
        if operator is None:
            self.context.log.write(events.Event.OPERATOR_REFUSED)
            return _answer(request, 401, {"message": "operator token not accepted"})
        handled = defer.ensureDeferred(self._handle(request, operator))
        handled.addErrback(lambda reason: _fail(request, reason))
        return server.NOT_DONE_YET

    def _authenticate(self, request):
        header = request.getHeader("authorization") or ""
        token = header.removeprefix("Bearer ").strip().encode("utf-8")
        digest = hashlib.sha256(token).hexdigest()
        for operator in self.context.settings.operators:
            if hmac.compare_digest(digest, operator.token_sha256):
                return operator
        return None

    async def _handle(self, request, operator):
        path = [part.decode("utf-8") for part in request.postpath if part]
        method = request.method.decode("ascii")
        if path[:1] != ["v1"]:
            return _finish(request, 404, {"message": "unknown path"})
        if path == ["v1", "status"]:
            return _finish(request, 200, self._status())
        kind = path[1] if len(path) > 1 else ""
        if kind not in resources.KINDS or len(path) > 3:
            kinds = ", ".join(configuration.kind_names())
            return _finish(request, 404, {"message": f"kinds: {kinds}"})
        if len(path) == 2:
            return self._list(request, kind)
        name = path[2]
        if method == "GET":
            return self._get(request, kind, name)
        if method == "PUT":
            return await self._put(request, kind, name, operator)
        if method == "DELETE":
            return await self._write(request, kind, name, None, None, operator)
        return _finish(request, 405, {"message": "GET, PUT or DELETE"})

    def _list(self, request, kind):
        found = self.configuration.current.of_kind(kind).values()
        items = [_dump(item) for item in found]
        revision = self.configuration.current.revision
        _finish(request, 200, {"resourceVersion": revision, "items": items})

    def _get(self, request, kind, name):
        found = self.configuration.current.resources.get((kind, name))
        if found is None:
            _finish(request, 404, {"message": f"{kind}/{name} does not exist"})
            return
        _finish(request, 200, _dump(found))

    async def _put(self, request, kind, name, operator):
        try:
            body = json.loads(request.content.read(MAX_BODY_BYTES + 1))
        except ValueError as error:
            _finish(request, 400, {"message": f"not JSON: {error}"})
            return
        if not isinstance(body, dict) or "spec" not in body:
            _finish(request, 400, {"message": "$.spec: required field is missing"})
            return
        checked = resources.validate(kind, body["spec"])
        if checked.is_err():
            _finish(request, 422, {"message": "; ".join(checked.err_value)})
            return
        expected = body.get("resourceVersion")
        await self._write(request, kind, name, checked.ok_value, expected, operator)

    async def _write(self, request, kind, name, spec, expected, operator):
        outcome = await self.configuration.write(kind, name, spec, expected)
        if outcome.is_ok():
            self.context.log.write(
                events.Event.OPERATOR_CHANGE,
                operator=operator.name,
                resource=f"{kind}/{name}",
                revision=outcome.ok_value.revision,
            )
            _finish(request, 200, _dump(outcome.ok_value))
            return
        fault = outcome.err_value
        if isinstance(fault, configuration.RevisionConflict):
            current = None if fault.current is None else _dump(fault.current)
            _finish(request, 409, {"message": "conflict", "current": current})
            return
        if isinstance(fault, configuration.InvalidReference):
            _finish(request, 422, {"message": "; ".join(fault.faults)})
            return
        if isinstance(fault, configuration.OutcomeUnknown):
            message = f"outcome unknown: the platform did not answer ({fault.reason})"
            body = {"message": message, "changeId": fault.change_id}
            _finish(request, 503, body)
            return
        message = f"not accepted: the platform is unavailable ({fault.reason})"
        _finish(request, 503, {"message": message})

    def _status(self):
        return {
            "instance": self.context.settings.instance,
            "data_centre": self.context.settings.data_centre,
            "revision": self.configuration.current.revision,
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
            "metrics": self.context.metrics.summarize(),
        }


class MetricsSite(resource.Resource):
    """``/metrics`` in the usual text exposition format."""

    isLeaf = True  # noqa: N815

    def __init__(self, metrics):
        super().__init__()
        self.metrics = metrics

    def render_GET(self, request):  # noqa: N802
        """Answer with all figures."""
        request.setHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
        return self.metrics.expose()


def _dump(found):
    spec = None if found.spec is None else resources.dump(found.spec)
    if found.kind == "keys" and spec is not None:
        del spec["verifier"]
    return {
        "kind": found.kind,
        "name": found.name,
        "resourceVersion": found.revision,
        "spec": spec,
    }


def _answer(request, status, value):
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return json.dumps(value).encode("utf-8")


def _finish(request, status, value):
    request.write(_answer(request, status, value))
    request.finish()


def _fail(request, reason):
    _finish(request, 500, {"message": reason.type.__name__})
    return reason
