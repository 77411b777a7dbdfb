"""A soak run with planned stops under clients that stay on their connections."""

import json
import pathlib

from soak import clients, history, run, stop_checks, stops

CLIENT_COUNT = 40
ACTIONS = {*stops.STOP_KINDS, *stops.KILL_KINDS, "kill_series"}


class StopRun(run.Run):
    """One soak run with stops; its parameters are those of `Run`.

    Attributes
    ----------
    processes : Processes or None
        Signals, ends and starts the processes.
    administrator : Administrator or None
        Changes the configuration.
    group : ClientGroup or None
        Clients.
    """

    processes = administrator = group = None

    def _make_background(self):
        self.processes = stops.Processes(self.slots, self._start)
        self.administrator = stops.Administrator(self.fleet, self.seed)
        return [self.administrator, self.processes.run_delays]

    def _make_callers(self):
        for zone in run.host.ZONES:
            work_s = stops.WORK_S[self.seed % len(stops.WORK_S)]
            self.fleet.change_member(f"i-{zone}", work_s=work_s)
        self.group = clients.ClientGroup(
            self.seed,
            CLIENT_COUNT,
            self._caller_ports(),
            self.administrator,
            self.observed,
        )
        return [self.group]

    def _make_plan(self):
        return stops.make_plan(self.seed, self.seconds, self.instances)

    def _inject_faults(self):
        super()._inject_faults()
        self.processes.wait()
        self.processes.check_running()

    def _begin_fault(self, fault):
        if fault.kind in ACTIONS:
            self.processes.begin(fault)
        elif fault.kind == "odd_row":
            row = stops.make_odd_row(fault.instance)
            self.fleet.put("servers", f"odd-{fault.instance}", row)
        else:
            super()._begin_fault(fault)

    def _end_fault(self, fault):
        if fault.kind == "odd_row":
            self.fleet.put("servers", f"odd-{fault.instance}", None)
        elif fault.kind not in ACTIONS:
            super()._end_fault(fault)

    def _check_final_state(self):
        self.processes.check_running()
        violations = super()._check_final_state()
        violations.extend(
            history.Violation("answers belong to requests", line)
            for line in self.group.strays
        )
        seen = (self.group.requests, self.fleet.show_trace())
        endings = self.processes.endings
        run_delays = self.processes.run_delays.delays
        delays = [(None, start, end) for start, end in self.group.delays]
        delays.extend(run_delays)
        late_s = sum(end - start for start, end in self.group.delays)
        longest_s = max((end - start for _, start, end in run_delays), default=0.0)
        late = sum(found.was_late for found in endings)
        self.remarks.append(
            f"{len(endings)} processes ended, {late} of them by a kill after the grace "
            f"period; the clients were late for {late_s:.1f} s, an instance waited "
            f"{longest_s:.1f} s for a processor"
        )
        configurations = self.administrator.configurations
        violations.extend(stop_checks.check(*seen, configurations, endings, delays))
        if violations and self.logs:
            directory = pathlib.Path(self.logs) / f"seed-{self.seed}"
            directory.mkdir(parents=True, exist_ok=True)
            seen = stop_checks.dump(*seen, configurations, endings)
            seen["delays"] = delays
            (directory / "seen.json").write_text(json.dumps(seen))
        return violations
