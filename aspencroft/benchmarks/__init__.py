"""Hollow fleets and measured slopes."""
