"""Evidence that the configuration in force is the latest accepted one."""

import attrs


@attrs.frozen
class PeerAnswer:
    """What a peer said of its configuration in answer to a request.

    Attributes
    ----------
    asked_at : float
        When the request was sent, in monotonic seconds of the asker.
    revision : int
        Revision in force at the peer.
    confirmed_age_s : float
        Time since the peer's own evidence.
    unresolved : bool
        Whether the peer has commits whose outcome it does not know.
    stopped : bool
        Whether nothing listens at the peer's address any more.
    """

    asked_at: float
    revision: int = 0
    confirmed_age_s: float = float("inf")
    unresolved: bool = False
    stopped: bool = False


@attrs.define
class FreshnessTracker:
    """When the revision in force was last known to be the latest one.

    Attributes
    ----------
    confirmed_at : float
        Monotonic seconds.
    answers : dict of str to PeerAnswer
        Last answer of each peer.

    Notes
    -----
    All times are those of requests, not of answers. An instance that was
    paused therefore never takes an answer that waited for it as recent.
    """

    confirmed_at: float = float("-inf")
    answers: dict[str, PeerAnswer] = attrs.field(factory=dict)

    def on_platform_answer(self, asked_at):
        """Take an answer of the platform to a request sent at `asked_at`."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def on_peer_answer(self, name, answer, revision):
        """Take a peer's answer.

        Parameters
        ----------
        name : str
            Peer.
        answer : PeerAnswer
            What it said.
        revision : int
            Revision in force here, after the peer's changes were applied.
        """
        known = self.answers.get(name)
        if known is not None and known.asked_at > answer.asked_at:
            return
        self.answers[name] = answer
        if answer.revision == revision:
            confirmed_at = answer.asked_at - answer.confirmed_age_s
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def confirm_by_all_peers(self, names, revision):
        """Weigh the answers of all listed instances together.

        Parameters
        ----------
        names : iterable of str
            Every listed instance but this one.
        revision : int
            Revision in force here.

        Notes
        -----
        Changes are committed by instances only. If every one of them is at
        this revision or below it, or has stopped, there is no later one.
        """
        answers = [self.answers.get(name) for name in names]
        if not answers or not all(
            _excludes_later_revision(found, revision) for found in answers
        ):
            return
        oldest = min(found.asked_at for found in answers)
        self.confirmed_at = max(self.confirmed_at, oldest)

    def age(self, now):
        """Return the seconds since the last evidence."""
        return now - self.confirmed_at

    def retain(self, names):
        """Drop the answers of instances that are listed no more."""
        self.answers = {
            name: answer for name, answer in self.answers.items() if name in names
        }


def _excludes_later_revision(answer, revision):
    if answer is None or answer.unresolved:
        return False
    return answer.stopped or answer.revision <= revision
