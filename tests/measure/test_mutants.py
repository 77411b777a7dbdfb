"""Each checker reports violations of a fleet whose daemons lack the mechanism."""

import time

import attrs
import testtools

from measure import changes, checkers, faults, fleets, history, workload
from pomelograde.standins import deployments

DEPLOYMENT = attrs.evolve(deployments.BOLLETTE, services=("meters",))
SERVICE = "meters"
MUTANT_MODULE = "tests.measure.mutants"
RUN_S = 4.0
CALLERS = 16
BUSY_MIX = workload.Mix(
    write=0.4, transaction=0.2, echo=0.1, think_s=0.01, move_every=5, deadline_s=2.0
)
SHORT_DEADLINE_MIX = attrs.evolve(BUSY_MIX, deadline_s=0.2)


def kill_primary_repeatedly(fleet):
    primary = fleet.primary(SERVICE)["name"]
    for _ in range(3):
        faults.fail_member(fleet, SERVICE, primary, "killed")
        time.sleep(0.1)
        faults.restore_member(fleet, SERVICE, primary)
        time.sleep(0.3)
    return []


def pause_primary_briefly(fleet):
    primary = fleet.primary(SERVICE)["name"]
    faults.fail_member(fleet, SERVICE, primary, "paused")
    time.sleep(0.5)
    faults.restore_member(fleet, SERVICE, primary)
    return []


def delay_replica(fleet):
    fleet.change_member(SERVICE, f"{SERVICE}-{DEPLOYMENT.data_centres[1]}", lag_s=3.0)
    return []


def make_changes(fleet):
    operator_changes = changes.OperatorChanges(fleet)
    operator_changes.apply()
    operator_changes.observe(checkers.MAX_PROPAGATION_LIMIT_S + 0.7)
    return operator_changes.records


def kill_primary_past_promotion(fleet):
    primary = fleet.primary(SERVICE)["name"]
    faults.fail_member(fleet, SERVICE, primary, "killed")
    time.sleep(2.5)
    faults.restore_member(fleet, SERVICE, primary)
    return []


def do_nothing(fleet):
    return []


@attrs.frozen
class Scenario:
    event: object = do_nothing
    mix: workload.Mix = BUSY_MIX
    lag_s: float = 0.02
    service_s: float = 0.0
    rate_scale: float = 1.0
    seconds: float = RUN_S


SCENARIOS = {
    "lost_acknowledged_writes": Scenario(
        kill_primary_past_promotion, lag_s=0.3, seconds=5.0
    ),
    "read_your_writes": Scenario(delay_replica),
    "doubled_writes": Scenario(kill_primary_repeatedly, lag_s=0.1),
    "transactions_unmixed": Scenario(kill_primary_repeatedly),
    "whole_answers": Scenario(mix=SHORT_DEADLINE_MIX, service_s=0.15),
    "not_run_is_true": Scenario(
        pause_primary_briefly, mix=SHORT_DEADLINE_MIX, lag_s=0.15
    ),
    "isolation": Scenario(),
    "rates": Scenario(rate_scale=0.05),
    "withdrawn_keys": Scenario(make_changes, seconds=6.0),
    "configuration_in_force": Scenario(make_changes, seconds=6.0),
    "leaving_member": Scenario(make_changes, seconds=6.0),
}
IN_CI = ("isolation", "read_your_writes")
IS_POSITIVE = testtools.matchers.GreaterThan(0)


def record_history(scenario, program):
    settings = fleets.FleetSettings(
        DEPLOYMENT,
        instances=2,
        lag_s=scenario.lag_s,
        service_s=scenario.service_s,
        rate_scale=scenario.rate_scale,
        program=program,
    )
    callers = workload.make_callers(DEPLOYMENT, CALLERS, scenario.mix)
    with fleets.run_fleet(settings) as fleet:
        with fleet.run_callers(callers, scenario.seconds, 1) as paths:
            time.sleep(1.0)
            records = scenario.event(fleet)
        recorded = history.load(paths)
        recorded.records += [*records, *fleet.limits(), *fleet.settled_rows()]
    return recorded


def count_violations(name):
    """Count the violations reported for daemons without the mechanism checked."""
    recorded = record_history(SCENARIOS[name], ("-m", MUTANT_MODULE, name))
    return len(checkers.CHECKS[name](recorded))


class MutantTests(testtools.TestCase):
    def test_reads_of_stale_replicas_are_reported(self):
        self.assertThat(count_violations("read_your_writes"), IS_POSITIVE)

    def test_rows_of_another_account_are_reported(self):
        self.assertThat(count_violations("isolation"), IS_POSITIVE)
