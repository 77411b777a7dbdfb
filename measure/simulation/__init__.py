"""Fleets of real instances and stand-ins in one process, on simulated time."""

from measure.simulation import _days, _explore, _fleet, _network, _reverted

Fault = _days.Fault
Fleet = _fleet.Fleet
Network = _network.Network
Outcome = _days.Outcome
Process = _network.Process
REVERTED = _reverted.REVERTED
explore = _explore.explore
plan_day = _days.plan_day
play = _days.play
put_back = _reverted.put_back

__all__ = [
    "REVERTED",
    "Fault",
    "Fleet",
    "Network",
    "Outcome",
    "Process",
    "explore",
    "plan_day",
    "play",
    "put_back",
]
