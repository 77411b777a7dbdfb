"""Pools of upstream connections with fair queues."""

from pomelograde.core.pooling import _limits, _pool, _queue

STARTUP_S = _limits.STARTUP_S

Assign = _pool.Assign
Close = _pool.Close
FairQueue = _queue.FairQueue
Open = _pool.Open
Pool = _pool.Pool
Refuse = _pool.Refuse
Waiter = _queue.Waiter
divide_connections = _limits.divide_connections

__all__ = [
    "STARTUP_S",
    "Assign",
    "Close",
    "FairQueue",
    "Open",
    "Pool",
    "Refuse",
    "Waiter",
    "divide_connections",
]
