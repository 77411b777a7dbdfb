"""Stand-in for the platform: table service, object store and instance list."""

import attrs
from twisted.internet import task
from twisted.web import resource, server

from pomelograde.standins import http


@attrs.define
class PlatformFaults:
    """Faults that tests inject into the platform.

    Attributes
    ----------
    outage : bool
        Whether every request is answered with status 503.
    silent : bool
        Whether requests stay open without an answer.
    slow_s : float
        Delay before each answer.
    lose_answers : int
        Number of further commits that are applied but not answered.
    """

    outage: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


@attrs.define
class Platform:
    """Contents of the platform's services.

    Attributes
    ----------
    version : int
        Number of the last commit.
    rows : dict of str to (object, int)
        Value and version by key; a deleted row keeps the value None.
    objects : dict of str to object
        Contents of the object store by name.
    instances : list of dict
        Entries of the instance list.
    faults : PlatformFaults
        Faults in force.
    requests : dict of str to int
        Number of reads and commits handled, including refused commits.
    """

    version: int = 0
    rows: dict = attrs.field(factory=dict)
    objects: dict = attrs.field(factory=dict)
    instances: list = attrs.field(factory=list)
    faults: PlatformFaults = attrs.field(factory=PlatformFaults)
    requests: dict = attrs.field(factory=lambda: {"reads": 0, "commits": 0})

    def commit(self, conditions, writes):
        """Write rows if all conditions hold and return status and answer."""
        self.requests["commits"] += 1
        all_match = all(
            self._version(condition["key"]) == condition["version"]
            for condition in conditions
        )
        if not all_match:
            rows = [self._format_row(condition["key"]) for condition in conditions]
            return 409, {"rows": rows}
        self.version += 1
        for write in writes:
            self.rows[write["key"]] = (write["value"], self.version)
        return 200, {"version": self.version}

    def read(self, prefix, after):
        """Return the rows with a key prefix that were written after a version.

        Deleted rows are included only if `after` is above 0.
        """
        self.requests["reads"] += 1
        rows = [
            self._format_row(key)
            for key, (value, version) in self.rows.items()
            if key.startswith(prefix)
            and version > after
            and (after > 0 or value is not None)
        ]
        rows.sort(key=lambda row: row["version"])
        return {"version": self.version, "rows": rows}

    def _version(self, key):
        value, version = self.rows.get(key, (None, 0))
        return 0 if value is None else version

    def _format_row(self, key):
        value, version = self.rows.get(key, (None, 0))
        return {"key": key, "value": value, "version": version}


class PlatformResource(resource.Resource):
    """HTTP interface of the platform, with control paths for tests.

    The control paths are ``/control/faults``, ``/control/instances`` and
    ``/control/requests``.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules delayed answers.
    platform : Platform
        Contents that are served.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, reactor, platform):
        super().__init__()
        self.reactor = reactor
        self.platform = platform

    def render(self, request):
        """Handle a request."""
        path = "/".join(part.decode("utf-8") for part in request.postpath)
        if path.startswith("control/"):
            return http.answer(request, *self._control(request, path))
        faults = self.platform.faults
        if faults.silent:
            return server.NOT_DONE_YET
        if faults.outage:
            return http.answer(request, 503, {"message": "outage"})
        status, value = self._handle(request, path)
        if path == "v1/table/commit" and status == 200 and faults.lose_answers > 0:
            faults.lose_answers -= 1
            return server.NOT_DONE_YET
        if faults.slow_s <= 0.0:
            return http.answer(request, status, value)
        delayed = task.deferLater(self.reactor, faults.slow_s)
        delayed.addCallback(lambda _: http.finish(request, status, value))
        return server.NOT_DONE_YET

    def _handle(self, request, path):
        platform = self.platform
        if path == "v1/table/commit":
            body = http.read_body(request)
            return platform.commit(body["conditions"], body["writes"])
        if path == "v1/table/rows":
            prefix = request.args.get(b"prefix", [b""])[0].decode("utf-8")
            after = int(request.args.get(b"after", [b"0"])[0])
            return 200, platform.read(prefix, after)
        if path.startswith("v1/objects/"):
            return self._object(request, path.removeprefix("v1/objects/"))
        if path == "v1/instances":
            return 200, {"instances": platform.instances}
        return 404, {"message": "unknown path"}

    def _object(self, request, name):
        if request.method == b"PUT":
            self.platform.objects[name] = http.read_body(request)
            return 200, {}
        if name not in self.platform.objects:
            return 404, {"message": "no such object"}
        return 200, self.platform.objects[name]

    def _control(self, request, path):
        platform = self.platform
        if path == "control/faults":
            if request.method == b"POST":
                for name, value in http.read_body(request).items():
                    setattr(platform.faults, name, value)
            return 200, attrs.asdict(platform.faults)
        if path == "control/instances" and request.method == b"POST":
            platform.instances = http.read_body(request)
            return 200, {}
        if path == "control/requests":
            return 200, platform.requests
        return 404, {"message": "unknown path"}
