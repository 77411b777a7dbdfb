"""Stand-ins for the platform and for upstream members, for tests and the demo."""
