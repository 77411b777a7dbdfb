"""Network input and output, timers and stored data around the core."""
