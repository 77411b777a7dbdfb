"""Every fault at every step of every protocol."""

import concurrent.futures
import contextlib
import itertools
import json
import signal
import time

import attrs
import click

from measure import changes, checkers, faults, fleets, history, steps, workload
from pomelograde.standins import deployments, processes

DEPLOYMENT = attrs.evolve(deployments.ALLIANCE, services=("scores",))
SERVICE = "scores"
INSTANCES = 3
CALLERS = 12
MIX = workload.Mix(
    write=0.4, transaction=0.2, echo=0.1, think_s=0.03, move_every=10, deadline_s=3.0
)
WARM_UP_S = 1.0
STRIKE_TIMEOUT_S = 4.0
FAULT_S = 2.0
RECOVERY_S = 3.0
SECONDS = WARM_UP_S + STRIKE_TIMEOUT_S + FAULT_S + RECOVERY_S
PARALLEL = 3
PROGRAM = "measure.stepper"


@attrs.frozen
class Cell:
    """One run: faults that strike together at a step."""

    step: steps.StepName
    faults: tuple[str, ...]


@attrs.frozen
class Verdict:
    """How a cell went.

    Attributes
    ----------
    cell : Cell
        Which one.
    text : str
        "passed", or what was wrong.
    """

    cell: Cell
    text: str

    @property
    def passed(self):
        """Whether all promises held and writes went on."""
        return self.text == "passed"


@attrs.frozen
class Strike:
    """What the instance at the step does.

    Attributes
    ----------
    posts : tuple of (str, object)
        Addresses and values to post.
    signal : str
        Signal to itself; empty for none.
    """

    posts: tuple = ()
    signal: str = ""


def _platform(**values):
    return lambda fleet: Strike(((f"{fleet.platform_url}/control/faults", values),))


def _member(kind):
    def plan(fleet):
        name = fleet.primary(SERVICE)["name"]
        value = {"faults": faults.values(fleet, SERVICE, name, kind)}
        return Strike(((f"{fleet.members_url}/members/{SERVICE}/{name}", value),))

    return plan


def _lagging_replicas(fleet):
    found = [one for one in fleet.members(SERVICE) if one["role"] == "replica"]
    address = f"{fleet.members_url}/members/{SERVICE}"
    return Strike(tuple((f"{address}/{one['name']}", {"lag_s": 1.5}) for one in found))


def _links(**values):
    return lambda fleet: Strike(((f"{fleet.links_url}/links", values),))


def _cut(fleet):
    first, *others = fleet.deployment.data_centres
    cuts = [[first, other] for other in [*others, "platform"]]
    return Strike(((f"{fleet.links_url}/links", {"cuts": cuts}),))


def _signal(name):
    return lambda fleet: Strike(signal=name)


FAULTS = {
    "primary isolated": _member("isolated"),
    "primary killed": _member("killed"),
    "primary paused": _member("paused"),
    "replicas far behind": _lagging_replicas,
    "instance killed": _signal("SIGKILL"),
    "instance paused": _signal("SIGSTOP"),
    "platform down": _platform(outage=True),
    "platform slow": _platform(slow_s=1.5),
    "platform answers lost": _platform(lose_answers=3),
    "connections silent": _links(silence=True),
    "data centre cut off": _cut,
}
WORST = ("primary isolated", "instance killed", "instance paused", "platform down")


def cells(with_pairs=True):
    """Return all cells: each fault at each step, and pairs of the worst ones."""
    groups = [(name,) for name in FAULTS]
    if with_pairs:
        groups += itertools.combinations(WORST, 2)
    return [Cell(step, group) for step in steps.all_steps() for group in groups]


def run(chosen, seed=1, parallel=PARALLEL):
    """Run cells side by side; yields each `Verdict` as it is known."""
    with concurrent.futures.ThreadPoolExecutor(parallel) as pool:
        running = [pool.submit(run_cell, cell, seed) for cell in chosen]
        for future in concurrent.futures.as_completed(running):
            yield future.result()


def run_cell(cell, seed):
    """Run one cell in a fleet of its own; returns its `Verdict`."""
    try:
        return Verdict(cell, _run_cell(cell, seed))
    except (OSError, TimeoutError, RuntimeError) as error:
        return Verdict(cell, f"{type(error).__name__}: {error}")


def _run_cell(cell, seed):
    with processes.Processes() as plans:
        mark = plans.directory / "struck"
        plan_path = plans.directory / "plan.json"
        settings = fleets.FleetSettings(
            DEPLOYMENT, INSTANCES, program=("-m", PROGRAM, str(plan_path))
        )
        prepare = _Preparation(cell, plan_path, mark)
        with fleets.run_fleet(settings, prepare.write) as fleet:
            callers = workload.make_callers(DEPLOYMENT, CALLERS, MIX)
            with fleet.callers(callers, SECONDS, seed) as paths:
                time.sleep(WARM_UP_S)
                mark.with_suffix(".armed").touch()
                struck = _drive(fleet, cell, mark)
                restored_at = time.monotonic()
            recorded = history.load(paths)
            recorded.records += fleet.limits() + fleet.rows_at_rest()
    return _judge(recorded, struck, restored_at)


@attrs.frozen
class _Preparation:
    """Writes the plan of a cell before the instances start."""

    cell: Cell
    path: object
    mark: object

    def write(self, fleet):
        strikes = [FAULTS[name](fleet) for name in self.cell.faults]
        plan = {
            "step": attrs.astuple(self.cell.step),
            "mark": str(self.mark),
            "posts": [post for strike in strikes for post in strike.posts],
            "signal": "".join(strike.signal for strike in strikes[:1])
            or "".join(strike.signal for strike in strikes[1:]),
        }
        self.path.write_text(json.dumps(plan))


def _drive(fleet, cell, mark):
    """Bring the protocol about, wait for the strike, and end all faults."""
    primary = fleet.primary(SERVICE)["name"]
    if cell.step.protocol == "failover":
        faults.fail_member(fleet, SERVICE, primary, "killed")
    with contextlib.suppress(OSError):
        changes.touch_account(fleet)
    end = time.monotonic() + STRIKE_TIMEOUT_S
    while not mark.exists() and time.monotonic() < end:
        time.sleep(0.02)
    struck = mark.exists()
    if struck:
        time.sleep(FAULT_S)
    _restore(fleet)
    return struck


def _restore(fleet):
    fleet.change_platform(outage=False, silent=False, slow_s=0.0, lose_answers=0)
    fleet.heal()
    for member in fleet.members(SERVICE):
        faults.restore_member(fleet, SERVICE, member["name"])
        fleet.change_member(SERVICE, member["name"], lag_s=fleet.settings.lag_s)
    for number, child in enumerate(list(fleet.daemons)):
        child.send_signal(signal.SIGCONT)
        if child.poll() is not None:
            fleet.start_daemon(number)


def _judge(recorded, struck, restored_at):
    if not struck:
        return "step not reached"
    checked = checkers.check_all(recorded)
    broken = [f"{name} {len(found)}" for name, found in checked.items() if found]
    written = [
        one
        for one in recorded.operations(history.Action.WRITE)
        if one.outcome is history.Outcome.OK and one.invoked_at > restored_at
    ]
    if not written:
        broken.append("no write after the fault")
    return ", ".join(broken) or "passed"


def report(verdicts):
    """Print a table and the closing line; returns the number that failed."""
    order = {cell: number for number, cell in enumerate(cells())}
    for one in sorted(verdicts, key=lambda one: order.get(one.cell, 0)):
        step = f"{one.cell.step.protocol}.{one.cell.step.step}"
        click.echo(f"{step:28} {' + '.join(one.cell.faults):40} {one.text}")
    failed = sum(not one.passed for one in verdicts)
    click.echo(f"{len(verdicts) - failed} passed, {failed} failed")
    return failed
