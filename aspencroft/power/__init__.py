"""Machines that sleep while idle."""
