"""Forwarding of opaque requests: admission, worker selection, attempts, streaming, completion."""
