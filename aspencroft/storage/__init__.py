"""The append-only store on disk."""
