"""Connections of one instance to the members of a group, for function calls."""

from twisted.internet import defer

from pomelograde.net import pools, upstream

SYSTEM_ROLE = "pomelograde"


class MemberCallError(Exception):
    """Raised when a call of a member's function fails.

    Attributes
    ----------
    alive : bool
        Whether the member itself answered, with an error.
    """

    def __init__(self, message, alive=False):
        super().__init__(message)
        self.alive = alive


class MemberConnections:
    """Connections to the members of a group under the proxy's own role.

    There is at most one connection to each member, opened on demand.

    Parameters
    ----------
    context : InstanceContext
        State and services shared by all tasks of the daemon.
    group : GroupTask
        The group.

    Attributes
    ----------
    used_at : float
        Monotonic seconds at which a call was last made.
    opening : dict of str to list of Deferred
        For each member whose connection is being opened, the calls that wait
        for it.
    """

    def __init__(self, context, group):
        self.context = context
        self.group = group
        self.connections = {}
        self.opening = {}
        self.used_at = 0.0

    def close(self):
        """Close all connections."""
        for name in list(self.connections):
            self.drop(name)

    def drop(self, member):
        """Close the connection to a member; late answers are discarded."""
        connection = self.connections.pop(member, None)
        if connection is not None and not connection.is_lost:
            connection.close()

    async def call(self, member, sql, timeout_s, decode=None):
        """Call a function of a member.

        Parameters
        ----------
        member : str
            Name of the member.
        sql : str
            Statement that calls the function.
        timeout_s : float
            Time limit for opening a connection, and again for the answer.
        decode : callable or None
            Converts the row; raises `UpstreamCallError` if it is invalid.

        Returns
        -------
        list of str
            First row of the answer.

        Raises
        ------
        MemberCallError
            If the call fails or there is no answer in time.
        """
        self.used_at = self.context.now()
        try:
            connection = await self._connection(member, timeout_s)
            answer = upstream.call(connection, sql)
            answer.addTimeout(timeout_s, self.context.reactor)
            row = await answer
            return row if decode is None else decode(row)
        except pools.UpstreamOpenError as error:
            raise MemberCallError(str(error), error.refused) from error
        except upstream.UpstreamCallError as error:
            alive = not error.sqlstate.startswith("08")
            raise MemberCallError(str(error), alive) from error
        except defer.TimeoutError as error:
            raise MemberCallError("no answer in time") from error

    async def _connection(self, member, timeout_s):
        connection = self.connections.get(member)
        if connection is not None and not connection.is_lost:
            return connection
        waiters = self.opening.get(member)
        if waiters is not None:
            waiter = defer.Deferred()
            waiters.append(waiter)
            return await waiter
        self.opening[member] = []
        try:
            connection = await self._open(member, timeout_s)
        except pools.UpstreamOpenError as error:
            for waiter in self.opening.pop(member):
                waiter.errback(pools.UpstreamOpenError(str(error), error.refused))
            raise
        self.connections[member] = connection
        for waiter in self.opening.pop(member):
            waiter.callback(connection)
        return connection

    async def _open(self, member, timeout_s):
        pool = self.group.pools.get(member)
        if pool is None:
            raise pools.UpstreamOpenError(
                f"{member} is not a member of the group", refused=True
            )
        return await upstream.open_connection(
            self.context.reactor,
            pool.spec,
            SYSTEM_ROLE,
            self.group.spec.database,
            self.context.credential,
            self.context.settings.addresses.bind_host,
            timeout_s,
        )
