"""Runs callers with psycopg and writes their history."""

import asyncio
import contextlib
import pathlib
import time

import psycopg

from measure import history, workload
from measure.checkers import _answers

CONNECT_TIMEOUT_S = 5
ANSWER_TIMEOUT_S = 15.0
RECONNECT_PAUSE_S = 0.05
INSERT = "INSERT INTO entries (caller, owner, value) VALUES (%s, current_user, %s)"
READ = "SELECT value FROM entries WHERE caller = %s ORDER BY id"
ECHO = f"SELECT %s::bigint AS nonce FROM numbers LIMIT {_answers.ECHO_ROWS}"
_OUTCOMES_BY_DETAIL = {
    "not run": history.Outcome.NOT_RUN,
    "outcome unknown": history.Outcome.UNKNOWN,
}


class CallerTask:
    """Runs one caller, which sends one request at a time.

    Parameters
    ----------
    caller : Caller
        Caller to run.
    plan : Plan
        Instances, seed and client delay.
    ends_at : float
        Monotonic time after which no request is sent.
    record : callable
        Called with each `Operation`.
    """

    def __init__(self, caller, plan, ends_at, record):
        self.caller = caller
        self.plan = plan
        self.ends_at = ends_at
        self.record = record
        self.choices = workload.Choices(caller, plan.seed)
        self.instance = plan.instances[caller.home % len(plan.instances)]
        self.connection = None
        self.requests = 0

    async def run(self):
        """Send requests until `ends_at`."""
        while time.monotonic() < self.ends_at:
            await asyncio.sleep(self.choices.think_s())
            if not await self._connect():
                continue
            await self._request()
            self.requests += 1
            move_every = self.caller.mix.move_every
            if move_every and self.requests % move_every == 0:
                await self._change_instance()
        await self._disconnect()

    async def _connect(self):
        if self.connection is not None:
            return True
        try:
            self.connection = await psycopg.AsyncConnection.connect(
                self._make_dsn(), autocommit=True
            )
        except psycopg.OperationalError:
            await asyncio.sleep(RECONNECT_PAUSE_S)
            self._pick_instance()
            return False
        return True

    def _make_dsn(self):
        caller = self.caller
        parameters = [
            f"host={self.instance.host} port={self.instance.port}",
            f"dbname={caller.service} user={caller.account}",
            f"password={workload.password_of(caller.account)}",
            f"connect_timeout={CONNECT_TIMEOUT_S}",
        ]
        if caller.mix.deadline_s > 0.0:
            deadline_ms = caller.mix.deadline_s * 1000.0
            parameters.append(f"options='-c pomelograde.deadline={deadline_ms:g}ms'")
        return " ".join(parameters)

    async def _change_instance(self):
        await self._disconnect()
        self._pick_instance()

    def _pick_instance(self):
        number = self.choices.instance(len(self.plan.instances))
        self.instance = self.plan.instances[number]

    async def _disconnect(self):
        connection, self.connection = self.connection, None
        if connection is not None:
            with contextlib.suppress(psycopg.Error):
                await connection.close()

    async def _request(self):
        action = self.choices.action()
        values = self.choices.values(action)
        invoked_at = time.monotonic()
        outcome, rows, reason = await self._perform(action, values)
        operation = history.Operation(
            caller=self.caller.name,
            account=self.caller.account,
            service=self.caller.service,
            instance=self.instance.name,
            action=action,
            values=values,
            invoked_at=invoked_at,
            answered_at=time.monotonic(),
            outcome=outcome,
            rows=rows,
            reason=reason,
        )
        self.record(operation)
        if outcome is not history.Outcome.OK and self.connection is not None:
            await self._recover()

    async def _perform(self, action, values):
        try:
            await asyncio.sleep(self.plan.client_delay_s)
            execution = self._execute(action, values)
            rows = await asyncio.wait_for(execution, ANSWER_TIMEOUT_S)
            await asyncio.sleep(self.plan.client_delay_s)
            return history.Outcome.OK, rows, ""
        except psycopg.Error as error:
            detail = error.diag.message_detail
            outcome = _OUTCOMES_BY_DETAIL.get(detail, history.Outcome.UNKNOWN)
            return outcome, (), error.sqlstate or type(error).__name__
        except TimeoutError:
            await self._disconnect()
            return history.Outcome.UNKNOWN, (), "timeout"

    async def _execute(self, action, values):
        connection = self.connection
        name = self.caller.name
        if action is history.Action.WRITE:
            await connection.execute(INSERT, (name, values[0]))
            return ()
        if action is history.Action.TRANSACTION:
            await connection.execute("BEGIN")
            for value in values:
                await connection.execute(INSERT, (name, value))
            await connection.execute("COMMIT")
            return ()
        if action is history.Action.ECHO:
            cursor = await connection.execute(ECHO, values)
        else:
            cursor = await connection.execute(READ, (name,))
        return tuple(row[0] for row in await cursor.fetchall())

    async def _recover(self):
        connection = self.connection
        if connection.info.transaction_status != psycopg.pq.TransactionStatus.IDLE:
            with contextlib.suppress(psycopg.Error):
                await connection.rollback()
        if connection.closed:
            self.connection = None
            await asyncio.sleep(RECONNECT_PAUSE_S)
            self._pick_instance()


async def _run_callers(plan, ends_at):
    with pathlib.Path(plan.path).open("w", encoding="utf-8") as file:

        def record(operation):
            file.write(history.dump_line(operation))

        tasks = [
            CallerTask(caller, plan, ends_at, record).run() for caller in plan.callers
        ]
        await asyncio.gather(*tasks)


def run(plan, ends_at):
    """Run all callers of a plan until a monotonic time and write their history."""
    asyncio.run(_run_callers(plan, ends_at))
