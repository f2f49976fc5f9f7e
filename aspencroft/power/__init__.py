"""Putting idle machines to sleep and waking them."""
