"""Stand-in for an upstream member that speaks the PostgreSQL protocol."""

import re
import sqlite3
import struct

import attrs
import scramp
from twisted.internet import defer, protocol, task

from pomelograde.core import accounts, sessions
from pomelograde.net import _frames
from pomelograde.standins import _sql

SYSTEM_ROLE = "pomelograde"
SALT = b"stand-in-member!"
FUNCTION_CALL = re.compile(r"^\s*SELECT \* FROM pomelograde\.(\w+)\((.*)\)\s*;?\s*$")
SLEEP = re.compile(r"^\s*SELECT pg_sleep\(([\d.]+)\)", re.IGNORECASE)
TRANSACTION_COMMAND = re.compile(
    r"^\s*(BEGIN|START\s+TRANSACTION|COMMIT|END|ROLLBACK|ABORT)\b(.*)$",
    re.IGNORECASE | re.DOTALL,
)
SAVEPOINT_COMMAND = re.compile(
    r"^\s*(SAVEPOINT|RELEASE|ROLLBACK\s+TO)\s+(?:SAVEPOINT\s+)?(\"?\w+\"?)\s*;?\s*$",
    re.IGNORECASE,
)
SESSION_COMMAND = re.compile(r"^\s*(SET|RESET|DISCARD|SHOW)\b\s*(.*)$", re.I | re.S)
DEFAULT_SETTINGS = {
    "standard_conforming_strings": "on",
    "transaction isolation level": "read committed",
    "server_version": "15.0",
    "client_encoding": "UTF8",
}
ROW_COUNT_TAGS = {"INSERT": "INSERT 0 {}", "UPDATE": "UPDATE {}", "DELETE": "DELETE {}"}


class SqlError(Exception):
    """Error answer to a statement.

    Attributes
    ----------
    sqlstate : str
        SQLSTATE of the answer.
    """

    def __init__(self, sqlstate, message):
        super().__init__(message)
        self.sqlstate = sqlstate


@attrs.define
class Prepared:
    """Prepared statement: SQL, parameter type oids, and result columns if known."""

    sql: str
    oids: list
    columns: list | None = None


@attrs.define
class Portal:
    """Portal: a prepared statement with bound parameters and its pending rows."""

    prepared: Prepared
    values: tuple
    formats: list
    rows: list | None = None
    columns: list | None = None
    tag: str = ""


class MemberProtocol(protocol.Protocol):
    """One connection to a stand-in member.

    Parameters
    ----------
    factory : MemberFactory
        Provides the member and its group.

    Attributes
    ----------
    held_output : list of bytes
        Output kept back while a fault silences the connection.
    store : sqlite3.Connection or None
        Connection to the member's database; None until authentication.
    status : bytes
        Transaction status as in ReadyForQuery: ``I``, ``T`` or ``E``.
    logged_statements : list of (str, tuple, str)
        Writes of the current transaction, appended to the log when it commits.
    savepoints : dict of str to int
        Number of logged statements at each savepoint.
    ignoring_until_sync : bool
        Whether messages are ignored until the next Sync, after an error.
    """

    def __init__(self, factory):
        self.factory = factory
        self.member = factory.member
        self.group = factory.group
        self.buffer = b""
        self.reader = None
        self.queue = []
        self.held_output = []
        self.busy = False
        self.scram = None
        self.role = ""
        self.host = ""
        self.store = None
        self.status = b"I"
        self.logged_statements = []
        self.savepoints = {}
        self.in_store_transaction = False
        self.prepared = {}
        self.portals = {}
        self.ignoring_until_sync = False
        self.read_only = False
        self.settings = {}
        self.lost = False
        self.cancelled = False
        self.cancel_key = factory.next_cancel_key()
        self.pending_sleep = None

    def connectionMade(self):  # noqa: N802
        """Register the connection; a killed member aborts it."""
        self.transport.setTcpNoDelay(True)
        self.host = self.transport.getPeer().host
        self.member.sessions.add(self)
        if self.member.faults.killed:
            self.transport.abortConnection()

    def is_silenced(self):
        """Return whether a fault silences this connection."""
        faults = self.member.faults
        return faults.paused or any(map(self.host.startswith, faults.cut_hosts))

    def dataReceived(self, data):  # noqa: N802
        """Buffer input and process it, unless the connection is silenced."""
        self.buffer += data
        self.advance()

    def advance(self):
        """Send held output and process buffered input, unless silenced."""
        if self.is_silenced() or self.lost:
            return
        if self.held_output:
            held_output, self.held_output = self.held_output, []
            self.transport.write(b"".join(held_output))
        if self.reader is None:
            self._read_startup()
        if self.reader is not None and self.buffer:
            data, self.buffer = self.buffer, b""
            self.queue.extend(self.reader.feed(data))
        if not self.busy and self.queue:
            self.busy = True
            defer.ensureDeferred(self._process_queue()).addErrback(
                self._on_processing_failed
            )

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Roll back the open transaction and release resources."""
        self.lost = True
        self.member.sessions.discard(self)
        self.factory.cancel_keys.pop(self.cancel_key, None)
        self._rollback()
        if self.store is not None:
            self.store.close()

    def abort_unless_system_role(self):
        """Abort the connection unless it belongs to the proxy's system role."""
        if self.role != SYSTEM_ROLE:
            self.transport.abortConnection()

    def cancel(self):
        """Cancel the running statement if it sleeps."""
        if self.pending_sleep is not None:
            pending_sleep, self.pending_sleep = self.pending_sleep, None
            pending_sleep.errback(
                SqlError("57014", "canceling statement due to request")
            )

    def _on_processing_failed(self, reason):
        if not self.lost:
            self.transport.abortConnection()
            return reason
        return None

    def _read_startup(self):
        while len(self.buffer) >= 8:
            length, code = struct.unpack_from(">II", self.buffer)
            if len(self.buffer) < length:
                return
            payload = self.buffer[4:length]
            self.buffer = self.buffer[length:]
            if code in (_frames.TLS_CODE, _frames.GSS_CODE):
                self.transport.write(b"N")
                continue
            if code == _frames.CANCEL_CODE:
                message = _frames.CANCEL.parse(payload)
                self.factory.on_cancel((message.process_id, message.secret))
                self.transport.loseConnection()
                return
            self.role = _frames.read_startup(payload).ok_value["user"]
            self.reader = _frames.FrameReader()
            body = struct.pack(">I", 10) + b"SCRAM-SHA-256\0\0"
            self.transport.write(_frames.frame(b"R", body))
            return

    async def _process_queue(self):
        while self.queue and not self.lost:
            if self.is_silenced():
                break
            kind, frame = self.queue.pop(0)
            if self.store is None:
                await self._authenticate(frame)
            else:
                await self._handle(chr(kind), frame)
        self.busy = False

    async def _authenticate(self, frame):
        payload = frame[5:]
        if self.scram is None:
            message = _frames.read_sasl_initial(payload)
            info = self.factory.auth_info
            self.scram = accounts.make_server(info)
            accounts.set_client_first(self.scram, message)
            first = self.scram.get_server_first().encode()
            self._send(_frames.frame(b"R", struct.pack(">I", 11) + first))
            return
        try:
            self.scram.set_client_final(payload.decode())
        except scramp.ScramException:
            self._send_error(SqlError("28P01", "password authentication failed"))
            self.transport.loseConnection()
            return
        member = self.member
        authenticated = sum(
            1 for session in member.sessions if session.store is not None
        )
        if authenticated >= member.connection_limit:
            self._send_error(SqlError("53300", "too many connections"))
            self.transport.loseConnection()
            return
        if member.open_delay_s > 0.0:
            await task.deferLater(self.factory.reactor, member.open_delay_s)
        if self.lost:
            return
        self.store = member.store.connect(self.role)
        self.factory.cancel_keys[self.cancel_key] = self
        final = self.scram.get_server_final().encode()
        self._send(
            _frames.frame(b"R", struct.pack(">I", 12) + final)
            + _frames.frame(b"R", struct.pack(">I", 0))
            + _frames.parameter_status("server_version", "15.0")
            + _frames.frame(b"K", struct.pack(">II", *self.cancel_key))
            + _frames.ready_for_query()
        )

    async def _handle(self, kind, frame):
        if kind == "X":
            self.transport.loseConnection()
        elif kind == "Q":
            await self._run_simple_query(frame[5:-1].decode("utf-8"))
        elif kind == "S":
            await self._sync()
        elif not self.ignoring_until_sync and kind in "PBDECH":
            try:
                await getattr(self, f"_on_{kind}")(frame)
            except SqlError as error:
                self.ignoring_until_sync = True
                self._on_error(error)

    async def _run_simple_query(self, text):
        try:
            for sql in _sql.split(text):
                result = await self._execute(sql, ())
                self._send_result(result, [])
            if not _sql.split(text):
                self._send(_frames.frame(b"I"))
            self._end_implicit()
        except SqlError as error:
            self._on_error(error)
        self._send(_frames.ready_for_query(self.status))

    async def _sync(self):
        if not self.ignoring_until_sync:
            try:
                self._end_implicit()
            except SqlError as error:
                self._on_error(error)
        self.ignoring_until_sync = False
        if self.status == b"I":
            self.portals.clear()
        self._send(_frames.ready_for_query(self.status))

    async def _on_P(self, frame):  # noqa: N802
        name, start = _frames.read_cstring(frame, 5)
        text, start = _frames.read_cstring(frame, start)
        (count,) = struct.unpack_from(">H", frame, start)
        oids = list(struct.unpack_from(f">{count}I", frame, start + 2))
        if name and name in self.prepared:
            raise SqlError("42P05", "prepared statement already exists")
        sql = text.decode("utf-8")
        inferred = _sql.Inference(self.member.store.types()).run(sql).parameters
        highest = max([0, *map(int, re.findall(r"\$(\d+)", sql))])
        oids += [0] * (highest - len(oids))
        oids = [
            oid or inferred.get(number, _sql.TEXT)
            for number, oid in enumerate(oids, start=1)
        ]
        self.prepared[name] = Prepared(sql, oids)
        self._send(_frames.frame(b"1"))

    async def _on_B(self, frame):  # noqa: N802
        portal_name, start = _frames.read_cstring(frame, 5)
        name, start = _frames.read_cstring(frame, start)
        prepared = self._find_prepared(name)
        formats, start = _read_shorts(frame, start)
        (count,) = struct.unpack_from(">H", frame, start)
        start += 2
        values = []
        for number in range(count):
            (length,) = struct.unpack_from(">i", frame, start)
            start += 4
            data = None
            if length >= 0:
                data = frame[start : start + length]
                start += length
            oid = prepared.oids[number] if number < len(prepared.oids) else _sql.TEXT
            values.append(_sql.decode(data, oid, _is_binary(formats, number)))
        results, _ = _read_shorts(frame, start)
        self.portals[portal_name] = Portal(prepared, tuple(values), results)
        self._send(_frames.frame(b"2"))

    async def _on_D(self, frame):  # noqa: N802
        name, _ = _frames.read_cstring(frame, 6)
        formats = []
        if frame[5:6] == b"S":
            prepared = self._find_prepared(name)
            oids = prepared.oids
            body = struct.pack(f">H{len(oids)}I", len(oids), *oids)
            self._send(_frames.frame(b"t", body))
        else:
            portal = self._find_portal(name)
            prepared = portal.prepared
            formats = portal.formats
        columns = self._describe(prepared)
        self._send(_describe_frame(columns, formats))

    async def _on_E(self, frame):  # noqa: N802
        name, start = _frames.read_cstring(frame, 5)
        (limit,) = struct.unpack_from(">I", frame, start)
        portal = self._find_portal(name)
        if portal.rows is None:
            result = await self._execute(portal.prepared.sql, portal.values)
            portal.columns, portal.rows, portal.tag = result
            known = self._describe(portal.prepared)
            if known and len(known) == len(portal.columns):
                portal.columns = known
        count = limit or len(portal.rows)
        rows, portal.rows = portal.rows[:count], portal.rows[count:]
        self._send_rows(portal.columns, rows, portal.formats)
        if portal.rows:
            self._send(_frames.frame(b"s"))
        else:
            self._send(_frames.command_complete(portal.tag))

    async def _on_C(self, frame):  # noqa: N802
        name, _ = _frames.read_cstring(frame, 6)
        registry = self.prepared if frame[5:6] == b"S" else self.portals
        registry.pop(name, None)
        self._send(_frames.frame(b"3"))

    async def _on_H(self, frame):  # noqa: N802
        pass

    def _find_prepared(self, name):
        if name not in self.prepared:
            raise SqlError("26000", "prepared statement does not exist")
        return self.prepared[name]

    def _find_portal(self, name):
        if name not in self.portals:
            raise SqlError("34000", "portal does not exist")
        return self.portals[name]

    async def _execute(self, sql, values):
        """Run one statement and return columns, rows and command tag."""
        matched = SAVEPOINT_COMMAND.match(sql)
        if matched is not None:
            return await self._run_savepoint_command(*matched.groups())
        matched = TRANSACTION_COMMAND.match(sql)
        if matched is not None:
            return self._run_transaction_command(
                matched.group(1).upper(), matched.group(2).upper()
            )
        if self.status == b"E":
            raise SqlError("25P02", "current transaction is aborted")
        matched = FUNCTION_CALL.match(sql)
        if matched is not None:
            return await self._call_function(matched.group(1), matched.group(2))
        matched = SESSION_COMMAND.match(sql)
        if matched is not None:
            return self._run_session_command(matched.group(1).upper(), matched.group(2))
        matched = SLEEP.match(sql)
        if matched is not None:
            await self._sleep(float(matched.group(1)))
            return [_sql.Column("pg_sleep", _sql.TEXT)], [("",)], "SELECT 1"
        return await self._run_in_slot(sql, values)

    async def _run_in_slot(self, sql, values):
        member = self.member
        writing = _sql.is_write(sql)
        if writing:
            self._check_writable(sql)
            await member.lock(self)
            self._check_alive()
            self._check_writable(sql)
        await member.acquire_slot()
        member.statements += 1
        try:
            if member.service_s > 0.0:
                await self._sleep(member.service_s)
            self._check_alive()
            if writing:
                self._begin_write()
            return self._run_sqlite(sql, values, writing)
        finally:
            member.release_slot()

    def _run_sqlite(self, sql, values, writing):
        translated = _sql.to_sqlite(sql)
        try:
            cursor = self.store.execute(translated, values)
            rows = cursor.fetchall()
        except sqlite3.IntegrityError as error:
            raise SqlError("23505", str(error)) from error
        except (sqlite3.Error, OverflowError) as error:
            missing = "no such table" in str(error)
            raise SqlError("42P01" if missing else "42601", str(error)) from error
        verb = sql.split(None, 1)[0].upper()
        if writing:
            self.logged_statements.append((translated, values, self.role))
            if verb in ("CREATE", "DROP", "ALTER"):
                self.member.store.cached_types = None
        columns = self._result_columns(sql, cursor, rows)
        count = len(rows) if cursor.description else max(0, cursor.rowcount)
        tag = ROW_COUNT_TAGS.get(verb, "{}").format(count)
        if tag == str(count):
            tag = f"SELECT {count}" if cursor.description else verb
        return columns, rows, tag

    def _result_columns(self, sql, cursor, rows):
        if not cursor.description:
            return []
        types = self.member.store.types()
        first = rows[0] if rows else [None] * len(cursor.description)
        columns = []
        for (name, *_), value in zip(cursor.description, first, strict=True):
            oid = types.get(name)
            if oid is None:
                oid = _sql.value_oid(value)
            columns.append(_sql.Column(_sql.result_name(name), oid))
        return columns

    def _describe(self, prepared):
        """Return the result columns of a statement; an empty list if it has none."""
        if prepared.columns is None:
            prepared.columns = self._infer_columns(prepared.sql)
        return prepared.columns

    def _infer_columns(self, sql):
        matched = SESSION_COMMAND.match(sql)
        if matched is not None and matched.group(1).upper() == "SHOW":
            name = matched.group(2).strip().rstrip(";")
            return [_sql.Column(name, _sql.TEXT)]
        special = matched or FUNCTION_CALL.match(sql) or TRANSACTION_COMMAND.match(sql)
        if special or SLEEP.match(sql):
            return []
        types = self.member.store.types()
        inferred = _sql.Inference(types).run(sql).columns
        names = self._column_names(sql)
        return [
            _sql.Column(name, types.get(name, inferred.get(name, _sql.TEXT)))
            for name in map(_sql.result_name, names)
        ]

    def _column_names(self, sql):
        if _sql.is_write(sql):
            matched = re.search(r"\bRETURNING\s+(.*)$", sql, re.IGNORECASE | re.DOTALL)
            if matched is None:
                return []
            names = [part.strip().strip('"') for part in matched.group(1).split(",")]
            if names != ["*"]:
                return names
            table = re.search(r"(?:INTO|UPDATE|FROM)\s+(\w+)", sql, re.IGNORECASE)
            rows = self.store.execute(f"PRAGMA table_info({table.group(1)})")
            return [row[1] for row in rows.fetchall()]
        translated = _sql.to_sqlite(sql).rstrip().rstrip(";")
        highest = max([0, *map(int, re.findall(r"\?(\d+)", translated))])
        try:
            cursor = self.store.execute(
                f"SELECT * FROM ({translated}) LIMIT 0", (None,) * highest
            )
        except sqlite3.Error as error:
            raise SqlError("42601", str(error)) from error
        return [column[0] for column in cursor.description or ()]

    def _run_transaction_command(self, verb, rest):
        if verb in ("BEGIN", "START TRANSACTION"):
            self.status = b"T"
            self.read_only = "READ ONLY" in rest
            return [], [], "BEGIN"
        if verb in ("COMMIT", "END"):
            if self.status == b"E":
                self._rollback()
                return [], [], "ROLLBACK"
            self._commit()
            return [], [], "COMMIT"
        self._rollback()
        return [], [], "ROLLBACK"

    async def _run_savepoint_command(self, verb, name):
        """Set, release or roll back to a savepoint."""
        verb = verb.upper().split()[0]
        if self.status == b"I":
            raise SqlError("25P01", f"{verb} can only be used in transaction blocks")
        if verb == "SAVEPOINT":
            self._check_writable(verb)
            await self.member.lock(self)
            self._check_alive()
            self._begin_write()
            self.store.execute(f"SAVEPOINT {name}")
            self.savepoints[name] = len(self.logged_statements)
            return [], [], verb
        if name not in self.savepoints:
            raise SqlError("3B001", f"savepoint {name} does not exist")
        if verb == "RELEASE":
            self.store.execute(f"RELEASE {name}")
            return [], [], verb
        self.store.execute(f"ROLLBACK TO {name}")
        del self.logged_statements[self.savepoints[name] :]
        self.status = b"T"
        return [], [], verb

    def _run_session_command(self, verb, rest):
        if verb == "SHOW":
            name = rest.strip().rstrip(";")
            value = self.settings.get(name, DEFAULT_SETTINGS.get(name.lower(), ""))
            return [_sql.Column(name, _sql.TEXT)], [(value,)], "SHOW"
        if verb == "SET":
            name, _, value = rest.replace(" TO ", "=", 1).partition("=")
            self.settings[name.strip()] = value.strip().strip("';")
        elif verb == "RESET" and rest.strip().upper() != "ALL":
            self.settings.pop(rest.strip(), None)
        else:
            self.settings.clear()
        return [], [], verb

    def _begin_write(self):
        if not self.in_store_transaction:
            try:
                self.store.execute("BEGIN IMMEDIATE")
            except sqlite3.OperationalError as error:
                raise SqlError("40001", str(error)) from error
            self.in_store_transaction = True

    def _end_implicit(self):
        if self.status == b"I" and self.in_store_transaction:
            self._commit()

    def _commit(self):
        self.status = b"I"
        self.read_only = False
        if not self.in_store_transaction:
            self.member.unlock(self)
            return
        if self.member.role != "primary" or self.member.fenced_term > self.member.term:
            self._rollback()
            raise SqlError("25006", "member was fenced; the transaction is rolled back")
        self.store.execute("COMMIT")
        self.in_store_transaction = False
        self.savepoints = {}
        logged_statements, self.logged_statements = self.logged_statements, []
        self.group.append(self.member, logged_statements)
        self.member.unlock(self)

    def _rollback(self):
        if self.in_store_transaction:
            self.store.execute("ROLLBACK")
        self.in_store_transaction = False
        self.logged_statements = []
        self.savepoints = {}
        self.status = b"I"
        self.read_only = False
        self.member.unlock(self)

    def _on_error(self, error):
        if self.status == b"I":
            self._rollback()
        elif self.savepoints:
            self.status = b"E"
        else:
            self._rollback()
            self.status = b"E"
        self._send_error(error)

    def _check_writable(self, sql):
        member = self.member
        primary = member.role == "primary" and member.fenced_term <= member.term
        if not primary or self.read_only:
            verb = sql.split(None, 1)[0].upper()
            raise SqlError("25006", f"cannot execute {verb} in a read-only transaction")

    def _check_alive(self):
        if self.lost:
            raise SqlError("08006", "connection lost")

    async def _sleep(self, seconds):
        self.pending_sleep = defer.Deferred()
        call = self.factory.reactor.callLater(
            seconds, self._finish_sleep, self.pending_sleep
        )
        try:
            await self.pending_sleep
        finally:
            if call.active():
                call.cancel()

    def _finish_sleep(self, pending_sleep):
        if self.pending_sleep is pending_sleep:
            self.pending_sleep = None
            pending_sleep.callback(None)

    async def _call_function(self, name, arguments):
        words = [word.strip().strip("'") for word in arguments.split(",")]
        member = self.member
        if name in ("fence", "promote", "follow") and self.role != SYSTEM_ROLE:
            raise SqlError("42501", f"permission denied for function {name}")
        if name == "status":
            return _text_row(
                member.name,
                member.role,
                member.term,
                member.fenced_term,
                member.position.term,
                member.position.index,
                member.leader,
                "t" if member.leaving else "f",
            )
        if name == "position":
            return _text_row(member.position.term, member.position.index)
        if name == "wait_majority":
            position = sessions.Position(int(words[0]), int(words[1]))
            held = await self.group.wait_majority(
                member, position, int(words[2]) / 1000.0
            )
            return _text_row(held.term, held.index)
        if name == "holds":
            position = sessions.Position(int(words[0]), int(words[1]))
            return _text_row("t" if member.holds(position) else "f")
        if name == "fence":
            accepted = self.group.fence(member, int(words[0]), words[1])
            return _text_row(
                "t" if accepted else "f",
                member.fenced_term,
                member.fenced_by,
                member.position.term,
                member.position.index,
            )
        if name == "promote":
            done = self.group.promote(member, int(words[0]), words[1])
            return _text_row(
                "t" if done else "f", member.position.term, member.position.index
            )
        if name == "follow":
            done = self.group.follow(member, int(words[0]), words[1])
            return _text_row("t" if done else "f")
        raise SqlError("42883", f"function pomelograde.{name} does not exist")

    def _send_result(self, result, formats):
        columns, rows, tag = result
        if columns:
            self._send(_describe_frame(columns, formats))
        self._send_rows(columns, rows, formats)
        self._send(_frames.command_complete(tag))

    def _send_rows(self, columns, rows, formats):
        out = []
        for row in rows:
            values = [
                _sql.encode(value, column.oid, _is_binary(formats, number))
                for number, (value, column) in enumerate(
                    zip(row, columns, strict=False)
                )
            ]
            out.append(_frames.data_row(values))
        self._send(b"".join(out))

    def _send_error(self, error):
        self._send(
            _frames.error_frame(
                [
                    ("S", "ERROR"),
                    ("V", "ERROR"),
                    ("C", error.sqlstate),
                    ("M", str(error)),
                ]
            )
        )

    def _send(self, data):
        if not data or self.lost:
            return
        if self.is_silenced():
            self.held_output.append(data)
        else:
            self.transport.write(data)


class MemberFactory(protocol.Factory):
    """Creates the protocols of connections to one member.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules delays.
    group : Group
        Group of the member.
    member : Member
        Member that is connected to.
    password : str
        Password of all database roles.
    """

    noisy = False

    def __init__(self, reactor, group, member, password):
        self.reactor = reactor
        self.group = group
        self.member = member
        self.auth_info = accounts.make_verifier(password, SALT).auth_info()
        self.cancel_keys = {}
        self.last_process_id = 0

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol of a new connection."""
        return MemberProtocol(self)

    def next_cancel_key(self):
        """Return the process id and the secret of a new connection."""
        self.last_process_id += 1
        return self.last_process_id, self.last_process_id ^ 0x5A5A5A

    def on_cancel(self, key):
        """Cancel the statement of the connection that has a cancel key."""
        connection = self.cancel_keys.get(key)
        if connection is not None:
            connection.cancel()


def _text_row(*values):
    columns = [_sql.Column(f"c{n}", _sql.TEXT) for n in range(len(values))]
    return columns, [values], "SELECT 1"


def _describe_frame(columns, formats):
    if not columns:
        return _frames.frame(b"n")
    parts = [struct.pack(">H", len(columns))]
    for number, column in enumerate(columns):
        parts.append(_frames.cstring(column.name))
        binary = 1 if _is_binary(formats, number) else 0
        parts.append(_frames.COLUMN.pack(0, 0, column.oid, column.size, -1, binary))
    return _frames.frame(b"T", b"".join(parts))


def _read_shorts(frame, start):
    (count,) = struct.unpack_from(">H", frame, start)
    values = list(struct.unpack_from(f">{count}H", frame, start + 2))
    return values, start + 2 + 2 * count


def _is_binary(formats, number):
    if not formats:
        return False
    if len(formats) == 1:
        return bool(formats[0])
    return bool(formats[number]) if number < len(formats) else False
