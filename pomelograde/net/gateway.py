"""Open sessions and database groups, kept in line with the configuration."""

from pomelograde.core import retries, routing
from pomelograde.net import events, faults, groups, timers

DEADLINE_CHECK_INTERVAL_S = 0.05
_ErrorKind = retries.ErrorKind


class Gateway:
    """Owns the sessions and the groups of this instance.

    Parameters
    ----------
    context : InstanceContext
        Context shared by all tasks of the daemon.
    configuration : ConfigurationTask
        Owner of the configuration in force.
    admission : AdmissionTask
        Applies the rates of client accounts.

    Attributes
    ----------
    groups : dict of str to GroupTask
        Groups by database service.
    sessions : set of Session
        Sessions of authenticated callers.
    sessions_by_key : dict of str to set of Session
        Sessions by the name of the key they authenticated with.
    exchanges : set of Exchange
        Statements in flight.
    idle_transactions : dict of Session to float
        Sessions with an open transaction and no statement in flight, and since
        when in monotonic seconds.
    draining : bool
        Whether the instance is shutting down.
    """

    def __init__(self, context, configuration, admission):
        self.context = context
        self.configuration = configuration
        self.admission = admission
        self.groups = {}
        self.sessions = set()
        self.sessions_by_key = {}
        self.exchanges = set()
        self.idle_transactions = {}
        self.draining = False
        self.was_fresh = True
        self.deadline_loop = None

    def start(self):
        """Apply the configuration and subscribe to its changes."""
        self.configuration.listeners.append(self._on_changed)
        self._update_services(self.configuration.current)
        self.admission.start()
        self.deadline_loop = timers.start_loop(
            self.context, DEADLINE_CHECK_INTERVAL_S, self._check_deadlines
        )

    def stop(self):
        """Stop admission, deadline checks and all groups."""
        self.admission.stop()
        if self.deadline_loop is not None:
            self.deadline_loop.stop()
        for group in self.groups.values():
            group.stop()

    def add_session(self, session):
        """Register the session of an authenticated caller."""
        self.sessions.add(session)
        self.sessions_by_key.setdefault(session.key_name, set()).add(session)
        self.context.metrics.connections.set(len(self.sessions))

    def is_fresh(self, now):
        """Return whether the configuration is fresh enough to serve by keys.

        Notes
        -----
        Checked for each request and not by a timer, so that an instance that
        was paused refuses at once when it resumes.
        """
        return self.configuration.is_fresh(now)

    def may_serve(self, session, now):
        """Return whether a session's requests may be served.

        Notes
        -----
        An open route doesn't depend on a key, so it doesn't need a fresh
        configuration.
        """
        return session.route is not None or self.is_fresh(now)

    def remove_session(self, session):
        """Unregister a closed session."""
        self.sessions.discard(session)
        self.exchanges.discard(session.exchange)
        self.idle_transactions.pop(session, None)
        key_sessions = self.sessions_by_key.get(session.key_name)
        if key_sessions is not None:
            key_sessions.discard(session)
            if not key_sessions:
                del self.sessions_by_key[session.key_name]
        self.context.metrics.connections.set(len(self.sessions))

    def drain(self):
        """Close all sessions at their next transaction boundary."""
        self.draining = True
        for session in list(self.sessions):
            session.close_when_idle(retries.Failure(retries.ErrorKind.DRAINING))

    def close_sessions(self):
        """Close the sessions that are left, each with an error."""
        for session in list(self.sessions):
            self._close_session(
                session, _ErrorKind.DRAINING, _ErrorKind.DRAINING_IN_FLIGHT
            )

    def on_instances_changed(self):
        """Adapt pools and watching of all groups to the live instances."""
        for group in self.groups.values():
            faults.run(self.context, group.resize)

    def on_group_message(self, message, envelope):
        """Handle a peer's message about a group; returns the reply or None."""
        group = self.groups.get(message.group)
        if group is None:
            return None
        if not groups.has_valid_terms(message):
            self.context.peers.reject(message, envelope.sender, "a term out of range")
            return None
        return groups.on_message(message, group)

    def _on_changed(self, changed):
        self._update_services(changed.new)
        self._close_unauthorized(changed.new)

    def _update_services(self, configuration):
        wanted = configuration.of_kind("services")
        for name in [name for name in self.groups if name not in wanted]:
            faults.run(self.context, self._close_service_sessions, name)
            faults.run(self.context, self.groups.pop(name).stop)
        for name, resource in wanted.items():
            faults.run(self.context, self._update_service, name, resource.spec)

    def _update_service(self, name, spec):
        group = self.groups.get(name)
        if group is None:
            group = groups.GroupTask(self.context, name, spec)
            self.groups[name] = group
            group.start()
        elif group.spec != spec:
            group.update(spec)

    def _close_service_sessions(self, name):
        for session in list(self.sessions):
            if session.service == name:
                self._close_session(
                    session,
                    _ErrorKind.SERVICE_DELETED,
                    _ErrorKind.SERVICE_DELETED_IN_FLIGHT,
                )

    def _close_session(self, session, kind, kind_in_flight):
        """Close a session; a statement in flight fails with an unknown outcome."""
        in_flight = session.exchange in self.exchanges
        session.fail(retries.Failure(kind_in_flight if in_flight else kind))

    def _close_unauthorized(self, configuration):
        for key_name in list(self.sessions_by_key):
            sessions = [
                session
                for session in self.sessions_by_key[key_name]
                if not _is_authorized(configuration, session)
            ]
            if not sessions:
                continue
            self.context.log.write(
                events.Event.KEY_CONNECTIONS_CLOSED,
                key=key_name,
                connections=len(sessions),
            )
            for session in sessions:
                self._close_session(
                    session,
                    _ErrorKind.KEY_WITHDRAWN,
                    _ErrorKind.KEY_WITHDRAWN_IN_FLIGHT,
                )

    def _check_deadlines(self):
        now = self.context.now()
        self._log_freshness(now)
        overdue = [found for found in self.exchanges if found.deadline <= now]
        for exchange in overdue:
            if not exchange.done:
                faults.run(self.context, exchange.expire)
        for session, idle_since in list(self.idle_transactions.items()):
            if now - idle_since >= session.group.spec.idle_transaction_timeout_s:
                failure = retries.Failure(_ErrorKind.TRANSACTION_IDLE)
                faults.run(self.context, session.fail, failure)

    def _log_freshness(self, now):
        fresh = self.is_fresh(now)
        if fresh == self.was_fresh:
            return
        self.was_fresh = fresh
        revision = self.configuration.current.revision
        if fresh:
            event = events.Event.CONFIGURATION_CONFIRMED
            self.context.log.write(event, revision=revision)
            return
        age_s = round(self.configuration.freshness.age(now), 3)
        event = events.Event.CONFIGURATION_STALE
        self.context.log.write(event, revision=revision, age_s=age_s)


def _is_authorized(configuration, session):
    """Return whether the key or open route of a session is still valid.

    A key that was withdrawn, moved to another account or rotated is not.
    """
    used_key = session.caller.key
    if session.route is not None:
        route = routing.find_open_route(
            configuration, session.route.name, session.service
        )
        return route == session.route
    key = configuration.get("keys", session.key_name)
    return (
        key is not None
        and not key.withdrawn
        and key.account == used_key.account
        and key.verifier == used_key.verifier
    )
