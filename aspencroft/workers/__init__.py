"""Connections to workers, their wire adapter and discovery."""
