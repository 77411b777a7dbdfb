"""Requests admitted by another instance, which holds the account's tokens."""

from pomelograde.core import retries
from pomelograde.net import peer_messages

MAX_HOLDERS_ASKED = 3  # asked one after the other, where some have gone silent

_KIND = retries.ErrorKind


class AdmissionCall:
    """One request for a token of an account's rate.

    Parameters
    ----------
    relay : Relay
        Sends, and finds out who is silent.
    holders : list of Instance
        Instances to ask, in order.
    request : AdmitRequest
        What is asked.
    done : Deferred of Failure or None
        Told how the request ended; None once it is admitted.

    Attributes
    ----------
    peer : Instance or None
        Instance that is being asked.
    sent_at : float
        Since when.
    is_waiting : bool
        Whether an answer is outstanding.
    """

    def __init__(self, relay, holders, request, done):
        self.relay = relay
        self.holders = holders[:MAX_HOLDERS_ASKED]
        self.request = request
        self.done = done
        self.peer = None
        self.sent_at = 0.0
        self.is_waiting = False

    def start(self):
        """Ask the next holder, or give up."""
        if not self.holders:
            account = self.request.account
            self._finish(retries.Failure(_KIND.NO_RATE_SHARE, account))
            return
        self.peer = self.holders.pop(0)
        self.sent_at = self.relay.context.now()
        self.is_waiting = True
        self.relay.send(self, self.request)

    def on_answer(self, message):
        """Take a holder's answer."""
        if not self.is_waiting:
            return
        if not isinstance(message, peer_messages.AdmitAnswer):
            self.on_unreachable()
            return
        if message.refusal == _KIND.NO_RATE_SHARE.value:
            # The two instances know different holders for a moment.
            self.on_unreachable()
            return
        if not message.refusal:
            self._finish(None)
            return
        wait_s = message.retry_after_ms / 1000.0
        account = self.request.account
        kind = _KIND(message.refusal)
        self._finish(retries.Failure(kind, account, retry_after_s=wait_s))

    def on_unreachable(self):
        """Take that the holder does not answer."""
        if self.is_waiting:
            self.is_waiting = False
            self.start()

    def _finish(self, failure):
        self.is_waiting = False
        self.done.callback(failure)
