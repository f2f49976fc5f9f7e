"""Replicated groups: primary, backup, log shipping and replica changes."""
