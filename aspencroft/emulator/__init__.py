"""Stand-ins for workers, callers and the platform's list."""
