"""Opaque requests: admission, selection, attempt, stream, completion."""
