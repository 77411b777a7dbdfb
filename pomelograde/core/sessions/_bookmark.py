"""Positions in a group's log and the session tokens that carry them."""

import attrs
import result

MAX_TOKEN_LENGTH = 512  # characters


@attrs.frozen
class Position:
    """A place in the log of a database group.

    Attributes
    ----------
    term : int
        Term of the log entry at this place.
    index : int
        Number of entries up to and including this place.

    Notes
    -----
    Positions are ordered by term first. A primary of a later term holds every
    acknowledged entry of the earlier ones, so a member whose position is not
    below a bookmark holds all that the bookmark covers.
    """

    term: int
    index: int

    def __lt__(self, other):
        return (self.term, self.index) < (other.term, other.index)

    def __le__(self, other):
        return (self.term, self.index) <= (other.term, other.index)

    def __gt__(self, other):
        return (self.term, self.index) > (other.term, other.index)

    def __ge__(self, other):
        return (self.term, self.index) >= (other.term, other.index)


@attrs.frozen
class Bookmark:
    """The lowest position of a group that a session may read from.

    Attributes
    ----------
    group : str
        Name of the database service.
    position : Position
        Lowest position that covers the session's own writes.
    """

    group: str
    position: Position

    def advance(self, position):
        """Return a bookmark that also covers `position`."""
        if position <= self.position:
            return self
        return attrs.evolve(self, position=position)


def encode_token(bookmark):
    """Return the session token of a bookmark.

    Parameters
    ----------
    bookmark : Bookmark
        Bookmark to write.

    Returns
    -------
    str
        Printable token, ``group:term:index``.
    """
    position = bookmark.position
    return f"{bookmark.group}:{position.term}:{position.index}"


def decode_token(token):
    """Read a session token.

    Parameters
    ----------
    token : str
        Token made by `encode_token`.

    Returns
    -------
    Result of Bookmark or str
        The bookmark, or what is wrong with the token.
    """
    if len(token) > MAX_TOKEN_LENGTH:
        return result.Err(f"session token is longer than {MAX_TOKEN_LENGTH}")
    parts = token.rsplit(":", 2)
    if len(parts) != 3 or not parts[0]:
        return result.Err("session token is not GROUP:TERM:INDEX")
    group, term, index = parts
    if not (term.isascii() and term.isdigit() and index.isascii() and index.isdigit()):
        return result.Err("session token's term and index are not numbers")
    return result.Ok(Bookmark(group, Position(int(term), int(index))))
