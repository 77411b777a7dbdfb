"""What sessions need of the daemon: groups, configuration and admission."""

from twisted.internet import task

from pomelograde.core import retries, routing
from pomelograde.net import events, groups

SWEEP_INTERVAL_S = 0.05
_KINDS = retries.ErrorKind


class Gateway:
    """Owns the sessions and the groups.

    Parameters
    ----------
    context : InstanceContext
        Parts of the daemon that all tasks share.
    configuration : ConfigurationTask
        Configuration in force.
    admission : AdmissionTask
        Rates of client accounts.

    Attributes
    ----------
    groups : dict of str to GroupTask
        Groups by database service.
    sessions : set of Session
        Authenticated callers.
    exchanges : set of Exchange
        Statements under way.
    """

    def __init__(self, context, configuration, admission):
        self.context = context
        self.configuration = configuration
        self.admission = admission
        self.groups = {}
        self.sessions = set()
        self.by_key = {}
        self.exchanges = set()
        self.draining = False
        self.was_fresh = True
        self.sweep = task.LoopingCall(self._sweep)

    def start(self):
        """Take in the configuration and follow its changes."""
        self.configuration.listeners.append(self._on_changed)
        self._update_services(self.configuration.current)
        self.admission.start()
        self.sweep.clock = self.context.reactor
        self.sweep.start(SWEEP_INTERVAL_S)

    def stop(self):
        """Close all groups."""
        self.admission.stop()
        if self.sweep.running:
            self.sweep.stop()
        for group in self.groups.values():
            group.stop()

    def add_session(self, session):
        """Note an authenticated caller."""
        self.sessions.add(session)
        self.by_key.setdefault(session.key_name, set()).add(session)
        self.context.metrics.connections.set(len(self.sessions))

    def is_fresh(self, now):
        """Return whether requests by key may be served.

        Notes
        -----
        Weighed at each request, and not by a timer, so that an instance that
        was paused refuses at once.
        """
        return self.configuration.is_fresh(now)

    def may_serve(self, session, now):
        """Return whether a session's requests may be served.

        Notes
        -----
        An open route rests on no key, so it needs no evidence.
        """
        return session.route is not None or self.is_fresh(now)

    def remove_session(self, session):
        """Drop a caller that is gone."""
        self.sessions.discard(session)
        self.exchanges.discard(session.exchange)
        of_key = self.by_key.get(session.key_name)
        if of_key is not None:
            of_key.discard(session)
            if not of_key:
                del self.by_key[session.key_name]
        self.context.metrics.connections.set(len(self.sessions))

    def drain(self):
        """Ask all callers to go at their next transaction boundary."""
        self.draining = True
        for session in list(self.sessions):
            session.close_soon(retries.Failure(retries.ErrorKind.DRAINING))

    def on_instances_changed(self):
        """Adapt shares to the number of live instances."""
        for group in self.groups.values():
            group.resize()

    def on_group_message(self, message, envelope):
        """Take a peer's message about a group; returns the reply, if any."""
        group = self.groups.get(message.group)
        if group is None:
            return None
        return groups.on_message(message, group)

    def _on_changed(self, changed):
        self._update_services(changed.new)
        self._close_withdrawn(changed.new)

    def _update_services(self, configuration):
        wanted = configuration.of_kind("services")
        for name in [name for name in self.groups if name not in wanted]:
            self._close_service(name)
            self.groups.pop(name).stop()
        for name, resource in wanted.items():
            group = self.groups.get(name)
            if group is None:
                group = groups.GroupTask(self.context, name, resource.spec)
                self.groups[name] = group
                group.start()
            elif group.spec != resource.spec:
                group.update(resource.spec)

    def _close_service(self, name):
        for session in list(self.sessions):
            if session.service == name:
                self._close(
                    session, _KINDS.SERVICE_DELETED, _KINDS.SERVICE_DELETED_IN_FLIGHT
                )

    def _close(self, session, kind, kind_in_flight):
        """Close a session; what is under way has an unknown outcome."""
        in_flight = session.exchange in self.exchanges
        session.fail(retries.Failure(kind_in_flight if in_flight else kind))

    def _close_withdrawn(self, configuration):
        for key_name in list(self.by_key):
            sessions = [
                session
                for session in self.by_key[key_name]
                if not _is_valid(configuration, session)
            ]
            if not sessions:
                continue
            self.context.log.write(
                events.Event.KEY_CONNECTIONS_CLOSED,
                key=key_name,
                connections=len(sessions),
            )
            for session in sessions:
                self._close(
                    session, _KINDS.KEY_WITHDRAWN, _KINDS.KEY_WITHDRAWN_IN_FLIGHT
                )

    def _sweep(self):
        now = self.context.now()
        self._log_evidence(now)
        late = [found for found in self.exchanges if found.deadline <= now]
        for exchange in late:
            if not exchange.done:
                exchange.expire()

    def _log_evidence(self, now):
        current = self.is_fresh(now)
        if current == self.was_fresh:
            return
        self.was_fresh = current
        revision = self.configuration.current.revision
        if current:
            event = events.Event.CONFIGURATION_CONFIRMED
            self.context.log.write(event, revision=revision)
            return
        age_s = round(self.configuration.freshness.age(now), 3)
        event = events.Event.CONFIGURATION_STALE
        self.context.log.write(event, revision=revision, age_s=age_s)


def _is_valid(configuration, session):
    """Return whether a session may go on with the key that it showed."""
    shown = session.caller.key
    if session.route is not None:
        route = routing.find_open_route(
            configuration, session.route.name, session.service
        )
        return route == session.route
    key = configuration.get("keys", session.key_name)
    return (
        key is not None
        and not key.withdrawn
        and key.account == shown.account
        and key.verifier == shown.verifier
    )
