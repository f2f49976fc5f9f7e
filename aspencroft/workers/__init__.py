"""Connections to workers, the HTTP adapter to them, and discovery of workers."""
