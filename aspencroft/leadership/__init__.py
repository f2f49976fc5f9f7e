"""Singleton roles and their fencing epochs."""
