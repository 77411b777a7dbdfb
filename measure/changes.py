"""Changes made by an operator, and the time until they hold everywhere."""

import concurrent.futures
import time

from measure import history

OBSERVE_INTERVAL_S = 0.05
STATUS_TIMEOUT_S = 0.5
OPERATOR_TIMEOUT_S = 10.0


class Changes:
    """Withdraws a key, marks a member as leaving, and watches the effects.

    Parameters
    ----------
    fleet : Fleet
        Where.
    cut_place : str
        Data centre that is cut off meanwhile; empty for none.

    Attributes
    ----------
    records : list
        What was accepted and seen, for a history.
    withdrawn_account : str
        Client account whose key is withdrawn.
    """

    def __init__(self, fleet, cut_place=""):
        self.fleet = fleet
        self.cut_place = cut_place
        self.records = []
        deployment = fleet.deployment
        self.withdrawn_account = deployment.accounts[-1]
        self.service = deployment.services[0]
        self.member = self._leaving_member()

    def accept(self):
        """Have both changes accepted by the first instance."""
        self._mark_leaving()
        accepted = self.fleet.operate(
            "DELETE", f"/v1/keys/{self.withdrawn_account}", timeout_s=OPERATOR_TIMEOUT_S
        )
        now = time.monotonic()
        self.records.append(history.Withdrawal(self.withdrawn_account, now))
        revision = accepted["resourceVersion"]
        self.records.append(history.Acceptance(revision, now))

    def observe(self, seconds):
        """Record revisions and the work of the leaving member for a while."""
        end = time.monotonic() + seconds
        numbers = range(len(self.fleet.daemons))
        with concurrent.futures.ThreadPoolExecutor(len(numbers)) as pool:
            while time.monotonic() < end:
                for seen in pool.map(self._see_revision, numbers):
                    if seen is not None:
                        self.records.append(seen)
                self.records.append(self._work())
                time.sleep(OBSERVE_INTERVAL_S)

    def in_force_s(self):
        """Return the time until every reachable instance had the revision."""
        (change,) = [one for one in self.records if type(one) is history.Acceptance]
        times = []
        for name in self._reachable_instances():
            seen = [
                one.seen_at - change.accepted_at
                for one in self.records
                if type(one) is history.RevisionSeen
                and one.instance == name
                and one.revision >= change.revision
            ]
            times.append(min(seen, default=float("inf")))
        return max(0.0, *times)

    def withdrawn_key_s(self, recorded):
        """Return the time until the last request with the key that ran."""
        (change,) = [one for one in self.records if type(one) is history.Withdrawal]
        ran = [
            one.invoked_at - change.accepted_at
            for one in recorded.operations()
            if one.account == change.account and one.outcome is history.Outcome.OK
        ]
        return max([0.0, *ran])

    def leaving_member_s(self):
        """Return the time until the leaving member got its last work."""
        (change,) = [one for one in self.records if type(one) is history.MemberLeaving]
        works = [one for one in self.records if type(one) is history.MemberWork]
        last = max(one.statements for one in works)
        reached = min(one.seen_at for one in works if one.statements == last)
        return max(0.0, reached - change.accepted_at)

    def _leaving_member(self):
        members = self.fleet.members(self.service)
        replicas = [one for one in members if one["role"] == "replica"]
        near = [one for one in replicas if one["data_centre"] != self.cut_place]
        return near[0]["name"]

    def _mark_leaving(self):
        path = f"/v1/services/{self.service}"
        found = self.fleet.operate("GET", path)
        spec = found["spec"]
        for member in spec["members"]:
            if member["name"] == self.member:
                member["leaving"] = True
        body = {"spec": spec, "resourceVersion": found["resourceVersion"]}
        self.fleet.operate("PUT", path, body, timeout_s=OPERATOR_TIMEOUT_S)
        now = time.monotonic()
        self.records.append(history.MemberLeaving(self.service, self.member, now))

    def _reachable_instances(self):
        return [
            found["instance"]
            for found in self.fleet.daemon_settings
            if found["data_centre"] != self.cut_place
        ]

    def _see_revision(self, number):
        return see_revision(self.fleet, number)

    def _work(self):
        members = self.fleet.members(self.service)
        (found,) = [one for one in members if one["name"] == self.member]
        return history.MemberWork(
            self.service, self.member, found["statements"], time.monotonic()
        )


def see_revision(fleet, number):
    """Return the revision in force on an instance, or None if it can't be told."""
    try:
        found = fleet.status(number, STATUS_TIMEOUT_S)
    except OSError:
        return None
    return history.RevisionSeen(found["instance"], found["revision"], time.monotonic())


def touch_account(fleet, number=0):
    """Have a change accepted that alters one client account's weight."""
    path = f"/v1/accounts/{fleet.deployment.accounts[0]}"
    found = fleet.operate("GET", path, number=number)
    spec = {**found["spec"], "weight": found["spec"]["weight"] + 1.0}
    body = {"spec": spec, "resourceVersion": found["resourceVersion"]}
    return fleet.operate("PUT", path, body, number)
