"""Operators' alert rules and their evaluation."""
