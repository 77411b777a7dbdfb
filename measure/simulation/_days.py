"""Days with random faults around changes of the primary, and what is checked."""

import collections
import functools
import random

import attrs

from measure.simulation import _fleet
from pomelograde.standins.hosting import host, member

FAULTS_FROM_S = 0.5
ROUNDS = 3  # of faults in a day
ROUND_S = 5.0  # between their starts
FAULTS_UNTIL_S = FAULTS_FROM_S + ROUNDS * ROUND_S
RECOVERY_S = 14.0  # a takeover whose holder is lost is run again after 6 s
SERVED_WITHIN_S = 3.0  # of the end, in which each caller must have written
MAX_COMPANIONS = 3  # of the fault that a round begins with
USUAL_LAG = {"lag_s": 0.02, "receive_s": _fleet.RECEIVE_S}  # of a replica
COLUMNS = ("lost", "doubled", "untrue", "stale", "not recovered", "failed")


@attrs.frozen
class Fault:
    """One fault of a day.

    Attributes
    ----------
    at : float
        Seconds from the start of the day.
    kind : str
        Name in `KINDS`.
    target : int
        Index of the member or instance.
    for_s : float
        How long it lasts.
    """

    at: float
    kind: str
    target: int
    for_s: float

    def describe(self):
        """Return the fault as a line of a trace."""
        return f"{self.at:6.2f} s  {self.kind} {self.target} for {self.for_s:.2f} s"


@attrs.define
class Outcome:
    """What was found on a day.

    Attributes
    ----------
    seed : int
        Seed of the day.
    faults : list of Fault
        The day's faults, in order.
    found : dict of str to list of str
        What was found, by column of `COLUMNS`.
    promotions : int
        Promotions that the platform was asked for.
    writes : int
        Writes that the callers have sent.
    """

    seed: int
    faults: list
    found: dict
    promotions: int = 0
    writes: int = 0

    @property
    def is_broken(self):
        """Whether anything was found."""
        return any(self.found.values())


def _member_name(fleet, target):
    return fleet.members[target % len(fleet.members)].name


def _set_member(fleet, target, **values):
    found = fleet.members[target % len(fleet.members)]
    for name, value in values.items():
        setattr(found, name, value)
    fleet.host.write_member_rows()


def _set_member_for(fleet, target, for_s, during, after):
    """Set attributes of a member for a while, and others after it."""
    _set_member(fleet, target, **during)
    fleet.call_later(for_s, functools.partial(_set_member, fleet, target, **after))


def _crash_member(fleet, fault):
    """Take a member away; it comes back as what it was, or as a replica."""
    found = fleet.members[fault.target % len(fleet.members)]
    found.reset()
    _set_member(fleet, fault.target, down=True)
    fleet.call_later(fault.for_s, _revive_member, fleet, fault.target)


def _revive_member(fleet, target):
    primary = fleet.find_primary()
    if primary is None or primary.name != _member_name(fleet, target):
        _set_member(fleet, target, down=False, role="replica")
    else:
        _set_member(fleet, target, down=False)


def _crash_primary(fleet, fault):
    """Take the primary away for a while."""
    _crash_member(fleet, attrs.evolve(fault, target=_index_of_primary(fleet)))


def _index_of_primary(fleet):
    """Return the index of the primary, or of any member if none leads."""
    primary = fleet.find_primary()
    return 0 if primary is None else fleet.members.index(primary)


def _drain_primary(fleet, fault):
    """Let the primary announce that it leaves, and take that back later."""
    target = _index_of_primary(fleet)
    during, after = {"state": "draining"}, {"state": "ready"}
    _set_member_for(fleet, target, fault.for_s, during, after)


def _lapse_row(fleet, fault):
    """Cut a member off from the store, so that its row lapses while it runs."""
    for_s = fault.for_s + host.MISSED_HEARTBEATS * host.HEARTBEAT_S
    during, after = {"is_store_cut": True}, {"is_store_cut": False}
    _set_member_for(fleet, fault.target, for_s, during, after)


def _lag(fleet, fault):
    """Let a replica apply the log late, though it receives it soon."""
    during = {"lag_s": 0.3 + fault.for_s}
    _set_member_for(fleet, fault.target, fault.for_s + 1.0, during, USUAL_LAG)


def _delay_log(fleet, fault):
    """Let a replica receive the log late."""
    during = {"lag_s": 0.3 + fault.for_s, "receive_s": None}
    _set_member_for(fleet, fault.target, fault.for_s + 1.0, during, USUAL_LAG)


def _reset(fleet, fault):
    """Reset all open connections to a member."""
    for link in fleet.find_member_links(_member_name(fleet, fault.target)):
        link.reset()


def _silence(fleet, fault):
    """Silence all open connections to a member for good; new ones work."""
    for link in fleet.find_member_links(_member_name(fleet, fault.target)):
        link.is_silent = True
        # The member drops it after a while, as the stand-in does.
        fleet.call_later(member.DROP_SILENT_S, link.reset)


def _slow_promotions(fleet, fault):
    """Let promotions take effect late; their answers come sooner or later."""
    answer_s = (0.0, 0.3, 1.5)[fault.target % 3]
    fleet.host.set_promotion_times(min(1.0, fault.for_s), answer_s)
    fleet.call_later(fault.for_s + 4.0, fleet.host.set_promotion_times, 0.0, 0.0)


def _kill_instance(fleet, fault):
    """Kill the process of an instance, and start it again."""
    number = fault.target % len(fleet.instances)
    fleet.kill_instance(number)
    fleet.call_later(fault.for_s, fleet.restart_instance, number)


def _kill_holder(fleet, fault):
    """Kill the first instance, which runs the takeovers."""
    names = [found.process.name for found in fleet.instances]
    _kill_instance(fleet, attrs.evolve(fault, target=names.index(min(names))))


def _cut_member(fleet, fault):
    """Cut an instance off from a member."""
    names = [fleet.instances[fault.target % len(fleet.instances)].process.name]
    index = fault.target // len(fleet.instances)
    _cut(fleet, fault, names, [fleet.host.ports[_member_name(fleet, index)]])


def _lapse_primary(fleet, fault):
    """Cut the primary off from the store, so that its row lapses while it runs."""
    _lapse_row(fleet, attrs.evolve(fault, target=_index_of_primary(fleet)))


def _isolate_primary(fleet, fault):
    """Cut all instances off from the primary."""
    _isolate_member(fleet, attrs.evolve(fault, target=_index_of_primary(fleet)))


def _isolate_member(fleet, fault):
    """Cut all instances off from a member."""
    names = [found.process.name for found in fleet.instances]
    _cut(fleet, fault, names, [fleet.host.ports[_member_name(fleet, fault.target)]])


def _cut_store(fleet, fault):
    """Cut an instance off from the store."""
    names = [fleet.instances[fault.target % len(fleet.instances)].process.name]
    _cut(fleet, fault, names, [fleet.store_port])


def _cut_instance(fleet, fault):
    """Cut an instance off from the others."""
    one = fleet.instances[fault.target % len(fleet.instances)]
    others = [found for found in fleet.instances if found is not one]
    _cut(fleet, fault, [one.process.name], [found.ports[2] for found in others])
    _cut(fleet, fault, [found.process.name for found in others], [one.ports[2]])


def _cut(fleet, fault, names, ports):
    fleet.set_cut(True, names, ports)
    fleet.call_later(fault.for_s, fleet.set_cut, False, names, ports)


def _store_outage(fleet, fault):
    """Let the store refuse all calls."""
    _set_store(fleet, refuse=True)
    fleet.call_later(fault.for_s, _set_store, fleet)


def _lose_store_answers(fleet, fault):
    """Let the store make changes whose answers are lost."""
    _set_store(fleet, lose_answers=True)
    fleet.call_later(fault.for_s, _set_store, fleet)


def _set_store(fleet, **faults):
    resource = fleet.host.store_resource
    resource.faults = type(resource.faults)(**faults)


KINDS = {
    "crash-primary": _crash_primary,
    "crash-member": _crash_member,
    "drain-primary": _drain_primary,
    "isolate-primary": _isolate_primary,
    "lapse-primary": _lapse_primary,
    "lapse-row": _lapse_row,
    "lag": _lag,
    "late-log": _delay_log,
    "reset": _reset,
    "silence": _silence,
    "slow-promotions": _slow_promotions,
    "kill-holder": _kill_holder,
    "kill-instance": _kill_instance,
    "cut-member": _cut_member,
    "isolate-member": _isolate_member,
    "cut-store": _cut_store,
    "cut-instance": _cut_instance,
    "store-outage": _store_outage,
    "lose-store-answers": _lose_store_answers,
}
# Without one of these, the primary rarely changes.
TRIGGERS = ("crash-primary", "drain-primary", "isolate-primary", "lapse-primary")
# What changes of the primary go wrong with more often than with other faults.
COMPANIONS = (
    "cut-member",
    "isolate-member",
    "kill-holder",
    "lag",
    "lapse-row",
    "late-log",
    "reset",
)


def plan_day(seed):
    """Return the faults of a day, in order.

    Notes
    -----
    In each round, something makes a change of the primary likely, and other faults
    come while it is under way.
    """
    chance = random.Random(seed)
    faults = []
    for number in range(ROUNDS):
        start = FAULTS_FROM_S + ROUND_S * number
        faults.append(_make_fault(chance, start, chance.choice(TRIGGERS)))
        if chance.random() < 0.5:
            faults.append(_make_fault(chance, start - 0.4, "slow-promotions"))
        for _ in range(chance.randint(1, MAX_COMPANIONS)):
            at = start + chance.uniform(-0.4, chance.choice((0.6, 2.0, 4.0)))
            kinds = chance.choice((sorted(KINDS), COMPANIONS))
            faults.append(_make_fault(chance, at, chance.choice(kinds)))
    return sorted(faults, key=lambda fault: fault.at)


def _make_fault(chance, at, kind):
    for_s = chance.choice((0.3, 1.0, 3.0)) * chance.uniform(0.5, 1.5)
    return Fault(round(at, 2), kind, chance.randrange(9), round(for_s, 2))


def play(seed, faults=None, synchronous_replicas=1):
    """Play a day.

    Parameters
    ----------
    seed : int
        Seed of the day, and of the instances.
    faults : list of Fault or None
        Faults to play; None for those of the seed.
    synchronous_replicas : int
        Replicas that must have received a commit before it is answered. With 0,
        lost and stale data are not checked, as commits may be lost then.

    Returns
    -------
    outcome : Outcome
        What was found.
    fleet : Fleet
        The fleet at the end of the day, with its logs.
    """
    faults = plan_day(seed) if faults is None else faults
    fleet = _fleet.Fleet(seed, synchronous_replicas)
    fleet.start()
    for fault in faults:
        fleet.call_later(fault.at, KINDS[fault.kind], fleet, fault)
    fleet.run(FAULTS_UNTIL_S + RECOVERY_S)
    return check(fleet, seed, faults, synchronous_replicas), fleet


def check(fleet, seed, faults, synchronous_replicas=1):
    """Return the Outcome of a day that was played."""
    found = {name: [] for name in COLUMNS}
    last = fleet.find_primary() or max(fleet.members, key=lambda one: one.term)
    counts = collections.Counter(request_id for _, _, request_id in last.log)
    now = fleet.network.seconds()
    for caller in fleet.callers:
        for write in caller.writes:
            count = counts[write.request_id]
            text = f"{write.request_id} answered at {write.answered_at - 1000.0:.2f} s"
            if write.outcome == "acknowledged" and count == 0 and synchronous_replicas:
                found["lost"].append(text)
            if write.outcome == "not run" and count:
                found["untrue"].append(text)
            if count > 1:
                found["doubled"].append(text)
        if synchronous_replicas:
            found["stale"] += [
                f"caller {caller.number} at {at - 1000.0:.2f} s: {value} after {floor}"
                for at, value, floor in caller.stale
            ]
        served_at = max(
            (one.answered_at for one in caller.writes if one.outcome == "acknowledged"),
            default=0.0,
        )
        if now - served_at > SERVED_WITHIN_S:
            found["not recovered"].append(f"caller {caller.number}")
    found["failed"] += [str(reason.value) for reason in fleet.failures]
    for instance in [*fleet.instances, *fleet.ended]:
        found["failed"] += [
            f"{instance.process.name}: {fields}"
            for _, name, fields in instance.log.records
            if name == "INTERNAL_FAULT"
        ]
    return Outcome(
        seed,
        faults,
        found,
        len(fleet.host.promotions),
        sum(len(caller.writes) for caller in fleet.callers),
    )
