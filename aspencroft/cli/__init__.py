"""Commands and daemons."""
