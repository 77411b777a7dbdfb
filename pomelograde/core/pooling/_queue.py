"""Start-time fair queueing between client accounts."""

import heapq
import itertools

import attrs


@attrs.define(eq=False)
class Waiter:
    """A statement that waits for an upstream connection.

    Attributes
    ----------
    account : str
        Client account that the statement runs for.
    role : str
        Database role that the connection must have.
    weight : float
        Share of the client account among those that wait.
    deadline : float
        Monotonic seconds after which the statement is refused.
    context : object
        What the caller of the pool wants back.
    abandoned : bool
        Whether the statement no longer waits.
    """

    account: str
    role: str
    deadline: float
    context: object
    weight: float = 1.0
    abandoned: bool = False


class FairQueue:
    """Orders waiters so that each account gets its weighted share.

    Notes
    -----
    Each waiter gets a start tag: the larger of the queue's virtual time and
    the finish tag of the account's previous waiter. The lowest start tag goes
    first, and virtual time follows it.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
    """

    def __init__(self):
        self.heap = []
        self.finish_tags = {}
        self.virtual_time = 0.0
        self.length = 0
        self._sequence = itertools.count()

    def push(self, waiter):
        """Add a waiter."""
        start = max(self.virtual_time, self.finish_tags.get(waiter.account, 0.0))
        self.finish_tags[waiter.account] = start + 1.0 / waiter.weight
        heapq.heappush(self.heap, (start, next(self._sequence), waiter))
        self.length += 1

    def peek(self):
        """Return the next waiter, or None; abandoned ones are dropped."""
        while self.heap and self.heap[0][2].abandoned:
            self._drop_first()
        return self.heap[0][2] if self.heap else None

    def pop(self):
        """Remove and return the next waiter, or None."""
        waiter = self.peek()
        if waiter is not None:
            self.virtual_time = self.heap[0][0]
            self._drop_first()
        return waiter

    def expire(self, now):
        """Mark the waiters whose deadline has passed as abandoned.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Waiter
            Those that were waiting until now.
        """
        late = [
            entry[2]
            for entry in self.heap
            if entry[2].deadline <= now and not entry[2].abandoned
        ]
        for waiter in late:
            waiter.abandoned = True
        return late

    def _drop_first(self):
        heapq.heappop(self.heap)
        self.length -= 1
        if not self.heap:
            self.finish_tags.clear()
            self.virtual_time = 0.0
