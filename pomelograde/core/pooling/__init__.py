"""Pools of upstream connections with fair queues."""

from pomelograde.core.pooling import _limits, _pool, _priority_queue, _queue, _room

STARTUP_S = _limits.STARTUP_S

AdaptiveLimit = _room.AdaptiveLimit
Assign = _pool.Assign
Close = _pool.Close
FairQueue = _queue.FairQueue
FixedLimit = _room.FixedLimit
Open = _pool.Open
Pool = _pool.Pool
PriorityQueue = _priority_queue.PriorityQueue
Refuse = _pool.Refuse
Room = _room.Room
Waiter = _queue.Waiter
divide_connections = _limits.divide_connections

__all__ = [
    "STARTUP_S",
    "AdaptiveLimit",
    "Assign",
    "Close",
    "FairQueue",
    "FixedLimit",
    "Open",
    "Pool",
    "PriorityQueue",
    "Refuse",
    "Room",
    "Waiter",
    "divide_connections",
]
