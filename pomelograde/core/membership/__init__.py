"""Membership of the fleet: live, lost and leaving instances."""

from pomelograde.core.membership import (
    _detector,
    _instances,
    _registrations,
    _store_reads,
)

PROBE_TIMEOUT_S = _detector.PROBE_TIMEOUT_S

Changed = _detector.Changed
FailureDetector = _detector.FailureDetector
Instance = _instances.Instance
Membership = _instances.Membership
Probe = _detector.Probe
Record = _instances.Record
RegistrationMonitor = _registrations.RegistrationMonitor
SendRecords = _detector.SendRecords
StaleReads = _store_reads.StaleReads
State = _instances.State
rendezvous = _instances.rendezvous

__all__ = [
    "PROBE_TIMEOUT_S",
    "Changed",
    "FailureDetector",
    "Instance",
    "Membership",
    "Probe",
    "Record",
    "RegistrationMonitor",
    "SendRecords",
    "StaleReads",
    "State",
    "rendezvous",
]
