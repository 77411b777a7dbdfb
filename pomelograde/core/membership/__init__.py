"""Live and leaving instances."""

from pomelograde.core.membership import _instances

Instance = _instances.Instance
Membership = _instances.Membership
rendezvous = _instances.rendezvous

__all__ = ["Instance", "Membership", "rendezvous"]
