"""Bookmarks, bounded staleness and session settings.

Used by the daemon for PostgreSQL members that `daemon.composition` builds. The
daemon for a hosting platform uses only `Position` and, in `core.placement`,
`FloorHistory`.
"""

from pomelograde.core.sessions import _bookmark, _floors, _settings

Bookmark = _bookmark.Bookmark
FloorHistory = _floors.FloorHistory
Position = _bookmark.Position
SettingChange = _settings.SettingChange
apply_settings = _settings.apply
decode_token = _bookmark.decode_token
encode_token = _bookmark.encode_token
settings_sql = _settings.settings_sql

__all__ = [
    "Bookmark",
    "FloorHistory",
    "Position",
    "SettingChange",
    "apply_settings",
    "decode_token",
    "encode_token",
    "settings_sql",
]
