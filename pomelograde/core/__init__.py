"""Protocol and decision logic without I/O; time and randomness are arguments."""
