"""Positions in a group's log and the session tokens that encode them."""

import attrs
import result

MAX_TOKEN_LENGTH = 512  # characters


@attrs.frozen
class Position:
    """A position in the log of a database group.

    Attributes
    ----------
    term : int
        Term of the log entry at this position.
    index : int
        Number of entries up to and including this position.

    Notes
    -----
    Positions are ordered by term first. The primary of a later term holds all
    acknowledged entries of earlier terms, so a member whose position is at or
    above a bookmark's holds all acknowledged writes that the bookmark covers.
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
    """The lowest position that a session's reads may be served from.

    Attributes
    ----------
    group : str
        Name of the group, which is that of its database service.
    position : Position
        Lowest position that includes the session's own writes.
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
        Bookmark to encode.

    Returns
    -------
    str
        Printable token, ``group:term:index``.
    """
    position = bookmark.position
    return f"{bookmark.group}:{position.term}:{position.index}"


def decode_token(token):
    """Return the bookmark that a session token encodes.

    Parameters
    ----------
    token : str
        Token made by `encode_token`.

    Returns
    -------
    Result of Bookmark or str
        The bookmark, or an error message.
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
