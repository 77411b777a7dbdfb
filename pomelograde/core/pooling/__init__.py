"""Pools of upstream connections with fair queues."""

from pomelograde.core.pooling import _pool, _queue

Assign = _pool.Assign
Close = _pool.Close
FairQueue = _queue.FairQueue
Open = _pool.Open
Pool = _pool.Pool
Refuse = _pool.Refuse
Waiter = _queue.Waiter

__all__ = ["Assign", "Close", "FairQueue", "Open", "Pool", "Refuse", "Waiter"]
