"""Live and leaving instances."""

from pomelograde.core.membership import _detector, _instances, _registrations

PROBE_TIMEOUT_S = _detector.PROBE_TIMEOUT_S

Changed = _detector.Changed
Detector = _detector.Detector
Instance = _instances.Instance
Membership = _instances.Membership
Probe = _detector.Probe
Record = _instances.Record
Registrations = _registrations.Registrations
SendRecords = _detector.SendRecords
State = _instances.State
rendezvous = _instances.rendezvous

__all__ = [
    "PROBE_TIMEOUT_S",
    "Changed",
    "Detector",
    "Instance",
    "Membership",
    "Probe",
    "Record",
    "Registrations",
    "SendRecords",
    "State",
    "rendezvous",
]
