"""A daemon with one decision of its core switched off, to prove the checks."""

import sys

import attrs
from twisted.internet import defer

from pomelograde.core import placement, resources, retries
from pomelograde.daemon import main as daemon_main
from pomelograde.net import admission, configuration, exchanges, groups


def serve_stale_reads():
    """Take every replica as up to date."""
    placement.covers = lambda position, required: True
    placement._ranking.covers = placement.covers


def acknowledge_at_once():
    """Acknowledge writes that only the primary holds."""

    def acknowledge(self, position, connection, deadline):
        self.pools[connection.member].release(connection)
        return defer.succeed(None)

    groups.GroupTask.acknowledge = acknowledge


def repeat_everything():
    """Send a write again whose outcome is unknown."""
    decide = retries.decide

    def decide_repeatable(attempt, now, deadline):
        return decide(attrs.evolve(attempt, repeatable=True), now, deadline)

    retries.decide = decide_repeatable


def split_transactions():
    """Give a connection back after each statement of a transaction."""
    finish = exchanges.Exchange._finish

    def finish_idle(self):
        self.status = b"I"
        finish(self)

    exchanges.Exchange._finish = finish_idle


def reuse_overdue_connections():
    """Give a connection back whose answer is overdue."""

    def expire(self):
        connection = self._detach()
        if connection is not None:
            connection.response_handlers.clear()
            self._release_connection(connection)
        kind = retries.ErrorKind.DEADLINE_AFTER_SEND
        self._fail(retries.Failure(kind))

    exchanges.Exchange.expire = expire


def refuse_as_not_run():
    """Say that a statement did not run whenever its deadline passes."""
    kind = retries.ErrorKind.DEADLINE_BEFORE_RUN
    retries.expiry_kind = lambda attempt: kind
    retries._decide.expiry_kind = retries.expiry_kind
    retries._decide._connection_loss_kind = lambda phase: kind


def share_one_role():
    """Run all statements as one client account."""
    resources.Configuration.role_of = lambda self, account: "bollette-desk"


def admit_everything():
    """Admit requests without a limit."""
    admission.AdmissionTask.try_admit = lambda self, account, now: True


def keep_withdrawn_keys():
    """Go on with keys that have been withdrawn."""
    get = resources.Configuration.get
    known = {}

    def get_known(self, kind, name):
        found = get(self, kind, name)
        if kind == "keys" and found is not None and not found.withdrawn:
            known[name] = found
        return known.get(name) if kind == "keys" else found

    resources.Configuration.get = get_known


def stop_following():
    """Fetch the configuration once and never again."""
    configuration.ConfigurationTask._poll = lambda self: defer.succeed(None)


def use_leaving_members():
    """Choose replicas that are leaving."""
    choose = placement.rank_replicas

    def choose_all(members, *arguments):
        for member in members:
            member.leaving = False
        return choose(members, *arguments)

    placement.rank_replicas = choose_all


MUTATIONS = {
    "read_your_writes": serve_stale_reads,
    "lost_acknowledged_writes": acknowledge_at_once,
    "doubled_writes": repeat_everything,
    "transactions_unmixed": split_transactions,
    "whole_answers": reuse_overdue_connections,
    "not_run_is_true": refuse_as_not_run,
    "isolation": share_one_role,
    "rates": admit_everything,
    "withdrawn_keys": keep_withdrawn_keys,
    "configuration_in_force": stop_following,
    "leaving_member": use_leaving_members,
}


def main():
    """Switch one decision off and run the daemon."""
    MUTATIONS[sys.argv.pop(1)]()
    daemon_main.main()


if __name__ == "__main__":
    main()
