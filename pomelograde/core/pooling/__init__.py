"""Pools of upstream connections with fair queues."""

from pomelograde.core.pooling import _limits, _pool, _priority_queue, _queue, _room

CONNECTIONS_PER_OWNER = _limits.CONNECTIONS_PER_OWNER
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
count_owners = _limits.count_owners
divide_connections = _limits.divide_connections

__all__ = [
    "CONNECTIONS_PER_OWNER",
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
    "count_owners",
    "divide_connections",
]
