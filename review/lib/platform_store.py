"""Stand-in for the platform: the metadata store and the call that promotes."""

import asyncio
import base64
import json
import time
import urllib.parse

ANSWER_S = 0.004


class Store:
    """The platform's metadata store, and the call that promotes a member.

    Parameters
    ----------
    record : callable
        Called with the kind of an event and its fields.

    Attributes
    ----------
    services : dict of str to Service
        Services whose members `POST /promote` promotes.
    fault : callable or None
        Called with path and body of each call. Returns None, or what happens to
        the call: ``("delay", seconds)``, ``("busy",)`` or ``("silent",)``.
    """

    def __init__(self, record):
        self.record = record
        self.services = {}
        self.fault = None
        self.rows = {}
        self.version = 0
        self.has_eras = False
        self.era = 1  # 1 for a store that has never returned from a copy
        self.copy = None
        self.on_begin = None  # called when a takeover's row is written
        self.changed = asyncio.Event()

    async def start(self, host, port):
        """Listen on an address."""
        await asyncio.start_server(self._serve, host, port, limit=4 * 1024 * 1024)

    def put(self, table, key, value):
        """Write a row from outside the system; returns its version."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    def keep_copy(self):
        """Keep a copy of all rows."""
        self.copy = (self.version, dict(self.rows))

    def restore(self):
        """Return to the kept copy: later writes are gone, versions go back."""
        self.version, rows = self.copy
        self.rows = dict(rows)
        self.era += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request, *headers = head.split("\r\n")
                method, target, _ = request.split(" ")
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in headers)
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                status, answer = await self._call(method, target, fields, body)
                data = json.dumps(answer).encode()
                era = f"Store-Era: {self.era}\r\n" if self.has_eras else ""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, fields, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        await asyncio.sleep(ANSWER_S)
        content = json.loads(body) if body else {}
        fault = self.fault and self.fault(parts.path, content)
        if fault and fault[0] == "busy":
            return 503, {}
        if fault and fault[0] == "silent":
            await asyncio.sleep(3600.0)
        if fault and fault[0] == "delay":
            await asyncio.sleep(fault[1])
        status, answer = await self._answer(parts.path, query, fields, content)
        now_ms = int(time.monotonic() * 1000.0)
        return status, {"ver": self.version, "nowMs": now_ms, **answer}

    async def _answer(self, path, query, fields, content):
        if path == "/rows-get":
            table, start = query["table"], query.get("from", "")
            found = [
                _format(table, key, value, version)
                for (row_table, key), (value, version) in sorted(self.rows.items())
                if row_table == table and value is not None and key >= start
            ]
            return 200, {"rows": found, "hasMore": False}
        if path == "/rows-feed" and int(query["after"]) > self.version:
            return 410, {}
        if path == "/rows-feed":
            return 200, {"rows": await self._follow(query)}
        if path == "/rows-tx":
            return self._commit(content)
        if path == "/promote":
            self.record(
                "promote",
                service=content["service"],
                member=content["id"],
                holder=fields["lease-holder"],
                fence=int(fields["fencing-token"]),
            )
            service = self.services[content["service"]]
            if content["id"] not in service.members:
                return 409, {}
            service.promote(content["id"])
            return 200, {}
        return 404, {}

    async def _follow(self, query):
        until = time.monotonic() + int(query["waitMs"]) / 1000.0
        while True:
            found = sorted(
                (version, key, value)
                for (table, key), (value, version) in self.rows.items()
                if table == query["table"] and version > int(query["after"])
            )
            left_s = until - time.monotonic()
            if found or left_s <= 0.0 or int(query["after"]) > self.version:
                return [
                    _format(query["table"], key, value, version)
                    for version, key, value in found
                ]
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def _commit(self, content):
        entries = [*content["puts"], *content["remove"]]
        if any(row["table"] in ("op", "servers") for row in entries):
            return 403, {}
        for row in content["expectedRev"]:
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if row["ver"] != (0 if value is None else version):
                return 412, {"rows": []}
        version = self.version + 1
        for row in entries:
            value = base64.b64decode(row["value"]) if "value" in row else None
            self.put(row["table"], row["key"], value)
            self.rows[row["table"], row["key"]] = (value, version)
        self.version = version
        if self.on_begin is not None and any(
            row["key"].startswith("takeover/") for row in content["puts"]
        ):
            self.on_begin()
        return 200, {}


def _format(table, key, value, version):
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}
