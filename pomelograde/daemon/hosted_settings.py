"""Settings of an instance whose platform hosts configuration and members."""

import attrs
import result

from pomelograde.core import checks


@attrs.frozen
class Addresses:
    """Addresses that outgoing connections use."""

    bind_host: str


@attrs.frozen
class HostedSettings:
    """Settings of one instance.

    Attributes
    ----------
    instance : str
        Name of the instance.
    data_centre, region : str
        Where it runs.
    regions : dict of str to str
        Region of each data centre.
    host : str
        IP address that it listens on and connects from.
    caller_port, ready_port, peer_port, metrics_port : int
        Ports for callers, the balancer's probe, other instances, and metrics.
    store : str
        Address of the platform's metadata store.
    failover_service : str
        Address of the platform's call for promotions.
    revocation_s : float
        Time after which a withdrawn key is accepted by no instance.
    grace_s : float
        Time between a request to stop and the end of the process.
    rate_window_s : float
        Length of the windows in which rates are judged.
    rate_excess : float
        Share beyond rate and burst that a window may hold.
    rate_slack : float
        Operations beyond that share that a window may hold.
    member_heartbeat_s : float
        Time between two heartbeats of a member.
    """

    instance: str
    data_centre: str
    region: str
    regions: dict
    host: str
    caller_port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    store: str
    failover_service: str
    revocation_s: float
    grace_s: float
    rate_window_s: float
    rate_excess: float
    rate_slack: float
    member_heartbeat_s: float

    @property
    def addresses(self):
        """Addresses, in the form that tasks take them."""
        return Addresses(self.host)


_CHECKS = {
    "instance": checks.not_empty,
    "data_centre": checks.not_empty,
    "host": checks.not_empty,
    "store": checks.not_empty,
    "caller_port": checks.port,
    "ready_port": checks.port,
    "peer_port": checks.port,
    "metrics_port": checks.port,
    "revocation_s": checks.positive,
    "grace_s": checks.not_negative,
    "rate_window_s": checks.positive,
    "rate_excess": checks.not_negative,
    "rate_slack": checks.not_negative,
    "member_heartbeat_s": checks.positive,
}


def check(settings):
    """Check settings; returns a Result of them or of a list of faults."""
    faults = []
    for name, check_value in _CHECKS.items():
        try:
            check_value(settings, None, getattr(settings, name))
        except (ValueError, TypeError) as error:
            faults.append(f"{name}: {error}")
    return result.Err(faults) if faults else result.Ok(settings)
