"""Operator requests that create, replace or delete a resource."""

import functools
import json

import attrs
import result

from pomelograde.core import accounts, resources
from pomelograde.net import _resource_views, configuration, events

SALT_BYTES = 16
BODY_FIELDS = frozenset(
    {"kind", "name", "spec", "resourceVersion", "changeId", "rotate", "status"}
)


@attrs.frozen
class Response:
    """Status and JSON body of a response.

    Attributes
    ----------
    status : int
        HTTP status.
    body : object
        JSON value.
    """

    status: int
    body: object = attrs.field(repr=False)


@attrs.frozen
class WriteRequest:
    """A checked request to write or delete one resource.

    Attributes
    ----------
    kind, name : str
        Kind and name of the resource.
    spec : object or None
        Checked spec; None deletes the resource.
    expected : int or None
        Revision that the resource must have; 0 if it must not exist, None to
        accept any.
    change_id : str
        Id that makes the request idempotent; may be empty.
    issued_key : str
        New key in plain text, or empty if none was issued.
    """

    kind: str
    name: str
    spec: object = attrs.field(repr=False)
    expected: int | None = None
    change_id: str = ""
    issued_key: str = attrs.field(default="", repr=False)


class ResourceWriter:
    """Executes the write requests of operators.

    Parameters
    ----------
    context : InstanceContext
        Context shared by all tasks of the daemon.
    configuration_task : ConfigurationTask
        Commits changes.
    """

    def __init__(self, context, configuration_task):
        self.context = context
        self.configuration = configuration_task

    async def put(self, kind, name, content, operator):
        """Create or replace a resource; returns a `Response`."""
        parsed = self._parse(kind, name, content)
        if parsed.is_err():
            return parsed.err_value
        return await self._execute(parsed.ok_value, operator)

    async def delete(self, kind, name, expected, change_id, operator):
        """Delete a resource; returns a `Response`."""
        if self.configuration.current.get(kind, name) is None and not change_id:
            return Response(404, {"message": f"{kind}/{name} does not exist"})
        request = WriteRequest(kind, name, None, expected, change_id)
        return await self._execute(request, operator)

    def _parse(self, kind, name, content):
        try:
            body = json.loads(content)
        except ValueError:
            return result.Err(Response(400, {"message": "$: not JSON"}))
        faults = _check_body(body)
        if faults:
            return result.Err(Response(422, {"message": "; ".join(faults)}))
        spec, issued_key = body["spec"], ""
        if kind == "keys" and isinstance(spec, dict):
            spec, issued_key = self._complete_key_spec(
                name, spec, body.get("rotate", False)
            )
        checked = resources.validate(kind, spec)
        if checked.is_err():
            message = "; ".join(_prefix_spec(fault) for fault in checked.err_value)
            return result.Err(Response(422, {"message": message}))
        return result.Ok(
            WriteRequest(
                kind,
                name,
                checked.ok_value,
                body.get("resourceVersion"),
                body.get("changeId", ""),
                issued_key,
            )
        )

    def _complete_key_spec(self, name, spec, rotate):
        """Return a key's spec with a verifier, and the new key in plain text.

        A given verifier is kept, and so is that of an existing key which is
        not rotated. No key is issued then.
        """
        known = self.configuration.current.get("keys", name)
        if "verifier" in spec:
            return spec, ""
        if known is not None and not rotate:
            verifier = resources.dump(known.verifier)
            return {"withdrawn": known.withdrawn, **spec, "verifier": verifier}, ""
        random_bytes = self.context.random.randbytes
        key = accounts.make_key(random_bytes)
        verifier = accounts.make_verifier(key, random_bytes(SALT_BYTES))
        return {**spec, "verifier": resources.dump(verifier)}, key

    async def _execute(self, request, operator):
        outcome = await self.configuration.write(
            request.kind,
            request.name,
            request.spec,
            request.expected,
            request.change_id,
            operator.name,
        )
        if outcome.is_err():
            revisions = self.configuration.propagation.revisions()
            return _error_response(outcome.err_value, revisions)
        accepted = outcome.ok_value
        self.context.log.write(
            events.Event.OPERATOR_CHANGE,
            operator=operator.name,
            resource=f"{request.kind}/{request.name}",
            revision=accepted.revision,
        )
        revisions = self.configuration.propagation.revisions()
        body = _resource_views.describe(accepted, revisions)
        if request.issued_key and accepted.spec == request.spec:
            body["key"] = request.issued_key
        return Response(200, body)


def _check_body(body):
    if not isinstance(body, dict):
        return ["expected an object @ $"]
    faults = []
    unknown = sorted(set(body) - BODY_FIELDS)
    if unknown:
        allowed = ", ".join(sorted(BODY_FIELDS))
        faults.append(f"unknown field {', '.join(unknown)}; allowed: {allowed} @ $")
    if "spec" not in body:
        faults.append("required field is missing @ $.spec")
    version = body.get("resourceVersion")
    if version is not None and (
        not isinstance(version, int) or isinstance(version, bool) or version < 0
    ):
        faults.append("must be a whole number, 0 or more @ $.resourceVersion")
    if not isinstance(body.get("changeId", ""), str):
        faults.append("must be a string @ $.changeId")
    if not isinstance(body.get("rotate", False), bool):
        faults.append("must be true or false @ $.rotate")
    return faults


def _prefix_spec(fault):
    """Return a fault of a spec with its path relative to the request body."""
    message, separator, path = fault.rpartition("$")
    return f"{message}$.spec{path}" if separator else fault


@functools.singledispatch
def _error_response(fault, revisions):
    raise TypeError(f"unknown fault {fault!r}")


@_error_response.register
def _(fault: configuration.RevisionConflict, revisions):
    current = fault.current
    shown = None if current is None else _resource_views.describe(current, revisions)
    message = "conflict: the resource has another resourceVersion"
    return Response(409, {"message": message, "current": shown})


@_error_response.register
def _(fault: configuration.InvalidReference, revisions):
    return Response(422, {"message": "; ".join(fault.faults)})


@_error_response.register
def _(fault: configuration.OutcomeUnknown, revisions):
    message = (
        f"outcome unknown: the platform did not answer ({fault.reason}); "
        "repeat the request with this changeId"
    )
    return Response(503, {"message": message, "changeId": fault.change_id})


@_error_response.register
def _(fault: configuration.NotAccepted, revisions):
    message = f"not accepted: the platform is unavailable ({fault.reason})"
    return Response(503, {"message": message})
