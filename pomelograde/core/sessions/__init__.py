"""Bookmarks and read-your-writes consistency."""

from pomelograde.core.sessions import _bookmark

Bookmark = _bookmark.Bookmark
Position = _bookmark.Position
decode = _bookmark.decode
encode = _bookmark.encode

__all__ = ["Bookmark", "Position", "decode", "encode"]
