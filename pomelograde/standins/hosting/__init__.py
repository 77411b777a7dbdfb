"""Stand-ins for a hosting platform: metadata store and line-protocol members."""
