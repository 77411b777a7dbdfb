"""Runs a daemon with one mechanism disabled, to show that its checker detects it.

``python -m tests.measure.mutants CHECKER [DAEMON ARGUMENTS]``
"""

import sys

import attrs
from twisted.internet import defer

from pomelograde.core import placement, resources, retries
from pomelograde.daemon import main as daemon_main
from pomelograde.net import admission, configuration, exchanges, groups


def skip_position_checks():
    """Treat every replica as caught up with the session."""
    placement.covers = lambda position, required: True
    placement._ranking.covers = placement.covers


def acknowledge_without_majority():
    """Acknowledge writes that are on no member but the primary."""

    def acknowledge(self, position, connection, deadline):
        self.pools[connection.member].release(connection)
        return defer.succeed(None)

    groups.GroupTask.acknowledge = acknowledge


def retry_unknown_outcomes():
    """Retry writes whose outcome is unknown as if they were idempotent."""
    decide = retries.decide

    def decide_repeatable(attempt, now, deadline):
        return decide(attrs.evolve(attempt, repeatable=True), now, deadline)

    retries.decide = decide_repeatable


def release_within_transactions():
    """Return connections to the pool after each statement of a transaction."""
    finish = exchanges.Exchange._finish

    def finish_as_idle(self):
        self.status = b"I"
        finish(self)

    exchanges.Exchange._finish = finish_as_idle


def reuse_overdue_connections():
    """Return connections to the pool while an overdue answer is outstanding."""

    def expire(self):
        connection = self._detach()
        if connection is not None:
            connection.response_handlers.clear()
            self._release_connection(connection)
        kind = retries.ErrorKind.DEADLINE_AFTER_SEND
        self._fail(retries.Failure(kind))

    exchanges.Exchange.expire = expire


def report_expiry_as_not_run():
    """Report expired statements and lost connections as not run."""
    kind = retries.ErrorKind.DEADLINE_BEFORE_RUN
    retries.expiry_kind = lambda attempt: kind
    retries._decide.expiry_kind = retries.expiry_kind
    retries._decide._connection_loss_kind = lambda phase: kind


def use_one_role():
    """Run the statements of all client accounts with one database role."""
    resources.Configuration.role_of = lambda self, account: "bollette-desk"


def skip_rate_limits():
    """Admit requests without applying rate limits."""
    admission.AdmissionTask.try_admit = lambda self, account, now: True


def accept_withdrawn_keys():
    """Accept keys that have been withdrawn since they were first looked up."""
    get = resources.Configuration.get
    valid_keys = {}

    def get_unwithdrawn(self, kind, name):
        resource = get(self, kind, name)
        if kind == "keys" and resource is not None and not resource.withdrawn:
            valid_keys[name] = resource
        return valid_keys.get(name) if kind == "keys" else resource

    resources.Configuration.get = get_unwithdrawn


def stop_polling():
    """Load the configuration at the start without polling for later revisions."""
    configuration.ConfigurationTask._poll = lambda self: defer.succeed(None)


def route_to_leaving_members():
    """Route reads to replicas that are leaving."""
    rank = placement.rank_replicas

    def rank_all(members, *arguments):
        for member in members:
            member.leaving = False
        return rank(members, *arguments)

    placement.rank_replicas = rank_all


MUTATIONS = {
    "read_your_writes": skip_position_checks,
    "lost_acknowledged_writes": acknowledge_without_majority,
    "doubled_writes": retry_unknown_outcomes,
    "transactions_unmixed": release_within_transactions,
    "whole_answers": reuse_overdue_connections,
    "not_run_is_true": report_expiry_as_not_run,
    "isolation": use_one_role,
    "rates": skip_rate_limits,
    "withdrawn_keys": accept_withdrawn_keys,
    "configuration_in_force": stop_polling,
    "leaving_member": route_to_leaving_members,
}


def main():
    """Disable one mechanism and run the daemon."""
    MUTATIONS[sys.argv.pop(1)]()
    daemon_main.main()


if __name__ == "__main__":
    main()
