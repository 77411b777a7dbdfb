"""Changes made by an operator, and the time until they are in force everywhere."""

import concurrent.futures
import time

from measure import history

OBSERVE_INTERVAL_S = 0.05
STATUS_TIMEOUT_S = 0.5
OPERATOR_TIMEOUT_S = 10.0


class OperatorChanges:
    """Withdraws a key, marks a member as leaving and records the effects.

    Parameters
    ----------
    fleet : Fleet
        Fleet that is changed.
    isolated_data_centre : str
        Data centre that is cut off during the changes; empty for none.

    Attributes
    ----------
    records : list
        Accepted changes and observed states, for a history.
    withdrawn_account : str
        Client account whose key is withdrawn.
    service, leaving_member : str
        Database and name of the member that is marked as leaving.
    """

    def __init__(self, fleet, isolated_data_centre=""):
        self.fleet = fleet
        self.isolated_data_centre = isolated_data_centre
        self.records = []
        deployment = fleet.deployment
        self.withdrawn_account = deployment.accounts[-1]
        self.service = deployment.services[0]
        self.leaving_member = self._choose_leaving_member()

    def apply(self):
        """Make both changes through the first instance."""
        self._mark_leaving()
        accepted = self.fleet.operate(
            "DELETE", f"/v1/keys/{self.withdrawn_account}", timeout_s=OPERATOR_TIMEOUT_S
        )
        now = time.monotonic()
        self.records.append(history.Withdrawal(self.withdrawn_account, now))
        revision = accepted["resourceVersion"]
        self.records.append(history.Acceptance(revision, now))

    def observe(self, seconds):
        """Sample revisions and the leaving member's statement count for a time."""
        end = time.monotonic() + seconds
        numbers = range(len(self.fleet.daemons))
        with concurrent.futures.ThreadPoolExecutor(len(numbers)) as pool:
            while time.monotonic() < end:
                for seen in pool.map(self._read_revision, numbers):
                    if seen is not None:
                        self.records.append(seen)
                self.records.append(self._read_member_work())
                time.sleep(OBSERVE_INTERVAL_S)

    def in_force_s(self):
        """Return the time until all reachable instances had the revision in force."""
        (change,) = [
            record for record in self.records if type(record) is history.Acceptance
        ]
        times_s = []
        for name in self._reachable_instances():
            seen = [
                record.seen_at - change.accepted_at
                for record in self.records
                if type(record) is history.RevisionSeen
                and record.instance == name
                and record.revision >= change.revision
            ]
            times_s.append(min(seen, default=float("inf")))
        return max(0.0, *times_s)

    def withdrawn_key_s(self, recorded):
        """Return the time from the withdrawal to the last request that still ran."""
        (change,) = [
            record for record in self.records if type(record) is history.Withdrawal
        ]
        ran = [
            operation.invoked_at - change.accepted_at
            for operation in recorded.operations()
            if operation.account == change.account
            and operation.outcome is history.Outcome.OK
        ]
        return max([0.0, *ran])

    def leaving_member_s(self):
        """Return the time from the change to the leaving member's last statement."""
        (change,) = [
            record for record in self.records if type(record) is history.MemberLeaving
        ]
        samples = [
            record for record in self.records if type(record) is history.MemberWork
        ]
        final_count = max(sample.statements for sample in samples)
        reached_at = min(
            sample.seen_at for sample in samples if sample.statements == final_count
        )
        return max(0.0, reached_at - change.accepted_at)

    def _choose_leaving_member(self):
        members = self.fleet.members(self.service)
        replicas = [member for member in members if member["role"] == "replica"]
        reachable = [
            member
            for member in replicas
            if member["data_centre"] != self.isolated_data_centre
        ]
        return reachable[0]["name"]

    def _mark_leaving(self):
        path = f"/v1/services/{self.service}"
        resource = self.fleet.operate("GET", path)
        spec = resource["spec"]
        for member in spec["members"]:
            if member["name"] == self.leaving_member:
                member["leaving"] = True
        body = {"spec": spec, "resourceVersion": resource["resourceVersion"]}
        self.fleet.operate("PUT", path, body, timeout_s=OPERATOR_TIMEOUT_S)
        now = time.monotonic()
        self.records.append(
            history.MemberLeaving(self.service, self.leaving_member, now)
        )

    def _reachable_instances(self):
        return [
            settings["instance"]
            for settings in self.fleet.daemon_settings
            if settings["data_centre"] != self.isolated_data_centre
        ]

    def _read_revision(self, number):
        return read_revision(self.fleet, number)

    def _read_member_work(self):
        members = self.fleet.members(self.service)
        (leaving,) = [
            member for member in members if member["name"] == self.leaving_member
        ]
        return history.MemberWork(
            self.service, self.leaving_member, leaving["statements"], time.monotonic()
        )


def read_revision(fleet, number):
    """Return the revision in force on an instance, or None if it does not answer."""
    try:
        status = fleet.status(number, STATUS_TIMEOUT_S)
    except OSError:
        return None
    return history.RevisionSeen(
        status["instance"], status["revision"], time.monotonic()
    )


def change_account(fleet, number=0):
    """Commit a configuration change: raise the weight of one client account."""
    path = f"/v1/accounts/{fleet.deployment.accounts[0]}"
    resource = fleet.operate("GET", path, number=number)
    spec = {**resource["spec"], "weight": resource["spec"]["weight"] + 1.0}
    body = {"spec": spec, "resourceVersion": resource["resourceVersion"]}
    return fleet.operate("PUT", path, body, number)
