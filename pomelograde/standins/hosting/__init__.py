"""Stand-in of a hosting platform: its store, and members on the line protocol."""
