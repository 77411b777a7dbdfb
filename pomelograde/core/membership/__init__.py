"""Membership of the fleet: live, lost and leaving instances."""

from pomelograde.core.membership import (
    _detector,
    _instances,
    _reachability,
    _registrations,
    _store_reads,
)

INSTANCE_LIMITS = _reachability.INSTANCE_LIMITS
MAX_IN_ANSWER = _reachability.MAX_IN_ANSWER
MAX_IN_NEWS = _reachability.MAX_IN_NEWS
MEMBER_LIMITS = _reachability.MEMBER_LIMITS
PROBE_TIMEOUT_S = _detector.PROBE_TIMEOUT_S
REPEAT_S = _reachability.REPEAT_S

Changed = _detector.Changed
Unreachable = _reachability.Unreachable
FailureDetector = _detector.FailureDetector
Finding = _reachability.Finding
Findings = _reachability.Findings
Instance = _instances.Instance
Membership = _instances.Membership
OwnerMarks = _reachability.OwnerMarks
Ping = _reachability.Ping
Probe = _detector.Probe
Reachability = _reachability.Reachability
Record = _instances.Record
Recovered = _reachability.Recovered
RegistrationMonitor = _registrations.RegistrationMonitor
SendRecords = _detector.SendRecords
StaleReads = _store_reads.StaleReads
State = _instances.State
choose_paths = _reachability.choose_paths
find_fault = _instances.find_fault
is_ip_address = _instances.is_ip_address
is_port = _instances.is_port
rendezvous = _instances.rendezvous

__all__ = [
    "INSTANCE_LIMITS",
    "MAX_IN_ANSWER",
    "MAX_IN_NEWS",
    "MEMBER_LIMITS",
    "PROBE_TIMEOUT_S",
    "REPEAT_S",
    "Changed",
    "Unreachable",
    "FailureDetector",
    "Finding",
    "Findings",
    "Instance",
    "Membership",
    "OwnerMarks",
    "Ping",
    "Probe",
    "Reachability",
    "Record",
    "Recovered",
    "RegistrationMonitor",
    "SendRecords",
    "StaleReads",
    "State",
    "choose_paths",
    "find_fault",
    "is_ip_address",
    "is_port",
    "rendezvous",
]
