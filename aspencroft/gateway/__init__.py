"""The native request interface for callers."""
