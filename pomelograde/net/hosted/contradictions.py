"""Leaves out members whose address answers under another id.

A row of another writer may name the address of a member under another id. The
member there refuses connections for that id: what a member says of itself goes
before what a row says of it.
"""

import attrs
from twisted.internet import defer
from twisted.python import failure

from pomelograde.net import events, pools, timers

FIRST_CHECK_S = 1.0  # until a member that was left out is asked again
MAX_CHECK_S = 8.0  # the interval doubles up to this
SUSPICION_INTERVAL_S = 1.0  # between two checks on the word of other instances


@attrs.define
class _Contradiction:
    """A row that is left out.

    Attributes
    ----------
    identity : tuple
        Service and address of the row; a row with another one counts anew.
    member : Member
        Content of the row.
    interval_s : float
        Time until the next check.
    timer : IDelayedCall or None
        The next check.
    """

    identity: tuple
    member: object
    interval_s: float = FIRST_CHECK_S
    timer: object = None


class Contradictions:
    """Selects the registered members that may be used.

    A row counts as contradicted if its address answers under another id, and has
    not answered this instance under the row's own id before. A member that did
    has ended, and its address has been given to another one: that is a matter of
    takeovers.

    Parameters
    ----------
    context : HostedContext
        Components that all tasks of the instance share.
    connect : callable
        Called with service and Member; returns a coroutine of a new connection.
    on_change : callable
        Called without arguments when other members may be used.

    Attributes
    ----------
    answered : dict of str to tuple
        Service and address at which each member has answered.
    found : dict of str to _Contradiction
        Rows that are left out, by name of the member.
    checked_at : dict of str to float
        When each member was last checked on the word of another instance.
    """

    def __init__(self, context, connect, on_change):
        self.context = context
        self.connect = connect
        self.on_change = on_change
        self.answered = {}
        self.found = {}
        self.checked_at = {}
        self.is_stopped = False

    def select(self, registered):
        """Return the members that may be used, by service.

        Parameters
        ----------
        registered : dict of str to list of Member
            All registered members.
        """
        identities = {
            member.name: _identify(service, member)
            for service, members in registered.items()
            for member in members
        }
        for name, known in list(self.found.items()):
            if identities.get(name) != known.identity:
                self._forget(name)
        for known in (self.answered, self.checked_at):
            for name in known.keys() - identities.keys():
                del known[name]
        return {
            service: [member for member in members if member.name not in self.found]
            for service, members in registered.items()
        }

    def stop(self):
        """End all checks."""
        self.is_stopped = True
        for name in list(self.found):
            self._forget(name)

    def has_answered(self, service, member):
        """Return whether a member has answered under its id at its address."""
        return self.answered.get(member.name) == _identify(service, member)

    def record_answer(self, service, member):
        """Record that a member has answered under its id."""
        self.answered[member.name] = _identify(service, member)

    def record_refusal(self, service, member, error):
        """Record an `UpstreamOpenError`.

        Notes
        -----
        A member without room has checked the id that it was asked for.
        """
        if error.is_full:
            self.record_answer(service, member)
        elif error.is_misdirected:
            self._record_misdirected(service, member)

    def _record_misdirected(self, service, member):
        identity = _identify(service, member)
        name = member.name
        if self.is_stopped or self.has_answered(service, member):
            return
        if name not in self.found:
            self.found[name] = _Contradiction(identity, member)
            self._schedule(name)
            self._report(service, member, True)

    def suspect(self, service, member):
        """Ask a member under its id, as another instance does not reach it.

        Notes
        -----
        That instance may have been answered under another id.
        """
        now = self.context.now()
        name = member.name
        due_at = self.checked_at.get(name, float("-inf")) + SUSPICION_INTERVAL_S
        if self.has_answered(service, member) or now < due_at:
            return
        self.checked_at[name] = now
        defer.ensureDeferred(self._check(service, member))

    async def _check(self, service, member):
        """Ask a member under its id; returns whether it has answered under that."""
        try:
            connection = await self.connect(service, member)
        except pools.UpstreamOpenError as error:
            self.record_refusal(service, member, error)
            return error.is_full
        except Exception:
            timers.log_fault(self.context.log, self._check, failure.Failure())
            return False
        connection.close()
        self.record_answer(service, member)
        return True

    async def _check_again(self, name):
        known = self.found[name]
        service = known.identity[0]
        if not await self._check(service, known.member):
            if self.found.get(name) is known:
                known.interval_s = min(MAX_CHECK_S, 2.0 * known.interval_s)
                self._schedule(name)
        elif self.found.get(name) is known:
            self._forget(name)
            self._report(service, known.member, False)

    def _schedule(self, name):
        known = self.found[name]
        known.timer = self.context.reactor.callLater(
            known.interval_s, self._start_check, name
        )

    def _start_check(self, name):
        defer.ensureDeferred(self._check_again(name))

    def _forget(self, name):
        timer = self.found.pop(name).timer
        if timer is not None and timer.active():
            timer.cancel()

    def _report(self, service, member, is_contradicted):
        self.context.log.write(
            events.Event.MEMBER_CONTRADICTED,
            service=service,
            member=member.name,
            address=f"{member.host}:{member.port}",
            contradicted=is_contradicted,
        )
        # Pools must not change while they handle the result of an attempt.
        self.context.reactor.callLater(0.0, self.on_change)


def _identify(service, member):
    return (service, *member.address)
